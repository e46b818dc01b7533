package journal

import (
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingodrift.example/core/wire"
)

// TestMain fixes the seed of the property-based tests, so that every run gives the same result. -rapid.seed overrides
// it.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// entry returns a record with an entry whose data has the given size and no zero bytes.
func entry(index uint64, size int) *wire.JournalRecord {
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(index) + byte(i) | 1
	}
	return &wire.JournalRecord{Body: &wire.JournalRecord_Entry{Entry: &wire.Entry{Index: index, Term: 1, Data: data}}}
}

// openJournal opens a journal on a fake file and returns the indexes of the replayed entries.
func openJournal(dir string, file *fakeFile) (*Journal, []uint64, error) {
	var indexes []uint64
	j, err := Open(Config{
		Path: filepath.Join(dir, "journal"), Open: func(string) (File, error) { return file, nil },
	}, func(record *wire.JournalRecord) error {
		indexes = append(indexes, record.GetEntry().GetIndex())
		return nil
	})
	return j, indexes, err
}

// newFilledFile returns a file with one batch for each size, which holds one entry, and the end offsets of the batches.
func newFilledFile(t require.TestingT, dir string, sizes ...int) (file *fakeFile, ends []int) {
	file = newFakeFile(nil)
	j, _, err := openJournal(dir, file)
	require.NoError(t, err)
	for i, size := range sizes {
		require.NoError(t, j.Append(entry(uint64(i+1), size)))
		ends = append(ends, int(j.Size()))
	}
	return file, ends
}

// A crash during an append can truncate the last batch at any byte. Only that batch must be removed, and the journal
// must remain usable.
func TestTornTailIsRemovedAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	file, ends := newFilledFile(t, dir, 5, 100, 1, 600)
	for cut := range len(file.synced) + 1 {
		complete := 0
		for complete < len(ends) && ends[complete] <= cut {
			complete++
		}
		short := newFakeFile(file.synced[:cut])
		j, indexes, err := openJournal(dir, short)
		require.NoError(t, err, "cut at %d", cut)
		require.Len(t, indexes, complete, "cut at %d", cut)
		require.NoError(t, j.Append(entry(uint64(complete+1), 10)))
		_, indexes, err = openJournal(dir, newFakeFile(short.synced))
		require.NoError(t, err)
		require.Len(t, indexes, complete+1)
	}
}

// A power loss can leave a sector of the last batch unwritten, so that it reads as zeros. Only that batch must be
// removed.
func TestUnwrittenSectorOfLastBatchIsRemoved(t *testing.T) {
	dir := t.TempDir()
	file, ends := newFilledFile(t, dir, 300, 3000)
	for sector := (ends[0] + 511) / 512 * 512; sector < ends[1]; sector += 512 {
		content := append([]byte(nil), file.synced...)
		clear(content[sector:min(sector+512, len(content))])
		if min(sector+512, len(content))-sector < 512 {
			continue
		}
		_, indexes, err := openJournal(dir, newFakeFile(content))
		require.NoError(t, err, "sector at %d", sector)
		require.Equal(t, []uint64{1}, indexes)
	}
	content := append([]byte(nil), file.synced...)
	clear(content[ends[0]:])
	_, indexes, err := openJournal(dir, newFakeFile(content))
	require.NoError(t, err)
	require.Equal(t, []uint64{1}, indexes)
}

// A changed byte anywhere in the synced data must be reported with file and offset instead of being removed as a torn
// append. This includes the last batch and a length field that makes a batch look truncated.
func TestCorruptionIsReportedAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	file, ends := newFilledFile(t, dir, 5, 100, 1, 60)
	for at := range file.synced {
		for _, bit := range []byte{0x01, 0x80} {
			content := append([]byte(nil), file.synced...)
			content[at] ^= bit
			start := 0
			for _, end := range ends {
				if end <= at {
					start = end
				}
			}
			_, _, err := openJournal(dir, newFakeFile(content))
			var corruption *CorruptionError
			require.ErrorAs(t, err, &corruption, "byte %d, bit %#x", at, bit)
			require.EqualValues(t, start, corruption.Offset, "byte %d", at)
			require.Contains(t, err.Error(), filepath.Join(dir, "journal"))
		}
	}
}

// A zeroed header or sector before the last batch must be reported, so that valid batches after it are not removed.
func TestZeroedHeaderBeforeLastBatchIsReported(t *testing.T) {
	for _, length := range []int{headerBytes, sectorBytes} {
		dir := t.TempDir()
		file, ends := newFilledFile(t, dir, 5, 2*sectorBytes, 5)
		clear(file.synced[ends[0] : ends[0]+length])
		_, _, err := openJournal(dir, newFakeFile(file.synced))
		var corruption *CorruptionError
		require.ErrorAs(t, err, &corruption, "%d bytes", length)
		require.EqualValues(t, ends[0], corruption.Offset)
	}
}

// A journal with another format version must be reported and neither read nor truncated.
func TestOtherVersionIsReported(t *testing.T) {
	dir := t.TempDir()
	file, _ := newFilledFile(t, dir, 5)
	binary.LittleEndian.PutUint16(file.synced[4:], formatVersion+1)
	resetChecksums(file.synced)
	_, _, err := openJournal(dir, newFakeFile(file.synced))
	require.ErrorContains(t, err, fmt.Sprintf("version %d, want %d", formatVersion+1, formatVersion))
}

// An append that fails for lack of space must leave the journal unchanged and usable once there is space again.
func TestFullDiskLeavesJournalUsable(t *testing.T) {
	dir := t.TempDir()
	_, ends := newFilledFile(t, dir, 50)
	for space := ends[0]; space < ends[0]+200; space++ {
		file, _ := newFilledFile(t, dir, 50)
		j, _, err := openJournal(dir, file)
		require.NoError(t, err)
		file.space = space
		require.ErrorIs(t, j.Append(entry(2, 100), entry(3, 100)), ErrDiskFull)
		require.Len(t, file.synced, ends[0], "nothing of the batch stays visible")
		file.space = -1
		require.NoError(t, j.Append(entry(2, 1)))
		_, indexes, err := openJournal(dir, newFakeFile(file.synced))
		require.NoError(t, err)
		require.Equal(t, []uint64{1, 2}, indexes)
	}
}

// After a failed write, sync or truncation, Append must report the file and the offset and refuse all later records.
func TestFailedCallsBreakJournal(t *testing.T) {
	for _, c := range []struct {
		operation string
		full      bool
	}{{"write", false}, {"sync", false}, {"truncate", true}, {"sync", true}} {
		t.Run(fmt.Sprintf("%s, disk full %v", c.operation, c.full), func(t *testing.T) {
			dir := t.TempDir()
			file, ends := newFilledFile(t, dir, 50)
			j, _, err := openJournal(dir, file)
			require.NoError(t, err)
			file.fail[c.operation] = errInjected
			if c.full {
				file.space = ends[0] + 5
			}
			err = j.Append(entry(2, 10))
			require.ErrorIs(t, err, ErrBroken)
			require.ErrorIs(t, err, errInjected)
			require.ErrorContains(t, err, filepath.Join(dir, "journal"))
			require.ErrorContains(t, err, fmt.Sprint(ends[0]))
			file.fail, file.space = map[string]error{}, -1
			require.ErrorIs(t, j.Append(entry(2, 10)), ErrBroken)
		})
	}
}

// A batch that an earlier process wrote but did not sync, or failed to sync, is read back from the page cache. It must
// be durable when Open returns, because the node then acknowledges it.
func TestReplayedRecordsAreDurable(t *testing.T) {
	for _, failed := range []bool{false, true} {
		dir := t.TempDir()
		file, _ := newFilledFile(t, dir, 50)
		j, _, err := openJournal(dir, file)
		require.NoError(t, err)
		if failed {
			file.fail["sync"] = errInjected
			require.Error(t, j.Append(entry(2, 10)))
			delete(file.fail, "sync")
		} else {
			other := newFakeFile(file.cached)
			second, _, err := openJournal(dir, other)
			require.NoError(t, err)
			require.NoError(t, second.Append(entry(2, 10)))
			file.cached = other.cached
		}
		_, indexes, err := openJournal(dir, file)
		require.NoError(t, err)
		require.Equal(t, []uint64{1, 2}, indexes)
		_, indexes, err = openJournal(dir, newFakeFile(file.synced))
		require.NoError(t, err)
		require.Equal(t, []uint64{1, 2}, indexes, "failed sync before: %v", failed)
	}
}

// With random batches, full disks and crashes, the journal must hold all records that Append has confirmed, in order,
// and none that it has refused.
func TestConfirmedRecordsSurvive(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		file := newFakeFile(nil)
		j, _, err := openJournal(dir, file)
		require.NoError(t, err)
		next := uint64(1)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "full") == 0 {
				file.space = int(j.Size()) + rapid.IntRange(0, 40).Draw(t, "space")
			}
			var batch []*wire.JournalRecord
			for i := range rapid.IntRange(1, 4).Draw(t, "records") {
				batch = append(batch, entry(next+uint64(i), rapid.IntRange(0, 700).Draw(t, "size")))
			}
			before := len(file.synced)
			if err := j.Append(batch...); err == nil {
				next += uint64(len(batch))
			} else {
				require.ErrorIs(t, err, ErrDiskFull)
				require.Len(t, file.synced, before)
			}
			file.space = -1
			if rapid.Bool().Draw(t, "crash") {
				// A crash interrupts an append at a random byte.
				torn := newFakeFile(file.synced)
				second, _, err := openJournal(dir, torn)
				require.NoError(t, err)
				require.NoError(t, second.Append(entry(next, 900)))
				cut := rapid.IntRange(len(file.synced), len(torn.synced)-1).Draw(t, "cut")
				file = newFakeFile(torn.synced[:cut])
				var indexes []uint64
				j, indexes, err = openJournal(dir, file)
				require.NoError(t, err)
				require.Len(t, indexes, int(next-1))
			}
		}
	})
}

// ReadFile must report a file that is corrupt, truncated or followed by other data.
func TestCorruptFileIsReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "identity")
	require.NoError(t, WriteFile(path, &wire.Identity{NodeId: "node"}, nil))
	complete, err := os.ReadFile(path)
	require.NoError(t, err)
	var corruption *CorruptionError
	for at := range complete {
		content := append([]byte(nil), complete...)
		content[at] ^= 0x10
		require.NoError(t, os.WriteFile(path, content, 0o600))
		require.ErrorAs(t, ReadFile(path, &wire.Identity{}), &corruption, "byte %d", at)
		require.NoError(t, os.WriteFile(path, complete[:at], 0o600))
		require.ErrorAs(t, ReadFile(path, &wire.Identity{}), &corruption, "cut at %d", at)
		require.ErrorContains(t, corruption, path)
	}
	require.NoError(t, os.WriteFile(path, append(complete, 0), 0o600))
	require.ErrorAs(t, ReadFile(path, &wire.Identity{}), &corruption)
	require.EqualValues(t, len(complete), corruption.Offset)
}

// Open must return ErrDiskFull if the file cannot be created for lack of space; other errors end the process.
func TestNoSpaceToCreateJournal(t *testing.T) {
	_, err := Open(Config{
		Path: filepath.Join(t.TempDir(), "journal"),
		Open: func(string) (File, error) { return nil, &os.PathError{Op: "open", Err: syscall.ENOSPC} },
	}, nil)
	require.ErrorIs(t, err, ErrDiskFull)
}
