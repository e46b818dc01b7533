// Package tally counts refusals by reason and tracks the entry processes that stopped reporting. It is kept by the
// leader alone, from its election on.
package tally

import (
	"sort"

	"flamingodrift.example/core/reason"
)

// Tally is used by the control goroutine only. A new leader starts with an empty one.
type Tally struct {
	sinceUnixMs int64
	refusals    map[reason.Reason]uint64
	// silent maps the name of a silent entry process to the wall-clock time at which its lease expired.
	silent  map[string]int64
	leaving map[string]bool
}

// New returns an empty Tally. nowUnixMs is the wall-clock time of the election, for display only.
func New(nowUnixMs int64) *Tally {
	return &Tally{
		sinceUnixMs: nowUnixMs, refusals: map[reason.Reason]uint64{}, silent: map[string]int64{},
		leaving: map[string]bool{},
	}
}

// SinceUnixMs returns the wall-clock time at which counting began.
func (t *Tally) SinceUnixMs() int64 { return t.sinceUnixMs }

// Refused counts one refusal for a reason.
func (t *Tally) Refused(r reason.Reason) { t.refusals[r]++ }

// EntryReported records a heartbeat of an entry process; leaving is true if the process is shutting down.
func (t *Tally) EntryReported(name string, leaving bool) {
	delete(t.silent, name)
	delete(t.leaving, name)
	if leaving {
		t.leaving[name] = true
	}
}

// EntryLost records that the lease of an entry process expired. A process that had announced its shutdown does not
// become silent.
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

// Refusals returns the counts in descending order; reasons with equal counts are sorted by name.
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

// SilentEntries returns the entry processes whose leases expired and that have not reported since, sorted by name.
func (t *Tally) SilentEntries() []SilentEntry {
	entries := make([]SilentEntry, 0, len(t.silent))
	for name, since := range t.silent {
		entries = append(entries, SilentEntry{Name: name, SinceUnixMs: since})
	}
	sort.Slice(entries, func(a, b int) bool { return entries[a].Name < entries[b].Name })
	return entries
}
