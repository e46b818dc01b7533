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

const expireBatch = 500

// checkLeadership starts or ends this node's duties as leader.
func (c *Controller) checkLeadership(now time.Duration) {
	lease := c.repl.HasLease(now)
	switch {
	case c.leads && (!c.repl.IsLeader() || c.repl.Term() != c.leadingTerm):
		c.stopLeading()
		c.failUncommitted()
	case !c.leads && lease && c.applied >= c.repl.Commit():
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
	c.leads, c.leadingTerm, c.leadingSince = true, c.repl.Term(), now
	c.diskSpeed = diskSpeed{}
	c.reg = lessor.New(c.cfg.Registrar, c.repl.Term(), workers, holders, now)
	if c.cell.Config().GetRevision() == 0 {
		// Without a configuration every request is refused.
		c.reg.SetNeverServed()
	}
	c.plan = planner.New(c.cfg.Planner)
	c.tally = tally.New(time.Now().UnixMilli())
	c.checkpoints = map[uint64]time.Duration{}
	c.deciding, c.workerBatch, c.pending = false, nil, map[string]bool{}
	c.seenAlive = map[string]time.Duration{}
	for _, m := range c.repl.Membership().GetMembers() {
		c.seenAlive[m.GetId()] = now
	}
	c.startQueues(now)
	logger.LeaderStarted.Log(c.cfg.Logger, "term", c.repl.Term())
}

func (c *Controller) stopLeading() {
	if !c.leads {
		return
	}
	c.leads = false
	c.reg, c.plan, c.workerBatch, c.pending, c.scheduler, c.orders = nil, nil, nil, nil, nil, nil
	logger.LeaderStopped.Log(c.cfg.Logger, "term", c.leadingTerm)
}

// lead does the leader's periodic work. Without the lease it decides nothing.
func (c *Controller) lead(now time.Duration) {
	if !c.repl.HasLease(now) {
		return
	}
	c.adjustMembership(now)
	c.expireLeases(now)
	c.proposeWorkerEvents(now)
	c.proposeDecisions(now)
	c.leadQueues(now)
	if count := c.cell.Claims().Expired(expireBatch, time.Now().UnixMilli()); count > 0 && !c.pending["expire"] {
		c.pending["expire"] = true
		command := &wire.Command{Body: &wire.Command_ExpireClaims{ExpireClaims: &wire.ExpireClaims{Count: uint32(count)}}}
		c.propose(now, command, func(*wire.Result) { delete(c.pending, "expire") })
	}
}

func (c *Controller) expireLeases(now time.Duration) {
	for _, lost := range c.reg.ExpireWorkers(now) {
		logger.WorkerLost.Log(c.cfg.Logger, "worker", lost.Worker)
		c.workerBatch = append(c.workerBatch, &wire.WorkerEvent{
			Worker: lost.Worker, Body: &wire.WorkerEvent_Lost{Lost: &wire.WorkerLost{Boot: lost.Boot}},
		})
	}
	for _, lost := range c.reg.ExpireEntries(now) {
		logger.EntryLost.Log(c.cfg.Logger, "entry", lost.Entry)
		c.tally.EntryLost(lost.Entry, time.Now().UnixMilli())
		command := &wire.Command{Body: &wire.Command_OrphanClaims{
			OrphanClaims: &wire.OrphanClaims{Entry: lost.Entry, Boot: lost.Boot},
		}}
		c.propose(now, command, func(*wire.Result) {})
	}
}

func (c *Controller) proposeWorkerEvents(now time.Duration) {
	if len(c.workerBatch) == 0 {
		return
	}
	events := &wire.WorkerEvents{Events: c.workerBatch}
	c.workerBatch = nil
	c.propose(now, &wire.Command{Body: &wire.Command_WorkerEvents{WorkerEvents: events}}, func(*wire.Result) {})
}

// proposeDecisions runs the planner. One round is in the log at a time, so that each starts from committed state.
func (c *Controller) proposeDecisions(now time.Duration) {
	if c.deciding {
		return
	}
	decisions := c.plan.Decide(c.cell, now)
	if decisions == nil {
		return
	}
	c.deciding = true
	command := &wire.Command{Body: &wire.Command_Decisions{Decisions: decisions}}
	c.propose(now, command, func(*wire.Result) { c.deciding = false })
}

// noteApplied clears the marks of worker events that are now in the cell.
func (c *Controller) noteApplied(command *wire.Command) {
	if !c.leads {
		return
	}
	for _, event := range command.GetWorkerEvents().GetEvents() {
		delete(c.pending, eventMark(event))
		if seen := event.GetSeen(); seen != nil {
			logger.WorkerRegistered.Log(c.cfg.Logger, "worker", event.GetWorker(), "boot", seen.GetBoot(), "rack", seen.GetRack())
		}
	}
}

func (c *Controller) handleBeat(e beatEvent, now time.Duration) {
	reply := c.reg.Beat(e.request, now)
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
		e.reply(refused(&wire.Refusal{Reason: reason.DiskFull.String(), Detail: "the leader's disk is full"}))
		return
	}
	c.reg.Track(e.request.GetEntry(), e.request.GetBoot(), now)
	command := &wire.Command{Body: &wire.Command_OpenClaim{OpenClaim: &wire.OpenClaim{Request: e.request}}}
	c.propose(now, command, func(result *wire.Result) {
		if result.GetReason() != "" {
			e.reply(refused(&wire.Refusal{Reason: result.GetReason(), Detail: result.GetDetail()}))
			return
		}
		e.reply(&wire.Reply{Body: &wire.Reply_Claim{Claim: result.GetClaim()}})
	})
}

func (c *Controller) handleSettle(e settleEvent, now time.Duration) {
	command := &wire.Command{Body: &wire.Command_SettleClaim{SettleClaim: e.request}}
	c.propose(now, command, func(result *wire.Result) {
		if result.GetReason() != "" {
			e.reply(refused(&wire.Refusal{Reason: result.GetReason(), Detail: result.GetDetail()}))
			return
		}
		e.reply(&wire.Reply{Body: &wire.Reply_Settle{Settle: &wire.SettleReply{}}})
	})
}

func (c *Controller) handleChange(e changeEvent, now time.Duration) {
	if refusal := c.notLeading(now); refusal != nil {
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
