package lessor

import (
	"slices"
	"sort"
	"time"

	"flamingodrift.example/core/wire"
)

// target is one target that announced itself.
type target struct {
	state    *wire.TargetState
	lastSeen time.Duration
	// firstSeen is when this leader first heard of the target.
	firstSeen time.Duration
	// formerBoot is the boot that the present one replaced; its delayed announcements are ignored.
	formerBoot string
	// silent is set for a target that stopped announcing itself. It is kept while an owner may still use it.
	silent bool

	owner string
	epoch uint64
	// releasing is set while the owner lets requests in progress end before another process takes over. The owner has
	// released when it reports releaseVersion or a later one and no longer lists the target.
	releasing      bool
	releaseVersion uint64
	// claimed is set while the ownership rests on a claim from an earlier leader's time that the process has not
	// reported again since.
	claimed bool

	formers []former
	// foreign bounds the requests of former owners that are still in progress at the target; it counts down with the
	// busy slots announced after foreignFrom.
	foreign     int
	foreignFrom time.Duration
}

// former is an owner whose lease ended without its confirmation; it may still write one request.
type former struct {
	// entry is empty when it is not known which process owned the target under an earlier leader.
	entry, boot string
	epoch       uint64
	// version is the ownership version after which the process can have learned that it lost the target.
	version uint64
}

// addFormer adds a former owner. A process that lost the target twice counts once, with the newer epoch: that is the one
// it lists while it uses the target.
func (t *target) addFormer(f former) {
	for i, other := range t.formers {
		if other.entry == f.entry && other.boot == f.boot {
			if f.epoch > other.epoch {
				t.formers[i] = f
			}
			return
		}
	}
	t.formers = append(t.formers, f)
}

// dropFormers removes former owners and returns how many there were.
func (t *target) dropFormers(drop func(former) bool) int {
	before := len(t.formers)
	t.formers = slices.DeleteFunc(t.formers, drop)
	return before - len(t.formers)
}

// endFormers removes former owners that have ended. What each wrote last may still be in progress at the target.
func (t *target) endFormers(now time.Duration, ended func(former) bool) int {
	count := t.dropFormers(ended)
	if count > 0 {
		t.foreign, t.foreignFrom = min(t.foreign+count, int(t.state.GetSlots())), now
	}
	return count
}

// countForeign treats all slots as used by former owners until the target announces how many are busy.
func (t *target) countForeign(now time.Duration) {
	t.foreign, t.foreignFrom = int(t.state.GetSlots()), now
}

// reserved returns how many slots the owner must leave unused.
func (t *target) reserved() int { return min(t.foreign+len(t.formers), int(t.state.GetSlots())) }

// take replaces the target's state with an announcement from a beat that was built at the given time or later, because a
// beat can be delayed in a cut connection for long. It reports whether the owner must learn of the change.
func (t *target) take(state *wire.TargetState, built, now time.Duration) (changed bool) {
	if t.state != nil && state.GetBoot() == t.formerBoot && t.formerBoot != t.state.GetBoot() {
		return false
	}
	before, old := t.reserved(), t.state
	age := time.Duration(state.GetAgeMs()) * time.Millisecond
	switch {
	case old != nil && old.GetBoot() != state.GetBoot():
		// Requests to the former boot have ended with it.
		t.formerBoot, t.formers, t.foreign = old.GetBoot(), nil, 0
	case old != nil && old.GetLeaving() && !state.GetLeaving():
		// A target that announced that it leaves does so; this announcement is older and came another way.
		state.Leaving = true
	}
	if t.foreign > 0 && built-age >= t.foreignFrom {
		t.foreign = min(t.foreign, int(state.GetBusy()))
	}
	t.state, t.lastSeen, t.silent = state, max(t.lastSeen, now-age), false
	return old == nil || old.GetLeaving() != state.GetLeaving() || old.GetSlots() != state.GetSlots() ||
		old.GetAddress() != state.GetAddress() || old.GetBoot() != state.GetBoot() ||
		old.GetConnections() != state.GetConnections() || old.GetService() != state.GetService() || before != t.reserved()
}

func (t *target) ownership() *wire.Ownership {
	o := &wire.Ownership{Target: t.state, Epoch: t.epoch, ReservedSlots: uint32(t.reserved())}
	for _, f := range t.formers {
		o.FormerOwners = append(o.FormerOwners, &wire.FormerOwner{Entry: f.entry, Boot: f.boot, Epoch: f.epoch})
	}
	return o
}

// Target is what is known of one target, for people.
type Target struct {
	Name, Service, Address, Owner string
	Slots                         uint32
	// Reserved counts the slots that stay unused because of former owners.
	Reserved int
	// FormerOwners names the entry processes that have not confirmed; "unknown" stands for one of an earlier leader.
	FormerOwners []string
	Leaving      bool
}

// Targets lists the targets by name.
func (r *Lessor) Targets() []Target {
	list := make([]Target, 0, len(r.targets))
	for name, t := range r.targets {
		if t.silent {
			continue
		}
		shown := Target{
			Name: name, Service: t.state.GetService(), Address: t.state.GetAddress(), Owner: t.owner,
			Slots: t.state.GetSlots(), Reserved: t.reserved(), Leaving: t.state.GetLeaving(),
		}
		for _, f := range t.formers {
			if f.entry == "" {
				f.entry = UnknownOwner
			}
			shown.FormerOwners = append(shown.FormerOwners, f.entry)
		}
		list = append(list, shown)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Name < list[b].Name })
	return list
}
