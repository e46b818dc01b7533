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

// faultInjector makes one file operation fail with cause: the one that decrements remaining to 0.
type faultInjector struct {
	remaining int
	cause     error
}

func (f *faultInjector) check() error {
	f.remaining--
	if f.remaining == 0 {
		return f.cause
	}
	return nil
}

func (f *faultInjector) open(path string) (journal.File, error) {
	if err := f.check(); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	return &faultyFile{File: file, injector: f}, err
}

type faultyFile struct {
	*os.File
	injector *faultInjector
}

func (f *faultyFile) WriteAt(p []byte, off int64) (int, error) {
	if err := f.injector.check(); err != nil {
		n, _ := f.File.WriteAt(p[:len(p)/2], off)
		return n, err
	}
	return f.File.WriteAt(p, off)
}

func (f *faultyFile) Sync() error {
	if err := f.injector.check(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *faultyFile) Truncate(size int64) error {
	if err := f.injector.check(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// nodeSteps returns the operations of a node on its store. Each returns the last index and the term that must be stored
// afterwards.
func nodeSteps(s *Store) []func() (last, term uint64, err error) {
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
		// A snapshot of another leader replaces conflicting entries.
		func() (uint64, uint64, error) { return 20, 1, s.SaveSnapshot(snapshotAt(20, 2)) },
		func() (uint64, uint64, error) {
			return 20, 2, s.ReplaceJournal(snapshotAt(20, 2).GetMeta(), &wire.HardState{Term: 2}, nil)
		},
		func() (uint64, uint64, error) { return 24, 2, s.Append(records(entries(21, 24, 2))) },
	}
}

// A disk fault at any file operation must not lose a confirmed record. After a full disk the same step must succeed
// when retried in the same process; after any other fault the process stops and the next one must find everything.
func TestFaultAtEveryOperationLosesNoConfirmedRecord(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
		for at, reached := 1, true; reached; at++ {
			require.Less(t, at, 1000)
			t.Run(fmt.Sprintf("%v at operation %d", cause, at), func(t *testing.T) {
				dir := t.TempDir()
				s, _ := mustOpen(t, dir)
				require.NoError(t, s.Close())
				f := &faultInjector{remaining: at, cause: cause}
				last, term := runSteps(t, dir, f)
				reached = f.remaining <= 0
				s, contents := mustOpen(t, dir)
				require.GreaterOrEqual(t, contents.Restored.Snapshot.GetIndex()+uint64(len(contents.Restored.Entries)), last)
				require.GreaterOrEqual(t, contents.Restored.HardState.GetTerm(), term)
				require.NoError(t, s.Append(records(entries(last+1, last+1, 3))))
				require.NoError(t, s.Close())
			})
		}
	}
}

// runSteps runs the steps until a fault stops the process, and returns the last confirmed index and term.
func runSteps(t *testing.T, dir string, f *faultInjector) (last, term uint64) {
	s, _, err := OpenWith(dir, f.open)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = s.Close() }()
	for _, step := range nodeSteps(s) {
		reachedLast, reachedTerm, err := step()
		if errors.Is(err, journal.ErrDiskFull) {
			// The injector fails only once, so there is space again.
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

// A full disk during the installation of a snapshot leaves a snapshot that is newer than the journal. Reload must then
// read the folder in the same process and continue from the snapshot.
func TestReloadAfterFullDiskDuringSnapshotInstall(t *testing.T) {
	dir := t.TempDir()
	f := &faultInjector{}
	s, _, err := OpenWith(dir, f.open)
	require.NoError(t, err)
	require.NoError(t, s.Append(records(entries(1, 8, 1))))
	require.NoError(t, s.SaveSnapshot(snapshotAt(20, 2)))
	f.remaining, f.cause = 2, syscall.ENOSPC
	require.ErrorIs(t, s.ReplaceJournal(snapshotAt(20, 2).GetMeta(), &wire.HardState{Term: 2}, nil), journal.ErrDiskFull)
	contents, err := s.Reload()
	require.NoError(t, err)
	require.EqualValues(t, 20, contents.Restored.Snapshot.GetIndex())
	require.Empty(t, contents.Restored.Entries)
	require.Equal(t, "state", string(contents.State))
	f.remaining = 2
	require.ErrorIs(t, s.Append(records(entries(21, 21, 2))), journal.ErrDiskFull)
	require.NoFileExists(t, s.path(journalFile+".new"))
	require.NoError(t, s.Append(records(entries(21, 21, 2))))
	require.NoError(t, s.Close())
	_, contents = mustOpen(t, dir)
	require.Equal(t, []uint64{21}, indexes(contents))
}
