package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/controller"
	"flamingodrift.example/controld/internal/scheduler"
	"flamingodrift.example/controld/internal/settings"
	"flamingodrift.example/controld/internal/store"
	"flamingodrift.example/core/consentserver"
	"flamingodrift.example/core/loader"
	"flamingodrift.example/core/locator"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/queuecaller"
	"flamingodrift.example/platform/consentclient"
	"flamingodrift.example/platform/controlhandler"
	"flamingodrift.example/platform/orderclient"
)

const (
	// workerLease outlasts an election and the new leader's first look at the workers. Runs of a worker that vanished stay
	// out of reach for as long.
	workerLease = 4500 * time.Millisecond
	// renewWait is how long a worker may wait for an end before it answers, so that half of the lease is left at least
	// when a leader dies.
	renewWait = time.Second
	// orderTimeout is many times the way to a worker and back.
	orderTimeout = 400 * time.Millisecond
	// startLease bounds how late a start may be carried out; until then its room stays taken.
	startLease = 1500 * time.Millisecond
	// workerDriftPercent is how much slower the platform says a worker's clock may run.
	workerDriftPercent = 2
	// forgetAfter is half as long again as the platform asks for the states of ended jobs.
	forgetAfter = 180 * time.Second
	// headroom leaves room for one task of the short kinds on each worker.
	headroom = 0.12
	// stopTime is how long a run usually takes to end once it is told to stop, with the commit of its end; the platform
	// allows 0.9 s.
	stopTime = 400 * time.Millisecond
	// plannedGangs bounds the time of a round: a plan looks at all runs on the workers that may hold the gang.
	plannedGangs    = 12
	controlTimeout  = 5 * time.Second
	controlIdleTime = 60 * time.Second
)

// formGroup makes the data folder of the first node when the whole cell starts for the first time.
func formGroup(cfg *settings.Settings) error {
	if !cfg.FirstStart || len(cfg.Seeds) == 0 || loader.SamePortAddresses(cfg.Seeds, cfg.AdvertiseAddress)[0] != cfg.AdvertiseAddress {
		return nil
	}
	if err := store.Bootstrap(cfg.DataFolder, member(cfg)); err != nil && !errors.Is(err, store.ErrNotEmpty) {
		return fmt.Errorf("form the group: %w", err)
	}
	return nil
}

func peers(cfg *settings.Settings) []string {
	return append(append([]string(nil), cfg.Peers...), loader.SamePortAddresses(cfg.Seeds, cfg.AdvertiseAddress)...)
}

func queueConfig(cfg *settings.Settings, log *slog.Logger) *controller.QueueConfig {
	if cfg.Queues.Address == "" {
		return nil
	}
	lease := min(workerLease, loader.Milliseconds(cfg.Queues.LongestLeaseMs))
	return &controller.QueueConfig{
		Executor: orderclient.New(), WorkerAddress: cfg.Queues.Address,
		MinVoters: 2*cfg.Queues.MaxLostDisks + 1,
		Scheduler: scheduler.Config{
			Lease: lease, LongestLease: loader.Milliseconds(cfg.Queues.LongestLeaseMs), RenewWait: renewWait, AnswerTimeout: orderTimeout, StartLease: startLease,
			ClockDriftPercent: workerDriftPercent, EndedJobRetention: forgetAfter, Logger: log,
			Allocator: allocator.Config{Headroom: headroom, StopTime: stopTime, MaxReservingGangs: plannedGangs},
		},
	}
}

// queueServer serves operators and workers, and makes calls for consent.
type queueServer struct {
	http    *khttp.Server
	consent *consentserver.Server
	leader  *locator.Locator
}

// newQueueServer returns nil where no jobs are submitted to queues.
func newQueueServer(cfg *settings.Settings, mailer *messenger.Messenger, log *slog.Logger) *queueServer {
	if cfg.Queues.Address == "" {
		return nil
	}
	leader := locator.New(locator.Config{Messenger: mailer, Controls: append([]string{cfg.AdvertiseAddress}, peers(cfg)...)})
	server := khttp.NewServer(khttp.Address(cfg.Queues.Address), khttp.Timeout(0))
	server.ReadHeaderTimeout = controlTimeout
	server.IdleTimeout = controlIdleTime
	server.HandlePrefix("/", controlhandler.New(queuecaller.New(leader)))
	return &queueServer{
		http: server, leader: leader,
		consent: consentserver.New(consentserver.Config{
			Name: cfg.Name, Address: cfg.AdvertiseAddress, Consenter: consentclient.New(cfg.Queues.ConsentAddress),
			Leader: leader, Logger: log,
		}),
	}
}

func (q *queueServer) consentServer() *consentserver.Server {
	if q == nil {
		return nil
	}
	return q.consent
}

func (q *queueServer) run() { q.consent.Run(context.Background()) }

// reloadOnSignal reads the settings again on SIGHUP. Only the seeds can change while the process runs.
func reloadOnSignal(file string, cfg *settings.Settings, d *daemon, log *slog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		changed := &settings.Settings{}
		if err := loader.Load(file, changed); err != nil {
			logger.ReloadFailed.Log(log, "error", err.Error())
			continue
		}
		d.queues.leader.SetControls(append([]string{cfg.AdvertiseAddress}, peers(changed)...))
		logger.Reloaded.Log(log, "seeds", len(changed.Seeds))
	}
}
