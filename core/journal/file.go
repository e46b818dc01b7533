package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"
)

// maxFileBytes bounds the message in a file written by WriteFile.
const maxFileBytes = 128 << 20

// WriteFile atomically replaces the file at path by one that holds msg: after a crash the file has either the old or
// the new content. It returns ErrDiskFull and leaves the old content if there is no space. The new file is created with
// open; nil uses the operating system.
func WriteFile(path string, msg proto.Message, open Opener) error {
	data, err := appendFrame(nil, msg, maxFileBytes)
	if err != nil {
		return err
	}
	if open == nil {
		open = openFile
	}
	return replaceFile(path, data, open)
}

// replaceFile writes data to a temporary file next to path, syncs it, renames it to path and syncs the folder.
func replaceFile(path string, data []byte, open Opener) error {
	tempPath := path + ".new"
	if err := writeAndSync(tempPath, data, open); err != nil {
		_ = os.Remove(tempPath)
		if isNoSpace(err) {
			return ErrDiskFull
		}
		return err
	}
	if err := os.Rename(tempPath, path); err != nil {
		_ = os.Remove(tempPath)
		if isNoSpace(err) {
			return ErrDiskFull
		}
		return fmt.Errorf("rename %s: %w", tempPath, err)
	}
	return SyncDir(filepath.Dir(path))
}

func writeAndSync(path string, data []byte, open Opener) error {
	f, err := open(path)
	if err != nil {
		return fmt.Errorf("create %s: %w", path, err)
	}
	if err := f.Truncate(0); err != nil {
		_ = f.Close()
		return fmt.Errorf("truncate %s: %w", path, err)
	}
	if _, err := f.WriteAt(data, 0); err != nil {
		_ = f.Close()
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return fmt.Errorf("sync %s: %w", path, err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close %s: %w", path, err)
	}
	return nil
}

// ReadFile reads a file written by WriteFile into msg. It returns fs.ErrNotExist if there is no file and a
// *CorruptionError if its content is truncated, altered or followed by other data.
func ReadFile(path string, msg proto.Message) error {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return fs.ErrNotExist
	}
	if err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	payload, detail := parseFrame(data, maxFileBytes)
	if detail != "" {
		return &CorruptionError{File: path, Detail: detail}
	}
	if headerBytes+len(payload) != len(data) {
		return &CorruptionError{File: path, Offset: int64(headerBytes + len(payload)), Detail: "data after the end"}
	}
	if err := proto.Unmarshal(payload, msg); err != nil {
		return &CorruptionError{File: path, Offset: headerBytes, Detail: "content does not decode"}
	}
	return nil
}
