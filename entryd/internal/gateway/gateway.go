// Package gateway accepts callers' requests and ends each of them with its true outcome: answered, not run, or unknown.
package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"flamingodrift.example/entryd/internal/claimer"
	"flamingodrift.example/entryd/internal/dispatcher"
	"flamingodrift.example/entryd/internal/estimator"
	"flamingodrift.example/entryd/internal/heartbeater"
	"flamingodrift.example/entryd/internal/retrier"

	"flamingodrift.example/core/meter"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Prefix is the path prefix of callers' requests: Prefix + service + "/" + path.
const Prefix = "/call/"

// Control provides the configuration and the peers, and the reason for which requests are refused, if any.
type Control interface {
	RefusalReason(now time.Duration) reason.Reason
	State() *heartbeater.State
}

// Clock reads monotonic time.
type Clock interface {
	Now() time.Duration
}

// Peers sends requests to other entry processes.
type Peers interface {
	Call(ctx context.Context, address string, request *wire.Request) (*wire.Reply, error)
}

// Config configures a Gateway.
type Config struct {
	Control    Control
	Dispatcher *dispatcher.Dispatcher
	Claimer    *claimer.Claimer
	Retrier    *retrier.Retrier
	Peers      Peers
	Clock      Clock
	// Full reports whether too many connections are open; nil means no limit.
	Full   func() bool
	Meter  *meter.Meter
	Logger *slog.Logger
}

// Gateway serves requests of callers and of peers. It is safe for concurrent use.
type Gateway struct {
	cfg    Config
	peers  *estimator.Estimator
	active atomic.Int64
	closed atomic.Bool
}

// New returns a Gateway.
func New(cfg Config) *Gateway { return &Gateway{cfg: cfg, peers: estimator.New()} }

// Active returns the number of requests in progress, from callers and from peers.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Close refuses new requests from callers and peers. Requests in progress continue and are counted by Active.
func (g *Gateway) Close() { g.closed.Store(true) }

// begin counts a request and returns the reason if it is refused. The request is counted before the check, so that
// Active misses none after Close. The caller must call end, also after a refusal.
func (g *Gateway) begin() reason.Reason {
	g.active.Add(1)
	if g.closed.Load() {
		return reason.ShuttingDown
	}
	return g.cfg.Control.RefusalReason(g.cfg.Clock.Now())
}

func (g *Gateway) end() { g.active.Add(-1) }

// ServeHTTP handles one caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer g.end()
	var c *call
	var res *result
	why := g.begin()
	if why == reason.None && g.cfg.Full != nil && g.cfg.Full() {
		why = reason.LimitReached
	}
	switch why {
	case reason.None:
		c, res = g.handle(w, r)
	case reason.ShuttingDown:
		res = notRun(why, "this entry process is shutting down")
	case reason.LimitReached:
		res = notRun(why, "this entry process has too many open connections")
	default:
		res = notRun(why, "this entry process cannot confirm that its configuration is current")
	}
	res = qualify(r, c, res)
	g.cfg.Meter.Outcome(c.serviceName(), outcomeName(res.outcome))
	if res.outcome != wire.Outcome_OUTCOME_ANSWERED {
		g.cfg.Meter.Refused(res.reason)
	}
	writeResult(w, r.Method, res)
}

// handle returns no call if the request was refused while it was parsed.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request) (*call, *result) {
	c, res := g.parse(r)
	if res != nil {
		return nil, res
	}
	ctx := r.Context()
	if !c.idempotent {
		// The request may run only once, so a caller that disconnects and sends it again needs this answer.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if res := c.readBody(w, r); res != nil {
		return c, res
	}
	return c, g.run(ctx, c)
}

func (g *Gateway) run(ctx context.Context, c *call) *result {
	if ctx.Err() != nil {
		return deadlineResult(false, reason.None, nil)
	}
	g.cfg.Retrier.Earn()
	if c.idempotent {
		return g.serve(ctx, c)
	}
	return g.runOnce(ctx, c)
}
