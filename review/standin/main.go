// Command standin runs one case of the review: it starts the system's own daemons as separate processes on loopback
// addresses, with stand-ins for runners, clients, operators and the platform, and checks one rule of the pages.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// errSetup means that a case could not run.
var errSetup = errors.New("the case could not run")

type scenario struct {
	cell    *cell
	fleet   *fleet
	rec     *record
	ops     *operator
	clients *clients
	trouble bool
	// labels gives the labels of a runner by its index; nil stands for the same kind everywhere.
	labels func(int) []string
}

var scenarios = map[string]func(*scenario) error{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	run, root := scenarios[os.Args[1]], os.Args[2]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	root, _ = filepath.Abs(root)
	rec := newRecord()
	c, err := newCell(root, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	finish := func(err error) {
		c.close()
		_ = rec.write(os.Args[3])
		switch {
		case err != nil:
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		case rec.breakCount() > 0:
			fmt.Println("broken:", len(rec.breaks))
			for _, b := range rec.breaks[:min(5, len(rec.breaks))] {
				fmt.Println(b)
			}
			os.Exit(1)
		}
		fmt.Println("held")
		os.Exit(0)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	timeout := time.After(115 * time.Second)
	done := make(chan error, 1)
	go func() {
		s := &scenario{cell: c, rec: rec, ops: newOperator(c, rec), clients: newClients(c, rec), trouble: os.Getenv("TROUBLE") != "0"}
		done <- run(s)
	}()
	select {
	case err = <-done:
	case <-signals:
		err = errSetup
	case <-timeout:
		err = fmt.Errorf("%w in its time", errSetup)
	}
	finish(err)
}

// boot starts the cell with some runners and puts a first configuration into force.
func (s *scenario) boot(runners int, room amounts, routes ...route) error {
	if err := s.cell.startAll(); err != nil {
		return errors.Join(errSetup, err)
	}
	var err error
	if s.fleet, err = newFleet(s.cell, s.rec, runners, room, s.labels); err != nil {
		return errors.Join(errSetup, err)
	}
	if err := s.ops.configure(configBody(1, s.fleet.service, routes...), 20*time.Second); err != nil {
		return errors.Join(errSetup, err)
	}
	// Traffic starts ten seconds after the machines.
	time.Sleep(time.Until(s.rec.began.Add(10 * time.Second)))
	return nil
}

// waitFor waits until a condition of the fleet holds.
func (s *scenario) waitFor(within time.Duration, what string, holds func() bool) error {
	for began := time.Now(); time.Since(began) < within; time.Sleep(20 * time.Millisecond) {
		s.fleet.mu.Lock()
		ok := holds()
		s.fleet.mu.Unlock()
		if ok {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", errSetup, what)
}

func (f *fleet) runCount() int {
	count := 0
	for _, r := range f.runners {
		count += len(r.runs)
	}
	return count
}
