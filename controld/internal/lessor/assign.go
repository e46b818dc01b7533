package lessor

import (
	"sort"
	"time"
)

func (r *Lessor) unassign(t *target) {
	if e := r.entries[t.owner]; e != nil {
		e.owned--
		e.version = r.nextEpoch()
	}
	t.owner, t.releasing, t.claimed = "", false, false
}

// release asks the owner to let a target go.
func (r *Lessor) release(t *target) {
	if e := r.entries[t.owner]; e != nil && !t.releasing {
		e.version = r.nextEpoch()
		t.releasing, t.releaseVersion = true, e.version
	}
}

// expire removes silent targets. One that an owner may still use is kept until the owner has let it go.
func (r *Lessor) expire(now time.Duration) {
	for name, t := range r.targets {
		if !t.silent && now-t.lastSeen >= r.cfg.TargetSilence {
			t.silent = true
			r.release(t)
			r.forgetSilent(name, t)
		}
	}
}

func (r *Lessor) forgetSilent(name string, t *target) {
	if t.silent && t.owner == "" && len(t.formers) == 0 {
		delete(r.targets, name)
	}
}

// assign gives targets without an owner to the live entry process that owns fewest, and evens out large differences.
func (r *Lessor) assign(now time.Duration) {
	if now < r.assignableAt {
		return
	}
	live := r.liveEntries()
	if len(live) == 0 {
		return
	}
	for _, name := range r.presentTargets() {
		t := r.targets[name]
		if t.owner != "" {
			continue
		}
		if t.epoch == 0 && !r.neverServed {
			r.assumeFormer(t, now)
		}
		e := fewest(live)
		t.owner, t.epoch = e.name, r.nextEpoch()
		e.owned++
		e.version = r.nextEpoch()
	}
	r.rebalance(live)
}

// assumeFormer handles a target that nobody claimed: it may have had an owner under an earlier leader, which has not
// reported.
func (r *Lessor) assumeFormer(t *target, now time.Duration) {
	t.countForeign(now)
	if t.firstSeen < r.knownUntil {
		t.addFormer(former{})
	}
}

func (r *Lessor) presentTargets() []string {
	names := make([]string, 0, len(r.targets))
	for name, t := range r.targets {
		if !t.silent {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func fewest(live []*entry) *entry {
	best := live[0]
	for _, e := range live[1:] {
		if e.owned < best.owned {
			best = e
		}
	}
	return best
}

// rebalance asks owners with more than their share, and owners that leave, to let targets go.
func (r *Lessor) rebalance(live []*entry) {
	names := r.presentTargets()
	share := (len(names) + len(live) - 1) / len(live)
	releasing := map[string]int{}
	for _, name := range names {
		if t := r.targets[name]; t.releasing {
			releasing[t.owner]++
		}
	}
	for _, name := range names {
		t := r.targets[name]
		e := r.entries[t.owner]
		if e == nil || t.releasing || !e.leaving && e.owned-releasing[t.owner] <= share {
			continue
		}
		r.release(t)
		releasing[t.owner]++
	}
}
