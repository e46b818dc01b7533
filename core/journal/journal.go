// Package journal implements an append-only file of checksummed records that survive a crash once synced, and atomic
// replacement of files that hold a single message.
package journal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

var (
	// ErrDiskFull is returned when there is no space. After Append returns it, the journal is unchanged and remains
	// usable.
	ErrDiskFull = errors.New("no space left for the journal")
	// ErrBroken is returned by Append when a write or sync has failed or a partial write could not be removed, and by
	// every later Append. The journal must not be used again in this process, because the kernel may have dropped the
	// unsynced pages.
	ErrBroken = errors.New("journal is unusable after a failed write")
)

// CorruptionError reports where a file is corrupt and why.
type CorruptionError struct {
	File   string
	Offset int64
	Detail string
}

// Error returns a message with the file, the offset in bytes and the detail.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("journal %s is damaged at offset %d: %s", e.File, e.Offset, e.Detail)
}

// File is the subset of the methods of *os.File that this package uses.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Config holds the parameters of a Journal.
type Config struct {
	// Path is the path of the journal file. Its folder must exist.
	Path string
	// Open opens the journal file; nil uses the operating system.
	Open Opener
}

// Opener opens a file for reading and writing and creates it if it does not exist.
type Opener func(path string) (File, error)

// batchOverheadBytes bounds the number of bytes that a batch adds to each record for its field tag and length.
const batchOverheadBytes = 6

// Journal appends records to one file. It is not safe for concurrent use.
type Journal struct {
	cfg    Config
	file   File
	size   int64
	broken bool
}

// Open opens the journal, creates it if needed, and passes each record to replay. When Open returns, these records are
// durable. An append at the end that a crash interrupted is removed; any other corruption is a *CorruptionError. Open
// returns ErrDiskFull if the file cannot be created or made durable for lack of space.
func Open(cfg Config, replay func(*wire.JournalRecord) error) (*Journal, error) {
	if cfg.Open == nil {
		cfg.Open = openFile
	}
	file, err := cfg.Open(cfg.Path)
	if isNoSpace(err) {
		return nil, fmt.Errorf("create %s: %w", cfg.Path, ErrDiskFull)
	}
	if err != nil {
		return nil, fmt.Errorf("open journal: %w", err)
	}
	j := &Journal{cfg: cfg, file: file}
	if err := j.replay(replay); err != nil {
		_ = file.Close()
		return nil, err
	}
	if err := SyncDir(filepath.Dir(cfg.Path)); err != nil {
		_ = file.Close()
		return nil, err
	}
	return j, nil
}

func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

func openFile(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
}

// SyncDir syncs dir, which makes the creation, renaming and removal of files in it durable.
func SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("open folder to sync: %w", err)
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("sync folder %s: %w", dir, err)
	}
	return nil
}

// Size returns the length of the journal in bytes.
func (j *Journal) Size() int64 { return j.size }

// Append writes records and syncs them. If it returns ErrDiskFull, none of them is kept. After ErrBroken the journal is
// unusable.
func (j *Journal) Append(records ...*wire.JournalRecord) error {
	if j.broken {
		return ErrBroken
	}
	buf, err := encodeBatches(records)
	if err != nil {
		return err
	}
	if len(buf) == 0 {
		return nil
	}
	if _, err := j.file.WriteAt(buf, j.size); err != nil {
		return j.rollBack(err)
	}
	if err := j.file.Sync(); err != nil {
		j.broken = true
		return fmt.Errorf("%w: sync %s at offset %d: %w", ErrBroken, j.cfg.Path, j.size, err)
	}
	j.size += int64(len(buf))
	return nil
}

// encodeBatches encodes the records as one frame, or as several if they exceed maxPayloadBytes.
func encodeBatches(records []*wire.JournalRecord) ([]byte, error) {
	var buf []byte
	for len(records) > 0 {
		count, size := 0, 0
		for count < len(records) {
			size += proto.Size(records[count]) + batchOverheadBytes
			if count > 0 && size > maxPayloadBytes {
				break
			}
			count++
		}
		var err error
		if buf, err = appendFrame(buf, &wire.JournalBatch{Records: records[:count]}, maxPayloadBytes); err != nil {
			return nil, err
		}
		records = records[count:]
	}
	return buf, nil
}

// rollBack removes a partial write that failed for lack of space. After any other cause, or if the removal fails, the
// journal is broken.
func (j *Journal) rollBack(cause error) error {
	if !isNoSpace(cause) {
		j.broken = true
		return fmt.Errorf("%w: write %s at offset %d: %w", ErrBroken, j.cfg.Path, j.size, cause)
	}
	if err := j.file.Truncate(j.size); err != nil {
		j.broken = true
		return fmt.Errorf("%w: truncate %s to %d: %w", ErrBroken, j.cfg.Path, j.size, err)
	}
	if err := j.file.Sync(); err != nil {
		j.broken = true
		return fmt.Errorf("%w: sync %s after truncation to %d: %w", ErrBroken, j.cfg.Path, j.size, err)
	}
	return ErrDiskFull
}

// Close closes the journal file.
func (j *Journal) Close() error {
	if err := j.file.Close(); err != nil {
		return fmt.Errorf("close journal: %w", err)
	}
	return nil
}

// replay passes the records of the file to handle, removes a torn tail and makes the rest durable.
func (j *Journal) replay(handle func(*wire.JournalRecord) error) error {
	data, err := io.ReadAll(io.NewSectionReader(j.file, 0, 1<<62))
	if err != nil {
		return fmt.Errorf("read journal %s: %w", j.cfg.Path, err)
	}
	offset := 0
	for offset < len(data) {
		payload, detail := parseFrame(data[offset:], maxPayloadBytes)
		if detail != "" {
			if !isTornTail(data, offset) {
				return &CorruptionError{File: j.cfg.Path, Offset: int64(offset), Detail: detail}
			}
			if err := j.truncateTail(int64(offset)); err != nil {
				return err
			}
			break
		}
		if detail := replayBatch(payload, handle); detail != "" {
			return &CorruptionError{File: j.cfg.Path, Offset: int64(offset), Detail: detail}
		}
		offset += headerBytes + len(payload)
	}
	j.size = int64(offset)
	return j.makeDurable(data[:offset])
}

// replayBatch passes the records of a batch to handle. If that fails, detail says why.
func replayBatch(payload []byte, handle func(*wire.JournalRecord) error) (detail string) {
	batch := &wire.JournalBatch{}
	if err := proto.Unmarshal(payload, batch); err != nil {
		return "batch does not decode"
	}
	for _, record := range batch.GetRecords() {
		if err := handle(record); err != nil {
			return err.Error()
		}
	}
	return ""
}

// makeDurable rewrites in place the data that was read and syncs it. If an earlier process stopped before its sync, or
// its sync failed, the page cache may hold records that are not on disk. After a failed sync the kernel treats these
// pages as clean, so a sync alone would not write them.
func (j *Journal) makeDurable(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := j.file.WriteAt(data, 0); isNoSpace(err) {
		// Some full disks refuse even writes that need no new space.
		return fmt.Errorf("write %s in place: %w", j.cfg.Path, ErrDiskFull)
	} else if err != nil {
		return fmt.Errorf("write %s in place: %w", j.cfg.Path, err)
	}
	if err := j.file.Sync(); err != nil {
		return fmt.Errorf("sync %s after opening: %w", j.cfg.Path, err)
	}
	return nil
}

// truncateTail removes the data from offset on and syncs the file.
func (j *Journal) truncateTail(offset int64) error {
	if err := j.file.Truncate(offset); err != nil {
		return fmt.Errorf("truncate torn record of %s at offset %d: %w", j.cfg.Path, offset, err)
	}
	if err := j.file.Sync(); err != nil {
		return fmt.Errorf("sync %s after truncating a torn record at offset %d: %w", j.cfg.Path, offset, err)
	}
	j.size = offset
	return nil
}
