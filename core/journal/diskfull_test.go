package journal_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/journal"
	"flamingodrift.example/core/wire"
)

// refusingFile is a file whose writes all fail with ENOSPC.
type refusingFile struct{ *os.File }

// WriteAt implements journal.File.
func (refusingFile) WriteAt([]byte, int64) (int, error) { return 0, syscall.ENOSPC }

// TestOpenOnFullDisk guards against treating a full disk that refuses even writes in place as a failed one, which would
// end the process instead of making it wait for space.
func TestOpenOnFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	ignore := func(*wire.JournalRecord) error { return nil }
	j, err := journal.Open(journal.Config{Path: path}, ignore)
	require.NoError(t, err)
	require.NoError(t, j.Append(&wire.JournalRecord{
		Body: &wire.JournalRecord_HardState{HardState: &wire.HardState{Term: 1}},
	}))
	require.NoError(t, j.Close())
	_, err = journal.Open(journal.Config{Path: path, Open: func(path string) (journal.File, error) {
		file, err := os.OpenFile(path, os.O_RDWR, 0o600)
		return refusingFile{file}, err
	}}, ignore)
	require.ErrorIs(t, err, journal.ErrDiskFull)
}
