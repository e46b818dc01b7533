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

// QueueConfig holds the settings and dependencies of the leader for submitted jobs.
type QueueConfig struct {
	Executor  executor.Executor
	Scheduler scheduler.Config
	// WorkerAddress is the address at which workers reach this node.
	WorkerAddress string
	// MinVoters is how many voters the group must have before it accepts the first change from operators and callers, so
	// that no accepted change is lost with the number of disks whose loss the cell must tolerate.
	MinVoters int
}

// queueEvent is a call about queues from a caller, an operator, a worker or a helper.
type queueEvent struct {
	call  *wire.QueueCall
	reply func(*wire.Reply)
}

// schedulerEvent delivers the answer to an order or a consent request to the scheduler that issued it.
type schedulerEvent struct {
	scheduler *scheduler.Scheduler
	deliver   func(now time.Duration)
	// limited is set when the order counts in callsInProgress.
	limited bool
}

func (queueEvent) isEvent()     {}
func (schedulerEvent) isEvent() {}

// Queue handles a call about queues. It returns nil when ctx is done before there is a reply.
func (c *Controller) Queue(ctx context.Context, call *wire.QueueCall) *wire.Reply {
	return c.awaitReply(ctx, func(reply func(*wire.Reply)) event { return queueEvent{call, reply} })
}

// apply applies a committed command to the cell. On a leader with queues it also passes the effect of a queue command
// to the scheduler; elsewhere it discards the finished jobs that only the scheduler would read.
func (c *Controller) apply(command *wire.Command) *wire.Result {
	if command.GetQueue() == nil {
		result := c.cell.Apply(command)
		c.clearAppliedEvents(command)
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

func (c *Controller) startScheduler(now time.Duration) {
	if c.cfg.Queues != nil {
		config := c.cfg.Queues.Scheduler
		config.Meter = c.cfg.Meter
		config.ReportsKnownAt = c.reportsKnownAt
		if at, heard := c.repl.HeardLeaderAt(); heard {
			config.ReportsKnownAt = max(config.ReportsKnownAt, at)
		}
		c.scheduler = scheduler.New(config, c.cell.Batch(), c.repl.Term(), now)
	}
}

// runQueueDuties proposes the scheduler's decisions and sends its orders.
func (c *Controller) runQueueDuties(now time.Duration) {
	if c.scheduler == nil || c.diskFull {
		return
	}
	s := c.scheduler
	if command := s.Tick(now); command != nil {
		c.propose(now, &wire.Command{Body: &wire.Command_Queue{Queue: command}}, func(result *wire.Result) {
			s.Proposed(result.GetReason() == "", c.cfg.Clock.Now())
		})
	}
	c.sendOrders(now)
}

func (c *Controller) handleQueue(e queueEvent, now time.Duration) {
	if c.scheduler == nil {
		e.reply(refusalReply(&wire.Refusal{Reason: reason.RequestInvalid.String(), Detail: "this cell has no queues"}))
		return
	}
	switch body := e.call.GetBody().(type) {
	case *wire.QueueCall_Submit:
		c.submit(e, body.Submit, now)
	case *wire.QueueCall_State:
		c.read(e, body.State, now)
	case *wire.QueueCall_Cancel:
		c.cancelJob(e, body.Cancel, now)
	case *wire.QueueCall_Count:
		c.read(e, body.Count, now)
	case *wire.QueueCall_Configure:
		c.configureQueues(e, body.Configure, now)
	case *wire.QueueCall_ReadConfig:
		e.answer(&wire.QueueReply{Document: c.cell.Batch().Config().GetDocument()})
	case *wire.QueueCall_Worker:
		c.handleWorkerReport(e, body.Worker, now)
	case *wire.QueueCall_Leave:
		c.handleWorkerLeave(e, body.Leave, now)
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

// turnAway replies that a request did not take effect and when to retry it.
func (e queueEvent) turnAway(detail string, retryAfter time.Duration) {
	e.answer(&wire.QueueReply{
		Outcome: wire.QueueOutcome_QUEUE_OUTCOME_TURNED_AWAY, Detail: detail, RetryAfterMs: uint32(retryAfter.Milliseconds()),
	})
}

// proposeQueueCommand proposes a command and calls done when it is applied. When its outcome is unknown or the disk is
// full, it replies to the call itself.
func (c *Controller) proposeQueueCommand(
	e queueEvent, command *wire.QueueCommand, now time.Duration, done func(*wire.Result),
) {
	c.propose(now, &wire.Command{Body: &wire.Command_Queue{Queue: command}}, func(result *wire.Result) {
		if result.GetReason() == reason.NoLeader.String() {
			e.fail(wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN, result.GetDetail())
			return
		}
		if result.GetReason() == reason.DiskFull.String() {
			e.turnAway(result.GetDetail(), diskFullRetryDelay)
			return
		}
		done(result)
	})
}

const (
	// diskFullRetryDelay is when a caller may retry after a full disk; the leader hands over in the meantime.
	diskFullRetryDelay = time.Second
	// formingRetryDelay is when a caller or an operator may retry while the group has too few voters or no queue
	// configuration.
	formingRetryDelay = 500 * time.Millisecond
	// exceedsLimitRetryDelay is when a caller may retry whose job exceeds the limit of its workspace: only another
	// configuration can change that.
	exceedsLimitRetryDelay = 10 * time.Second
)

// acceptsChanges reports whether the group may store new state. When it may not, it replies to the call itself.
func (c *Controller) acceptsChanges(e queueEvent) bool {
	if c.diskFull {
		c.countRefusal(reason.DiskFull)
		e.turnAway("the leader's disk is full", diskFullRetryDelay)
		return false
	}
	voters := 0
	for _, m := range c.repl.Membership().GetMembers() {
		if m.GetVoter() {
			voters++
		}
	}
	if c.cell.Batch().Config() == nil && voters < c.cfg.Queues.MinVoters {
		e.turnAway(fmt.Sprintf("the group has %d of %d voters", voters, c.cfg.Queues.MinVoters), formingRetryDelay)
		return false
	}
	return true
}

func (c *Controller) submit(e queueEvent, call *wire.JobCall, now time.Duration) {
	b := c.cell.Batch()
	if b.Config() == nil {
		e.turnAway("no queue configuration yet", formingRetryDelay)
		return
	}
	path := b.Resolve(call.GetHost(), call.GetPath())
	if path.Job() != nil {
		c.replyResubmission(e, call, path)
		return
	}
	queue, id := path.Queue(), path.Rest()
	if queue == nil {
		e.fail(wire.QueueOutcome_QUEUE_OUTCOME_NO_QUEUE, "no such queue")
		return
	}
	workspace, ok := c.authenticate(e, queue, call)
	if !ok {
		return
	}
	job := call.GetJob()
	job.Id, job.Queue, job.Workspace = id, queue.GetName(), workspace
	job.Host, job.Prefix = queue.GetHost(), queue.GetPrefix()
	if problem := batch.CheckJob(job); problem != "" {
		e.fail(wire.QueueOutcome_QUEUE_OUTCOME_INVALID, problem)
		return
	}
	if b.Job(id) != nil {
		e.fail(wire.QueueOutcome_QUEUE_OUTCOME_INVALID, "the job id is taken under another path")
		return
	}
	if !c.acceptsChanges(e) {
		return
	}
	if problem := b.CheckWorkspaceLimit(job); problem != "" {
		logger.JobTurnedAway.Log(c.cfg.Logger, "job", id, "queue", queue.GetName(), "workspace", workspace, "why", problem)
		c.countRefusal(reason.ExceedsQuota)
		e.turnAway(problem, exceedsLimitRetryDelay)
		return
	}
	if admission := c.scheduler.Admit(queue, job, now); !admission.Admitted {
		logger.JobTurnedAway.Log(c.cfg.Logger, append([]any{"job", id, "queue", queue.GetName()}, admission.Fields()...)...)
		c.countRefusal(admission.Cause)
		outcome := wire.QueueOutcome_QUEUE_OUTCOME_TURNED_AWAY
		if admission.Cause == reason.OverShare {
			outcome = wire.QueueOutcome_QUEUE_OUTCOME_OVER_RATE
		}
		e.answer(&wire.QueueReply{
			Outcome: outcome, Detail: admission.Reason, RetryAfterMs: uint32(admission.RetryAfter.Milliseconds()),
		})
		return
	}
	c.proposeQueueCommand(e, &wire.QueueCommand{Submit: job}, now, func(result *wire.Result) {
		switch result.GetReason() {
		case "":
		case reason.Conflict.String():
			e.fail(wire.QueueOutcome_QUEUE_OUTCOME_INVALID, result.GetDetail())
			return
		default:
			e.fail(wire.QueueOutcome_QUEUE_OUTCOME_NO_QUEUE, result.GetDetail())
			return
		}
		logger.JobAccepted.Log(c.cfg.Logger, "job", id, "queue", queue.GetName(), "workspace", workspace,
			"config_version", b.Config().GetVersion())
		e.answer(&wire.QueueReply{})
	})
}

// replyResubmission replies to the submission of a job that is stored. It runs even if its queue was dropped, so its caller
// must not be told that it does not.
func (c *Controller) replyResubmission(e queueEvent, call *wire.JobCall, path batch.Reference) {
	workspace, ok := c.authenticate(e, path.Job().Queue(), call)
	switch {
	case !ok:
	case path.Job().Workspace() == workspace:
		e.answer(&wire.QueueReply{})
	case path.Queue() == nil:
		e.fail(wire.QueueOutcome_QUEUE_OUTCOME_NO_QUEUE, "no such queue")
	default:
		e.fail(wire.QueueOutcome_QUEUE_OUTCOME_INVALID, "the job id is taken")
	}
}

// authenticate returns the workspace of a call to a queue; it is empty where none is needed. When the configuration in
// force does not hold the key of the call, it replies to the call itself and returns false.
func (c *Controller) authenticate(e queueEvent, queue *wire.Queue, call *wire.JobCall) (workspace string, ok bool) {
	b := c.cell.Batch()
	workspace, known := b.WorkspaceOfKey(call.GetKey())
	if known || queue.GetPublic() || !b.KeysRequired() {
		return workspace, true
	}
	c.countRefusal(reason.Unauthorized)
	e.fail(wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN_KEY, "no workspace has this key")
	return "", false
}

// resolve returns what the path of a call refers to. Before the first configuration, it replies to the call itself and
// returns false.
func (c *Controller) resolve(e queueEvent, call *wire.JobCall) (batch.Reference, bool) {
	b := c.cell.Batch()
	if b.Config() == nil {
		e.turnAway("no queue configuration yet", formingRetryDelay)
		return batch.Reference{}, false
	}
	return b.Resolve(call.GetHost(), call.GetPath()), true
}

// jobAt returns the job that a path refers to. When there is none in the caller's workspace, it replies to the call itself
// and returns nil.
func (c *Controller) jobAt(e queueEvent, call *wire.JobCall, path batch.Reference) *batch.Job {
	// Jobs outlive a queue that was dropped from the configuration.
	j, queue := path.Job(), path.Queue()
	if j != nil {
		queue = j.Queue()
	} else if queue == nil {
		e.fail(wire.QueueOutcome_QUEUE_OUTCOME_NO_QUEUE, "no such queue")
		return nil
	}
	workspace, ok := c.authenticate(e, queue, call)
	if !ok {
		return nil
	}
	if j != nil && j.Workspace() == workspace {
		return j
	}
	e.fail(wire.QueueOutcome_QUEUE_OUTCOME_NO_JOB, "no such job")
	return nil
}

// read replies with the state of a job or the number of pending jobs of a queue, as the path says.
func (c *Controller) read(e queueEvent, call *wire.JobCall, now time.Duration) {
	path, ok := c.resolve(e, call)
	switch {
	case !ok:
	case path.IsQueue():
		c.replyPending(e, call, path.Queue(), now)
	case path.Job() == nil && path.Queue() != nil && !path.NamesJob():
		if _, ok := c.authenticate(e, path.Queue(), call); ok {
			e.fail(wire.QueueOutcome_QUEUE_OUTCOME_NO_QUEUE, "no such queue")
		}
	default:
		if j := c.jobAt(e, call, path); j != nil {
			e.answer(&wire.QueueReply{Phase: j.Phase()})
		}
	}
}

func (c *Controller) replyPending(e queueEvent, call *wire.JobCall, queue *wire.Queue, now time.Duration) {
	if _, ok := c.authenticate(e, queue, call); ok {
		e.answer(&wire.QueueReply{Pending: uint32(c.scheduler.Pending(queue, now)), IsCount: true})
	}
}

func (c *Controller) cancelJob(e queueEvent, call *wire.JobCall, now time.Duration) {
	path, ok := c.resolve(e, call)
	if !ok {
		return
	}
	j := c.jobAt(e, call, path)
	if j == nil {
		return
	}
	if j.Ended() {
		e.answer(&wire.QueueReply{Phase: j.Phase()})
		return
	}
	id := j.ID()
	c.proposeQueueCommand(e, &wire.QueueCommand{Cancel: id}, now, func(*wire.Result) {
		logger.JobCanceled.Log(c.cfg.Logger, "job", id, "queue", j.Queue().GetName())
		e.answer(&wire.QueueReply{Phase: j.Phase()})
	})
}

func (c *Controller) configureQueues(e queueEvent, config *wire.QueueConfig, now time.Duration) {
	current := c.cell.Batch().Config()
	if current != nil && config.GetVersion() <= current.GetVersion() {
		// An older or repeated configuration is acknowledged without effect.
		e.answer(&wire.QueueReply{})
		return
	}
	if !c.acceptsChanges(e) {
		return
	}
	c.proposeQueueCommand(e, &wire.QueueCommand{Configure: config}, now, func(*wire.Result) {
		logger.QueuesConfigured.Log(c.cfg.Logger, "version", config.GetVersion(), "queues", len(config.GetQueues()),
			"workspaces", len(config.GetWorkspaces()),
			"in_force", c.cell.Batch().Config().GetVersion())
		e.answer(&wire.QueueReply{})
	})
}

func (c *Controller) handleWorkerReport(e queueEvent, report *wire.WorkerLife, now time.Duration) {
	present := c.cell.Batch().Incarnation(report.GetWorker())
	if present != nil && present.StartedUnixMs() == report.GetBornUnixMs() && present.Report().GetPool() != report.GetPool() {
		// A worker belongs to one pool as long as it lives, so the report is not its own.
		logger.ReportRefused.Log(c.cfg.Logger, append(batch.ReportFields(report), "present_pool", present.Report().GetPool())...)
		e.fail(wire.QueueOutcome_QUEUE_OUTCOME_INVALID, "the worker belongs to another pool")
		return
	}
	reply := &wire.QueueReply{WorkerAddress: c.cfg.Queues.WorkerAddress}
	command := c.scheduler.RecordReport(report, now)
	if command == nil {
		e.answer(reply)
		return
	}
	if c.diskFull {
		e.turnAway("the leader's disk is full", diskFullRetryDelay)
		return
	}
	c.proposeQueueCommand(e, proto.Clone(command).(*wire.QueueCommand), now, func(result *wire.Result) {
		if result.GetReason() != "" {
			e.fail(wire.QueueOutcome_QUEUE_OUTCOME_INVALID, result.GetDetail())
			return
		}
		line := logger.WorkerRegistered
		if report.GetDraining() {
			line = logger.WorkerDraining
		}
		line.Log(c.cfg.Logger, batch.ReportFields(report)...)
		e.answer(reply)
	})
}

func (c *Controller) controlAddresses() []string {
	var addresses []string
	for _, m := range c.repl.Membership().GetMembers() {
		addresses = append(addresses, m.GetAddress())
	}
	return addresses
}
