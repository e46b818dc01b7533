package scheduler

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/wire"
)

// replayRun is a run on a replayed worker. The members of a gang begin when all of them are there.
type replayRun struct {
	task     *replayTask
	number   int
	since    time.Duration
	begun    bool
	begunAt  time.Duration
	saved    time.Duration
	expected time.Duration
}

// replayWorker carries out the orders of a Scheduler as a worker does; a dark one answers nothing.
type replayWorker struct {
	name  string
	speed float64
	born  int64
	dark  bool
	runs  map[executor.Run]*replayRun
	ended []executor.Ended
	next  uint64
	token uint64
	until time.Duration
	// held are renewals that wait for an end.
	held []heldRenewal
}

// heldRenewal is a renewal that waits for an end.
type heldRenewal struct {
	order RenewOrder
	until time.Duration
}

// replayTask is what a task really takes, on a worker of usual speed.
type replayTask struct {
	job    *replayJob
	gang   bool
	saves  bool
	length time.Duration
	count  int
}

// replayJob is a submitted job with its objective and what it is worth.
type replayJob struct {
	id        string
	kind      int
	arrived   time.Duration
	objective time.Duration
	worth     float64
	tasks     map[executor.Run]*replayTask
	granted   map[string]bool
	done      bool
	took      time.Duration
	work      float64
}

// replay plays a load against a Scheduler in simulated time.
type replay struct {
	*Scheduler
	load    load
	rand    *rand.Rand
	now     time.Duration
	batch   *batch.Batch
	workers map[string]*replayWorker
	names   []string
	jobs    map[string]*replayJob
	// idle is how long jobs have waited beside idle workers, and longestIdle the longest of these times.
	idle        map[string]time.Duration
	longestIdle time.Duration
	later       map[time.Duration][]func()
	helperAt    map[string]time.Duration
	served      []served
	// submitted numbers the jobs.
	submitted int
}

func newReplay(l load, seed uint64) *replay {
	r := &replay{
		load: l, rand: rand.New(rand.NewPCG(seed, 2)), now: time.Minute, batch: batch.New(), workers: map[string]*replayWorker{},
		jobs: map[string]*replayJob{}, later: map[time.Duration][]func(){}, helperAt: map[string]time.Duration{},
		served: make([]served, len(l.kinds)),
	}
	config := &wire.QueueConfig{Version: 1}
	for _, k := range l.kinds {
		config.Queues = append(config.Queues, &wire.Queue{
			Name: k.name, Host: "h", Prefix: "/" + k.name + "/", Pool: "p", Priority: k.priority, Attempts: k.attempts,
			Stretch: k.stretch, AllowanceMs: uint32(k.allowance.Milliseconds()), Consent: k.consent,
		})
	}
	r.batch.Apply(&wire.QueueCommand{Configure: config})
	for i := range l.workers {
		w := &replayWorker{name: fmt.Sprintf("w%03d", i), speed: []float64{0.8, 1, 1.25}[i%3], born: 1, runs: map[executor.Run]*replayRun{}}
		r.workers[w.name] = w
		r.names = append(r.names, w.name)
		r.batch.Apply(&wire.QueueCommand{Workers: []*wire.WorkerLife{r.report(w)}})
	}
	r.lead(1)
	return r
}

func (r *replay) report(w *replayWorker) *wire.WorkerLife {
	return &wire.WorkerLife{
		Worker: w.name, BornUnixMs: w.born, Address: w.name + ":1", Pool: "p", CpuMillis: 32_000, MemoryMb: 131_072,
		Rack: w.name[:3],
	}
}

func (r *replay) lead(term uint64) {
	r.Scheduler = New(Config{
		Lease: 4500 * time.Millisecond, LongestLease: 10 * time.Second, RenewWait: time.Second, AnswerTimeout: 400 * time.Millisecond,
		StartLease: 1500 * time.Millisecond, ClockDriftPercent: 2, EndedJobRetention: time.Hour, Logger: slog.New(slog.DiscardHandler),
		Allocator: replayPolicy,
	}, r.batch, term, r.now)
	for i := range r.load.helpers {
		r.RecordHelperBeat(&wire.HelperBeat{Name: fmt.Sprintf("h%02d", i), Address: "a"}, r.now)
	}
}

// replayPolicy is the policy that controld runs with.
var replayPolicy = allocator.Config{Headroom: 0.12, StopTime: 400 * time.Millisecond, MaxReservingGangs: 12}

func (r *replay) after(d time.Duration, f func()) {
	at := (r.now + d + replayTurn - 1) / replayTurn * replayTurn
	r.later[at] = append(r.later[at], f)
}

// draw returns a value with a mean and a relative spread, at most mostTimes the mean.
func (r *replay) draw(mean, spread, mostTimes float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(mean*mostTimes, mean*math.Exp(sigma*r.rand.NormFloat64()-sigma*sigma/2))
}

func (r *replay) run() []served {
	start := r.now
	for r.now < start+r.load.length+settle {
		r.now += replayTurn
		passed := r.now - start
		if passed < r.load.length {
			r.arrive(passed)
		}
		r.lose(passed)
		for _, f := range r.later[r.now] {
			f()
		}
		delete(r.later, r.now)
		r.work()
		r.step()
		if passed%(800*time.Millisecond) == 0 {
			for i := range r.load.helpers {
				r.RecordHelperBeat(&wire.HelperBeat{Name: fmt.Sprintf("h%02d", i), Address: "a"}, r.now)
			}
		}
		if r.load.handover > 0 && passed == r.load.handover {
			r.lead(2)
		}
		if passed%idleCheck == 0 {
			r.watchIdle()
		}
	}
	for _, j := range r.jobs {
		if !j.done {
			r.served[j.kind].unserved++
		}
	}
	return r.served
}

// idleCheck is how often a replay looks for work that waits beside idle workers.
const idleCheck = 100 * time.Millisecond

// watchIdle measures how long a job has nothing running although its turn has come, under half of the processors are in
// use, and the workers that may run it have room for it twice over.
func (r *replay) watchIdle() {
	var room, free int64
	for _, life := range r.batch.Incarnations() {
		room += life.Capacity().CPU()
		free += life.Free().CPU()
	}
	idle := map[string]time.Duration{}
	for _, j := range r.batch.Active() {
		if free*2 <= room || j.Ended() || j.ActiveRuns() > 0 || !r.fitsTwice(j) {
			continue
		}
		idle[j.ID()] = r.idle[j.ID()] + idleCheck
		r.longestIdle = max(r.longestIdle, idle[j.ID()])
	}
	r.idle = idle
}

// fitsTwice reports whether a step of a job whose turn has come would fit twice over.
func (r *replay) fitsTwice(j *batch.Job) bool {
	for _, step := range j.Steps() {
		if !step.Ready() || step.Waiting() == 0 {
			continue
		}
		slots := int64(0)
		for worker, granted := range r.jobs[j.ID()].granted {
			if life := r.batch.Incarnation(worker); granted && life != nil {
				slots += step.Need().CopiesIn(life.Free())
			}
		}
		return slots >= int64(2*step.Waiting())
	}
	return false
}

func (r *replay) step() {
	f := r.Scheduler
	if command := r.Tick(r.now); command != nil {
		r.after(commitTime, func() {
			if f == r.Scheduler {
				r.commit(command)
				f.Proposed(true, r.now)
			}
		})
	}
	work := r.Take()
	for _, o := range work.Starts {
		r.after(orderTime, func() { r.order(f, func() { f.Started(o, r.start(o), r.now) }) })
	}
	for _, o := range work.Stops {
		r.after(orderTime, func() { r.order(f, func() { f.Stopped(o, r.stop(o), r.now) }) })
	}
	for _, o := range work.Renewals {
		r.after(orderTime, func() {
			w := r.workers[o.To.Worker]
			if w.dark || w.born != o.Incarnation.StartedUnixMs() {
				r.after(o.Order.Wait+400*time.Millisecond, func() { r.answerRenewal(f, o, executor.Report{}, executor.Answer{}) })
				return
			}
			w.token, w.until = max(w.token, o.Order.Token), max(w.until, o.Order.Until)
			w.held = append(w.held, heldRenewal{o, r.now + o.Order.Wait})
		})
	}
	for _, a := range work.ConsentRequests {
		r.consult(f, a)
	}
}

func (r *replay) answerRenewal(f *Scheduler, o RenewOrder, report executor.Report, answer executor.Answer) {
	if f == r.Scheduler {
		f.Renewed(o, report, answer, r.now)
	}
}

func (r *replay) order(f *Scheduler, carry func()) {
	if f == r.Scheduler {
		carry()
	}
}

func (r *replay) commit(command *wire.QueueCommand) {
	_, effect := r.batch.Apply(command)
	r.Applied(effect, r.now)
	for _, j := range effect.Ended {
		job := r.jobs[j.Task.Step().Job().ID()]
		if job != nil && !job.done && j.Task.Step().Job().Phase() == wire.JobPhase_JOB_PHASE_COMPLETED {
			r.finish(job)
		}
	}
}

func (r *replay) finish(j *replayJob) {
	j.done, j.took = true, r.now-j.arrived
	took, s := r.now-j.arrived, &r.served[j.kind]
	switch {
	case took <= j.objective:
		s.inTime++
		s.earned += j.worth
	case took <= lateFactor*j.objective:
		s.late++
		s.earned += 0.2 * j.worth
	default:
		s.unserved++
	}
}

// consult plays the outside service, which takes the calls of one helper one by one.
func (r *replay) consult(f *Scheduler, a ConsentRequest) {
	policy := a.Step.Job().Queue().GetConsent()
	length := time.Duration((policy.GetCallMs() + policy.GetWorkerMs()*float64(len(a.Workers))) * float64(time.Millisecond))
	at := max(r.helperAt[a.Helper], r.now) + length
	r.helperAt[a.Helper] = at
	granted := r.jobs[a.Step.Job().ID()].granted
	r.after(at-r.now+2*orderTime, func() {
		answer := executor.Consent{}
		for _, w := range a.Workers {
			if granted[w] {
				answer.Tickets = append(answer.Tickets, executor.Ticket{Worker: w, Ticket: "t"})
			}
		}
		r.order(f, func() { f.Consented(a, answer, nil, r.now) })
	})
}

func (r *replay) answer(verdict executor.Status) executor.Answer {
	return executor.Answer{Status: verdict, Clock: r.now, HasClock: true}
}

func (r *replay) start(o StartOrder) executor.Answer {
	w := r.workers[o.To.Worker]
	if w.dark || w.born != o.Incarnation.StartedUnixMs() {
		return executor.Answer{}
	}
	if o.Order.Token < w.token {
		return r.answer(executor.Fenced)
	}
	k := o.Order.Run
	j := r.jobs[k.Job]
	t := j.tasks[executor.Run{Step: k.Step, Index: k.Index}]
	saved := time.Duration(0)
	if o.Order.Checkpoint != "" {
		_, _ = fmt.Sscan(o.Order.Checkpoint, (*int64)(&saved))
	}
	w.token, w.until = o.Order.Token, max(w.until, o.Order.Until)
	run := &replayRun{task: t, number: k.Run, since: r.now, saved: saved, expected: time.Duration(float64(t.length) / w.speed)}
	w.runs[k] = run
	if !t.gang {
		run.begun, run.begunAt = true, r.now
	}
	return r.answer(executor.Done)
}

func (r *replay) stop(o StopOrder) executor.Answer {
	w := r.workers[o.To.Worker]
	if w.dark || w.born != o.Incarnation.StartedUnixMs() {
		return executor.Answer{}
	}
	if run := w.runs[o.Order.Run]; run != nil {
		r.end(w, o.Order.Run, executor.OutcomeStopped)
	}
	return r.answer(executor.Done)
}

func (run *replayRun) progress(now time.Duration) time.Duration {
	if !run.begun {
		return run.saved
	}
	return run.saved + time.Duration(float64(now-run.begunAt)/float64(run.expected)*float64(run.task.length))
}

func (r *replay) end(w *replayWorker, k executor.Run, outcome executor.Outcome) {
	run := w.runs[k]
	delete(w.runs, k)
	w.next++
	checkpoint := ""
	if run.task.saves {
		checkpoint = fmt.Sprint(int64(run.progress(r.now)))
	}
	w.ended = append(w.ended, executor.Ended{Number: w.next, Run: k, Outcome: outcome, Checkpoint: checkpoint})
}

// work lets the runs make progress and answers the renewals that wait.
func (r *replay) work() {
	present := map[executor.Run]int{}
	for _, w := range r.workers {
		for k, run := range w.runs {
			if run.task.gang {
				present[executor.Run{Job: k.Job, Step: k.Step, Run: run.number}]++
			}
		}
	}
	over := map[executor.Run]executor.Outcome{}
	for _, name := range r.names {
		w := r.workers[name]
		for k, run := range w.runs {
			group := executor.Run{Job: k.Job, Step: k.Step, Run: run.number}
			switch {
			case r.now > w.until:
				r.end(w, k, executor.OutcomeLapsed)
				continue
			case !run.begun && present[group] == run.task.count:
				run.begun, run.begunAt = true, r.now
			case !run.begun && r.now-run.since > gangPatience:
				r.end(w, k, executor.OutcomeGangIncomplete)
				continue
			case run.begun && run.task.gang && present[group] < run.task.count:
				r.end(w, k, executor.OutcomeGangMemberEnded)
				continue
			}
			if run.begun && run.progress(r.now) >= run.task.length {
				if run.task.gang {
					over[group] = executor.OutcomeDone
					continue
				}
				r.end(w, k, executor.OutcomeDone)
			}
		}
	}
	if len(over) > 0 {
		r.endGangs(over)
	}
	for _, name := range r.names {
		w := r.workers[name]
		var rest []heldRenewal
		for _, h := range w.held {
			for len(w.ended) > 0 && w.ended[0].Number <= h.order.Order.AckedEnd {
				w.ended = w.ended[1:]
			}
			if len(w.ended) == 0 && r.now < h.until {
				rest = append(rest, h)
				continue
			}
			r.reply(w, h.order)
		}
		w.held = rest
	}
}

// endGangs ends the gangs whose slowest member is done.
func (r *replay) endGangs(over map[executor.Run]executor.Outcome) {
	least := map[executor.Run]bool{}
	for _, name := range r.names {
		for k, run := range r.workers[name].runs {
			group := executor.Run{Job: k.Job, Step: k.Step, Run: run.number}
			if _, ok := over[group]; ok && run.progress(r.now) < run.task.length {
				least[group] = true
			}
		}
	}
	for _, name := range r.names {
		w := r.workers[name]
		for k, run := range w.runs {
			group := executor.Run{Job: k.Job, Step: k.Step, Run: run.number}
			if _, ok := over[group]; ok && !least[group] {
				r.end(w, k, executor.OutcomeDone)
			}
		}
	}
}

func (r *replay) reply(w *replayWorker, o RenewOrder) {
	f := r.Scheduler
	report := executor.Report{StartedUnixMs: w.born, Ended: append([]executor.Ended(nil), w.ended...)}
	for k, run := range w.runs {
		checkpoint := ""
		if run.task.saves && run.begun {
			checkpoint = fmt.Sprint(int64(run.progress(r.now) / checkpointed * checkpointed))
		}
		percent := int(100 * run.progress(r.now) / run.task.length)
		report.Running = append(report.Running, executor.Running{Run: k, Checkpoint: checkpoint, Percent: min(100, percent)})
	}
	answer := r.answer(executor.Done)
	r.after(orderTime, func() { r.answerRenewal(f, o, report, answer) })
}

func (r *replay) lose(passed time.Duration) {
	for _, l := range r.load.losses {
		count := int(float64(len(r.names)) * l.share)
		for i := range count {
			w := r.workers[r.names[(i*7)%len(r.names)]]
			switch passed {
			case l.at:
				w.dark, w.held, w.runs, w.ended = true, nil, map[executor.Run]*replayRun{}, nil
			case l.until:
				w.dark, w.next, w.token, w.until = false, 0, 0, 0
				w.born++
				if report := r.RecordReport(r.report(w), r.now); report != nil {
					r.after(commitTime, func() { r.commit(&wire.QueueCommand{Workers: []*wire.WorkerLife{report}}) })
				}
			}
		}
	}
}

func (r *replay) arrive(passed time.Duration) {
	for i, k := range r.load.kinds {
		rate := k.perSecond
		for _, b := range r.load.bursts {
			if b.kind == k.name && passed >= b.at && passed < b.until {
				rate *= b.factor
			}
		}
		if r.rand.Float64() < rate*replayTurn.Seconds() {
			r.submit(i, k)
		}
	}
}

func (r *replay) submit(index int, k kind) {
	r.submitted++
	j := &replayJob{
		id: fmt.Sprintf("%016x", r.submitted), kind: index, arrived: r.now, tasks: map[executor.Run]*replayTask{},
		granted: map[string]bool{},
	}
	for _, name := range r.names {
		j.granted[name] = k.consent == nil || r.rand.Float64() < k.granted
	}
	spec := &wire.SubmittedJob{Id: j.id, Queue: k.name}
	gang, saves := r.rand.Float64() < k.gangs, r.rand.Float64() < k.checkpoints
	steps := 1
	if r.rand.Float64() < k.steps-1 {
		steps = 2
	}
	var chain time.Duration
	work := 0.0
	for number := range steps {
		count := max(1, int(r.draw(k.tasks, 0.8, 6)+0.5))
		cores := r.draw(k.cores, 0.4, 1.7)
		length := time.Duration(r.draw(float64(k.runs), 0.5, 2.5))
		step := &wire.JobStep{
			Count: uint32(count), CpuMillis: int64(cores * 1000), MemoryMb: int64(cores * k.memoryMB), Gang: gang && count > 1,
			Checkpoints: saves, EstimateMs: uint32(time.Duration(r.draw(float64(length), 0.2, 3)).Milliseconds()),
		}
		if number > 0 {
			step.After = []uint32{uint32(number - 1)}
		}
		longest := time.Duration(0)
		for i := range count {
			own := time.Duration(r.draw(float64(length), 0.3, 3))
			if step.Gang {
				own = length
			}
			longest = max(longest, own)
			j.tasks[executor.Run{Step: number, Index: i}] = &replayTask{job: j, gang: step.Gang, saves: saves, length: own, count: count}
			work += cores * own.Seconds()
		}
		chain += longest
		if k.consent != nil {
			chain += time.Duration((k.consent.CallMs + 30*k.consent.WorkerMs) * float64(time.Millisecond))
		}
		spec.Steps = append(spec.Steps, step)
	}
	j.objective = time.Duration(k.stretch*float64(chain)) + k.allowance
	mean := k.steps * k.tasks * k.cores * k.runs.Seconds()
	j.work = work
	j.worth = k.worth * min(4, 0.3+0.7*work/mean)
	s := &r.served[index]
	s.jobs++
	s.owed += j.worth
	if verdict := r.Admit(r.batch.Queue(k.name), spec, r.now); !verdict.Admitted {
		s.turnedAway++
		return
	}
	r.jobs[j.id] = j
	r.after(commitTime, func() { r.commit(&wire.QueueCommand{Submit: spec}) })
}
