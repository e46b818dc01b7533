// Package refusalrecorder counts and logs refusals of clients that exceed the limits of a process.
package refusalrecorder

import (
	"log/slog"
	"sync"
	"time"

	"flamingodrift.example/core/clock"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/meter"
)

// Reason is the limit that a client has exceeded.
type Reason string

// The reasons for refusals; docs/metrics.md describes them.
const (
	Connections     Reason = "connections"
	BodyBudget      Reason = "body_budget"
	BodyDisplaced   Reason = "body_displaced"
	BodyTooLarge    Reason = "body_too_large"
	BodyTimeout     Reason = "body_timeout"
	ResponseTimeout Reason = "response_timeout"
	Handshake       Reason = "handshake"
	FrameBudget     Reason = "frame_budget"
	FrameTimeout    Reason = "frame_timeout"
	Streams         Reason = "streams"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{
		Connections, BodyBudget, BodyDisplaced, BodyTooLarge, BodyTimeout, ResponseTimeout, Handshake, FrameBudget,
		FrameTimeout, Streams,
	}
}

// logInterval is the shortest time between two log lines on the same reason; the metrics count every refusal.
const logInterval = 10 * time.Second

// Config holds the dependencies of a Recorder.
type Config struct {
	Meter  *meter.Meter
	Logger *slog.Logger
}

// Recorder counts refusals. It is safe for concurrent use. A nil Recorder discards them.
type Recorder struct {
	cfg   Config
	clock clock.Clock

	mu    sync.Mutex
	lines map[Reason]*line
}

// line is what has been logged about one reason.
type line struct {
	logged time.Duration
	// unlogged is the number of refusals since the last line.
	unlogged int
}

// New returns a Recorder.
func New(cfg Config) *Recorder {
	return &Recorder{cfg: cfg, clock: clock.New(), lines: map[Reason]*line{}}
}

// Refused counts a refusal at the named listener.
func (r *Recorder) Refused(why Reason, listener string) {
	if r == nil {
		return
	}
	r.cfg.Meter.ClientRefused(string(why), listener)
	if count := r.loggable(why, r.clock.Now()); count > 0 {
		logger.ClientsRefused.Log(r.cfg.Logger, "why", string(why), "listener", listener, "refused", count)
	}
}

// loggable returns the number of refusals that a line written now stands for, or 0 if none is to be written yet.
func (r *Recorder) loggable(why Reason, now time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lines[why]
	if l == nil {
		l = &line{logged: now - logInterval}
		r.lines[why] = l
	}
	l.unlogged++
	if now-l.logged < logInterval {
		return 0
	}
	count := l.unlogged
	l.logged, l.unlogged = now, 0
	return count
}
