package registrar

import (
	"sort"
	"time"

	"flamingodrift.example/core/wire"
)

// Holder is one boot of an entry process.
type Holder struct {
	Entry, Boot string
}

// entry is one entry process with a lease.
type entry struct {
	name, boot    string
	address       string
	failureDomain string
	until         time.Duration
	loads         []*wire.ServiceLoad
	owned         int
	leaving       bool
	// placeholder stands for a boot that has not sent a beat to this leader but may hold leases of an earlier one.
	placeholder bool
	// version counts changes of what the process owns.
	version uint64
}

// target is one target that announced itself.
type target struct {
	state    *wire.TargetState
	lastSeen time.Duration
	owner    string
	epoch    uint64
	// releasing is set while the owner lets requests in progress end before another process takes over.
	releasing bool
	// fenced is the entry process that may have one write in flight; its slot stays reserved until it reports again.
	fenced     string
	fencedBoot string
}

// Beat renews the lease of an entry process and returns what it owns.
func (r *Registrar) Beat(request *wire.BeatRequest, now time.Duration) *wire.BeatReply {
	e := r.entryOf(request)
	e.address, e.failureDomain = request.GetAddress(), request.GetFailureDomain()
	e.loads, e.leaving = request.GetLoads(), request.GetLeaving()
	e.until = now + r.cfg.withDrift(r.cfg.EntryLease)
	reply := &wire.BeatReply{LeaseMs: uint32(r.cfg.EntryLease.Milliseconds())}
	r.takeAnnouncements(request, reply, now)
	r.takeClaims(e, request)
	r.expire(now)
	r.assign(now)
	reply.OwnershipVersion = e.version
	if request.GetOwnershipVersion() != e.version {
		reply.OwnershipChanged = true
		reply.Owned = r.ownedBy(e)
	}
	reply.Peers = r.peersOf(e.name)
	return reply
}

func (r *Registrar) entryOf(request *wire.BeatRequest) *entry {
	name := request.GetEntry()
	delete(r.entries, name+"\x00"+request.GetBoot())
	e := r.entries[name]
	if e != nil && e.boot != request.GetBoot() {
		// A new boot under the same name proves that the process before it has ended.
		r.loseEntry(e, false)
		e = nil
	}
	if e == nil {
		r.epoch++
		e = &entry{name: name, boot: request.GetBoot(), version: r.nextEpoch()}
		r.entries[name] = e
	}
	for _, t := range r.targets {
		if t.fenced == name {
			// It reports again, so it knows that its lease ended, or it is a new process.
			t.fenced, t.fencedBoot = "", ""
			r.touchOwner(t)
		}
	}
	return e
}

// nextEpoch returns a number that is higher than any of an earlier leader's.
func (r *Registrar) nextEpoch() uint64 {
	r.epoch++
	return r.term<<32 | r.epoch
}

func (r *Registrar) takeAnnouncements(request *wire.BeatRequest, reply *wire.BeatReply, now time.Duration) {
	for _, state := range request.GetTargets() {
		t := r.targets[state.GetTarget()]
		if t == nil {
			t = &target{}
			r.targets[state.GetTarget()] = t
		}
		changed := t.state == nil || t.state.GetLeaving() != state.GetLeaving() || t.state.GetSlots() != state.GetSlots() ||
			t.state.GetAddress() != state.GetAddress() || t.state.GetBoot() != state.GetBoot()
		t.state, t.lastSeen = state, now
		if changed {
			r.touchOwner(t)
		}
	}
	for _, name := range request.GetRenewed() {
		if t := r.targets[name]; t != nil {
			t.lastSeen = now
		} else {
			reply.UnknownTargets = append(reply.UnknownTargets, name)
		}
	}
}

func (r *Registrar) touchOwner(t *target) {
	if e := r.entries[t.owner]; e != nil {
		e.version = r.nextEpoch()
	}
}

// takeClaims accepts targets that the process got from an earlier leader, and notices those it has let go.
func (r *Registrar) takeClaims(e *entry, request *wire.BeatRequest) {
	held := make(map[string]uint64, len(request.GetOwned()))
	for _, o := range request.GetOwned() {
		held[o.GetTarget()] = o.GetEpoch()
		t := r.targets[o.GetTarget()]
		if t != nil && t.owner == "" && t.epoch == 0 {
			t.owner, t.epoch = e.name, o.GetEpoch()
			e.owned++
			e.version = r.nextEpoch()
		}
	}
	for name, t := range r.targets {
		if t.owner == e.name && t.releasing && held[name] != t.epoch {
			r.unassign(t)
		}
	}
}

func (r *Registrar) unassign(t *target) {
	if e := r.entries[t.owner]; e != nil {
		e.owned--
		e.version = r.nextEpoch()
	}
	t.owner, t.releasing = "", false
}

// loseEntry takes all targets from an entry process. fence is true when the process may still be running.
func (r *Registrar) loseEntry(e *entry, fence bool) {
	for _, t := range r.targets {
		if t.owner != e.name {
			continue
		}
		r.unassign(t)
		if fence {
			t.fenced, t.fencedBoot = e.name, e.boot
		}
	}
}

func (r *Registrar) expire(now time.Duration) {
	for name, t := range r.targets {
		if now-t.lastSeen < r.cfg.TargetSilence {
			continue
		}
		r.unassign(t)
		delete(r.targets, name)
	}
}

// ExpireEntries returns the boots of entry processes whose leases have run out since the last call.
func (r *Registrar) ExpireEntries(now time.Duration) []Holder {
	var lost []Holder
	for key, e := range r.entries {
		if now < e.until {
			continue
		}
		lost = append(lost, Holder{Entry: e.name, Boot: e.boot})
		if !e.placeholder {
			r.loseEntry(e, true)
		}
		delete(r.entries, key)
	}
	if len(lost) > 0 {
		r.assign(now)
	}
	return lost
}

// assign gives targets without an owner to the live entry process that owns fewest, and evens out large differences.
func (r *Registrar) assign(now time.Duration) {
	if now < r.assignableAt {
		return
	}
	live := r.liveEntries()
	if len(live) == 0 {
		return
	}
	names := make([]string, 0, len(r.targets))
	for name, t := range r.targets {
		if t.owner == "" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		t := r.targets[name]
		e := fewest(live)
		t.owner, t.epoch = e.name, r.nextEpoch()
		e.owned++
		e.version = r.nextEpoch()
	}
	r.rebalance(live)
}

func (r *Registrar) liveEntries() []*entry {
	var live []*entry
	for _, e := range r.entries {
		if !e.placeholder && !e.leaving {
			live = append(live, e)
		}
	}
	sort.Slice(live, func(a, b int) bool { return live[a].name < live[b].name })
	return live
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
func (r *Registrar) rebalance(live []*entry) {
	share := (len(r.targets) + len(live) - 1) / len(live)
	releasing := map[string]int{}
	names := make([]string, 0, len(r.targets))
	for name, t := range r.targets {
		names = append(names, name)
		if t.releasing {
			releasing[t.owner]++
		}
	}
	sort.Strings(names)
	for _, name := range names {
		t := r.targets[name]
		e := r.entries[t.owner]
		if e == nil || t.releasing {
			continue
		}
		if e.leaving || e.owned-releasing[t.owner] > share {
			t.releasing = true
			releasing[t.owner]++
			e.version = r.nextEpoch()
		}
	}
}

func (r *Registrar) ownedBy(e *entry) []*wire.Ownership {
	var owned []*wire.Ownership
	for _, t := range r.targets {
		if t.owner != e.name || t.releasing {
			continue
		}
		o := &wire.Ownership{Target: t.state, Epoch: t.epoch}
		if t.fenced != "" {
			o.ReservedSlots = 1
		}
		owned = append(owned, o)
	}
	sort.Slice(owned, func(a, b int) bool { return owned[a].GetTarget().GetTarget() < owned[b].GetTarget().GetTarget() })
	return owned
}

func (r *Registrar) peersOf(name string) []*wire.PeerLoad {
	var peers []*wire.PeerLoad
	for _, e := range r.entries {
		if e.name != name && !e.placeholder && !e.leaving {
			peers = append(peers, &wire.PeerLoad{Entry: e.name, Address: e.address, Loads: e.loads})
		}
	}
	sort.Slice(peers, func(a, b int) bool { return peers[a].GetEntry() < peers[b].GetEntry() })
	return peers
}

// EntryCount returns how many entry processes hold a lease.
func (r *Registrar) EntryCount() int {
	count := 0
	for _, e := range r.entries {
		if !e.placeholder {
			count++
		}
	}
	return count
}

// Target is what is known of one target, for people.
type Target struct {
	Name, Service, Address, Owner string
	Slots                         uint32
	Leaving                       bool
}

// Targets lists the targets by name.
func (r *Registrar) Targets() []Target {
	list := make([]Target, 0, len(r.targets))
	for name, t := range r.targets {
		list = append(list, Target{
			Name: name, Service: t.state.GetService(), Address: t.state.GetAddress(), Owner: t.owner,
			Slots: t.state.GetSlots(), Leaving: t.state.GetLeaving(),
		})
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Name < list[b].Name })
	return list
}
