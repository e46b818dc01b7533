// Package claimer claims idempotency keys before non-idempotent requests are sent.
package claimer

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"flamingodrift.example/entryd/internal/locator"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// settleTimeout bounds the attempts to record how a claimed request ended. When they fail, the leader records an unknown
// outcome once this process's lease has run out.
const settleTimeout = 10 * time.Second

// Config holds what a Claimer needs.
type Config struct {
	Locator *locator.Locator
	Entry   string
	Boot    string
}

// Claimer talks to the leader about keys. It is safe for concurrent use.
type Claimer struct {
	cfg Config
}

// New returns a Claimer.
func New(cfg Config) *Claimer { return &Claimer{cfg: cfg} }

// Claim is one claimed request.
type Claim struct {
	request *wire.ClaimRequest
}

// Open claims a key. The reply's state says whether the request may be sent. A reason is returned when the key could not
// be claimed; then the request must not be sent.
func (c *Claimer) Open(ctx context.Context, caller, key string, digest []byte) (*Claim, *wire.ClaimReply, reason.Reason) {
	request := &wire.ClaimRequest{
		Caller: caller, Key: key, Digest: digest, Entry: c.cfg.Entry, Boot: c.cfg.Boot, ClaimId: uuid.NewString(),
	}
	reply, err := c.cfg.Locator.Call(ctx, &wire.Request{Body: &wire.Request_Claim{Claim: request}})
	var refused *locator.RefusedError
	switch {
	case errors.As(err, &refused):
		return nil, nil, reason.Reason(refused.Refusal.GetReason())
	case err != nil:
		return nil, nil, reason.ClaimUnavailable
	}
	return &Claim{request: request}, reply.GetClaim(), reason.None
}

// Settle records how a claimed request ended: ANSWERED with the answer, UNKNOWN, or UNSPECIFIED for a request that was
// provably not sent.
func (c *Claimer) Settle(claim *Claim, state wire.ClaimState, answer *wire.Answer) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	_, err := c.cfg.Locator.Call(ctx, &wire.Request{Body: &wire.Request_Settle{Settle: &wire.SettleRequest{
		Caller: claim.request.GetCaller(), Key: claim.request.GetKey(), ClaimId: claim.request.GetClaimId(),
		State: state, Answer: answer,
	}}})
	return err
}
