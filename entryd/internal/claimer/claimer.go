// Package claimer claims idempotency keys before non-idempotent requests are sent.
package claimer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"flamingodrift.example/core/locator"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

const (
	// settleTimeout bounds how long an answer waits until its end is recorded. After it, recording goes on in the
	// background, so that a caller gets its answer also while no leader can be reached.
	settleTimeout = time.Second
	// retryTimeout and retryPause are those of one attempt in the background.
	retryTimeout = 5 * time.Second
	retryPause   = 200 * time.Millisecond
	// maxPending bounds the ends that wait for a leader. Those above it are recorded as unknown outcomes by the leader
	// once this process's lease has run out.
	maxPending = 4_096
)

// ErrPending is returned when an end is not recorded yet; it is sent until a leader answers.
var ErrPending = errors.New("the end of the claim is not recorded yet")

// Leader calls the leading controld process.
type Leader interface {
	Call(ctx context.Context, request *wire.Request) (*wire.Reply, error)
}

// Config holds what a Claimer needs.
type Config struct {
	Leader Leader
	Entry  string
	Boot   string
}

// Claimer talks to the leader about keys. It is safe for concurrent use.
type Claimer struct {
	cfg Config

	mu      sync.Mutex
	pending []*wire.SettleRequest
	sending bool
}

// New returns a Claimer.
func New(cfg Config) *Claimer { return &Claimer{cfg: cfg} }

// Claim is one claimed request.
type Claim struct {
	request *wire.ClaimRequest
}

// Open claims a key. The reply's state says whether the request may be sent. A reason is returned when the key could not
// be claimed; then the request must not be sent. A claim whose reply was lost may have been granted, so it is given back.
func (c *Claimer) Open(ctx context.Context, caller, key string, digest []byte) (*Claim, *wire.ClaimReply, reason.Reason) {
	claim := &Claim{request: &wire.ClaimRequest{
		Caller: caller, Key: key, Digest: digest, Entry: c.cfg.Entry, Boot: c.cfg.Boot, ClaimId: uuid.NewString(),
	}}
	reply, err := c.cfg.Leader.Call(ctx, &wire.Request{Body: &wire.Request_Claim{Claim: claim.request}})
	var refused *locator.RefusedError
	switch {
	case err != nil:
		// A repetition was refused or lost; an earlier copy may still be granted.
		c.later(claim.settle(wire.ClaimState_CLAIM_STATE_UNSPECIFIED, nil))
		if errors.As(err, &refused) {
			return nil, nil, reason.Reason(refused.Refusal.GetReason())
		}
		return nil, nil, reason.ClaimUnavailable
	case reply.GetClaim() == nil || reply.GetClaim().GetState() == wire.ClaimState_CLAIM_STATE_WITHDRAWN:
		c.later(claim.settle(wire.ClaimState_CLAIM_STATE_UNSPECIFIED, nil))
		return nil, nil, reason.ClaimUnavailable
	default:
		return claim, reply.GetClaim(), reason.None
	}
}

func (c *Claim) settle(state wire.ClaimState, answer *wire.Answer) *wire.SettleRequest {
	return &wire.SettleRequest{
		Caller: c.request.GetCaller(), Key: c.request.GetKey(), ClaimId: c.request.GetClaimId(), State: state, Answer: answer,
	}
}

// Settle records how a claimed request ended: ANSWERED with the answer, UNKNOWN, or UNSPECIFIED for a request that was
// provably not sent. It returns ErrPending when no leader answered within a second.
func (c *Claimer) Settle(claim *Claim, state wire.ClaimState, answer *wire.Answer) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	end := claim.settle(state, answer)
	if err := c.send(ctx, end); err != nil {
		c.later(end)
		return errors.Join(ErrPending, err)
	}
	return nil
}

func (c *Claimer) send(ctx context.Context, end *wire.SettleRequest) error {
	_, err := c.cfg.Leader.Call(ctx, &wire.Request{Body: &wire.Request_Settle{Settle: end}})
	return err
}

// Pending returns how many ends are not recorded yet.
func (c *Claimer) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// later sends an end in the background, after those that wait already, until a leader answers.
func (c *Claimer) later(end *wire.SettleRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPending {
		return
	}
	c.pending = append(c.pending, end)
	if !c.sending {
		c.sending = true
		go c.sendPending()
	}
}

func (c *Claimer) sendPending() {
	for {
		c.mu.Lock()
		if len(c.pending) == 0 {
			c.sending = false
			c.mu.Unlock()
			return
		}
		end := c.pending[0]
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), retryTimeout)
		err := c.send(ctx, end)
		cancel()
		if err != nil {
			time.Sleep(retryPause)
			continue
		}
		c.mu.Lock()
		c.pending = c.pending[1:]
		c.mu.Unlock()
	}
}
