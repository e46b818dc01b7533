// Package journal keeps an append-only file of records that survive a crash once synced.
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
	// ErrDiskFull is returned by Append when there is no space. The journal is unchanged and may be used again.
	ErrDiskFull = errors.New("no space left for the journal")
	// ErrBroken is returned after a failed sync or a failed repair. The journal must not be used again in this process,
	// because the kernel may have dropped the unsynced pages.
	ErrBroken = errors.New("journal is unusable after a failed write")
)

// CorruptionError says where a journal cannot be read.
type CorruptionError struct {
	File   string
	Offset int64
	Detail string
}

// Error names the file and the offset in bytes.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("journal %s is damaged at offset %d: %s", e.File, e.Offset, e.Detail)
}

// File is the part of os.File that a Journal uses.
type File interface {
	io.ReaderAt
	io.WriterAt
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Config says where a Journal lives.
type Config struct {
	// Path of the journal file. Its folder must exist.
	Path string
	// Open opens the file; nil uses the operating system.
	Open Opener
}

// Opener opens a file for reading and writing and creates it when there is none.
type Opener func(path string) (File, error)

// batchOverhead bounds the bytes that a batch adds to each record: a field tag and a length.
const batchOverhead = 6

// Journal appends records to one file. It is not safe for concurrent use.
type Journal struct {
	cfg    Config
	file   File
	size   int64
	broken bool
}

// Open reads the journal and passes each record to replay. An append at the end that a crash interrupted is cut off.
// Any other damage is a *CorruptionError. Records that were replayed are durable. It returns ErrDiskFull when the file
// cannot be created or made durable for lack of space.
func Open(cfg Config, replay func(*wire.JournalRecord) error) (*Journal, error) {
	if cfg.Open == nil {
		cfg.Open = openFile
	}
	file, err := cfg.Open(cfg.Path)
	if noSpace(err) {
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

func noSpace(err error) bool { return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) }

func openFile(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
}

// SyncDir makes the creation, renaming and removal of files in dir durable.
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

// Append writes records and syncs them. On ErrDiskFull none of them is kept. Any other error leaves the journal
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
		return j.undo(err)
	}
	if err := j.file.Sync(); err != nil {
		j.broken = true
		return fmt.Errorf("%w: sync %s at offset %d: %w", ErrBroken, j.cfg.Path, j.size, err)
	}
	j.size += int64(len(buf))
	return nil
}

// encodeBatches puts the records into one frame, or into several when they exceed the limit of a frame.
func encodeBatches(records []*wire.JournalRecord) ([]byte, error) {
	var buf []byte
	for len(records) > 0 {
		count, size := 0, 0
		for count < len(records) {
			size += proto.Size(records[count]) + batchOverhead
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

// undo removes a partly written batch.
func (j *Journal) undo(cause error) error {
	if !noSpace(cause) {
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

// Close releases the file.
func (j *Journal) Close() error {
	if err := j.file.Close(); err != nil {
		return fmt.Errorf("close journal: %w", err)
	}
	return nil
}

func (j *Journal) replay(handle func(*wire.JournalRecord) error) error {
	data, err := io.ReadAll(io.NewSectionReader(j.file, 0, 1<<62))
	if err != nil {
		return fmt.Errorf("read journal %s: %w", j.cfg.Path, err)
	}
	offset := 0
	for offset < len(data) {
		payload, detail := parseFrame(data[offset:], maxPayloadBytes)
		if detail != "" {
			if !tornTail(data, offset) {
				return &CorruptionError{File: j.cfg.Path, Offset: int64(offset), Detail: detail}
			}
			if err := j.cut(int64(offset)); err != nil {
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

// makeDurable writes what was read in place and syncs it. An earlier process may have stopped before its sync, or the
// sync may have failed; then the page cache holds records that the disk does not, and a sync alone would not write them.
func (j *Journal) makeDurable(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if _, err := j.file.WriteAt(data, 0); noSpace(err) {
		// Some disks refuse even what takes no new space while they are full.
		return fmt.Errorf("write %s in place: %w", j.cfg.Path, ErrDiskFull)
	} else if err != nil {
		return fmt.Errorf("write %s in place: %w", j.cfg.Path, err)
	}
	if err := j.file.Sync(); err != nil {
		return fmt.Errorf("sync %s after opening: %w", j.cfg.Path, err)
	}
	return nil
}

func (j *Journal) cut(offset int64) error {
	if err := j.file.Truncate(offset); err != nil {
		return fmt.Errorf("cut torn record of %s at offset %d: %w", j.cfg.Path, offset, err)
	}
	if err := j.file.Sync(); err != nil {
		return fmt.Errorf("sync %s after cutting a torn record at offset %d: %w", j.cfg.Path, offset, err)
	}
	j.size = offset
	return nil
}
