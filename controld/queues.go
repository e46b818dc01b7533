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
	"flamingodrift.example/core/httpguard"
	"flamingodrift.example/core/loader"
	"flamingodrift.example/core/locator"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/queuecaller"
	"flamingodrift.example/platform/consentclient"
	"flamingodrift.example/platform/controlhandler"
	"flamingodrift.example/platform/workerclient"
)

const (
	// workerLease must outlast an election and the new leader's first contact with the workers. The runs of a lost worker
	// cannot be placed again before it ends.
	workerLease = 4500 * time.Millisecond
	// renewWait bounds how long a worker may delay its answer to a renewal to wait for the end of a run. It is short
	// enough that at least half of the lease is left when a leader dies.
	renewWait = time.Second
	// orderAnswerTimeout is many times a round trip to a worker.
	orderAnswerTimeout = 400 * time.Millisecond
	// startLease bounds how late a worker may carry out a start; until then its capacity stays allocated.
	startLease = 1500 * time.Millisecond
	// workerClockDriftPercent is the platform's bound on how much slower the clock of a worker may run.
	workerClockDriftPercent = 2
	// endedJobRetention is 1.5 times as long as the platform requires the states of ended jobs to be kept.
	endedJobRetention = 180 * time.Second
	// orderDelay is how long before the end of a worker's report validity the last start must be decided, to arrive in time.
	orderDelay = 500 * time.Millisecond
	// headroomShare of each worker's processors leaves capacity for one task of the short kinds.
	headroomShare = 0.12
	// stopTime is how long a run usually takes to end after an order to stop, including the commit of its end. The
	// platform allows 0.9 s.
	stopTime = 400 * time.Millisecond
	// maxReservingGangs bounds the time of a scheduling round: planning a reservation considers all runs on all workers
	// on which the gang may be placed.
	maxReservingGangs = 12
)

// bootstrapOnFirstStart creates the data folder of the first node when the whole cell starts for the first time. On
// later starts of that node, and on all other nodes, it does nothing.
func bootstrapOnFirstStart(cfg *settings.Settings) error {
	if !cfg.FirstStart || len(cfg.Seeds) == 0 ||
		loader.SamePortAddresses(cfg.Seeds, cfg.AdvertiseAddress)[0] != cfg.AdvertiseAddress {
		return nil
	}
	if err := store.Bootstrap(cfg.DataFolder, member(cfg)); err != nil && !errors.Is(err, store.ErrNotEmpty) {
		return fmt.Errorf("form the group: %w", err)
	}
	return nil
}

// peerAddresses returns the addresses of the controld processes in the settings: those of the peers and those derived
// from the seeds.
func peerAddresses(cfg *settings.Settings) []string {
	return append(append([]string(nil), cfg.Peers...), loader.SamePortAddresses(cfg.Seeds, cfg.AdvertiseAddress)...)
}

// queueConfig returns nil when queues are disabled.
func queueConfig(cfg *settings.Settings, log *slog.Logger) *controller.QueueConfig {
	if cfg.Queues.Address == "" {
		return nil
	}
	lease := min(workerLease, loader.Milliseconds(cfg.Queues.LongestLeaseMs))
	return &controller.QueueConfig{
		Executor: workerclient.New(), WorkerAddress: cfg.Queues.Address,
		MinVoters: 2*cfg.Queues.MaxLostDisks + 1,
		Scheduler: scheduler.Config{
			Lease: lease, LongestLease: loader.Milliseconds(cfg.Queues.LongestLeaseMs), RenewWait: renewWait,
			AnswerTimeout: orderAnswerTimeout, StartLease: startLease,
			ClockDriftPercent: workerClockDriftPercent, EndedJobRetention: endedJobRetention, Logger: log,
			ReportInterval: loader.Milliseconds(cfg.Queues.ReportIntervalMs),
			ReportValidity: loader.Milliseconds(cfg.Queues.ReportIntervalMs+cfg.Queues.CapacityGraceMs) - orderDelay,
			LearnRunTimes:  cfg.Queues.LearnRunTimes,
			Allocator:      allocator.Config{Headroom: headroomShare, StopTime: stopTime, MaxReservingGangs: maxReservingGangs},
		},
	}
}

// queueServer serves operators and workers over HTTP, and asks the consent service on behalf of the leader.
type queueServer struct {
	http    *khttp.Server
	consent *consentserver.Server
	leader  *locator.Locator
}

// newQueueServer returns nil when queues are disabled.
func newQueueServer(cfg *settings.Settings, guard *httpguard.Guard, msgr *messenger.Messenger, log *slog.Logger) *queueServer {
	if cfg.Queues.Address == "" {
		return nil
	}
	leader := locator.New(locator.Config{
		Messenger: msgr, Controls: append([]string{cfg.AdvertiseAddress}, peerAddresses(cfg)...),
	})
	server := guard.Server("control", cfg.Queues.Address, cfg.MaxConnections)
	server.HandlePrefix("/", controlhandler.New(controlhandler.Config{
		Queues: queuecaller.New(leader), Logger: log,
	}))
	return &queueServer{
		http: server, leader: leader,
		consent: consentserver.New(consentserver.Config{
			Name: cfg.Name, Address: cfg.AdvertiseAddress, Consenter: consentclient.New(cfg.Queues.ConsentAddress),
			Leader: leader, Logger: log,
		}),
	}
}

// consentServer returns nil when queues are disabled.
func (q *queueServer) consentServer() *consentserver.Server {
	if q == nil {
		return nil
	}
	return q.consent
}

func (q *queueServer) run() { q.consent.Run(context.Background()) }

// reloadOnSignal reads the settings file again on SIGHUP. It replaces the addresses at which the locator looks for the
// leader; all other settings take effect at the next start.
func reloadOnSignal(file string, cfg *settings.Settings, d *daemon, log *slog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		changed := &settings.Settings{}
		if err := loader.Load(file, changed); err != nil {
			logger.ReloadFailed.Log(log, "error", err.Error())
			continue
		}
		d.queues.leader.SetControls(append([]string{cfg.AdvertiseAddress}, peerAddresses(changed)...))
		logger.Reloaded.Log(log, "seeds", len(changed.Seeds))
	}
}
