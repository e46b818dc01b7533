package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/controller"
	"flamingodrift.example/controld/internal/lessor"
	"flamingodrift.example/controld/internal/store"
	"flamingodrift.example/core/clock"
	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/meter"
	"flamingodrift.example/core/wire"
)

// loopbackGroup is a consensus group with real data folders, clocks and sessions over the loopback interface. It counts
// the bytes of all sessions.
type loopbackGroup struct {
	nodes []*loopbackNode
	bytes atomic.Int64
	ctx   context.Context
}

type loopbackNode struct {
	ctl       *controller.Controller
	store     *store.Store
	messenger *messenger.Messenger
	listener  net.Listener
	stop      context.CancelFunc
	done      chan error
}

// countingListener counts the bytes that its connections carry in both directions, including yamux frames.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// newLoopbackGroup starts a group and waits until every node is a voter.
func newLoopbackGroup(t testing.TB, voters int) *loopbackGroup {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := &loopbackGroup{ctx: ctx}
	var peers []string
	for range voters {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		l.nodes = append(l.nodes, &loopbackNode{listener: countingListener{listener, &l.bytes}, done: make(chan error, 1)})
		peers = append(peers, listener.Addr().String())
	}
	for i, node := range l.nodes {
		l.startNode(t, node, i, peers)
	}
	t.Cleanup(func() {
		cancel()
		for _, node := range l.nodes {
			require.NoError(t, <-node.done)
			node.messenger.Close()
			_ = node.listener.Close()
			_ = node.store.Close()
		}
	})
	require.Eventually(t, func() bool { return l.voterCount() == voters }, 30*time.Second, 50*time.Millisecond)
	return l
}

func (l *loopbackGroup) startNode(t testing.TB, node *loopbackNode, index int, peers []string) {
	dir := filepath.Join(t.TempDir(), "data")
	member := &wire.Member{Name: fmt.Sprintf("host-%d", index), Address: peers[index], FailureDomain: "a"}
	if index == 0 {
		require.NoError(t, store.Bootstrap(dir, member))
	}
	nodeStore, contents, err := store.Open(dir)
	require.NoError(t, err)
	counters, err := meter.New("controld")
	require.NoError(t, err)
	var srv *Server
	node.store = nodeStore
	node.messenger = messenger.New(messenger.Config{
		Token:   "test",
		Handler: func(ctx context.Context, request *wire.Request) *wire.Reply { return srv.Handle(ctx, request) },
	})
	node.ctl, err = controller.New(controller.Config{
		Member: member, Peers: peers, Voters: len(peers), Store: nodeStore, Contents: contents, Clock: clock.New(),
		Messenger: node.messenger, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Meter: counters,
		Heartbeat: 200 * time.Millisecond, ElectionMin: time.Second, ElectionMax: 2 * time.Second,
		Lessor: lessor.Config{
			WorkerLease: 10 * time.Second, PollTimeout: 2 * time.Second, EntryLease: 3 * time.Second,
			TargetSilence: 4 * time.Second, DriftPercent: 1,
		},
	})
	require.NoError(t, err)
	srv = New(node.ctl, nil)
	go func() { _ = node.messenger.Serve(node.listener) }()
	ctx, stop := context.WithCancel(l.ctx)
	node.stop = stop
	go func() { node.done <- node.ctl.Run(ctx) }()
}

// leader returns the node that leads, or nil.
func (l *loopbackGroup) leader() *loopbackNode {
	for _, node := range l.nodes {
		if node.ctl.Status().Role == "leader" {
			return node
		}
	}
	return nil
}

// voterCount returns the number of voters in the leader's membership; 0 without a leader.
func (l *loopbackGroup) voterCount() int {
	leader := l.leader()
	if leader == nil {
		return 0
	}
	voters := 0
	leader.ctl.Query(l.ctx, func(_ time.Duration, view controller.View) {
		for _, m := range view.Membership.GetMembers() {
			if m.GetVoter() {
				voters++
			}
		}
	})
	return voters
}
