package controller

import (
	"context"
	"time"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// event is an input to the control goroutine from another goroutine.
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

// queryEvent reads the control state, which requires leadership and a valid leader lease.
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
		c.ifLeading(now, e.reply, func() { c.handleJoin(e, now) })
	case joinedEvent:
		c.removed = c.removed || e.reply.GetRemoved()
		c.recordAddresses(e.reply.GetMembership())
	case reportsEvent:
		c.ifLeading(now, e.reply, func() { c.handleReports(e, now) })
	case beatEvent:
		c.ifLeading(now, e.reply, func() { c.handleBeat(e, now) })
	case claimEvent:
		c.ifLeading(now, e.reply, func() { c.handleClaim(e, now) })
	case settleEvent:
		c.ifLeading(now, e.reply, func() { c.handleSettle(e, now) })
	case queryEvent:
		if refusal := c.requireLeadership(now); refusal != nil {
			e.fail(refusal)
			return
		}
		e.read(now, c.view())
	case changeEvent:
		c.handleChange(e, now)
	case queueEvent:
		c.ifLeading(now, e.reply, func() { c.handleQueue(e, now) })
	case schedulerEvent:
		if e.limited {
			c.callsInProgress--
		}
		if c.scheduler == e.scheduler && c.scheduler != nil {
			e.deliver(now)
		}
	}
}

// requireLeadership returns a refusal unless this node leads and holds the leader lease.
func (c *Controller) requireLeadership(now time.Duration) *wire.Refusal {
	c.checkLeadership(now)
	if c.leading && c.repl.HasLease(now) {
		return nil
	}
	refusalReason := reason.NotLeader
	address := c.memberAddress(c.repl.LeaderID())
	if address == "" || c.repl.LeaderID() == c.repl.ID() {
		refusalReason, address = reason.NoLeader, ""
	}
	return &wire.Refusal{Reason: refusalReason.String(), Detail: "this node does not lead", LeaderAddress: address}
}

func (c *Controller) ifLeading(now time.Duration, reply func(*wire.Reply), do func()) {
	if refusal := c.requireLeadership(now); refusal != nil {
		reply(refusalReply(refusal))
		return
	}
	do()
}

func refusalReply(refusal *wire.Refusal) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Refusal{Refusal: refusal}}
}

// Step queues a consensus message. When the event queue is full the message is dropped; the protocol sends it again.
func (c *Controller) Step(message *wire.PeerMessage) {
	select {
	case c.events <- peerEvent{message}:
	default:
	}
}

// awaitReply queues the event that build returns and waits for its reply. It returns nil when ctx is done first.
func (c *Controller) awaitReply(ctx context.Context, build func(reply func(*wire.Reply)) event) *wire.Reply {
	replies := newFuture[*wire.Reply]()
	select {
	case c.events <- build(replies.resolve):
	case <-ctx.Done():
		return nil
	}
	reply, ok := replies.wait(ctx)
	if !ok {
		return nil
	}
	return reply
}

// Join handles a node's request to become a member. It returns nil when ctx is done before there is a reply.
func (c *Controller) Join(ctx context.Context, request *wire.JoinRequest) *wire.Reply {
	return c.awaitReply(ctx, func(reply func(*wire.Reply)) event { return joinEvent{request.GetMember(), reply} })
}

// Reports handles the polls of workers. It returns nil when ctx is done before there is a reply.
func (c *Controller) Reports(ctx context.Context, reports *wire.WorkerReports) *wire.Reply {
	return c.awaitReply(ctx, func(reply func(*wire.Reply)) event { return reportsEvent{reports, reply} })
}

// Beat handles the heartbeat of an entry process. It returns nil when ctx is done before there is a reply.
func (c *Controller) Beat(ctx context.Context, request *wire.BeatRequest) *wire.Reply {
	return c.awaitReply(ctx, func(reply func(*wire.Reply)) event { return beatEvent{request, reply} })
}

// Claim handles a claim on an idempotency key. It returns nil when ctx is done before there is a reply.
func (c *Controller) Claim(ctx context.Context, request *wire.ClaimRequest) *wire.Reply {
	return c.awaitReply(ctx, func(reply func(*wire.Reply)) event { return claimEvent{request, reply} })
}

// Settle handles the end of a claimed request. It returns nil when ctx is done before there is a reply.
func (c *Controller) Settle(ctx context.Context, request *wire.SettleRequest) *wire.Reply {
	return c.awaitReply(ctx, func(reply func(*wire.Reply)) event { return settleEvent{request, reply} })
}

// Query runs read on the control goroutine. It returns a refusal when this node does not lead or ctx is done first; in
// the latter case read may still run later.
func (c *Controller) Query(ctx context.Context, read func(now time.Duration, view View)) *wire.Refusal {
	done := newFuture[*wire.Refusal]()
	e := queryEvent{
		read: func(now time.Duration, view View) {
			read(now, view)
			done.resolve(nil)
		},
		fail: done.resolve,
	}
	return c.await(ctx, e, done)
}

// Change proposes an operator's change and waits until it is committed and applied.
func (c *Controller) Change(ctx context.Context, command *wire.Command) (*wire.Result, *wire.Refusal) {
	var result *wire.Result
	done := newFuture[*wire.Refusal]()
	e := changeEvent{
		command: command,
		done: func(r *wire.Result) {
			result = r
			done.resolve(nil)
		},
		fail: done.resolve,
	}
	if refusal := c.await(ctx, e, done); refusal != nil {
		// After a timeout the control goroutine may still write result, so result must not be read here.
		return nil, refusal
	}
	return result, nil
}

func (c *Controller) await(ctx context.Context, e event, done *future[*wire.Refusal]) *wire.Refusal {
	timedOut := &wire.Refusal{Reason: reason.NoLeader.String(), Detail: "no answer from the control thread in time"}
	select {
	case c.events <- e:
	case <-ctx.Done():
		return timedOut
	}
	refusal, ok := done.wait(ctx)
	if !ok {
		return timedOut
	}
	return refusal
}

// future passes one value from the control goroutine to a waiting goroutine. Values after the first are dropped.
type future[T any] struct{ values chan T }

func newFuture[T any]() *future[T] { return &future[T]{values: make(chan T, 1)} }

func (f *future[T]) resolve(value T) {
	select {
	case f.values <- value:
	default:
	}
}

func (f *future[T]) wait(ctx context.Context) (T, bool) {
	select {
	case value := <-f.values:
		return value, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}
