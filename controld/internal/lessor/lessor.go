// Package lessor holds the leases that only the leader knows: those of workers, of entry processes, and the ownership
// of targets. Nothing in it is durable; a new leader waits until every lease that an earlier one may have granted has
// run out.
package lessor

import (
	"time"

	"flamingodrift.example/core/wire"
)

// Config holds the lease terms.
type Config struct {
	// WorkerLease is how long a worker may run its tasks after it sent a poll.
	WorkerLease time.Duration
	// PollTimeout is how long a worker waits for the reply to a poll.
	PollTimeout time.Duration
	// EntryLease is how long an entry process may use its targets after it sent a beat.
	EntryLease time.Duration
	// TargetSilence is how long a target may be silent.
	TargetSilence time.Duration
	// DriftPercent bounds how much slower another host's clock may run than this one's.
	DriftPercent int
}

// Lessor is owned by the control thread of the leader.
type Lessor struct {
	cfg     Config
	term    uint64
	workers map[string]*workerLease
	entries map[string]*entry
	targets map[string]*target
	epoch   uint64
	// renewals holds the newest full reports of workers.
	renewals renewals
	// assignableAt is when leases of entry processes that an earlier leader granted have run out.
	assignableAt time.Duration
	neverServed  bool
	// knownUntil is when every target that had an owner under an earlier leader has been heard of. A target that
	// appears later is taken for a new one.
	knownUntil time.Duration
}

type workerLease struct {
	boot  string
	poll  uint64
	until time.Duration
	over  bool
}

// New returns the Lessor of a leader that was elected at now. workers maps the workers that are not lost to their
// boot; holders are the entry processes with running claims.
func New(cfg Config, term uint64, workers map[string]string, holders []EntryBoot, now time.Duration) *Lessor {
	r := &Lessor{
		cfg: cfg, term: term,
		workers:      map[string]*workerLease{},
		entries:      map[string]*entry{},
		targets:      map[string]*target{},
		renewals:     renewals{workers: map[string]*lastReport{}},
		assignableAt: now + cfg.withDrift(cfg.EntryLease),
	}
	for name, boot := range workers {
		r.workers[name] = &workerLease{boot: boot, until: now + r.workerTerm()}
	}
	for _, h := range holders {
		r.entries[placeholderKey(h.Entry, h.Boot)] = &entry{
			name: h.Entry, boot: h.Boot, until: r.assignableAt, placeholder: true,
		}
	}
	return r
}

// SetNeverServed says that no entry process can have sent a request before this leader was elected, as in a new cell.
// Otherwise each target that nobody claims counts as having had an owner.
func (r *Lessor) SetNeverServed() { r.neverServed = true }

func (c Config) withDrift(d time.Duration) time.Duration {
	return d + d*time.Duration(c.DriftPercent)/100
}

// workerTerm is how long after the leader answered a poll the worker may still run tasks: the lease counts from the
// sending of the poll, but a reply may reach the worker up to a poll timeout after the leader's answer.
func (r *Lessor) workerTerm() time.Duration {
	return r.cfg.withDrift(r.cfg.WorkerLease + r.cfg.PollTimeout)
}

// PollResult says how a worker's poll is answered.
type PollResult struct {
	// Refused is set when the poll is stale or the lease of this boot is over.
	Refused bool
	// Confirmed is true when the poll was sent after the worker received a reply of this leader. Only then does the
	// absence of a task in the poll prove that its start order was not received.
	Confirmed bool
}

// Poll renews a worker's lease.
func (r *Lessor) Poll(report *wire.WorkerReport, now time.Duration) PollResult {
	lease := r.workers[report.GetWorker()]
	if lease == nil || lease.boot != report.GetBoot() {
		if lease != nil && lease.isFormer(report.GetBoot()) {
			return PollResult{Refused: true}
		}
		lease = &workerLease{boot: report.GetBoot()}
		r.workers[report.GetWorker()] = lease
	} else if lease.over || report.GetPoll() <= lease.poll {
		return PollResult{Refused: true}
	}
	lease.poll = report.GetPoll()
	lease.until = now + r.workerTerm()
	return PollResult{Confirmed: report.GetSession() == r.term}
}

// isFormer reports whether a boot id is older than the one seen last. Boot ids carry the start time as a sortable
// prefix, so a delayed poll of an earlier boot cannot displace the present one.
func (l *workerLease) isFormer(boot string) bool { return boot < l.boot }

// LostWorker is a worker whose lease has surely run out.
type LostWorker struct {
	Worker, Boot string
}

// ExpireWorkers returns the workers whose leases have run out since the last call. Their present boot is refused from
// now on.
func (r *Lessor) ExpireWorkers(now time.Duration) []LostWorker {
	var lost []LostWorker
	for name, lease := range r.workers {
		if !lease.over && now >= lease.until {
			lease.over = true
			lost = append(lost, LostWorker{Worker: name, Boot: lease.boot})
		}
	}
	return lost
}

// WorkerSilence returns for how long a worker has not polled this leader, and how long from now its lease has surely run
// out if it stays silent. ok is false for a worker without a lease.
func (r *Lessor) WorkerSilence(name string, now time.Duration) (silent, left time.Duration, ok bool) {
	lease := r.workers[name]
	if lease == nil || lease.over {
		return 0, 0, false
	}
	return now - (lease.until - r.workerTerm()), lease.until - now, true
}

// Session identifies this leader towards workers.
func (r *Lessor) Session() uint64 { return r.term }

// WorkerLease returns the lease that is granted with an answer to a poll.
func (r *Lessor) WorkerLease() time.Duration { return r.cfg.WorkerLease }
