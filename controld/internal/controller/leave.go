package controller

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/wire"
)

const (
	// leaveReplyTimeout bounds the wait for a reply to one message of a leaving worker. It is below the time after which
	// the process that forwarded the message gives the attempt up.
	leaveReplyTimeout = 500 * time.Millisecond
	// leaveAckTimeout is how long after its first message a leaving worker is acknowledged although the end of a run on
	// it is not known. The run then ends with the worker's lease.
	leaveAckTimeout = 2500 * time.Millisecond
)

// pendingLeave is a message of a leaving worker that is not answered yet.
type pendingLeave struct {
	event       queueEvent
	incarnation *batch.Incarnation
	deadline    time.Duration
}

// handleWorkerLeave stops the runs of a worker that is about to end. The message is no proof that they have ended: the
// worker runs on until the reply arrives, or for some seconds without one. So the reply waits for their ends, and nothing
// runs on the worker when it receives it.
//
// A message without a start time is ignored unless the worker is draining, and so is one of an earlier incarnation: it
// may be delayed and must not end the current one.
func (c *Controller) handleWorkerLeave(e queueEvent, leave *wire.WorkerLife, now time.Duration) {
	incarnation := c.cell.Batch().Incarnation(leave.GetWorker())
	switch {
	case incarnation == nil ||
		leave.GetBornUnixMs() != 0 && leave.GetBornUnixMs() != incarnation.StartedUnixMs() ||
		leave.GetBornUnixMs() == 0 && !incarnation.Draining():
		e.answer(&wire.QueueReply{})
	case !incarnation.Draining():
		c.proposeQueueCommand(e, batch.DrainCommand(incarnation), now, func(*wire.Result) {
			c.beginLeave(e, incarnation, c.cfg.Clock.Now())
		})
	default:
		c.beginLeave(e, incarnation, now)
	}
}

func (c *Controller) beginLeave(e queueEvent, incarnation *batch.Incarnation, now time.Duration) {
	if c.scheduler == nil {
		e.fail(wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN, "this node does not lead any more")
		return
	}
	c.scheduler.Leave(incarnation, now)
	c.leaves = append(c.leaves, pendingLeave{event: e, incarnation: incarnation, deadline: now + leaveReplyTimeout})
}

// answerLeaves answers the messages of leaving workers on which nothing runs any more, and those that have waited for too
// long.
func (c *Controller) answerLeaves(now time.Duration) {
	waiting := c.leaves[:0]
	for _, l := range c.leaves {
		switch {
		case c.cell.Batch().Incarnation(l.incarnation.Worker()) != l.incarnation ||
			c.scheduler.LeavingFor(l.incarnation, now) >= leaveAckTimeout:
			l.event.answer(&wire.QueueReply{})
		case now >= l.deadline:
			l.event.fail(wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN, "runs on the worker are being stopped")
		default:
			waiting = append(waiting, l)
		}
	}
	clear(c.leaves[len(waiting):])
	c.leaves = waiting
}

// failLeaves answers all messages of leaving workers when this node stops leading.
func (c *Controller) failLeaves() {
	for _, l := range c.leaves {
		l.event.fail(wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN, "this node does not lead any more")
	}
	c.leaves = nil
}
