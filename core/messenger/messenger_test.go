package messenger_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/wire"
)

const keepAlive = 50 * time.Millisecond

func join() *wire.Request { return &wire.Request{Body: &wire.Request_Join{Join: &wire.JoinRequest{}}} }

// serve starts a peer with the given handler and returns its address.
func serve(t *testing.T, handler messenger.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peer := messenger.New(messenger.Config{Token: "right", Handler: handler, KeepAlive: keepAlive})
	go func() { _ = peer.Serve(listener) }()
	t.Cleanup(func() {
		peer.Close()
		_ = listener.Close()
	})
	return listener.Addr().String()
}

func answer(context.Context, *wire.Request) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Join{Join: &wire.JoinReply{}}}
}

func client(t *testing.T, token string) *messenger.Messenger {
	m := messenger.New(messenger.Config{Token: token, KeepAlive: keepAlive})
	t.Cleanup(m.Close)
	return m
}

// TestCallReportsWhetherSent guards against reporting a request as not sent although it may have reached the peer, and
// the reverse, which would rule out a safe retry.
func TestCallReportsWhetherSent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	silent := serve(t, func(ctx context.Context, _ *wire.Request) *wire.Reply {
		<-ctx.Done()
		return nil
	})
	cases := []struct {
		name, address string
		sent          bool
	}{
		{"nobody listens", closed.Addr().String(), false},
		{"the peer does not answer", silent, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := client(t, "right").Call(ctx, c.address, join())
			var failed *messenger.Error
			require.True(t, errors.As(err, &failed))
			require.Equal(t, c.sent, failed.Sent)
		})
	}
}

// TestWrongTokenIsRefused guards against handling requests of a process that does not have the cell's token.
func TestWrongTokenIsRefused(t *testing.T) {
	var handled atomic.Int32
	address := serve(t, func(ctx context.Context, request *wire.Request) *wire.Reply {
		handled.Add(1)
		return answer(ctx, request)
	})
	_, err := client(t, "wrong").Call(context.Background(), address, join())
	require.Error(t, err)
	require.Zero(t, handled.Load())
	_, err = client(t, "right").Call(context.Background(), address, join())
	require.NoError(t, err)
}

// TestSilentlyFailedSessionIsReplaced guards against using a session long after its connection failed silently, while a
// new connection would work.
func TestSilentlyFailedSessionIsReplaced(t *testing.T) {
	proxy := startBlackholeProxy(t, serve(t, answer))
	m := client(t, "right")
	_, err := m.Call(context.Background(), proxy.address, join())
	require.NoError(t, err)
	proxy.discarded.Store(1)
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), keepAlive)
		defer cancel()
		_, err := m.Call(ctx, proxy.address, join())
		return err == nil
	}, 10*time.Second, keepAlive)
}

// blackholeProxy forwards connections. It discards all bytes of the first ones, without closing them.
type blackholeProxy struct {
	address string
	// discarded is the number of the first connections whose bytes are discarded.
	discarded atomic.Int32
}

func startBlackholeProxy(t *testing.T, to string) *blackholeProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &blackholeProxy{address: listener.Addr().String()}
	go func() {
		for number := int32(1); ; number++ {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			go p.forward(number, in, out)
			go p.forward(number, out, in)
		}
	}()
	return p
}

func (p *blackholeProxy) forward(number int32, from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			// The other end of a discarded connection must not notice that it ended.
			if !errors.Is(err, io.EOF) || number > p.discarded.Load() {
				_ = to.Close()
			}
			return
		}
		if number > p.discarded.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// TestStreamsAreReused guards against opening a stream for each request, which costs several frames on both sides, and
// against the deadline of one request ending the next one on the same stream.
func TestStreamsAreReused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	counted := &countingListener{Listener: listener}
	peer := messenger.New(messenger.Config{Token: "right", Handler: answer, KeepAlive: time.Minute})
	go func() { _ = peer.Serve(counted) }()
	t.Cleanup(func() {
		peer.Close()
		_ = listener.Close()
	})
	m := messenger.New(messenger.Config{Token: "right", KeepAlive: time.Minute})
	t.Cleanup(m.Close)
	const calls = 100
	for range calls {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		reply, err := m.Call(ctx, listener.Addr().String(), join())
		cancel()
		require.NoError(t, err)
		require.NotNil(t, reply.GetJoin())
	}
	require.LessOrEqual(t, counted.writes.Load(), int64(calls+10), "one write for each reply, and few for the session")
}

// TestOverlappingCalls guards against delivering a reply to the wrong caller when calls to one peer overlap and some of
// them time out.
func TestOverlappingCalls(t *testing.T) {
	address := serve(t, func(_ context.Context, request *wire.Request) *wire.Reply {
		time.Sleep(time.Duration(request.GetConsent().GetStep()%5) * time.Millisecond)
		return &wire.Reply{Body: &wire.Reply_Refusal{Refusal: &wire.Refusal{Reason: request.GetConsent().GetJob()}}}
	})
	m := client(t, "right")
	var group sync.WaitGroup
	var mixed atomic.Int64
	for caller := range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := range 50 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(2+i%20)*time.Millisecond)
				name := fmt.Sprint(caller, "-", i)
				reply, err := m.Call(ctx, address, &wire.Request{Body: &wire.Request_Consent{
					Consent: &wire.ConsentCall{Job: name, Step: uint32(i)},
				}})
				cancel()
				if err == nil && reply.GetRefusal().GetReason() != name {
					mixed.Add(1)
				}
			}
		}()
	}
	group.Wait()
	require.Zero(t, mixed.Load())
}

// countingListener counts the writes on the connections that it accepts.
type countingListener struct {
	net.Listener
	writes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, &l.writes}, err
}

type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c *countingConn) Write(data []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(data)
}

// TestTimedOutCallLeavesOthers guards against closing a session because one call on it took too long: the peer may have
// carried out the other calls on it, whose answers would be lost.
func TestTimedOutCallLeavesOthers(t *testing.T) {
	release := make(chan struct{})
	var calls atomic.Int32
	address := serve(t, func(ctx context.Context, request *wire.Request) *wire.Reply {
		if calls.Add(1) <= 2 {
			select {
			case <-release:
			case <-ctx.Done():
			}
		}
		return answer(ctx, request)
	})
	m := client(t, "right")
	slow := make(chan error, 1)
	go func() {
		_, err := m.Call(context.Background(), address, join())
		slow <- err
	}()
	require.Eventually(t, func() bool { return calls.Load() == 1 }, 10*time.Second, time.Millisecond)
	// The peer answers the keep-alive probes meanwhile.
	ctx, cancel := context.WithTimeout(context.Background(), 20*keepAlive)
	defer cancel()
	_, err := m.Call(ctx, address, join())
	require.ErrorIs(t, err, context.DeadlineExceeded)
	close(release)
	require.NoError(t, <-slow)
}

// TestPanicEndsOneRequest guards against one unexpected request that ends the whole process and with it all other
// requests in progress.
func TestPanicEndsOneRequest(t *testing.T) {
	var calls atomic.Int32
	address := serve(t, func(ctx context.Context, request *wire.Request) *wire.Reply {
		if calls.Add(1) == 1 {
			panic("unexpected")
		}
		return answer(ctx, request)
	})
	m := client(t, "right")
	_, err := m.Call(context.Background(), address, join())
	var failed *messenger.Error
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.Sent, "the handler may have had an effect")
	_, err = m.Call(context.Background(), address, join())
	require.NoError(t, err)
}
