package e2e

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// fault is something that befalls a process and is undone later.
type fault struct {
	name string
	do   func(s *scene, process string) error
	undo func(s *scene, process string) error
}

var faults = []fault{
	{"kill", (*scene).kill, (*scene).start},
	{"pause", (*scene).pause, (*scene).resume},
	{"cut", (*scene).cut, (*scene).heal},
}

func (s *scene) kill(process string) error   { return s.cell.Kill(process) }
func (s *scene) start(process string) error  { return s.cell.Start(process) }
func (s *scene) pause(process string) error  { return s.cell.Pause(process) }
func (s *scene) resume(process string) error { return s.cell.Resume(process) }

func (s *scene) cut(process string) error {
	s.cell.SetPartitioned(process, true)
	return nil
}

func (s *scene) heal(process string) error {
	s.cell.SetPartitioned(process, false)
	return nil
}

// cmdChaos injects random faults one after another: chaos SEED ROUNDS. Each round hits one control or entry process and
// one worker, lasts about two seconds, and leaves a majority of control processes alone.
func cmdChaos(s *scene, ts *testscript.TestScript, args []string) {
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
		lasts := time.Duration(500+rng.IntN(2500)) * time.Millisecond
		ts.Logf("round %d: %s %s for %s, worker cut: %v", round, f.name, process, lasts, cutWorker)
		ts.Check(f.do(s, process))
		w.SetPartitioned(cutWorker)
		time.Sleep(lasts)
		ts.Check(f.undo(s, process))
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		w.SetPartitioned(false)
	}
}
