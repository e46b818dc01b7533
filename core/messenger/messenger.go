// Package messenger carries requests and replies between flamingodrift's own processes: yamux sessions over TCP, one
// stream for each request at a time.
package messenger

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"flamingodrift.example/core/codec"
	"flamingodrift.example/core/wire"
)

const (
	dialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	maxTokenBytes    = 256
	castQueue        = 256
	maxSessions      = 512
	// maxIdleStreams bounds the streams of a session that wait for their next request.
	maxIdleStreams = 64

	standardKeepAlive = 2 * time.Second
)

var (
	requests = codec.New(func() *wire.Request { return &wire.Request{} })
	replies  = codec.New(func() *wire.Reply { return &wire.Reply{} })
)

// Error is returned by Call. Sent is false only when no byte of the request can have reached the peer.
type Error struct {
	Sent  bool
	Cause error
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("no reply: %v", e.Cause)
	}
	return fmt.Sprintf("not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Handler answers a request of a peer. A nil reply closes the stream without an answer.
type Handler func(ctx context.Context, request *wire.Request) *wire.Reply

// Config holds what a Messenger needs.
type Config struct {
	// Token is shared by all processes of a cell; a session with another token is refused.
	Token string
	// LocalAddress is the address that this process listens on; outgoing connections use its IP number. Empty lets the
	// system choose.
	LocalAddress string
	Handler      Handler
	// KeepAlive is the interval at which a session is probed, and how long a probe may take; 0 is 2 s. A session that was
	// cut off silently is closed within twice this time. Without that, TCP would try again ever more slowly for minutes
	// after the cut has ended.
	KeepAlive time.Duration
}

// Messenger calls peers and serves their calls. It is safe for concurrent use.
type Messenger struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	active sync.WaitGroup

	mu       sync.Mutex
	sessions map[string]*yamux.Session
	dialing  map[string]*sync.Mutex
	casts    map[string]chan *wire.Request
	inbound  map[*yamux.Session]struct{}
	// idle are streams of outgoing sessions whose last request was answered. A new stream for each request would cost
	// both sides several frames.
	idle map[*yamux.Session][]net.Conn
}

// New returns a Messenger without connections.
func New(cfg Config) *Messenger {
	if cfg.KeepAlive == 0 {
		cfg.KeepAlive = standardKeepAlive
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		cfg: cfg, ctx: ctx, cancel: cancel,
		sessions: map[string]*yamux.Session{},
		dialing:  map[string]*sync.Mutex{},
		casts:    map[string]chan *wire.Request{},
		inbound:  map[*yamux.Session]struct{}{},
		idle:     map[*yamux.Session][]net.Conn{},
	}
}

// Call sends a request and waits for its reply. Every error is an *Error.
func (m *Messenger) Call(ctx context.Context, address string, request *wire.Request) (*wire.Reply, error) {
	stream, session, err := m.open(ctx, address)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	reply, err := m.exchange(ctx, stream, request)
	if err == nil {
		m.putBack(session, stream)
		return reply, nil
	}
	_ = stream.Close()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The connection may have gone silent; the next call makes a new one.
		m.drop(address, session)
	}
	return nil, err
}

// exchange sends a request on a stream and waits for its reply.
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
		// The deadline was set at the same moment; the next request must not find it.
		<-ended
		_ = stream.SetDeadline(time.Time{})
	}
	return reply, nil
}

// putBack keeps a stream for the next request.
func (m *Messenger) putBack(session *yamux.Session, stream net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if session.IsClosed() || len(m.idle[session]) >= maxIdleStreams {
		_ = stream.Close()
		return
	}
	m.idle[session] = append(m.idle[session], stream)
}

// takeIdle returns a stream that waits for its next request; nil when there is none.
func (m *Messenger) takeIdle(session *yamux.Session) net.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	streams := m.idle[session]
	if len(streams) == 0 {
		return nil
	}
	m.idle[session] = streams[:len(streams)-1]
	return streams[len(streams)-1]
}

// Send sends a request without waiting for a reply. Requests to one peer keep their order; when the peer is unreachable
// or slow, requests are dropped.
func (m *Messenger) Send(address string, request *wire.Request) {
	m.mu.Lock()
	queue := m.casts[address]
	if queue == nil && m.ctx.Err() == nil {
		queue = make(chan *wire.Request, castQueue)
		m.casts[address] = queue
		go m.runCasts(address, queue)
	}
	m.mu.Unlock()
	select {
	case queue <- request:
	default:
	}
}

func (m *Messenger) runCasts(address string, queue chan *wire.Request) {
	var stream net.Conn
	for {
		select {
		case <-m.ctx.Done():
			return
		case request := <-queue:
			if stream == nil {
				ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
				stream, _, _ = m.open(ctx, address)
				cancel()
			}
			if stream == nil {
				continue
			}
			_ = stream.SetWriteDeadline(time.Now().Add(dialTimeout))
			if err := requests.Write(stream, request); err != nil {
				_ = stream.Close()
				stream = nil
			}
		}
	}
}

func (m *Messenger) open(ctx context.Context, address string) (net.Conn, *yamux.Session, error) {
	for attempt := 0; ; attempt++ {
		session, fresh, err := m.session(ctx, address)
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
		m.drop(address, session)
		if fresh || attempt > 0 {
			return nil, nil, fmt.Errorf("open stream to %s: %w", address, err)
		}
	}
}

func (m *Messenger) session(ctx context.Context, address string) (session *yamux.Session, fresh bool, err error) {
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

	// One dial at a time for each peer; the others use its session.
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

func (m *Messenger) drop(address string, session *yamux.Session) {
	_ = session.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.idle, session)
	if m.sessions[address] == session {
		delete(m.sessions, address)
	}
}

func (m *Messenger) dial(ctx context.Context, address string) (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
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
	if err := m.greet(conn); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("greet %s: %w", address, err)
	}
	_ = conn.SetDeadline(time.Time{})
	session, err := yamux.Client(&joiner{Conn: conn}, m.sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("start session with %s: %w", address, err)
	}
	return session, nil
}

// greet sends the token, preceded by its length in one byte.
func (m *Messenger) greet(conn net.Conn) error {
	if len(m.cfg.Token) >= maxTokenBytes {
		return errors.New("token is too long")
	}
	greeting := append([]byte{byte(len(m.cfg.Token))}, m.cfg.Token...)
	_, err := conn.Write(greeting)
	return err
}

func (m *Messenger) checkGreeting(conn net.Conn) bool {
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

// Serve accepts sessions until the listener or the Messenger is closed.
func (m *Messenger) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if m.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept session: %w", err)
		}
		go m.serveConn(conn)
	}
}

func (m *Messenger) serveConn(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if !m.checkGreeting(conn) {
		_ = conn.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	session, err := yamux.Server(&joiner{Conn: conn}, m.sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	m.mu.Lock()
	full := len(m.inbound) >= maxSessions || m.ctx.Err() != nil
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
	for !full {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		m.active.Add(1)
		go m.serveStream(stream)
	}
}

// serveStream answers the requests of one stream in order. Casts share one stream and get no reply.
func (m *Messenger) serveStream(stream net.Conn) {
	defer m.active.Done()
	defer func() { _ = stream.Close() }()
	for {
		request, err := requests.Read(stream)
		if err != nil {
			return
		}
		reply := m.cfg.Handler(m.ctx, request)
		if reply == nil {
			continue
		}
		if err := replies.Write(stream, reply); err != nil {
			return
		}
	}
}

// Close ends all sessions.
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
