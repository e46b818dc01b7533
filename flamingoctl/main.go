// Command flamingoctl is the operators' command-line client of a cell.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/alexflint/go-arg"

	"flamingodrift.example/flamingoctl/internal/client"
	"flamingodrift.example/flamingoctl/internal/printer"
)

func main() {
	args := &arguments{}
	parser := arg.MustParse(args)
	if parser.Subcommand() == nil || args.Entries == "" || args.Token == "" ||
		args.Output != "table" && args.Output != "json" {
		parser.WriteUsage(os.Stderr)
		fmt.Fprintln(os.Stderr, "a command, --entries and --token-file are needed; --output is table or json")
		os.Exit(exitUsage)
	}
	if err := run(args, parser.SubcommandNames()[0]); err != nil {
		reportError(err, args.Output == "json")
		os.Exit(exitCode(err))
	}
}

// reportError prints an error to standard error. With asJSON, it prints the JSON of a refusal to standard output
// instead.
func reportError(err error, asJSON bool) {
	var refusal *client.Refusal
	if asJSON && errors.As(err, &refusal) && len(refusal.Body) > 0 {
		fmt.Println(string(refusal.Body))
		return
	}
	fmt.Fprintln(os.Stderr, err)
}

// run carries out one command.
func run(args *arguments, action string) error {
	token, err := os.ReadFile(args.Token)
	if err != nil {
		return &usageError{err}
	}
	c := client.New(client.Config{Entries: entryList(args.Entries), Token: strings.TrimSpace(string(token))})
	body, options, err := requestBody(args)
	if err != nil {
		return err
	}
	ctx := context.Background()
	if options != nil {
		if err := completeChange(ctx, c, body, options); err != nil {
			return err
		}
	}
	answer, err := c.Call(ctx, action, body)
	if err != nil {
		if options != nil && errors.Is(err, client.ErrUnreachable) {
			return fmt.Errorf("%w; to send the same change again use --change-id %s --revision %v",
				err, body["change_id"], body["expected_revision"])
		}
		return withoutRetryHint(err)
	}
	return printer.New(os.Stdout, args.Output == "json").Print(action, answer)
}

// withoutRetryHint shortens the error of a request that changes nothing to the last refusal's reason. Its detail may
// advise to send a change again, which does not apply.
func withoutRetryHint(err error) error {
	var refusal *client.Refusal
	if errors.Is(err, client.ErrUnreachable) && errors.As(err, &refusal) {
		return fmt.Errorf("%w (%s)", client.ErrUnreachable, refusal.Reason)
	}
	return err
}

// entryList splits a comma-separated list and drops empty elements.
func entryList(text string) []string {
	var entries []string
	for _, entry := range strings.Split(text, ",") {
		if entry = strings.TrimSpace(entry); entry != "" {
			entries = append(entries, entry)
		}
	}
	return entries
}
