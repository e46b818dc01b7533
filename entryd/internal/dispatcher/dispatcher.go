// Package dispatcher manages the slots and connections of the targets that this entry process owns, and sends requests
// to them.
package dispatcher

import (
	"log/slog"
	"sort"
	"sync"
	"time"

	"flamingodrift.example/entryd/internal/router"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Clock reads the monotonic time in which leases are measured.
type Clock interface {
	Now() time.Duration
}

// Config configures a Dispatcher.
type Config struct {
	Clock Clock
	// Logger receives events about targets; nil discards them.
	Logger *slog.Logger
}

// Dispatcher assigns slots of the owned targets to requests. It is safe for concurrent use.
type Dispatcher struct {
	cfg Config

	mu         sync.Mutex
	targets    map[string]*target
	services   map[string][]*target
	queues     map[string]*queue
	leaseUntil time.Duration
	busy       int
	lastOrder  uint64
	// leaving maps a target to the boot, the id of its incarnation, that announced its shutdown to this process. The
	// leader's state may be older.
	leaving map[string]string
}

// New returns a Dispatcher without targets.
func New(cfg Config) *Dispatcher {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	return &Dispatcher{
		cfg: cfg, targets: map[string]*target{}, services: map[string][]*target{}, queues: map[string]*queue{},
		leaving: map[string]string{},
	}
}

// rebuildServices groups the targets by service, sorted by name.
func (d *Dispatcher) rebuildServices() {
	d.services = map[string][]*target{}
	for _, t := range d.targets {
		if !t.retired {
			d.services[t.service] = append(d.services[t.service], t)
		}
	}
	for _, targets := range d.services {
		sort.Slice(targets, func(a, b int) bool { return targets[a].name < targets[b].name })
	}
}

// Loads returns the free slots and the queue length of each service. Slots of targets that get only probes do not
// count, because a request from a peer would not get them.
func (d *Dispatcher) Loads() []*wire.ServiceLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	var loads []*wire.ServiceLoad
	for service, targets := range d.services {
		load := &wire.ServiceLoad{Service: service, FreeSlots: freeSlots(targets)}
		if q := d.queues[service]; q != nil {
			load.Queued = uint32(len(q.waiting))
		}
		loads = append(loads, load)
	}
	sort.Slice(loads, func(a, b int) bool { return loads[a].GetService() < loads[b].GetService() })
	return loads
}

// FreeSlots returns the free slots of one service, counted as in Loads.
func (d *Dispatcher) FreeSlots(service string) uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return freeSlots(d.services[service])
}

func freeSlots(targets []*target) uint32 {
	free := 0
	for _, t := range targets {
		if t.weight() > 0 {
			free += max(t.limit()-t.used, 0)
		}
	}
	return uint32(free)
}

// Busy returns the number of requests in progress.
func (d *Dispatcher) Busy() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.busy
}

// Acquire takes a free slot of the service without waiting, or returns the reason why there is none. It does not
// overtake queued requests.
func (d *Dispatcher) Acquire(service string, now time.Duration) (*Slot, reason.Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if q := d.queues[service]; q != nil {
		if d.dispatchWaiting(service, q, now); len(q.waiting) > 0 {
			return nil, reason.NoFreeSlot
		}
	}
	return d.acquire(service, now)
}

func (d *Dispatcher) acquire(service string, now time.Duration) (*Slot, reason.Reason) {
	targets := d.services[service]
	switch {
	case len(targets) == 0:
		return nil, reason.NoTarget
	case now >= d.leaseUntil:
		return nil, reason.LeaseEnded
	}
	candidates := make([]router.Candidate, len(targets))
	for i, t := range targets {
		candidates[i] = router.Candidate{Used: t.used, Limit: t.limit(), Weight: t.weight(), Probe: t.probeDue(now)}
	}
	at := router.Choose(candidates)
	if at < 0 {
		return nil, reason.NoFreeSlot
	}
	t := targets[at]
	t.used++
	d.busy++
	t.scheduleProbe(now)
	return &Slot{dispatcher: d, target: t}, reason.None
}

// release frees a slot of the target and passes it to the first queued request.
func (d *Dispatcher) release(t *target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.used--
	d.busy--
	if q := d.queues[t.service]; q != nil {
		d.dispatchWaiting(t.service, q, d.cfg.Clock.Now())
	}
}
