package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"flamingodrift.example/core/locator"
	"flamingodrift.example/core/operatorproxy"
	"flamingodrift.example/entryd/internal/claimer"
	"flamingodrift.example/entryd/internal/collector"
	"flamingodrift.example/entryd/internal/dispatcher"
	"flamingodrift.example/entryd/internal/gateway"
	"flamingodrift.example/entryd/internal/heartbeater"
	"flamingodrift.example/entryd/internal/limiter"
	"flamingodrift.example/entryd/internal/poller"
	"flamingodrift.example/entryd/internal/retrier"
	"flamingodrift.example/entryd/internal/settings"

	"flamingodrift.example/core/bytelimiter"
	"flamingodrift.example/core/clock"
	"flamingodrift.example/core/loader"
	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/meter"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/refusalrecorder"
	"flamingodrift.example/core/wire"
)

// daemon holds the components of the entry process. As a kratos server it runs the sessions and the control goroutine.
type daemon struct {
	messenger   *messenger.Messenger
	listener    net.Listener
	http        *khttp.Server
	heartbeater *heartbeater.Heartbeater
	dispatcher  *dispatcher.Dispatcher
	gateway     *gateway.Gateway
	claimer     *claimer.Claimer
	clock       clock.Clock
	leaving     atomic.Bool
	// replying counts the forwarded requests whose reply may not have been written yet.
	replying atomic.Int64
	cancel   context.CancelFunc
	done     chan struct{}
}

// assemble creates the components and opens the listener for sessions.
func assemble(cfg *settings.Settings, log *slog.Logger) (*daemon, error) {
	meters, err := meter.New("entryd")
	if err != nil {
		return nil, err
	}
	refusals := refusalrecorder.New(refusalrecorder.Config{Meter: meters, Logger: log})
	d := &daemon{done: make(chan struct{})}
	d.messenger = messenger.New(messenger.Config{
		Token: cfg.CellToken, LocalAddress: cfg.Address, Handler: d.handle, MaxSessions: cfg.MaxSessions,
		FrameTimeout: loader.Milliseconds(cfg.BodyTimeoutMs), Recorder: refusals,
		FrameBudget: bytelimiter.New(bytelimiter.Config{Bytes: int64(cfg.FrameBudgetMB) << 20, SmallBytes: smallFrameBytes}),
	})
	boot := fmt.Sprintf("%016x-%d", time.Now().UnixNano(), os.Getpid())
	leader := locator.New(locator.Config{Messenger: d.messenger, Controls: cfg.Controls})
	d.dispatcher = dispatcher.New(dispatcher.Config{Clock: d.clock, Logger: log})
	targets := collector.New(collector.Config{
		AnnounceInterval: loader.Milliseconds(cfg.BeatMs), Clock: d.clock, OnLeaving: d.dispatcher.MarkLeaving,
	})
	d.heartbeater = heartbeater.New(heartbeater.Config{
		Name: cfg.Name, Boot: boot, Address: cfg.AdvertiseAddress, FailureDomain: cfg.FailureDomain,
		BeatInterval: loader.Milliseconds(cfg.BeatMs), ConfigValidity: loader.Milliseconds(cfg.ConfigValidityMs),
		Clock: d.clock, Leader: leader, Dispatcher: d.dispatcher, Collector: targets, Logger: log,
	})
	d.claimer = claimer.New(claimer.Config{Leader: leader, Entry: cfg.Name, Boot: boot})
	connections := limiter.New(cfg.MaxConnections)
	d.gateway = gateway.New(gateway.Config{
		Full:    connections.Full,
		Control: d.heartbeater, Dispatcher: d.dispatcher, Retrier: retrier.New(), Peers: d.messenger, Clock: d.clock,
		Claimer: d.claimer, Meter: meters, Logger: log,
	})
	d.http = newHTTP(cfg, connections, refusals)
	d.http.HandlePrefix(gateway.Prefix, d.gateway)
	d.http.HandlePrefix(operatorproxy.Prefix, operatorproxy.New(operatorproxy.Config{
		Locator: leader, Operators: cfg.Operators, Meter: meters,
	}))
	d.http.HandlePrefix("/platform/v1/targets/announce", targets)
	d.http.HandlePrefix("/platform/v1/workers/poll", poller.New(poller.Config{
		Leader: leader, Entry: cfg.Name,
		BatchWindow: loader.Milliseconds(cfg.PollBatchMs), Timeout: loader.Milliseconds(cfg.PollTimeoutMs),
	}))
	d.http.HandlePrefix("/metrics", meters.Handler())
	d.http.HandlePrefix("/healthz", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	}))
	d.http.HandlePrefix("/readyz", http.HandlerFunc(d.ready))
	if d.listener, err = listen(cfg.Address); err != nil {
		return nil, err
	}
	return d, nil
}

// handle serves requests from other processes of the cell.
func (d *daemon) handle(ctx context.Context, request *wire.Request) *wire.Reply {
	if forward := request.GetForward(); forward != nil {
		// The messenger writes the reply after this function returns; the delay keeps a shutdown from cutting it off.
		d.replying.Add(1)
		defer time.AfterFunc(replyGrace, func() { d.replying.Add(-1) })
		return d.gateway.ServeForwarded(ctx, forward)
	}
	return &wire.Reply{Body: &wire.Reply_Refusal{Refusal: &wire.Refusal{
		Reason: reason.RequestInvalid.String(), Detail: "entryd does not answer this request",
	}}}
}

// readiness is the body of /readyz; load balancers read only the status code.
type readiness struct {
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason,omitempty"`
	Revision uint64 `json:"revision"`
}

func (d *daemon) ready(w http.ResponseWriter, _ *http.Request) {
	refusal := d.heartbeater.RefusalReason(d.clock.Now())
	if d.leaving.Load() {
		refusal = reason.ShuttingDown
	}
	body := readiness{
		Ready: refusal == reason.None, Reason: refusal.String(), Revision: d.heartbeater.State().Config.GetRevision(),
	}
	w.Header().Set("Content-Type", "application/json")
	if !body.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(body)
}

// Start serves sessions and runs the control goroutine until Stop.
func (d *daemon) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	go func() { _ = d.messenger.Serve(d.listener) }()
	d.heartbeater.Run(ctx)
	close(d.done)
	return nil
}

// Stop ends the control goroutine, releases the targets if no request is in progress, and closes all sessions.
func (d *daemon) Stop(ctx context.Context) error {
	d.cancel()
	<-d.done
	if d.gateway.Active() == 0 && d.dispatcher.Busy() == 0 {
		ctx, cancel := context.WithTimeout(ctx, lastBeatTimeout)
		defer cancel()
		// If no leader answers, the lease runs out, as it does after a crash.
		_ = d.heartbeater.SendLastBeat(ctx)
	}
	d.messenger.Close()
	return d.listener.Close()
}
