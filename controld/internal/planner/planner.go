// Package planner decides which waiting tasks are placed on which workers and which running tasks are stopped for them,
// and gives a reason for each job that keeps waiting.
package planner

import (
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Config holds the fixed parameters of a Planner. The zero value is what controld uses. Each field disables one rule,
// so that the replay tests can measure its effect.
type Config struct {
	// ArrivalOrder orders the jobs of a level by arrival instead of by the weighted shares of their teams. Quotas still
	// apply; preemption for fair shares is off.
	ArrivalOrder bool
	// NoReservation reserves no capacity for all-at-once jobs.
	NoReservation bool
	// NoFairnessPreemption stops no tasks for a team below its fair share.
	NoFairnessPreemption bool
	// NoPreemption stops no tasks for urgent jobs.
	NoPreemption bool
}

// WaitStatus is why a job's tasks wait.
type WaitStatus struct {
	Reason reason.Reason
	// Detail is a sentence for operators about what would let the job start.
	Detail string
	// Since is the time on the leader's monotonic clock at which the job began to wait for this reason.
	Since time.Duration
}

// Planner holds the state that the leader keeps between rounds. Only the leader's control goroutine may use it. It is
// not replicated: a new leader starts with an empty Planner.
type Planner struct {
	cfg Config
	// waitRecords is keyed by job id.
	waitRecords map[string]*waitRecord
	roundNumber uint64
	cell        *cell.Cell
	// cellVersion and memoryVersion are the versions that the last round considered.
	cellVersion   uint64
	memoryVersion uint64
	lastRoundAt   time.Duration
	started       bool
	workers       *workerSet
	reservation   *reservation
	memory        *memoryTracker
	// stopSeenAt maps the attempt of a stopping task to the time at which its stop was first seen.
	stopSeenAt map[uint64]time.Duration
	// recoveryTokens is the token bucket that limits the placement of tasks whose worker was lost.
	recoveryTokens    float64
	fairnessCheckedAt time.Duration
	tokensRefilledAt  time.Duration
	// heldSince maps the name of a held or probing worker to the time at which its hold was first seen.
	heldSince map[string]time.Duration
}

// New returns a Planner.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:         cfg,
		waitRecords: map[string]*waitRecord{}, memory: newMemoryTracker(), recoveryTokens: recoveryBurst,
		heldSince: map[string]time.Duration{}, stopSeenAt: map[uint64]time.Duration{},
	}
}

// Decide returns the decisions of one round, or nil if there are none. now is the leader's monotonic clock. It is
// deterministic: the same calls on equal cells return equal decisions.
func (p *Planner) Decide(c *cell.Cell, now time.Duration) *wire.Decisions {
	if !p.isDue(c, now) {
		return nil
	}
	r := p.newRound(c, now)
	r.holdWorkers()
	r.holdJobs()
	if len(r.decisions.WorkerHolds) > 0 || len(r.decisions.JobHolds) > 0 {
		// The rest of a round depends on which workers and jobs are held, so it has to wait until the holds are
		// applied.
		return r.decisions
	}
	p.roundNumber++
	r.markSuspects()
	r.stopOutdated()
	r.stopOverMemory()
	r.updateReservation()
	for level := range cell.Levels {
		r.placeLevel(level)
	}
	r.restoreFairness()
	r.recheckReasons()
	r.stopDrained()
	p.pruneWaitRecords()
	d := r.decisions
	if len(d.Placements) == 0 && len(d.Stops) == 0 {
		return nil
	}
	return d
}

// isDue reports whether a round may have new decisions: after a change of the cell or of the memory usage, and once per
// timedRoundInterval while a decision depends on time.
func (p *Planner) isDue(c *cell.Cell, now time.Duration) bool {
	if p.started && p.cell == c && now-p.lastRoundAt < minRoundInterval {
		return false
	}
	changed := !p.started || p.cell != c || p.cellVersion != c.Version() || p.memoryVersion != p.memory.version
	waitsForTime := len(c.WaitingJobs()) > 0 || len(c.Quarantined()) > 0 || len(c.Draining()) > 0 ||
		len(p.memory.overruns) > 0
	return changed || waitsForTime && now-p.lastRoundAt >= timedRoundInterval
}

// newRound refills the recovery tokens and prepares a round from the state of the cell.
func (p *Planner) newRound(c *cell.Cell, now time.Duration) *round {
	p.started, p.cell, p.cellVersion, p.memoryVersion, p.lastRoundAt = true, c, c.Version(), p.memory.version, now
	p.recoveryTokens = min(recoveryBurst, p.recoveryTokens+recoveryPerSecond*(now-p.tokensRefilledAt).Seconds())
	p.tokensRefilledAt = now
	if p.workers == nil || p.workers.cell != c || p.workers.setVersion != c.WorkerSetVersion() {
		p.workers = newWorkerSet(c)
	}
	p.workers.refresh()
	r := &round{
		planner: p, cell: c, now: now, decisions: &wire.Decisions{}, workers: p.workers,
		profile: profileOf(c.Config().GetProfile()),
		teams:   map[string]*team{}, stopping: map[string]bool{}, firstBlocked: map[string]*candidate{},
	}
	r.loadTeams()
	return r
}

// WaitStatus returns why a job waits, as of the last round. The bool is false if that round did not consider the job.
func (p *Planner) WaitStatus(jobID string) (WaitStatus, bool) {
	record, ok := p.waitRecords[jobID]
	if !ok || record.roundNumber != p.roundNumber {
		return WaitStatus{}, false
	}
	return WaitStatus{Reason: record.reason, Detail: record.detail(), Since: record.reasonSince}, true
}

// Throttled reports whether the worker should throttle an attempt, because it uses more memory than it was placed with.
func (p *Planner) Throttled(task string, attempt uint64) bool {
	return p.memory.isOverrunning(task, attempt)
}

// Observe records the usage of a running attempt from a worker's report. Reports lag behind: usage of an attempt that
// is no longer the active one is ignored.
func (p *Planner) Observe(c *cell.Cell, task string, attempt uint64, usage resource.Vector, now time.Duration) {
	if t := c.Task(task); t != nil && t.Active() && t.Attempt() == attempt {
		p.memory.observe(t, usage, now)
	}
}

// pruneWaitRecords drops the records of jobs that no longer wait, once they outnumber the waiting jobs.
func (p *Planner) pruneWaitRecords() {
	if len(p.waitRecords) <= 2*len(p.cell.WaitingJobs())+64 {
		return
	}
	for id := range p.waitRecords {
		if _, waits := p.cell.WaitingJobs()[id]; !waits {
			delete(p.waitRecords, id)
		}
	}
}
