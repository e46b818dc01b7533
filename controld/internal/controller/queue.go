package controller

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/scheduler"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// QueueConfig holds what the leader needs for submitted jobs.
type QueueConfig struct {
	Executor  executor.Executor
	Scheduler scheduler.Config
	// WorkerAddress is where workers reach this node.
	WorkerAddress string
	// MinVoters is how many voters the group must have before it accepts anything from operators and callers, so that
	// the loss of disks that the cell must bear loses nothing.
	MinVoters int
}

// queueEvent is a call of a caller, an operator or a worker about queues.
type queueEvent struct {
	call  *wire.QueueCall
	reply func(*wire.Reply)
}

// schedulerEvent brings the answer to an order or a question to the scheduler that gave it.
type schedulerEvent struct {
	scheduler *scheduler.Scheduler
	tell      func(now time.Duration)
	// counted is set for an order that counts as in progress.
	counted bool
}

func (queueEvent) isEvent()     {}
func (schedulerEvent) isEvent() {}

// Queue handles a call about queues. It returns nil when no answer came in time.
func (c *Controller) Queue(ctx context.Context, call *wire.QueueCall) *wire.Reply {
	return c.ask(ctx, func(reply func(*wire.Reply)) event { return queueEvent{call, reply} })
}

func (c *Controller) apply(command *wire.Command) *wire.Result {
	if command.GetQueue() == nil {
		result := c.cell.Apply(command)
		c.noteApplied(command)
		return result
	}
	result, effect := c.cell.Batch().Apply(command.GetQueue())
	if c.scheduler != nil {
		c.scheduler.Applied(effect, c.cfg.Clock.Now())
	} else {
		c.cell.Batch().TakeFinished()
	}
	return result
}

func (c *Controller) startQueues(now time.Duration) {
	if c.cfg.Queues != nil {
		config := c.cfg.Queues.Scheduler
		config.Meter = c.cfg.Meter
		c.scheduler = scheduler.New(config, c.cell.Batch(), c.repl.Term(), now)
	}
}

// leadQueues proposes what the scheduler decided and sends what it ordered.
func (c *Controller) leadQueues(now time.Duration) {
	if c.scheduler == nil || c.diskFull {
		return
	}
	f := c.scheduler
	if command := f.Tick(now); command != nil {
		c.propose(now, &wire.Command{Body: &wire.Command_Queue{Queue: command}}, func(result *wire.Result) {
			f.Proposed(result.GetReason() == "", c.cfg.Clock.Now())
		})
	}
	c.sendOrders(now)
}

func (c *Controller) handleQueue(e queueEvent, now time.Duration) {
	if c.scheduler == nil {
		e.reply(refused(&wire.Refusal{Reason: reason.RequestInvalid.String(), Detail: "this cell has no queues"}))
		return
	}
	switch body := e.call.GetBody().(type) {
	case *wire.QueueCall_Submit:
		c.submit(e, body.Submit, now)
	case *wire.QueueCall_State:
		c.jobState(e, body.State)
	case *wire.QueueCall_Cancel:
		c.cancelJob(e, body.Cancel, now)
	case *wire.QueueCall_Count:
		c.countPending(e, body.Count)
	case *wire.QueueCall_Configure:
		c.configureQueues(e, body.Configure, now)
	case *wire.QueueCall_ReadConfig:
		e.answer(&wire.QueueReply{Document: c.cell.Batch().Config().GetDocument()})
	case *wire.QueueCall_Worker:
		c.workerReport(e, body.Worker, now)
	case *wire.QueueCall_Leave:
		c.workerLeaves(e, body.Leave, now)
	case *wire.QueueCall_Helper:
		c.scheduler.RecordHelperBeat(body.Helper, now)
		e.answer(&wire.QueueReply{Controls: c.controlAddresses()})
	default:
		e.fail(wire.QueueOutcome_QUEUE_OUTCOME_INVALID, "unknown call")
	}
}

func (e queueEvent) answer(reply *wire.QueueReply) {
	if reply.GetOutcome() == wire.QueueOutcome_QUEUE_OUTCOME_UNSPECIFIED {
		reply.Outcome = wire.QueueOutcome_QUEUE_OUTCOME_OK
	}
	e.reply(&wire.Reply{Body: &wire.Reply_Queue{Queue: reply}})
}

func (e queueEvent) fail(outcome wire.QueueOutcome, detail string) {
	e.answer(&wire.QueueReply{Outcome: outcome, Detail: detail})
}

// turnAway answers that a request has not taken effect and when to come back.
func (e queueEvent) turnAway(detail string, retryAfter time.Duration) {
	e.answer(&wire.QueueReply{
		Outcome: wire.QueueOutcome_QUEUE_OUTCOME_TURNED_AWAY, Detail: detail, RetryAfterMs: uint32(retryAfter.Milliseconds()),
	})
}

// commit proposes a command and answers when it is applied.
func (c *Controller) commit(e queueEvent, command *wire.QueueCommand, now time.Duration, done func(*wire.Result)) {
	c.propose(now, &wire.Command{Body: &wire.Command_Queue{Queue: command}}, func(result *wire.Result) {
		if result.GetReason() == reason.NoLeader.String() {
			e.fail(wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN, result.GetDetail())
			return
		}
		if result.GetReason() == reason.DiskFull.String() {
			e.turnAway(result.GetDetail(), fullDiskRetry)
			return
		}
		done(result)
	})
}

const (
	// fullDiskRetry is when a caller may try again after a full disk: the leader hands over meanwhile.
	fullDiskRetry = time.Second
	// formingRetry is when an operator may try again while the group has too few voters.
	formingRetry = 500 * time.Millisecond
)

// accepts reports whether the group may store new state, and answers when it may not.
func (c *Controller) accepts(e queueEvent) bool {
	if c.diskFull {
		c.countRefusal(reason.DiskFull)
		e.turnAway("the leader's disk is full", fullDiskRetry)
		return false
	}
	voters := 0
	for _, m := range c.repl.Membership().GetMembers() {
		if m.GetVoter() {
			voters++
		}
	}
	if c.cell.Batch().Config() == nil && voters < c.cfg.Queues.MinVoters {
		e.turnAway(fmt.Sprintf("the group has %d of %d voters", voters, c.cfg.Queues.MinVoters), formingRetry)
		return false
	}
	return true
}

func (c *Controller) submit(e queueEvent, call *wire.JobCall, now time.Duration) {
	b := c.cell.Batch()
	if b.Config() == nil {
		e.turnAway("no queue configuration yet", formingRetry)
		return
	}
	queue, id, ok := b.Route(call.GetHost(), call.GetPath())
	if !ok {
		e.fail(wire.QueueOutcome_QUEUE_OUTCOME_NO_QUEUE, "no such queue")
		return
	}
	job := call.GetJob()
	job.Id, job.Queue = id, queue.GetName()
	if problem := batch.CheckJob(job); problem != "" {
		e.fail(wire.QueueOutcome_QUEUE_OUTCOME_INVALID, problem)
		return
	}
	if b.Job(id) != nil {
		e.answer(&wire.QueueReply{})
		return
	}
	if !c.accepts(e) {
		return
	}
	if verdict := c.scheduler.Admit(queue, job, now); !verdict.Admitted {
		logger.JobTurnedAway.Log(c.cfg.Logger, "job", id, "queue", queue.GetName(), "why", verdict.Reason,
			"waiting_core_ms", verdict.Backlog, "retry_after_ms", verdict.RetryAfter.Milliseconds())
		c.countRefusal(reason.QueueFull)
		e.turnAway(verdict.Reason, verdict.RetryAfter)
		return
	}
	c.commit(e, &wire.QueueCommand{Submit: job}, now, func(result *wire.Result) {
		if result.GetReason() != "" {
			e.fail(wire.QueueOutcome_QUEUE_OUTCOME_NO_QUEUE, result.GetDetail())
			return
		}
		logger.JobAccepted.Log(c.cfg.Logger, "job", id, "queue", queue.GetName(), "config_version", b.Config().GetVersion())
		e.answer(&wire.QueueReply{})
	})
}

// findJob returns the job that a call names, and answers when there is none.
func (c *Controller) findJob(e queueEvent, call *wire.JobCall) *batch.Job {
	b := c.cell.Batch()
	if b.Config() == nil {
		e.turnAway("no queue configuration yet", formingRetry)
		return nil
	}
	// Jobs outlive a queue that was dropped from the configuration.
	if j := b.Job(lastSegment(call.GetPath())); j != nil {
		return j
	}
	if _, _, ok := b.Route(call.GetHost(), call.GetPath()); !ok {
		e.fail(wire.QueueOutcome_QUEUE_OUTCOME_NO_QUEUE, "no such queue")
		return nil
	}
	e.fail(wire.QueueOutcome_QUEUE_OUTCOME_NO_JOB, "no such job")
	return nil
}

func (c *Controller) jobState(e queueEvent, call *wire.JobCall) {
	if j := c.findJob(e, call); j != nil {
		e.answer(&wire.QueueReply{Phase: j.Phase()})
	}
}

func (c *Controller) cancelJob(e queueEvent, call *wire.JobCall, now time.Duration) {
	j := c.findJob(e, call)
	if j == nil {
		return
	}
	if j.Ended() {
		e.answer(&wire.QueueReply{Phase: j.Phase()})
		return
	}
	id := j.ID()
	c.commit(e, &wire.QueueCommand{Cancel: id}, now, func(*wire.Result) {
		logger.JobCanceled.Log(c.cfg.Logger, "job", id, "queue", j.Queue().GetName())
		e.answer(&wire.QueueReply{Phase: j.Phase()})
	})
}

func (c *Controller) countPending(e queueEvent, call *wire.JobCall) {
	b := c.cell.Batch()
	if b.Config() == nil {
		e.turnAway("no queue configuration yet", formingRetry)
		return
	}
	queue, rest, ok := b.Route(call.GetHost(), call.GetPath())
	if !ok || rest != "" {
		e.fail(wire.QueueOutcome_QUEUE_OUTCOME_NO_QUEUE, "no such queue")
		return
	}
	e.answer(&wire.QueueReply{Pending: uint32(b.Pending(queue.GetName()))})
}

func (c *Controller) configureQueues(e queueEvent, config *wire.QueueConfig, now time.Duration) {
	present := c.cell.Batch().Config()
	if present != nil && config.GetVersion() <= present.GetVersion() {
		// An older or repeated configuration is acknowledged and changes nothing.
		e.answer(&wire.QueueReply{})
		return
	}
	if !c.accepts(e) {
		return
	}
	c.commit(e, &wire.QueueCommand{Configure: config}, now, func(*wire.Result) {
		logger.QueuesConfigured.Log(c.cfg.Logger, "version", config.GetVersion(), "queues", len(config.GetQueues()),
			"in_force", c.cell.Batch().Config().GetVersion())
		e.answer(&wire.QueueReply{})
	})
}

func (c *Controller) workerReport(e queueEvent, report *wire.WorkerLife, now time.Duration) {
	reply := &wire.QueueReply{WorkerAddress: c.cfg.Queues.WorkerAddress}
	news := c.scheduler.RecordReport(report, now)
	if news == nil {
		e.answer(reply)
		return
	}
	if c.diskFull {
		e.turnAway("the leader's disk is full", fullDiskRetry)
		return
	}
	c.commit(e, &wire.QueueCommand{Workers: []*wire.WorkerLife{proto.Clone(news).(*wire.WorkerLife)}}, now,
		func(*wire.Result) {
			line := logger.WorkerRegistered
			if news.GetDraining() {
				line = logger.WorkerDraining
			}
			line.Log(c.cfg.Logger, "worker", news.GetWorker(), "born_unix_ms", news.GetBornUnixMs(), "rack", news.GetRack(),
				"pool", news.GetPool())
			e.answer(reply)
		})
}

// workerLeaves takes note of a worker's own word that it ends. Only a worker that announced its leave is believed: a
// delayed message of an earlier life must not end the present one.
func (c *Controller) workerLeaves(e queueEvent, leave *wire.WorkerLife, now time.Duration) {
	life := c.cell.Batch().Incarnation(leave.GetWorker())
	if life == nil || !life.Draining() || leave.GetBornUnixMs() != 0 && leave.GetBornUnixMs() != life.StartedUnixMs() {
		e.answer(&wire.QueueReply{})
		return
	}
	gone := &wire.WorkerLife{Worker: life.Worker(), BornUnixMs: life.StartedUnixMs()}
	c.commit(e, &wire.QueueCommand{Gone: []*wire.WorkerLife{gone}}, now, func(*wire.Result) {
		logger.WorkerLeft.Log(c.cfg.Logger, "worker", gone.GetWorker(), "born_unix_ms", gone.GetBornUnixMs())
		e.answer(&wire.QueueReply{})
	})
}

func (c *Controller) controlAddresses() []string {
	var addresses []string
	for _, m := range c.repl.Membership().GetMembers() {
		addresses = append(addresses, m.GetAddress())
	}
	return addresses
}

func lastSegment(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '/' {
			return path[i+1:]
		}
	}
	return path
}
