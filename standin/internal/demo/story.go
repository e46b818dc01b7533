package demo

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// step is one part of the demo: a title, what must be true before it, and commands with their exit codes.
type step struct {
	title string
	await string
	ready func() bool
	do    func() error
}

// cutSheet lists only one of the rows of the example, as an export that was cut off would.
const cutSheet = `sheet,2
key,team,kind,tasks,processors,memory_mb,urgency,expected_run_s,run,restart,command
month-settlement,settlements,batch,4,4,8192,normal,600,2026-12,never,sleep 2s
`

// use works with the cell as operators and callers do.
func (d *demo) use() error {
	sheet := filepath.Join(d.cfg.Examples, "sheet.csv")
	cut := filepath.Join(filepath.Dir(d.token), "cut-off.csv")
	if err := os.WriteFile(cut, []byte(cutSheet), 0o600); err != nil {
		return fmt.Errorf("write sheet: %w", err)
	}
	for i, s := range d.story(sheet, cut) {
		d.say("\n=== %d. %s", i+1, s.title)
		if s.ready != nil {
			if err := d.waitFor(s.await, s.ready); err != nil {
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
	d.say("\nThroughout, no worker was given more than it has, and no task ran in two places at once.")
	return nil
}

func (d *demo) story(sheet, cut string) []step {
	return []step{
		{
			title: "A configuration says which teams and services there are.",
			do:    d.commands([]string{"0", "configure", filepath.Join(d.cfg.Examples, "config.json")}),
		},
		{
			title: "The planners' sheet says what should run. plan changes nothing, apply puts it in force.",
			await: "the workers",
			ready: func() bool { return strings.Count(d.output("hosts"), "  worker  ") == workerCount },
			do:    d.commands([]string{"0", "plan", sheet}, []string{"0", "apply", sheet}),
		},
		{
			title: "The targets of chairbook announce themselves, and callers get answers.",
			await: "the targets",
			ready: func() bool { return strings.Count(d.output("targets"), "through entry process") == 3 },
			do:    d.both(d.commands([]string{"0", "targets"}), d.call),
		},
		{
			title: "What runs, what waits, and why?",
			do:    d.commands([]string{"0", "status"}, []string{"0", "list"}, []string{"0", "waiting"}, []string{"0", "why", "chairbook"}),
		},
		{
			title: "Two operators race: the second one worked from revision 1 and is told what changed.",
			do:    d.commands([]string{"1", "drain", "worker-6", "--revision", "1"}),
		},
		{
			title: "A sheet that was cut off is not applied without a confirmation.",
			do:    d.commands([]string{"0", "plan", cut}, []string{"1", "apply", cut}),
		},
		{
			title: "A worker is drained; its tasks move.",
			do:    d.commands([]string{"0", "drain", "worker-1"}),
		},
		{
			title: "The drained worker is empty, and the services run elsewhere.",
			await: "the drain",
			ready: func() bool { return strings.Contains(d.output("why", "worker-1"), " 0 tasks, ") },
			do:    d.commands([]string{"0", "why", "worker-1"}, []string{"0", "history"}),
		},
	}
}

// commands runs flamingoctl; the first element of each command is the exit code that is right.
func (d *demo) commands(list ...[]string) func() error {
	return func() error {
		for _, args := range list {
			code := 0
			if args[0] != "0" {
				code = 1
			}
			if err := d.control(code, args[1:]...); err != nil {
				return err
			}
		}
		return nil
	}
}

func (d *demo) both(first, second func() error) func() error {
	return func() error {
		if err := first(); err != nil {
			return err
		}
		return second()
	}
}
