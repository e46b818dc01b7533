// Package connlimiter limits the open connections of a listener. At the limit it closes the connection that has waited
// longest for its client, so that clients which send nothing cannot keep out ordinary ones.
package connlimiter

import (
	"context"
	"net"
	"net/http"
	"sync"
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
	// phaseReceiving is while the body of a request is received.
	phaseReceiving
	// phaseBusy is while a request is handled.
	phaseBusy
	phases
)

// entry is a tracked connection, an element of the queue of its phase.
type entry struct {
	conn       net.Conn
	phase      phase
	prev, next *entry
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

// Context adds a connection to the context of its requests, for Receiving. It is installed as a server's ConnContext.
func (l *Limiter) Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, tracked{l, conn})
}

type tracked struct {
	limiter *Limiter
	conn    net.Conn
}

// SetReceiving notes whether the body of a request is being received, given the request's context. It has no effect on a
// connection without a Limiter.
func SetReceiving(ctx context.Context, receiving bool) {
	if t, ok := ctx.Value(contextKey{}).(tracked); ok {
		to := phaseBusy
		if receiving {
			to = phaseReceiving
		}
		t.limiter.move(t.conn, to)
	}
}

// Track follows the state of a connection. It is installed as a server's ConnState.
func (l *Limiter) Track(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.Open(conn)
	case http.StateActive:
		l.move(conn, phaseBusy)
	case http.StateIdle:
		l.move(conn, phaseIdle)
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
	for _, waiting := range []phase{phaseFresh, phaseIdle, phaseReceiving} {
		if first := l.queues[waiting].first; first != nil && first != opened {
			return first.conn
		}
	}
	return opened.conn
}

// Settle notes that a connection has sent what it must send first, so that it no longer counts as fresh.
func (l *Limiter) Settle(conn net.Conn) { l.move(conn, phaseBusy) }

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

func (l *Limiter) move(conn net.Conn, to phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A connection that was closed at the limit is no longer tracked.
	if e := l.entries[conn]; e != nil && e.phase != to {
		l.queues[e.phase].remove(e)
		e.phase = to
		l.queues[to].push(e)
	}
}

// Len returns the number of open connections.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}
