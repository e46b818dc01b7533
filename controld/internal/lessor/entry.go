package lessor

import (
	"sort"
	"time"

	"flamingodrift.example/core/wire"
)

// EntryBoot is one boot of an entry process.
type EntryBoot struct {
	Entry, Boot string
}

// entry is the lease of one entry process.
type entry struct {
	name, boot    string
	address       string
	failureDomain string
	expiresAt     time.Duration
	loads         []*wire.ServiceLoad
	// owned is the number of targets that the process owns.
	owned   int
	leaving bool
	// placeholder is set for a boot that has no lease of this leader but whose end must still be reported: one that may
	// have a lease of an earlier leader, or whose lease was ended early.
	placeholder bool
	// version is the ownership version. It is raised with every change of the targets that the process owns.
	version uint64
}

// placeholderKey returns the key of a placeholder in Lessor.entries. Other entries are stored under their name.
func placeholderKey(name, boot string) string { return name + "\x00" + boot }

// entryForBeat returns the entry process that sent a heartbeat, and creates it if it is new. It returns nil for a
// heartbeat of an older boot than the one with a lease. Boot ids sort by start time.
func (l *Lessor) entryForBeat(request *wire.BeatRequest, now time.Duration) *entry {
	name, boot := request.GetEntry(), request.GetBoot()
	e := l.entries[name]
	if e != nil && boot < e.boot && now < e.expiresAt {
		return nil
	}
	delete(l.entries, placeholderKey(name, boot))
	if e != nil && e.boot != boot {
		// A new boot under the same name proves that the previous process has ended.
		l.unassignAll(e, nil, now)
		l.entries[placeholderKey(name, e.boot)] = &entry{name: name, boot: e.boot, expiresAt: now, placeholder: true}
		e = nil
	}
	if e == nil {
		e = &entry{name: name, boot: boot, version: l.nextEpoch()}
		l.entries[name] = e
	}
	return e
}

// Track ensures that ExpireEntries reports a boot even if it never sends a heartbeat to this leader.
func (l *Lessor) Track(name, boot string, now time.Duration) {
	if e := l.entries[name]; e != nil && e.boot == boot {
		return
	}
	if key := placeholderKey(name, boot); l.entries[key] == nil {
		l.entries[key] = &entry{
			name: name, boot: boot, expiresAt: now + l.cfg.withDrift(l.cfg.EntryLease), placeholder: true,
		}
	}
}

// unassignAll takes all targets from an entry process. If newFormerOwner is not nil, its result is added to each
// target.
func (l *Lessor) unassignAll(e *entry, newFormerOwner func(*target) formerOwner, now time.Duration) {
	for _, t := range l.targets {
		if t.owner != e.name {
			continue
		}
		if newFormerOwner != nil {
			t.addFormerOwner(newFormerOwner(t))
		}
		l.unassign(t)
		t.assumeAllSlotsUsed(now)
	}
}

// endEntry handles the last heartbeat of an entry process that no longer uses any target.
func (l *Lessor) endEntry(e *entry, now time.Duration) {
	for _, t := range l.targets {
		if t.owner == e.name {
			l.unassign(t)
		}
		t.removeFormerOwners(func(f formerOwner) bool { return f.entry == e.name && f.boot == e.boot })
	}
	delete(l.entries, e.name)
	l.entries[placeholderKey(e.name, e.boot)] = &entry{name: e.name, boot: e.boot, expiresAt: now, placeholder: true}
	l.assign(now)
}

// ExpireEntries returns the boots of entry processes whose leases have expired since the last call, and assigns their
// targets to other processes.
func (l *Lessor) ExpireEntries(now time.Duration) []EntryBoot {
	var lost []EntryBoot
	for key, e := range l.entries {
		if now < e.expiresAt {
			continue
		}
		lost = append(lost, EntryBoot{Entry: e.name, Boot: e.boot})
		if !e.placeholder {
			l.unassignAll(e, func(t *target) formerOwner { return l.newFormerOwner(e, t.epoch) }, now)
		}
		delete(l.entries, key)
	}
	if len(lost) > 0 {
		l.assign(now)
	}
	return lost
}

// liveEntries returns the entry processes that can own targets, sorted by name.
func (l *Lessor) liveEntries() []*entry {
	var live []*entry
	for _, e := range l.entries {
		if !e.placeholder && !e.leaving {
			live = append(live, e)
		}
	}
	sort.Slice(live, func(a, b int) bool { return live[a].name < live[b].name })
	return live
}

// peersOf returns the loads of the other live entry processes, sorted by name.
func (l *Lessor) peersOf(name string) []*wire.PeerLoad {
	var peers []*wire.PeerLoad
	for _, e := range l.entries {
		if e.name != name && !e.placeholder && !e.leaving {
			peers = append(peers, &wire.PeerLoad{Entry: e.name, Address: e.address, Loads: e.loads})
		}
	}
	sort.Slice(peers, func(a, b int) bool { return peers[a].GetEntry() < peers[b].GetEntry() })
	return peers
}

// EntryCount returns the number of entry processes that have a lease.
func (l *Lessor) EntryCount() int {
	count := 0
	for _, e := range l.entries {
		if !e.placeholder {
			count++
		}
	}
	return count
}
