// Command standin plays the parts of workers, targets and callers, for the demo and for measurements.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"flamingodrift.example/standin/internal/demo"
)

type demoCommand struct {
	Programs string `arg:"--programs" default:"build" help:"folder with the built programs" placeholder:"DIR"`
	Examples string `arg:"--examples" default:"examples/kapana" help:"folder with config.json and sheet.csv" placeholder:"DIR"`
}

type arguments struct {
	Demo *demoCommand `arg:"subcommand:demo" help:"start a whole cell on loopback, apply an example sheet, print what runs, waits and why"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "standin plays the parts of workers, targets and callers, for the demo and for measurements."
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if args.Demo == nil {
		parser.WriteUsage(os.Stderr)
		os.Exit(2)
	}
	if err := demo.Run(demo.Config{Programs: args.Demo.Programs, Examples: args.Demo.Examples, Out: os.Stdout}); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}
