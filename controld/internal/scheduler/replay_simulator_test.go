package scheduler

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/wire"
)

// replayRun is a run on a simulated worker. The members of a gang start to work when all of them have arrived.
type replayRun struct {
	task         *replayTask
	number       int
	arrivedAt    time.Duration
	running      bool
	runningSince time.Duration
	restored     time.Duration
	runTime      time.Duration
}

// replayWorker simulates a worker that executes the orders of a Scheduler. While unreachable, it answers nothing.
type replayWorker struct {
	name          string
	speed         float64
	startedUnixMs int64
	unreachable   bool
	// address is that of the process, which a successor takes over after a crash.
	address string
	crashed bool
	// successor is the worker that runs at the address since the crash; nil until it is up.
	successor  *replayWorker
	runs       map[executor.Run]*replayRun
	ended      []executor.Ended
	lastEnd    uint64
	token      uint64
	leaseUntil time.Duration
	// renewals are waiting for a run to end.
	renewals []waitingRenewal
}

// waitingRenewal is a renewal that waits for a run to end.
type waitingRenewal struct {
	order RenewOrder
	until time.Duration
}

// replayTask holds the actual runtime of a task on a worker of average speed.
type replayTask struct {
	job         *replayJob
	gang        bool
	checkpoints bool
	length      time.Duration
	count       int
	// crashesWorker makes each worker that starts the task crash.
	crashesWorker bool
	// crashes counts the workers that crashed because of the task, and startsAfterLimit its starts after
	// crashLimit crashes.
	crashes, startsAfterLimit int
}

// replayJob is a submitted job with its objective and the value of completing it.
type replayJob struct {
	id        string
	kind      int
	arrived   time.Duration
	objective time.Duration
	value     float64
	tasks     map[executor.Run]*replayTask
	granted   map[string]bool
	done      bool
	took      time.Duration
	work      float64
	// crashesWorkers is set when one of the tasks crashes its workers, so that the job cannot be completed.
	crashesWorkers bool
	failed         bool
	// lost holds the runs that ended because their worker crashed, whatever the cause. The members of a gang share one run.
	lost map[executor.Run]bool
	// workspace is the name of the workspace that submitted the job; empty without workspaces.
	workspace string
	// submissions holds when the job was submitted: the last time is when it was accepted.
	submissions []time.Duration
	accepted    bool
	// admission is the last decision on the job.
	admission Admission
}

// lostRun returns the key of a run in lost.
func (j *replayJob) lostRun(step, index, run int) executor.Run {
	if j.tasks[executor.Run{Step: step, Index: index}].gang {
		index = 0
	}
	return executor.Run{Step: step, Index: index, Run: run}
}

// replay runs a load against a Scheduler in simulated time.
type replay struct {
	*Scheduler
	load load
	// rand draws the arriving jobs, grants what the consent service allows, and restarts which workers crash for other
	// reasons than their tasks. They are apart, so that the same jobs arrive however the Scheduler decides.
	rand, grants, restarts *rand.Rand
	// workspaceRand draws the workspaces of the arriving jobs, and excessRand the jobs of the hot workspace beyond its usual
	// load, so that the other jobs are the same with and without it.
	workspaceRand, excessRand *rand.Rand
	// refused holds the jobs that were refused at least once, and retryAfters the delays that they were told, by the time
	// of the refusal.
	refused     map[string]*replayJob
	retryAfters map[time.Duration][]time.Duration
	// onAdmission is called with each decision on a new job; nil means not at all.
	onAdmission func(*wire.Queue, *wire.SubmittedJob, Admission)
	// all holds every submitted job, by id.
	all         map[string]*replayJob
	now         time.Duration
	batch       *batch.Batch
	workers     map[string]*replayWorker
	workerNames []string
	jobs        map[string]*replayJob
	// idleWaits is how long each job has waited so far while suitable workers were idle, and longestIdleWait the longest
	// of these waits.
	idleWaits       map[string]time.Duration
	longestIdleWait time.Duration
	// longestCrashingWait is the same for the jobs whose tasks crash their workers.
	longestCrashingWait time.Duration
	scheduled           map[time.Duration][]func()
	helperFreeAt        map[string]time.Duration
	results             []kindResult
	// submitted is the number of jobs so far.
	submitted int
	// crashes counts the crashed workers, and lostRuns the runs that they lost, by how many workers the task had crashed
	// before.
	crashes  int
	lostRuns [crashLimit + maxStartsAfterLimit]int
}

// replayStart is when a replay begins on the leader's clock.
const replayStart = time.Minute

func newReplay(l load, seed uint64) *replay {
	r := &replay{
		load: l, rand: rand.New(rand.NewPCG(seed, 2)), grants: rand.New(rand.NewPCG(seed, 3)),
		restarts: rand.New(rand.NewPCG(seed, 4)), now: replayStart, batch: batch.New(),
		workspaceRand: rand.New(rand.NewPCG(seed, 5)), excessRand: rand.New(rand.NewPCG(seed, 6)),
		refused: map[string]*replayJob{}, retryAfters: map[time.Duration][]time.Duration{}, all: map[string]*replayJob{},
		workers: map[string]*replayWorker{}, jobs: map[string]*replayJob{},
		scheduled: map[time.Duration][]func(){}, helperFreeAt: map[string]time.Duration{},
		results: make([]kindResult, len(l.kinds)),
	}
	config := &wire.QueueConfig{Version: 1}
	for _, k := range l.kinds {
		config.Queues = append(config.Queues, &wire.Queue{
			Name: k.name, Host: "h", Prefix: "/" + k.name + "/", Pool: "p", Priority: k.priority, Attempts: k.attempts,
			Stretch: k.stretch, AllowanceMs: uint32(k.allowance.Milliseconds()), Consent: k.consent,
		})
	}
	config.Workspaces = l.workspaces
	r.batch.Apply(&wire.QueueCommand{Configure: config})
	speeds := []float64{0.8, 1, 1.25}
	if l.speeds != nil {
		speeds = l.speeds
	}
	for i := range l.workers {
		w := &replayWorker{
			name: fmt.Sprintf("w%03d", i), speed: speeds[i%len(speeds)], startedUnixMs: 1,
			address: fmt.Sprintf("a%03d:1", i), runs: map[executor.Run]*replayRun{},
		}
		r.workers[w.name] = w
		r.workerNames = append(r.workerNames, w.name)
		r.batch.Apply(&wire.QueueCommand{Workers: []*wire.WorkerLife{r.report(w)}})
	}
	r.startTerm(1)
	return r
}

func (r *replay) report(w *replayWorker) *wire.WorkerLife {
	return &wire.WorkerLife{
		Worker: w.name, BornUnixMs: w.startedUnixMs, Address: w.address, Pool: "p", CpuMillis: 32_000, MemoryMb: 131_072,
		Rack: w.name[:3],
	}
}

func (r *replay) startTerm(term uint64) {
	r.Scheduler = New(Config{
		Lease: 4500 * time.Millisecond, LongestLease: 10 * time.Second, RenewWait: time.Second,
		AnswerTimeout: 400 * time.Millisecond, StartLease: 1500 * time.Millisecond, ClockDriftPercent: 2,
		EndedJobRetention: time.Hour, Logger: slog.New(slog.DiscardHandler), Allocator: replayPolicy,
		LearnRunTimes: r.load.learn,
	}, r.batch, term, r.now)
	for i := range r.load.helpers {
		r.RecordHelperBeat(&wire.HelperBeat{Name: fmt.Sprintf("h%02d", i), Address: "a"}, r.now)
	}
}

// replayPolicy is the placement policy of controld.
var replayPolicy = allocator.Config{Headroom: 0.12, StopTime: 400 * time.Millisecond, MaxReservingGangs: 12}

func (r *replay) after(d time.Duration, f func()) {
	at := (r.now + d + replayTick - 1) / replayTick * replayTick
	r.scheduled[at] = append(r.scheduled[at], f)
}

// draw returns a log-normal value with the given mean and relative standard deviation, at most maxFactor times the
// mean.
func (r *replay) draw(mean, spread, maxFactor float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(mean*maxFactor, mean*math.Exp(sigma*r.rand.NormFloat64()-sigma*sigma/2))
}

func (r *replay) run() {
	start := r.now
	for r.now < start+r.load.length+settleTime {
		r.now += replayTick
		elapsed := r.now - start
		if elapsed < r.load.length {
			r.submitArrivals(elapsed)
		}
		r.applyLosses(elapsed)
		r.applyRestarts(elapsed)
		for _, f := range r.scheduled[r.now] {
			f()
		}
		delete(r.scheduled, r.now)
		r.advanceWorkers()
		r.tick()
		if elapsed%(800*time.Millisecond) == 0 {
			for i := range r.load.helpers {
				r.RecordHelperBeat(&wire.HelperBeat{Name: fmt.Sprintf("h%02d", i), Address: "a"}, r.now)
			}
		}
		if r.load.handover > 0 && elapsed == r.load.handover {
			r.startTerm(2)
		}
		if elapsed%idleCheckInterval == 0 {
			r.trackIdleWaits()
		}
	}
	for _, j := range r.jobs {
		if !j.done && !j.crashesWorkers {
			r.results[j.kind].tooLate++
		}
	}
}

// idleCheckInterval is how often a replay looks for jobs that wait while suitable workers are idle.
const idleCheckInterval = 100 * time.Millisecond

// trackIdleWaits measures how long a job has no run although one of its steps is ready, less than half of the
// processors are in use, and the workers that may run the step have capacity for it twice over.
func (r *replay) trackIdleWaits() {
	var capacity, free int64
	for worker, incarnation := range r.batch.Incarnations() {
		if r.workers[worker].crashed {
			continue
		}
		capacity += incarnation.Capacity().CPU()
		free += incarnation.Free().CPU()
	}
	idle := map[string]time.Duration{}
	for _, j := range r.batch.Active() {
		if free*2 <= capacity || j.Ended() || j.ActiveRuns() > 0 || !r.fitsTwice(j) {
			continue
		}
		idle[j.ID()] = r.idleWaits[j.ID()] + idleCheckInterval
		if r.jobs[j.ID()].crashesWorkers {
			r.longestCrashingWait = max(r.longestCrashingWait, idle[j.ID()])
			continue
		}
		r.longestIdleWait = max(r.longestIdleWait, idle[j.ID()])
	}
	r.idleWaits = idle
}

// fitsTwice reports whether the first ready step of a job would fit twice on the workers that may run it.
func (r *replay) fitsTwice(j *batch.Job) bool {
	for _, step := range j.Steps() {
		if !step.Ready() || step.Waiting() == 0 {
			continue
		}
		slots := int64(0)
		for worker, granted := range r.jobs[j.ID()].granted {
			if incarnation := r.batch.Incarnation(worker); granted && incarnation != nil && !r.workers[worker].crashed {
				slots += step.Need().CopiesIn(incarnation.Free())
			}
		}
		return slots >= int64(2*step.Waiting())
	}
	return false
}

func (r *replay) tick() {
	sc := r.Scheduler
	if command := r.Tick(r.now); command != nil {
		r.after(commitDelay, func() {
			if sc == r.Scheduler {
				r.commit(command)
				sc.Proposed(true, r.now)
			}
		})
	}
	work := r.Take()
	for _, o := range work.Starts {
		if r.rejectedByHost(o.To.Worker, func(answer executor.Answer) { sc.Started(o, answer, r.now) }, sc) {
			continue
		}
		r.after(r.startDelay(), func() { r.ifCurrent(sc, func() { sc.Started(o, r.workerStart(o), r.now) }) })
	}
	for _, o := range work.Stops {
		if r.rejectedByHost(o.To.Worker, func(answer executor.Answer) { sc.Stopped(o, answer, r.now) }, sc) {
			continue
		}
		r.after(orderDelay, func() { r.ifCurrent(sc, func() { sc.Stopped(o, r.workerStop(o), r.now) }) })
	}
	for _, o := range work.Renewals {
		if r.rejectedByHost(o.To.Worker, func(answer executor.Answer) { sc.Renewed(o, executor.Report{}, answer, r.now) }, sc) {
			continue
		}
		r.after(orderDelay, func() {
			w := r.workers[o.To.Worker]
			expected := o.Incarnation.StartedUnixMs()
			if o.Restart != nil {
				expected = o.Restart.GetBornUnixMs()
			}
			if w.unreachable || w.crashed || w.startedUnixMs != expected {
				r.after(o.Order.Wait+400*time.Millisecond, func() {
					r.answerRenewal(sc, o, executor.Report{}, executor.Answer{})
				})
				return
			}
			w.token, w.leaseUntil = max(w.token, o.Order.Token), max(w.leaseUntil, o.Order.Until)
			w.renewals = append(w.renewals, waitingRenewal{o, r.now + o.Order.Wait})
		})
	}
	for _, a := range work.ConsentRequests {
		r.answerConsent(sc, a)
	}
}

// startDelay returns the time until a start order is executed.
func (r *replay) startDelay() time.Duration {
	if l, elapsed := r.load.lateStarts, r.now-time.Minute; elapsed >= l.from && elapsed < l.until {
		return orderDelay + l.delay
	}
	return orderDelay
}

func (r *replay) answerRenewal(sc *Scheduler, o RenewOrder, report executor.Report, answer executor.Answer) {
	if sc == r.Scheduler {
		sc.Renewed(o, report, answer, r.now)
	}
}

func (r *replay) ifCurrent(sc *Scheduler, handle func()) {
	if sc == r.Scheduler {
		handle()
	}
}

func (r *replay) commit(command *wire.QueueCommand) {
	_, effect := r.batch.Apply(command)
	r.Applied(effect, r.now)
	for id, job := range r.jobs {
		if j := r.batch.Job(id); j != nil && j.Phase() == wire.JobPhase_JOB_PHASE_FAILED {
			job.failed = true
		}
	}
	for _, j := range effect.Ended {
		job := r.jobs[j.Task.Step().Job().ID()]
		if job != nil && !job.done && j.Task.Step().Job().Phase() == wire.JobPhase_JOB_PHASE_COMPLETED {
			r.finish(job)
		}
	}
}

func (r *replay) finish(j *replayJob) {
	j.done, j.took = true, r.now-j.arrived
	took, s := r.now-j.arrived, &r.results[j.kind]
	switch {
	case took <= j.objective:
		s.inTime++
		s.earnedValue += j.value
	case took <= overdueFactor*j.objective:
		s.late++
		s.earnedValue += 0.2 * j.value
	default:
		s.tooLate++
	}
}

// answerConsent simulates the consent service, which handles the calls of each helper one at a time.
func (r *replay) answerConsent(sc *Scheduler, request ConsentRequest) {
	policy := request.Step.Job().Queue().GetConsent()
	duration := time.Duration(
		(policy.GetCallMs() + policy.GetWorkerMs()*float64(len(request.Workers))) * float64(time.Millisecond))
	at := max(r.helperFreeAt[request.Helper], r.now) + duration
	r.helperFreeAt[request.Helper] = at
	granted := r.jobs[request.Step.Job().ID()].granted
	r.after(at-r.now+2*orderDelay, func() {
		answer := executor.Consent{}
		for _, w := range request.Workers {
			if _, drawn := granted[w]; !drawn {
				granted[w] = r.grants.Float64() < r.load.kinds[r.jobs[request.Step.Job().ID()].kind].grantedShare
			}
			if granted[w] {
				answer.Tickets = append(answer.Tickets, executor.Ticket{Worker: w, Ticket: "t"})
			}
		}
		r.ifCurrent(sc, func() { sc.Consented(request, answer, nil, r.now) })
	})
}

func (r *replay) answer(status executor.Status) executor.Answer {
	return executor.Answer{Status: status, Clock: r.now, HasClock: true}
}

func (r *replay) workerStart(o StartOrder) executor.Answer {
	w := r.workers[o.To.Worker]
	if w.unreachable || w.crashed || w.startedUnixMs != o.Incarnation.StartedUnixMs() {
		return executor.Answer{}
	}
	if o.Order.Token < w.token {
		return r.answer(executor.Fenced)
	}
	k := o.Order.Run
	j := r.jobs[k.Job]
	t := j.tasks[executor.Run{Step: k.Step, Index: k.Index}]
	restored := time.Duration(0)
	if o.Order.Checkpoint != "" {
		_, _ = fmt.Sscan(o.Order.Checkpoint, (*int64)(&restored))
	}
	w.token, w.leaseUntil = o.Order.Token, max(w.leaseUntil, o.Order.Until)
	run := &replayRun{
		task: t, number: k.Run, arrivedAt: r.now, restored: restored,
		runTime: time.Duration(float64(t.length) / w.speed),
	}
	if r.isSlowed(w) {
		run.runTime = time.Duration(float64(run.runTime) * r.load.slowdown.factor)
	}
	if r.isSlow(t, k) {
		run.runTime *= slowRunFactor
	}
	w.runs[k] = run
	if !t.gang {
		run.running, run.runningSince = true, r.now
	}
	if t.crashes >= crashLimit {
		t.startsAfterLimit++
	}
	if t.crashesWorker {
		before := t.crashes
		t.crashes++
		r.after(crashDelay, func() { r.crash(w, before) })
	}
	return r.answer(executor.Done)
}

// isSlow reports whether a run takes slowRunFactor times as long. It depends on the run alone, so that it is the same
// however the Scheduler decides; the members of a gang share it.
func (r *replay) isSlow(t *replayTask, run executor.Run) bool {
	if t.gang {
		run.Index = 0
	}
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, run.Job, run.Step, run.Index, run.Run)
	return rand.New(rand.NewPCG(hash.Sum64(), 5)).Float64() < r.load.slowRuns
}

// isSlowed reports whether a worker is one of those that are slower now.
func (r *replay) isSlowed(w *replayWorker) bool {
	elapsed := r.now - replayStart
	if elapsed < r.load.slowdown.from || elapsed >= r.load.slowdown.until {
		return false
	}
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, w.name)
	return rand.New(rand.NewPCG(hash.Sum64(), 6)).Float64() < r.load.slowdown.share
}

// declaredLength draws the declared length of a step of an actual length.
func (r *replay) declaredLength(length time.Duration) time.Duration {
	if r.load.declaredError > 0 {
		return time.Duration(float64(length) * math.Exp(r.load.declaredError*r.rand.NormFloat64()))
	}
	return time.Duration(r.draw(float64(length), 0.2, 3))
}

// crash ends the process of a worker; its successor has another name and the same address.
func (r *replay) crash(w *replayWorker, before int) {
	if w.crashed {
		return
	}
	sc := r.Scheduler
	r.crashes++
	r.lostRuns[min(before, len(r.lostRuns)-1)] += len(w.runs)
	for k, run := range w.runs {
		j := run.task.job
		j.lost[j.lostRun(k.Step, k.Index, k.Run)] = true
	}
	for _, waiting := range w.renewals {
		r.after(orderDelay, func() { r.answerRenewal(sc, waiting.order, executor.Report{}, executor.Answer{}) })
	}
	w.crashed, w.renewals, w.runs, w.ended = true, nil, map[executor.Run]*replayRun{}, nil
	r.after(restartDelay, func() {
		next := &replayWorker{
			name: fmt.Sprintf("w%03d", len(r.workerNames)), speed: w.speed, startedUnixMs: w.startedUnixMs + 1,
			address: w.address, runs: map[executor.Run]*replayRun{},
		}
		w.successor, r.workers[next.name] = next, next
		r.workerNames = append(r.workerNames, next.name)
		r.commit(&wire.QueueCommand{Workers: []*wire.WorkerLife{r.report(next)}})
	})
}

// rejectedByHost answers an order to a crashed worker: until its successor runs, nothing listens at its address.
func (r *replay) rejectedByHost(worker string, answer func(executor.Answer), sc *Scheduler) bool {
	w := r.workers[worker]
	if !w.crashed {
		return false
	}
	status := executor.NotSent
	if w.successor != nil {
		status = executor.OtherIncarnation
	}
	r.after(orderDelay, func() { r.ifCurrent(sc, func() { answer(executor.Answer{Status: status}) }) })
	return true
}

func (r *replay) workerStop(o StopOrder) executor.Answer {
	w := r.workers[o.To.Worker]
	if w.unreachable || w.startedUnixMs != o.Incarnation.StartedUnixMs() {
		return executor.Answer{}
	}
	if run := w.runs[o.Order.Run]; run != nil {
		r.endWorkerRun(w, o.Order.Run, executor.OutcomeStopped)
	}
	return r.answer(executor.Done)
}

func (run *replayRun) progress(now time.Duration) time.Duration {
	if !run.running {
		return run.restored
	}
	return run.restored + time.Duration(float64(now-run.runningSince)/float64(run.runTime)*float64(run.task.length))
}

func (r *replay) endWorkerRun(w *replayWorker, k executor.Run, outcome executor.Outcome) {
	run := w.runs[k]
	delete(w.runs, k)
	w.lastEnd++
	checkpoint := ""
	if run.task.checkpoints {
		checkpoint = fmt.Sprint(int64(run.progress(r.now)))
	}
	w.ended = append(w.ended, executor.Ended{Number: w.lastEnd, Run: k, Outcome: outcome, Checkpoint: checkpoint})
}

// advanceWorkers advances the runs and answers the renewals that are due.
func (r *replay) advanceWorkers() {
	started := map[executor.Run]int{}
	for _, w := range r.workers {
		for k, run := range w.runs {
			if run.task.gang {
				started[executor.Run{Job: k.Job, Step: k.Step, Run: run.number}]++
			}
		}
	}
	finished := map[executor.Run]executor.Outcome{}
	for _, name := range r.workerNames {
		w := r.workers[name]
		for k, run := range w.runs {
			group := executor.Run{Job: k.Job, Step: k.Step, Run: run.number}
			switch {
			case r.now > w.leaseUntil:
				r.endWorkerRun(w, k, executor.OutcomeLeaseEnded)
				continue
			case !run.running && started[group] == run.task.count:
				run.running, run.runningSince = true, r.now
			case !run.running && r.now-run.arrivedAt > gangStartTimeout:
				r.endWorkerRun(w, k, executor.OutcomeGangIncomplete)
				continue
			case run.running && run.task.gang && started[group] < run.task.count:
				r.endWorkerRun(w, k, executor.OutcomeGangMemberEnded)
				continue
			}
			if run.running && run.progress(r.now) >= run.task.length {
				if run.task.gang {
					finished[group] = executor.OutcomeDone
					continue
				}
				r.endWorkerRun(w, k, executor.OutcomeDone)
			}
		}
	}
	if len(finished) > 0 {
		r.endGangs(finished)
	}
	for _, name := range r.workerNames {
		w := r.workers[name]
		var rest []waitingRenewal
		for _, waiting := range w.renewals {
			for len(w.ended) > 0 && w.ended[0].Number <= waiting.order.Order.AckedEnd {
				w.ended = w.ended[1:]
			}
			if len(w.ended) == 0 && r.now < waiting.until {
				rest = append(rest, waiting)
				continue
			}
			r.answerWithReport(w, waiting.order)
		}
		w.renewals = rest
	}
}

// endGangs ends the gangs whose slowest member is done.
func (r *replay) endGangs(finished map[executor.Run]executor.Outcome) {
	unfinished := map[executor.Run]bool{}
	for _, name := range r.workerNames {
		for k, run := range r.workers[name].runs {
			group := executor.Run{Job: k.Job, Step: k.Step, Run: run.number}
			if _, ok := finished[group]; ok && run.progress(r.now) < run.task.length {
				unfinished[group] = true
			}
		}
	}
	for _, name := range r.workerNames {
		w := r.workers[name]
		for k, run := range w.runs {
			group := executor.Run{Job: k.Job, Step: k.Step, Run: run.number}
			if _, ok := finished[group]; ok && !unfinished[group] {
				r.endWorkerRun(w, k, executor.OutcomeDone)
			}
		}
	}
}

func (r *replay) answerWithReport(w *replayWorker, o RenewOrder) {
	sc := r.Scheduler
	report := executor.Report{StartedUnixMs: w.startedUnixMs, Ended: append([]executor.Ended(nil), w.ended...)}
	for k, run := range w.runs {
		checkpoint := ""
		if run.task.checkpoints && run.running {
			checkpoint = fmt.Sprint(int64(run.progress(r.now) / checkpointInterval * checkpointInterval))
		}
		percent := int(100 * run.progress(r.now) / run.task.length)
		report.Running = append(report.Running, executor.Running{Run: k, Checkpoint: checkpoint, Percent: min(100, percent)})
	}
	answer := r.answer(executor.Done)
	r.after(orderDelay, func() { r.answerRenewal(sc, o, report, answer) })
}

func (r *replay) applyLosses(elapsed time.Duration) {
	for _, l := range r.load.losses {
		count := int(float64(len(r.workerNames)) * l.share)
		for i := range count {
			w := r.workers[r.workerNames[(i*7)%len(r.workerNames)]]
			switch elapsed {
			case l.from:
				w.unreachable, w.renewals, w.runs, w.ended = true, nil, map[executor.Run]*replayRun{}, nil
			case l.until:
				w.unreachable, w.lastEnd, w.token, w.leaseUntil = false, 0, 0, 0
				w.startedUnixMs++
				r.reportRestart(w)
			}
		}
	}
}

// reportRestart reports a worker that has started again until it is registered.
func (r *replay) reportRestart(w *replayWorker) {
	if present := r.batch.Incarnation(w.name); present != nil && present.StartedUnixMs() == w.startedUnixMs {
		return
	}
	if command := r.RecordReport(r.report(w), r.now); command != nil {
		r.after(commitDelay, func() { r.commit(command) })
	}
	r.after(reportInterval, func() { r.reportRestart(w) })
}

// applyRestarts lets workers crash for other reasons than their tasks.
func (r *replay) applyRestarts(elapsed time.Duration) {
	if c := r.load.restarts; elapsed >= c.from && elapsed < c.until &&
		r.restarts.Float64() < c.perSecond*replayTick.Seconds() {
		r.crash(r.workers[r.workerNames[r.restarts.IntN(len(r.workerNames))]], 0)
	}
}

func (r *replay) submitArrivals(elapsed time.Duration) {
	for i, k := range r.load.kinds {
		if c := r.load.crashes; c.kind == k.name && elapsed >= c.from && elapsed < c.until &&
			r.rand.Float64() < k.perSecond*c.share*replayTick.Seconds() {
			r.submitCrashing(i, k)
		}
		rate := k.perSecond
		for _, b := range r.load.bursts {
			if b.kind == k.name && elapsed >= b.from && elapsed < b.until {
				rate *= b.factor
			}
		}
		if r.rand.Float64() < rate*replayTick.Seconds() {
			r.submit(i, k, r.drawWorkspace())
		}
	}
	if h := r.load.hot; h.name != "" && elapsed >= h.from && elapsed < h.until {
		r.submitExcess(h)
	}
}

// drawWorkspace returns the workspace of the next job, by the shares of the load; empty without workspaces.
func (r *replay) drawWorkspace() string {
	share := r.workspaceRand.Float64()
	for i, w := range r.load.workspaces {
		if share -= r.load.workspaceShares[i]; share < 0 || i == len(r.load.workspaces)-1 {
			return w.GetName()
		}
	}
	return ""
}

// submitExcess submits what a workspace sends beyond its usual load.
func (r *replay) submitExcess(h hotWorkspace) {
	r.rand, r.excessRand = r.excessRand, r.rand
	defer func() { r.rand, r.excessRand = r.excessRand, r.rand }()
	for i, k := range r.load.kinds {
		if h.kind != "" && h.kind != k.name {
			continue
		}
		expected := k.perSecond * h.share * (h.factor - 1) * replayTick.Seconds()
		for ; expected > 0; expected-- {
			if r.rand.Float64() < expected {
				r.submit(i, k, h.name)
			}
		}
	}
}

// submitCrashing submits a job of which one task crashes its workers. It counts in no result.
func (r *replay) submitCrashing(index int, kind jobKind) {
	before := r.results[index]
	r.submit(index, kind, "")
	r.results[index] = before
	if j := r.jobs[fmt.Sprintf("%016x", r.submitted)]; j != nil {
		j.crashesWorkers = true
		j.tasks[executor.Run{}].crashesWorker = true
	}
}

func (r *replay) submit(index int, kind jobKind, workspace string) {
	r.submitted++
	j := &replayJob{
		id: fmt.Sprintf("%016x", r.submitted), kind: index, arrived: r.now, tasks: map[executor.Run]*replayTask{},
		granted: map[string]bool{}, lost: map[executor.Run]bool{}, workspace: workspace,
	}
	r.all[j.id] = j
	for _, name := range r.workerNames {
		j.granted[name] = kind.consent == nil || r.grants.Float64() < kind.grantedShare
	}
	spec := &wire.SubmittedJob{Id: j.id, Queue: kind.name, Workspace: workspace}
	gang, checkpoints := r.rand.Float64() < kind.gangShare, r.rand.Float64() < kind.checkpointShare
	steps := 1
	if r.rand.Float64() < kind.steps-1 {
		steps = 2
	}
	var chain time.Duration
	work := 0.0
	for number := range steps {
		count := max(1, int(r.draw(kind.tasks, 0.8, 6)+0.5))
		cores := r.draw(kind.cores, 0.4, 1.7)
		length := time.Duration(r.draw(float64(kind.runTime), 0.5, 2.5))
		step := &wire.JobStep{
			Count: uint32(count), CpuMillis: int64(cores * 1000), MemoryMb: int64(cores * kind.memoryMB), Gang: gang && count > 1,
			Checkpoints: checkpoints, EstimateMs: uint32(max(1, r.declaredLength(length).Milliseconds())),
		}
		if number > 0 {
			step.After = []uint32{uint32(number - 1)}
		}
		longest := time.Duration(0)
		for i := range count {
			taskLength := time.Duration(r.draw(float64(length), 0.3, 3))
			if step.Gang {
				taskLength = length
			}
			longest = max(longest, taskLength)
			j.tasks[executor.Run{Step: number, Index: i}] = &replayTask{
				job: j, gang: step.Gang, checkpoints: checkpoints, length: taskLength, count: count,
			}
			work += cores * taskLength.Seconds()
		}
		chain += longest
		if kind.consent != nil {
			chain += time.Duration((kind.consent.CallMs + 30*kind.consent.WorkerMs) * float64(time.Millisecond))
		}
		spec.Steps = append(spec.Steps, step)
	}
	j.objective = time.Duration(kind.stretch*float64(chain)) + kind.allowance
	mean := kind.steps * kind.tasks * kind.cores * kind.runTime.Seconds()
	j.work = work
	j.value = kind.value * min(4, 0.3+0.7*work/mean)
	s := &r.results[index]
	s.jobs++
	s.possibleValue += j.value
	r.offer(j, spec)
}

// offer submits a job, again at the time that a refusal names, as often as the clients of the load do.
func (r *replay) offer(j *replayJob, spec *wire.SubmittedJob) {
	j.submissions = append(j.submissions, r.now)
	admission := r.Admit(r.batch.Queue(spec.GetQueue()), spec, r.now)
	j.admission = admission
	if r.onAdmission != nil {
		r.onAdmission(r.batch.Queue(spec.GetQueue()), spec, admission)
	}
	if admission.Admitted {
		j.accepted, j.arrived = true, r.now
		r.jobs[j.id] = j
		r.after(commitDelay, func() { r.commit(&wire.QueueCommand{Submit: spec}) })
		return
	}
	if len(j.submissions) == 1 {
		r.results[j.kind].rejected++
	}
	r.refused[j.id] = j
	r.retryAfters[r.now] = append(r.retryAfters[r.now], admission.RetryAfter)
	if len(j.submissions) <= r.load.retries {
		r.after(admission.RetryAfter, func() { r.offer(j, spec) })
	}
}
