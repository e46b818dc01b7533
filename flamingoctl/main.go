// Command flamingoctl is the operators' command line.
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
	if parser.Subcommand() == nil || args.Entries == "" || args.Token == "" || args.Output != "table" && args.Output != "json" {
		parser.WriteUsage(os.Stderr)
		fmt.Fprintln(os.Stderr, "a command, --entries and --token-file are needed; --output is table or json")
		os.Exit(exitUsage)
	}
	if err := run(args, parser.SubcommandNames()[0]); err != nil {
		report(err, args.Output == "json")
		os.Exit(exitCode(err))
	}
}

// report writes an error for people, and a refusal in JSON for programs.
func report(err error, asJSON bool) {
	var refusal *client.Refusal
	if asJSON && errors.As(err, &refusal) && len(refusal.Body) > 0 {
		fmt.Println(string(refusal.Body))
		return
	}
	fmt.Fprintln(os.Stderr, err)
}

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
		return withoutAdvice(err)
	}
	return printer.New(os.Stdout, args.Output == "json").Print(action, answer)
}

// withoutAdvice shortens the error of a question: the advice to send a change again does not apply.
func withoutAdvice(err error) error {
	var refusal *client.Refusal
	if errors.Is(err, client.ErrUnreachable) && errors.As(err, &refusal) {
		return fmt.Errorf("%w (%s)", client.ErrUnreachable, refusal.Reason)
	}
	return err
}

func entryList(text string) []string {
	var entries []string
	for _, entry := range strings.Split(text, ",") {
		if entry = strings.TrimSpace(entry); entry != "" {
			entries = append(entries, entry)
		}
	}
	return entries
}
