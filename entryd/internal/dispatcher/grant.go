package dispatcher

import (
	"sort"
	"time"

	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

// Grant is the lease and the targets that a reply of the leader grants.
type Grant struct {
	// Until is the end of the lease on the monotonic clock. A lease is never shortened.
	Until time.Duration
	// Changed is true if Owned replaces the set of targets.
	Changed bool
	Owned   []*wire.Ownership
}

// ApplyGrant applies a grant. Targets that are no longer owned get no new requests; requests in progress continue. The
// set of targets changes before the lease is extended, so that no target is used under a lease that does not cover it.
func (d *Dispatcher) ApplyGrant(g Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if g.Changed {
		d.replace(g.Owned)
	}
	d.leaseUntil = max(d.leaseUntil, g.Until)
	d.dispatchAllWaiting()
}

// LeaseExpired reports whether the lease has ended.
func (d *Dispatcher) LeaseExpired(now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now >= d.leaseUntil
}

func (d *Dispatcher) dispatchAllWaiting() {
	now := d.cfg.Clock.Now()
	for service, q := range d.queues {
		d.dispatchWaiting(service, q, now)
	}
}

func (d *Dispatcher) replace(owned []*wire.Ownership) {
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
			logger.TargetOwned.Log(d.cfg.Logger, "target", name, "epoch", o.GetEpoch())
		}
		t.update(o)
		if boot, announced := d.leaving[name]; announced {
			t.leaving = t.leaving || boot == t.boot
			if boot != t.boot {
				delete(d.leaving, name)
			}
		}
	}
	for name, t := range d.targets {
		if !keep[name] {
			if !t.retired {
				logger.TargetReleased.Log(d.cfg.Logger, "target", name, "requests_in_progress", t.used)
			}
			t.retire()
			d.removeIfUnused(name, t)
		}
	}
	d.rebuildServices()
}

func (d *Dispatcher) removeIfUnused(name string, t *target) {
	if t.retired && t.used == 0 {
		delete(d.targets, name)
	}
}

// MarkLeaving stops new requests to a target that announced its shutdown to this process.
func (d *Dispatcher) MarkLeaving(name, boot string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving[name] = boot
	if t := d.targets[name]; t != nil && t.boot == boot {
		t.leaving = true
	}
}

// Owned lists the targets that this process still uses, for the heartbeat. A retired target stays listed until its last
// request has ended, so that the next owner starts with free slots. A full list includes the states of the targets.
func (d *Dispatcher) Owned(full bool) []*wire.OwnedTarget {
	d.mu.Lock()
	defer d.mu.Unlock()
	leaseExpired := d.cfg.Clock.Now() >= d.leaseUntil
	var owned []*wire.OwnedTarget
	for name, t := range d.targets {
		if d.removeIfUnused(name, t); t.retired && t.used == 0 {
			continue
		}
		o := &wire.OwnedTarget{Target: name, Epoch: t.epoch, Ended: t.retired || leaseExpired && full}
		if full {
			o.State, o.FormerOwners, o.ReservedSlots = t.state, t.formerOwners, uint32(t.reserved)
		}
		owned = append(owned, o)
	}
	sort.Slice(owned, func(a, b int) bool { return owned[a].GetTarget() < owned[b].GetTarget() })
	return owned
}
