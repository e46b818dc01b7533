// Command flamingoctl is the operators' command line.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/google/uuid"

	"flamingodrift.example/flamingoctl/internal/client"
	"flamingodrift.example/flamingoctl/internal/printer"
)

// Exit codes.
const (
	exitRefused      = 1
	exitUsage        = 2
	exitUnreachable  = 3
	exitNotFound     = 4
	exitUnauthorized = 5
)

type noArguments struct{}

type keyArgument struct {
	Key string `arg:"positional,required" help:"key of a row, or key@run"`
}

type fileArgument struct {
	File string `arg:"positional,required" help:"file to send"`
}

// changeOptions are common to all changes.
type changeOptions struct {
	ChangeID string  `arg:"--change-id" help:"identity of the change; use the same one to send it again" placeholder:"ID"`
	Revision *uint64 `arg:"--revision" help:"revision that the change was made from; default: the present one" placeholder:"N"`
}

type applyCommand struct {
	fileArgument
	changeOptions
	ConfirmStops uint32 `arg:"--confirm-stops" help:"confirm that this many tasks stop" placeholder:"N"`
}

type configureCommand struct {
	fileArgument
	changeOptions
}

type cancelCommand struct {
	keyArgument
	changeOptions
}

type workerCommand struct {
	Worker string `arg:"positional,required" help:"name of the worker"`
	changeOptions
}

type arguments struct {
	Status    *noArguments      `arg:"subcommand:status" help:"say whether everything is in order"`
	List      *noArguments      `arg:"subcommand:list" help:"list all tasks"`
	Waiting   *noArguments      `arg:"subcommand:waiting" help:"list the tasks that wait, and why"`
	Why       *keyArgument      `arg:"subcommand:why" help:"explain the tasks of one row"`
	Hosts     *noArguments      `arg:"subcommand:hosts" help:"list control members, workers and targets"`
	History   *noArguments      `arg:"subcommand:history" help:"list the accepted changes"`
	Plan      *fileArgument     `arg:"subcommand:plan" help:"show what a sheet would start, change and stop"`
	Apply     *applyCommand     `arg:"subcommand:apply" help:"put a sheet in force"`
	Configure *configureCommand `arg:"subcommand:configure" help:"put a configuration in force"`
	Cancel    *cancelCommand    `arg:"subcommand:cancel" help:"cancel a row"`
	Drain     *workerCommand    `arg:"subcommand:drain" help:"move all tasks off a worker"`
	Undrain   *workerCommand    `arg:"subcommand:undrain" help:"let a worker take tasks again"`

	Entries string `arg:"--entries,env:FLAMINGO_ENTRIES" help:"addresses of entry processes, separated by commas" placeholder:"LIST"`
	Token   string `arg:"--token-file,env:FLAMINGO_TOKEN_FILE" help:"file that holds the operator's token" placeholder:"FILE"`
	Output  string `arg:"-o,--output" default:"table" help:"table or json"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "flamingoctl asks a cell what runs, what waits and why, and changes what is intended.\n" +
		"Exit codes: 0 done, 1 refused, 2 usage, 3 no answer (a change may have been accepted), 4 not found, 5 unauthorized."
}

func main() {
	args := &arguments{}
	parser := arg.MustParse(args)
	if parser.Subcommand() == nil || args.Entries == "" || args.Token == "" || args.Output != "table" && args.Output != "json" {
		parser.WriteUsage(os.Stderr)
		fmt.Fprintln(os.Stderr, "a command, --entries and --token-file are needed; --output is table or json")
		os.Exit(exitUsage)
	}
	if err := run(args, parser.SubcommandNames()[0]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// usageError is a mistake in the call, such as an unreadable file.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }

func exitCode(err error) int {
	var refusal *client.Refusal
	var usage *usageError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, client.ErrUnreachable):
		return exitUnreachable
	case errors.As(err, &refusal) && refusal.Status == http.StatusNotFound:
		return exitNotFound
	case errors.As(err, &refusal) && refusal.Status == http.StatusUnauthorized:
		return exitUnauthorized
	default:
		return exitRefused
	}
}

func run(args *arguments, action string) error {
	token, err := os.ReadFile(args.Token)
	if err != nil {
		return &usageError{err}
	}
	c := client.New(client.Config{Entries: strings.Split(args.Entries, ","), Token: strings.TrimSpace(string(token))})
	body, options, err := requestBody(args)
	if err != nil {
		return err
	}
	ctx := context.Background()
	if options != nil {
		if err := complete(ctx, c, body, options); err != nil {
			return err
		}
	}
	answer, err := c.Call(ctx, action, body)
	if err != nil {
		if options != nil && errors.Is(err, client.ErrUnreachable) {
			return fmt.Errorf("%w; to send the same change again use --change-id %s --revision %v",
				err, body["change_id"], body["expected_revision"])
		}
		return err
	}
	return printer.New(os.Stdout, args.Output == "json").Print(action, answer)
}

// requestBody returns the body of a request, and the options of a change.
func requestBody(args *arguments) (map[string]any, *changeOptions, error) {
	body := map[string]any{}
	switch {
	case args.Why != nil:
		body["key"] = args.Why.Key
		return body, nil, nil
	case args.Plan != nil:
		return body, nil, readInto(body, "sheet", args.Plan.File)
	case args.Apply != nil:
		body["confirm_stops"] = args.Apply.ConfirmStops
		return body, &args.Apply.changeOptions, readInto(body, "sheet", args.Apply.File)
	case args.Configure != nil:
		return body, &args.Configure.changeOptions, readInto(body, "config_text", args.Configure.File)
	case args.Cancel != nil:
		body["key"] = args.Cancel.Key
		return body, &args.Cancel.changeOptions, nil
	case args.Drain != nil:
		body["worker"] = args.Drain.Worker
		return body, &args.Drain.changeOptions, nil
	case args.Undrain != nil:
		body["worker"] = args.Undrain.Worker
		return body, &args.Undrain.changeOptions, nil
	default:
		return body, nil, nil
	}
}

func readInto(body map[string]any, field, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &usageError{err}
	}
	body[field] = string(data)
	return nil
}

// complete fills in the identity of a change and the revision it is made from.
func complete(ctx context.Context, c *client.Client, body map[string]any, options *changeOptions) error {
	body["change_id"] = options.ChangeID
	if options.ChangeID == "" {
		body["change_id"] = uuid.NewString()
	}
	if options.Revision != nil {
		body["expected_revision"] = *options.Revision
		return nil
	}
	answer, err := c.Call(ctx, "status", map[string]any{})
	if err != nil {
		return err
	}
	status := struct {
		Revision uint64 `json:"revision"`
	}{}
	if err := json.Unmarshal(answer, &status); err != nil {
		return fmt.Errorf("read status: %w", err)
	}
	body["expected_revision"] = status.Revision
	return nil
}
