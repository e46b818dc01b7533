// Package planner is the decision engine: it decides where waiting tasks run, what stops for them, and says why the rest
// waits.
package planner

import (
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Config holds the fixed parameters of a Planner. The zero value is the product; each switch takes one rule out, so that a
// measurement can show what the rule is worth.
type Config struct {
	// ArrivalOrder orders jobs of one level by arrival instead of weighted shares, with plain quotas as the only bound.
	ArrivalOrder bool
	// NoReservation keeps no room for all-at-once jobs.
	NoReservation bool
	// NoFairnessPreemption stops nothing for a team below its fair share.
	NoFairnessPreemption bool
	// NoPreemption stops nothing for urgent work.
	NoPreemption bool
}

// WaitStatus says why a job's tasks wait.
type WaitStatus struct {
	Reason reason.Reason
	// Detail is a sentence about what would release the job.
	Detail string
	// Since is when the job began to wait for this reason, on the leader's monotonic clock.
	Since time.Duration
}

// Planner holds what the leader remembers between rounds. It is owned by the control thread of the leader; a new leader
// starts with an empty one.
type Planner struct {
	cfg         Config
	notes       map[string]*note
	round       uint64
	cell        *cell.Cell
	version     uint64
	learned     uint64
	lastRound   time.Duration
	started     bool
	workers     *workers
	reservation *reservation
	learner     *learner
	stopsSeen   map[uint64]time.Duration
	tokens      float64
	givenBack   time.Duration
	tokensAt    time.Duration
	heldSince   map[string]time.Duration
}

// New returns a Planner.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:   cfg,
		notes: map[string]*note{}, learner: newLearner(), tokens: recoveryBurst,
		heldSince: map[string]time.Duration{}, stopsSeen: map[uint64]time.Duration{},
	}
}

// Decide returns the decisions of one round; nil when there is nothing to decide. now is the leader's monotonic clock.
// The same calls on equal cells return equal decisions.
func (p *Planner) Decide(c *cell.Cell, now time.Duration) *wire.Decisions {
	if !p.due(c, now) {
		return nil
	}
	r := p.begin(c, now)
	r.holdWorkers()
	r.holdJobs()
	if len(r.d.WorkerHolds) > 0 || len(r.d.JobHolds) > 0 {
		// Holds change what the rest of a round rests on, so the next round starts from the cell after them.
		return r.d
	}
	p.round++
	r.stopOutdated()
	r.stopOverMemory()
	r.keepReservation()
	for level := range cell.Levels {
		r.placeLevel(level)
	}
	r.restoreFairness()
	r.settleReasons()
	r.emptyDraining()
	p.sweep()
	d := r.d
	if len(d.Placements) == 0 && len(d.Stops) == 0 {
		return nil
	}
	return d
}

// due reports whether a round can find anything new: after a change of the cell, and once per wakeInterval while
// something waits for time to pass.
func (p *Planner) due(c *cell.Cell, now time.Duration) bool {
	if p.started && p.cell == c && now-p.lastRound < roundInterval {
		return false
	}
	changed := !p.started || p.cell != c || p.version != c.Version() || p.learned != p.learner.version
	timed := len(c.WaitingJobs()) > 0 || len(c.Quarantined()) > 0 || len(c.Draining()) > 0 || len(p.learner.over) > 0
	return changed || timed && now-p.lastRound >= wakeInterval
}

func (p *Planner) begin(c *cell.Cell, now time.Duration) *round {
	p.started, p.cell, p.version, p.learned, p.lastRound = true, c, c.Version(), p.learner.version, now
	p.tokens = min(recoveryBurst, p.tokens+recoveryRate*(now-p.tokensAt).Seconds())
	p.tokensAt = now
	if p.workers == nil || p.workers.cell != c || p.workers.set != c.WorkerSetVersion() {
		p.workers = newWorkers(c)
	}
	p.workers.refresh()
	r := &round{
		p: p, c: c, now: now, d: &wire.Decisions{}, w: p.workers, profile: profileOf(c.Config().GetProfile()),
		teams: map[string]*team{}, stopping: map[string]bool{}, first: map[string]*candidate{},
	}
	r.sumTeams()
	return r
}

// WaitStatus says why a job waits, as of the last round. ok is false when no round has looked at the job yet.
func (p *Planner) WaitStatus(jobID string) (WaitStatus, bool) {
	n, ok := p.notes[jobID]
	if !ok || n.round != p.round {
		return WaitStatus{}, false
	}
	return WaitStatus{Reason: n.why, Detail: n.sentence(), Since: n.since}, true
}

// Throttled reports whether an attempt takes more memory than it was placed with, so that the worker should throttle it.
func (p *Planner) Throttled(task string, attempt uint64) bool { return p.learner.isOver(task, attempt) }

// Observe takes the usage of a running attempt from a worker's report, which lags behind.
func (p *Planner) Observe(c *cell.Cell, task string, attempt uint64, usage resource.Vector, now time.Duration) {
	if t := c.Task(task); t != nil && t.Active() && t.Attempt() == attempt {
		p.learner.observe(t, usage, now)
	}
}

// sweep drops notes of jobs that do not wait any more, when they are as many as those that do.
func (p *Planner) sweep() {
	if len(p.notes) <= 2*len(p.cell.WaitingJobs())+64 {
		return
	}
	for id := range p.notes {
		if _, waits := p.cell.WaitingJobs()[id]; !waits {
			delete(p.notes, id)
		}
	}
}
