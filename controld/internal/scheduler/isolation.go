package scheduler

import (
	"cmp"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/batch"
)

// isolation says beside what a task may start after workers have crashed under it. It keeps the next crash from taking
// other runs along, and leaves no doubt about what caused it.
type isolation int

const (
	notIsolated isolation = iota
	// startsApart is for a task that may have caused a crash: it starts on a worker without other new runs.
	startsApart
	// runsAlone is for a task that was the only suspect, or a suspect more than once: it starts on a worker without other
	// runs.
	runsAlone
)

// isolationOf returns how a task must be isolated. A gang needs several workers at once, so it never waits for idle ones.
func isolationOf(t *batch.Task) isolation {
	crashes := t.Crashes()
	isGang := startsTogether(t.Step())
	likely := len(crashes) > 1 ||
		slices.ContainsFunc(crashes, func(c *batch.Crash) bool { return c.OnlySuspect() || c.Newest() })
	switch {
	case len(crashes) == 0 || isGang && !likely:
		return notIsolated
	case isGang || !likely:
		return startsApart
	default:
		return runsAlone
	}
}

// startsTogether reports whether a step has several tasks that must start at once.
func startsTogether(step *batch.Step) bool { return step.Spec().GetGang() && len(step.Tasks()) > 1 }

const (
	// minAlonePerRound is how many tasks a round may start alone at least, however small the pool is.
	minAlonePerRound = 4
	// maxAloneWait is how long a task may wait to run alone, and maxAloneWaitIdle the same while most of the capacity is
	// free. After that it starts on a worker without other new runs. A task that is deferred waits for maxAloneWait before
	// it may run alone. maxAloneWait is also how long an isolated task waits for a worker without other new runs: a worker
	// that is the only one with a label may never be without.
	maxAloneWait     = 20 * time.Second
	maxAloneWaitIdle = time.Second
)

// isolatedTask is a waiting task, or gang, that must be isolated.
type isolatedTask struct {
	waitingStep
	level   isolation
	crashes int
	isGang  bool
}

// placeIsolated places the isolated tasks among the waiting ones, keeps the chosen workers out of the round and returns
// the other tasks. Tasks with fewer crashes go first: they are the most likely to be sound.
func (sc *Scheduler) placeIsolated(r *round, waiting []waitingStep) []waitingStep {
	isolated, rest := splitIsolated(waiting)
	if len(isolated) == 0 {
		sc.probePool, sc.isolatedSince = nil, nil
		return rest
	}
	sc.updateIsolatedSince(isolated, r.now)
	if len(isolated) > maxDemandsPerRound {
		// They take turns, as those with the fewest crashes may need workers that have no room for long.
		slices.SortStableFunc(isolated, func(a, b isolatedTask) int {
			return cmp.Compare(*sc.consideredAt(a.step), *sc.consideredAt(b.step))
		})
		isolated = isolated[:maxDemandsPerRound]
		for _, task := range isolated {
			*sc.consideredAt(task.step) = r.now
		}
	}
	slices.SortStableFunc(isolated, func(a, b isolatedTask) int { return cmp.Compare(a.crashes, b.crashes) })
	quiet, sessions := sc.probeSessions(r.now)
	sc.updateProbePool(isolated, sessions, r)
	apartLeft, callsLeft := sc.apartStartsLeft(r), sc.isolatedCallsLeft(isolated)
	aloneLeft := max(minAlonePerRound, len(sc.probePool))
	// Without a limit, many suspects would keep all workers from the tasks that are not suspected.
	othersWait := len(rest) > 0
	for _, task := range isolated {
		left, isLimited := &apartLeft, !sc.mostCapacityFree || othersWait
		if task.level == runsAlone {
			left, isLimited = &aloneLeft, !sc.mostCapacityFree
		}
		if isLimited && *left <= 0 || sc.isDeferred(task, r.now) {
			continue
		}
		if sc.placeIsolatedTask(r, task, quiet) || sc.isolationOverdue(task, r.now) && sc.placeIsolatedTask(r, task, sessions) {
			*left--
			continue
		}
		if callsLeft > 0 && sc.seekConsent(task, sessions, r.now) {
			callsLeft--
		}
		if task.isGang && sc.mostCapacityFree {
			// There is room for it, so consent is all that it may lack, which is sought for the gangs of the round.
			rest = append(rest, task.waitingStep)
		}
	}
	return rest
}

// isDeferred reports whether a task that must run alone waits until most of the capacity is free. After a second crash it
// most likely crashes the next worker too, which would be missed while the capacity is in use.
func (sc *Scheduler) isDeferred(task isolatedTask, now time.Duration) bool {
	return task.level == runsAlone && task.crashes > 1 && !sc.mostCapacityFree &&
		!sc.isolationOverdue(task, now)
}

// isolationOverdue reports whether an isolated task has waited for so long that it may start beside other new runs.
func (sc *Scheduler) isolationOverdue(task isolatedTask, now time.Duration) bool {
	return now-sc.isolatedSince[task.tasks[0]] >= maxAloneWait
}

// splitIsolated separates the isolated tasks from the others.
func splitIsolated(waiting []waitingStep) ([]isolatedTask, []waitingStep) {
	var isolated []isolatedTask
	rest := make([]waitingStep, 0, len(waiting))
	for _, w := range waiting {
		if !w.step.Suspected() {
			rest = append(rest, w)
			continue
		}
		if startsTogether(w.step) {
			if level := isolationOf(w.tasks[0]); level != notIsolated {
				isolated = append(isolated, isolatedTask{
					waitingStep: w, level: level, crashes: len(w.tasks[0].Crashes()), isGang: true,
				})
				continue
			}
			rest = append(rest, w)
			continue
		}
		clean := w
		clean.tasks = nil
		for _, t := range w.tasks {
			if level := isolationOf(t); level != notIsolated {
				one := w
				one.tasks = []*batch.Task{t}
				isolated = append(isolated, isolatedTask{waitingStep: one, level: level, crashes: len(t.Crashes())})
				continue
			}
			clean.tasks = append(clean.tasks, t)
		}
		if len(clean.tasks) > 0 {
			rest = append(rest, clean)
		}
	}
	return isolated, rest
}

// placeIsolatedTask places a task or a gang and reports whether it has. A task that runs alone needs a worker that has no
// runs or, after its first crash, only such as are isolated too. Any other needs workers without other new runs.
func (sc *Scheduler) placeIsolatedTask(r *round, task isolatedTask, sessions []*session) bool {
	if task.isGang {
		return sc.placeIsolatedGang(r, task, sessions)
	}
	var s *session
	if task.level == runsAlone {
		s = sc.firstFitting(r, task, sessions, func(s *session) bool {
			return len(s.runs) == 0 || task.crashes == 1 && onlyIsolatedRuns(s)
		})
		maxWait := maxAloneWait
		if sc.mostCapacityFree {
			maxWait = maxAloneWaitIdle
		}
		if s == nil && r.now-sc.isolatedSince[task.tasks[0]] > maxWait {
			s = sc.firstFitting(r, task, sessions, nil)
		}
	} else {
		s = sc.firstFitting(r, task, sessions, func(s *session) bool { return s.pooledInRound != r.number })
	}
	if s == nil {
		return false
	}
	sc.placeOn(r, task.tasks[0], s)
	return true
}

// placeIsolatedGang places a gang on workers without other new runs if it fits there as a whole.
func (sc *Scheduler) placeIsolatedGang(r *round, task isolatedTask, sessions []*session) bool {
	var chosen []*session
	isSecondChoice := func(s *session) bool { return sc.isSecondChoice(task, s) }
	for _, s := range secondChoicesLast(sessions, isSecondChoice) {
		if len(chosen) >= len(task.tasks) {
			break
		}
		if !sc.mayProbe(r, task, s) {
			continue
		}
		copies := task.step.Need().CopiesIn(s.incarnation.Free())
		if most := int64(task.step.Spec().GetMostPerWorker()); most > 0 {
			copies = min(copies, most)
		}
		for range min(copies, int64(len(task.tasks)-len(chosen))) {
			chosen = append(chosen, s)
		}
	}
	if len(chosen) < len(task.tasks) {
		return false
	}
	for i, t := range task.tasks {
		sc.placeOn(r, t, chosen[i])
	}
	return true
}

// secondChoicesLast returns sessions in their order, but second choices after all others.
func secondChoicesLast(sessions []*session, isSecondChoice func(*session) bool) []*session {
	if !slices.ContainsFunc(sessions, isSecondChoice) {
		return sessions
	}
	ordered := slices.Clone(sessions)
	slices.SortStableFunc(ordered, func(a, b *session) int { return compareBools(isSecondChoice(a), isSecondChoice(b)) })
	return ordered
}

func (sc *Scheduler) placeOn(r *round, t *batch.Task, s *session) {
	s.takenInRound = r.number
	r.placements = append(r.placements, newPlacement(t, s.incarnation))
}

// isolatedCallDivisor bounds the open consent calls for isolated tasks: one in isolatedCallDivisor helpers, and twice as
// many while most of the capacity is free.
const isolatedCallDivisor = 6

// isolatedCallsLeft returns how many more consent calls may be made for isolated tasks.
func (sc *Scheduler) isolatedCallsLeft(isolated []isolatedTask) int {
	left := max(1, len(sc.helpers)/isolatedCallDivisor)
	if sc.mostCapacityFree {
		left *= 2
	}
	counted := map[*batch.Step]bool{}
	for _, task := range isolated {
		if c := sc.consents[task.step]; c != nil && !counted[task.step] {
			counted[task.step] = true
			left -= c.openCalls
		}
	}
	return left
}

// seekConsent requests the consent that an isolated task needs: again where it has run out, on the workers with the
// least work to lose, or else for more workers. It reports whether it has made a call.
func (sc *Scheduler) seekConsent(task isolatedTask, sessions []*session, now time.Duration) bool {
	step := task.step
	if step.Job().Queue().GetConsent() == nil {
		return false
	}
	c := sc.consentFor(step)
	if c.openCalls > 0 || c.requestedAt > 0 && now-c.requestedAt < minRequestInterval {
		return false
	}
	limit := spareWorkers + 2*len(task.tasks)
	var wanted []*session
	for _, s := range sessions {
		if t := c.granted[s.incarnation]; t != nil && now >= t.expiresAt && len(wanted) < limit {
			wanted = append(wanted, s)
		}
	}
	if len(wanted) < len(task.tasks) {
		wanted = append(wanted, sc.unrequestedWorkers(step, c, limit, now)...)
	}
	wanted = wanted[:min(len(wanted), maxWorkersPerCall)]
	return sc.requestConsent(step, wanted, maxExtraCallDelay, now) > 0
}
