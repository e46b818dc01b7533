// Package locator finds the control process that is the leader and sends requests to it.
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

// RefusedError is returned when the leader refused a request. The request had no effect.
type RefusedError struct {
	Refusal *wire.Refusal
}

// Error returns the reason and its detail.
func (e *RefusedError) Error() string { return e.Refusal.GetReason() + ": " + e.Refusal.GetDetail() }

// ErrNoLeader is returned when no leader is found and reached before the context ends.
var ErrNoLeader = errors.New("no leader can be reached")

// UnansweredError is joined with ErrNoLeader when the request may have reached a leader.
type UnansweredError struct{ Cause error }

// Error returns the cause of the last unanswered attempt.
func (e *UnansweredError) Error() string { return "a request got no answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Cause }

const (
	attemptTimeout = 700 * time.Millisecond
	retryDelay     = 50 * time.Millisecond
	// minAttemptTime is the time that must be left for another attempt. An attempt that is cut off by the context's end
	// leaves the caller uncertain whether the request had an effect; a control process answers within a few milliseconds.
	minAttemptTime = 50 * time.Millisecond
	// unlimitedSearch stands for no limit to the search for a leader.
	unlimitedSearch = 24 * time.Hour
	// maxRedirects is the number of redirects after which the next attempt is delayed.
	maxRedirects = 3
)

// Config holds what a Locator needs.
type Config struct {
	Messenger *messenger.Messenger
	// Controls holds the addresses of all control processes.
	Controls []string
}

// Locator caches the leader's address. It is safe for concurrent use.
type Locator struct {
	cfg Config

	mu       sync.Mutex
	controls []string
	leader   string
	// next counts the addresses tried while the leader is unknown.
	next int
}

// New returns a Locator that starts without a known leader.
func New(cfg Config) *Locator { return &Locator{cfg: cfg, controls: cfg.Controls} }

// SetControls replaces the addresses of the control processes. An empty list is ignored.
func (l *Locator) SetControls(controls []string) {
	if len(controls) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.controls = controls
}

// Call sends a request to the leader and retries until the context ends. A request that may have reached a leader but
// got no answer is resent, so leaders must be able to recognise it as a duplicate.
func (l *Locator) Call(ctx context.Context, request *wire.Request) (*wire.Reply, error) {
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(unlimitedSearch)
	}
	reply, _, err := l.CallWithin(ctx, end, request)
	return reply, err
}

// CallWithin is Call, but it gives up at searchEnd if no attempt can have reached a leader by then: the caller knows
// that the request had no effect. An attempt that has begun is not cut off by searchEnd, and after one that may have
// reached a leader, further attempts follow until the context ends. resent is set with a reply when an earlier
// attempt may have reached a leader too, and may still take effect.
func (l *Locator) CallWithin(
	ctx context.Context, searchEnd time.Time, request *wire.Request,
) (reply *wire.Reply, resent bool, err error) {
	var unanswered error
	for redirects := 0; ; {
		address := l.address()
		reply, err = l.attempt(ctx, address, request)
		refusal := reply.GetRefusal()
		switch {
		case err != nil:
			var callErr *messenger.Error
			if errors.As(err, &callErr) && callErr.Sent {
				unanswered = &UnansweredError{Cause: err}
			}
			l.clearLeader(address)
		case refusal == nil:
			l.setLeader(address)
			return reply, unanswered != nil, nil
		case refusal.GetReason() == reason.NotLeader.String() && refusal.GetLeaderAddress() != "":
			l.setLeader(refusal.GetLeaderAddress())
			redirects++
			// Two nodes may redirect to each other until an election ends.
			if ctx.Err() == nil && redirects%maxRedirects != 0 {
				continue
			}
		case refusal.GetReason() == reason.NoLeader.String() || refusal.GetReason() == reason.NotLeader.String():
			l.clearLeader(address)
		default:
			return nil, false, &RefusedError{Refusal: refusal}
		}
		end, ok := ctx.Deadline()
		if unanswered == nil && time.Until(searchEnd) < retryDelay || ok && time.Until(end) < retryDelay+minAttemptTime {
			return nil, false, errors.Join(ErrNoLeader, ctx.Err(), unanswered)
		}
		select {
		case <-ctx.Done():
			return nil, false, errors.Join(ErrNoLeader, ctx.Err(), unanswered)
		case <-time.After(retryDelay):
		}
	}
}

func (l *Locator) attempt(ctx context.Context, address string, request *wire.Request) (*wire.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return l.cfg.Messenger.Call(ctx, address, request)
}

// address returns the leader's address, or that of the next control process while the leader is unknown.
func (l *Locator) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != "" {
		return l.leader
	}
	l.next++
	return l.controls[l.next%len(l.controls)]
}

func (l *Locator) setLeader(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = address
}

// clearLeader discards the leader's address if it is still address.
func (l *Locator) clearLeader(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader == address {
		l.leader = ""
	}
}
