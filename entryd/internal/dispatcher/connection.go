package dispatcher

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"
)

// countingConn counts the bytes that were handed to the kernel.
type countingConn struct {
	net.Conn
	written int64
}

// Write passes data on.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

// connection is one connection to a target. It carries one exchange at a time.
type connection struct {
	conn   *countingConn
	reader *bufio.Reader
	writer *bufio.Writer
}

func newConnection(conn net.Conn) *connection {
	counting := &countingConn{Conn: conn}
	return &connection{conn: counting, reader: bufio.NewReader(counting), writer: bufio.NewWriter(counting)}
}

// clean reports whether an idle connection is open and nothing arrived on it. Bytes that nobody asked for could be taken
// for the answer to the next request.
func (c *connection) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(time.Millisecond / 10)); err != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded) && c.conn.SetReadDeadline(time.Time{}) == nil
}

func (c *connection) close() { _ = c.conn.Close() }
