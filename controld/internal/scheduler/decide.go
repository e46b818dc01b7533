package scheduler

import (
	"cmp"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/matcher"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/controld/internal/shareranker"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

const (
	// unprovenStreak is the number of consecutive failed runs from which a worker counts as unproven.
	unprovenStreak = 2
	// pausePerFailure is how long a failing worker gets no runs, for each failure from unprovenStreak on; maxPause bounds
	// the total.
	pausePerFailure = 2 * time.Second
	maxPause        = 8 * time.Second
)

// minSpeedSamples is the number of completed runs needed to estimate a worker's speed.
const minSpeedSamples = 3

// workerSpeed is a moving average of a worker's speed relative to the jobs' runtime estimates.
type workerSpeed struct {
	ratio   float64
	samples int
}

// factor returns the relative speed of the worker, or 1 while there are too few samples.
func (s *workerSpeed) factor() float64 {
	if s.samples < minSpeedSamples {
		return 1
	}
	return s.ratio
}

// The minimum time until the next round grows with each step that the last round considered and with each gang that it
// planned. It leaves the control goroutine time for other work.
const (
	roundIntervalPerStep = 100 * time.Microsecond
	roundIntervalPerGang = 250 * time.Microsecond
)

// round is the input of one scheduling round, with the tables that translate its result.
type round struct {
	now    time.Duration
	number uint64
	// usable is the number of usable workers, those included that are kept out of the round.
	usable   int
	sessions []*session
	workers  []allocator.Worker
	steps    []*batch.Step
	demands  []allocator.Demand
	runTasks []*batch.Task
	// placements holds those of isolated tasks, which are decided before the others.
	placements []*wire.RunPlacement
	// ranks orders workspaces by their use of their shares; nil without shares.
	ranks *shareranker.Ranker
	// allowances holds, by workspace, what it may still use; only for workspaces with a limit.
	allowances map[string]*resource.Vector
}

// decide runs a scheduling round and returns its placements.
func (sc *Scheduler) decide(now time.Duration) []*wire.RunPlacement {
	sc.rounds++
	r := &round{
		now: now, number: sc.rounds, sessions: sc.roundSessions[:0], workers: sc.roundWorkers[:0],
		allowances: sc.allowances(), ranks: sc.shareRanks(),
	}
	defer func() { sc.roundSessions, sc.roundWorkers = r.sessions, r.workers }()
	sc.addDemands(r)
	sc.lastRound = roundResult{steps: r.steps}
	if len(r.steps) == 0 {
		return r.placements
	}
	plan := sc.alloc.Decide(r.workers, r.demands, func(worker int) []allocator.Run { return sc.runsOf(r, worker) })
	sc.lastRound.waitingGangs = plan.WaitingGangs
	sc.earliestRound = now + time.Duration(len(r.steps))*roundIntervalPerStep +
		time.Duration(len(plan.WaitingGangs))*roundIntervalPerGang
	for _, handle := range plan.Preempt {
		t := r.runTasks[handle]
		logger.RunPreempted.Log(sc.cfg.Logger, "job", t.Step().Job().ID(), "step", t.Step().Number(), "index", t.Index(),
			"run", t.Run(), "worker", t.Incarnation().Worker())
		sc.stopTask(t, now)
	}
	for _, s := range r.sessions {
		s.reserved = false
	}
	sc.requestConsents(r, plan, now)
	placements := make([]*wire.RunPlacement, 0, len(r.placements)+len(plan.Placements))
	placements = append(placements, r.placements...)
	for _, p := range plan.Placements {
		placements = append(placements,
			newPlacement(r.steps[p.Demand].Tasks()[p.Task], r.sessions[p.Worker].incarnation))
	}
	return placements
}

// newPlacement returns the placement of the next run of a task on a worker.
func newPlacement(t *batch.Task, incarnation *batch.Incarnation) *wire.RunPlacement {
	step := t.Step()
	return &wire.RunPlacement{
		Job: step.Job().ID(), Step: uint32(step.Number()), Index: uint32(t.Index()), Run: uint32(step.NextRun(t)),
		Worker: incarnation.Worker(), BornUnixMs: incarnation.StartedUnixMs(),
	}
}

// runsOf returns the runs on a worker of the round.
func (sc *Scheduler) runsOf(r *round, worker int) []allocator.Run {
	s := r.sessions[worker]
	runs := make([]allocator.Run, 0, len(s.runs))
	for t, run := range s.runs {
		stopping := run.endQueued || run.stopping
		remaining := sc.cfg.Allocator.StopTime
		if !stopping {
			remaining = sc.remainingTime(t, run, r.now)
		}
		runs = append(runs, allocator.Run{
			Handle: len(r.runTasks), Priority: int(t.Step().Job().Queue().GetPriority()), Need: t.Step().Need(),
			Remaining:   remaining,
			Preemptible: !stopping && sc.preemptible(t, run, r.now),
			Excess:      sc.isExcess(t.Step().Job()),
		})
		r.runTasks = append(r.runTasks, t)
	}
	return runs
}

// requestConsents requests consent for the steps that wait. A gang renews its tickets while its start is near, and
// requests more workers when it would start too late on those already granted.
func (sc *Scheduler) requestConsents(r *round, plan allocator.Plan, now time.Duration) {
	for _, d := range plan.NeedConsent {
		if r.steps[d].Job().Queue().GetConsent() != nil {
			sc.renewTickets(r.steps[d], consentLateness(r.demands[d].Excess, r.demands[d].Lateness), nil, now)
		}
	}
	for _, w := range plan.WaitingGangs {
		step, demand := r.steps[w.Demand], &r.demands[w.Demand]
		lateness := consentLateness(demand.Excess, demand.Lateness)
		sc.updateReservation(r, step, demand, w)
		if step.Job().Queue().GetConsent() == nil {
			continue
		}
		if w.Feasible && w.StartIn <= sc.callDuration(step, len(sc.consentFor(step).granted))+ticketRenewLead {
			sc.renewTickets(step, lateness, r.sessionShares(w.Shares), now)
		}
		if !w.Feasible || sc.needsMoreWorkers(step, lateness, now, w.StartIn) {
			sc.requestMoreWorkers(step, lateness, now)
		}
	}
	for _, d := range plan.Blocked {
		if r.steps[d].Job().Queue().GetConsent() != nil {
			sc.requestMoreWorkers(r.steps[d], consentLateness(r.demands[d].Excess, r.demands[d].Lateness), now)
		}
	}
}

// consentLateness returns the lateness by which consent calls are made. Those for excess work are made like those for late
// work, so that they do not delay the others.
func consentLateness(excess bool, lateness allocator.Lateness) allocator.Lateness {
	if excess {
		return max(lateness, allocator.Late)
	}
	return lateness
}

// needsMoreWorkers reports whether a gang that is due to start in startIn should request more workers: either it would
// start too late, or most of the capacity is free and the reply would come before its start.
func (sc *Scheduler) needsMoreWorkers(step *batch.Step, lateness allocator.Lateness, now, startIn time.Duration) bool {
	if sc.mostCapacityFree && startIn > sc.callDuration(step, minWorkersPerGangRequest) {
		return true
	}
	return now+startIn > sc.latestStart(step) && (lateness == allocator.InTime || !sc.hasAmpleGrants(step))
}

// includes reports whether the round may place tasks on a worker.
func (r *round) includes(s *session) bool { return s.round == r.number }

// countCapacity counts the usable workers and sets mostCapacityFree from their capacity.
func (sc *Scheduler) countCapacity(r *round) {
	var capacity, free int64
	for _, s := range sc.sessions {
		if sc.usable(s, r.now) {
			r.usable++
			capacity += s.incarnation.Capacity().CPU()
			free += s.incarnation.Free().CPU()
		}
	}
	sc.mostCapacityFree = 2*free > capacity
}

func (sc *Scheduler) addWorkers(r *round) {
	for _, s := range sc.sessions {
		if !sc.usable(s, r.now) || r.now < s.probeUntil || s.takenInRound == r.number || s.pooledInRound == r.number {
			continue
		}
		s.round, s.index = r.number, len(r.sessions)
		r.sessions = append(r.sessions, s)
		w := allocator.Worker{
			Capacity: s.incarnation.Capacity(), Free: s.incarnation.Free(), UrgentCPU: s.incarnation.UrgentUsed().CPU(),
			Rack: s.incarnation.Report().GetRack(), Speed: sc.speedOf(s), Unproven: s.isUnproven(),
		}
		r.workers = append(r.workers, w)
	}
}

const (
	// minRunBeforePreemption and maxPreemptions bound how often a task is preempted. Each preemption costs it the work
	// since its last checkpoint and the time to restore it.
	minRunBeforePreemption = 700 * time.Millisecond
	maxPreemptions         = 3
)

// preemptible reports whether a run may be preempted for more urgent work.
func (sc *Scheduler) preemptible(t *batch.Task, r *run, now time.Duration) bool {
	spec := t.Step().Spec()
	return r.confirmed && spec.GetCheckpoints() && !spec.GetGang() &&
		now-r.startedAt > minRunBeforePreemption && r.number <= maxPreemptions
}

// maxDemandsPerRound bounds the number of steps considered in one round, most urgent first. A round over a large
// backlog would block the control goroutine for so long that the leader would lose its lease.
const maxDemandsPerRound = 80

// waitingStep is a step with tasks to place.
type waitingStep struct {
	step     *batch.Step
	tasks    []*batch.Task
	lateness allocator.Lateness
	startBy  int64
	excess   bool
	rank     int
}

func (sc *Scheduler) addDemands(r *round) {
	waiting := sc.waitingSteps(r)
	if len(waiting) == 0 {
		return
	}
	sc.countCapacity(r)
	waiting = sc.placeIsolated(r, waiting)
	sc.addWorkers(r)
	isCut := len(waiting) > maxDemandsPerRound
	for _, w := range waiting[:min(len(waiting), maxDemandsPerRound)] {
		if isCut {
			*sc.consideredAt(w.step) = r.now
		}
		sc.addDemand(r, w)
	}
}

// waitingSteps returns the steps with tasks to place that some worker could run, most urgent first. When there are more
// than a round considers, each priority gets a minimum number of places, so that the backlog of one priority does not
// block the others. Steps that few workers could run, none of which has room, get a bounded number of places: they have
// to be planned and to seek consent, but must not keep steps from workers that have room. Excess steps get the places
// that are left.
func (sc *Scheduler) waitingSteps(r *round) []waitingStep {
	now := r.now
	sc.updateRunnable(now)
	var waiting []waitingStep
	for _, j := range sc.jobs.runnable {
		if j.Ended() {
			continue
		}
		matches := sc.matchesOf(j)
		for _, step := range j.Steps() {
			if step.Waiting() == 0 || !step.Ready() || !r.allows(step) || sc.possibleTasksIn(matches, step) == 0 {
				continue
			}
			if tasks := sc.placeableTasks(step, now); len(tasks) > 0 {
				matches.recordWait(step, now)
				w := waitingStep{step: step, tasks: tasks}
				w.startBy, w.lateness = sc.startBy(step, now)
				w.excess, w.rank = sc.isExcess(j), r.shareRank(j)
				waiting = append(waiting, w)
			}
		}
	}
	if len(waiting) <= maxDemandsPerRound {
		return waiting
	}
	slices.SortStableFunc(waiting, func(a, b waitingStep) int { return sc.compareWaiting(&a, &b) })
	return sc.chooseForRound(waiting, now)
}

// compareWaiting orders waiting steps by urgency. Overdue steps take turns: something that no rule here knows may bar the
// oldest, and they would keep their places for good.
func (sc *Scheduler) compareWaiting(a, b *waitingStep) int {
	order := cmp.Or(cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.priority(), b.priority()),
		cmp.Compare(a.rank, b.rank))
	if order == 0 && a.lateness == allocator.Overdue {
		order = cmp.Compare(*sc.consideredAt(a.step), *sc.consideredAt(b.step))
	}
	return cmp.Or(order, cmp.Compare(a.startBy, b.startBy))
}

func (w *waitingStep) priority() uint32 { return w.step.Job().Queue().GetPriority() }

// consideredAt returns when a step was last chosen for a round in which not all waiting steps had a place.
func (sc *Scheduler) consideredAt(step *batch.Step) *time.Duration {
	return &sc.timings[step.Job()].matches.consideredAt[step.Number()]
}

// chooseForRound puts the steps that the round considers first.
func (sc *Scheduler) chooseForRound(waiting []waitingStep, now time.Duration) []waitingStep {
	var room *roomFinder
	hasRoom := func(set *matcher.Set, step *batch.Step) bool {
		if room == nil {
			room = sc.newRoomFinder(now)
		}
		return room.hasRoom(set, step.Need())
	}
	byPriority := map[uint32]int{}
	var first, rest, excess, blocked []waitingStep
	for _, w := range waiting {
		set := sc.matchesOf(w.step.Job()).steps[w.step.Number()].Set()
		switch {
		case !set.IsPool() && !hasRoom(set, w.step):
			blocked = append(blocked, w)
		case w.excess:
			excess = append(excess, w)
		case byPriority[w.priority()] < minPlaces:
			byPriority[w.priority()]++
			first = append(first, w)
		default:
			rest = append(rest, w)
		}
	}
	places := min(len(blocked), minPlaces)
	return slices.Concat(blocked[:places], first, rest, excess, blocked[places:])
}

// minPlaces is the minimum number of places in a round of each priority, and of the steps that only workers without room
// could run.
const minPlaces = maxDemandsPerRound / 4

// placeableTasks returns the tasks of a step that may be placed; for a gang, all or none.
func (sc *Scheduler) placeableTasks(step *batch.Step, now time.Duration) []*batch.Task {
	isGang := step.Spec().GetGang()
	if isGang && sc.waitsToRetry(step.Tasks()[0], now) {
		return nil
	}
	var tasks []*batch.Task
	for _, t := range step.Tasks() {
		if t.Waiting() && sc.lastRunOver(t, now) && (isGang || !sc.waitsToRetry(t, now)) {
			tasks = append(tasks, t)
		}
	}
	if isGang && len(tasks) < len(step.Tasks()) {
		return nil
	}
	return tasks
}

// addDemand adds a waiting step to the round, or requests consent if none was granted yet.
func (sc *Scheduler) addDemand(r *round, w waitingStep) {
	step := w.step
	queue, spec := step.Job().Queue(), step.Spec()
	if queue.GetConsent() != nil && len(sc.consentFor(step).granted) == 0 {
		sc.requestFirstConsent(step, consentLateness(w.excess, w.lateness), r.now)
		return
	}
	d := allocator.Demand{
		Priority: int(queue.GetPriority()), Need: step.Need(), Gang: spec.GetGang(), OneRack: spec.GetOneRack(),
		DataRack: spec.GetDataRack(), MostPerWorker: int(spec.GetMostPerWorker()),
		Length: sc.stepLength(step),
	}
	d.StartBy, d.Lateness, d.Reserved = w.startBy, w.lateness, r.reservedShares(sc.reservations[step])
	d.HeadroomUse = sc.headroomUse(step, r.now)
	isGang := startsTogether(step)
	provenOnly := isGang && sc.needsProvenWorker(w.tasks[0], r.now)
	for _, t := range w.tasks {
		task := allocator.Task{
			Index: t.Index(), LastAttempt: t.FailuresLeft() <= 1,
			ProvenOnly: provenOnly || !isGang && sc.needsProvenWorker(t, r.now),
		}
		if t.Failed() {
			failedOn := &task.FailedOn
			if r.now < sc.retryAt(t) {
				failedOn = &task.Avoid
			}
			for i, s := range r.sessions {
				if t.FailedOn(s.incarnation.Worker()) {
					*failedOn = append(*failedOn, i)
				}
			}
		}
		d.Tasks = append(d.Tasks, task)
	}
	d.Excess, d.ShareRank = w.excess, w.rank
	d.Allowance = r.allowances[step.Job().Workspace()]
	d.Candidates = sc.candidates(r, step)
	r.steps = append(r.steps, step)
	r.demands = append(r.demands, d)
}

// candidates returns the workers of the round that may run a step.
func (sc *Scheduler) candidates(r *round, step *batch.Step) []allocator.Candidate {
	placed := map[int]int{}
	if step.Spec().GetMostPerWorker() > 0 {
		for _, t := range step.Tasks() {
			if t.Incarnation() == nil {
				continue
			}
			if s := sc.currentSession(t.Incarnation()); s != nil && r.includes(s) {
				placed[s.index]++
			}
		}
	}
	var candidates []allocator.Candidate
	if step.Job().Queue().GetConsent() == nil {
		set := sc.matchesOf(step.Job()).steps[step.Number()].Set()
		for i, s := range r.sessions {
			if set.Has(s.group) {
				candidates = append(candidates, allocator.Candidate{Worker: i, HasConsent: true, Placed: placed[i]})
			}
		}
		return candidates
	}
	granted := sc.consentFor(step).granted
	candidates = make([]allocator.Candidate, 0, len(granted))
	for _, t := range granted {
		if r.includes(t.session) {
			candidates = append(candidates, allocator.Candidate{
				Worker: t.session.index, HasConsent: r.now < t.expiresAt, Placed: placed[t.session.index],
			})
		}
	}
	return candidates
}

// recordOutcome updates a worker's speed and failure streak from the outcome of a run.
func (sc *Scheduler) recordOutcome(s *session, t *batch.Task, r *run, outcome executor.Outcome, now time.Duration) {
	switch outcome {
	case executor.OutcomeDone:
		s.failureStreak, s.pausedUntil = 0, 0
		sc.updateSpeed(s, t, r, now)
	case executor.OutcomeFailed:
		sc.recordFailure(s, now)
	default:
	}
}

// recordFailure counts a failed run and pauses a worker that fails repeatedly.
func (sc *Scheduler) recordFailure(s *session, now time.Duration) {
	s.failureStreak++
	if s.failureStreak < unprovenStreak {
		return
	}
	pause := min(maxPause, pausePerFailure*time.Duration(s.failureStreak-unprovenStreak+1))
	s.pausedUntil = now + pause
	logger.WorkerFailing.Log(sc.cfg.Logger, "worker", s.incarnation.Worker(), "failures_in_a_row", s.failureStreak,
		"paused_ms", pause.Milliseconds())
}

func (sc *Scheduler) updateSpeed(s *session, t *batch.Task, r *run, now time.Duration) {
	estimate := time.Duration(t.Step().Spec().GetEstimateMs()) * time.Millisecond
	ran := now - r.startedAt
	if estimate <= 0 || ran <= 0 || t.Step().Spec().GetGang() || t.Run() > 1 {
		return
	}
	speed := s.speed
	speed.samples++
	weight := max(0.1, 1/float64(speed.samples+1))
	ratio := min(2, max(0.4, float64(estimate)/float64(ran)))
	speed.ratio = (1-weight)*speed.ratio + weight*ratio
}
