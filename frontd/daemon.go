package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/samber/oops"

	"flamingodrift.example/core/bytelimiter"
	"flamingodrift.example/core/clock"
	"flamingodrift.example/core/consentserver"
	"flamingodrift.example/core/httpguard"
	"flamingodrift.example/core/loader"
	"flamingodrift.example/core/locator"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/meter"
	"flamingodrift.example/core/operatorproxy"
	"flamingodrift.example/core/queuecaller"
	"flamingodrift.example/core/refusalrecorder"
	"flamingodrift.example/core/wire"
	"flamingodrift.example/frontd/internal/settings"
	"flamingodrift.example/platform/consentclient"
	"flamingodrift.example/platform/jobhandler"
)

const (
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
	// keepAliveInterval is the interval and timeout of the probes of a session. A session that is cut off silently is
	// closed within twice this time.
	keepAliveInterval = time.Second
	// maxLeaderSilence is the time without a reply from a leader after which the readiness check fails, so that the
	// load balancer uses other processes.
	maxLeaderSilence = 2500 * time.Millisecond
	// socketBufferBytes holds an ordinary job of up to 10 KB, and many responses, which have below 200 bytes.
	socketBufferBytes = 16 << 10
	// smallBytes is the size of a body, and smallFrameBytes that of a message, up to which it may use the last part of its
	// budget.
	smallBytes      = 16 << 10
	smallFrameBytes = 64 << 10
)

// daemon holds the components of a frontd process. It implements kratos' transport.Server.
type daemon struct {
	messenger *messenger.Messenger
	listener  net.Listener
	leader    *locator.Locator
	consent   *consentserver.Server
	servers   []*khttp.Server
	clock     clock.Clock
	log       *slog.Logger
	// failureLog limits the log lines on failed calls.
	failureLog logLimiter
	leaving    atomic.Bool
	cancel     context.CancelFunc
	ctx        context.Context
}

// assemble creates all components and opens the listener for the cell's own processes.
func assemble(cfg *settings.Settings, log *slog.Logger) (*daemon, error) {
	counters, err := meter.New("frontd")
	if err != nil {
		return nil, oops.In("meter").Wrapf(err, "create counters")
	}
	refusals := refusalrecorder.New(refusalrecorder.Config{Meter: counters, Logger: log})
	d := &daemon{log: log}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.messenger = messenger.New(messenger.Config{
		Token: cfg.CellToken, LocalAddress: cfg.Address, Handler: d.handle, KeepAlive: keepAliveInterval,
		Logger: log, MaxSessions: cfg.MaxSessions, FrameTimeout: loader.Milliseconds(cfg.BodyTimeoutMs), Recorder: refusals,
		FrameBudget: bytelimiter.New(bytelimiter.Config{Bytes: int64(cfg.FrameBudgetMB) << 20, SmallBytes: smallFrameBytes}),
	})
	d.leader = locator.New(
		locator.Config{Messenger: d.messenger, Controls: loader.SamePortAddresses(cfg.Seeds, cfg.Address)})
	d.consent = consentserver.New(consentserver.Config{
		Name: cfg.Name, Address: cfg.Address, Consenter: consentclient.New(cfg.ConsentAddress), Leader: d.leader, Logger: log,
	})
	guard := newGuard(cfg, refusals)
	callers := guard.Server("callers", cfg.CallerAddress, cfg.MaxConnections)
	jobs := jobhandler.New(jobhandler.Config{Queues: queuecaller.New(d.leader), MaxJobBytes: int64(cfg.MaxJobBytes)})
	callers.HandlePrefix("/", d.instrument(counters, d.closeWhileLeaving(jobs)))
	ready := guard.Server("ready", cfg.ReadyAddress, cfg.MaxSideConnections)
	ready.HandlePrefix("/", http.HandlerFunc(d.ready))
	metrics := guard.Server("metrics", cfg.MetricsAddress, cfg.MaxSideConnections)
	metrics.HandlePrefix("/metrics", counters.Handler())
	metrics.HandlePrefix(operatorproxy.Prefix, operatorproxy.New(
		operatorproxy.Config{Locator: d.leader, Operators: cfg.Operators, Meter: counters}))
	d.servers = []*khttp.Server{callers, ready, metrics}
	if d.listener, err = net.Listen("tcp", cfg.Address); err != nil {
		return nil, oops.In("messenger").With("address", cfg.Address).Wrapf(err, "listen")
	}
	return d, nil
}

func newGuard(cfg *settings.Settings, refusals *refusalrecorder.Recorder) *httpguard.Guard {
	return httpguard.New(httpguard.Config{
		Budget:         bytelimiter.New(bytelimiter.Config{Bytes: int64(cfg.BodyBudgetMB) << 20, SmallBytes: smallBytes}),
		HeaderTimeout:  loader.Milliseconds(cfg.HeaderTimeoutMs),
		BodyTimeout:    loader.Milliseconds(cfg.BodyTimeoutMs),
		MaxHeaderBytes: maxHeaderBytes, ResponseTimeout: loader.Milliseconds(cfg.ResponseTimeoutMs),
		IdleTimeout: idleTimeout, SocketBufferBytes: socketBufferBytes, Recorder: refusals,
	})
}

// statusWriter records the status code of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// Unwrap implements the protocol of http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// instrument measures each call, and logs those that failed with a 5xx status, up to the limit of failureLog.
func (d *daemon) instrument(counters *meter.Meter, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := d.clock.Now()
		recorder := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r)
		took := d.clock.Now() - began
		counters.QueueCallEnded(r.Method, recorder.status, took)
		if recorder.status >= http.StatusInternalServerError && d.failureLog.allow(began) {
			logger.CallFailed.Log(d.log, "method", r.Method, "path", r.URL.Path, "status", recorder.status,
				"took_ms", took.Milliseconds(), "leader_heard", d.consent.LeaderRepliedWithin(began, maxLeaderSilence))
		}
	})
}

// closeWhileLeaving adds "Connection: close" to responses while this process shuts down, so that callers
// reconnect elsewhere.
func (d *daemon) closeWhileLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// handle serves requests of the cell's own processes; only calls for consent are known.
func (d *daemon) handle(ctx context.Context, request *wire.Request) *wire.Reply {
	if call := request.GetConsent(); call != nil {
		return d.consent.Handle(ctx, call)
	}
	return &wire.Reply{Body: &wire.Reply_Refusal{Refusal: &wire.Refusal{Detail: "frontd does not answer this request"}}}
}

// ready serves the readiness check of the load balancer.
func (d *daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.leaving.Load() || !d.consent.LeaderRepliedWithin(d.clock.Now(), maxLeaderSilence) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// drain makes the readiness check fail and returns after notice. Requests are still served in between, because the load
// balancer notices the change with a delay.
func (d *daemon) drain(notice time.Duration) {
	d.leaving.Store(true)
	time.Sleep(notice)
}

// Start serves until Stop.
func (d *daemon) Start(context.Context) error {
	errs := make(chan error, len(d.servers))
	for _, server := range d.servers {
		go func() { errs <- server.Start(d.ctx) }()
	}
	go func() { _ = d.messenger.Serve(d.listener) }()
	go d.consent.Run(d.ctx)
	select {
	case err := <-errs:
		return err
	case <-d.ctx.Done():
		return nil
	}
}

// Stop waits for the requests in progress until ctx ends, and closes all sessions.
func (d *daemon) Stop(ctx context.Context) error {
	var first error
	for _, server := range d.servers {
		if err := server.Stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	d.cancel()
	d.messenger.Close()
	_ = d.listener.Close()
	return first
}
