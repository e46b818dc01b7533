// Package store keeps a node's identity, journal and snapshot in its data folder.
package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

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

// ErrNotEmpty is returned by Bootstrap for a data folder that was in use before.
var ErrNotEmpty = errors.New("data folder already holds an identity, a journal or a snapshot")

// Store is one data folder. It is owned by the control thread.
type Store struct {
	dir      string
	open     journal.Opener
	lock     *os.File
	journal  *journal.Journal
	identity *wire.Identity
	// meta and state hold the snapshot while a follower reads it.
	meta  *wire.SnapshotMeta
	state []byte
	// restart are the records that a new journal must begin with before anything is appended, because the present one
	// does not lead up to the snapshot; nil when it does.
	restart []*wire.JournalRecord
}

// Contents is what a data folder held when it was opened.
type Contents struct {
	Restored replicator.RestoredState
	// State is the cell in the snapshot; nil when there is none.
	State []byte
}

// Bootstrap makes the data folder of the first node of a cell. member needs no id.
func Bootstrap(dir string, member *wire.Member) error {
	id := &wire.Identity{NodeId: newNodeID()}
	member.Id, member.Voter = id.GetNodeId(), true
	id.Bootstrap = &wire.Membership{Members: []*wire.Member{member}}
	if err := makeDir(dir); err != nil {
		return err
	}
	for _, name := range []string{identityFile, journalFile, snapshotFile} {
		if _, err := os.Stat(filepath.Join(dir, name)); !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("%s: %w", dir, ErrNotEmpty)
		}
	}
	return journal.WriteFile(filepath.Join(dir, identityFile), id, nil)
}

// Open reads a data folder. An empty one gets a new identity, which is no member of any cell yet.
func Open(dir string) (*Store, *Contents, error) { return OpenWith(dir, nil) }

// OpenWith is Open with a function that opens the files to write; nil uses the operating system.
func OpenWith(dir string, open journal.Opener) (*Store, *Contents, error) {
	if err := makeDir(dir); err != nil {
		return nil, nil, err
	}
	s := &Store{dir: dir, open: open}
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

// makeDir creates a folder and the folders above it, durably: a folder that vanished with the power would come back with
// a new identity.
func makeDir(dir string) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return fmt.Errorf("find data folder: %w", err)
	}
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := makeDir(filepath.Dir(dir)); err != nil {
		return err
	}
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("create data folder: %w", err)
	}
	return journal.SyncDir(filepath.Dir(dir))
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

// Reload reads the snapshot and the journal again, after a write that did not fit on the disk.
func (s *Store) Reload() (*Contents, error) {
	if s.journal != nil {
		if err := s.journal.Close(); err != nil {
			return nil, err
		}
		s.journal = nil
	}
	s.meta, s.state = nil, nil
	return s.loadContents()
}

func (s *Store) load() (*Contents, error) {
	for _, name := range []string{identityFile, journalFile, snapshotFile} {
		// A crash can leave a file that was not complete yet; it would only take up space.
		if err := os.Remove(s.path(name + ".new")); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return nil, fmt.Errorf("remove incomplete file: %w", err)
		}
	}
	if err := s.loadIdentity(); err != nil {
		return nil, err
	}
	return s.loadContents()
}

func (s *Store) loadContents() (*Contents, error) {
	contents := &Contents{Restored: replicator.RestoredState{Bootstrap: s.identity.GetBootstrap()}}
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
	if err == nil && s.identity.GetNodeId() == "" {
		return &journal.CorruptionError{File: s.path(identityFile), Detail: "node id is missing"}
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	for _, name := range []string{journalFile, snapshotFile} {
		if _, err := os.Stat(s.path(name)); err == nil {
			return &journal.CorruptionError{File: s.path(identityFile), Detail: "identity is missing, but " + name + " exists"}
		}
	}
	s.identity = &wire.Identity{NodeId: newNodeID()}
	return journal.WriteFile(s.path(identityFile), s.identity, s.open)
}

// NodeID returns the identity of the data folder.
func (s *Store) NodeID() string { return s.identity.GetNodeId() }

// Append syncs records. It returns journal.ErrDiskFull with the journal unchanged when there is no space.
func (s *Store) Append(records []*wire.JournalRecord) error {
	if s.restart != nil {
		if err := s.replaceJournal(s.restart); err != nil {
			return err
		}
	}
	return s.journal.Append(records...)
}

// JournalBytes returns the size of the journal.
func (s *Store) JournalBytes() int64 { return s.journal.Size() }

// SaveSnapshot stores a snapshot. The journal stays as it is: it must hold every entry after the snapshot, or be replaced
// next. It returns journal.ErrDiskFull, with the earlier snapshot in place, when there is no space.
func (s *Store) SaveSnapshot(snapshot *wire.Snapshot) error {
	if err := journal.WriteFile(s.path(snapshotFile), snapshot, s.open); err != nil {
		return err
	}
	s.meta, s.state = nil, nil
	return nil
}

// ReplaceJournal replaces the journal by one that holds only the hard state and the entries after the stored snapshot. It
// returns journal.ErrDiskFull, with the earlier journal in place, when there is no space.
func (s *Store) ReplaceJournal(meta *wire.SnapshotMeta, hard *wire.HardState, tail []*wire.Entry) error {
	return s.replaceJournal(journalStart(meta, hard, tail))
}

func journalStart(meta *wire.SnapshotMeta, hard *wire.HardState, tail []*wire.Entry) []*wire.JournalRecord {
	records := []*wire.JournalRecord{{Body: &wire.JournalRecord_Snapshot{Snapshot: &wire.SnapshotMeta{
		Index: meta.GetIndex(), Term: meta.GetTerm(),
	}}}}
	if hard != nil {
		records = append(records, &wire.JournalRecord{Body: &wire.JournalRecord_HardState{HardState: hard}})
	}
	for _, entry := range tail {
		records = append(records, &wire.JournalRecord{Body: &wire.JournalRecord_Entry{Entry: entry}})
	}
	return records
}

func (s *Store) replaceJournal(records []*wire.JournalRecord) error {
	temporary := s.path(journalFile + ".new")
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove old journal draft: %w", err)
	}
	j, err := journal.Open(s.journalConfig(temporary), func(*wire.JournalRecord) error { return nil })
	if err != nil {
		return err
	}
	if err := j.Append(records...); err != nil {
		_ = j.Close()
		// The draft would take up the space that is missing.
		_ = os.Remove(temporary)
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
	s.journal, s.restart = j, nil
	return nil
}

func (s *Store) journalConfig(path string) journal.Config {
	return journal.Config{Path: path, Open: s.open}
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
	var err error
	if s.journal != nil {
		err = s.journal.Close()
	}
	if closeErr := s.lock.Close(); err == nil && closeErr != nil {
		err = fmt.Errorf("release data folder: %w", closeErr)
	}
	return err
}

// Clear empties the data folder of a node that was removed from its group.
func Clear(dir string) error {
	for _, name := range []string{journalFile, snapshotFile, identityFile} {
		if err := os.Remove(filepath.Join(dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("clear data folder: %w", err)
		}
	}
	return journal.SyncDir(dir)
}
