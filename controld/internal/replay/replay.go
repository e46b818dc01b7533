// Package replay runs a planner against a seeded sequence of events on a simulated clock, and measures its decisions
// and their cost. Workers are simulated only as far as starts, ends and losses of tasks go.
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
	// stepLength is the interval of the simulated clock at which the planner is called.
	stepLength = 100 * time.Millisecond
	// maxPollDelay is the longest time until a worker polls. Orders and reports wait for the next poll.
	maxPollDelay = 500 * time.Millisecond
	// checkpointTime is how long a checkpoint takes.
	checkpointTime = 500 * time.Millisecond
	// failureTime is the longest time that a failing task runs.
	failureTime = 2 * time.Second
	// rackOutage is how long the lost rack stays unavailable.
	rackOutage = 5 * time.Minute
)

// Replay is one run of a planner against a workload.
type Replay struct {
	workload Workload
	decider  Decider
	cell     *cell.Cell
	rng      *rand.Rand
	now      time.Duration
	// rows are those of the newest sheet.
	rows []*wire.JobSpec
	// arrivals holds the arrivals by id of their job.
	arrivals map[string]*arrival
	// checkpointed is the run time, by task, that a checkpoint saves from being repeated.
	checkpointed map[string]time.Duration
	// firstStarts and lastStarts are when each task started.
	firstStarts    map[string]time.Duration
	lastStarts     map[string]time.Duration
	events         eventQueue
	serial         int
	sheetNumber    uint64
	failingWorkers map[string]bool
	// stopping holds the attempts whose stop is under way.
	stopping map[uint64]bool
	// allAtOnceJobs holds the ids of the all-at-once jobs.
	allAtOnceJobs []string
	result        *Result
	offeredWork   map[string]float64
	teams         []*wire.Team
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

// eventQueue is a heap of events by time; events of one time are ordered by serial number.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].serial < q[b].serial
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// New returns a replay of a workload that is ready to run.
func New(w Workload, decider Decider) *Replay {
	g := newGenerator(w)
	p := &Replay{
		workload: w, decider: decider, rng: rand.New(rand.NewPCG(w.Seed, 9)), arrivals: map[string]*arrival{},
		checkpointed: map[string]time.Duration{}, firstStarts: map[string]time.Duration{},
		lastStarts:     map[string]time.Duration{},
		failingWorkers: map[string]bool{}, stopping: map[uint64]bool{}, result: newResult(),
		cell: cell.NewLimited(cell.Limits{Jobs: 100_000, Tasks: 400_000, Workers: 10_000}),
	}
	arrivals := g.arrivals()
	p.offeredWork, p.teams = g.offeredWork, g.teams
	p.cell.Apply(&wire.Command{Body: &wire.Command_Configure{Configure: &wire.Configure{
		Change: p.nextChange(), Config: &wire.Config{Profile: w.Profile, Teams: g.teams},
	}}})
	for i := range w.Workers {
		p.addWorker(i)
		if i%100 == 37 && !w.NoFaults {
			p.failingWorkers[workerName(i)] = true
		}
	}
	for _, a := range arrivals {
		p.arrivals[job.ID(a.spec)] = a
		if a.spec.GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE {
			p.allAtOnceJobs = append(p.allAtOnceJobs, job.ID(a.spec))
		}
	}
	p.scheduleSheets(arrivals)
	p.scheduleDisruptions()
	return p
}

func workerName(i int) string { return fmt.Sprintf("worker%04d", i) }

func (p *Replay) nextChange() *wire.Change {
	p.serial++
	return &wire.Change{Id: fmt.Sprint(p.serial), ExpectedRevision: p.cell.Revision()}
}

// schedule adds an event.
func (p *Replay) schedule(at time.Duration, do func()) {
	p.serial++
	heap.Push(&p.events, event{at: at, serial: p.serial, do: do})
}

func (p *Replay) applyWorkerEvent(e *wire.WorkerEvent) {
	p.cell.Apply(&wire.Command{NowUnixMs: p.now.Milliseconds(), Body: &wire.Command_WorkerEvents{
		WorkerEvents: &wire.WorkerEvents{Events: []*wire.WorkerEvent{e}},
	}})
}

// addWorker adds a worker, or brings back one that was lost.
func (p *Replay) addWorker(i int) {
	capacity := &wire.Resources{CpuMilli: workerCPUMilli, MemoryMb: workerMemoryMB}
	if i%20 == 0 {
		capacity.Accelerators = 4
	}
	rack := i / workersPerRack
	p.applyWorkerEvent(&wire.WorkerEvent{Worker: workerName(i), Body: &wire.WorkerEvent_Seen{Seen: &wire.WorkerSeen{
		Boot: fmt.Sprint(p.now), Capacity: capacity, Rack: fmt.Sprint(rack),
		FailureDomain: fmt.Sprint(rack % failureDomains),
	}}})
}

// scheduleSheets groups arrivals into sheets, one per sheetInterval.
func (p *Replay) scheduleSheets(arrivals []*arrival) {
	byTime := map[time.Duration][]*arrival{}
	for _, a := range arrivals {
		at := a.at.Truncate(sheetInterval)
		a.at = at
		byTime[at] = append(byTime[at], a)
	}
	// The order of a map is random, so the serial of each sheet is set from its time to keep the replay deterministic.
	for at, added := range byTime {
		p.serial = int(at / sheetInterval)
		p.schedule(at, func() { p.applySheet(added) })
	}
	p.serial = 1_000_000
}

// applySheet applies a sheet with all rows that are not finished and those of new arrivals.
func (p *Replay) applySheet(added []*arrival) {
	p.countFailed()
	p.rows = slices.DeleteFunc(p.rows, func(s *wire.JobSpec) bool {
		j := p.cell.Job(job.ID(s))
		return j == nil || j.Finished()
	})
	for _, a := range added {
		p.rows = append(p.rows, a.spec)
	}
	p.sheetNumber++
	result := p.cell.Apply(&wire.Command{
		NowUnixMs: p.now.Milliseconds(), Body: &wire.Command_ApplySheet{ApplySheet: &wire.ApplySheet{
			Change: p.nextChange(), Number: p.sheetNumber, Jobs: p.rows,
			ConfirmedStops: uint32(p.cell.Preview(p.rows).StoppedTasks),
		}},
	})
	if result.GetReason() != "" {
		panic(result.GetDetail())
	}
}

// countFailed counts the failed tasks of jobs that are about to leave the sheet.
func (p *Replay) countFailed() {
	for _, s := range p.rows {
		j := p.cell.Job(job.ID(s))
		if j == nil || !j.Finished() || p.arrivals[j.ID()].alwaysFails {
			continue
		}
		for _, t := range j.Tasks() {
			if t.State() == wire.TaskState_TASK_STATE_FAILED {
				p.result.Failed++
			}
		}
	}
}

// scheduleDisruptions makes a rack unavailable after half of the time, and cancels a tenth of the waiting low-urgency
// jobs after three quarters.
func (p *Replay) scheduleDisruptions() {
	p.schedule(p.workload.Length/2, func() {
		for i := range min(workersPerRack, p.workload.Workers/4) {
			p.applyWorkerEvent(&wire.WorkerEvent{Worker: workerName(i), Body: &wire.WorkerEvent_Lost{
				Lost: &wire.WorkerLost{Boot: p.cell.Worker(workerName(i)).Boot()},
			}})
			p.schedule(p.now+rackOutage, func() { p.addWorker(i) })
		}
	})
	p.schedule(p.workload.Length*3/4, p.cancelLowUrgency)
}

func (p *Replay) cancelLowUrgency() {
	var ids []string
	for id, j := range p.cell.WaitingJobs() {
		if j.Active() == 0 && j.Spec().GetUrgency() == wire.Urgency_URGENCY_LOW && j.Order()%10 == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		p.cell.Apply(&wire.Command{NowUnixMs: p.now.Milliseconds(), Body: &wire.Command_CancelJob{
			CancelJob: &wire.CancelJob{Change: p.nextChange(), Key: id},
		}})
	}
}

// Run replays all events and returns the measurements.
func (p *Replay) Run() *Result {
	for ; p.now < p.workload.Length; p.now += stepLength {
		for len(p.events) > 0 && p.events[0].at <= p.now {
			heap.Pop(&p.events).(event).do()
		}
		p.stopAllAtOnceTasks()
		p.decide()
		if p.now%(5*time.Second) == 0 {
			p.result.samplePacking(p.cell)
		}
	}
	p.countUnstarted()
	p.result.finish(p)
	return p.result
}

// Cell returns the cell as the replay left it.
func (p *Replay) Cell() *cell.Cell { return p.cell }

var allocated = []metrics.Sample{{Name: "/gc/heap/allocs:bytes"}}

// decide calls the planner, measures the call and applies the decisions.
func (p *Replay) decide() {
	metrics.Read(allocated)
	before := allocated[0].Value.Uint64()
	began := time.Now()
	d := p.decider.Decide(p.cell, p.now)
	took := time.Since(began)
	metrics.Read(allocated)
	p.result.addRound(took, allocated[0].Value.Uint64()-before, d)
	if d == nil {
		return
	}
	p.cell.Apply(&wire.Command{NowUnixMs: p.now.Milliseconds(), Body: &wire.Command_Decisions{Decisions: d}})
	for _, placement := range d.GetPlacements() {
		if t := p.cell.Task(placement.GetTask()); t != nil && t.Active() && t.Worker() == placement.GetWorker() {
			p.result.addPlacement(placement)
			p.startTask(t)
		}
	}
	for _, stop := range d.GetStops() {
		if t := p.cell.Task(stop.GetTask()); t != nil && t.Active() {
			p.stopTask(t)
		}
	}
}

// stopAllAtOnceTasks stops the tasks of all-at-once jobs that the cell asked to stop because another task of their job
// ended.
func (p *Replay) stopAllAtOnceTasks() {
	for _, id := range p.allAtOnceJobs {
		j := p.cell.Job(id)
		if j == nil || j.Active() == 0 {
			continue
		}
		for _, t := range j.Tasks() {
			if t.Active() && t.Stopping() && !p.stopping[t.Attempt()] {
				p.stopTask(t)
			}
		}
	}
}

// pollDelay returns a random time until the next poll of a worker.
func (p *Replay) pollDelay() time.Duration { return time.Duration(p.rng.Int64N(int64(maxPollDelay))) }

// startTask schedules the start of a placed task at the worker's next poll, and its end after its actual run time.
func (p *Replay) startTask(t *job.Task) {
	id, attempt := t.ID(), t.Attempt()
	a := p.arrivals[t.Job().ID()]
	begin := p.now + p.pollDelay()
	phase, run := wire.TaskPhase_TASK_PHASE_SUCCEEDED, a.runTime-p.checkpointed[id]
	if a.alwaysFails || p.failingWorkers[t.Worker()] {
		phase, run = wire.TaskPhase_TASK_PHASE_FAILED, min(run, failureTime)
	}
	p.schedule(begin, func() {
		if p.isCurrent(id, attempt) && !p.cell.Task(id).Stopping() {
			p.recordStart(id)
			p.reportPhase(id, attempt, wire.TaskPhase_TASK_PHASE_RUNNING)
		}
	})
	p.schedule(begin+run+p.pollDelay(), func() {
		if p.isCurrent(id, attempt) && !p.cell.Task(id).Stopping() {
			p.reportPhase(id, attempt, phase)
		}
	})
}

// isCurrent reports whether an attempt is the present one of its task and still active.
func (p *Replay) isCurrent(id string, attempt uint64) bool {
	t := p.cell.Task(id)
	return t != nil && t.Active() && t.Attempt() == attempt
}

func (p *Replay) reportPhase(id string, attempt uint64, phase wire.TaskPhase) {
	p.applyWorkerEvent(&wire.WorkerEvent{
		Worker: p.cell.Task(id).Worker(), Body: &wire.WorkerEvent_Task{Task: &wire.TaskStatus{
			Task: id, Attempt: attempt, Phase: phase,
		}},
	})
}

func (p *Replay) recordStart(id string) {
	p.lastStarts[id] = p.now
	t := p.cell.Task(id)
	// A start that can only fail, because of the worker or of the job, does not end the wait of a task.
	if _, known := p.firstStarts[id]; known || p.failingWorkers[t.Worker()] || p.arrivals[t.Job().ID()].alwaysFails {
		return
	}
	p.firstStarts[id] = p.now
	p.result.addStart(t.Job().Spec(), p.now-p.arrivals[t.Job().ID()].at)
}

// stopTask schedules the end of a task after its checkpoint and the polls that carry the orders and the report.
func (p *Replay) stopTask(t *job.Task) {
	id, attempt := t.ID(), t.Attempt()
	p.stopping[attempt] = true
	wait := p.pollDelay() + p.pollDelay()
	if t.CheckpointFirst() {
		wait += checkpointTime + p.pollDelay()
		if since, running := p.lastStarts[id]; running {
			p.checkpointed[id] = min(p.checkpointed[id]+p.now-since, p.arrivals[t.Job().ID()].runTime)
		}
	} else {
		delete(p.checkpointed, id)
	}
	p.result.Stops++
	p.schedule(p.now+wait, func() {
		if p.isCurrent(id, attempt) {
			p.reportPhase(id, attempt, wire.TaskPhase_TASK_PHASE_STOPPED)
		}
	})
}

// countUnstarted counts the tasks that never started, with the time that they have waited so far.
func (p *Replay) countUnstarted() {
	ids := make([]string, 0, len(p.arrivals))
	for id := range p.arrivals {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		j := p.cell.Job(id)
		if j == nil || p.arrivals[id].alwaysFails {
			continue
		}
		for _, t := range j.Tasks() {
			_, known := p.firstStarts[t.ID()]
			switch {
			case t.State() == wire.TaskState_TASK_STATE_FAILED:
				p.result.Failed++
			case !known && t.Waiting():
				p.result.Unstarted++
				p.result.addStart(j.Spec(), p.now-p.arrivals[id].at)
			}
		}
	}
}

func encodedBytes(d *wire.Decisions) int { return proto.Size(d) }

// capacityOf returns the total and the used capacity of the usable workers.
func capacityOf(c *cell.Cell) (capacity, used resource.Vector) {
	for _, w := range c.Workers() {
		if w.Usable() {
			capacity, used = capacity.Add(w.Capacity()), used.Add(w.Used())
		}
	}
	return capacity, used
}
