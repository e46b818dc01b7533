package store

import (
	"fmt"

	"flamingodrift.example/core/journal"
	"flamingodrift.example/core/replicator"
	"flamingodrift.example/core/wire"
)

// logReader collects the entries of a journal.
type logReader struct {
	// snapshot is the index of the stored snapshot.
	snapshot uint64
	// base and baseTerm are where the journal starts.
	base, baseTerm uint64
	entries        []*wire.Entry
	hard           *wire.HardState
}

func (l *logReader) add(record *wire.JournalRecord) error {
	switch body := record.GetBody().(type) {
	case *wire.JournalRecord_HardState:
		l.hard = body.HardState
	case *wire.JournalRecord_Snapshot:
		if body.Snapshot.GetIndex() > l.snapshot {
			return fmt.Errorf("journal starts after index %d, but the snapshot ends at %d", body.Snapshot.GetIndex(), l.snapshot)
		}
		l.base, l.baseTerm, l.entries = body.Snapshot.GetIndex(), body.Snapshot.GetTerm(), nil
	case *wire.JournalRecord_Entry:
		index, last := body.Entry.GetIndex(), l.base+uint64(len(l.entries))
		if index <= l.base || index > last+1 {
			return fmt.Errorf("entry %d follows index %d", index, last)
		}
		l.entries = append(l.entries[:index-l.base-1], body.Entry)
	}
	return nil
}

// leadsTo reports whether the journal holds the history up to a snapshot, so that its later entries follow it.
func (l *logReader) leadsTo(meta *wire.SnapshotMeta) bool {
	index := meta.GetIndex()
	switch {
	case index == l.base:
		return meta.GetTerm() == l.baseTerm
	case index < l.base || index > l.base+uint64(len(l.entries)):
		return false
	default:
		return l.entries[index-l.base-1].GetTerm() == meta.GetTerm()
	}
}

// loadJournal replays the journal. A journal that does not lead up to the snapshot is left over from before the snapshot
// was installed: its later entries conflict with the snapshot and were never committed, so it starts anew.
func (s *Store) loadJournal(restored *replicator.RestoredState) error {
	meta := restored.Snapshot
	reader := &logReader{snapshot: meta.GetIndex()}
	j, err := journal.Open(s.journalConfig(s.path(journalFile)), reader.add)
	if err != nil {
		return err
	}
	s.journal, s.restart = j, nil
	restored.HardState = reader.hard
	if reader.leadsTo(meta) {
		restored.Entries = reader.entries[meta.GetIndex()-reader.base:]
	} else {
		s.restart = journalStart(meta, reader.hard, nil)
	}
	return nil
}
