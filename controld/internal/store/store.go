// Package store stores a node's identity, journal and snapshot in its data folder.
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

// ErrInUse is returned when another process holds the lock of the data folder.
var ErrInUse = errors.New("data folder is in use by another process")

// ErrNotEmpty is returned by Bootstrap for a data folder that already holds data.
var ErrNotEmpty = errors.New("data folder already holds an identity, a journal or a snapshot")

// Store is an open data folder. It is owned by the control goroutine and not safe for concurrent use.
type Store struct {
	dir      string
	openFile journal.Opener
	lock     *os.File
	journal  *journal.Journal
	identity *wire.Identity
	// cachedMeta and cachedState cache the snapshot while a follower reads it.
	cachedMeta  *wire.SnapshotMeta
	cachedState []byte
	// initialRecords holds the records of the journal that must replace the current one before anything is appended,
	// because the current one does not reach the snapshot; nil when it does.
	initialRecords []*wire.JournalRecord
}

// Contents is what was read from a data folder.
type Contents struct {
	Restored replicator.RestoredState
	// State is the encoded cell in the snapshot; nil when there is no snapshot.
	State []byte
}

// Bootstrap creates the data folder of the first node of a cell. It gives member a new id and makes it a voter.
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

// Open locks and reads a data folder. An empty folder gets a new identity, which is not a member of any cell yet.
func Open(dir string) (*Store, *Contents, error) { return OpenWith(dir, nil) }

// OpenWith is Open with a function that opens files for writing; nil selects the operating system.
func OpenWith(dir string, open journal.Opener) (*Store, *Contents, error) {
	if err := makeDir(dir); err != nil {
		return nil, nil, err
	}
	s := &Store{dir: dir, openFile: open}
	if err := s.acquireLock(); err != nil {
		return nil, nil, err
	}
	contents, err := s.load()
	if err != nil {
		_ = s.lock.Close()
		return nil, nil, err
	}
	return s, contents, nil
}

// makeDir creates a folder and its parents and syncs them: a folder lost in a power failure would be created again with
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

func (s *Store) acquireLock() error {
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

// Reload reads the snapshot and the journal again after a write that did not fit on the disk.
func (s *Store) Reload() (*Contents, error) {
	if s.journal != nil {
		if err := s.journal.Close(); err != nil {
			return nil, err
		}
		s.journal = nil
	}
	s.cachedMeta, s.cachedState = nil, nil
	return s.loadContents()
}

func (s *Store) load() (*Contents, error) {
	for _, name := range []string{identityFile, journalFile, snapshotFile} {
		// A crash can leave an incomplete file, which only takes up space.
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
	return journal.WriteFile(s.path(identityFile), s.identity, s.openFile)
}

// NodeID returns the id of the node that owns the data folder.
func (s *Store) NodeID() string { return s.identity.GetNodeId() }

// Append appends records to the journal and syncs it. It returns journal.ErrDiskFull, with the journal unchanged, when
// there is no space.
func (s *Store) Append(records []*wire.JournalRecord) error {
	if s.initialRecords != nil {
		if err := s.replaceJournal(s.initialRecords); err != nil {
			return err
		}
	}
	return s.journal.Append(records...)
}

// JournalBytes returns the size of the journal file.
func (s *Store) JournalBytes() int64 { return s.journal.Size() }

// SaveSnapshot stores a snapshot and leaves the journal unchanged, which must hold every entry after the snapshot or be
// replaced next. It returns journal.ErrDiskFull, with the earlier snapshot in place, when there is no space.
func (s *Store) SaveSnapshot(snapshot *wire.Snapshot) error {
	if err := journal.WriteFile(s.path(snapshotFile), snapshot, s.openFile); err != nil {
		return err
	}
	s.cachedMeta, s.cachedState = nil, nil
	return nil
}

// ReplaceJournal replaces the journal with one that holds only the hard state and the entries after the stored
// snapshot. It returns journal.ErrDiskFull, with the earlier journal in place, when there is no space.
func (s *Store) ReplaceJournal(meta *wire.SnapshotMeta, hardState *wire.HardState, tail []*wire.Entry) error {
	return s.replaceJournal(recordsAfterSnapshot(meta, hardState, tail))
}

// recordsAfterSnapshot returns the records of a journal that starts after a snapshot.
func recordsAfterSnapshot(
	meta *wire.SnapshotMeta, hardState *wire.HardState, tail []*wire.Entry,
) []*wire.JournalRecord {
	records := []*wire.JournalRecord{{Body: &wire.JournalRecord_Snapshot{Snapshot: &wire.SnapshotMeta{
		Index: meta.GetIndex(), Term: meta.GetTerm(),
	}}}}
	if hardState != nil {
		records = append(records, &wire.JournalRecord{Body: &wire.JournalRecord_HardState{HardState: hardState}})
	}
	for _, entry := range tail {
		records = append(records, &wire.JournalRecord{Body: &wire.JournalRecord_Entry{Entry: entry}})
	}
	return records
}

func (s *Store) replaceJournal(records []*wire.JournalRecord) error {
	tempPath := s.path(journalFile + ".new")
	if err := os.Remove(tempPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove stale temporary journal: %w", err)
	}
	j, err := journal.Open(s.journalConfig(tempPath), func(*wire.JournalRecord) error { return nil })
	if err != nil {
		return err
	}
	if err := j.Append(records...); err != nil {
		_ = j.Close()
		// The temporary file would take up disk space that is already short.
		_ = os.Remove(tempPath)
		return err
	}
	if err := os.Rename(tempPath, s.path(journalFile)); err != nil {
		_ = j.Close()
		return fmt.Errorf("rename journal: %w", err)
	}
	if err := journal.SyncDir(s.dir); err != nil {
		_ = j.Close()
		return err
	}
	_ = s.journal.Close()
	s.journal, s.initialRecords = j, nil
	return nil
}

func (s *Store) journalConfig(path string) journal.Config {
	return journal.Config{Path: path, Open: s.openFile}
}

// ReadChunk returns up to size bytes of the stored snapshot's state from offset on, and whether they are the last ones.
func (s *Store) ReadChunk(meta *wire.SnapshotMeta, offset uint64, size int) (data []byte, last bool, err error) {
	if s.cachedMeta.GetIndex() != meta.GetIndex() || s.cachedMeta == nil {
		snapshot := &wire.Snapshot{}
		if err := journal.ReadFile(s.path(snapshotFile), snapshot); err != nil {
			return nil, false, err
		}
		s.cachedMeta, s.cachedState = snapshot.GetMeta(), snapshot.GetState()
	}
	if !proto.Equal(s.cachedMeta, meta) || offset > uint64(len(s.cachedState)) {
		return nil, false, fmt.Errorf("no snapshot at index %d, offset %d", meta.GetIndex(), offset)
	}
	end := min(offset+uint64(size), uint64(len(s.cachedState)))
	last = end == uint64(len(s.cachedState))
	data = s.cachedState[offset:end]
	if last {
		// The next follower that needs the state reads it from disk again.
		s.cachedMeta, s.cachedState = nil, nil
	}
	return data, last, nil
}

// FreeBytes returns the free space of the data folder's file system.
func (s *Store) FreeBytes() (int64, error) {
	var stat unix.Statfs_t
	if err := unix.Statfs(s.dir, &stat); err != nil {
		return 0, fmt.Errorf("read free space of %s: %w", s.dir, err)
	}
	return int64(stat.Bavail) * stat.Bsize, nil
}

// Close closes the journal and unlocks the data folder.
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

// Clear deletes the data of a node that was removed from its consensus group.
func Clear(dir string) error {
	for _, name := range []string{journalFile, snapshotFile, identityFile} {
		if err := os.Remove(filepath.Join(dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("clear data folder: %w", err)
		}
	}
	return journal.SyncDir(dir)
}
