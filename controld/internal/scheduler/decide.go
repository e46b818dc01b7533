package scheduler

import (
	"cmp"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

const (
	// provenStreak is how many runs in a row may fail before a worker has to prove itself again.
	provenStreak = 2
	// failingPause is how long a worker that fails its runs gets no work, for each failure above provenStreak.
	failingPause = 2 * time.Second
	longestPause = 8 * time.Second
)

// provenRuns is how many runs tell how fast a worker is.
const provenRuns = 3

// speed is how fast a worker has been against the estimates of the jobs.
type speed struct {
	ratio float64
	count int
}

// known returns how fast a worker is; 1 while too little is known.
func (s *speed) known() float64 {
	if s.count < provenRuns {
		return 1
	}
	return s.ratio
}

// suits reports whether a worker may run a step by what both say of themselves.
func suits(step *batch.Step, life *batch.Incarnation) bool {
	if life.Report().GetPool() != step.Job().Queue().GetPool() {
		return false
	}
	need := step.Spec().GetLabel()
	return need == "" || slices.Contains(life.Report().GetLabels(), need)
}

// The time to the next round, for each step that the last one looked at and for each gang that it planned for.
const (
	restPerStep = 250 * time.Microsecond
	restPerPlan = 750 * time.Microsecond
)

// round is the input of one decision with the handles to read its outcome.
type round struct {
	now      time.Duration
	number   uint64
	sessions []*session
	workers  []allocator.Worker
	steps    []*batch.Step
	demands  []allocator.Demand
	runs     []*batch.Task
}

// decide returns the placements of one round.
func (f *Scheduler) decide(now time.Duration) []*wire.RunPlacement {
	f.rounds++
	r := &round{now: now, number: f.rounds, sessions: f.roundSessions[:0], workers: f.roundWorkers[:0]}
	defer func() { f.roundSessions, f.roundWorkers = r.sessions, r.workers }()
	f.addDemands(r)
	f.last = outcome{steps: r.steps}
	if len(r.steps) == 0 {
		return nil
	}
	plan := f.alloc.Decide(r.workers, r.demands, func(worker int) []allocator.Run { return f.runsOf(r, worker) })
	f.last.waiting = plan.WaitingGangs
	f.restUntil = now + time.Duration(len(r.steps))*restPerStep + time.Duration(len(plan.WaitingGangs))*restPerPlan
	for _, handle := range plan.Preempt {
		t := r.runs[handle]
		logger.RunPreempted.Log(f.cfg.Logger, "job", t.Step().Job().ID(), "step", t.Step().Number(), "index", t.Index(),
			"run", t.Run(), "worker", t.Incarnation().Worker())
		f.stopTask(t, now)
	}
	for _, s := range r.sessions {
		s.held = false
	}
	f.seekConsent(r, plan, now)
	placements := make([]*wire.RunPlacement, 0, len(plan.Placements))
	for _, p := range plan.Placements {
		step, life := r.steps[p.Demand], r.sessions[p.Worker].life
		task := step.Tasks()[p.Task]
		placements = append(placements, &wire.RunPlacement{
			Job: step.Job().ID(), Step: uint32(step.Number()), Index: uint32(p.Task), Run: uint32(step.NextRun(task)),
			Worker: life.Worker(), BornUnixMs: life.StartedUnixMs(),
		})
	}
	return placements
}

// runsOf returns the runs on a worker of the round.
func (f *Scheduler) runsOf(r *round, worker int) []allocator.Run {
	s := r.sessions[worker]
	runs := make([]allocator.Run, 0, len(s.runs))
	for t, run := range s.runs {
		stopping := run.ending || run.stopping
		rest := f.cfg.Allocator.StopTime
		if !stopping {
			rest = f.remaining(t, run, r.now)
		}
		runs = append(runs, allocator.Run{
			Handle: len(r.runs), Priority: int(t.Step().Job().Queue().GetPriority()), Need: t.Step().Need(), Remaining: rest,
			Reclaimable: !stopping && f.reclaimable(t, run, r.now),
		})
		r.runs = append(r.runs, t)
	}
	return runs
}

// seekConsent asks for the steps that wait. A gang keeps its tickets while it is going to start soon, and asks for more
// workers when it would start too late on those that it has.
func (f *Scheduler) seekConsent(r *round, plan allocator.Plan, now time.Duration) {
	for _, d := range plan.NeedConsent {
		if r.steps[d].Job().Queue().GetConsent() != nil {
			f.renewTickets(r.steps[d], r.demands[d].Lateness, nil, now)
		}
	}
	for _, w := range plan.WaitingGangs {
		step, demand := r.steps[w.Demand], &r.demands[w.Demand]
		f.gather(r, step, demand, w)
		if step.Job().Queue().GetConsent() == nil {
			continue
		}
		if w.Feasible && w.StartIn <= f.callLength(step, len(f.consent(step).granted))+renewBefore {
			f.renewTickets(step, demand.Lateness, r.sessionsOf(w.Shares), now)
		}
		if !w.Feasible || f.wantsMore(step, demand.Lateness, now, w.StartIn) {
			f.askMore(step, demand.Lateness, now)
		}
	}
	for _, d := range plan.Blocked {
		if r.steps[d].Job().Queue().GetConsent() != nil {
			f.askMore(r.steps[d], r.demands[d].Lateness, now)
		}
	}
}

// wantsMore reports whether a gang that is going to start in a while should ask for further workers: it would start too
// late, or it waits for its workers while most of the room is free and the answer would come sooner.
func (f *Scheduler) wantsMore(step *batch.Step, lateness allocator.Lateness, now, in time.Duration) bool {
	if f.mostlyFree && in > f.callLength(step, fewestAsked) {
		return true
	}
	return now+in > f.latestStart(step) && (lateness == allocator.InTime || !f.wellCovered(step))
}

// has reports whether the round may place work on a worker.
func (r *round) has(s *session) bool { return s.round == r.number }

func (f *Scheduler) addWorkers(r *round) {
	var room, free int64
	for _, s := range f.sessions {
		if !f.usable(s, r.now) {
			continue
		}
		s.round, s.index = r.number, len(r.sessions)
		r.sessions = append(r.sessions, s)
		w := allocator.Worker{
			Capacity: s.life.Capacity(), Free: s.life.Free(), UrgentCPU: s.life.UrgentUsed().CPU(), Rack: s.life.Report().GetRack(),
			Speed:    s.speed.known(),
			Unproven: s.streak >= provenStreak,
		}
		r.workers = append(r.workers, w)
		room += w.Capacity.CPU()
		free += w.Free.CPU()
	}
	f.mostlyFree = 2*free > room
}

const (
	// reclaimAfter and mostReclaimed bound how often one task is stopped for others: each stop costs it the way to a
	// checkpoint and back.
	reclaimAfter  = 700 * time.Millisecond
	mostReclaimed = 3
)

// reclaimable reports whether a run may be stopped for more urgent work.
func (f *Scheduler) reclaimable(t *batch.Task, r *run, now time.Duration) bool {
	spec := t.Step().Spec()
	return r.confirmed && spec.GetCheckpoints() && !spec.GetGang() && now-r.startedAt > reclaimAfter && r.number <= mostReclaimed
}

// mostDemands bounds the steps that one round looks at, most urgent first. A round over a whole backlog would hold up the
// control thread for so long that the leader would lose its lease.
const mostDemands = 80

// waitingStep is a step with tasks to place.
type waitingStep struct {
	step     *batch.Step
	tasks    []*batch.Task
	lateness allocator.Lateness
	urgency  int64
}

func (f *Scheduler) addDemands(r *round) {
	waiting := f.waitingSteps(r.now)
	if len(waiting) == 0 {
		return
	}
	f.addWorkers(r)
	for _, w := range waiting[:min(len(waiting), mostDemands)] {
		f.addDemand(r, w)
	}
}

// waitingSteps returns the steps with tasks to place, most urgent first. Each priority keeps a share of the places, so that
// a backlog of one does not hide the others.
func (f *Scheduler) waitingSteps(now time.Duration) []waitingStep {
	var waiting []waitingStep
	for _, j := range f.batch.Active() {
		if j.Ended() {
			continue
		}
		for _, step := range j.Steps() {
			if step.Waiting() == 0 || !step.Ready() {
				continue
			}
			if tasks := f.waitingTasks(step, now); len(tasks) > 0 {
				w := waitingStep{step: step, tasks: tasks}
				w.urgency, w.lateness = f.urgency(step, now)
				waiting = append(waiting, w)
			}
		}
	}
	if len(waiting) <= mostDemands {
		return waiting
	}
	priority := func(w waitingStep) uint32 { return w.step.Job().Queue().GetPriority() }
	slices.SortStableFunc(waiting, func(a, b waitingStep) int {
		return cmp.Or(cmp.Compare(a.lateness, b.lateness), cmp.Compare(priority(a), priority(b)), cmp.Compare(a.urgency, b.urgency))
	})
	taken := map[uint32]int{}
	var first, rest []waitingStep
	for _, w := range waiting {
		if taken[priority(w)]++; taken[priority(w)] <= mostDemands/shareOfDemands {
			first = append(first, w)
		} else {
			rest = append(rest, w)
		}
	}
	return append(first, rest...)
}

// shareOfDemands is the inverse of the share of the places that each priority keeps.
const shareOfDemands = 4

// waitingTasks returns the tasks that may be placed; of a gang all or none.
func (f *Scheduler) waitingTasks(step *batch.Step, now time.Duration) []*batch.Task {
	var tasks []*batch.Task
	for _, t := range step.Tasks() {
		if t.Waiting() && f.settled(t, now) {
			tasks = append(tasks, t)
		}
	}
	if step.Spec().GetGang() && len(tasks) < len(step.Tasks()) {
		return nil
	}
	return tasks
}

func (f *Scheduler) addDemand(r *round, w waitingStep) {
	step := w.step
	queue, spec := step.Job().Queue(), step.Spec()
	if queue.GetConsent() != nil && len(f.consent(step).granted) == 0 {
		f.askFirst(step, w.lateness, r.now)
		return
	}
	d := allocator.Demand{
		Priority: int(queue.GetPriority()), Need: step.Need(), Gang: spec.GetGang(), OneRack: spec.GetOneRack(),
		DataRack: spec.GetDataRack(), MostPerWorker: int(spec.GetMostPerWorker()),
		Length: time.Duration(spec.GetEstimateMs()) * time.Millisecond,
	}
	d.StartBy, d.Lateness, d.Reserved = w.urgency, w.lateness, r.held(f.gathering[step])
	for _, t := range w.tasks {
		task := allocator.Task{Index: t.Index(), LastAttempt: t.FailuresLeft() <= 1}
		if t.Failed() {
			for i, s := range r.sessions {
				if t.FailedOn(s.life.Worker()) {
					task.Avoid = append(task.Avoid, i)
				}
			}
		}
		d.Tasks = append(d.Tasks, task)
	}
	d.Candidates = f.candidates(r, step)
	r.steps = append(r.steps, step)
	r.demands = append(r.demands, d)
}

func (f *Scheduler) candidates(r *round, step *batch.Step) []allocator.Candidate {
	holding := map[int]int{}
	if step.Spec().GetMostPerWorker() > 0 {
		for _, t := range step.Tasks() {
			if t.Incarnation() == nil {
				continue
			}
			if s := f.present(t.Incarnation()); s != nil && r.has(s) {
				holding[s.index]++
			}
		}
	}
	var candidates []allocator.Candidate
	if step.Job().Queue().GetConsent() == nil {
		for i, s := range r.sessions {
			if suits(step, s.life) {
				candidates = append(candidates, allocator.Candidate{Worker: i, HasConsent: true, Placed: holding[i]})
			}
		}
		return candidates
	}
	granted := f.consent(step).granted
	candidates = make([]allocator.Candidate, 0, len(granted))
	for _, t := range granted {
		if r.has(t.session) {
			candidates = append(candidates, allocator.Candidate{
				Worker: t.session.index, HasConsent: r.now < t.until, Placed: holding[t.session.index],
			})
		}
	}
	return candidates
}

// learn takes the lesson of a run's end for the worker: how fast it is, and whether it fails what it starts.
func (f *Scheduler) learn(s *session, t *batch.Task, r *run, outcome executor.Outcome, now time.Duration) {
	switch outcome {
	case executor.OutcomeDone:
		s.streak, s.avoidUntil = 0, 0
		f.learnSpeed(s, t, r, now)
	case executor.OutcomeFailed:
		f.blame(s, now)
	default:
	}
}

func (f *Scheduler) blame(s *session, now time.Duration) {
	s.streak++
	if s.streak < provenStreak {
		return
	}
	pause := min(longestPause, failingPause*time.Duration(s.streak-provenStreak+1))
	s.avoidUntil = now + pause
	logger.WorkerFailing.Log(f.cfg.Logger, "worker", s.life.Worker(), "failures_in_a_row", s.streak,
		"paused_ms", pause.Milliseconds())
}

func (f *Scheduler) learnSpeed(s *session, t *batch.Task, r *run, now time.Duration) {
	estimate := time.Duration(t.Step().Spec().GetEstimateMs()) * time.Millisecond
	ran := now - r.startedAt
	if estimate <= 0 || ran <= 0 || t.Step().Spec().GetGang() || t.Run() > 1 {
		return
	}
	known := s.speed
	known.count++
	weight := max(0.1, 1/float64(known.count+1))
	ratio := min(2, max(0.4, float64(estimate)/float64(ran)))
	known.ratio = (1-weight)*known.ratio + weight*ratio
}
