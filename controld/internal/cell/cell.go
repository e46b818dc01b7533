// Package cell implements the state machine of one cell. Commands reach it through the replicated log, and every node
// applies them in the same order with the same result, so nothing here may read the clock or depend on map order.
package cell

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/change"
	"flamingodrift.example/controld/internal/claim"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/controld/internal/worker"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Limits of a cell.
const (
	MaxJobs    = 10_000
	MaxTasks   = 20_000
	MaxWorkers = 1_024
	MaxTeams   = 512
	MaxHistory = 1_000
	// MaxStopPercent is the percentage of active tasks that a sheet may stop without the operator's confirmation.
	MaxStopPercent = 20
	// CutShortRunRetentionDays is how long an unfinished run is kept after its row left the sheet. It resumes when the
	// row returns within that time.
	CutShortRunRetentionDays = 7
	// FinishedRunRetentionDays is how long a finished run is remembered after its row left the sheet, so that it does
	// not run again.
	FinishedRunRetentionDays = 35
)

const dayMs = 24 * int64(time.Hour/time.Millisecond)

// Cell is the state of one cell. It is not safe for concurrent use: only the goroutine that applies the log may use it.
type Cell struct {
	revision      uint64
	config        *wire.Config
	sheetNumber   uint64
	sheetDigest   []byte
	jobs          map[string]*job.Job
	waiting       map[string]*job.Job
	workers       map[string]*worker.Worker
	usage         map[string]resource.Vector
	claims        *claim.Table
	changes       *change.Log
	history       []*wire.HistoryEntry
	latestAttempt uint64
	nextOrder     uint64
	// finished maps the runs that left the sheet and must not run again to the day, in days since the Unix epoch, on
	// which their retention period began.
	finished map[runHash]int64
	index    index
	limits   Limits
	batch    *batch.Batch
}

// runHash is the first half of the SHA-256 of a job id. Storing the full id would take several times the memory.
type runHash [16]byte

func hashRun(id string) runHash {
	sum := sha256.Sum256([]byte(id))
	return runHash(sum[:16])
}

// Limits are the maximum numbers of jobs, tasks and workers in a cell.
type Limits struct {
	Jobs, Tasks, Workers int
}

// New returns an empty cell with the standard limits.
func New() *Cell { return NewLimited(Limits{Jobs: MaxJobs, Tasks: MaxTasks, Workers: MaxWorkers}) }

// NewLimited returns an empty cell with the given limits, for measuring how costs grow with the size of a cell.
func NewLimited(limits Limits) *Cell {
	return &Cell{
		limits:   limits,
		config:   &wire.Config{Profile: "waiting"},
		jobs:     map[string]*job.Job{},
		waiting:  map[string]*job.Job{},
		workers:  map[string]*worker.Worker{},
		usage:    map[string]resource.Vector{},
		claims:   claim.New(),
		changes:  change.New(),
		finished: map[runHash]int64{},
		index:    newIndex(),
		batch:    batch.New(),
	}
}

// Batch returns the jobs that callers submitted to queues, and their workers.
func (c *Cell) Batch() *batch.Batch { return c.batch }

// Apply executes one command of the log. Commands for queues are applied by Batch instead.
func (c *Cell) Apply(command *wire.Command) *wire.Result {
	now := command.GetNowUnixMs()
	switch command.GetBody().(type) {
	case *wire.Command_OpenClaim, *wire.Command_SettleClaim, *wire.Command_OrphanClaims, *wire.Command_ExpireClaims:
	default:
		c.index.version++
	}
	switch body := command.GetBody().(type) {
	case *wire.Command_Configure, *wire.Command_ApplySheet, *wire.Command_CancelJob, *wire.Command_DrainWorker:
		return c.applyChange(c.operatorChangeOf(command), now)
	case *wire.Command_Decisions:
		c.applyDecisions(body.Decisions, now)
	case *wire.Command_WorkerEvents:
		for _, event := range body.WorkerEvents.GetEvents() {
			c.applyWorkerEvent(event, now)
		}
	case *wire.Command_OpenClaim:
		return &wire.Result{Claim: c.claims.Open(body.OpenClaim.GetRequest(), now)}
	case *wire.Command_SettleClaim:
		c.claims.Settle(body.SettleClaim)
	case *wire.Command_OrphanClaims:
		c.claims.Orphan(body.OrphanClaims.GetEntry(), body.OrphanClaims.GetBoot())
	case *wire.Command_ExpireClaims:
		c.claims.Expire(int(body.ExpireClaims.GetCount()), now)
	}
	return &wire.Result{}
}

func refuse(r reason.Reason, format string, args ...any) *wire.Result {
	return &wire.Result{Reason: r.String(), Detail: fmt.Sprintf(format, args...)}
}

func (c *Cell) configure(config *wire.Config) *wire.Result {
	if len(config.GetTeams()) > MaxTeams {
		return refuse(reason.LimitReached, "at most %d teams", MaxTeams)
	}
	config = proto.Clone(config).(*wire.Config)
	config.Revision = c.revision + 1
	c.setConfig(config)
	return &wire.Result{Detail: fmt.Sprintf("configuration with %d teams and %d services",
		len(config.GetTeams()), len(config.GetServices()))}
}

func (c *Cell) drain(d *wire.DrainWorker) *wire.Result {
	w := c.workers[d.GetWorker()]
	if w == nil {
		return refuse(reason.NotFound, "no worker %q", d.GetWorker())
	}
	w.SetDraining(d.GetDrain())
	c.index.updateWorker(w)
	if d.GetDrain() {
		return &wire.Result{Detail: "drain worker " + w.Name()}
	}
	return &wire.Result{Detail: "end drain of worker " + w.Name()}
}

func (c *Cell) cancel(key string, now int64) *wire.Result {
	waiting, active := 0, 0
	matches := c.index.jobsByKey(key)
	if j := c.jobs[key]; j != nil && !slices.Contains(matches, j) {
		matches = append(slices.Clone(matches), j)
	}
	for _, j := range matches {
		waiting, active = waiting+j.Waiting(), active+j.Active()
		j.Cancel(now)
		c.reindex(j)
	}
	if len(matches) == 0 {
		return refuse(reason.NotFound, "no job %q", key)
	}
	return &wire.Result{Detail: fmt.Sprintf("cancel job %s: %d tasks waited, %d stop", key, waiting, active)}
}

// reindex updates the indexes after a job has changed.
func (c *Cell) reindex(j *job.Job) {
	if j.Waiting() > 0 {
		c.waiting[j.ID()] = j
	} else {
		delete(c.waiting, j.ID())
	}
	c.index.updateJob(j)
}

// applyDecisions applies the decisions of one planner round. A placement that no longer fits is skipped, and its task
// keeps waiting.
func (c *Cell) applyDecisions(d *wire.Decisions, now int64) {
	for _, hold := range d.GetWorkerHolds() {
		if w := c.workers[hold.GetWorker()]; w != nil {
			c.holdWorker(w, hold)
		}
	}
	for _, hold := range d.GetJobHolds() {
		if j := c.jobs[hold.GetKey()]; j != nil {
			c.holdJob(j, hold)
		}
	}
	for _, stop := range d.GetStops() {
		if t := c.Task(stop.GetTask()); t != nil {
			t.Job().Stop(t, stop.GetReason(), stop.GetCheckpointFirst())
		}
	}
	rejected := c.rejectedGangs(d.GetPlacements())
	for _, p := range d.GetPlacements() {
		if t := c.Task(p.GetTask()); t != nil && !rejected[t.Job().ID()] {
			c.place(t, c.workers[p.GetWorker()], placementSize(t.Job(), p), now)
		}
	}
}

// holdWorker holds or releases a worker. When a worker is held, the failures on it no longer count against the jobs.
func (c *Cell) holdWorker(w *worker.Worker, hold *wire.WorkerHold) {
	if hold.GetHeld() {
		for _, id := range w.FailedJobs() {
			if j := c.jobs[id]; j != nil {
				j.RemoveFailedWorker(w.Name())
				c.reindex(j)
			}
		}
	}
	w.SetHeld(hold.GetHeld(), hold.GetReason())
	c.index.updateWorker(w)
}

// holdJob holds or releases a job. When a job is held, its failures no longer count against the workers.
func (c *Cell) holdJob(j *job.Job, hold *wire.JobHold) {
	if hold.GetHeld() {
		for _, name := range j.FailedWorkers() {
			if w := c.workers[name]; w != nil {
				w.RemoveFailedJob(j.ID())
				c.index.updateWorker(w)
			}
		}
	}
	j.SetHeld(hold.GetHeld(), hold.GetReason())
	c.reindex(j)
}

// placementSize returns the resources of a placement: those of the row, or more if reports have shown that the run
// needs more.
func placementSize(j *job.Job, p *wire.Placement) resource.Vector {
	if p.GetResources() == nil {
		return j.Need()
	}
	return j.Need().Max(resource.New(p.GetResources()))
}

func (c *Cell) place(t *job.Task, w *worker.Worker, need resource.Vector, now int64) {
	if w == nil || !t.Waiting() || t.Job().Held() || !w.Usable() || !c.WithinQuota(t.Job().Spec().GetTeam(), need) {
		return
	}
	// The next placement gets the number after that of the latest attempt.
	attempt := c.latestAttempt + 1
	if !w.Place(t.ID(), attempt, need) {
		return
	}
	c.latestAttempt = attempt
	t.Job().Place(t, w.Name(), attempt, need, now)
	c.index.addActive(t)
	c.addUsage(t.Job(), need)
	c.reindex(t.Job())
}

// rejectedGangs returns the ids of all-at-once jobs whose placements do not all fit. None of their tasks is placed.
func (c *Cell) rejectedGangs(placements []*wire.Placement) map[string]bool {
	rejected := map[string]bool{}
	free := map[string]resource.Vector{}
	added := map[string]resource.Vector{}
	placed := map[string]int{}
	for _, p := range placements {
		t, w := c.Task(p.GetTask()), c.workers[p.GetWorker()]
		if t == nil {
			continue
		}
		id := t.Job().ID()
		if w == nil || !w.Usable() || !t.Waiting() || t.Job().Held() {
			rejected[id] = t.Job().Spec().GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE
			continue
		}
		left, ok := free[w.Name()]
		if !ok {
			left = w.Free()
		}
		need, team := placementSize(t.Job(), p), t.Job().Spec().GetTeam()
		if !need.FitsIn(left) || !c.WithinQuota(team, added[team].Add(need)) {
			rejected[id] = t.Job().Spec().GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE
			continue
		}
		free[w.Name()] = left.Sub(need)
		added[team] = added[team].Add(need)
		placed[id]++
	}
	for id, count := range placed {
		j := c.jobs[id]
		if j.Spec().GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE && (count != j.Waiting() || j.Active() > 0) {
			rejected[id] = true
		}
	}
	return rejected
}

func (c *Cell) addUsage(j *job.Job, need resource.Vector) {
	team := j.Spec().GetTeam()
	if sum := c.usage[team].Add(need); sum.IsZero() {
		delete(c.usage, team)
	} else {
		c.usage[team] = sum
	}
}

func (c *Cell) applyWorkerEvent(event *wire.WorkerEvent, now int64) {
	switch body := event.GetBody().(type) {
	case *wire.WorkerEvent_Seen:
		c.registerWorker(event.GetWorker(), body.Seen, now)
	case *wire.WorkerEvent_Lost:
		if w := c.workers[event.GetWorker()]; w != nil && w.Boot() == body.Lost.GetBoot() {
			w.MarkLost(now)
			c.index.updateWorker(w)
			c.endAllTasks(w, "the worker's lease ran out", nil, now)
		}
	case *wire.WorkerEvent_Task:
		c.applyTaskStatus(event.GetWorker(), body.Task, now)
	}
}

func (c *Cell) registerWorker(name string, seen *wire.WorkerSeen, now int64) {
	w := c.workers[name]
	if w == nil {
		if len(c.workers) >= c.limits.Workers {
			return
		}
		c.workers[name] = worker.New(name, seen, now)
		c.index.updateWorker(c.workers[name])
		return
	}
	if w.Boot() != seen.GetBoot() {
		c.endAllTasks(w, "the worker restarted", seen.GetSuspects(), now)
	}
	w.Register(seen, now)
	c.index.updateWorker(w)
}

// endAllTasks ends the tasks of a lost worker. suspects holds the ids of those that may have crashed it.
func (c *Cell) endAllTasks(w *worker.Worker, detail string, suspects []string, now int64) {
	suspectedJobs := map[string]bool{}
	for id := range w.Tasks() {
		if slices.Contains(suspects, id) {
			suspectedJobs[c.Task(id).Job().ID()] = true
		}
	}
	ids := make([]string, 0, len(w.Tasks()))
	for id := range w.Tasks() {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		end := job.End{Phase: wire.TaskPhase_TASK_PHASE_STOPPED, Detail: detail, Lost: true}
		switch {
		case !slices.Contains(suspects, id):
		case len(suspectedJobs) == 1:
			end.Suspicion = job.OnlySuspect
		default:
			end.Suspicion = job.OneOfSuspects
		}
		c.endTask(c.Task(id), w, end, now)
	}
}

func (c *Cell) applyTaskStatus(workerName string, status *wire.TaskStatus, now int64) {
	t, w := c.Task(status.GetTask()), c.workers[workerName]
	if t == nil || w == nil || !t.Active() || t.Worker() != workerName || t.Attempt() != status.GetAttempt() {
		return
	}
	if status.GetPhase() == wire.TaskPhase_TASK_PHASE_RUNNING {
		t.Job().MarkStarted(t, now)
		return
	}
	c.endTask(t, w, job.End{Phase: status.GetPhase(), Detail: status.GetDetail()}, now)
}

func (c *Cell) endTask(t *job.Task, w *worker.Worker, end job.End, now int64) {
	j := t.Job()
	c.index.removeActive(t)
	w.Release(t.ID(), t.Placed())
	switch {
	case end.Phase == wire.TaskPhase_TASK_PHASE_FAILED && !t.Stopping() && !j.Held():
		w.NoteFailure(j.ID())
	case end.Phase == wire.TaskPhase_TASK_PHASE_SUCCEEDED:
		w.NoteSuccess()
	}
	c.index.updateWorker(w)
	c.addUsage(j, resource.Vector{}.Sub(t.Placed()))
	j.MarkEnded(t, end, now)
	c.reindex(j)
}

// Task returns the task with the given id, or nil if there is none.
func (c *Cell) Task(id string) *job.Task {
	jobID, index, ok := splitTaskID(id)
	if !ok {
		return nil
	}
	j := c.jobs[jobID]
	if j == nil || index >= len(j.Tasks()) {
		return nil
	}
	return j.Tasks()[index]
}
