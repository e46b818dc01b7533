// Package claimer claims idempotency keys with the leader before non-idempotent requests are sent, and reports how the
// requests ended (settles the claims).
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
	// settleTimeout bounds how long a caller's answer is delayed until the claim is settled. After it, settling
	// continues in the background, so that callers get their answers even while no leader is reachable.
	settleTimeout = time.Second
	// retryTimeout bounds one attempt in the background; retryInterval is the pause after a failed one.
	retryTimeout  = 5 * time.Second
	retryInterval = 200 * time.Millisecond
	// maxPendingSettlements bounds the settlements that wait for a leader. Further ones are dropped; the leader records
	// unknown outcomes for them once this process's lease has run out.
	maxPendingSettlements = 4_096
)

// ErrPending is returned when a settlement is not recorded yet. It is resent in the background until a leader answers.
var ErrPending = errors.New("the end of the claim is not recorded yet")

// Leader calls the leading controld process.
type Leader interface {
	Call(ctx context.Context, request *wire.Request) (*wire.Reply, error)
}

// Config configures a Claimer.
type Config struct {
	Leader Leader
	Entry  string
	Boot   string
}

// Claimer opens and settles claims of idempotency keys. It is safe for concurrent use.
type Claimer struct {
	cfg Config

	mu            sync.Mutex
	pending       []*wire.SettleRequest
	senderRunning bool
}

// New returns a Claimer.
func New(cfg Config) *Claimer { return &Claimer{cfg: cfg} }

// Claim is the claim of one request.
type Claim struct {
	request *wire.ClaimRequest
}

// Open claims a key. The reply's state says whether the request may be sent. A reason is returned when the key could
// not be claimed; the request must not be sent then. A claim whose reply was lost may have been granted, so it is
// settled as not sent.
func (c *Claimer) Open(ctx context.Context, caller, key string, digest []byte) (*Claim, *wire.ClaimReply, reason.Reason) {
	claim := &Claim{request: &wire.ClaimRequest{
		Caller: caller, Key: key, Digest: digest, Entry: c.cfg.Entry, Boot: c.cfg.Boot, ClaimId: uuid.NewString(),
	}}
	reply, err := c.cfg.Leader.Call(ctx, &wire.Request{Body: &wire.Request_Claim{Claim: claim.request}})
	var refused *locator.RefusedError
	switch {
	case err != nil:
		// The refused or lost message may be a retry whose earlier copy is still granted.
		c.settleInBackground(claim.settleRequest(wire.ClaimState_CLAIM_STATE_UNSPECIFIED, nil))
		if errors.As(err, &refused) {
			return nil, nil, reason.Reason(refused.Refusal.GetReason())
		}
		return nil, nil, reason.ClaimUnavailable
	case reply.GetClaim() == nil || reply.GetClaim().GetState() == wire.ClaimState_CLAIM_STATE_WITHDRAWN:
		c.settleInBackground(claim.settleRequest(wire.ClaimState_CLAIM_STATE_UNSPECIFIED, nil))
		return nil, nil, reason.ClaimUnavailable
	default:
		return claim, reply.GetClaim(), reason.None
	}
}

func (c *Claim) settleRequest(state wire.ClaimState, answer *wire.Answer) *wire.SettleRequest {
	return &wire.SettleRequest{
		Caller: c.request.GetCaller(), Key: c.request.GetKey(), ClaimId: c.request.GetClaimId(), State: state, Answer: answer,
	}
}

// Settle records how a claimed request ended: ANSWERED with the answer, UNKNOWN, or UNSPECIFIED for a request that was
// provably not sent. It returns ErrPending when no leader answered within settleTimeout.
func (c *Claimer) Settle(claim *Claim, state wire.ClaimState, answer *wire.Answer) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	settlement := claim.settleRequest(state, answer)
	if err := c.send(ctx, settlement); err != nil {
		c.settleInBackground(settlement)
		return errors.Join(ErrPending, err)
	}
	return nil
}

func (c *Claimer) send(ctx context.Context, settlement *wire.SettleRequest) error {
	_, err := c.cfg.Leader.Call(ctx, &wire.Request{Body: &wire.Request_Settle{Settle: settlement}})
	return err
}

// Pending returns the number of settlements that are not recorded yet.
func (c *Claimer) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// settleInBackground queues a settlement. The queue is sent in order, each entry until a leader answers.
func (c *Claimer) settleInBackground(settlement *wire.SettleRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPendingSettlements {
		return
	}
	c.pending = append(c.pending, settlement)
	if !c.senderRunning {
		c.senderRunning = true
		go c.sendPending()
	}
}

func (c *Claimer) sendPending() {
	for {
		c.mu.Lock()
		if len(c.pending) == 0 {
			c.senderRunning = false
			c.mu.Unlock()
			return
		}
		settlement := c.pending[0]
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), retryTimeout)
		err := c.send(ctx, settlement)
		cancel()
		if err != nil {
			time.Sleep(retryInterval)
			continue
		}
		c.mu.Lock()
		c.pending = c.pending[1:]
		c.mu.Unlock()
	}
}
