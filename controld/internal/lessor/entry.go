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

func placeholderKey(name, boot string) string { return name + "\x00" + boot }

// entryOf returns the entry process that sent a beat. It returns nil for a beat of an ended boot: boot ids begin with
// the start time in a sortable form.
func (r *Lessor) entryOf(request *wire.BeatRequest, now time.Duration) *entry {
	name, boot := request.GetEntry(), request.GetBoot()
	e := r.entries[name]
	if e != nil && boot < e.boot && now < e.until {
		return nil
	}
	delete(r.entries, placeholderKey(name, boot))
	if e != nil && e.boot != boot {
		// A new boot under the same name proves that the process before it has ended.
		r.loseEntry(e, nil, now)
		r.entries[placeholderKey(name, e.boot)] = &entry{name: name, boot: e.boot, until: now, placeholder: true}
		e = nil
	}
	if e == nil {
		e = &entry{name: name, boot: boot, version: r.nextEpoch()}
		r.entries[name] = e
	}
	return e
}

// Track makes sure that the end of a boot is noticed, although it may never send a beat to this leader.
func (r *Lessor) Track(name, boot string, now time.Duration) {
	if e := r.entries[name]; e != nil && e.boot == boot {
		return
	}
	if key := placeholderKey(name, boot); r.entries[key] == nil {
		r.entries[key] = &entry{name: name, boot: boot, until: now + r.cfg.withDrift(r.cfg.EntryLease), placeholder: true}
	}
}

// loseEntry takes all targets from an entry process. With fence, each target gets a former owner.
func (r *Lessor) loseEntry(e *entry, fence func(*target) former, now time.Duration) {
	for _, t := range r.targets {
		if t.owner != e.name {
			continue
		}
		if fence != nil {
			t.addFormer(fence(t))
		}
		r.unassign(t)
		t.countForeign(now)
	}
}

// end handles the last beat of a process that uses no target any more.
func (r *Lessor) end(e *entry, now time.Duration) {
	for _, t := range r.targets {
		if t.owner == e.name {
			r.unassign(t)
		}
		t.dropFormers(func(f former) bool { return f.entry == e.name && f.boot == e.boot })
	}
	delete(r.entries, e.name)
	r.entries[placeholderKey(e.name, e.boot)] = &entry{name: e.name, boot: e.boot, until: now, placeholder: true}
	r.assign(now)
}

// ExpireEntries returns the boots of entry processes whose leases have run out since the last call.
func (r *Lessor) ExpireEntries(now time.Duration) []EntryBoot {
	var lost []EntryBoot
	for key, e := range r.entries {
		if now < e.until {
			continue
		}
		lost = append(lost, EntryBoot{Entry: e.name, Boot: e.boot})
		if !e.placeholder {
			r.loseEntry(e, func(t *target) former { return r.fence(e, t.epoch) }, now)
		}
		delete(r.entries, key)
	}
	if len(lost) > 0 {
		r.assign(now)
	}
	return lost
}

func (r *Lessor) liveEntries() []*entry {
	var live []*entry
	for _, e := range r.entries {
		if !e.placeholder && !e.leaving {
			live = append(live, e)
		}
	}
	sort.Slice(live, func(a, b int) bool { return live[a].name < live[b].name })
	return live
}

func (r *Lessor) peersOf(name string) []*wire.PeerLoad {
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
func (r *Lessor) EntryCount() int {
	count := 0
	for _, e := range r.entries {
		if !e.placeholder {
			count++
		}
	}
	return count
}
