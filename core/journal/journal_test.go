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

// TestMain fixes the seed of the property tests, so that each run gives the same verdict. -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

func entry(index uint64, size int) *wire.JournalRecord {
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(index) + byte(i) | 1
	}
	return &wire.JournalRecord{Body: &wire.JournalRecord_Entry{Entry: &wire.Entry{Index: index, Term: 1, Data: data}}}
}

// open returns a journal over a fake file and the indexes of the entries that it replayed.
func open(dir string, file *fakeFile) (*Journal, []uint64, error) {
	var indexes []uint64
	j, err := Open(Config{
		Path: filepath.Join(dir, "journal"), Open: func(string) (File, error) { return file, nil },
	}, func(record *wire.JournalRecord) error {
		indexes = append(indexes, record.GetEntry().GetIndex())
		return nil
	})
	return j, indexes, err
}

// filled returns a file with batches of one entry each and the offsets at which the batches end.
func filled(t require.TestingT, dir string, sizes ...int) (file *fakeFile, ends []int) {
	file = newFakeFile(nil)
	j, _, err := open(dir, file)
	require.NoError(t, err)
	for i, size := range sizes {
		require.NoError(t, j.Append(entry(uint64(i+1), size)))
		ends = append(ends, int(j.Size()))
	}
	return file, ends
}

// A crash in the middle of an append leaves a file that ends anywhere in the last batch. Exactly that batch is dropped,
// and the journal goes on.
func TestTornTailIsCutAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	file, ends := filled(t, dir, 5, 100, 1, 600)
	for cut := range len(file.synced) + 1 {
		whole := 0
		for whole < len(ends) && ends[whole] <= cut {
			whole++
		}
		short := newFakeFile(file.synced[:cut])
		j, indexes, err := open(dir, short)
		require.NoError(t, err, "cut at %d", cut)
		require.Len(t, indexes, whole, "cut at %d", cut)
		require.NoError(t, j.Append(entry(uint64(whole+1), 10)))
		_, indexes, err = open(dir, newFakeFile(short.synced))
		require.NoError(t, err)
		require.Len(t, indexes, whole+1)
	}
}

// A power loss can leave a sector of the last batch unwritten, which reads as zeros.
func TestUnwrittenSectorOfLastBatchIsCut(t *testing.T) {
	dir := t.TempDir()
	file, ends := filled(t, dir, 300, 3000)
	for sector := (ends[0] + 511) / 512 * 512; sector < ends[1]; sector += 512 {
		content := append([]byte(nil), file.synced...)
		clear(content[sector:min(sector+512, len(content))])
		if min(sector+512, len(content))-sector < 512 {
			continue
		}
		_, indexes, err := open(dir, newFakeFile(content))
		require.NoError(t, err, "sector at %d", sector)
		require.Equal(t, []uint64{1}, indexes)
	}
	content := append([]byte(nil), file.synced...)
	clear(content[ends[0]:])
	_, indexes, err := open(dir, newFakeFile(content))
	require.NoError(t, err)
	require.Equal(t, []uint64{1}, indexes)
}

// A changed byte anywhere in what was synced is reported with file and offset; nothing is dropped silently. This holds
// for the last batch too and for a length field that makes a batch look cut short.
func TestDamageIsReportedAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	file, ends := filled(t, dir, 5, 100, 1, 60)
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
			_, _, err := open(dir, newFakeFile(content))
			var damage *CorruptionError
			require.ErrorAs(t, err, &damage, "byte %d, bit %#x", at, bit)
			require.EqualValues(t, start, damage.Offset, "byte %d", at)
			require.Contains(t, err.Error(), filepath.Join(dir, "journal"))
		}
	}
}

// A zeroed header or sector in the middle must not hide the valid batches after it.
func TestZeroedHeaderInTheMiddleIsReported(t *testing.T) {
	for _, length := range []int{headerBytes, sectorBytes} {
		dir := t.TempDir()
		file, ends := filled(t, dir, 5, 2*sectorBytes, 5)
		clear(file.synced[ends[0] : ends[0]+length])
		_, _, err := open(dir, newFakeFile(file.synced))
		var damage *CorruptionError
		require.ErrorAs(t, err, &damage, "%d bytes", length)
		require.EqualValues(t, ends[0], damage.Offset)
	}
}

// A journal of another version is not read and not cut.
func TestForeignVersionIsReported(t *testing.T) {
	dir := t.TempDir()
	file, _ := filled(t, dir, 5)
	binary.LittleEndian.PutUint16(file.synced[4:], version+1)
	reseal(file.synced)
	_, _, err := open(dir, newFakeFile(file.synced))
	require.ErrorContains(t, err, fmt.Sprintf("version %d, want %d", version+1, version))
}

// A write that does not fit leaves the journal as it was, and it accepts records again when there is space.
func TestFullDiskLeavesJournalUsable(t *testing.T) {
	dir := t.TempDir()
	_, ends := filled(t, dir, 50)
	for space := ends[0]; space < ends[0]+200; space++ {
		file, _ := filled(t, dir, 50)
		j, _, err := open(dir, file)
		require.NoError(t, err)
		file.space = space
		require.ErrorIs(t, j.Append(entry(2, 100), entry(3, 100)), ErrDiskFull)
		require.Len(t, file.synced, ends[0], "nothing of the batch stays visible")
		file.space = -1
		require.NoError(t, j.Append(entry(2, 1)))
		_, indexes, err := open(dir, newFakeFile(file.synced))
		require.NoError(t, err)
		require.Equal(t, []uint64{1, 2}, indexes)
	}
}

// After a failed write, sync or repair the journal refuses everything and names the file and the offset.
func TestFailedCallsBreakJournal(t *testing.T) {
	for _, c := range []struct {
		operation string
		full      bool
	}{{"write", false}, {"sync", false}, {"truncate", true}, {"sync", true}} {
		t.Run(fmt.Sprintf("%s, disk full %v", c.operation, c.full), func(t *testing.T) {
			dir := t.TempDir()
			file, ends := filled(t, dir, 50)
			j, _, err := open(dir, file)
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
// be durable before it counts, because this node then acknowledges it.
func TestReplayedRecordsAreDurable(t *testing.T) {
	for _, failed := range []bool{false, true} {
		dir := t.TempDir()
		file, _ := filled(t, dir, 50)
		j, _, err := open(dir, file)
		require.NoError(t, err)
		if failed {
			file.fail["sync"] = errInjected
			require.Error(t, j.Append(entry(2, 10)))
			delete(file.fail, "sync")
		} else {
			other := newFakeFile(file.cached)
			second, _, err := open(dir, other)
			require.NoError(t, err)
			require.NoError(t, second.Append(entry(2, 10)))
			file.cached = other.cached
		}
		_, indexes, err := open(dir, file)
		require.NoError(t, err)
		require.Equal(t, []uint64{1, 2}, indexes)
		_, indexes, err = open(dir, newFakeFile(file.synced))
		require.NoError(t, err)
		require.Equal(t, []uint64{1, 2}, indexes, "failed sync before: %v", failed)
	}
}

// Random batches, faults and power losses: what Append confirmed is there afterwards, in order, and nothing that a full
// disk refused.
func TestConfirmedRecordsSurvive(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		file := newFakeFile(nil)
		j, _, err := open(dir, file)
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
				// An append is interrupted at any byte.
				torn := newFakeFile(file.synced)
				second, _, err := open(dir, torn)
				require.NoError(t, err)
				require.NoError(t, second.Append(entry(next, 900)))
				cut := rapid.IntRange(len(file.synced), len(torn.synced)-1).Draw(t, "cut")
				file = newFakeFile(torn.synced[:cut])
				var indexes []uint64
				j, indexes, err = open(dir, file)
				require.NoError(t, err)
				require.Len(t, indexes, int(next-1))
			}
		}
	})
}

// A single-message file that is damaged or has data after its end is not used.
func TestDamagedFileIsReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "identity")
	require.NoError(t, WriteFile(path, &wire.Identity{NodeId: "node"}, nil))
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	var damage *CorruptionError
	for at := range whole {
		content := append([]byte(nil), whole...)
		content[at] ^= 0x10
		require.NoError(t, os.WriteFile(path, content, 0o600))
		require.ErrorAs(t, ReadFile(path, &wire.Identity{}), &damage, "byte %d", at)
		require.NoError(t, os.WriteFile(path, whole[:at], 0o600))
		require.ErrorAs(t, ReadFile(path, &wire.Identity{}), &damage, "cut at %d", at)
		require.ErrorContains(t, damage, path)
	}
	require.NoError(t, os.WriteFile(path, append(whole, 0), 0o600))
	require.ErrorAs(t, ReadFile(path, &wire.Identity{}), &damage)
	require.EqualValues(t, len(whole), damage.Offset)
}

// A full disk when a file is created is reported as such and not as a fault that stops the process.
func TestNoSpaceToCreateJournal(t *testing.T) {
	_, err := Open(Config{
		Path: filepath.Join(t.TempDir(), "journal"),
		Open: func(string) (File, error) { return nil, &os.PathError{Op: "open", Err: syscall.ENOSPC} },
	}, nil)
	require.ErrorIs(t, err, ErrDiskFull)
}
