package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

// Leave stops the runs of a worker that is about to end. The worker is removed once the ends of all of them are in the log.
// An incarnation that is not the worker's present one has no runs any more, and is ignored.
func (sc *Scheduler) Leave(incarnation *batch.Incarnation, now time.Duration) {
	if sc.batch.Incarnation(incarnation.Worker()) != incarnation {
		return
	}
	s := sc.sessionFor(incarnation, now)
	if s.leavingSince == 0 {
		s.leavingSince = now
		logger.WorkerLeaving.Log(sc.cfg.Logger, "worker", incarnation.Worker(),
			"born_unix_ms", incarnation.StartedUnixMs(), "runs", len(s.runs))
	}
	for t, r := range s.runs {
		sc.stopRun(s, t, r, now)
	}
}

// LeavingFor returns how long ago a worker said that it is about to end; 0 if it has not said so to this leader.
func (sc *Scheduler) LeavingFor(incarnation *batch.Incarnation, now time.Duration) time.Duration {
	s := sc.currentSession(incarnation)
	if s == nil || s.leavingSince == 0 {
		return 0
	}
	return now - s.leavingSince
}

// removeWorker queues the removal of an incarnation for the log.
func (sc *Scheduler) removeWorker(s *session) {
	if s.removalQueued {
		return
	}
	s.removalQueued = true
	sc.lostWorkers = append(sc.lostWorkers, &wire.WorkerLife{
		Worker: s.incarnation.Worker(), BornUnixMs: s.incarnation.StartedUnixMs(),
	})
	if s.leavingSince != 0 {
		logger.WorkerLeft.Log(sc.cfg.Logger, "worker", s.incarnation.Worker(),
			"born_unix_ms", s.incarnation.StartedUnixMs())
	}
}
