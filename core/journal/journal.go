// Package journal keeps an append-only file of records that survive a crash once synced.
package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

// Every record is a header of 12 bytes and a payload: length (4 bytes), version (2), reserved (2), CRC-32C (4) over the
// first 8 header bytes and the payload. Numbers are little-endian.
const (
	headerBytes     = 12
	version         = 1
	maxPayloadBytes = 16 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	// ErrDiskFull is returned by Append when there is no space. The journal is unchanged and may be used again.
	ErrDiskFull = errors.New("no space left for the journal")
	// ErrBroken is returned after a failed sync or a failed repair. The journal must not be used again in this process,
	// because the kernel may have dropped the unsynced pages.
	ErrBroken = errors.New("journal is unusable after a failed write")
)

// DamageError says where a journal cannot be read.
type DamageError struct {
	File   string
	Offset int64
	Detail string
}

// Error names the file and the offset in bytes.
func (e *DamageError) Error() string {
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
	Open func(path string) (File, error)
}

// Journal appends records to one file. It is not safe for concurrent use.
type Journal struct {
	cfg    Config
	file   File
	size   int64
	broken bool
}

// Open reads the journal and passes each record to replay. A torn record at the end, with nothing valid after it, is
// cut off. Damage anywhere else is a *DamageError.
func Open(cfg Config, replay func(*wire.JournalRecord) error) (*Journal, error) {
	if cfg.Open == nil {
		cfg.Open = openFile
	}
	file, err := cfg.Open(cfg.Path)
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
	var buf []byte
	for _, record := range records {
		var err error
		if buf, err = frame(buf, record, maxPayloadBytes); err != nil {
			return err
		}
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

// undo removes a partly written batch.
func (j *Journal) undo(cause error) error {
	if !errors.Is(cause, syscall.ENOSPC) && !errors.Is(cause, syscall.EDQUOT) {
		j.broken = true
		return fmt.Errorf("%w: write %s at offset %d: %w", ErrBroken, j.cfg.Path, j.size, cause)
	}
	if err := j.file.Truncate(j.size); err != nil {
		j.broken = true
		return fmt.Errorf("%w: truncate %s to %d: %w", ErrBroken, j.cfg.Path, j.size, err)
	}
	if err := j.file.Sync(); err != nil {
		j.broken = true
		return fmt.Errorf("%w: sync %s after truncation: %w", ErrBroken, j.cfg.Path, err)
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

// frame appends a record that holds msg to buf.
func frame(buf []byte, msg proto.Message, limit int) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, headerBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, msg)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	header := buf[start : start+headerBytes]
	payload := buf[start+headerBytes:]
	if len(payload) > limit {
		return nil, fmt.Errorf("record of %d bytes exceeds %d", len(payload), limit)
	}
	binary.LittleEndian.PutUint32(header, uint32(len(payload)))
	binary.LittleEndian.PutUint16(header[4:], version)
	binary.LittleEndian.PutUint32(header[8:], checksum(header, payload))
	return buf, nil
}

func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:8], castagnoli), castagnoli, payload)
}

func (j *Journal) replay(handle func(*wire.JournalRecord) error) error {
	data, err := io.ReadAll(io.NewSectionReader(j.file, 0, 1<<62))
	if err != nil {
		return fmt.Errorf("read journal %s: %w", j.cfg.Path, err)
	}
	offset := 0
	for offset < len(data) {
		payload, detail := parseRecord(data[offset:], maxPayloadBytes)
		if detail != "" {
			if tornTail(data[offset:]) {
				return j.cut(int64(offset))
			}
			return &DamageError{File: j.cfg.Path, Offset: int64(offset), Detail: detail}
		}
		record := &wire.JournalRecord{}
		if err := proto.Unmarshal(payload, record); err != nil {
			return &DamageError{File: j.cfg.Path, Offset: int64(offset), Detail: "record does not decode"}
		}
		if err := handle(record); err != nil {
			return &DamageError{File: j.cfg.Path, Offset: int64(offset), Detail: err.Error()}
		}
		offset += headerBytes + len(payload)
	}
	j.size = int64(offset)
	return nil
}

// parseRecord returns the payload of the record at the start of data, or what is wrong with it.
func parseRecord(data []byte, limit uint32) (payload []byte, detail string) {
	if len(data) < headerBytes {
		return nil, "header is cut short"
	}
	size := binary.LittleEndian.Uint32(data)
	if size > limit {
		return nil, fmt.Sprintf("length %d exceeds %d", size, limit)
	}
	if len(data) < headerBytes+int(size) {
		return nil, "payload is cut short"
	}
	payload = data[headerBytes : headerBytes+int(size)]
	if checksum(data[:headerBytes], payload) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, "checksum does not match"
	}
	if v := binary.LittleEndian.Uint16(data[4:]); v != version {
		return nil, fmt.Sprintf("version %d, want %d", v, version)
	}
	return payload, ""
}

// tornTail reports whether no valid record follows the damaged start of data. Then the damage is an append that a crash
// interrupted, and nothing in it was acknowledged.
func tornTail(data []byte) bool {
	for at := 1; at+headerBytes <= len(data); at++ {
		if _, detail := parseRecord(data[at:], maxPayloadBytes); detail == "" && binary.LittleEndian.Uint32(data[at:]) > 0 {
			return false
		}
	}
	// A whole record of a foreign version is no torn append.
	if len(data) >= headerBytes && binary.LittleEndian.Uint16(data[4:]) != version && wholeRecord(data) {
		return false
	}
	return true
}

func wholeRecord(data []byte) bool {
	size := int(binary.LittleEndian.Uint32(data))
	if size > maxPayloadBytes || len(data) < headerBytes+size {
		return false
	}
	return checksum(data[:headerBytes], data[headerBytes:headerBytes+size]) == binary.LittleEndian.Uint32(data[8:])
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
