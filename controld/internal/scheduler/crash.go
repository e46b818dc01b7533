package scheduler

import (
	"fmt"
	"slices"
	"time"

	"flamingodrift.example/core/logger"
)

// startWindow is how long a worker must have lived with a run for a crash to be no sign against the run. A program that
// crashes its worker does so while it starts.
const startWindow = 250 * time.Millisecond

// survived returns how long the worker is known to have lived with a run, on its own clock.
func (s *session) survived(r *run) time.Duration {
	if !r.confirmed {
		return 0
	}
	return s.latestClock - r.confirmedClock
}

// logCrash logs that an incarnation of a worker has ended without notice, with its runs that are younger than
// startWindow.
func (sc *Scheduler) logCrash(s *session, now time.Duration) {
	if s.crashLogged {
		return
	}
	s.crashLogged = true
	var newRuns []string
	for t, r := range s.runs {
		if !r.endQueued && s.survived(r) < startWindow {
			newRuns = append(newRuns, fmt.Sprintf("%s/%d/%d", t.Step().Job().ID(), t.Step().Number(), t.Index()))
		}
	}
	slices.Sort(newRuns)
	logger.WorkerCrashed.Log(sc.cfg.Logger, "worker", s.incarnation.Worker(),
		"born_unix_ms", s.incarnation.StartedUnixMs(), "address", s.incarnation.Report().GetAddress(),
		"silent_ms", (now - s.lastAnswerAt).Milliseconds(), "runs", len(s.runs), "new_runs", newRuns)
}
