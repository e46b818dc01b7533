// Package httpguard creates the HTTP servers of a process, with limits on what clients can take of its memory,
// descriptors and time.
package httpguard

import (
	"context"
	"net"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"flamingodrift.example/core/bodylimiter"
	"flamingodrift.example/core/bytelimiter"
	"flamingodrift.example/core/connlimiter"
	"flamingodrift.example/core/refusalrecorder"
)

// defaultSocketBytes bounds each buffer of a connection; the system allows up to several MiB otherwise, which count as memory
// of the host. Linux doubles the value. At a round trip of 10 ms it allows 12 MB a second.
const defaultSocketBytes = 64 << 10

// Config holds the limits that the servers of a process share.
type Config struct {
	// Budget limits the memory of the bodies in progress at all servers.
	Budget *bytelimiter.Limiter
	// HeaderTimeout is the time in which the headers of a request must arrive, and BodyTimeout that for its body.
	HeaderTimeout, BodyTimeout time.Duration
	// ResponseTimeout is the time in which a client must read a response.
	ResponseTimeout time.Duration
	// IdleTimeout closes a connection without a request.
	IdleTimeout    time.Duration
	MaxHeaderBytes int
	// SocketBufferBytes bounds what the system keeps of requests that have not been read, and of responses that have not
	// been received, for each connection; 0 means 64 KiB. It bounds how many requests a client can send without reading the
	// responses.
	SocketBufferBytes int
	Recorder          *refusalrecorder.Recorder
}

// Guard creates servers.
type Guard struct {
	cfg Config
}

// New returns a Guard.
func New(cfg Config) *Guard {
	if cfg.SocketBufferBytes == 0 {
		cfg.SocketBufferBytes = defaultSocketBytes
	}
	return &Guard{cfg: cfg}
}

// Server returns a server that allows maxConnections, and the name by which metrics and logs refer to it. The filters see
// each request before the handlers.
func (g *Guard) Server(name, address string, maxConnections int, filters ...khttp.FilterFunc) *khttp.Server {
	bodies := bodylimiter.New(bodylimiter.Config{
		Listener: name, Budget: g.cfg.Budget, BodyTimeout: g.cfg.BodyTimeout, ResponseTimeout: g.cfg.ResponseTimeout,
		Recorder: g.cfg.Recorder,
	})
	connections := connlimiter.New(connlimiter.Config{
		Max: maxConnections, OnRefused: func() { g.cfg.Recorder.Refused(refusalrecorder.Connections, name) },
	})
	// Each request has a timeout of its own; the transport's default timeout of one second would end longer ones early.
	server := khttp.NewServer(khttp.Address(address), khttp.Timeout(0),
		khttp.Filter(append([]khttp.FilterFunc{bodies.Wrap}, filters...)...))
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		g.limitBuffers(conn)
		return connections.Context(ctx, conn)
	}
	server.ConnState = connections.Track
	server.MaxHeaderBytes = g.cfg.MaxHeaderBytes
	server.ReadHeaderTimeout = g.cfg.HeaderTimeout
	// It begins anew with the first byte of the response, so it does not limit how long a handler takes.
	server.WriteTimeout = g.cfg.ResponseTimeout
	server.IdleTimeout = g.cfg.IdleTimeout
	return server
}

// limitBuffers bounds the memory of the system for data that this process or its client has not read.
func (g *Guard) limitBuffers(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// A failure leaves the system's own sizes.
		_ = tcp.SetReadBuffer(g.cfg.SocketBufferBytes)
		_ = tcp.SetWriteBuffer(g.cfg.SocketBufferBytes)
	}
}

// AlsoTrack adds a callback for the states of a server's connections.
func AlsoTrack(server *khttp.Server, track func(net.Conn, http.ConnState)) {
	limit := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		track(conn, state)
		limit(conn, state)
	}
}
