// Package messenger sends requests and replies between flamingodrift processes, over yamux sessions on TCP. A stream
// carries one request at a time and is reused afterwards.
package messenger

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"flamingodrift.example/core/bytelimiter"
	"flamingodrift.example/core/codec"
	"flamingodrift.example/core/connlimiter"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/refusalrecorder"
	"flamingodrift.example/core/wire"
)

const (
	// connectTimeout is short, because a host without power does not refuse connections and another one may answer.
	connectTimeout   = 300 * time.Millisecond
	sendTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	maxTokenBytes    = 256
	// sendQueueLength is the number of one-way requests that are queued for a peer before further ones are dropped.
	sendQueueLength = 256
	// defaultMaxSessions limits the incoming sessions.
	defaultMaxSessions = 512
	// maxHandshakes limits the connections that have not sent their token yet. Peers send it at once.
	maxHandshakes = 64
	// maxStreams limits the incoming streams of all sessions. Each request in progress has one.
	maxStreams = 8192
	// acceptRetryDelay is the delay after a failed accept, for example without free descriptors.
	acceptRetryDelay = 50 * time.Millisecond
	// maxIdleStreams limits the idle streams that are kept for each outgoing session.
	maxIdleStreams = 64

	defaultKeepAlive = 2 * time.Second
)

var (
	requests = codec.New(func() *wire.Request { return &wire.Request{} })
	replies  = codec.New(func() *wire.Reply { return &wire.Reply{} })
)

// Error is returned by Call. Sent is false only if no byte of the request can have reached the peer.
type Error struct {
	Sent  bool
	Cause error
}

// Error states whether the request may have been sent, and the cause.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("no reply: %v", e.Cause)
	}
	return fmt.Sprintf("not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Handler handles a request from a peer. With a nil reply, nothing is sent back.
type Handler func(ctx context.Context, request *wire.Request) *wire.Reply

// Config holds what a Messenger needs.
type Config struct {
	// Token is the secret shared by all processes of a cell. A session with another token is refused.
	Token string
	// LocalAddress is the address that this process listens on. Outgoing connections use its IP number as their source;
	// if it is empty, the system chooses.
	LocalAddress string
	Handler      Handler
	// KeepAlive is both the interval and the timeout of keep-alive probes; 0 means 2 s. A session whose connection
	// silently fails is closed within twice this time. Otherwise TCP's retransmission back-off would stall it for
	// minutes after the network has recovered.
	KeepAlive time.Duration
	// Logger receives the panics of Handler; nil discards them.
	Logger *slog.Logger
	// MaxSessions limits the incoming sessions; 0 means 512.
	MaxSessions int
	// FrameBudget limits the memory of incoming requests above 4 KiB; nil means no limit.
	FrameBudget *bytelimiter.Limiter
	// FrameTimeout is the time in which such a request must arrive; 0 means no limit.
	FrameTimeout time.Duration
	// Recorder counts refusals; nil discards them.
	Recorder *refusalrecorder.Recorder
}

// Messenger sends requests to peers and serves theirs. It is safe for concurrent use.
type Messenger struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	active sync.WaitGroup
	// handshakes tracks the connections that have not sent their token yet.
	handshakes *connlimiter.Limiter
	// streams is the number of incoming streams.
	streams atomic.Int64

	mu       sync.Mutex
	sessions map[string]*peerSession
	// dialing holds a lock for each peer, which lets one goroutine dial at a time.
	dialing map[string]*sync.Mutex
	// sendQueues holds the one-way requests for each peer.
	sendQueues map[string]chan *wire.Request
	inbound    map[*yamux.Session]struct{}
	// idle holds the streams of outgoing sessions on which the last request was answered, for reuse. A new stream for
	// each request would cost several frames on both sides.
	idle map[*peerSession][]net.Conn
}

// peerSession is an outgoing session.
type peerSession struct {
	*yamux.Session
	conn *coalescingConn
}

// New returns a Messenger without connections.
func New(cfg Config) *Messenger {
	if cfg.KeepAlive == 0 {
		cfg.KeepAlive = defaultKeepAlive
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.MaxSessions == 0 {
		cfg.MaxSessions = defaultMaxSessions
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		cfg: cfg, ctx: ctx, cancel: cancel,
		handshakes: connlimiter.New(connlimiter.Config{
			Max: maxHandshakes, OnRefused: func() { cfg.Recorder.Refused(refusalrecorder.Handshake, listenerName) },
		}),
		sessions:   map[string]*peerSession{},
		dialing:    map[string]*sync.Mutex{},
		sendQueues: map[string]chan *wire.Request{},
		inbound:    map[*yamux.Session]struct{}{},
		idle:       map[*peerSession][]net.Conn{},
	}
}

// Call sends a request and waits for its reply. Every error is an *Error.
func (m *Messenger) Call(ctx context.Context, address string, request *wire.Request) (*wire.Reply, error) {
	stream, session, err := m.openStream(ctx, address)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	reads := session.conn.reads.Load()
	reply, err := m.exchange(ctx, stream, request)
	if err == nil {
		m.keepIdle(session, stream)
		return reply, nil
	}
	_ = stream.Close()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && session.conn.reads.Load() == reads {
		// The connection may have failed silently; the next call opens a new one. A session on which anything arrived
		// meanwhile is kept: closing it would cut off all other calls to a peer that is only slow.
		m.dropSession(address, session)
	}
	return nil, err
}

// exchange sends a request on a stream and waits for the reply.
func (m *Messenger) exchange(ctx context.Context, stream net.Conn, request *wire.Request) (*wire.Reply, error) {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		_ = stream.SetDeadline(time.Unix(1, 0))
	})
	if err := ctx.Err(); err != nil {
		return nil, &Error{Cause: err}
	}
	if err := requests.Write(stream, request); err != nil {
		return nil, &Error{Sent: !errors.Is(err, codec.ErrTooLarge), Cause: err}
	}
	reply, err := replies.Read(stream)
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: true, Cause: err}
	}
	if !stop() {
		// The context ended just after the reply arrived. Clear the deadline, so that it does not end the next request.
		<-ended
		_ = stream.SetDeadline(time.Time{})
	}
	return reply, nil
}

// keepIdle makes a stream available to the next request, or closes it if it cannot be kept.
func (m *Messenger) keepIdle(session *peerSession, stream net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if session.IsClosed() || len(m.idle[session]) >= maxIdleStreams {
		_ = stream.Close()
		return
	}
	m.idle[session] = append(m.idle[session], stream)
}

// takeIdle returns an idle stream of the session; nil if there is none.
func (m *Messenger) takeIdle(session *peerSession) net.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	streams := m.idle[session]
	if len(streams) == 0 {
		return nil
	}
	m.idle[session] = streams[:len(streams)-1]
	return streams[len(streams)-1]
}

// Send sends a one-way request, without waiting for a reply. Requests to a peer are sent in order. When the peer is
// unreachable or slow, requests are dropped.
func (m *Messenger) Send(address string, request *wire.Request) {
	m.mu.Lock()
	queue := m.sendQueues[address]
	if queue == nil && m.ctx.Err() == nil {
		queue = make(chan *wire.Request, sendQueueLength)
		m.sendQueues[address] = queue
		go m.runSendQueue(address, queue)
	}
	m.mu.Unlock()
	select {
	case queue <- request:
	default:
	}
}

// runSendQueue sends the one-way requests for a peer until the Messenger is closed. They share one stream, which is
// reopened after an error.
func (m *Messenger) runSendQueue(address string, queue chan *wire.Request) {
	var stream net.Conn
	for {
		select {
		case <-m.ctx.Done():
			return
		case request := <-queue:
			if stream == nil {
				ctx, cancel := context.WithTimeout(m.ctx, connectTimeout)
				stream, _, _ = m.openStream(ctx, address)
				cancel()
			}
			if stream == nil {
				continue
			}
			_ = stream.SetWriteDeadline(time.Now().Add(sendTimeout))
			if err := requests.Write(stream, request); err != nil {
				_ = stream.Close()
				stream = nil
			}
		}
	}
}

// openStream returns a stream to a peer, if possible an idle one. If the existing session turns out to be broken, it
// tries once more with a new one.
func (m *Messenger) openStream(ctx context.Context, address string) (net.Conn, *peerSession, error) {
	for attempt := 0; ; attempt++ {
		session, created, err := m.session(ctx, address)
		if err != nil {
			return nil, nil, err
		}
		if stream := m.takeIdle(session); stream != nil {
			return stream, session, nil
		}
		stream, err := session.OpenStream()
		if err == nil {
			return stream, session, nil
		}
		m.dropSession(address, session)
		if created || attempt > 0 {
			return nil, nil, fmt.Errorf("open stream to %s: %w", address, err)
		}
	}
}

// session returns the session with a peer, and whether it was created by this call.
func (m *Messenger) session(ctx context.Context, address string) (session *peerSession, created bool, err error) {
	m.mu.Lock()
	if session := m.sessions[address]; session != nil && !session.IsClosed() {
		m.mu.Unlock()
		return session, false, nil
	}
	lock := m.dialing[address]
	if lock == nil {
		lock = &sync.Mutex{}
		m.dialing[address] = lock
	}
	m.mu.Unlock()

	// Only one goroutine dials a peer at a time; the others wait and use its session.
	lock.Lock()
	defer lock.Unlock()
	m.mu.Lock()
	if session := m.sessions[address]; session != nil && !session.IsClosed() {
		m.mu.Unlock()
		return session, false, nil
	}
	m.mu.Unlock()
	session, err = m.dial(ctx, address)
	if err != nil {
		return nil, true, err
	}
	m.mu.Lock()
	delete(m.idle, m.sessions[address])
	m.sessions[address] = session
	m.mu.Unlock()
	return session, true, nil
}

// dropSession closes a session and its idle streams, so that the next call opens a new session.
func (m *Messenger) dropSession(address string, session *peerSession) {
	_ = session.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.idle, session)
	if m.sessions[address] == session {
		delete(m.sessions, address)
	}
}

func (m *Messenger) dial(ctx context.Context, address string) (*peerSession, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	dialer := net.Dialer{}
	if local, err := netip.ParseAddrPort(m.cfg.LocalAddress); err == nil {
		dialer.LocalAddr = &net.TCPAddr{IP: local.Addr().AsSlice()}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := m.sendToken(conn); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("send token to %s: %w", address, err)
	}
	_ = conn.SetDeadline(time.Time{})
	coalescing := &coalescingConn{Conn: conn}
	session, err := yamux.Client(coalescing, m.sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("start session with %s: %w", address, err)
	}
	return &peerSession{Session: session, conn: coalescing}, nil
}

// sendToken sends the token, prefixed with its length in one byte.
func (m *Messenger) sendToken(conn net.Conn) error {
	if len(m.cfg.Token) >= maxTokenBytes {
		return errors.New("token is too long")
	}
	message := append([]byte{byte(len(m.cfg.Token))}, m.cfg.Token...)
	_, err := conn.Write(message)
	return err
}

// checkToken reads the peer's token and reports whether it is that of the cell.
func (m *Messenger) checkToken(conn net.Conn) bool {
	var size [1]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return false
	}
	token := make([]byte, size[0])
	if _, err := io.ReadFull(conn, token); err != nil {
		return false
	}
	return subtle.ConstantTimeCompare(token, []byte(m.cfg.Token)) == 1
}

func (m *Messenger) sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = m.cfg.KeepAlive
	cfg.ConnectionWriteTimeout = m.cfg.KeepAlive
	cfg.StreamOpenTimeout = 10 * time.Second
	cfg.StreamCloseTimeout = 10 * time.Second
	return cfg
}

// Serve accepts sessions from peers until the listener or the Messenger is closed.
func (m *Messenger) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			m.handshakes.Open(conn)
			go m.serveConn(conn)
		case m.ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		default:
			// The process cannot work without its sessions, and descriptors become free again.
			time.Sleep(acceptRetryDelay)
		}
	}
}

// greet checks the token of a new connection.
func (m *Messenger) greet(conn net.Conn) bool {
	defer m.handshakes.Close(conn)
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if !m.checkToken(conn) {
		return false
	}
	_ = conn.SetDeadline(time.Time{})
	return true
}

func (m *Messenger) serveConn(conn net.Conn) {
	if !m.greet(conn) {
		m.cfg.Recorder.Refused(refusalrecorder.Handshake, listenerName)
		_ = conn.Close()
		return
	}
	session, err := yamux.Server(&coalescingConn{Conn: conn}, m.sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	m.mu.Lock()
	full := len(m.inbound) >= m.cfg.MaxSessions || m.ctx.Err() != nil
	if !full {
		m.inbound[session] = struct{}{}
	}
	m.mu.Unlock()
	defer func() {
		_ = session.Close()
		m.mu.Lock()
		delete(m.inbound, session)
		m.mu.Unlock()
	}()
	if full {
		m.cfg.Recorder.Refused(refusalrecorder.Connections, listenerName)
	}
	for !full {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		if m.streams.Add(1) > maxStreams {
			m.streams.Add(-1)
			m.cfg.Recorder.Refused(refusalrecorder.Streams, listenerName)
			_ = stream.Close()
			continue
		}
		m.active.Add(1)
		go m.serveStream(stream)
	}
}

// serveStream handles the requests of one stream in order. One-way requests share a stream and get no reply.
func (m *Messenger) serveStream(stream *yamux.Stream) {
	defer m.active.Done()
	defer m.streams.Add(-1)
	defer func() { _ = stream.Close() }()
	for m.serveRequest(stream) {
	}
}

// serveRequest handles the next request of a stream and reports whether the stream can be used further.
func (m *Messenger) serveRequest(stream *yamux.Stream) bool {
	size, err := requests.ReadSize(stream)
	if err != nil {
		return false
	}
	var request *wire.Request
	if size <= freeFrameBytes {
		request, err = requests.ReadBody(stream, size)
	} else {
		if !m.reserveFrame(size) {
			m.cfg.Recorder.Refused(refusalrecorder.FrameBudget, listenerName)
			return false
		}
		request, err = m.readLarge(stream, size)
		m.releaseFrame(size) // the encoded form
		defer m.releaseFrame(size)
	}
	if err != nil {
		return false
	}
	reply, ok := m.handle(request)
	if !ok {
		return false
	}
	return reply == nil || replies.Write(stream, reply) == nil
}

// handle calls the handler. It returns false after a panic, which then ends only this request: the caller gets no reply,
// as the handler may have had an effect.
func (m *Messenger) handle(request *wire.Request) (reply *wire.Reply, ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			logger.RequestPanicked.Log(m.cfg.Logger, "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
			reply, ok = nil, false
		}
	}()
	return m.cfg.Handler(m.ctx, request), true
}

// Close closes all sessions. It does not wait for handlers.
func (m *Messenger) Close() {
	m.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, session := range m.sessions {
		_ = session.Close()
	}
	for session := range m.inbound {
		_ = session.Close()
	}
}
