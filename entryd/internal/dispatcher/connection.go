package dispatcher

import (
	"bufio"
	"errors"
	"net"
	"syscall"
)

var errAnswerTooLarge = errors.New("the answer exceeds the limit")

// countingConn counts the bytes that were passed to the kernel and limits how many bytes of one answer are read.
type countingConn struct {
	net.Conn
	written  int64
	readLeft int64
}

// Write writes data and counts the bytes that were accepted.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

// Read reads until the limit is reached, then returns errAnswerTooLarge.
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

// isReusable reports whether an idle connection is open and has no unread bytes. Unsolicited bytes could be taken for
// the answer to the next request. The socket is peeked without blocking: a read with a short deadline can expire before
// it looks at the socket when the process is slow.
func (c *connection) isReusable() bool {
	raw, ok := c.conn.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}

func (c *connection) close() { _ = c.conn.Close() }
