// Package relay forwards TCP connections between processes of a cell and can block, delay or reset them, to simulate
// network faults.
package relay

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"sync"
	"time"
)

const (
	bufferBytes          = 32 << 10
	blockedCheckInterval = 5 * time.Millisecond
)

// Blocked reports whether traffic from one IP address to another is blocked.
type Blocked func(from, to string) bool

// Relay forwards connections to one address to another address.
type Relay struct {
	listener net.Listener
	to       string
	blocked  Blocked

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// delay is added to each chunk of bytes.
	delay time.Duration
	// bytes counts the forwarded payload bytes of both directions, by the IP address of the connecting process.
	bytes map[string]int64
}

// Start listens on an address and forwards connections to another. While blocked returns true for a direction, its
// bytes are not forwarded and connections stay open, as in a partition that drops packets silently.
func Start(listen, to string, blocked Blocked) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &Relay{listener: listener, to: to, blocked: blocked, conns: map[net.Conn]struct{}{}, bytes: map[string]int64{}}
	go r.accept()
	return r, nil
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *Relay) serve(in net.Conn) {
	from, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	to, _, _ := net.SplitHostPort(r.to)
	for r.blocked(from, to) {
		time.Sleep(blockedCheckInterval)
	}
	out, err := net.DialTimeout("tcp", r.to, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	r.track(in, out)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); r.forward(in, out, from, func() bool { return r.blocked(from, to) }) }()
	go func() { defer wg.Done(); r.forward(out, in, from, func() bool { return r.blocked(to, from) }) }()
	wg.Wait()
	r.untrack(in, out)
}

// Bytes returns the forwarded payload bytes of both directions, by the IP address of the connecting process.
func (r *Relay) Bytes() map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.bytes)
}

func (r *Relay) count(peer string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes[peer] += int64(n)
}

func (r *Relay) forward(from, to net.Conn, peer string, blocked func() bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		for blocked() {
			time.Sleep(blockedCheckInterval)
		}
		if n > 0 {
			time.Sleep(r.currentDelay())
			r.count(peer, n)
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}

func (r *Relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
}

func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
	}
}

// SetDelay sets the delay that is added to each chunk of bytes.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

func (r *Relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

// Reset resets all open connections at both ends; bytes in flight are lost.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if conn, ok := c.(*net.TCPConn); ok {
			// With a linger time of 0, Close sends a reset.
			_ = conn.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
