package controller

import (
	"context"
	"time"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// event is something that another thread brings to the control thread.
type event interface{ isEvent() }

type peerEvent struct{ message *wire.PeerMessage }

type joinEvent struct {
	member *wire.Member
	reply  func(*wire.Reply)
}

type joinedEvent struct{ reply *wire.JoinReply }

type reportsEvent struct {
	reports *wire.WorkerReports
	reply   func(*wire.Reply)
}

type beatEvent struct {
	request *wire.BeatRequest
	reply   func(*wire.Reply)
}

type claimEvent struct {
	request *wire.ClaimRequest
	reply   func(*wire.Reply)
}

type settleEvent struct {
	request *wire.SettleRequest
	reply   func(*wire.Reply)
}

// queryEvent reads the control state of a leader that holds its lease.
type queryEvent struct {
	read func(now time.Duration, view View)
	fail func(*wire.Refusal)
}

// changeEvent proposes an operator's change.
type changeEvent struct {
	command *wire.Command
	done    func(*wire.Result)
	fail    func(*wire.Refusal)
}

func (peerEvent) isEvent()    {}
func (joinEvent) isEvent()    {}
func (joinedEvent) isEvent()  {}
func (reportsEvent) isEvent() {}
func (beatEvent) isEvent()    {}
func (claimEvent) isEvent()   {}
func (settleEvent) isEvent()  {}
func (queryEvent) isEvent()   {}
func (changeEvent) isEvent()  {}

func (c *Controller) handle(e event, now time.Duration) {
	switch e := e.(type) {
	case peerEvent:
		c.handlePeer(e.message, now)
	case joinEvent:
		c.whileLeading(now, e.reply, func() { c.handleJoin(e, now) })
	case joinedEvent:
		c.removed = c.removed || e.reply.GetRemoved()
		c.learnAddresses(e.reply.GetMembership())
	case reportsEvent:
		c.whileLeading(now, e.reply, func() { c.handleReports(e, now) })
	case beatEvent:
		c.whileLeading(now, e.reply, func() { c.handleBeat(e, now) })
	case claimEvent:
		c.whileLeading(now, e.reply, func() { c.handleClaim(e, now) })
	case settleEvent:
		c.whileLeading(now, e.reply, func() { c.handleSettle(e, now) })
	case queryEvent:
		if refusal := c.notLeading(now); refusal != nil {
			e.fail(refusal)
			return
		}
		e.read(now, c.view())
	case changeEvent:
		c.handleChange(e, now)
	case queueEvent:
		c.whileLeading(now, e.reply, func() { c.handleQueue(e, now) })
	case schedulerEvent:
		if e.counted {
			c.inProgress--
		}
		if c.scheduler == e.scheduler && c.scheduler != nil {
			e.tell(now)
		}
	}
}

// notLeading returns a refusal unless this node leads and holds its lease now.
func (c *Controller) notLeading(now time.Duration) *wire.Refusal {
	c.checkLeadership(now)
	if c.leads && c.repl.HasLease(now) {
		return nil
	}
	why := reason.NotLeader
	address := c.memberAddress(c.repl.LeaderID())
	if address == "" || c.repl.LeaderID() == c.repl.ID() {
		why, address = reason.NoLeader, ""
	}
	return &wire.Refusal{Reason: why.String(), Detail: "this node does not lead", LeaderAddress: address}
}

func (c *Controller) whileLeading(now time.Duration, reply func(*wire.Reply), do func()) {
	if refusal := c.notLeading(now); refusal != nil {
		reply(refused(refusal))
		return
	}
	do()
}

func refused(refusal *wire.Refusal) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Refusal{Refusal: refusal}}
}

// Step passes a consensus message on. When the queue is full the message is dropped; consensus sends it again.
func (c *Controller) Step(message *wire.PeerMessage) {
	select {
	case c.queue <- peerEvent{message}:
	default:
	}
}

// ask queues an event made with a reply function and waits for the reply.
func (c *Controller) ask(ctx context.Context, build func(reply func(*wire.Reply)) event) *wire.Reply {
	replies := newOnce[*wire.Reply]()
	select {
	case c.queue <- build(replies.put):
	case <-ctx.Done():
		return nil
	}
	reply, ok := replies.wait(ctx)
	if !ok {
		return nil
	}
	return reply
}

// Join handles a node's request to become a member.
func (c *Controller) Join(ctx context.Context, request *wire.JoinRequest) *wire.Reply {
	return c.ask(ctx, func(reply func(*wire.Reply)) event { return joinEvent{request.GetMember(), reply} })
}

// Reports handles the polls of workers.
func (c *Controller) Reports(ctx context.Context, reports *wire.WorkerReports) *wire.Reply {
	return c.ask(ctx, func(reply func(*wire.Reply)) event { return reportsEvent{reports, reply} })
}

// Beat handles the heartbeat of an entry process.
func (c *Controller) Beat(ctx context.Context, request *wire.BeatRequest) *wire.Reply {
	return c.ask(ctx, func(reply func(*wire.Reply)) event { return beatEvent{request, reply} })
}

// Claim handles the claim of an idempotency key.
func (c *Controller) Claim(ctx context.Context, request *wire.ClaimRequest) *wire.Reply {
	return c.ask(ctx, func(reply func(*wire.Reply)) event { return claimEvent{request, reply} })
}

// Settle handles the end of a claimed request.
func (c *Controller) Settle(ctx context.Context, request *wire.SettleRequest) *wire.Reply {
	return c.ask(ctx, func(reply func(*wire.Reply)) event { return settleEvent{request, reply} })
}

// Query runs read on the control thread of a leader. It returns a refusal when this node does not lead.
func (c *Controller) Query(ctx context.Context, read func(now time.Duration, view View)) *wire.Refusal {
	done := newOnce[*wire.Refusal]()
	e := queryEvent{
		read: func(now time.Duration, view View) {
			read(now, view)
			done.put(nil)
		},
		fail: done.put,
	}
	return c.await(ctx, e, done)
}

// Change proposes an operator's change and waits until it is committed.
func (c *Controller) Change(ctx context.Context, command *wire.Command) (*wire.Result, *wire.Refusal) {
	var result *wire.Result
	done := newOnce[*wire.Refusal]()
	e := changeEvent{
		command: command,
		done: func(r *wire.Result) {
			result = r
			done.put(nil)
		},
		fail: done.put,
	}
	if refusal := c.await(ctx, e, done); refusal != nil {
		// The control thread may still write the result after a timeout.
		return nil, refusal
	}
	return result, nil
}

func (c *Controller) await(ctx context.Context, e event, done *once[*wire.Refusal]) *wire.Refusal {
	timedOut := &wire.Refusal{Reason: reason.NoLeader.String(), Detail: "no answer from the control thread in time"}
	select {
	case c.queue <- e:
	case <-ctx.Done():
		return timedOut
	}
	refusal, ok := done.wait(ctx)
	if !ok {
		return timedOut
	}
	return refusal
}

// once carries one value from the control thread to a waiting thread.
type once[T any] struct{ values chan T }

func newOnce[T any]() *once[T] { return &once[T]{values: make(chan T, 1)} }

func (o *once[T]) put(value T) {
	select {
	case o.values <- value:
	default:
	}
}

func (o *once[T]) wait(ctx context.Context) (T, bool) {
	select {
	case value := <-o.values:
		return value, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}
