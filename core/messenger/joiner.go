package messenger

import (
	"encoding/binary"
	"net"
)

// The header of a yamux frame.
const (
	frameHeaderBytes = 12
	frameTypeAt      = 1
	frameLengthAt    = 8
	frameTypeData    = 0
)

// joiner writes the header of a data frame together with the body that follows, which yamux hands over in two calls: one
// write for each frame halves the system calls. Only one goroutine writes.
type joiner struct {
	net.Conn
	frame []byte
}

// Write implements net.Conn. It reports a header that waits for its body as written.
func (j *joiner) Write(data []byte) (int, error) {
	if len(j.frame) == 0 && isDataHeader(data) {
		j.frame = append(j.frame, data...)
		return len(data), nil
	}
	if len(j.frame) == 0 {
		return j.Conn.Write(data)
	}
	waiting := len(j.frame)
	j.frame = append(j.frame, data...)
	written, err := j.Conn.Write(j.frame)
	j.frame = j.frame[:0]
	return max(0, written-waiting), err
}

// isDataHeader reports whether data is the header of a frame whose body comes next.
func isDataHeader(data []byte) bool {
	return len(data) == frameHeaderBytes && data[frameTypeAt] == frameTypeData &&
		binary.BigEndian.Uint32(data[frameLengthAt:]) > 0
}
