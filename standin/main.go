// Command standin plays the parts of workers, targets and callers, for the demo and for measurements.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"flamingodrift.example/standin/internal/demo"
	"flamingodrift.example/standin/internal/surveyor"
)

type demoCommand struct {
	Programs string `arg:"--programs" default:"build" help:"folder with the built programs" placeholder:"DIR"`
	Examples string `arg:"--examples" default:"examples/kapana" help:"folder with config.json and sheet.csv" placeholder:"DIR"`
}

type surveyCommand struct {
	Programs string         `arg:"--programs" default:"build" help:"folder with the built programs" placeholder:"DIR"`
	Controls int            `arg:"--controls" default:"3" help:"control processes"`
	Entries  int            `arg:"--entries" default:"7" help:"entry processes"`
	Workers  []int          `arg:"--workers" help:"numbers of workers to measure" placeholder:"N"`
	Tasks    int            `arg:"--tasks" default:"9" help:"tasks for each worker; a fifth are services"`
	Callers  int            `arg:"--callers" default:"0" help:"callers that send requests meanwhile"`
	Window   time.Duration  `arg:"--window" default:"20s" help:"how long to measure"`
	Poll     time.Duration  `arg:"--poll" default:"1s" help:"interval of workers' polls and targets' announcements"`
	Settings map[string]int `arg:"--set" help:"settings of the daemons to override" placeholder:"NAME=VALUE"`
}

type arguments struct {
	Survey *surveyCommand `arg:"subcommand:survey" help:"measure what the daemons use as the number of workers grows"`
	Demo   *demoCommand   `arg:"subcommand:demo" help:"start a whole cell on loopback, apply an example sheet, print what runs, waits and why"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "standin plays the parts of workers, targets and callers, for the demo and for measurements."
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	var err error
	switch {
	case args.Demo != nil:
		err = demo.Run(demo.Config{Programs: args.Demo.Programs, Examples: args.Demo.Examples, Out: os.Stdout})
	case args.Survey != nil:
		err = surveyor.Run(surveyor.Config{
			Programs: args.Survey.Programs, Controls: args.Survey.Controls, Entries: args.Survey.Entries,
			Workers: args.Survey.Workers, TasksPerWorker: args.Survey.Tasks, Callers: args.Survey.Callers,
			Window: args.Survey.Window, Poll: args.Survey.Poll, Settings: args.Survey.Settings, Out: os.Stdout,
		})
	default:
		parser.WriteUsage(os.Stderr)
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
