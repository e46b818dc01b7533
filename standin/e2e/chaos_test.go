package e2e

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// fault is a kind of fault that is injected into a process and undone later.
type fault struct {
	name   string
	inject func(s *fixture, process string) error
	undo   func(s *fixture, process string) error
}

var faults = []fault{
	{"kill", (*fixture).kill, (*fixture).start},
	{"pause", (*fixture).pause, (*fixture).resume},
	{"cut", (*fixture).partition, (*fixture).heal},
}

func (s *fixture) kill(process string) error   { return s.cell.Kill(process) }
func (s *fixture) start(process string) error  { return s.cell.Start(process) }
func (s *fixture) pause(process string) error  { return s.cell.Pause(process) }
func (s *fixture) resume(process string) error { return s.cell.Resume(process) }

func (s *fixture) partition(process string) error {
	s.cell.SetPartitioned(process, true)
	return nil
}

func (s *fixture) heal(process string) error {
	s.cell.SetPartitioned(process, false)
	return nil
}

// cmdChaos implements the command "chaos SEED ROUNDS", which injects random faults one after another. Each round
// affects one control or entry process and, in a third of the rounds, partitions one worker, and lasts about two
// seconds. At most one control process is affected at a time, so that a majority stays up.
func cmdChaos(s *fixture, ts *testscript.TestScript, args []string) {
	seed, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	rounds, err := strconv.Atoi(args[1])
	ts.Check(err)
	rng := rand.New(rand.NewPCG(seed, seed))
	names := append(s.cell.Names("control-"), s.cell.Names("entry-")...)
	for round := range rounds {
		f, process := faults[rng.IntN(len(faults))], names[rng.IntN(len(names))]
		w := s.workers[rng.IntN(len(s.workers))]
		cutWorker := rng.IntN(3) == 0
		duration := time.Duration(500+rng.IntN(2500)) * time.Millisecond
		ts.Logf("round %d: %s %s for %s, worker cut: %v", round, f.name, process, duration, cutWorker)
		ts.Check(f.inject(s, process))
		w.SetPartitioned(cutWorker)
		time.Sleep(duration)
		ts.Check(f.undo(s, process))
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		w.SetPartitioned(false)
	}
}
