package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"
	"flamingodrift.example/entryd/internal/retrier"
	"flamingodrift.example/entryd/internal/router"

	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// requeueInterval bounds how long a request waits for a slot of this process before it asks the others again.
const requeueInterval = 100 * time.Millisecond

// serve sends a request to a target of this process or of a peer, until it is answered, may not be sent again, or its
// deadline has passed.
func (g *Gateway) serve(ctx context.Context, c *call) *result {
	sent := false
	for attempt := 1; ; {
		if ctx.Err() != nil {
			return g.expired(sent)
		}
		res, failure := g.attempt(ctx, c)
		switch {
		case res != nil:
			return res
		case failure == nil:
			// Nothing was free and nothing was sent: this is waiting and costs no retry.
			continue
		case failure.Reason == reason.QueueFull:
			return ended(sent, failure, reason.None)
		}
		sent = sent || failure.Sent
		may, why := g.cfg.Retrier.Spend(retrier.Attempt{Number: attempt, Sent: failure.Sent, Idempotent: c.idempotent})
		if !may {
			return ended(sent, failure, why)
		}
		g.cfg.Meter.Retried(failure.Reason)
		attempt++
	}
}

func ended(sent bool, failure *dispatcher.Failure, why reason.Reason) *result {
	detail := failure.Error()
	if why == reason.BudgetSpent {
		detail += "; not sent again: " + why.String()
	}
	if sent {
		return unknown(failure.Reason, detail)
	}
	return notRun(failure.Reason, detail)
}

func (g *Gateway) expired(sent bool) *result {
	if sent {
		return unknown(reason.DeadlineExceeded, "the deadline passed after the request was sent")
	}
	return notRun(reason.DeadlineExceeded, "the deadline passed before the request was sent")
}

// attempt tries a local slot, then a peer, then waits a little for a local slot. It returns neither a result nor a
// failure when nothing was free.
func (g *Gateway) attempt(ctx context.Context, c *call) (*result, *dispatcher.Failure) {
	name := c.service.GetName()
	slot, _ := g.cfg.Dispatcher.Acquire(name, g.cfg.Clock.Now())
	if slot == nil {
		if res, failure := g.forward(ctx, c); res != nil || failure != nil {
			return res, failure
		}
		waitCtx, cancel := context.WithTimeout(ctx, requeueInterval)
		defer cancel()
		var why reason.Reason
		slot, why = g.cfg.Dispatcher.Wait(waitCtx, name, int(c.service.GetQueue()))
		switch {
		case why == reason.QueueFull:
			return nil, &dispatcher.Failure{Reason: why, Cause: errors.New("the queue of the service is full")}
		case why == reason.LeaseEnded:
			return nil, pause(ctx)
		case slot == nil:
			return nil, nil
		}
	}
	defer slot.Release()
	answer, failure := slot.Send(ctx, c.request)
	if failure != nil {
		return nil, failure
	}
	return answered(answer), nil
}

// pause waits a little before peers are asked again.
func pause(ctx context.Context) *dispatcher.Failure {
	timer := time.NewTimer(requeueInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil
}

// forward asks the peer with most free slots. It returns neither a result nor a failure when no peer took the request.
func (g *Gateway) forward(ctx context.Context, c *call) (*result, *dispatcher.Failure) {
	peers := g.peers(c.service.GetName())
	for {
		at := router.ChoosePeer(peers)
		if at < 0 || ctx.Err() != nil {
			return nil, nil
		}
		address := peers[at].Address
		peers[at].Free = 0
		deadline, _ := ctx.Deadline()
		reply, err := g.cfg.Messenger.Call(ctx, address, &wire.Request{Body: &wire.Request_Forward{Forward: &wire.ForwardRequest{
			Service: c.service.GetName(), Caller: c.caller, Method: c.request.Method, Path: c.request.Path,
			Headers: c.request.Headers, Body: c.request.Body, DeadlineMs: uint32(time.Until(deadline).Milliseconds()),
			Idempotent: c.idempotent,
		}}})
		var callError *messenger.Error
		switch {
		case errors.As(err, &callError) && !callError.Sent:
			continue
		case err != nil:
			return nil, &dispatcher.Failure{Sent: true, Reason: reason.AnswerBroken, Cause: err}
		}
		if res, failure := fromPeer(reply); res != nil || failure != nil {
			return res, failure
		}
	}
}

// fromPeer reads a peer's reply. A peer that took nothing returns neither a result nor a failure.
func fromPeer(reply *wire.Reply) (*result, *dispatcher.Failure) {
	forward := reply.GetForward()
	switch forward.GetOutcome() {
	case wire.Outcome_OUTCOME_ANSWERED:
		return answered(forward.GetAnswer()), nil
	case wire.Outcome_OUTCOME_NOT_RUN:
		return nil, nil
	default:
		return nil, &dispatcher.Failure{
			Sent: true, Reason: reason.Reason(forward.GetReason()), Cause: errors.New(forward.GetDetail()),
		}
	}
}

func (g *Gateway) peers(service string) []router.Peer {
	var peers []router.Peer
	for _, p := range g.cfg.Steward.State().Peers {
		for _, load := range p.GetLoads() {
			if load.GetService() == service {
				peers = append(peers, router.Peer{Address: p.GetAddress(), Free: int(load.GetFreeSlots())})
			}
		}
	}
	return peers
}

// Forwarded handles a request that a peer passes on. It uses only slots that are free now.
func (g *Gateway) Forwarded(ctx context.Context, request *wire.ForwardRequest) *wire.Reply {
	g.active.Add(1)
	defer g.active.Add(-1)
	reply := &wire.ForwardReply{Outcome: wire.Outcome_OUTCOME_NOT_RUN}
	wrapped := &wire.Reply{Body: &wire.Reply_Forward{Forward: reply}}
	now := g.cfg.Clock.Now()
	if why := g.cfg.Steward.Current(now); why != reason.None {
		reply.Reason = why.String()
		return wrapped
	}
	slot, why := g.cfg.Dispatcher.Acquire(request.GetService(), now)
	if slot == nil {
		reply.Reason = why.String()
		return wrapped
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
		reply.Outcome, reply.Reason, reply.Detail = wire.Outcome_OUTCOME_UNKNOWN, failure.Reason.String(), failure.Error()
	default:
		reply.Reason, reply.Detail = failure.Reason.String(), failure.Error()
	}
	return wrapped
}

func outcomeName(o wire.Outcome) string {
	switch o {
	case wire.Outcome_OUTCOME_ANSWERED:
		return "answered"
	case wire.Outcome_OUTCOME_NOT_RUN:
		return "not_run"
	default:
		return "outcome_unknown"
	}
}

// refusal is the body of a request that was not answered by a target.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail"`
}

func write(w http.ResponseWriter, res *result) {
	header := w.Header()
	if res.outcome == wire.Outcome_OUTCOME_ANSWERED {
		for _, h := range forwardableAnswer(res.answer) {
			header.Add(h.GetName(), h.GetValue())
		}
		header.Set("Flamingo-Outcome", outcomeName(res.outcome))
		header.Set("Content-Length", strconv.Itoa(len(res.answer.GetBody())))
		w.WriteHeader(int(res.answer.GetStatus()))
		// The caller has gone if this fails.
		_, _ = w.Write(res.answer.GetBody())
		return
	}
	header.Set("Flamingo-Outcome", outcomeName(res.outcome))
	header.Set("Flamingo-Reason", res.reason.String())
	header.Set("Content-Type", "application/json")
	w.WriteHeader(statusOf(res))
	_ = json.NewEncoder(w).Encode(refusal{Outcome: outcomeName(res.outcome), Reason: res.reason.String(), Detail: res.detail})
}

func forwardableAnswer(answer *wire.Answer) []*wire.Header {
	header := http.Header{}
	for _, h := range answer.GetHeaders() {
		header.Add(h.GetName(), h.GetValue())
	}
	return forwardable(header)
}

// statuses maps reasons to HTTP status codes; other reasons are 503 when not run and 502 when unknown.
var statuses = map[reason.Reason]int{
	reason.UnknownService:  http.StatusNotFound,
	reason.RequestTooLarge: http.StatusRequestEntityTooLarge,
	reason.RequestInvalid:  http.StatusBadRequest,
	reason.KeyMissing:      http.StatusBadRequest,
	reason.KeyReused:       http.StatusUnprocessableEntity,
	reason.StillRunning:    http.StatusConflict,
	reason.OutcomeUnknown:  http.StatusConflict,
	reason.AnswerNotKept:   http.StatusConflict,
}

func statusOf(res *result) int {
	if status, ok := statuses[res.reason]; ok {
		return status
	}
	if res.outcome == wire.Outcome_OUTCOME_UNKNOWN {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
