package replicator

import "flamingodrift.example/core/wire"

// entryLog holds the entries after base, the last compacted index.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []*wire.Entry
}

func (l *entryLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].GetTerm()
}

// termAt returns the term of the entry at index, and false if the log does not hold it. The term at the base is known.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.base-1].GetTerm(), true
	}
}

func (l *entryLog) append(entry *wire.Entry) { l.entries = append(l.entries, entry) }

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) { l.entries = l.entries[:index-l.base-1] }

func (l *entryLog) reset(base, term uint64) { l.base, l.baseTerm, l.entries = base, term, nil }

// compact removes the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	term, _ := l.termAt(index)
	// A subslice would keep the compacted entries in memory.
	l.entries = append([]*wire.Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

func (l *entryLog) from(index uint64) []*wire.Entry { return l.slice(index, l.lastIndex()) }

// slice returns the entries from first to last, less those that were compacted.
func (l *entryLog) slice(first, last uint64) []*wire.Entry {
	if first <= l.base {
		first = l.base + 1
	}
	if first > last {
		return nil
	}
	return l.entries[first-l.base-1 : last-l.base : last-l.base]
}

// boundedFrom returns the entries from index on, up to maxAppendEntries and maxAppendBytes, but at least one if there
// is any.
func (l *entryLog) boundedFrom(index uint64) []*wire.Entry {
	entries := l.from(index)
	bytes := 0
	for i, entry := range entries {
		bytes += len(entry.GetData())
		if i == maxAppendEntries || (i > 0 && bytes > maxAppendBytes) {
			return entries[:i:i]
		}
	}
	return entries
}
