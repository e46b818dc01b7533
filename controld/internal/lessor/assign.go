package lessor

import (
	"sort"
	"time"
)

// unassign takes a target from its owner.
func (l *Lessor) unassign(t *target) {
	if e := l.entries[t.owner]; e != nil {
		e.owned--
		e.version = l.nextEpoch()
	}
	t.owner, t.releasing, t.restored = "", false, false
}

// requestRelease asks the owner to release a target.
func (l *Lessor) requestRelease(t *target) {
	if e := l.entries[t.owner]; e != nil && !t.releasing {
		e.version = l.nextEpoch()
		t.releasing, t.releaseVersion = true, e.version
	}
}

// expireTargets removes targets that have been silent too long. A target that an owner may still use is kept until the
// owner has released it.
func (l *Lessor) expireTargets(now time.Duration) {
	for name, t := range l.targets {
		if !t.silent && now-t.lastSeen >= l.cfg.TargetSilence {
			t.silent = true
			l.requestRelease(t)
			l.removeIfSilent(name, t)
		}
	}
}

// removeIfSilent removes a silent target that has neither an owner nor former owners.
func (l *Lessor) removeIfSilent(name string, t *target) {
	if t.silent && t.owner == "" && len(t.formerOwners) == 0 {
		delete(l.targets, name)
	}
}

// assign gives each target without an owner to the live entry process that owns the fewest targets, and rebalances.
func (l *Lessor) assign(now time.Duration) {
	if now < l.priorLeasesEndAt {
		return
	}
	live := l.liveEntries()
	if len(live) == 0 {
		return
	}
	for _, name := range l.liveTargets() {
		t := l.targets[name]
		if t.owner != "" {
			continue
		}
		if t.epoch == 0 && !l.neverServed {
			l.assumeFormerOwner(t, now)
		}
		e := leastTargets(live)
		t.owner, t.epoch = e.name, l.nextEpoch()
		e.owned++
		e.version = l.nextEpoch()
	}
	l.rebalance(live)
}

// assumeFormerOwner prepares a target that no entry process reported for its first owner under this leader. The target
// may have had an owner under an earlier leader that has not sent a heartbeat to this one.
func (l *Lessor) assumeFormerOwner(t *target, now time.Duration) {
	t.assumeAllSlotsUsed(now)
	if t.firstSeen < l.discoveryEndsAt {
		t.addFormerOwner(formerOwner{})
	}
}

// liveTargets returns the names of the targets that are not silent, sorted.
func (l *Lessor) liveTargets() []string {
	names := make([]string, 0, len(l.targets))
	for name, t := range l.targets {
		if !t.silent {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// leastTargets returns the entry process that owns the fewest targets.
func leastTargets(live []*entry) *entry {
	best := live[0]
	for _, e := range live[1:] {
		if e.owned < best.owned {
			best = e
		}
	}
	return best
}

// rebalance asks owners with more targets than an even distribution gives them, and owners that are leaving, to release
// targets.
func (l *Lessor) rebalance(live []*entry) {
	names := l.liveTargets()
	maxPerEntry := (len(names) + len(live) - 1) / len(live)
	releasing := map[string]int{}
	for _, name := range names {
		if t := l.targets[name]; t.releasing {
			releasing[t.owner]++
		}
	}
	for _, name := range names {
		t := l.targets[name]
		e := l.entries[t.owner]
		if e == nil || t.releasing || !e.leaving && e.owned-releasing[t.owner] <= maxPerEntry {
			continue
		}
		l.requestRelease(t)
		releasing[t.owner]++
	}
}
