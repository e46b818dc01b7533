package soaker

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// linkState is what happens to the packets of a worker.
type linkState int

const (
	linkUp linkState = iota
	// linkCut drops packets in both directions.
	linkCut
	// linkAnswersLost drops the packets from the worker.
	linkAnswersLost
)

// fullBacklog is the backlog with which one connection that is not accepted makes the kernel drop requests for more, and
// normalBacklog the usual one.
const (
	fullBacklog   = 0
	normalBacklog = 128
)

// link is the network connection of one worker. It implements net.Listener for the worker's server. It outlives the
// worker's incarnations, which have the same address.
type link struct {
	*net.TCPListener

	mu    sync.Mutex
	state linkState
	// changed is closed when the state changes.
	changed chan struct{}
	// filler fills the backlog while packets to the worker are dropped.
	filler net.Conn
	open   map[*linkConn]bool
}

func listenLink(address string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &link{
		TCPListener: listener.(*net.TCPListener), changed: make(chan struct{}), open: map[*linkConn]bool{},
	}, nil
}

// set changes the state. Calls that are held are delivered or lost when the link is up again.
func (l *link) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == l.state {
		return
	}
	wasCut := l.state == linkCut
	l.state = state
	switch {
	case state == linkCut:
		_ = l.SetDeadline(time.Unix(1, 0))
		l.setBacklog(fullBacklog)
		l.filler, _ = net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
	case wasCut:
		l.setBacklog(normalBacklog)
		if l.filler != nil {
			_ = l.filler.Close()
		}
		_ = l.SetDeadline(time.Time{})
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) setBacklog(n int) {
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
	}
}

func (l *link) isUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == linkUp
}

// wait waits until packets of a direction pass, and reports whether they did not at first.
func (l *link) wait(toWorker bool) bool {
	for waited := false; ; waited = true {
		l.mu.Lock()
		pass, changed := l.state == linkUp || l.state == linkAnswersLost && toWorker, l.changed
		l.mu.Unlock()
		if pass {
			return waited
		}
		<-changed
	}
}

// Accept implements net.Listener.
func (l *link) Accept() (net.Conn, error) {
	for {
		l.wait(true)
		conn, err := l.TCPListener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &linkConn{Conn: conn, tcp: conn.(*net.TCPConn), link: l}
		l.mu.Lock()
		l.open[c] = true
		l.mu.Unlock()
		return c, nil
	}
}

// refuseWaiting resets the connections that were requested while packets to the worker were dropped.
func (l *link) refuseWaiting() {
	_ = l.SetDeadline(time.Now().Add(time.Millisecond))
	for {
		conn, err := l.TCPListener.Accept()
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

// endConnections ends the connections with the incarnation. With closes the peers notice that at once, otherwise when they
// next send something.
func (l *link) endConnections(closes bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.ended = true
		if closes {
			_ = c.tcp.SetLinger(0)
			_ = c.Conn.Close()
		}
		delete(l.open, c)
	}
}

// linkConn is a connection to one incarnation of a worker.
type linkConn struct {
	net.Conn
	tcp  *net.TCPConn
	link *link
	// ended is set once the incarnation has ended; guarded by link.mu.
	ended bool
}

type linkConnKey struct{}

// withConn is the ConnContext hook of the server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, linkConnKey{}, conn)
}

// hasEnded reports whether the context is that of a call to a former incarnation, which no longer carries it out.
func hasEnded(ctx context.Context) bool {
	c, ok := ctx.Value(linkConnKey{}).(*linkConn)
	return ok && c.hasEnded()
}

func (c *linkConn) hasEnded() bool {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.ended
}

// Read implements net.Conn.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	waited := c.link.wait(true)
	if c.hasEnded() {
		// The host resets a connection of a former process when something is sent on it.
		c.reset()
		return 0, net.ErrClosed
	}
	if waited && !c.survivesCut() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	waited := c.link.wait(false)
	if c.hasEnded() {
		return len(p), nil
	}
	if waited && !c.survivesCut() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// survivesCut reports whether what was held on the connection is delivered. Nothing is sent again for a peer that has
// reset its end.
func (c *linkConn) survivesCut() bool {
	broken := true
	if raw, err := c.tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			code, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
			broken = code != 0 || err != nil
		})
	}
	if !broken && rand.IntN(2) == 0 {
		return true
	}
	c.reset()
	return false
}

func (c *linkConn) reset() {
	_ = c.tcp.SetLinger(0)
	_ = c.Close()
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.open, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}
