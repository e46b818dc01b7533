// Package dispatcher owns the slots and connections of the targets that this entry process was given, and sends requests
// to them.
package dispatcher

import (
	"sync"
	"time"

	"flamingodrift.example/entryd/internal/router"

	"flamingodrift.example/core/clock"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Config holds what a Dispatcher needs.
type Config struct {
	Clock clock.Clock
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	cfg Config

	mu         sync.Mutex
	targets    map[string]*target
	services   map[string][]*target
	queues     map[string]*queue
	leaseUntil time.Duration
}

// New returns a Dispatcher without targets.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, targets: map[string]*target{}, services: map[string][]*target{}, queues: map[string]*queue{}}
}

// Renew extends the lease on all owned targets. It never shortens it.
func (d *Dispatcher) Renew(until time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaseUntil = max(d.leaseUntil, until)
}

// Update replaces the set of owned targets. Targets that are gone get no new request; requests in progress go on.
func (d *Dispatcher) Update(owned []*wire.Ownership) {
	d.mu.Lock()
	defer d.mu.Unlock()
	keep := make(map[string]bool, len(owned))
	for _, o := range owned {
		name := o.GetTarget().GetTarget()
		keep[name] = true
		t := d.targets[name]
		if t == nil || t.replacedBy(o) {
			if t != nil {
				t.retire()
			}
			t = newTarget(o)
			d.targets[name] = t
		}
		t.update(o)
	}
	for name, t := range d.targets {
		if !keep[name] {
			t.retire()
			if t.used == 0 {
				delete(d.targets, name)
			}
		}
	}
	d.rebuild()
	for service, q := range d.queues {
		d.wake(service, q)
	}
}

func (d *Dispatcher) rebuild() {
	d.services = map[string][]*target{}
	for _, t := range d.targets {
		if !t.retired {
			d.services[t.service] = append(d.services[t.service], t)
		}
	}
}

// Owned lists the targets that this process still uses, for the beat. A retired target stays listed until its last
// request has ended, so that the next owner starts with free slots.
func (d *Dispatcher) Owned() []*wire.OwnedTarget {
	d.mu.Lock()
	defer d.mu.Unlock()
	var owned []*wire.OwnedTarget
	for name, t := range d.targets {
		if t.retired && t.used == 0 {
			delete(d.targets, name)
			continue
		}
		owned = append(owned, &wire.OwnedTarget{Target: name, Epoch: t.epoch})
	}
	return owned
}

// Loads returns the free slots and the queue of each service.
func (d *Dispatcher) Loads() []*wire.ServiceLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	var loads []*wire.ServiceLoad
	for service, targets := range d.services {
		load := &wire.ServiceLoad{Service: service}
		for _, t := range targets {
			load.FreeSlots += uint32(max(t.limit()-t.used, 0))
		}
		if q := d.queues[service]; q != nil {
			load.Queued = uint32(len(q.waiting))
		}
		loads = append(loads, load)
	}
	return loads
}

// Busy returns the number of requests in progress.
func (d *Dispatcher) Busy() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	busy := 0
	for _, t := range d.targets {
		busy += t.used
	}
	return busy
}

// Acquire takes a free slot of the service now, or says why there is none.
func (d *Dispatcher) Acquire(service string, now time.Duration) (*Slot, reason.Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
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
		candidates[i] = router.Candidate{Used: t.used, Limit: t.limit(), Weight: t.weight(now)}
	}
	at := router.Choose(candidates)
	if at < 0 {
		return nil, reason.NoFreeSlot
	}
	t := targets[at]
	t.used++
	return &Slot{dispatcher: d, target: t}, reason.None
}

// release gives a slot back and hands it to the first waiting request.
func (d *Dispatcher) release(t *target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t.used--
	if q := d.queues[t.service]; q != nil {
		d.wake(t.service, q)
	}
}
