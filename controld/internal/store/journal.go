package store

import (
	"fmt"

	"flamingodrift.example/core/journal"
	"flamingodrift.example/core/replicator"
	"flamingodrift.example/core/wire"
)

// journalReader collects the hard state and the entries of a journal.
type journalReader struct {
	// snapshot is the index of the stored snapshot.
	snapshot uint64
	// base and baseTerm are the index and term of the last entry before the journal's first one.
	base, baseTerm uint64
	entries        []*wire.Entry
	hardState      *wire.HardState
}

func (r *journalReader) add(record *wire.JournalRecord) error {
	switch body := record.GetBody().(type) {
	case *wire.JournalRecord_HardState:
		r.hardState = body.HardState
	case *wire.JournalRecord_Snapshot:
		if body.Snapshot.GetIndex() > r.snapshot {
			return fmt.Errorf("journal starts after index %d, but the snapshot ends at %d", body.Snapshot.GetIndex(), r.snapshot)
		}
		r.base, r.baseTerm, r.entries = body.Snapshot.GetIndex(), body.Snapshot.GetTerm(), nil
	case *wire.JournalRecord_Entry:
		index, last := body.Entry.GetIndex(), r.base+uint64(len(r.entries))
		if index <= r.base || index > last+1 {
			return fmt.Errorf("entry %d follows index %d", index, last)
		}
		r.entries = append(r.entries[:index-r.base-1], body.Entry)
	}
	return nil
}

// reaches reports whether the journal holds the log up to a snapshot, so that its later entries follow the snapshot.
func (r *journalReader) reaches(meta *wire.SnapshotMeta) bool {
	index := meta.GetIndex()
	switch {
	case index == r.base:
		return meta.GetTerm() == r.baseTerm
	case index < r.base || index > r.base+uint64(len(r.entries)):
		return false
	default:
		return r.entries[index-r.base-1].GetTerm() == meta.GetTerm()
	}
}

// loadJournal replays the journal. A journal that does not reach the snapshot is left over from before the snapshot was
// installed: its later entries conflict with the snapshot and were never committed, so they are discarded.
func (s *Store) loadJournal(restored *replicator.RestoredState) error {
	meta := restored.Snapshot
	reader := &journalReader{snapshot: meta.GetIndex()}
	j, err := journal.Open(s.journalConfig(s.path(journalFile)), reader.add)
	if err != nil {
		return err
	}
	s.journal, s.initialRecords = j, nil
	restored.HardState = reader.hardState
	if reader.reaches(meta) {
		restored.Entries = reader.entries[meta.GetIndex()-reader.base:]
	} else {
		s.initialRecords = recordsAfterSnapshot(meta, reader.hardState, nil)
	}
	return nil
}
