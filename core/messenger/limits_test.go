package messenger_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/bytelimiter"
	"flamingodrift.example/core/codec"
	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/wire"
)

// serveLimited starts a peer and returns its address.
func serveLimited(t *testing.T, cfg messenger.Config) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cfg.Token, cfg.KeepAlive = "right", time.Minute
	if cfg.Handler == nil {
		cfg.Handler = answer
	}
	peer := messenger.New(cfg)
	go func() { _ = peer.Serve(listener) }()
	t.Cleanup(func() {
		peer.Close()
		_ = listener.Close()
	})
	return listener.Addr().String()
}

// TestSilentConnectionsDoNotKeepOutPeers guards against connections without a token that are held in any number, or that
// make a peer wait.
func TestSilentConnectionsDoNotKeepOutPeers(t *testing.T) {
	address := serveLimited(t, messenger.Config{})
	var silent []net.Conn
	for range 200 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		silent = append(silent, conn)
	}
	_, err := client(t, "right").Call(context.Background(), address, join())
	require.NoError(t, err)
	// The first of them have been closed by now, long before the time limit of the handshake.
	require.NoError(t, silent[0].SetReadDeadline(time.Now().Add(time.Second)))
	_, err = silent[0].Read(make([]byte, 1))
	var timeout net.Error
	require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
}

// openStreams opens a session and sends the start of a message of the given size on each of its streams.
func openStreams(t *testing.T, address string, streams, size, part int) []*yamux.Stream {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write(append([]byte{5}, "right"...))
	require.NoError(t, err)
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	session, err := yamux.Client(conn, config)
	require.NoError(t, err)
	var opened []*yamux.Stream
	for range streams {
		stream, err := session.OpenStream()
		require.NoError(t, err)
		_, err = stream.Write(append(binary.BigEndian.AppendUint32(nil, uint32(size)), make([]byte, part)...))
		require.NoError(t, err)
		opened = append(opened, stream)
	}
	return opened
}

// TestMessagesInProgressAreBounded guards against messages that take more than the budget, that keep their memory after
// their time limit, or that keep out small ones.
func TestMessagesInProgressAreBounded(t *testing.T) {
	const size = 1 << 20
	budget := bytelimiter.New(bytelimiter.Config{Bytes: 8 * size, SmallBytes: 64 << 10})
	address := serveLimited(t, messenger.Config{FrameBudget: budget, FrameTimeout: 500 * time.Millisecond})
	openStreams(t, address, 16, size, size/8)
	require.Eventually(t, func() bool { return budget.Used() == 6*size }, 10*time.Second, time.Millisecond)
	small := &wire.Request{Body: &wire.Request_Consent{Consent: &wire.ConsentCall{Job: string(make([]byte, 8<<10))}}}
	_, err := client(t, "right").Call(context.Background(), address, small)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return budget.Used() == 0 }, 20*time.Second, time.Millisecond)
}

// TestLargestMessageFits guards against the default budgets refusing a message of the largest size.
func TestLargestMessageFits(t *testing.T) {
	budget := bytelimiter.New(bytelimiter.Config{Bytes: 32 << 20, SmallBytes: 64 << 10})
	address := serveLimited(t, messenger.Config{FrameBudget: budget, FrameTimeout: 10 * time.Second})
	large := &wire.Request{Body: &wire.Request_Operate{Operate: &wire.OperateRequest{
		Body: make([]byte, codec.MaxFrameBytes-100),
	}}}
	_, err := client(t, "right").Call(context.Background(), address, large)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return budget.Used() == 0 }, 10*time.Second, time.Millisecond)
}

// TestSessionsAreBounded guards against sessions in any number.
func TestSessionsAreBounded(t *testing.T) {
	address := serveLimited(t, messenger.Config{MaxSessions: 2})
	for range 2 {
		_, err := client(t, "right").Call(context.Background(), address, join())
		require.NoError(t, err)
	}
	_, err := client(t, "right").Call(context.Background(), address, join())
	require.Error(t, err)
}

// failingListener fails some accepts first, as without free descriptors.
type failingListener struct {
	net.Listener
	mu       sync.Mutex
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	l.failures--
	fail := l.failures >= 0
	l.mu.Unlock()
	if fail {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// TestFailedAcceptIsRepeated guards against a process that serves no sessions any more after it ran out of descriptors
// once.
func TestFailedAcceptIsRepeated(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peer := messenger.New(messenger.Config{Token: "right", Handler: answer})
	go func() { _ = peer.Serve(&failingListener{Listener: listener, failures: 3}) }()
	t.Cleanup(func() {
		peer.Close()
		_ = listener.Close()
	})
	m := messenger.New(messenger.Config{Token: "right"})
	t.Cleanup(m.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err = m.Call(ctx, listener.Addr().String(), join())
	require.NoError(t, err)
}
