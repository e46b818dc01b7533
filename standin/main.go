// Command standin simulates workers, targets and callers for the demo, measurements and soak tests.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"flamingodrift.example/standin/internal/demo"
	"flamingodrift.example/standin/internal/soaker"
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

type soakCommand struct {
	Programs string        `arg:"--programs" default:"build" help:"folder with the built programs" placeholder:"DIR"`
	Folder   string        `arg:"--folder,required" help:"takes settings, data and logs of each seed" placeholder:"DIR"`
	Seed     uint64        `arg:"--seed" default:"1" help:"the first seed"`
	Seeds    int           `arg:"--seeds" default:"1" help:"how many seeds to run, one after the other"`
	Length   time.Duration `arg:"--length" default:"20s" help:"how long to inject faults"`
	Controls int           `arg:"--controls" default:"3" help:"control processes"`
	Fronts   int           `arg:"--fronts" default:"2" help:"front processes"`
	Workers  int           `arg:"--workers" default:"5" help:"stand-in workers"`
	Restarts bool          `arg:"--restarts" help:"restart all workers of a failure domain and cut them off soon after, instead of random faults"`
}

type arguments struct {
	Soak   *soakCommand   `arg:"subcommand:soak" help:"run a cell with queues under random faults and check the promises to callers"`
	Survey *surveyCommand `arg:"subcommand:survey" help:"measure what the daemons use as the number of workers grows"`
	Demo   *demoCommand   `arg:"subcommand:demo" help:"start a whole cell on loopback, apply an example sheet, print what runs, waits and why"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "standin plays the parts of workers, targets and callers, for the demo and for measurements."
}

// soak runs the seeds one after the other and prints a line for each, followed by its faults and violations if it has
// violations.
func soak(c *soakCommand) error {
	broken := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		folder := filepath.Join(c.Folder, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return fmt.Errorf("create folder: %w", err)
		}
		report, err := soaker.New(soaker.Config{
			Programs: c.Programs, Folder: folder, Seed: seed, Length: c.Length, Controls: c.Controls, Fronts: c.Fronts,
			Workers: c.Workers, Restarts: c.Restarts,
		}).Run(context.Background())
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Printf("seed %d: %d accepted, %d completed, %d refused, %d faults, %d notes, %d violations\n",
			seed, report.Accepted, report.Completed, report.Refused, len(report.Faults), len(report.Notes),
			len(report.Violations))
		lines := strings.Join(slices.Concat(report.Faults, report.Notes, report.Violations), "\n")
		if err := os.WriteFile(filepath.Join(folder, "report.txt"), []byte(lines+"\n"), 0o600); err != nil {
			return fmt.Errorf("write the report: %w", err)
		}
		if len(report.Violations) > 0 {
			broken++
			fmt.Println(lines)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds have violations", broken, c.Seeds)
	}
	return nil
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
			Window: args.Survey.Window, PollInterval: args.Survey.Poll, Settings: args.Survey.Settings, Out: os.Stdout,
		})
	case args.Soak != nil:
		err = soak(args.Soak)
	default:
		parser.WriteUsage(os.Stderr)
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
