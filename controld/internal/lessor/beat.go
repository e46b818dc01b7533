package lessor

import (
	"sort"
	"time"

	"flamingodrift.example/core/wire"
)

// holding is a target that an entry process lists at an epoch.
type holding struct {
	target string
	epoch  uint64
}

// Beat renews the lease of an entry process and returns what it owns. The first beat to a leader must be a full one.
func (r *Lessor) Beat(request *wire.BeatRequest, now time.Duration) *wire.BeatReply {
	reply := &wire.BeatReply{Session: r.term}
	if request.GetSession() != r.term && !request.GetFull() {
		reply.SendFull = true
		return reply
	}
	e := r.entryOf(request, now)
	if e == nil {
		return reply
	}
	if request.GetEnded() {
		r.end(e, now)
		return reply
	}
	if r.knownUntil == 0 {
		r.knownUntil = max(r.assignableAt, now+r.cfg.TargetSilence)
	}
	e.address, e.failureDomain = request.GetAddress(), request.GetFailureDomain()
	e.loads, e.leaving = request.GetLoads(), request.GetLeaving()
	e.until = now + r.cfg.withDrift(r.cfg.EntryLease)
	r.takeAnnouncements(request, reply, now)
	if !request.GetOwnedUnchanged() {
		r.takeHoldings(e, request, now)
	}
	r.expire(now)
	r.assign(now)
	reply.LeaseMs = uint32(r.cfg.EntryLease.Milliseconds())
	reply.OwnershipVersion = e.version
	if request.GetSession() != r.term || request.GetOwnershipVersion() != e.version {
		reply.OwnershipChanged = true
		reply.Owned = r.ownedBy(e)
	}
	reply.Peers = r.peersOf(e.name)
	reply.WatchedTargets, reply.StampMs = r.watched(), uint64(now.Milliseconds())
	return reply
}

// nextEpoch returns a number that is higher than any of an earlier leader's.
func (r *Lessor) nextEpoch() uint64 {
	r.epoch++
	return r.term<<32 | r.epoch
}

func (r *Lessor) takeAnnouncements(request *wire.BeatRequest, reply *wire.BeatReply, now time.Duration) {
	built := time.Duration(0)
	if request.GetSession() == r.term {
		built = time.Duration(request.GetStampMs()) * time.Millisecond
	}
	for _, state := range request.GetTargets() {
		r.takeState(state, built, now)
	}
	for _, name := range request.GetRenewed() {
		if t := r.targets[name]; t != nil && !t.silent {
			t.lastSeen = now
		} else {
			reply.UnknownTargets = append(reply.UnknownTargets, name)
		}
	}
	for _, o := range request.GetOwned() {
		if r.targets[o.GetTarget()] == nil && o.GetState() != nil && !o.GetEnded() {
			r.takeState(o.GetState(), built, now)
		}
	}
}

// takeState takes an announcement from a beat that was built at the given time or later.
func (r *Lessor) takeState(state *wire.TargetState, built, now time.Duration) {
	t := r.targets[state.GetTarget()]
	if t == nil {
		t = &target{firstSeen: now, lastSeen: now - r.cfg.TargetSilence}
		r.targets[state.GetTarget()] = t
	}
	if t.take(state, built, now) {
		r.touchOwner(t)
	}
}

func (r *Lessor) touchOwner(t *target) {
	if e := r.entries[t.owner]; e != nil {
		e.version = r.nextEpoch()
	}
}

// takeHoldings compares what a process lists with what is known: claims from an earlier leader's time, targets that it
// has released, and former owners that have stopped.
func (r *Lessor) takeHoldings(e *entry, request *wire.BeatRequest, now time.Duration) {
	held := make(map[holding]bool, len(request.GetOwned()))
	for _, o := range request.GetOwned() {
		held[holding{o.GetTarget(), o.GetEpoch()}] = true
		if t := r.targets[o.GetTarget()]; t != nil {
			r.takeClaim(e, t, o, now)
			r.recognise(e, t, o)
		}
	}
	r.confirmFormers(e, request, held, now)
	if request.GetSession() != r.term {
		return
	}
	for name, t := range r.targets {
		if t.owner != e.name {
			continue
		}
		listed := held[holding{name, t.epoch}]
		switch {
		case t.claimed && listed:
			t.claimed = false
		case t.claimed:
			// The lease of the process had ended when the reply arrived, so another one may hold the target.
			r.unassign(t)
			t.epoch = 0
		case t.releasing && !listed && request.GetOwnershipVersion() >= t.releaseVersion:
			r.unassign(t)
			r.forgetSilent(name, t)
		}
	}
}

// takeClaim accepts a target that the process got from an earlier leader. Until the first entry lease has passed, the
// newest epoch wins: a process that was paused may claim a target that another one got after it.
func (r *Lessor) takeClaim(e *entry, t *target, o *wire.OwnedTarget, now time.Duration) {
	if o.GetEnded() || now >= r.assignableAt || o.GetEpoch()>>32 >= r.term || o.GetEpoch() <= t.epoch {
		return
	}
	if t.owner != "" && !t.claimed {
		return
	}
	if former := r.entries[t.owner]; former != nil {
		t.addFormer(r.fence(former, t.epoch))
		r.unassign(t)
	}
	t.owner, t.epoch, t.claimed = e.name, o.GetEpoch(), true
	t.addFormers(o.GetFormerOwners())
	if reserved := int(o.GetReservedSlots()); reserved > len(o.GetFormerOwners()) {
		t.foreign, t.foreignFrom = reserved, now
	}
	e.owned++
	e.version = r.nextEpoch()
}

func (r *Lessor) ownedBy(e *entry) []*wire.Ownership {
	var owned []*wire.Ownership
	for _, t := range r.targets {
		if t.owner == e.name && !t.releasing {
			owned = append(owned, t.ownership())
		}
	}
	sort.Slice(owned, func(a, b int) bool { return owned[a].GetTarget().GetTarget() < owned[b].GetTarget().GetTarget() })
	return owned
}

// watched lists the targets whose busy slots decide how much is reserved.
func (r *Lessor) watched() []string {
	var names []string
	for name, t := range r.targets {
		if t.foreign > 0 && !t.silent {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
