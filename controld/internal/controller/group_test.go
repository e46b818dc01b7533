package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/lessor"
	"flamingodrift.example/controld/internal/store"
	"flamingodrift.example/core/journal"
	"flamingodrift.example/core/meter"
	"flamingodrift.example/core/wire"
)

const (
	testTurn        = 20 * time.Millisecond
	testElectionMax = 2 * time.Second
	plentyOfSpace   = 1 << 30
	noFile          = "none"
	everyFile       = ""
)

// group runs the control threads of several nodes in one goroutine with simulated time and real data folders.
type group struct {
	t     *testing.T
	now   time.Duration
	nodes []*testNode
	queue []delivery
	// changes counts the changes that were proposed.
	changes int
	// queues is set for groups that take submitted jobs.
	queues *QueueConfig
}

type delivery struct {
	address string
	message *wire.PeerMessage
}

type testNode struct {
	group   *group
	name    string
	address string
	ctl     *Controller
	dir     string
	log     bytes.Buffer
	down    bool
	// full is the prefix of the names of the files that cannot grow for lack of space; opens counts opened files; free is
	// the reported space.
	full  string
	opens int
	free  int64
	// syncTakes is how long a sync of the journal holds up the control thread.
	syncTakes time.Duration
	// stopped is the error that ended the control thread.
	stopped error
}

// Now implements Clock.
func (g *group) Now() time.Duration { return g.now }

func newGroup(t *testing.T, size int) *group {
	t.Helper()
	return newQueueGroup(t, size, nil)
}

// newQueueGroup makes a group that takes submitted jobs.
func newQueueGroup(t *testing.T, size int, queues *QueueConfig) *group {
	t.Helper()
	g := &group{t: t, now: time.Hour, queues: queues}
	for i := range size {
		g.nodes = append(g.nodes, &testNode{
			group: g, name: fmt.Sprintf("host-%d", i), address: fmt.Sprintf("10.0.0.%d:1", i), free: plentyOfSpace, full: noFile,
		})
	}
	for i, node := range g.nodes {
		dir := filepath.Join(t.TempDir(), "data")
		if i == 0 {
			require.NoError(t, store.Bootstrap(dir, node.member()))
		}
		node.start(dir)
	}
	g.runUntil(30*time.Second, "all nodes vote", func() bool {
		leader := g.leader()
		if leader == nil {
			return false
		}
		voters := 0
		for _, m := range leader.ctl.repl.Membership().GetMembers() {
			if m.GetVoter() {
				voters++
			}
		}
		return voters == size
	})
	g.run(time.Second)
	return g
}

func (n *testNode) member() *wire.Member {
	return &wire.Member{Name: n.name, Address: n.address, FailureDomain: "a"}
}

func (n *testNode) start(dir string) {
	t := n.group.t
	data, contents, err := store.OpenWith(dir, n.open)
	require.NoError(t, err)
	counters, err := meter.New("controld")
	require.NoError(t, err)
	var peers []string
	for _, other := range n.group.nodes {
		peers = append(peers, other.address)
	}
	n.dir = dir
	n.ctl, err = New(Config{
		Member: n.member(), Peers: peers, Voters: len(peers), Store: data, Contents: contents, Clock: n.group, Messenger: n,
		FreeBytes: func() (int64, error) { return n.free, nil }, SnapshotBytes: 16 << 10,
		Logger: slog.New(slog.NewJSONHandler(&n.log, nil)), Meter: counters,
		Heartbeat: 200 * time.Millisecond, ElectionMin: time.Second, ElectionMax: testElectionMax,
		Rand: rand.New(rand.NewPCG(uint64(len(n.name)+int(n.address[7])), 1)),
		Registrar: lessor.Config{
			WorkerLease: 10 * time.Second, PollTimeout: 2 * time.Second, EntryLease: 3 * time.Second,
			TargetSilence: 4 * time.Second, DriftPercent: 1,
		},
		Queues: n.group.queues,
	})
	require.NoError(t, err)
	n.ctl.async = func(call func()) { call() }
	t.Cleanup(func() { _ = data.Close() })
}

// open is the journal.Opener of the node's data folder.
func (n *testNode) open(path string) (journal.File, error) {
	n.opens++
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	return &limitedFile{File: file, node: n, name: filepath.Base(path)}, err
}

// limitedFile fails when it would grow on a full disk.
type limitedFile struct {
	*os.File
	node *testNode
	name string
}

func (f *limitedFile) limited() bool {
	return f.node.full != noFile && strings.HasPrefix(f.name, f.node.full)
}

func (f *limitedFile) WriteAt(p []byte, off int64) (int, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	if f.limited() && off+int64(len(p)) > info.Size() {
		n, _ := f.File.WriteAt(p[:len(p)/2], off)
		return n, syscall.ENOSPC
	}
	return f.File.WriteAt(p, off)
}

// Sync takes the node's time. Meanwhile the others go on, and what they answer waits in the node's queue.
func (f *limitedFile) Sync() error {
	if f.node.syncTakes > 0 && f.node.ctl != nil {
		f.node.group.now += f.node.syncTakes
		f.node.group.deliverBeside(f.node)
	}
	return f.File.Sync()
}

// Send implements Messenger.
func (n *testNode) Send(address string, request *wire.Request) {
	n.group.queue = append(n.group.queue, delivery{address, request.GetPeer()})
}

// Call implements Messenger for requests to join.
func (n *testNode) Call(_ context.Context, address string, request *wire.Request) (*wire.Reply, error) {
	to := n.group.at(address)
	if to == nil || to.down || n.down {
		return nil, errors.New("unreachable")
	}
	var reply *wire.Reply
	to.ctl.handle(joinEvent{request.GetJoin().GetMember(), func(r *wire.Reply) { reply = r }}, n.group.now)
	return reply, nil
}

func (g *group) at(address string) *testNode {
	for _, node := range g.nodes {
		if node.address == address {
			return node
		}
	}
	return nil
}

// run advances simulated time in turns of the control loop.
func (g *group) run(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.now += testTurn
		for _, node := range g.nodes {
			node.turn()
		}
		for range 20 {
			g.deliver()
		}
	}
}

func (g *group) deliver() {
	queue := g.queue
	g.queue = nil
	for _, d := range queue {
		if node := g.at(d.address); node != nil && !node.down {
			g.now += 50 * time.Microsecond
			node.ctl.handle(peerEvent{d.message}, g.now)
			node.turn()
		}
	}
}

// deliverBeside delivers the messages to all nodes but a busy one, until only messages to that one are left. It finds
// those in its queue when it goes on.
func (g *group) deliverBeside(busy *testNode) {
	for range 20 {
		queue := g.queue
		g.queue = nil
		for _, d := range queue {
			node := g.at(d.address)
			switch {
			case node == nil || node.down:
			case node == busy || node.syncTakes > 0:
				node.ctl.queue <- peerEvent{d.message}
			default:
				node.ctl.handle(peerEvent{d.message}, g.now)
				node.turn()
			}
		}
	}
}

func (n *testNode) turn() {
	if n.down {
		return
	}
	n.ctl.handleQueued()
	if err := n.ctl.turn(n.group.now); err != nil {
		n.stopped, n.down = err, true
	}
}

func (g *group) runUntil(limit time.Duration, what string, done func() bool) {
	g.t.Helper()
	for end := g.now + limit; g.now < end; g.run(testTurn) {
		if done() {
			return
		}
	}
	require.Fail(g.t, "not reached: "+what)
}

// leader returns the node that leads and holds its lease.
func (g *group) leader() *testNode {
	for _, node := range g.nodes {
		if !node.down && node.ctl.leads && node.ctl.repl.HasLease(g.now) {
			return node
		}
	}
	return nil
}

func (g *group) awaitLeader() *testNode {
	g.t.Helper()
	g.runUntil(20*time.Second, "a leader", func() bool { return g.leader() != nil })
	return g.leader()
}

func (g *group) others(node *testNode) []*testNode {
	var list []*testNode
	for _, other := range g.nodes {
		if other != node {
			list = append(list, other)
		}
	}
	return list
}

// answer is what an operator hears of a change; reason is empty when it was accepted.
type answer struct {
	answered bool
	reason   string
}

// change proposes a configuration of the given size in bytes and returns where its answer appears.
func (g *group) change(node *testNode, size int) *answer {
	g.changes++
	a := &answer{}
	node.ctl.handle(changeEvent{
		command: &wire.Command{Body: &wire.Command_Configure{Configure: &wire.Configure{
			Change: &wire.Change{
				Id: fmt.Sprint(g.changes), Operator: "test", ExpectedRevision: node.ctl.cell.Revision(), Digest: []byte{byte(g.changes)},
			},
			// The weight makes each change a real one: an equal configuration does not raise the revision.
			Config: &wire.Config{Profile: "waiting", Teams: []*wire.Team{
				{Name: string(bytes.Repeat([]byte{'x'}, size)), Weight: uint32(g.changes)},
			}},
		}}},
		done: func(result *wire.Result) { *a = answer{true, result.GetReason()} },
		fail: func(refusal *wire.Refusal) { *a = answer{true, refusal.GetReason()} },
	}, g.now)
	return a
}
