// Package replay runs a planner against a seeded list of events, with a simulated clock, and measures what it decides
// and what that costs. It stands in for workers only as far as starts, ends and losses of tasks go.
package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime/metrics"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

// Decider is a planner under measurement.
type Decider interface {
	Decide(c *cell.Cell, now time.Duration) *wire.Decisions
}

const (
	step = 100 * time.Millisecond
	// pollDelay is the longest time until a worker polls; orders and reports wait for the next poll.
	pollDelay = 500 * time.Millisecond
	// checkpointTime is how long a checkpoint takes.
	checkpointTime = 500 * time.Millisecond
	// failTime is how long a failing task runs.
	failTime = 2 * time.Second
	// lossTime is how long a lost rack stays away.
	lossTime = 5 * time.Minute
)

// Replay is one run of a planner against a workload.
type Replay struct {
	w       Workload
	decider Decider
	c       *cell.Cell
	r       *rand.Rand
	now     time.Duration
	rows    []*wire.JobSpec
	truth   map[string]*arrival
	// done is the work that a checkpointed task need not repeat.
	done   map[string]time.Duration
	starts map[string]time.Duration
	since  map[string]time.Duration
	events events
	serial int
	sheet  uint64
	bad    map[string]bool
	// ending holds the attempts whose stop is under way.
	ending map[uint64]bool
	groups []string
	result *Result
	demand map[string]float64
	teams  []*wire.Team
}

type timed struct {
	at     time.Duration
	serial int
	do     func()
}

type events []timed

func (e events) Len() int      { return len(e) }
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].serial < e[b].serial
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(timed)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// New prepares a replay.
func New(w Workload, decider Decider) *Replay {
	g := newGenerator(w)
	p := &Replay{
		w: w, decider: decider, r: rand.New(rand.NewPCG(w.Seed, 9)), truth: map[string]*arrival{},
		done: map[string]time.Duration{}, starts: map[string]time.Duration{}, since: map[string]time.Duration{},
		bad: map[string]bool{}, ending: map[uint64]bool{}, result: newResult(),
		c: cell.NewLimited(cell.Limits{Jobs: 100_000, Tasks: 400_000, Workers: 10_000}),
	}
	arrivals := g.arrivals()
	p.demand, p.teams = g.demand, g.teams
	p.c.Apply(&wire.Command{Body: &wire.Command_Configure{Configure: &wire.Configure{
		Change: p.change(), Config: &wire.Config{Profile: w.Profile, Teams: g.teams},
	}}})
	for i := range w.Workers {
		p.join(i)
		if i%100 == 37 && !w.Sound {
			p.bad[workerName(i)] = true
		}
	}
	for _, a := range arrivals {
		p.truth[job.ID(a.spec)] = a
		if a.spec.GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE {
			p.groups = append(p.groups, job.ID(a.spec))
		}
	}
	p.planSheets(arrivals)
	p.planLosses()
	return p
}

func workerName(i int) string { return fmt.Sprintf("worker%04d", i) }

func (p *Replay) change() *wire.Change {
	p.serial++
	return &wire.Change{Id: fmt.Sprint(p.serial), ExpectedRevision: p.c.Revision()}
}

func (p *Replay) at(at time.Duration, do func()) {
	p.serial++
	heap.Push(&p.events, timed{at: at, serial: p.serial, do: do})
}

func (p *Replay) event(e *wire.WorkerEvent) {
	p.c.Apply(&wire.Command{NowUnixMs: p.now.Milliseconds(), Body: &wire.Command_WorkerEvents{
		WorkerEvents: &wire.WorkerEvents{Events: []*wire.WorkerEvent{e}},
	}})
}

func (p *Replay) join(i int) {
	capacity := &wire.Resources{CpuMilli: workerCPU, MemoryMb: workerMemory}
	if i%20 == 0 {
		capacity.Accelerators = 4
	}
	rack := i / workersInRack
	p.event(&wire.WorkerEvent{Worker: workerName(i), Body: &wire.WorkerEvent_Seen{Seen: &wire.WorkerSeen{
		Boot: fmt.Sprint(p.now), Capacity: capacity, Rack: fmt.Sprint(rack), FailureDomain: fmt.Sprint(rack % domainCount),
	}}})
}

// planSheets groups arrivals into sheets, each with all rows that are not finished.
func (p *Replay) planSheets(arrivals []*arrival) {
	groups := map[time.Duration][]*arrival{}
	for _, a := range arrivals {
		at := a.at.Truncate(sheetInterval)
		a.at = at
		groups[at] = append(groups[at], a)
	}
	for at, group := range groups {
		p.serial = int(at / sheetInterval)
		p.at(at, func() { p.applySheet(group) })
	}
	p.serial = 1_000_000
}

func (p *Replay) applySheet(group []*arrival) {
	p.countFailed()
	p.rows = slices.DeleteFunc(p.rows, func(s *wire.JobSpec) bool {
		j := p.c.Job(job.ID(s))
		return j == nil || j.Finished()
	})
	for _, a := range group {
		p.rows = append(p.rows, a.spec)
	}
	p.sheet++
	result := p.c.Apply(&wire.Command{NowUnixMs: p.now.Milliseconds(), Body: &wire.Command_ApplySheet{ApplySheet: &wire.ApplySheet{
		Change: p.change(), Number: p.sheet, Jobs: p.rows, ConfirmedStops: uint32(p.c.Preview(p.rows).StoppedTasks),
	}}})
	if result.GetReason() != "" {
		panic(result.GetDetail())
	}
}

// countFailed counts the failed tasks of jobs that are about to leave the sheet.
func (p *Replay) countFailed() {
	for _, s := range p.rows {
		j := p.c.Job(job.ID(s))
		if j == nil || !j.Finished() || p.truth[j.ID()].bad {
			continue
		}
		for _, t := range j.Tasks() {
			if t.State() == wire.TaskState_TASK_STATE_FAILED {
				p.result.Failed++
			}
		}
	}
}

// planLosses takes a rack away in the middle, and cancels a tenth of the waiting low-urgency jobs at three quarters.
func (p *Replay) planLosses() {
	p.at(p.w.Length/2, func() {
		for i := range min(workersInRack, p.w.Workers/4) {
			p.event(&wire.WorkerEvent{Worker: workerName(i), Body: &wire.WorkerEvent_Lost{
				Lost: &wire.WorkerLost{Boot: p.c.Worker(workerName(i)).Boot()},
			}})
			p.at(p.now+lossTime, func() { p.join(i) })
		}
	})
	p.at(p.w.Length*3/4, p.cancelSome)
}

func (p *Replay) cancelSome() {
	var ids []string
	for id, j := range p.c.WaitingJobs() {
		if j.Active() == 0 && j.Spec().GetUrgency() == wire.Urgency_URGENCY_LOW && j.Order()%10 == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		p.c.Apply(&wire.Command{NowUnixMs: p.now.Milliseconds(), Body: &wire.Command_CancelJob{
			CancelJob: &wire.CancelJob{Change: p.change(), Key: id},
		}})
	}
}

// Run replays all events and returns what was measured.
func (p *Replay) Run() *Result {
	for ; p.now < p.w.Length; p.now += step {
		for len(p.events) > 0 && p.events[0].at <= p.now {
			heap.Pop(&p.events).(timed).do()
		}
		p.stopGroups()
		p.decide()
		if p.now%(5*time.Second) == 0 {
			p.result.samplePacking(p.c)
		}
	}
	p.countUnstarted()
	p.result.finish(p)
	return p.result
}

// Cell returns the cell as the replay left it.
func (p *Replay) Cell() *cell.Cell { return p.c }

var allocated = []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}}

func (p *Replay) decide() {
	metrics.Read(allocated)
	before := allocated[0].Value.Uint64()
	began := time.Now()
	d := p.decider.Decide(p.c, p.now)
	took := time.Since(began)
	metrics.Read(allocated)
	p.result.round(took, allocated[0].Value.Uint64()-before, d)
	if d == nil {
		return
	}
	p.c.Apply(&wire.Command{NowUnixMs: p.now.Milliseconds(), Body: &wire.Command_Decisions{Decisions: d}})
	for _, placement := range d.GetPlacements() {
		if t := p.c.Task(placement.GetTask()); t != nil && t.Active() && t.Worker() == placement.GetWorker() {
			p.result.taken(placement)
			p.start(t)
		}
	}
	for _, stop := range d.GetStops() {
		if t := p.c.Task(stop.GetTask()); t != nil && t.Active() {
			p.stop(t)
		}
	}
}

// stopGroups lets the tasks of all-at-once jobs stop that the cell asked to stop after one of them had ended.
func (p *Replay) stopGroups() {
	for _, id := range p.groups {
		j := p.c.Job(id)
		if j == nil || j.Active() == 0 {
			continue
		}
		for _, t := range j.Tasks() {
			if t.Active() && t.Stopping() && !p.ending[t.Attempt()] {
				p.stop(t)
			}
		}
	}
}

func (p *Replay) poll() time.Duration { return time.Duration(p.r.Int64N(int64(pollDelay))) }

// start lets a placed task start with the worker's next poll and end after its true run.
func (p *Replay) start(t *job.Task) {
	id, attempt := t.ID(), t.Attempt()
	a := p.truth[t.Job().ID()]
	begin := p.now + p.poll()
	phase, run := wire.TaskPhase_TASK_PHASE_SUCCEEDED, a.run-p.done[id]
	if a.bad || p.bad[t.Worker()] {
		phase, run = wire.TaskPhase_TASK_PHASE_FAILED, min(run, failTime)
	}
	p.at(begin, func() {
		if p.holds(id, attempt) && !p.c.Task(id).Stopping() {
			p.started(id)
			p.report(id, attempt, wire.TaskPhase_TASK_PHASE_RUNNING)
		}
	})
	p.at(begin+run+p.poll(), func() {
		if p.holds(id, attempt) && !p.c.Task(id).Stopping() {
			p.report(id, attempt, phase)
		}
	})
}

func (p *Replay) holds(id string, attempt uint64) bool {
	t := p.c.Task(id)
	return t != nil && t.Active() && t.Attempt() == attempt
}

func (p *Replay) report(id string, attempt uint64, phase wire.TaskPhase) {
	p.event(&wire.WorkerEvent{Worker: p.c.Task(id).Worker(), Body: &wire.WorkerEvent_Task{Task: &wire.TaskStatus{
		Task: id, Attempt: attempt, Phase: phase,
	}}})
}

func (p *Replay) started(id string) {
	p.since[id] = p.now
	t := p.c.Task(id)
	// A start on a worker that fails every task is no service to anybody, and neither is that of a job that always fails.
	if _, known := p.starts[id]; known || p.bad[t.Worker()] || p.truth[t.Job().ID()].bad {
		return
	}
	p.starts[id] = p.now
	p.result.start(t.Job().Spec(), p.now-p.truth[t.Job().ID()].at)
}

// stop ends a task after the checkpoint and the polls that carry the orders and the report.
func (p *Replay) stop(t *job.Task) {
	id, attempt := t.ID(), t.Attempt()
	p.ending[attempt] = true
	wait := p.poll() + p.poll()
	if t.CheckpointFirst() {
		wait += checkpointTime + p.poll()
		if since, running := p.since[id]; running {
			p.done[id] = min(p.done[id]+p.now-since, p.truth[t.Job().ID()].run)
		}
	} else {
		delete(p.done, id)
	}
	p.result.Stops++
	p.at(p.now+wait, func() {
		if p.holds(id, attempt) {
			p.report(id, attempt, wire.TaskPhase_TASK_PHASE_STOPPED)
		}
	})
}

// countUnstarted counts tasks that never started with the time they waited so far.
func (p *Replay) countUnstarted() {
	ids := make([]string, 0, len(p.truth))
	for id := range p.truth {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := p.c.Job(id)
		if j == nil || p.truth[id].bad {
			continue
		}
		for _, t := range j.Tasks() {
			_, known := p.starts[t.ID()]
			switch {
			case t.State() == wire.TaskState_TASK_STATE_FAILED:
				p.result.Failed++
			case !known && t.Waiting():
				p.result.Unstarted++
				p.result.start(j.Spec(), p.now-p.truth[id].at)
			}
		}
	}
}

func bytesOf(d *wire.Decisions) int { return proto.Size(d) }

func capacityOf(c *cell.Cell) (capacity, used resource.Vector) {
	for _, w := range c.Workers() {
		if w.Usable() {
			capacity, used = capacity.Add(w.Capacity()), used.Add(w.Used())
		}
	}
	return capacity, used
}
