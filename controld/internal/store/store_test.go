package store

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/journal"
	"flamingodrift.example/core/wire"
)

func entries(first, last, term uint64) []*wire.Entry {
	var list []*wire.Entry
	for index := first; index <= last; index++ {
		list = append(list, &wire.Entry{Index: index, Term: term, Data: []byte("command")})
	}
	return list
}

func records(list []*wire.Entry) []*wire.JournalRecord {
	var out []*wire.JournalRecord
	for _, e := range list {
		out = append(out, &wire.JournalRecord{Body: &wire.JournalRecord_Entry{Entry: e}})
	}
	return out
}

func snapshotAt(index, term uint64) *wire.Snapshot {
	return &wire.Snapshot{Meta: &wire.SnapshotMeta{Index: index, Term: term}, State: []byte("state")}
}

func mustOpen(t *testing.T, dir string) (*Store, *Contents) {
	t.Helper()
	s, contents, err := Open(dir)
	require.NoError(t, err)
	return s, contents
}

func indexes(contents *Contents) []uint64 {
	var list []uint64
	for _, e := range contents.Restored.Entries {
		list = append(list, e.GetIndex())
	}
	return list
}

// A crash between storing the snapshot file and replacing the journal leaves an older journal. Entries that are
// appended and synced afterwards must be read at the next start, whatever the older journal holds.
func TestAppendAfterInterruptedInstall(t *testing.T) {
	for _, c := range []struct {
		name string
		old  []*wire.Entry
		kept []uint64
	}{
		{"the journal ends before the snapshot", entries(1, 5, 1), []uint64{11, 12}},
		{"the journal conflicts with the snapshot", entries(1, 15, 1), []uint64{11, 12}},
		{"the journal is empty", nil, []uint64{11, 12}},
		{"the journal agrees with the snapshot", append(entries(1, 9, 1), entries(10, 10, 2)...), []uint64{11, 12}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			s, _ := mustOpen(t, dir)
			require.NoError(t, s.Append(records(c.old)))
			require.NoError(t, s.Append([]*wire.JournalRecord{
				{Body: &wire.JournalRecord_HardState{HardState: &wire.HardState{Term: 3, Vote: "b"}}},
			}))
			require.NoError(t, s.Close())
			require.NoError(t, journal.WriteFile(filepath.Join(dir, snapshotFile), snapshotAt(10, 2), nil))

			s, contents := mustOpen(t, dir)
			require.Empty(t, contents.Restored.Entries)
			require.NoError(t, s.Append(records(entries(11, 12, 3))))
			require.NoError(t, s.Close())

			s, contents = mustOpen(t, dir)
			require.Equal(t, c.kept, indexes(contents))
			require.EqualValues(t, 3, contents.Restored.HardState.GetTerm())
			require.Equal(t, "b", contents.Restored.HardState.GetVote())
			require.NoError(t, s.Close())
		})
	}
}

// After a crash between storing a snapshot and truncating the journal, entries that follow the snapshot must be kept.
func TestMatchingEntriesAreKeptAfterInterruptedSnapshot(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpen(t, dir)
	require.NoError(t, s.Append(records(entries(1, 15, 2))))
	require.NoError(t, s.Close())
	require.NoError(t, journal.WriteFile(filepath.Join(dir, snapshotFile), snapshotAt(10, 2), nil))
	s, contents := mustOpen(t, dir)
	require.Equal(t, []uint64{11, 12, 13, 14, 15}, indexes(contents))
	require.NoError(t, s.Close())
}

// A data folder with a journal but no identity must not get a new identity, neither from Open nor from Bootstrap.
func TestMissingIdentityIsReported(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpen(t, dir)
	require.NoError(t, s.Append(records(entries(1, 1, 1))))
	require.NoError(t, s.Close())
	require.NoError(t, os.Remove(filepath.Join(dir, identityFile)))
	_, _, err := Open(dir)
	require.ErrorContains(t, err, filepath.Join(dir, identityFile))
	require.Error(t, Bootstrap(dir, &wire.Member{Name: "a"}))
}

// Open must fail on a corrupt file with an error that names the file.
func TestCorruptFilesAreReported(t *testing.T) {
	for _, name := range []string{identityFile, snapshotFile, journalFile} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			s, _ := mustOpen(t, dir)
			require.NoError(t, s.Append(records(entries(1, 9, 1))))
			require.NoError(t, s.Close())
			require.NoError(t, journal.WriteFile(filepath.Join(dir, snapshotFile), snapshotAt(5, 1), nil))
			path := filepath.Join(dir, name)
			content, err := os.ReadFile(path)
			require.NoError(t, err)
			content[len(content)/2] ^= 1
			require.NoError(t, os.WriteFile(path, content, 0o600))
			_, _, err = Open(dir)
			var corruption *journal.CorruptionError
			require.ErrorAs(t, err, &corruption)
			require.Equal(t, path, corruption.File)
		})
	}
}

// Two processes must not use a data folder at the same time.
func TestFolderIsLocked(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpen(t, dir)
	_, _, err := Open(dir)
	require.ErrorIs(t, err, ErrInUse)
	require.NoError(t, s.Close())
}

// Open must report a journal with a missing entry, even where a snapshot covers the gap.
func TestGapInJournalIsReported(t *testing.T) {
	dir := t.TempDir()
	s, _ := mustOpen(t, dir)
	require.NoError(t, s.Append(records(entries(1, 3, 1))))
	require.NoError(t, s.Append(records(entries(5, 6, 1))))
	require.NoError(t, s.Close())
	_, _, err := Open(dir)
	require.ErrorContains(t, err, "entry 5 follows index 3")
}
