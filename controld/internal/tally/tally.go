// Package tally remembers, on the leader only, what went wrong since it leads: refusals by reason, and entry processes
// that stopped reporting.
package tally

import (
	"sort"

	"flamingodrift.example/core/reason"
)

// Tally is owned by the control thread. A new leader starts an empty one.
type Tally struct {
	sinceUnixMs int64
	refusals    map[reason.Reason]uint64
	silent      map[string]int64
	leaving     map[string]bool
}

// New returns an empty Tally. nowUnixMs is the wall-clock time of the election, for people.
func New(nowUnixMs int64) *Tally {
	return &Tally{
		sinceUnixMs: nowUnixMs, refusals: map[reason.Reason]uint64{}, silent: map[string]int64{}, leaving: map[string]bool{},
	}
}

// SinceUnixMs returns when counting began.
func (t *Tally) SinceUnixMs() int64 { return t.sinceUnixMs }

// Refused counts a refusal.
func (t *Tally) Refused(r reason.Reason) { t.refusals[r]++ }

// EntryReported notes a heartbeat of an entry process; leaving is true when it shuts down.
func (t *Tally) EntryReported(name string, leaving bool) {
	delete(t.silent, name)
	delete(t.leaving, name)
	if leaving {
		t.leaving[name] = true
	}
}

// EntryLost notes that the lease of an entry process ran out. One that shut down in an orderly way is no problem.
func (t *Tally) EntryLost(name string, nowUnixMs int64) {
	if !t.leaving[name] {
		t.silent[name] = nowUnixMs
	}
	delete(t.leaving, name)
}

// Count is the number of refusals for one reason.
type Count struct {
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// Refusals lists the counts, the highest first.
func (t *Tally) Refusals() []Count {
	counts := make([]Count, 0, len(t.refusals))
	for r, n := range t.refusals {
		counts = append(counts, Count{Reason: r.String(), Count: n})
	}
	sort.Slice(counts, func(a, b int) bool {
		if counts[a].Count != counts[b].Count {
			return counts[a].Count > counts[b].Count
		}
		return counts[a].Reason < counts[b].Reason
	})
	return counts
}

// SilentEntry is an entry process that stopped reporting.
type SilentEntry struct {
	Name        string
	SinceUnixMs int64
}

// SilentEntries lists the entry processes whose leases ran out and that have not reported again, by name.
func (t *Tally) SilentEntries() []SilentEntry {
	list := make([]SilentEntry, 0, len(t.silent))
	for name, since := range t.silent {
		list = append(list, SilentEntry{Name: name, SinceUnixMs: since})
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Name < list[b].Name })
	return list
}
