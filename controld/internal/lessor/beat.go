package lessor

import (
	"sort"
	"time"

	"flamingodrift.example/core/wire"
)

// targetEpoch identifies one ownership of a target in the list that an entry process reports.
type targetEpoch struct {
	target string
	epoch  uint64
}

// Beat handles the heartbeat of an entry process: it renews the lease and returns the targets that the process owns.
// The first heartbeat to a leader must be a full one.
func (l *Lessor) Beat(request *wire.BeatRequest, now time.Duration) *wire.BeatReply {
	reply := &wire.BeatReply{Session: l.term}
	if request.GetSession() != l.term && !request.GetFull() {
		reply.SendFull = true
		return reply
	}
	e := l.entryForBeat(request, now)
	if e == nil {
		return reply
	}
	if request.GetEnded() {
		l.endEntry(e, now)
		return reply
	}
	if l.discoveryEndsAt == 0 {
		l.discoveryEndsAt = max(l.priorLeasesEndAt, now+l.cfg.TargetSilence)
	}
	e.address, e.failureDomain = request.GetAddress(), request.GetFailureDomain()
	e.loads, e.leaving = request.GetLoads(), request.GetLeaving()
	e.expiresAt = now + l.cfg.withDrift(l.cfg.EntryLease)
	l.applyAnnouncements(request, reply, now)
	if !request.GetOwnedUnchanged() {
		l.reconcileOwned(e, request, now)
	}
	l.expireTargets(now)
	l.assign(now)
	reply.LeaseMs = uint32(l.cfg.EntryLease.Milliseconds())
	reply.OwnershipVersion = e.version
	if request.GetSession() != l.term || request.GetOwnershipVersion() != e.version {
		reply.OwnershipChanged = true
		reply.Owned = l.ownedBy(e)
	}
	reply.Peers = l.peersOf(e.name)
	reply.WatchedTargets, reply.StampMs = l.watchedTargets(), uint64(now.Milliseconds())
	return reply
}

// nextEpoch returns the next epoch or version. It is higher than all earlier ones, also those of earlier leaders,
// because the upper 32 bits hold the leader's term.
func (l *Lessor) nextEpoch() uint64 {
	l.epoch++
	return l.term<<32 | l.epoch
}

// applyAnnouncements updates targets with the announcements in a heartbeat.
func (l *Lessor) applyAnnouncements(request *wire.BeatRequest, reply *wire.BeatReply, now time.Duration) {
	builtAt := time.Duration(0)
	if request.GetSession() == l.term {
		builtAt = time.Duration(request.GetStampMs()) * time.Millisecond
	}
	for _, state := range request.GetTargets() {
		l.applyState(state, builtAt, now)
	}
	for _, name := range request.GetRenewed() {
		if t := l.targets[name]; t != nil && !t.silent {
			t.lastSeen = now
		} else {
			reply.UnknownTargets = append(reply.UnknownTargets, name)
		}
	}
	for _, o := range request.GetOwned() {
		if l.targets[o.GetTarget()] == nil && o.GetState() != nil && !o.GetEnded() {
			l.applyState(o.GetState(), builtAt, now)
		}
	}
}

// applyState updates a target with an announcement from a heartbeat that was built at builtAt or later.
func (l *Lessor) applyState(state *wire.TargetState, builtAt, now time.Duration) {
	t := l.targets[state.GetTarget()]
	if t == nil {
		t = &target{firstSeen: now, lastSeen: now - l.cfg.TargetSilence}
		l.targets[state.GetTarget()] = t
	}
	if t.update(state, builtAt, now) {
		l.bumpOwnerVersion(t)
	}
}

// bumpOwnerVersion raises the owner's ownership version, so that the reply to its next heartbeat lists its targets.
func (l *Lessor) bumpOwnerVersion(t *target) {
	if e := l.entries[t.owner]; e != nil {
		e.version = l.nextEpoch()
	}
}

// reconcileOwned compares the targets that an entry process reports with the known owners. It restores ownerships that
// an earlier leader granted, completes releases, and removes former owners that have stopped using a target.
func (l *Lessor) reconcileOwned(e *entry, request *wire.BeatRequest, now time.Duration) {
	reported := make(map[targetEpoch]bool, len(request.GetOwned()))
	for _, o := range request.GetOwned() {
		reported[targetEpoch{o.GetTarget(), o.GetEpoch()}] = true
		if t := l.targets[o.GetTarget()]; t != nil {
			l.restoreOwnership(e, t, o, now)
			l.identifyFormerOwner(e, t, o)
		}
	}
	l.removeStoppedFormerOwners(e, request, reported, now)
	if request.GetSession() != l.term {
		return
	}
	for name, t := range l.targets {
		if t.owner != e.name {
			continue
		}
		listed := reported[targetEpoch{name, t.epoch}]
		switch {
		case t.restored && listed:
			t.restored = false
		case t.restored:
			// The process's lease had ended when it received the reply, so another process may own the target.
			l.unassign(t)
			t.epoch = 0
		case t.releasing && !listed && request.GetOwnershipVersion() >= t.releaseVersion:
			l.unassign(t)
			l.removeIfSilent(name, t)
		}
	}
}

// restoreOwnership restores an ownership that an earlier leader granted. Until the leases of the earlier leader have
// ended, the newest epoch wins, because a process that was paused may report a target that has since been given to
// another process.
func (l *Lessor) restoreOwnership(e *entry, t *target, o *wire.OwnedTarget, now time.Duration) {
	if o.GetEnded() || now >= l.priorLeasesEndAt || o.GetEpoch()>>32 >= l.term || o.GetEpoch() <= t.epoch {
		return
	}
	if t.owner != "" && !t.restored {
		return
	}
	if previous := l.entries[t.owner]; previous != nil {
		t.addFormerOwner(l.newFormerOwner(previous, t.epoch))
		l.unassign(t)
	}
	t.owner, t.epoch, t.restored = e.name, o.GetEpoch(), true
	t.addFormerOwners(o.GetFormerOwners())
	if reserved := int(o.GetReservedSlots()); reserved > len(o.GetFormerOwners()) {
		t.formerRequests, t.formerRequestsSince = reserved, now
	}
	e.owned++
	e.version = l.nextEpoch()
}

// ownedBy returns the targets that an entry process owns and need not release, sorted by name.
func (l *Lessor) ownedBy(e *entry) []*wire.Ownership {
	var owned []*wire.Ownership
	for _, t := range l.targets {
		if t.owner == e.name && !t.releasing {
			owned = append(owned, t.ownership())
		}
	}
	sort.Slice(owned, func(a, b int) bool {
		return owned[a].GetTarget().GetTarget() < owned[b].GetTarget().GetTarget()
	})
	return owned
}

// watchedTargets returns the names of the targets whose announced busy slots determine how many slots are reserved.
func (l *Lessor) watchedTargets() []string {
	var names []string
	for name, t := range l.targets {
		if t.formerRequests > 0 && !t.silent {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
