package scheduler

import (
	"slices"
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

// confirmRestart asks a worker whether it has started again, as a report says that came from anywhere. Until it confirms
// that, the runs of its present incarnation may be at work.
func (sc *Scheduler) confirmRestart(s *session, report *wire.WorkerLife, now time.Duration) {
	s.suspectRestart(now)
	s.restartReport = report
	if sc.acceptRestart(s) || s.confirming == report.GetBornUnixMs() {
		return
	}
	s.confirming = report.GetBornUnixMs()
	sc.pendingWork.Renewals = append(sc.pendingWork.Renewals, RenewOrder{
		To:          executor.Address{Worker: report.GetWorker(), HostPort: report.GetAddress()},
		Incarnation: s.incarnation, Order: executor.Renew{Token: s.token}, SentAt: now, Restart: report,
	})
}

// restartAnswered handles a worker's answer to the order of confirmRestart. Without an answer, the next report asks again.
func (sc *Scheduler) restartAnswered(s *session, o RenewOrder, report executor.Report, answer executor.Answer) {
	if s.confirming == o.Restart.GetBornUnixMs() {
		s.confirming = 0
	}
	if answer.Status == executor.Done && report.StartedUnixMs == s.incarnation.StartedUnixMs() {
		s.refuteRestart()
	}
	if answer.Status != executor.Done || report.StartedUnixMs != o.Restart.GetBornUnixMs() {
		logger.RestartUnconfirmed.Log(sc.cfg.Logger, "worker", s.incarnation.Worker(),
			"born_unix_ms", s.incarnation.StartedUnixMs(), "reported_born_unix_ms", o.Restart.GetBornUnixMs(),
			"answered_born_unix_ms", report.StartedUnixMs, "address", o.To.HostPort, "verdict", answer.Status.String())
		return
	}
	s.answeredUnixMs = report.StartedUnixMs
	sc.acceptRestart(s)
}

// acceptRestart queues the registration of a worker that has started again, if it has reported that and answered an order.
func (sc *Scheduler) acceptRestart(s *session) bool {
	if s.restartReport == nil || s.restartReport.GetBornUnixMs() != s.answeredUnixMs {
		return false
	}
	sc.restarted = append(sc.restarted, s.restartReport)
	sc.changed = true
	return true
}

// registerRestarted adds the workers that have started again to a command, and the ends of what they ran before.
func (sc *Scheduler) registerRestarted(command *wire.QueueCommand, now time.Duration) {
	for _, report := range sc.restarted {
		incarnation := sc.batch.Incarnation(report.GetWorker())
		if incarnation == nil || incarnation.StartedUnixMs() >= report.GetBornUnixMs() ||
			slices.Contains(command.GetWorkers(), report) {
			continue
		}
		command.Ends = append(command.Ends, sc.crashEnds(sc.sessionFor(incarnation, now), now)...)
		command.Workers = append(command.Workers, report)
		logger.WorkerRegistered.Log(sc.cfg.Logger, batch.ReportFields(report)...)
	}
	sc.restarted = nil
}
