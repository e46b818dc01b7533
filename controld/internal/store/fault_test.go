package store

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/journal"
	"flamingodrift.example/core/wire"
)

// faults lets a number of file operations succeed and then fails one.
type faults struct {
	left  int
	cause error
}

func (f *faults) next() error {
	f.left--
	if f.left == 0 {
		return f.cause
	}
	return nil
}

func (f *faults) open(path string) (journal.File, error) {
	if err := f.next(); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	return &faultyFile{File: file, faults: f}, err
}

type faultyFile struct {
	*os.File
	faults *faults
}

func (f *faultyFile) WriteAt(p []byte, off int64) (int, error) {
	if err := f.faults.next(); err != nil {
		n, _ := f.File.WriteAt(p[:len(p)/2], off)
		return n, err
	}
	return f.File.WriteAt(p, off)
}

func (f *faultyFile) Sync() error {
	if err := f.faults.next(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *faultyFile) Truncate(size int64) error {
	if err := f.faults.next(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// steps are what a node does over its life; each returns what must be there afterwards: the last index and the term.
func steps(s *Store) []func() (last, term uint64, err error) {
	hard := func(term uint64) []*wire.JournalRecord {
		return []*wire.JournalRecord{{Body: &wire.JournalRecord_HardState{HardState: &wire.HardState{Term: term}}}}
	}
	return []func() (uint64, uint64, error){
		func() (uint64, uint64, error) { return 0, 1, s.Append(hard(1)) },
		func() (uint64, uint64, error) { return 8, 1, s.Append(records(entries(1, 8, 1))) },
		func() (uint64, uint64, error) { return 8, 1, s.SaveSnapshot(snapshotAt(5, 1)) },
		func() (uint64, uint64, error) {
			return 8, 1, s.ReplaceJournal(snapshotAt(5, 1).GetMeta(), &wire.HardState{Term: 1}, entries(6, 8, 1))
		},
		func() (uint64, uint64, error) { return 12, 1, s.Append(records(entries(9, 12, 1))) },
		// A snapshot of another leader replaces a conflicting tail.
		func() (uint64, uint64, error) { return 20, 1, s.SaveSnapshot(snapshotAt(20, 2)) },
		func() (uint64, uint64, error) {
			return 20, 2, s.ReplaceJournal(snapshotAt(20, 2).GetMeta(), &wire.HardState{Term: 2}, nil)
		},
		func() (uint64, uint64, error) { return 24, 2, s.Append(records(entries(21, 24, 2))) },
	}
}

// A fault of the disk at any file operation must lose nothing that was confirmed. After a full disk the same step works
// again in the same process; after any other fault the process stops and the next one finds everything.
func TestFaultAtEveryOperationLosesNothing(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
		for at, reached := 1, true; reached; at++ {
			require.Less(t, at, 1000)
			t.Run(fmt.Sprintf("%v at operation %d", cause, at), func(t *testing.T) {
				dir := t.TempDir()
				s, _ := mustOpen(t, dir)
				require.NoError(t, s.Close())
				f := &faults{left: at, cause: cause}
				last, term := live(t, dir, f)
				reached = f.left <= 0
				s, contents := mustOpen(t, dir)
				require.GreaterOrEqual(t, contents.Restored.Snapshot.GetIndex()+uint64(len(contents.Restored.Entries)), last)
				require.GreaterOrEqual(t, contents.Restored.HardState.GetTerm(), term)
				require.NoError(t, s.Append(records(entries(last+1, last+1, 3))))
				require.NoError(t, s.Close())
			})
		}
	}
}

// live goes through the steps until a fault stops the process and returns what was confirmed.
func live(t *testing.T, dir string, f *faults) (last, term uint64) {
	s, _, err := OpenWith(dir, f.open)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = s.Close() }()
	for _, step := range steps(s) {
		reachedLast, reachedTerm, err := step()
		if errors.Is(err, journal.ErrDiskFull) {
			// There is space again.
			_, _, err = step()
			require.NoError(t, err)
		}
		if err != nil {
			return last, term
		}
		last, term = reachedLast, reachedTerm
	}
	return last, term
}

// A full disk in the middle of an install leaves a snapshot that is newer than the journal. The folder can be read again
// in the same process, and it goes on from the snapshot.
func TestReloadAfterFullDiskDuringInstall(t *testing.T) {
	dir := t.TempDir()
	f := &faults{}
	s, _, err := OpenWith(dir, f.open)
	require.NoError(t, err)
	require.NoError(t, s.Append(records(entries(1, 8, 1))))
	require.NoError(t, s.SaveSnapshot(snapshotAt(20, 2)))
	f.left, f.cause = 2, syscall.ENOSPC
	require.ErrorIs(t, s.ReplaceJournal(snapshotAt(20, 2).GetMeta(), &wire.HardState{Term: 2}, nil), journal.ErrDiskFull)
	contents, err := s.Reload()
	require.NoError(t, err)
	require.EqualValues(t, 20, contents.Restored.Snapshot.GetIndex())
	require.Empty(t, contents.Restored.Entries)
	require.Equal(t, "state", string(contents.State))
	f.left = 2
	require.ErrorIs(t, s.Append(records(entries(21, 21, 2))), journal.ErrDiskFull)
	require.NoFileExists(t, s.path(journalFile+".new"))
	require.NoError(t, s.Append(records(entries(21, 21, 2))))
	require.NoError(t, s.Close())
	_, contents = mustOpen(t, dir)
	require.Equal(t, []uint64{21}, indexes(contents))
}
