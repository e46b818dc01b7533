// Package retrier decides whether a failed request is sent again.
package retrier

import (
	"sync"

	"flamingodrift.example/core/reason"
)

const (
	// depositPerRequest is the share of a retry that each request earns: at most one retry for ten requests.
	depositPerRequest = 0.1
	maxBalance        = 20
	startBalance      = 10
	maxAttempts       = 3
)

// Retrier holds a retry budget, so that retries do not feed an overload. It is safe for concurrent use.
type Retrier struct {
	mu      sync.Mutex
	balance float64
}

// New returns a Retrier with a small balance.
func New() *Retrier { return &Retrier{balance: startBalance} }

// Earn counts a new request.
func (r *Retrier) Earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balance = min(r.balance+depositPerRequest, maxBalance)
}

// Attempt describes a failed attempt.
type Attempt struct {
	// Number counts attempts from 1.
	Number int
	// Sent is false only when no byte can have reached a target.
	Sent       bool
	Idempotent bool
}

// Spend reports whether the request may be sent again, and why not. It takes one retry from the budget.
func (r *Retrier) Spend(a Attempt) (bool, reason.Reason) {
	if a.Sent && !a.Idempotent {
		return false, reason.OutcomeUnknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Number >= maxAttempts || r.balance < 1 {
		return false, reason.RetryBudgetSpent
	}
	r.balance--
	return true, reason.None
}
