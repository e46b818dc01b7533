package lessor

import (
	"slices"
	"sort"
	"time"

	"flamingodrift.example/core/wire"
)

// target is a target that has announced itself.
type target struct {
	state    *wire.TargetState
	lastSeen time.Duration
	// firstSeen is when this leader first received an announcement of the target.
	firstSeen time.Duration
	// formerBoot is the boot that the current one replaced. Its delayed announcements are ignored.
	formerBoot string
	// silent is set if the target stopped announcing itself. It is kept as long as an owner may still use it.
	silent bool

	owner string
	epoch uint64
	// releasing is set while the owner finishes its requests before another process becomes the owner. The owner has
	// released the target when it reports releaseVersion or a later version and no longer lists the target.
	releasing      bool
	releaseVersion uint64
	// restored is set while the ownership was granted by an earlier leader and the owner has not yet confirmed it to
	// this leader with a second report.
	restored bool

	formerOwners []formerOwner
	// formerRequests is an upper bound of the requests of former owners that are still in progress at the target. It is
	// lowered to the number of busy slots in announcements that were made after formerRequestsSince.
	formerRequests      int
	formerRequestsSince time.Duration
}

// formerOwner is an owner whose lease ended before it confirmed that it stopped using the target. It may still write
// one request.
type formerOwner struct {
	// entry is empty if it is not known which process owned the target under an earlier leader.
	entry, boot string
	epoch       uint64
	// version is the last ownership version before the process can have learned that it lost the target.
	version uint64
}

// addFormerOwner adds a former owner. A process that lost the target twice is kept once, with the newer epoch, because
// that is the epoch that it reports while it uses the target.
func (t *target) addFormerOwner(f formerOwner) {
	for i, other := range t.formerOwners {
		if other.entry == f.entry && other.boot == f.boot {
			if f.epoch > other.epoch {
				t.formerOwners[i] = f
			}
			return
		}
	}
	t.formerOwners = append(t.formerOwners, f)
}

// removeFormerOwners removes the former owners that match and returns their number.
func (t *target) removeFormerOwners(match func(formerOwner) bool) int {
	before := len(t.formerOwners)
	t.formerOwners = slices.DeleteFunc(t.formerOwners, match)
	return before - len(t.formerOwners)
}

// endFormerOwners removes former owners that have ended and returns their number. The last request of each may still be
// in progress at the target, so it is added to formerRequests.
func (t *target) endFormerOwners(now time.Duration, ended func(formerOwner) bool) int {
	count := t.removeFormerOwners(ended)
	if count > 0 {
		t.formerRequests, t.formerRequestsSince = min(t.formerRequests+count, int(t.state.GetSlots())), now
	}
	return count
}

// assumeAllSlotsUsed treats all slots as used by former owners until the target announces the number of busy slots.
func (t *target) assumeAllSlotsUsed(now time.Duration) {
	t.formerRequests, t.formerRequestsSince = int(t.state.GetSlots()), now
}

// reserved returns the number of slots that the owner must leave unused.
func (t *target) reserved() int {
	return min(t.formerRequests+len(t.formerOwners), int(t.state.GetSlots()))
}

// update replaces the target's state with an announcement from a heartbeat that was built at builtAt or later. The time
// of receipt cannot be used instead, because an interrupted connection can delay a heartbeat for long. It reports
// whether the owner must be told of the change.
func (t *target) update(state *wire.TargetState, builtAt, now time.Duration) (changed bool) {
	if t.state != nil && state.GetBoot() == t.formerBoot && t.formerBoot != t.state.GetBoot() {
		return false
	}
	before, old := t.reserved(), t.state
	age := time.Duration(state.GetAgeMs()) * time.Millisecond
	switch {
	case old != nil && old.GetBoot() != state.GetBoot():
		// Requests to the former boot ended with that process.
		t.formerBoot, t.formerOwners, t.formerRequests = old.GetBoot(), nil, 0
	case old != nil && old.GetLeaving() && !state.GetLeaving():
		// A boot that is leaving never stops leaving, so this announcement is older and arrived through another entry
		// process.
		state.Leaving = true
	}
	if t.formerRequests > 0 && builtAt-age >= t.formerRequestsSince {
		t.formerRequests = min(t.formerRequests, int(state.GetBusy()))
	}
	t.state, t.lastSeen, t.silent = state, max(t.lastSeen, now-age), false
	return old == nil || old.GetLeaving() != state.GetLeaving() || old.GetSlots() != state.GetSlots() ||
		old.GetAddress() != state.GetAddress() || old.GetBoot() != state.GetBoot() ||
		old.GetConnections() != state.GetConnections() || old.GetService() != state.GetService() ||
		before != t.reserved()
}

func (t *target) ownership() *wire.Ownership {
	o := &wire.Ownership{Target: t.state, Epoch: t.epoch, ReservedSlots: uint32(t.reserved())}
	for _, f := range t.formerOwners {
		o.FormerOwners = append(o.FormerOwners, &wire.FormerOwner{Entry: f.entry, Boot: f.boot, Epoch: f.epoch})
	}
	return o
}

// Target describes one target for operators.
type Target struct {
	Name, Service, Address, Owner string
	Slots                         uint32
	// Reserved is the number of slots that stay unused because of former owners.
	Reserved int
	// FormerOwners lists the entry processes that have not confirmed that they stopped using the target. UnknownOwner
	// stands for an unknown owner under an earlier leader.
	FormerOwners []string
	Leaving      bool
}

// Targets returns the targets that are not silent, sorted by name.
func (l *Lessor) Targets() []Target {
	list := make([]Target, 0, len(l.targets))
	for name, t := range l.targets {
		if t.silent {
			continue
		}
		view := Target{
			Name: name, Service: t.state.GetService(), Address: t.state.GetAddress(), Owner: t.owner,
			Slots: t.state.GetSlots(), Reserved: t.reserved(), Leaving: t.state.GetLeaving(),
		}
		for _, f := range t.formerOwners {
			if f.entry == "" {
				f.entry = UnknownOwner
			}
			view.FormerOwners = append(view.FormerOwners, f.entry)
		}
		list = append(list, view)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Name < list[b].Name })
	return list
}
