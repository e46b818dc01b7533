package gateway

import (
	"context"
	"crypto/sha256"
	"fmt"

	"flamingodrift.example/entryd/internal/claimer"

	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// runOnce claims the idempotency key, so that all entry processes together send the request at most once.
func (g *Gateway) runOnce(ctx context.Context, c *call) *result {
	claim, reply, why := g.cfg.Claimer.Open(ctx, c.caller, c.key, digest(c))
	if why != reason.None {
		return notRun(why, "the idempotency key could not be claimed")
	}
	switch reply.GetState() {
	case wire.ClaimState_CLAIM_STATE_GRANTED:
	case wire.ClaimState_CLAIM_STATE_ANSWERED:
		return storedResult(reply.GetAnswer())
	case wire.ClaimState_CLAIM_STATE_RUNNING:
		return unknown(reason.StillRunning, "an earlier request with this key is still running")
	case wire.ClaimState_CLAIM_STATE_KEY_REUSED:
		return neverRun(reason.KeyReused, "this key was used for another request")
	case wire.ClaimState_CLAIM_STATE_FULL:
		return neverRun(reason.ClaimsFull, "too many idempotency keys are kept")
	default:
		return unknown(reason.OutcomeUnknown,
			"an earlier request with this key ended without an answer; it will not be run again")
	}
	res := g.serve(ctx, c)
	// The claim was granted, so no earlier request with this key has run.
	res.coversAllAttempts = true
	g.settle(claim, res)
	return res
}

func storedResult(answer *wire.Answer) *result {
	if answer.GetDropped() {
		return unknown(reason.AnswerNotKept, fmt.Sprintf(
			"the request ran and was answered with status %d; the answer is no longer kept", answer.GetStatus()))
	}
	return answered(answer)
}

func digest(c *call) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q\n", c.service.GetName(), c.request.Method, c.request.Path)
	h.Write(c.request.Body)
	return h.Sum(nil)
}

func (g *Gateway) settle(claim *claimer.Claim, res *result) {
	state := wire.ClaimState_CLAIM_STATE_UNKNOWN
	switch res.outcome {
	case wire.Outcome_OUTCOME_ANSWERED:
		state = wire.ClaimState_CLAIM_STATE_ANSWERED
	case wire.Outcome_OUTCOME_NOT_RUN:
		state = wire.ClaimState_CLAIM_STATE_UNSPECIFIED
	default:
		logger.RequestUnknown.Log(g.cfg.Logger, "reason", res.reason.String(), "detail", res.detail)
	}
	if err := g.cfg.Claimer.Settle(claim, state, res.answer); err != nil {
		logger.RequestUnknown.Log(g.cfg.Logger, "reason", reason.ClaimUnavailable.String(), "detail", err.Error())
	}
}
