package planner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"flamingodrift.example/controld/internal/worker"
	"flamingodrift.example/core/wire"
)

// holdWorkers sets aside workers on which tasks of different jobs fail, and lets held ones try again after a delay.
func (r *round) holdWorkers() {
	held := 0
	quarantined := r.c.Quarantined()
	for _, w := range quarantined {
		if w.Held() {
			held++
		}
	}
	r.forgetReleased(quarantined)
	for _, w := range quarantined {
		since, known := r.p.heldSince[w.Name()]
		if !known {
			since = r.now
			r.p.heldSince[w.Name()] = r.now
		}
		switch {
		case w.Held() && r.now-since >= delay(w.Holds()):
			r.releaseWorker(w)
			held--
		case w.Probing() && !w.Suspect() && r.now-since >= delay(w.Holds())+probationMax:
			r.releaseWorker(w)
		}
	}
	for _, w := range r.c.Suspects() {
		if (held+1)*100 > len(r.c.Workers())*heldPercent {
			return
		}
		held++
		delete(r.p.heldSince, w.Name())
		text := "tasks of " + strings.Join(w.FailedJobs(), ", ") + " failed there"
		r.d.WorkerHolds = append(r.d.WorkerHolds, &wire.WorkerHold{Worker: w.Name(), Held: true, Reason: text})
	}
}

func (r *round) releaseWorker(w *worker.Worker) {
	r.d.WorkerHolds = append(r.d.WorkerHolds, &wire.WorkerHold{Worker: w.Name()})
}

func (r *round) forgetReleased(quarantined []*worker.Worker) {
	if len(r.p.heldSince) == len(quarantined) {
		return
	}
	for name := range r.p.heldSince {
		if w := r.c.Worker(name); w == nil || !w.Held() && !w.Probing() {
			delete(r.p.heldSince, name)
		}
	}
}

// delay returns how long a worker is set aside the n-th time in a row.
func delay(holds uint32) time.Duration {
	d := probeDelay
	for ; holds > 1 && d < probeDelayMax; holds-- {
		d *= 2
	}
	return min(d, probeDelayMax)
}

// holdJobs holds jobs that failed on three workers. A worker that is set aside in this round does not count: the fault
// is taken to be its own.
func (r *round) holdJobs() {
	var blamed []string
	for _, hold := range r.d.WorkerHolds {
		if hold.GetHeld() {
			blamed = append(blamed, hold.GetWorker())
		}
	}
	for _, j := range r.c.Failing() {
		on := slices.DeleteFunc(j.FailedWorkers(), func(w string) bool { return slices.Contains(blamed, w) })
		if len(on) >= worker.FailuresToHold {
			text := fmt.Sprintf("its tasks failed on %d workers: %s", len(on), strings.Join(on, ", "))
			r.d.JobHolds = append(r.d.JobHolds, &wire.JobHold{Key: j.ID(), Held: true, Reason: text})
		}
	}
}
