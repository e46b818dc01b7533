package scheduler

import (
	"cmp"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/batch"
)

const (
	// probeTime is for how long a worker gets no other runs after an isolated task was started there: startWindow and the
	// time of the order.
	probeTime = 400 * time.Millisecond
	// maxPoolShare and maxApartShare bound the workers that are kept for isolated tasks at a time, as a share of all. Most
	// tasks that run alone crash their worker, which then is of no use for some seconds.
	maxPoolShare  = 0.05
	maxApartShare = 0.25
	// maxApartShareIdle is maxApartShare while most of the capacity is free.
	maxApartShareIdle = 0.5
)

// probeSessions returns the workers on which an isolated task may start, those with the least work to lose first. The first
// result leaves out workers with new runs.
func (sc *Scheduler) probeSessions(now time.Duration) (quiet, all []*session) {
	for _, s := range sc.sessions {
		if sc.usable(s, now) && now >= s.probeUntil {
			all = append(all, s)
		}
	}
	isBusy := func(s *session) bool { return now-s.lastStartAt < probeTime }
	slices.SortFunc(all, func(a, b *session) int {
		return cmp.Or(compareBools(isBusy(a), isBusy(b)), compareBools(a.reserved, b.reserved), cmp.Compare(used(a), used(b)),
			cmp.Compare(a.incarnation.Worker(), b.incarnation.Worker()))
	})
	if busy := slices.IndexFunc(all, isBusy); busy >= 0 {
		return all[:busy], all
	}
	return all, all
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// used returns the processors of a worker that runs occupy, in thousandths.
func used(s *session) int64 { return s.incarnation.Capacity().Sub(s.incarnation.Free()).CPU() }

// apartStartsLeft returns on how many more workers tasks may start apart now.
func (sc *Scheduler) apartStartsLeft(r *round) int {
	share, probing := maxApartShare, 0
	if sc.mostCapacityFree {
		share = maxApartShareIdle
	}
	for _, s := range sc.sessions {
		if r.now < s.probeUntil {
			probing++
		}
	}
	return max(1, int(share*float64(r.usable))) - probing
}

// updateIsolatedSince records since when isolated tasks wait, and drops those that do not wait any more.
func (sc *Scheduler) updateIsolatedSince(isolated []isolatedTask, now time.Duration) {
	since := make(map[*batch.Task]time.Duration, len(isolated))
	for _, task := range isolated {
		t := task.tasks[0]
		if since[t] = sc.isolatedSince[t]; since[t] == 0 {
			since[t] = now
		}
	}
	sc.isolatedSince = since
}

// updateProbePool chooses the workers that get no other new runs, so that they become idle, while tasks wait to run
// alone. It keeps them out of the round.
func (sc *Scheduler) updateProbePool(isolated []isolatedTask, sessions []*session, r *round) {
	wanted := 0
	for _, task := range isolated {
		if task.level == runsAlone && !sc.isDeferred(task, r.now) {
			wanted++
		}
	}
	wanted = min(wanted, max(1, int(maxPoolShare*float64(r.usable))))
	sc.probePool = slices.DeleteFunc(sc.probePool, func(s *session) bool {
		return sc.currentSession(s.incarnation) != s || !sc.usable(s, r.now) || !sc.isWantedAlone(isolated, s, r.now)
	})
	for _, s := range sessions {
		if len(sc.probePool) >= wanted {
			break
		}
		if !slices.Contains(sc.probePool, s) && sc.isWantedAlone(isolated, s, r.now) {
			sc.probePool = append(sc.probePool, s)
		}
	}
	sc.probePool = sc.probePool[:min(len(sc.probePool), wanted)]
	for _, s := range sc.probePool {
		s.pooledInRound = r.number
	}
}

// isWantedAlone reports whether a worker could run one of the tasks that wait to run alone.
func (sc *Scheduler) isWantedAlone(isolated []isolatedTask, s *session, now time.Duration) bool {
	return slices.ContainsFunc(isolated, func(task isolatedTask) bool {
		return task.level == runsAlone && !sc.isDeferred(task, now) && sc.couldRun(task.step, s) &&
			!sc.isRefused(task.step, s.incarnation.Worker()) && sc.mayReturn(task, s, now)
	})
}

// onlyIsolatedRuns reports whether all runs on a worker are those of isolated tasks.
func onlyIsolatedRuns(s *session) bool {
	for t := range s.runs {
		if len(t.Crashes()) == 0 {
			return false
		}
	}
	return true
}

// firstFitting returns the first worker with a property that may run a task now; nil stands for any worker. Second choices
// come last.
func (sc *Scheduler) firstFitting(
	r *round, task isolatedTask, sessions []*session, property func(*session) bool,
) *session {
	var secondChoice *session
	for _, s := range sessions {
		if property != nil && !property(s) || !sc.mayProbe(r, task, s) || !task.step.Need().FitsIn(s.incarnation.Free()) {
			continue
		}
		if !sc.isSecondChoice(task, s) {
			return s
		}
		if secondChoice == nil {
			secondChoice = s
		}
	}
	return secondChoice
}

// mayProbe reports whether an isolated task may use a worker in this round.
func (sc *Scheduler) mayProbe(r *round, task isolatedTask, s *session) bool {
	if s.takenInRound == r.number || sc.currentSession(s.incarnation) != s || !sc.usable(s, r.now) ||
		!sc.couldRun(task.step, s) {
		return false
	}
	if most := int(task.step.Spec().GetMostPerWorker()); most > 0 && placedOn(task.step, s) >= most {
		return false
	}
	if !sc.mayReturn(task, s, r.now) {
		return false
	}
	if task.step.Job().Queue().GetConsent() == nil {
		return true
	}
	return sc.validTicket(task.step, s.incarnation, r.now) != ""
}

// mayReturn reports whether neither failures of the task nor the latest runs on a worker keep an isolated task from it.
func (sc *Scheduler) mayReturn(task isolatedTask, s *session, now time.Duration) bool {
	for _, t := range task.tasks {
		if s.isUnproven() && sc.needsProvenWorker(t, now) ||
			failedThere(t, s.incarnation.Worker()) && now < sc.retryAt(t) {
			return false
		}
	}
	return true
}

// isSecondChoice reports whether an isolated task prefers other workers because of failures.
func (sc *Scheduler) isSecondChoice(task isolatedTask, s *session) bool {
	return slices.ContainsFunc(task.tasks, func(t *batch.Task) bool {
		return s.isUnproven() && (task.isGang || t.FailuresLeft() <= 1) || failedThere(t, s.incarnation.Worker())
	})
}

// placedOn returns how many tasks of a step have a run on a worker.
func placedOn(step *batch.Step, s *session) int {
	count := 0
	for _, t := range step.Tasks() {
		if t.Incarnation() == s.incarnation {
			count++
		}
	}
	return count
}
