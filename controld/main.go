// Command controld replicates the control state of a cell and schedules its work.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/samber/oops"

	"flamingodrift.example/controld/internal/controller"
	"flamingodrift.example/controld/internal/lessor"
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/controld/internal/server"
	"flamingodrift.example/controld/internal/settings"
	"flamingodrift.example/controld/internal/store"
	"flamingodrift.example/core/bytelimiter"
	"flamingodrift.example/core/clock"
	"flamingodrift.example/core/httpguard"
	"flamingodrift.example/core/journal"
	"flamingodrift.example/core/kratoslogger"
	"flamingodrift.example/core/linewriter"
	"flamingodrift.example/core/loader"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/meter"
	"flamingodrift.example/core/refusalrecorder"
	"flamingodrift.example/core/starter"
	"flamingodrift.example/core/wire"
)

const (
	// clockDriftPercent bounds the difference in rate between the clocks of two hosts.
	clockDriftPercent = 1
	stopTimeout       = 5 * time.Second
	// diskFullRetryInterval is the interval between attempts to open the data folder while its disk is full.
	diskFullRetryInterval = 500 * time.Millisecond
	idleTimeout           = 60 * time.Second
	maxHeaderBytes        = 16 << 10
	// smallBytes is the size of a body, and smallFrameBytes that of a message, up to which it may use the last part of its
	// budget. An ordinary report has below 1 KiB.
	smallBytes      = 16 << 10
	smallFrameBytes = 64 << 10
)

type arguments struct {
	Settings  string `arg:"--settings,required" help:"settings file, JSON with comments" placeholder:"FILE"`
	Check     bool   `arg:"--check" help:"check the settings file and exit"`
	Bootstrap bool   `arg:"--bootstrap" help:"make the data folder of the first node of a new cell and exit"`
}

// Description returns the text that --help shows above the options.
func (arguments) Description() string {
	return "controld keeps the replicated control state of a cell and decides where work runs."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	cfg := &settings.Settings{}
	starter.LoadOrExit(args.Settings, args.Check, cfg)
	if args.Bootstrap {
		if err := store.Bootstrap(cfg.DataFolder, member(cfg)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	starter.ReserveProcessors()
	out := linewriter.New(os.Stdout)
	log := logger.New(out, "controld", cfg.Name)
	klog.SetLogger(kratoslogger.New(log))
	err := run(args.Settings, cfg, log)
	if errors.Is(err, controller.ErrRemoved) && cfg.Queues.Address != "" {
		// The consensus group continues without this member. Without its data, the next start joins the group as a new one.
		if clearErr := store.Clear(cfg.DataFolder); clearErr != nil {
			logger.Fatal.Log(log, "error", clearErr.Error())
		}
	} else if err != nil {
		logger.Fatal.Log(log, "error", err.Error())
	}
	out.Close()
	if err != nil {
		os.Exit(1)
	}
}

// member returns the membership entry of this node.
func member(cfg *settings.Settings) *wire.Member {
	return &wire.Member{Name: cfg.Name, Address: cfg.AdvertiseAddress, FailureDomain: cfg.FailureDomain}
}

// daemon holds the components of the process.
type daemon struct {
	controller *controller.Controller
	messenger  *messenger.Messenger
	listener   net.Listener
	health     *khttp.Server
	store      *store.Store
	// queues is nil in a cell without queues.
	queues *queueServer
}

func run(file string, cfg *settings.Settings, log *slog.Logger) error {
	debug.SetMemoryLimit(int64(cfg.MemoryLimitMB) << 20)
	if err := bootstrapOnFirstStart(cfg); err != nil {
		return err
	}
	d, err := newDaemon(cfg, log)
	if err != nil {
		return err
	}
	defer func() { _ = d.store.Close() }()
	servers := []transport.Server{d.health, &service{daemon: d}}
	if d.queues != nil {
		servers = append(servers, d.queues.http)
		go d.queues.run()
		go reloadOnSignal(file, cfg, d, log)
	}
	app := kratos.New(
		kratos.Name("controld"),
		kratos.Server(servers...),
		kratos.StopTimeout(stopTimeout),
		kratos.AfterStart(func(context.Context) error {
			logger.Started.Log(log, "address", cfg.Address, "node_id", d.store.NodeID())
			return nil
		}),
		kratos.BeforeStop(func(context.Context) error {
			logger.ShutdownStarted.Log(log)
			return nil
		}),
	)
	if err := app.Run(); err != nil {
		return oops.In("controld").With("name", cfg.Name).Wrapf(err, "run")
	}
	logger.ShutdownFinished.Log(log)
	return nil
}

func newDaemon(cfg *settings.Settings, log *slog.Logger) (*daemon, error) {
	nodeStore, contents, err := openStore(cfg.DataFolder, log)
	if err != nil {
		return nil, oops.In("store").With("data_folder", cfg.DataFolder).Wrapf(err, "open data folder")
	}
	counters, err := meter.New("controld")
	if err != nil {
		return nil, err
	}
	refusals := refusalrecorder.New(refusalrecorder.Config{Meter: counters, Logger: log})
	guard := newGuard(cfg, refusals)
	var srv *server.Server
	msgr := messenger.New(messenger.Config{
		Token: cfg.CellToken, LocalAddress: cfg.Address, MaxSessions: cfg.MaxSessions,
		FrameTimeout: loader.Milliseconds(cfg.BodyTimeoutMs), Recorder: refusals,
		FrameBudget: bytelimiter.New(bytelimiter.Config{Bytes: int64(cfg.FrameBudgetMB) << 20, SmallBytes: smallFrameBytes}),
		Handler: func(ctx context.Context, request *wire.Request) *wire.Reply {
			return srv.Handle(ctx, request)
		},
	})
	ctl, err := controller.New(controller.Config{
		Member: member(cfg), Peers: peerAddresses(cfg), Voters: cfg.Voters, Store: nodeStore, Contents: contents,
		Clock: clock.New(), Messenger: msgr, Logger: log, Meter: counters,
		Heartbeat:   loader.Milliseconds(cfg.HeartbeatMs),
		ElectionMin: loader.Milliseconds(cfg.ElectionMinMs), ElectionMax: loader.Milliseconds(cfg.ElectionMaxMs),
		Lessor: lessor.Config{
			WorkerLease: loader.Milliseconds(cfg.WorkerLeaseMs), PollTimeout: loader.Milliseconds(cfg.PollTimeoutMs),
			EntryLease: loader.Milliseconds(cfg.EntryLeaseMs), TargetSilence: loader.Milliseconds(cfg.TargetSilentMs),
			DriftPercent: clockDriftPercent,
		},
		Planner: planner.Config{},
		Queues:  queueConfig(cfg, log),
	})
	if err != nil {
		return nil, err
	}
	queues := newQueueServer(cfg, guard, msgr, log)
	srv = server.New(ctl, queues.consentServer())
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, oops.In("messenger").With("address", cfg.Address).Wrapf(err, "listen")
	}
	health := guard.Server("health", cfg.HealthAddress, cfg.MaxSideConnections)
	health.HandlePrefix("/metrics", counters.Handler())
	health.HandlePrefix("/", srv.Health())
	return &daemon{
		controller: ctl, messenger: msgr, listener: listener, health: health, store: nodeStore, queues: queues,
	}, nil
}

func newGuard(cfg *settings.Settings, refusals *refusalrecorder.Recorder) *httpguard.Guard {
	return httpguard.New(httpguard.Config{
		Budget:         bytelimiter.New(bytelimiter.Config{Bytes: int64(cfg.BodyBudgetMB) << 20, SmallBytes: smallBytes}),
		HeaderTimeout:  loader.Milliseconds(cfg.HeaderTimeoutMs),
		BodyTimeout:    loader.Milliseconds(cfg.BodyTimeoutMs),
		MaxHeaderBytes: maxHeaderBytes, ResponseTimeout: loader.Milliseconds(cfg.ResponseTimeoutMs),
		IdleTimeout: idleTimeout, Recorder: refusals,
	})
}

// openStore opens the data folder. It retries while the disk is full.
func openStore(folder string, log *slog.Logger) (*store.Store, *store.Contents, error) {
	for {
		nodeStore, contents, err := store.Open(folder)
		if !errors.Is(err, journal.ErrDiskFull) {
			return nodeStore, contents, err
		}
		logger.DiskFull.Log(log)
		time.Sleep(diskFullRetryInterval)
	}
}

// service implements transport.Server: it runs the control goroutine and accepts sessions.
type service struct {
	daemon *daemon
	cancel context.CancelFunc
	done   chan struct{}
}

// Start runs the service until Stop is called or the control goroutine fails.
func (s *service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel, s.done = cancel, make(chan struct{})
	defer close(s.done)
	go func() { _ = s.daemon.messenger.Serve(s.daemon.listener) }()
	return s.daemon.controller.Run(ctx)
}

// Stop stops the control goroutine, then closes all sessions and the listener.
func (s *service) Stop(context.Context) error {
	s.cancel()
	<-s.done
	s.daemon.messenger.Close()
	return s.daemon.listener.Close()
}
