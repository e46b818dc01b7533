package controller

import (
	"time"

	"flamingodrift.example/controld/internal/lessor"
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/controld/internal/tally"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// maxExpiredClaims bounds the claims that one command removes.
const maxExpiredClaims = 500

// checkLeadership starts or stops this node's duties as leader according to the consensus state.
func (c *Controller) checkLeadership(now time.Duration) {
	lease := c.repl.HasLease(now)
	switch {
	case c.leading && (!c.repl.IsLeader() || c.repl.Term() != c.leaderTerm):
		c.stopLeading()
		c.failUncommitted()
	case !c.leading && lease && c.applied >= c.repl.Commit():
		c.startLeading(now)
	}
}

func (c *Controller) startLeading(now time.Duration) {
	workers := map[string]string{}
	for name, w := range c.cell.Workers() {
		if !w.Lost() {
			workers[name] = w.Boot()
		}
	}
	var holders []lessor.EntryBoot
	for _, h := range c.cell.Claims().Holders() {
		holders = append(holders, lessor.EntryBoot{Entry: h.Entry, Boot: h.Boot})
	}
	c.leading, c.leaderTerm, c.leaderSince = true, c.repl.Term(), now
	c.diskSpeed = diskSpeed{}
	c.lessor = lessor.New(c.cfg.Lessor, c.repl.Term(), workers, holders, now)
	if c.cell.Config().GetRevision() == 0 {
		// Every request is refused without a configuration, so no earlier leader had requests served.
		c.lessor.SetNeverServed()
	}
	c.planner = planner.New(c.cfg.Planner)
	c.tally = tally.New(time.Now().UnixMilli())
	c.checkpointRequests = map[uint64]time.Duration{}
	c.reportedAt = map[uint64]time.Duration{}
	c.decisionsInLog, c.workerEvents, c.inFlight = false, nil, map[string]bool{}
	c.startScheduler(now)
	logger.LeaderStarted.Log(c.cfg.Logger, "term", c.repl.Term())
}

func (c *Controller) stopLeading() {
	if !c.leading {
		return
	}
	c.leading = false
	c.lease.Store(nil)
	c.failLeaves()
	c.lessor, c.planner, c.workerEvents, c.inFlight, c.scheduler, c.orders = nil, nil, nil, nil, nil, nil
	logger.LeaderStopped.Log(c.cfg.Logger, "term", c.leaderTerm)
}

// runLeaderDuties does the leader's periodic work. Without the leader lease it does nothing.
func (c *Controller) runLeaderDuties(now time.Duration) {
	if !c.repl.HasLease(now) {
		return
	}
	c.reportsKnownAt = now
	c.adjustMembership(now)
	c.expireLeases(now)
	c.proposeWorkerEvents(now)
	c.proposeDecisions(now)
	c.answerLeaves(now)
	c.runQueueDuties(now)
	if count := c.cell.Claims().Expired(maxExpiredClaims, time.Now().UnixMilli()); count > 0 && !c.inFlight["expire"] {
		c.inFlight["expire"] = true
		command := &wire.Command{Body: &wire.Command_ExpireClaims{ExpireClaims: &wire.ExpireClaims{Count: uint32(count)}}}
		c.propose(now, command, func(*wire.Result) { delete(c.inFlight, "expire") })
	}
}

func (c *Controller) expireLeases(now time.Duration) {
	for _, lost := range c.lessor.ExpireWorkers(now) {
		logger.WorkerLost.Log(c.cfg.Logger, "worker", lost.Worker)
		c.workerEvents = append(c.workerEvents, &wire.WorkerEvent{
			Worker: lost.Worker, Body: &wire.WorkerEvent_Lost{Lost: &wire.WorkerLost{Boot: lost.Boot}},
		})
	}
	for _, lost := range c.lessor.ExpireEntries(now) {
		logger.EntryLost.Log(c.cfg.Logger, "entry", lost.Entry)
		c.tally.EntryLost(lost.Entry, time.Now().UnixMilli())
		command := &wire.Command{Body: &wire.Command_OrphanClaims{
			OrphanClaims: &wire.OrphanClaims{Entry: lost.Entry, Boot: lost.Boot},
		}}
		c.propose(now, command, func(*wire.Result) {})
	}
}

func (c *Controller) proposeWorkerEvents(now time.Duration) {
	if len(c.workerEvents) == 0 {
		return
	}
	events := &wire.WorkerEvents{Events: c.workerEvents}
	c.workerEvents = nil
	c.propose(now, &wire.Command{Body: &wire.Command_WorkerEvents{WorkerEvents: events}}, func(*wire.Result) {})
}

// proposeDecisions runs the planner and proposes its decisions. At most one round of decisions is in the log and not
// yet applied, so that each round starts from committed state.
func (c *Controller) proposeDecisions(now time.Duration) {
	if c.decisionsInLog {
		return
	}
	decisions := c.planner.Decide(c.cell, now)
	if decisions == nil {
		return
	}
	c.decisionsInLog = true
	command := &wire.Command{Body: &wire.Command_Decisions{Decisions: decisions}}
	c.propose(now, command, func(*wire.Result) { c.decisionsInLog = false })
}

// clearAppliedEvents removes the worker events of an applied command from inFlight.
func (c *Controller) clearAppliedEvents(command *wire.Command) {
	if !c.leading {
		return
	}
	for _, event := range command.GetWorkerEvents().GetEvents() {
		delete(c.inFlight, eventKey(event))
		if seen := event.GetSeen(); seen != nil {
			logger.WorkerRegistered.Log(c.cfg.Logger, "worker", event.GetWorker(), "boot", seen.GetBoot(),
				"rack", seen.GetRack())
		}
	}
}

func (c *Controller) handleBeat(e beatEvent, now time.Duration) {
	reply := c.lessor.Beat(e.request, now)
	c.tally.EntryReported(e.request.GetEntry(), e.request.GetLeaving())
	config := c.cell.Config()
	reply.ConfigRevision = config.GetRevision()
	if e.request.GetConfigRevision() < config.GetRevision() {
		reply.Config = config
	}
	e.reply(&wire.Reply{Body: &wire.Reply_Beat{Beat: reply}})
}

func (c *Controller) handleClaim(e claimEvent, now time.Duration) {
	if c.diskFull {
		c.countRefusal(reason.DiskFull)
		e.reply(refusalReply(&wire.Refusal{Reason: reason.DiskFull.String(), Detail: "the leader's disk is full"}))
		return
	}
	c.lessor.Track(e.request.GetEntry(), e.request.GetBoot(), now)
	command := &wire.Command{Body: &wire.Command_OpenClaim{OpenClaim: &wire.OpenClaim{Request: e.request}}}
	c.propose(now, command, func(result *wire.Result) {
		if result.GetReason() != "" {
			e.reply(refusalReply(&wire.Refusal{Reason: result.GetReason(), Detail: result.GetDetail()}))
			return
		}
		e.reply(&wire.Reply{Body: &wire.Reply_Claim{Claim: result.GetClaim()}})
	})
}

func (c *Controller) handleSettle(e settleEvent, now time.Duration) {
	command := &wire.Command{Body: &wire.Command_SettleClaim{SettleClaim: e.request}}
	c.propose(now, command, func(result *wire.Result) {
		if result.GetReason() != "" {
			e.reply(refusalReply(&wire.Refusal{Reason: result.GetReason(), Detail: result.GetDetail()}))
			return
		}
		e.reply(&wire.Reply{Body: &wire.Reply_Settle{Settle: &wire.SettleReply{}}})
	})
}

func (c *Controller) handleChange(e changeEvent, now time.Duration) {
	if refusal := c.requireLeadership(now); refusal != nil {
		e.fail(refusal)
		return
	}
	if c.diskFull {
		c.countRefusal(reason.DiskFull)
		e.fail(&wire.Refusal{Reason: reason.DiskFull.String(), Detail: "the leader's disk is full"})
		return
	}
	c.propose(now, e.command, func(result *wire.Result) {
		if result.GetReason() == "" {
			logger.ChangeAccepted.Log(c.cfg.Logger, "revision", result.GetRevision(), "change", result.GetDetail())
		} else {
			logger.ChangeRefused.Log(c.cfg.Logger, "reason", result.GetReason(), "detail", result.GetDetail())
			c.countRefusal(reason.Reason(result.GetReason()))
		}
		e.done(result)
	})
}
