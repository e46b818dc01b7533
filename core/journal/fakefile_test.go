package journal

import (
	"errors"
	"io"
	"syscall"
)

var errInjected = errors.New("injected fault")

// fakeFile is an in-memory File. It keeps the content that a process reads apart from the content that survives a power
// loss.
type fakeFile struct {
	// cached is the content of the page cache; synced is the content on disk.
	cached []byte
	synced []byte
	// space is the maximum size of the file in bytes; negative means no limit.
	space int
	// fail holds the errors that the operations "write", "sync" and "truncate" return.
	fail  map[string]error
	syncs int
	// lostPages is set while pages from a failed sync are neither on disk nor dirty.
	lostPages bool
}

func newFakeFile(content []byte) *fakeFile {
	return &fakeFile{
		cached: append([]byte(nil), content...), synced: append([]byte(nil), content...),
		space: -1, fail: map[string]error{},
	}
}

func (f *fakeFile) ReadAt(p []byte, off int64) (int, error) {
	if off >= int64(len(f.cached)) {
		return 0, io.EOF
	}
	n := copy(p, f.cached[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *fakeFile) WriteAt(p []byte, off int64) (int, error) {
	if err := f.fail["write"]; err != nil {
		return 0, err
	}
	n := len(p)
	if f.space >= 0 {
		n = max(0, min(n, f.space-int(off)))
	}
	if end := int(off) + n; end > len(f.cached) {
		f.cached = append(f.cached, make([]byte, end-len(f.cached))...)
	}
	copy(f.cached[off:], p[:n])
	if off == 0 {
		// Rewriting the file from its start makes every page dirty again.
		f.lostPages = false
	}
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Sync makes the content durable. After a failed sync the kernel treats the pages as clean, so a later sync does not
// write them.
func (f *fakeFile) Sync() error {
	f.syncs++
	if err := f.fail["sync"]; err != nil {
		f.lostPages = true
		return err
	}
	if !f.lostPages {
		f.synced = append([]byte(nil), f.cached...)
	}
	return nil
}

func (f *fakeFile) Truncate(size int64) error {
	if err := f.fail["truncate"]; err != nil {
		return err
	}
	f.cached = f.cached[:size]
	return nil
}

func (f *fakeFile) Close() error { return nil }

// resetChecksums updates the checksums of a frame after a change to it.
func resetChecksums(frame []byte) {
	setChecksums(frame[:headerBytes], frame[headerBytes:])
}
