package messenger

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// Layout of a yamux frame header: its size, the offsets of its type and length fields, and the type of data frames.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameTypeData     = 0
)

// coalescingConn writes the header and the body of a data frame in one call, which halves the system calls: yamux
// writes them separately. It also counts the reads that returned data. It is not safe for concurrent writes; yamux
// writes from one goroutine.
type coalescingConn struct {
	net.Conn
	// frame holds a header that waits for its body.
	frame []byte
	// reads is the number of reads that returned data.
	reads atomic.Uint64
}

// Read implements net.Conn.
func (c *coalescingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.reads.Add(1)
	}
	return n, err
}

// Write implements net.Conn. A header is buffered until its body follows, but reported as written at once.
func (c *coalescingConn) Write(data []byte) (int, error) {
	if len(c.frame) == 0 && isDataHeader(data) {
		c.frame = append(c.frame, data...)
		return len(data), nil
	}
	if len(c.frame) == 0 {
		return c.Conn.Write(data)
	}
	buffered := len(c.frame)
	c.frame = append(c.frame, data...)
	written, err := c.Conn.Write(c.frame)
	c.frame = c.frame[:0]
	return max(0, written-buffered), err
}

// isDataHeader reports whether data is the header of a data frame that is followed by a body.
func isDataHeader(data []byte) bool {
	return len(data) == frameHeaderBytes && data[frameTypeOffset] == frameTypeData &&
		binary.BigEndian.Uint32(data[frameLengthOffset:]) > 0
}
