package dispatcher

import (
	"bufio"
	"errors"
	"net"
	"syscall"
)

var errAnswerTooLarge = errors.New("the answer exceeds the limit")

// countingConn counts the bytes that were handed to the kernel and bounds those of one answer.
type countingConn struct {
	net.Conn
	written  int64
	readLeft int64
}

// Write passes data on.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

// Read passes data on until the bound is reached.
func (c *countingConn) Read(data []byte) (int, error) {
	if c.readLeft <= 0 {
		return 0, errAnswerTooLarge
	}
	n, err := c.Conn.Read(data[:min(int64(len(data)), c.readLeft)])
	c.readLeft -= int64(n)
	return n, err
}

// connection is one connection to a target. It carries one exchange at a time.
type connection struct {
	conn   *countingConn
	reader *bufio.Reader
}

func newConnection(conn net.Conn) *connection {
	counting := &countingConn{Conn: conn}
	return &connection{conn: counting, reader: bufio.NewReader(counting)}
}

// clean reports whether an idle connection is open and nothing arrived on it. Bytes that nobody asked for could be taken
// for the answer to the next request. The kernel is asked directly: a read with a short deadline ends without looking at
// the socket when the process is slow.
func (c *connection) clean() bool {
	raw, ok := c.conn.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peeked, syscall.EAGAIN)
}

func (c *connection) close() { _ = c.conn.Close() }
