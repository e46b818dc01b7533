package scheduler

import (
	"math"
	"time"

	"flamingodrift.example/controld/internal/forecaster"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Admission is the decision on whether to accept a new job.
type Admission struct {
	Admitted bool
	// Cause is the kind of the refusal, and Reason a sentence for the caller.
	Cause  reason.Reason
	Reason string
	// Backlog is the work queued ahead of the job, in core-milliseconds.
	Backlog int64
	// RetryAfter is the estimated time until the backlog is short enough to accept the job.
	RetryAfter time.Duration
	// Workspace is the workspace of the job; Excess is set when the job is beyond the rate of its workspace.
	Workspace string
	Excess    bool
	// Wait is the forecast of the wait until the job starts, and Limit the longest wait after which its result still has a
	// value. Ahead is what the waiting tasks ahead of the job need, and Free what they can use now, in thousandths of a
	// core. They are only set where workspaces have weights.
	Wait, Limit time.Duration
	Ahead, Free int64
}

// Fields returns the inputs that decided as fields of a log event.
func (a Admission) Fields() []any {
	fields := []any{
		"workspace", a.Workspace, "why", a.Reason, "waiting_core_ms", a.Backlog,
		"retry_after_ms", a.RetryAfter.Milliseconds(),
	}
	if a.Cause == reason.QueueFull {
		return fields
	}
	return append(fields, "excess", a.Excess, "wait_ms", a.Wait.Milliseconds(),
		"limit_ms", a.Limit.Milliseconds(), "ahead_millicores", a.Ahead, "free_millicores", a.Free)
}

const (
	// usableCapacityShare is the share of all processors that a mix of workloads can use in practice.
	usableCapacityShare = 0.85
	// minRetryAfter keeps rejected callers from retrying immediately.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// backlogInterval is how old the sums of the backlog may be where workspaces have weights.
	backlogInterval = 25 * time.Millisecond
	// maxWaitBesideVariation is the wait of work that is not excess from which on no excess is accepted that is due to the
	// usual variation of a workspace's load. Any other excess is only accepted while no such work waits for capacity.
	maxWaitBesideVariation = 500 * time.Millisecond
)

// Admit decides whether to accept a new job. A job whose expected wait exceeds the time after which its result is
// worthless to the caller is rejected immediately, with an estimate of when to retry.
func (sc *Scheduler) Admit(queue *wire.Queue, job *wire.SubmittedJob, now time.Duration) Admission {
	if sc.hasShares() {
		return sc.admitShared(queue, job, now)
	}
	b := sc.countBacklog(0, now)
	ahead := b.coreMsAhead(queue)
	admission := Admission{Admitted: true, Backlog: ahead.sum(), Workspace: job.GetWorkspace()}
	if b.pool(queue.GetPool()).capacity == 0 {
		// The workers may not have reported to this leader yet.
		return admission
	}
	wait := sc.backlogWait(b, ahead, queue, job)
	var totalMs int64
	for _, step := range job.GetSteps() {
		totalMs += sc.expectedMs(queue.GetName(), step)
	}
	objective := time.Duration(queue.GetStretch()*float64(totalMs))*time.Millisecond +
		time.Duration(queue.GetAllowanceMs())*time.Millisecond
	limit := overdueFactor*objective - time.Duration(totalMs)*time.Millisecond
	if wait <= limit {
		return admission
	}
	admission.Admitted, admission.Cause = false, reason.QueueFull
	admission.Reason = "the work that waits takes longer than the job may"
	admission.RetryAfter = min(maxRetryAfter, max(minRetryAfter, wait-limit))
	return admission
}

// admitShared decides whether to accept a new job where workspaces have weights. Excess is rejected while other work
// waits for capacity. Any other job is rejected when it cannot end before its result is worthless.
func (sc *Scheduler) admitShared(queue *wire.Queue, job *wire.SubmittedJob, now time.Duration) Admission {
	b := sc.countBacklog(backlogInterval, now)
	f, pool := b.forecaster(queue.GetPool()), b.pool(queue.GetPool())
	a := Admission{
		Admitted: true, Backlog: b.coreMsAhead(queue).sum(), Workspace: job.GetWorkspace(),
		Excess: sc.exceedsRate(job, now),
	}
	_, repeated := sc.shares.admitted[job.GetId()]
	if pool.capacity == 0 || repeated {
		// The workers may not have reported to this leader yet, or the job is being committed.
		sc.recordAdmitted(queue, job, a.Excess, now)
		return a
	}
	need := startCPU(job)
	forecast := sc.forecast(f, b, queue, job, a.Excess, now)
	a.Wait, a.Limit, a.Ahead, a.Free = forecast.Wait, forecast.Limit, forecast.Ahead, forecast.Free
	var earliest time.Duration
	switch {
	case a.Excess && forecast.OthersWait > sc.maxWaitBesideExcess(job, now):
		a.Admitted, a.Cause = false, reason.OverShare
		a.Reason = "the workspace is over its rate and other work waits for capacity"
		earliest = forecast.OthersWait
	case !forecast.InTime() && sc.startSet(queue, job) != nil:
		a.Admitted, a.Cause = false, reason.NotInTime
		a.Reason = "the job could not end before its result is worthless"
		earliest = forecast.Wait - forecast.Limit
	default:
		sc.recordAdmitted(queue, job, a.Excess, now)
		return a
	}
	a.RetryAfter = f.RetryAfter(job.GetId(), need, earliest, now)
	return a
}

// recordAdmitted counts an admitted job before it is in the log, as hundreds may be admitted until then.
func (sc *Scheduler) recordAdmitted(queue *wire.Queue, job *wire.SubmittedJob, excess bool, now time.Duration) {
	id := job.GetId()
	if _, repeated := sc.shares.admitted[id]; repeated {
		return
	}
	a := admittedJob{at: now, excess: excess, queue: queue, job: job}
	sc.shares.admitted[id] = a
	sc.addAdmitted(a)
	if excess {
		sc.shares.rates.AcceptExcess(job.GetWorkspace(), id, now)
		return
	}
	sc.backlog.forecaster(queue.GetPool()).Arrived(queue.GetPriority(), sc.possibleCPU(queue, job), now)
	if sc.batch.Workspace(job.GetWorkspace()) != nil {
		sc.shares.rates.Accept(job.GetWorkspace(), id, now)
	}
}

// maxWaitBesideExcess returns how long other work may wait for capacity while an excess job is accepted.
func (sc *Scheduler) maxWaitBesideExcess(job *wire.SubmittedJob, now time.Duration) time.Duration {
	workspace := sc.batch.Workspace(job.GetWorkspace())
	if sc.shares.rates.IsVariation(workspace.GetName(), workspace.GetWeight(), now) {
		return maxWaitBesideVariation
	}
	return 0
}

// forecast predicts the course of a new job.
func (sc *Scheduler) forecast(
	f *forecaster.Forecaster, b *backlog, queue *wire.Queue, job *wire.SubmittedJob, excess bool, now time.Duration,
) forecaster.Forecast {
	pool := b.pool(queue.GetPool())
	input := forecaster.Job{
		Priority: queue.GetPriority(), Excess: excess, Capacity: pool.capacity - pool.draining, InUse: pool.inUse,
		Need: startCPU(job),
	}
	var ahead, others workBySet
	var aheadCPU, aheadCoreMs int64
	for class, work := range b.work {
		if class.pool != queue.GetPool() {
			continue
		}
		aheadCPU, aheadCoreMs = aheadCPU+work.cpu, aheadCoreMs+work.coreMs
		cpu := sc.withinLimit(class.workspace, work.cpu)
		if !class.excess && cpu > 0 {
			others.add(class.workers, cpu)
		}
		switch {
		case excess && !class.excess:
			// All work that is not excess goes first, even if it is overdue.
			if cpu = sc.withinLimit(class.workspace, work.cpu+work.overdueCPU); cpu > 0 {
				ahead.add(class.workers, cpu)
			}
		case excess != class.excess || class.priority > queue.GetPriority():
		case class.priority < queue.GetPriority() || b.ranks.Rank(class.workspace) <= b.ranks.Rank(job.GetWorkspace()):
			if cpu > 0 {
				ahead.add(class.workers, cpu)
			}
		}
	}
	sc.setCompetition(&input, b, queue, job, ahead, others)
	if aheadCPU > 0 {
		input.AheadLength = time.Duration(float64(aheadCoreMs) / float64(aheadCPU) * float64(time.Second))
	}
	input.Length = sc.criticalPath(queue, job)
	input.Objective = time.Duration(queue.GetStretch()*float64(input.Length)) +
		time.Duration(queue.GetAllowanceMs())*time.Millisecond
	input.Consent = sc.consentTime(queue, job, now)
	forecast := f.Forecast(input, now)
	forecast.Wait = max(forecast.Wait, sc.limitDelay(b, queue, job))
	return forecast
}

// withinLimit returns the part of the waiting work of a workspace that its limit lets start.
func (sc *Scheduler) withinLimit(workspace string, cpu int64) int64 {
	if free, limited := sc.batch.WorkspaceFree(workspace); limited {
		return max(0, min(cpu, free.CPU()))
	}
	return cpu
}

// limitDelay returns how long a new job waits for the limit of its workspace, by the rate at which the workspace's runs
// release processors. Only work of the same or a more urgent priority gets the limit before it.
func (sc *Scheduler) limitDelay(b *backlog, queue *wire.Queue, job *wire.SubmittedJob) time.Duration {
	free, limited := sc.batch.WorkspaceFree(job.GetWorkspace())
	releasing := b.releasing[job.GetWorkspace()]
	if !limited || releasing <= 0 {
		return 0
	}
	missing := startCPU(job) - free.CPU()
	for class, work := range b.work {
		if class.workspace == job.GetWorkspace() && class.pool == queue.GetPool() && !class.excess &&
			class.priority <= queue.GetPriority() {
			missing += work.cpu
		}
	}
	return time.Duration(float64(max(0, missing)) / releasing * float64(time.Second))
}

// consentTime returns how long it takes to get consent for the first step of a new job: the call, and the wait for a
// helper.
func (sc *Scheduler) consentTime(queue *wire.Queue, job *wire.SubmittedJob, now time.Duration) time.Duration {
	policy := queue.GetConsent()
	if policy == nil || len(job.GetSteps()) == 0 {
		return 0
	}
	step := job.GetSteps()[0]
	workers := math.Ceil(float64(step.GetCount()+spareWorkers) / sc.grantRate(queue.GetName()))
	if step.GetGang() {
		workers = max(minWorkersPerGangRequest, workers)
	}
	workers = min(maxWorkersPerCall, workers)
	busy := time.Duration(-1)
	for _, h := range sc.helpers {
		if wait := max(0, h.busyUntil-now); now-h.lastBeatAt < helperTimeout && (busy < 0 || wait < busy) {
			busy = wait
		}
	}
	return max(0, busy) + time.Duration((policy.GetCallMs()+policy.GetWorkerMs()*workers)*float64(time.Millisecond))
}

// criticalPath returns the expected length of the longest chain of steps of a new job.
func (sc *Scheduler) criticalPath(queue *wire.Queue, job *wire.SubmittedJob) time.Duration {
	steps := job.GetSteps()
	paths := make([]time.Duration, len(steps))
	var longest time.Duration
	for number := len(steps) - 1; number >= 0; number-- {
		paths[number] += time.Duration(sc.expectedMs(queue.GetName(), steps[number])) * time.Millisecond
		longest = max(longest, paths[number])
		for _, before := range steps[number].GetAfter() {
			paths[before] = max(paths[before], paths[number])
		}
	}
	return longest
}

// startCPU returns what the steps of a new job need that may start at once, in thousandths of a core.
func startCPU(job *wire.SubmittedJob) int64 {
	var sum int64
	for _, step := range job.GetSteps() {
		if len(step.GetAfter()) == 0 {
			sum += stepCPU(step)
		}
	}
	return sum
}

// possibleCPU returns what the steps of a new job need that workers could run, in thousandths of a core.
func (sc *Scheduler) possibleCPU(queue *wire.Queue, job *wire.SubmittedJob) int64 {
	_, possible := sc.matchJob(queue, job)
	var sum int64
	for number, step := range job.GetSteps() {
		if possible[number] {
			sum += stepCPU(step)
		}
	}
	return sum
}

// stepCPU returns what the tasks of a step need together, in thousandths of a core.
func stepCPU(step *wire.JobStep) int64 { return int64(step.GetCount()) * step.GetCpuMillis() }
