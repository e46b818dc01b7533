package demo

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// stage is one part of the demo. It begins when ready, if set, returns true; awaited names what it waits for.
type stage struct {
	title   string
	awaited string
	ready   func() bool
	do      func() error
}

// truncatedSheet has only one of the rows of the example, like a truncated export.
const truncatedSheet = `sheet,2
key,team,kind,tasks,processors,memory_mb,urgency,expected_run_s,run,restart,command
month-settlement,settlements,batch,4,4,8192,normal,600,2026-12,never,sleep 2s
`

// runStages runs the stages and then checks that the oracle recorded no violation.
func (d *demo) runStages() error {
	sheet := filepath.Join(d.cfg.Examples, "sheet.csv")
	truncated := filepath.Join(filepath.Dir(d.token), "cut-off.csv")
	if err := os.WriteFile(truncated, []byte(truncatedSheet), 0o600); err != nil {
		return fmt.Errorf("write sheet: %w", err)
	}
	for i, s := range d.stages(sheet, truncated) {
		d.printf("\n=== %d. %s", i+1, s.title)
		if s.ready != nil {
			if err := d.waitFor(s.awaited, s.ready); err != nil {
				return err
			}
		}
		if err := s.do(); err != nil {
			return err
		}
	}
	if violations := d.oracle.Violations(); len(violations) > 0 {
		return errors.New(strings.Join(violations, "\n"))
	}
	d.printf("\nThroughout, no worker was given more than it has, and no task ran in two places at once.")
	return nil
}

func (d *demo) stages(sheet, truncated string) []stage {
	return []stage{
		{
			title: "A configuration says which teams and services there are.",
			do:    d.commands([]string{"0", "configure", filepath.Join(d.cfg.Examples, "config.json")}),
		},
		{
			title:   "The planners' sheet says what should run. plan changes nothing, apply puts it in force.",
			awaited: "the workers",
			ready:   func() bool { return strings.Count(d.output("hosts"), "  worker  ") == workerCount },
			do:      d.commands([]string{"0", "plan", sheet}, []string{"0", "apply", sheet}),
		},
		{
			title:   "The targets of chairbook announce themselves, and callers get answers.",
			awaited: "the targets",
			ready:   func() bool { return strings.Count(d.output("targets"), "through entry process") == 3 },
			do:      d.inOrder(d.commands([]string{"0", "targets"}), d.sendRequests),
		},
		{
			title: "What runs, what waits, and why?",
			do: d.commands([]string{"0", "status"}, []string{"0", "list"}, []string{"0", "waiting"},
				[]string{"0", "why", "chairbook"}),
		},
		{
			title: "Two operators race: the second one worked from revision 1 and is told what changed.",
			do:    d.commands([]string{"1", "drain", "worker-6", "--revision", "1"}),
		},
		{
			title: "A sheet that was cut off is not applied without a confirmation.",
			do:    d.commands([]string{"0", "plan", truncated}, []string{"1", "apply", truncated}),
		},
		{
			title: "A worker is drained; its tasks move.",
			do:    d.commands([]string{"0", "drain", "worker-1"}),
		},
		{
			title:   "The drained worker is empty, and the services run elsewhere.",
			awaited: "the drain",
			ready:   func() bool { return strings.Contains(d.output("why", "worker-1"), " 0 tasks, ") },
			do:      d.commands([]string{"0", "why", "worker-1"}, []string{"0", "history"}),
		},
	}
}

// commands returns a function that runs flamingoctl for each argument list. The first element of a list is the expected
// exit code: 0, or any other for 1.
func (d *demo) commands(list ...[]string) func() error {
	return func() error {
		for _, args := range list {
			code := 0
			if args[0] != "0" {
				code = 1
			}
			if err := d.runCtl(code, args[1:]...); err != nil {
				return err
			}
		}
		return nil
	}
}

// inOrder returns a function that calls two functions one after the other.
func (d *demo) inOrder(first, second func() error) func() error {
	return func() error {
		if err := first(); err != nil {
			return err
		}
		return second()
	}
}
