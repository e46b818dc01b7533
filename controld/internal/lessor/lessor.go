// Package lessor manages the state that only the leader has: the leases of workers and entry processes, and the
// ownership of targets. None of it is durable. A new leader waits until all leases that an earlier leader may have
// granted have expired.
package lessor

import (
	"time"

	"flamingodrift.example/core/wire"
)

// Config holds the lease terms.
type Config struct {
	// WorkerLease is how long after sending a poll a worker may run its tasks.
	WorkerLease time.Duration
	// PollTimeout is how long a worker waits for the reply to a poll.
	PollTimeout time.Duration
	// EntryLease is how long after sending a heartbeat an entry process may use its targets.
	EntryLease time.Duration
	// TargetSilence is how long after its last announcement a target is considered silent.
	TargetSilence time.Duration
	// DriftPercent is the percentage by which another host's clock may run slower than this one's.
	DriftPercent int
}

// Lessor manages leases and target ownership. It is not safe for concurrent use: only the leader's control goroutine may
// access it.
type Lessor struct {
	cfg     Config
	term    uint64
	workers map[string]*workerLease
	entries map[string]*entry
	targets map[string]*target
	epoch   uint64
	// renewals holds the newest full reports of workers.
	renewals renewalTable
	// priorLeasesEndAt is when all leases that an earlier leader granted to entry processes have expired.
	priorLeasesEndAt time.Duration
	neverServed      bool
	// discoveryEndsAt is when every target that had an owner under an earlier leader has announced itself. A target
	// that appears later is treated as new.
	discoveryEndsAt time.Duration
}

type workerLease struct {
	boot string
	// poll is the number of the latest poll.
	poll      uint64
	expiresAt time.Duration
	expired   bool
}

// New returns the Lessor of a leader that was elected at now. workers maps the workers that are not lost to their
// boots; claimOwners are the boots of entry processes that have running claims.
func New(cfg Config, term uint64, workers map[string]string, claimOwners []EntryBoot, now time.Duration) *Lessor {
	l := &Lessor{
		cfg: cfg, term: term,
		workers:          map[string]*workerLease{},
		entries:          map[string]*entry{},
		targets:          map[string]*target{},
		renewals:         renewalTable{workers: map[string]*lastReport{}},
		priorLeasesEndAt: now + cfg.withDrift(cfg.EntryLease),
	}
	for name, boot := range workers {
		l.workers[name] = &workerLease{boot: boot, expiresAt: now + l.maxWorkerLease()}
	}
	for _, b := range claimOwners {
		l.entries[placeholderKey(b.Entry, b.Boot)] = &entry{
			name: b.Entry, boot: b.Boot, expiresAt: l.priorLeasesEndAt, placeholder: true,
		}
	}
	return l
}

// SetNeverServed states that no entry process can have sent a request to a target before this leader was elected, as in
// a new cell. Otherwise each target that no entry process reports is treated as having had an owner.
func (l *Lessor) SetNeverServed() { l.neverServed = true }

// withDrift extends a duration so that it has surely passed on a host whose clock runs slower.
func (c Config) withDrift(d time.Duration) time.Duration {
	return d + d*time.Duration(c.DriftPercent)/100
}

// maxWorkerLease is how long after the leader answered a poll the worker may still run tasks. The lease counts from the
// sending of the poll, but the reply may reach the worker up to PollTimeout after the leader sent it.
func (l *Lessor) maxWorkerLease() time.Duration {
	return l.cfg.withDrift(l.cfg.WorkerLease + l.cfg.PollTimeout)
}

// PollResult is the result of a worker's poll.
type PollResult struct {
	// Refused is true if the poll is stale or the lease of this boot has expired.
	Refused bool
	// Confirmed is true if the worker sent the poll after it received a reply of this leader. Only then does the
	// absence of a task from the poll prove that its start order was not received.
	Confirmed bool
}

// Poll renews a worker's lease.
func (l *Lessor) Poll(report *wire.WorkerReport, now time.Duration) PollResult {
	lease := l.workers[report.GetWorker()]
	if lease == nil || lease.boot != report.GetBoot() {
		if lease != nil && lease.isOlderBoot(report.GetBoot()) {
			return PollResult{Refused: true}
		}
		lease = &workerLease{boot: report.GetBoot()}
		l.workers[report.GetWorker()] = lease
	} else if lease.expired || report.GetPoll() <= lease.poll {
		return PollResult{Refused: true}
	}
	lease.poll = report.GetPoll()
	lease.expiresAt = now + l.maxWorkerLease()
	return PollResult{Confirmed: report.GetSession() == l.term}
}

// isOlderBoot reports whether a boot id is older than that of the lease. Boot ids start with the start time in sortable
// form, so a delayed poll of an earlier boot cannot replace the current one.
func (l *workerLease) isOlderBoot(boot string) bool { return boot < l.boot }

// LostWorker is a worker whose lease has certainly expired.
type LostWorker struct {
	Worker, Boot string
}

// ExpireWorkers returns the workers whose leases have expired since the last call. Further polls of their current boots
// are refused.
func (l *Lessor) ExpireWorkers(now time.Duration) []LostWorker {
	var lost []LostWorker
	for name, lease := range l.workers {
		if !lease.expired && now >= lease.expiresAt {
			lease.expired = true
			lost = append(lost, LostWorker{Worker: name, Boot: lease.boot})
		}
	}
	return lost
}

// WorkerSilence returns the time since a worker's last poll to this leader, and the time until its lease has certainly
// expired if it sends no further poll. ok is false for a worker without a lease.
func (l *Lessor) WorkerSilence(name string, now time.Duration) (silent, left time.Duration, ok bool) {
	lease := l.workers[name]
	if lease == nil || lease.expired {
		return 0, 0, false
	}
	return now - (lease.expiresAt - l.maxWorkerLease()), lease.expiresAt - now, true
}

// Session returns the session id that identifies this leader to workers.
func (l *Lessor) Session() uint64 { return l.term }

// WorkerLease returns the duration of the lease that a reply to a poll grants.
func (l *Lessor) WorkerLease() time.Duration { return l.cfg.WorkerLease }
