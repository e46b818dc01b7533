// Package retrier decides whether a failed request is sent again.
package retrier

import (
	"sync"

	"flamingodrift.example/core/reason"
)

const (
	// tokensPerRequest is the part of a retry that each request earns, for at most one retry per ten requests.
	tokensPerRequest = 0.1
	maxTokens        = 20
	initialTokens    = 10
	maxAttempts      = 3
)

// Retrier keeps a retry budget, a token bucket that keeps retries from amplifying an overload. It is safe for
// concurrent use.
type Retrier struct {
	mu     sync.Mutex
	tokens float64
}

// New returns a Retrier with initialTokens in its budget.
func New() *Retrier { return &Retrier{tokens: initialTokens} }

// Earn adds the share of a new request to the budget.
func (r *Retrier) Earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.tokens+tokensPerRequest, maxTokens)
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Number counts attempts from 1.
	Number int
	// Sent is false only if no byte of the request can have reached a target.
	Sent       bool
	Idempotent bool
}

// Spend reports whether the request may be sent again, and takes one retry from the budget if so. Otherwise it returns
// the reason.
func (r *Retrier) Spend(a Attempt) (bool, reason.Reason) {
	if a.Sent && !a.Idempotent {
		return false, reason.OutcomeUnknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Number >= maxAttempts || r.tokens < 1 {
		return false, reason.RetryBudgetSpent
	}
	r.tokens--
	return true, reason.None
}
