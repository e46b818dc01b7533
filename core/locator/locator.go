// Package locator finds the leading controld process and calls it.
package locator

import (
	"context"
	"errors"
	"sync"
	"time"

	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// RefusedError is returned when the leader refused a request; it had no effect.
type RefusedError struct {
	Refusal *wire.Refusal
}

// Error returns the reason and its detail.
func (e *RefusedError) Error() string { return e.Refusal.GetReason() + ": " + e.Refusal.GetDetail() }

// ErrNoLeader is returned when no controld process leads or can be reached before the context ends.
var ErrNoLeader = errors.New("no leader can be reached")

// UnansweredError is returned with ErrNoLeader when the request may have reached a leader.
type UnansweredError struct{ Cause error }

// Error returns the cause of the last attempt.
func (e *UnansweredError) Error() string { return "a request got no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Cause }

const (
	attemptTimeout = 700 * time.Millisecond
	retryPause     = 50 * time.Millisecond
	// shortestAttempt is the time that another attempt needs at least. One that the context's end cuts off leaves the
	// caller unsure whether the request had an effect; a control process answers within a few milliseconds.
	shortestAttempt = 50 * time.Millisecond
	// maxRedirects is how many redirects are followed without a pause.
	maxRedirects = 3
)

// Config holds what a Locator needs.
type Config struct {
	Messenger *messenger.Messenger
	// Controls are the addresses of all controld processes.
	Controls []string
}

// Locator remembers the leader's address. It is safe for concurrent use.
type Locator struct {
	cfg Config

	mu       sync.Mutex
	controls []string
	leader   string
	next     int
}

// New returns a Locator that does not know the leader yet.
func New(cfg Config) *Locator { return &Locator{cfg: cfg, controls: cfg.Controls} }

// SetControls replaces the addresses of the controld processes; an empty list changes nothing.
func (l *Locator) SetControls(controls []string) {
	if len(controls) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.controls = controls
}

// Call sends a request to the leader. A request that may have reached a leader without an answer is sent again, so it
// must be one that a leader recognises as a repetition.
func (l *Locator) Call(ctx context.Context, request *wire.Request) (*wire.Reply, error) {
	var unanswered error
	for redirects := 0; ; {
		address := l.address()
		reply, err := l.attempt(ctx, address, request)
		refusal := reply.GetRefusal()
		switch {
		case err != nil:
			var failure *messenger.Error
			if errors.As(err, &failure) && failure.Sent {
				unanswered = &UnansweredError{Cause: err}
			}
			l.forget(address)
		case refusal == nil:
			l.remember(address)
			return reply, nil
		case refusal.GetReason() == reason.NotLeader.String() && refusal.GetLeaderAddress() != "":
			l.remember(refusal.GetLeaderAddress())
			redirects++
			// Two nodes may name each other until an election has ended.
			if ctx.Err() == nil && redirects%maxRedirects != 0 {
				continue
			}
		case refusal.GetReason() == reason.NoLeader.String() || refusal.GetReason() == reason.NotLeader.String():
			l.forget(address)
		default:
			return nil, &RefusedError{Refusal: refusal}
		}
		if end, ok := ctx.Deadline(); ok && time.Until(end) < retryPause+shortestAttempt {
			return nil, errors.Join(ErrNoLeader, ctx.Err(), unanswered)
		}
		select {
		case <-ctx.Done():
			return nil, errors.Join(ErrNoLeader, ctx.Err(), unanswered)
		case <-time.After(retryPause):
		}
	}
}

func (l *Locator) attempt(ctx context.Context, address string, request *wire.Request) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return l.cfg.Messenger.Call(ctx, address, request)
}

func (l *Locator) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return l.leader
	}
	l.next++
	return l.controls[l.next%len(l.controls)]
}

func (l *Locator) remember(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = address
}

func (l *Locator) forget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == address {
		l.leader = ""
	}
}
