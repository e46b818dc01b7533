// Package relay stands between processes of a cell and can cut them off from each other silently.
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
	bufferBytes = 32 << 10
	holdPause   = 5 * time.Millisecond
)

// Cut reports whether traffic between two IP numbers is held back now.
type Cut func(from, to string) bool

// Relay passes connections to one address on to another.
type Relay struct {
	listener net.Listener
	to       string
	cut      Cut

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// delay is how long bytes are on their way.
	delay time.Duration
	// bytes counts what passed in both directions, by the IP number of the connecting process.
	bytes map[string]int64
}

// Start listens on an address and passes connections on to another. While cut is true for the two ends, bytes are held
// back and neither end learns of it.
func Start(listen, to string, cut Cut) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &Relay{listener: listener, to: to, cut: cut, conns: map[net.Conn]struct{}{}, bytes: map[string]int64{}}
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
	for r.cut(from, to) {
		time.Sleep(holdPause)
	}
	out, err := net.DialTimeout("tcp", r.to, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	r.track(in, out)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); r.pump(in, out, from, func() bool { return r.cut(from, to) }) }()
	go func() { defer wg.Done(); r.pump(out, in, from, func() bool { return r.cut(to, from) }) }()
	wg.Wait()
	r.untrack(in, out)
}

// Bytes returns the payload bytes that passed in both directions, by the IP number of the connecting process.
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

func (r *Relay) pump(from, to net.Conn, peer string, held func() bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		for held() {
			time.Sleep(holdPause)
		}
		if n > 0 {
			time.Sleep(r.wait())
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

// SetDelay lets bytes take longer from now on.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

func (r *Relay) wait() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

// Reset resets all present connections at both ends; bytes on their way are lost.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if conn, ok := c.(*net.TCPConn); ok {
			// Closing without lingering sends a reset.
			_ = conn.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends the relay and its connections.
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
