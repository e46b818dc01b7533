package gateway

import (
	"context"
	"errors"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"

	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// forward offers the request to the peers with free slots, in descending order of free slots, until one takes it. The
// result is empty if none did.
func (g *Gateway) forward(ctx context.Context, c *call) attemptResult {
	state, service := g.cfg.Control.State(), c.service.GetName()
	g.peers.Refresh(state.PeersVersion, state.Peers)
	for range state.Peers {
		leftMs := remainingMs(ctx)
		if leftMs <= 0 {
			return attemptResult{}
		}
		address, ok := g.peers.Pick(service, g.cfg.Clock.Now())
		if !ok {
			return attemptResult{}
		}
		reply, err := g.cfg.Peers.Call(ctx, address,
			&wire.Request{Body: &wire.Request_Forward{Forward: &wire.ForwardRequest{
				Service: service, Caller: c.caller, Method: c.request.Method, Path: c.request.Path,
				Headers: c.request.Headers, Body: c.request.Body, DeadlineMs: uint32(leftMs), Idempotent: c.idempotent,
			}}})
		var callError *messenger.Error
		switch {
		case errors.As(err, &callError) && !callError.Sent:
			g.peers.SetFreeSlots(address, service, 0)
			continue
		case err != nil && ctx.Err() != nil:
			return attemptResult{failure: &dispatcher.Failure{Sent: true, Reason: reason.DeadlineExceeded, Cause: err}}
		case err != nil:
			g.peers.SetFreeSlots(address, service, 0)
			return attemptResult{failure: &dispatcher.Failure{Sent: true, Reason: reason.AnswerBroken, Cause: err}}
		}
		g.peers.SetFreeSlots(address, service, int(reply.GetForward().GetFreeSlots()))
		if s := parseForwardReply(reply); s.res != nil || s.failure != nil {
			return s
		}
	}
	return attemptResult{}
}

// remainingMs returns the time to the context's deadline in milliseconds.
func remainingMs(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok || ctx.Err() != nil {
		return 0
	}
	return max(time.Until(deadline).Milliseconds(), 0)
}

// notAttempted has the reasons with which a peer refuses a request without trying it. Any other failure at a peer
// costs a retry.
var notAttempted = map[reason.Reason]bool{
	reason.NoTarget: true, reason.NoFreeSlot: true, reason.LeaseEnded: true, reason.NotCurrent: true,
	reason.ShuttingDown: true,
}

// parseForwardReply converts a peer's reply. The result is empty if the peer did not take the request.
func parseForwardReply(reply *wire.Reply) attemptResult {
	if reply.GetRefusal() != nil {
		return attemptResult{}
	}
	forward := reply.GetForward()
	why := reason.Reason(forward.GetReason())
	switch forward.GetOutcome() {
	case wire.Outcome_OUTCOME_ANSWERED:
		if forward.GetAnswer() != nil {
			return attemptResult{res: answered(forward.GetAnswer())}
		}
		why = reason.AnswerBroken
	case wire.Outcome_OUTCOME_NOT_RUN:
		if notAttempted[why] {
			return attemptResult{}
		}
		return attemptResult{failure: &dispatcher.Failure{Reason: why, Cause: errors.New(forward.GetDetail())}}
	case wire.Outcome_OUTCOME_UNKNOWN:
	default:
		why = reason.AnswerBroken
	}
	return attemptResult{failure: &dispatcher.Failure{Sent: true, Reason: why, Cause: errors.New(forward.GetDetail())}}
}

// ServeForwarded handles a request that a peer forwards. It uses only slots that are free at once.
func (g *Gateway) ServeForwarded(ctx context.Context, request *wire.ForwardRequest) *wire.Reply {
	defer g.end()
	reply := &wire.ForwardReply{Outcome: wire.Outcome_OUTCOME_NOT_RUN}
	if why := g.begin(); why != reason.None {
		reply.Reason = why.String()
	} else {
		g.serveForwarded(ctx, request, reply)
		reply.FreeSlots = g.cfg.Dispatcher.FreeSlots(request.GetService())
	}
	return &wire.Reply{Body: &wire.Reply_Forward{Forward: reply}}
}

func (g *Gateway) serveForwarded(ctx context.Context, request *wire.ForwardRequest, reply *wire.ForwardReply) {
	slot, why := g.cfg.Dispatcher.Acquire(request.GetService(), g.cfg.Clock.Now())
	if slot == nil {
		reply.Reason = why.String()
		return
	}
	defer slot.Release()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	answer, failure := slot.Send(ctx, &dispatcher.Request{
		Method: request.GetMethod(), Path: request.GetPath(), Headers: request.GetHeaders(), Body: request.GetBody(),
	})
	switch {
	case failure == nil:
		reply.Outcome, reply.Answer = wire.Outcome_OUTCOME_ANSWERED, answer
	case failure.Sent:
		reply.Outcome, reply.Reason, reply.Detail =
			wire.Outcome_OUTCOME_UNKNOWN, failure.Reason.String(), failure.Error()
	default:
		reply.Reason, reply.Detail = failure.Reason.String(), failure.Error()
	}
}
