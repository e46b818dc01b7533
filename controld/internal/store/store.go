// Package store keeps a node's identity, journal and snapshot in its data folder.
package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/uuid"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/journal"
	"flamingodrift.example/core/replicator"
	"flamingodrift.example/core/wire"
)

const (
	identityFile = "identity"
	journalFile  = "journal"
	snapshotFile = "snapshot"
	lockFile     = "lock"
)

// ErrInUse is returned when another process uses the data folder.
var ErrInUse = errors.New("data folder is in use by another process")

// ErrNotEmpty is returned by Bootstrap for a data folder that already has an identity.
var ErrNotEmpty = errors.New("data folder already has an identity")

// Store is one data folder. It is owned by the control thread.
type Store struct {
	dir      string
	lock     *os.File
	journal  *journal.Journal
	identity *wire.Identity
	// meta and state hold the snapshot while a follower reads it.
	meta  *wire.SnapshotMeta
	state []byte
}

// Contents is what a data folder held when it was opened.
type Contents struct {
	Restored replicator.Restored
	// State is the cell in the snapshot; nil when there is none.
	State []byte
}

// Bootstrap makes the data folder of the first node of a cell. member needs no id.
func Bootstrap(dir string, member *wire.Member) error {
	id := &wire.Identity{NodeId: uuid.NewString()}
	member.Id, member.Voter = id.GetNodeId(), true
	id.Bootstrap = &wire.Membership{Members: []*wire.Member{member}}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	path := filepath.Join(dir, identityFile)
	if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s: %w", dir, ErrNotEmpty)
	}
	return journal.WriteFile(path, id)
}

// Open reads a data folder. An empty one gets a new identity, which is no member of any cell yet.
func Open(dir string) (*Store, *Contents, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("create data folder: %w", err)
	}
	s := &Store{dir: dir}
	if err := s.takeLock(); err != nil {
		return nil, nil, err
	}
	contents, err := s.load()
	if err != nil {
		_ = s.lock.Close()
		return nil, nil, err
	}
	return s, contents, nil
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

func (s *Store) takeLock() error {
	f, err := os.OpenFile(s.path(lockFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("open lock file: %w", err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		return fmt.Errorf("%s: %w", s.dir, ErrInUse)
	}
	s.lock = f
	return nil
}

// Reload reads the snapshot's position and the journal again, after a write that did not fit on the disk.
func (s *Store) Reload() (replicator.Restored, error) {
	if err := s.journal.Close(); err != nil {
		return replicator.Restored{}, err
	}
	contents, err := s.loadContents()
	if err != nil {
		return replicator.Restored{}, err
	}
	return contents.Restored, nil
}

func (s *Store) load() (*Contents, error) {
	if err := s.loadIdentity(); err != nil {
		return nil, err
	}
	return s.loadContents()
}

func (s *Store) loadContents() (*Contents, error) {
	contents := &Contents{Restored: replicator.Restored{Bootstrap: s.identity.GetBootstrap()}}
	snapshot := &wire.Snapshot{}
	err := journal.ReadFile(s.path(snapshotFile), snapshot)
	switch {
	case err == nil:
		contents.Restored.Snapshot, contents.State = snapshot.GetMeta(), snapshot.GetState()
	case !errors.Is(err, fs.ErrNotExist):
		return nil, err
	}
	if err := s.loadJournal(&contents.Restored); err != nil {
		return nil, err
	}
	return contents, nil
}

func (s *Store) loadIdentity() error {
	s.identity = &wire.Identity{}
	err := journal.ReadFile(s.path(identityFile), s.identity)
	if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	for _, name := range []string{journalFile, snapshotFile} {
		if _, err := os.Stat(s.path(name)); err == nil {
			return &journal.DamageError{File: s.path(identityFile), Detail: "identity is missing, but " + name + " exists"}
		}
	}
	s.identity = &wire.Identity{NodeId: uuid.NewString()}
	return journal.WriteFile(s.path(identityFile), s.identity)
}

// loadJournal replays the records that follow the snapshot.
func (s *Store) loadJournal(restored *replicator.Restored) error {
	base, baseTerm := restored.Snapshot.GetIndex(), restored.Snapshot.GetTerm()
	var entries []*wire.Entry
	first := base + 1
	j, err := journal.Open(journal.Config{Path: s.path(journalFile)}, func(record *wire.JournalRecord) error {
		switch body := record.GetBody().(type) {
		case *wire.JournalRecord_HardState:
			restored.HardState = body.HardState
		case *wire.JournalRecord_Snapshot:
			if body.Snapshot.GetIndex() > base {
				return fmt.Errorf("journal starts after index %d, but the snapshot ends at %d", body.Snapshot.GetIndex(), base)
			}
			first, entries = body.Snapshot.GetIndex()+1, nil
		case *wire.JournalRecord_Entry:
			index := body.Entry.GetIndex()
			if len(entries) == 0 {
				if index > base+1 {
					return fmt.Errorf("entry %d follows index %d", index, base)
				}
				first = index
			}
			if index < first || index > first+uint64(len(entries)) {
				return fmt.Errorf("entry %d follows index %d", index, first+uint64(len(entries))-1)
			}
			entries = append(entries[:index-first], body.Entry)
		}
		return nil
	})
	if err != nil {
		return err
	}
	s.journal = j
	restored.Entries = tailAfter(entries, base, baseTerm)
	return nil
}

// tailAfter returns the entries after a snapshot. A tail that does not agree with the snapshot at its last index is
// left over from before the snapshot was installed, and is dropped: it was never committed.
func tailAfter(entries []*wire.Entry, base, baseTerm uint64) []*wire.Entry {
	for i, entry := range entries {
		if entry.GetIndex() == base && entry.GetTerm() != baseTerm {
			return nil
		}
		if entry.GetIndex() > base {
			return entries[i:]
		}
	}
	return nil
}

// NodeID returns the identity of the data folder.
func (s *Store) NodeID() string { return s.identity.GetNodeId() }

// Append syncs records. It returns journal.ErrDiskFull with the journal unchanged when there is no space.
func (s *Store) Append(records []*wire.JournalRecord) error { return s.journal.Append(records...) }

// JournalBytes returns the size of the journal.
func (s *Store) JournalBytes() int64 { return s.journal.Size() }

// SaveSnapshot stores a snapshot and replaces the journal by one that holds only the hard state and the entries after
// the snapshot.
func (s *Store) SaveSnapshot(snapshot *wire.Snapshot, hard *wire.HardState, tail []*wire.Entry) error {
	if err := journal.WriteFile(s.path(snapshotFile), snapshot); err != nil {
		return err
	}
	s.meta, s.state = nil, nil
	records := []*wire.JournalRecord{
		{Body: &wire.JournalRecord_Snapshot{Snapshot: &wire.SnapshotMeta{
			Index: snapshot.GetMeta().GetIndex(), Term: snapshot.GetMeta().GetTerm(),
		}}},
		{Body: &wire.JournalRecord_HardState{HardState: hard}},
	}
	for _, entry := range tail {
		records = append(records, &wire.JournalRecord{Body: &wire.JournalRecord_Entry{Entry: entry}})
	}
	return s.replaceJournal(records)
}

func (s *Store) replaceJournal(records []*wire.JournalRecord) error {
	temporary := s.path(journalFile + ".new")
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove old journal draft: %w", err)
	}
	j, err := journal.Open(journal.Config{Path: temporary}, func(*wire.JournalRecord) error { return nil })
	if err != nil {
		return err
	}
	if err := j.Append(records...); err != nil {
		_ = j.Close()
		return err
	}
	if err := os.Rename(temporary, s.path(journalFile)); err != nil {
		_ = j.Close()
		return fmt.Errorf("rename journal: %w", err)
	}
	if err := journal.SyncDir(s.dir); err != nil {
		_ = j.Close()
		return err
	}
	_ = s.journal.Close()
	s.journal = j
	return nil
}

// ReadChunk returns a part of the stored snapshot's state.
func (s *Store) ReadChunk(meta *wire.SnapshotMeta, offset uint64, size int) (data []byte, last bool, err error) {
	if s.meta.GetIndex() != meta.GetIndex() || s.meta == nil {
		snapshot := &wire.Snapshot{}
		if err := journal.ReadFile(s.path(snapshotFile), snapshot); err != nil {
			return nil, false, err
		}
		s.meta, s.state = snapshot.GetMeta(), snapshot.GetState()
	}
	if !proto.Equal(s.meta, meta) || offset > uint64(len(s.state)) {
		return nil, false, fmt.Errorf("no snapshot at index %d, offset %d", meta.GetIndex(), offset)
	}
	end := min(offset+uint64(size), uint64(len(s.state)))
	last = end == uint64(len(s.state))
	data = s.state[offset:end]
	if last {
		// The state is read again for the next follower that needs it.
		s.meta, s.state = nil, nil
	}
	return data, last, nil
}

// FreeBytes returns how much space the data folder's file system has left.
func (s *Store) FreeBytes() (int64, error) {
	var stat unix.Statfs_t
	if err := unix.Statfs(s.dir, &stat); err != nil {
		return 0, fmt.Errorf("read free space of %s: %w", s.dir, err)
	}
	return int64(stat.Bavail) * stat.Bsize, nil
}

// Close releases the data folder.
func (s *Store) Close() error {
	err := s.journal.Close()
	if closeErr := s.lock.Close(); err == nil && closeErr != nil {
		err = fmt.Errorf("release data folder: %w", closeErr)
	}
	return err
}
