package scheduler

import (
	"fmt"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

const (
	// startWindow is how long a worker must have lived with a run for its crash to be no sign against the run. A program
	// that crashes its worker does so while it starts.
	startWindow = 250 * time.Millisecond
	// lateCrashWindow is the same for a run on a worker that has no newer run, and for one under which a worker has
	// crashed before.
	lateCrashWindow = 3 * time.Second
	// newestWindow is the same for the runs that most likely caused the crash. If they are of more than maxNewestJobs
	// jobs, none of them is more likely than the other new runs. Runs that began longer than newestWindow before the latest
	// one are not suspected.
	newestWindow  = 60 * time.Millisecond
	maxNewestJobs = 2
	// movedWorkerSilence is how long a worker must not have reported before another process at its address shows that it
	// has crashed. A worker that has moved to another address reports from there.
	movedWorkerSilence = 2 * time.Second
)

// survived returns how long the worker is known to have lived with a run, on its own clock.
func (s *session) survived(r *run) time.Duration {
	if !r.confirmed {
		return 0
	}
	return max(s.latestClock, s.closedClock) - r.confirmedClock
}

// recordOtherIncarnation handles the answer of another worker at the address of a session's worker. It shows that the
// worker has crashed, unless the worker has moved.
func (sc *Scheduler) recordOtherIncarnation(s *session, now time.Duration) {
	if !s.replaced && now-s.lastHeardAt > movedWorkerSilence {
		s.replaced = true
		sc.logCrash(s, now)
	}
}

// suspects returns the crash of a lost worker for each run that may have caused it.
func (sc *Scheduler) suspects(s *session, confirmed bool) map[*batch.Task]*wire.WorkerCrash {
	if s.incarnation.Draining() {
		return nil
	}
	runs := s.latestStarts(s.runsYoungerThan(startWindow))
	for t, r := range s.runs {
		if !r.endQueued && s.survived(r) < lateCrashWindow && len(t.Crashes()) > 1 {
			runs[t] = r
		}
	}
	newRuns := len(runs) > 0
	if !newRuns {
		runs = s.runsYoungerThan(lateCrashWindow)
	}
	// Suspects are counted by job, because the tasks of a job are given up together. Without a closed connection the time
	// of the crash is not known, and all that began after the worker's last answer counts as new. Then only an isolated
	// task, beside which nothing else began, can be told from the others.
	jobs, newestJobs, known := map[*batch.Job]bool{}, map[*batch.Job]bool{}, newRuns
	for t, r := range runs {
		jobs[t.Step().Job()] = true
		known = known && !r.inherited && (s.closedClock > 0 || len(t.Crashes()) > 0)
		if s.survived(r) < newestWindow {
			newestJobs[t.Step().Job()] = true
		}
	}
	crashes := map[*batch.Task]*wire.WorkerCrash{}
	for t, r := range runs {
		crashes[t] = &wire.WorkerCrash{
			Worker: s.incarnation.Worker(), BornUnixMs: s.incarnation.StartedUnixMs(),
			Address: s.incarnation.Report().GetAddress(), Run: uint32(t.Run()),
			OnlySuspect: known && len(jobs) == 1, Confirmed: confirmed,
			// A start without an answer may have come after the crash.
			Newest: known && r.confirmed && len(newestJobs) <= maxNewestJobs && newestJobs[t.Step().Job()],
		}
	}
	return crashes
}

// runsYoungerThan returns the runs that the worker is not known to have lived with for an age.
func (s *session) runsYoungerThan(age time.Duration) map[*batch.Task]*run {
	runs := map[*batch.Task]*run{}
	for t, r := range s.runs {
		if !r.endQueued && s.survived(r) < age {
			runs[t] = r
		}
	}
	return runs
}

// latestStarts returns those of the given runs that began within newestWindow of the latest of them, and those of which it
// is not known when they began.
func (s *session) latestStarts(runs map[*batch.Task]*run) map[*batch.Task]*run {
	var latest time.Duration
	for _, r := range runs {
		latest = max(latest, r.confirmedClock)
	}
	starts := map[*batch.Task]*run{}
	for t, r := range runs {
		if !r.confirmed || r.confirmedClock > latest-newestWindow {
			starts[t] = r
		}
	}
	return starts
}

// endCrashedRuns queues the ends of all runs of a worker that has crashed, and its removal.
func (sc *Scheduler) endCrashedRuns(s *session, now time.Duration) {
	crashes := sc.suspects(s, true)
	for t, r := range s.runs {
		if !r.endQueued {
			sc.endRun(s, t, r, crashResult(r, crashes[t]), now)
		}
	}
	sc.removeWorker(s)
}

// crashEnds returns the ends of the runs of a worker that has started again, to be committed with the registration of
// its new incarnation.
func (sc *Scheduler) crashEnds(s *session, now time.Duration) []*wire.RunEnd {
	sc.logCrash(s, now)
	var ends []*wire.RunEnd
	crashes := sc.suspects(s, true)
	for t, r := range s.runs {
		if !r.endQueued {
			ends = append(ends, newRunEnd(runID(t, r.number), crashResult(r, crashes[t])))
		}
	}
	return ends
}

// crashResult returns the result of a run that was lost in a crash of its worker; crash is nil if the run cannot have caused
// it.
func crashResult(r *run, crash *wire.WorkerCrash) runResult {
	result := cutShort(r.checkpoint, "worker_crashed")
	result.crash = crash
	return result
}

// logCrash logs that an incarnation of a worker has ended without notice, with its runs that are younger than
// startWindow.
func (sc *Scheduler) logCrash(s *session, now time.Duration) {
	if s.crashLogged {
		return
	}
	s.crashLogged = true
	var newRuns []string
	for t := range s.runsYoungerThan(startWindow) {
		newRuns = append(newRuns, taskName(t))
	}
	slices.Sort(newRuns)
	logger.WorkerCrashed.Log(sc.cfg.Logger, "worker", s.incarnation.Worker(),
		"born_unix_ms", s.incarnation.StartedUnixMs(), "address", s.incarnation.Report().GetAddress(),
		"silent_ms", (now - s.lastAnswerAt).Milliseconds(), "runs", len(s.runs), "new_runs", newRuns)
}

// logSuspect logs a crash that counts against a task, and the crashes that count so far.
func (sc *Scheduler) logSuspect(t *batch.Task, crash *batch.Crash) {
	logger.TaskSuspected.Log(sc.cfg.Logger, "job", t.Step().Job().ID(), "step", t.Step().Number(), "index", t.Index(),
		"run", crash.Run(), "worker", crash.Worker(), "only_suspect", crash.OnlySuspect(), "confirmed", crash.Confirmed(),
		"crashes", len(t.Crashes()))
}

// logRefuted logs that a crash no longer counts against a task.
func (sc *Scheduler) logRefuted(refuted batch.RefutedCrash) {
	t := refuted.Task
	logger.CrashRefuted.Log(sc.cfg.Logger, "job", t.Step().Job().ID(), "step", t.Step().Number(), "index", t.Index(),
		"run", refuted.Crash.Run(), "worker", refuted.Crash.Worker(), "crashes", len(t.Crashes()))
}

// logGivenUp logs the crashes for which a job has failed.
func (sc *Scheduler) logGivenUp(j *batch.Job) {
	given := j.GivenUp()
	if given == nil {
		return
	}
	workers := make([]string, 0, len(given.Crashes()))
	for _, c := range given.Crashes() {
		workers = append(workers, c.Worker())
	}
	logger.TaskGivenUp.Log(sc.cfg.Logger, "job", j.ID(), "step", given.Step(), "index", given.Index(), "workers", workers)
}

func taskName(t *batch.Task) string {
	return fmt.Sprintf("%s/%d/%d", t.Step().Job().ID(), t.Step().Number(), t.Index())
}
