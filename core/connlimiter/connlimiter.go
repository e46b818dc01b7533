// Package connlimiter limits the open connections of a listener. At the limit it closes the connection that has waited
// longest for its client, so that clients which send nothing cannot keep out ordinary ones.
package connlimiter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Config holds the limits.
type Config struct {
	// Max is the largest number of open connections.
	Max int
	// OnRefused is called for each connection that is closed at the limit; nil is allowed.
	OnRefused func()
}

// Limiter tracks the connections of one listener. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu      sync.Mutex
	entries map[net.Conn]*entry
	// queues holds the connections of each phase, those that have been in it longest first.
	queues [phases]queue
}

// New returns a Limiter without connections.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, entries: map[net.Conn]*entry{}}
}

// phase is what a connection is doing.
type phase int

const (
	// phaseFresh is before the headers of the first request are complete.
	phaseFresh phase = iota
	// phaseIdle is between two requests.
	phaseIdle
	// phaseResponding is while a response is sent.
	phaseResponding
	// phaseReceiving is while the body of a request is received.
	phaseReceiving
	// phaseBusy is while a request is handled.
	phaseBusy
	phases
)

// entry is a tracked connection, an element of the queue of its phase.
type entry struct {
	conn  net.Conn
	phase phase
	// receivingSince is when phaseReceiving began.
	receivingSince time.Time
	prev, next     *entry
}

// queue is a doubly linked list.
type queue struct{ first, last *entry }

func (q *queue) push(e *entry) {
	e.prev, e.next = q.last, nil
	if q.last == nil {
		q.first = e
	} else {
		q.last.next = e
	}
	q.last = e
}

func (q *queue) remove(e *entry) {
	if e.prev == nil {
		q.first = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		q.last = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
}

type contextKey struct{}

// Context adds a connection to the context of its requests, for the functions below. It is installed as a server's ConnContext.
func (l *Limiter) Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, tracked{l, conn})
}

type tracked struct {
	limiter *Limiter
	conn    net.Conn
}

// StartReceiving notes that the body of a request is being received, given the request's context. It has no effect on a
// connection without a Limiter.
func StartReceiving(ctx context.Context, now time.Time) { setPhase(ctx, phaseReceiving, now) }

// StopReceiving notes that the body of a request has been received.
func StopReceiving(ctx context.Context) { setPhase(ctx, phaseBusy, time.Time{}) }

// CloseReceiving closes, at the listener of a request, the connection that has been receiving a body longest, if that is
// at least minAge, and reports whether it did.
func CloseReceiving(ctx context.Context, now time.Time, minAge time.Duration) bool {
	t, ok := ctx.Value(contextKey{}).(tracked)
	return ok && t.limiter.closeReceiving(now, minAge)
}

func (l *Limiter) closeReceiving(now time.Time, minAge time.Duration) bool {
	l.mu.Lock()
	e := l.queues[phaseReceiving].first
	if e == nil || now.Sub(e.receivingSince) < minAge {
		l.mu.Unlock()
		return false
	}
	l.forget(e.conn)
	l.mu.Unlock()
	_ = e.conn.Close()
	return true
}

// SetResponding notes that the response to a request is being sent, given the request's context.
func SetResponding(ctx context.Context) { setPhase(ctx, phaseResponding, time.Time{}) }

func setPhase(ctx context.Context, to phase, now time.Time) {
	if t, ok := ctx.Value(contextKey{}).(tracked); ok {
		t.limiter.move(t.conn, to, now)
	}
}

// Track follows the state of a connection. It is installed as a server's ConnState.
func (l *Limiter) Track(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.Open(conn)
	case http.StateActive:
		l.move(conn, phaseBusy, time.Time{})
	case http.StateIdle:
		l.move(conn, phaseIdle, time.Time{})
	case http.StateHijacked, http.StateClosed:
		l.Close(conn)
	}
}

// Open adds a connection. At the limit, one connection is closed; it may be the new one.
func (l *Limiter) Open(conn net.Conn) {
	l.mu.Lock()
	e := &entry{conn: conn, phase: phaseFresh}
	l.entries[conn] = e
	l.queues[phaseFresh].push(e)
	var excess net.Conn
	if len(l.entries) > l.cfg.Max {
		excess = l.pickExcess(e)
		l.forget(excess)
	}
	l.mu.Unlock()
	if excess == nil {
		return
	}
	_ = excess.Close()
	if l.cfg.OnRefused != nil {
		l.cfg.OnRefused()
	}
}

// pickExcess returns the connection that has waited longest for its client; that of the new entry if there is none.
func (l *Limiter) pickExcess(opened *entry) net.Conn {
	for _, waiting := range []phase{phaseFresh, phaseIdle, phaseResponding, phaseReceiving} {
		if first := l.queues[waiting].first; first != nil && first != opened {
			return first.conn
		}
	}
	return opened.conn
}

// Close removes a connection that has been closed.
func (l *Limiter) Close(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(conn)
}

func (l *Limiter) forget(conn net.Conn) {
	if e := l.entries[conn]; e != nil {
		l.queues[e.phase].remove(e)
		delete(l.entries, conn)
	}
}

func (l *Limiter) move(conn net.Conn, to phase, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A connection that was closed at the limit is no longer tracked.
	if e := l.entries[conn]; e != nil && e.phase != to {
		l.queues[e.phase].remove(e)
		e.phase, e.receivingSince = to, now
		l.queues[to].push(e)
	}
}

// Len returns the number of open connections.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}
