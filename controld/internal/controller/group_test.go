package controller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math"
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
	testTick        = 20 * time.Millisecond
	testElectionMax = 2 * time.Second
	ampleFreeBytes  = 1 << 30
	noFile          = "none"
	allFiles        = ""
)

// group runs the control loops of several nodes in one goroutine with simulated time and real data folders.
type group struct {
	t        *testing.T
	now      time.Duration
	nodes    []*testNode
	messages []delivery
	// changes is the number of proposed changes.
	changes int
	// queues is set for groups that accept submitted jobs.
	queues *QueueConfig
	timing timing
	// lateSyncs makes syncs of the journal end one step later, and nodes take no snapshots: these wait for the sync.
	lateSyncs    bool
	runningSyncs []func()
}

// timing holds the intervals of the consensus group.
type timing struct {
	heartbeat, electionMin, electionMax time.Duration
}

var (
	testTiming = timing{heartbeat: 200 * time.Millisecond, electionMin: time.Second, electionMax: testElectionMax}
	// deployedTiming is that of the settings in the folder deploy.
	deployedTiming = timing{
		heartbeat: 100 * time.Millisecond, electionMin: 600 * time.Millisecond, electionMax: time.Second,
	}
)

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
	// unheardUntil is until when one-way messages to the node are lost, as after a loss of power: the others notice late
	// that their connections to its address are dead. Its own calls reach them.
	unheardUntil time.Duration
	// fullFiles is the prefix of the names of the files that cannot grow for lack of disk space; opens is the number of
	// opened files; freeBytes is the reported free space.
	fullFiles string
	fullMode  fullMode
	// fullUntil is when the disk has space again; 0 if that is not planned.
	fullUntil time.Duration
	// blocked is set while the control goroutine sleeps.
	blocked   bool
	opens     int
	freeBytes int64
	// noFiles makes every opening of a file fail for lack of file descriptors.
	noFiles bool
	// syncDuration is how long a sync of the journal blocks the control goroutine.
	syncDuration time.Duration
	// stopped is the error that ended the control goroutine.
	stopped error
}

// Now implements Clock.
func (g *group) Now() time.Duration { return g.now }

func newGroup(t *testing.T, size int) *group {
	t.Helper()
	return newGroupWithQueues(t, size, nil)
}

// newGroupWithQueues makes a group that accepts submitted jobs.
func newGroupWithQueues(t *testing.T, size int, queues *QueueConfig) *group {
	t.Helper()
	return newGroupWithTiming(t, size, queues, testTiming)
}

func newGroupWithTiming(t *testing.T, size int, queues *QueueConfig, timing timing) *group {
	t.Helper()
	g := &group{t: t, now: time.Hour, queues: queues, timing: timing}
	for i := range size {
		g.nodes = append(g.nodes, &testNode{
			group: g, name: fmt.Sprintf("host-%d", i), address: fmt.Sprintf("10.0.0.%d:1", i),
			freeBytes: ampleFreeBytes, fullFiles: noFile,
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
		FreeBytes: func() (int64, error) { return n.freeBytes, nil }, SnapshotBytes: 16 << 10,
		Logger: slog.New(slog.NewJSONHandler(&n.log, nil)), Meter: counters,
		Heartbeat: n.group.timing.heartbeat, ElectionMin: n.group.timing.electionMin, ElectionMax: n.group.timing.electionMax,
		Rand: rand.New(rand.NewPCG(uint64(len(n.name)+int(n.address[7])), 1)),
		Lessor: lessor.Config{
			WorkerLease: 10 * time.Second, PollTimeout: 2 * time.Second, EntryLease: 3 * time.Second,
			TargetSilence: 4 * time.Second, DriftPercent: 1,
		},
		Queues: n.group.queues,
	})
	require.NoError(t, err)
	n.ctl.async = func(call func()) { call() }
	n.ctl.asyncSync = func(sync func()) { sync() }
	n.ctl.sleep = n.sleep
	if n.group.lateSyncs {
		n.endSyncsLate()
	}
	t.Cleanup(func() { _ = data.Close() })
}

// endSyncsLate makes the syncs of a node end one step after they began.
func (n *testNode) endSyncsLate() {
	n.ctl.cfg.SnapshotBytes = math.MaxInt64
	n.ctl.asyncSync = func(sync func()) { n.group.runningSyncs = append(n.group.runningSyncs, sync) }
}

// sleep blocks the control goroutine while the other nodes continue.
func (n *testNode) sleep(d time.Duration) {
	g := n.group
	n.blocked = true
	for end := g.now + d; g.now < end; {
		g.now += testTick
		g.endSyncs()
		for _, other := range g.others(n) {
			if !other.blocked {
				other.runOnce()
			}
		}
		g.deliverExcept(n)
	}
	n.blocked = false
}

// open is the journal.Opener of the node's data folder.
func (n *testNode) open(path string) (journal.File, error) {
	n.opens++
	if n.noFiles {
		return nil, &fs.PathError{Op: "open", Path: path, Err: syscall.EMFILE}
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	return &limitedFile{File: file, node: n, name: filepath.Base(path)}, err
}

// limitedFile fails writes that would make it grow on a full disk.
type limitedFile struct {
	*os.File
	node *testNode
	name string
}

func (f *limitedFile) isFull() bool {
	return f.node.fullFiles != noFile && strings.HasPrefix(f.name, f.node.fullFiles) &&
		(f.node.fullUntil == 0 || f.node.group.now < f.node.fullUntil)
}

// fullMode says what a full disk refuses.
type fullMode int

const (
	// refusesGrowth lets a file grow by half of the write that does not fit.
	refusesGrowth fullMode = iota
	// refusesWrites refuses writes in place too.
	refusesWrites
	// refusesTruncation refuses to set the length of a file besides.
	refusesTruncation
	// refusesSyncs accepts writes and fails when they are synced.
	refusesSyncs
)

var fullModes = []fullMode{refusesGrowth, refusesWrites, refusesTruncation, refusesSyncs}

// Truncate implements journal.File.
func (f *limitedFile) Truncate(size int64) error {
	if f.isFull() && f.node.fullMode == refusesTruncation {
		return syscall.ENOSPC
	}
	return f.File.Truncate(size)
}

func (f *limitedFile) WriteAt(p []byte, off int64) (int, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	if f.isFull() && f.node.fullMode == refusesSyncs {
		return f.File.WriteAt(p, off)
	}
	if f.isFull() && f.node.fullMode != refusesGrowth {
		return 0, syscall.ENOSPC
	}
	if f.isFull() && off+int64(len(p)) > info.Size() {
		n, _ := f.File.WriteAt(p[:len(p)/2], off)
		return n, syscall.ENOSPC
	}
	return f.File.WriteAt(p, off)
}

// Sync takes syncDuration of simulated time. Meanwhile the others continue, and their replies wait in the node's queue.
func (f *limitedFile) Sync() error {
	if f.isFull() && f.node.fullMode == refusesSyncs {
		return syscall.ENOSPC
	}
	if f.node.syncDuration > 0 && f.node.ctl != nil {
		f.node.group.now += f.node.syncDuration
		f.node.group.deliverExcept(f.node)
	}
	return f.File.Sync()
}

// Send implements Messenger.
func (n *testNode) Send(address string, request *wire.Request) {
	n.group.messages = append(n.group.messages, delivery{address, request.GetPeer()})
}

// Call implements Messenger for join requests.
func (n *testNode) Call(_ context.Context, address string, request *wire.Request) (*wire.Reply, error) {
	to := n.group.nodeAt(address)
	if to == nil || to.down || n.down {
		return nil, errors.New("unreachable")
	}
	var reply *wire.Reply
	to.ctl.handle(joinEvent{request.GetJoin().GetMember(), func(r *wire.Reply) { reply = r }}, n.group.now)
	return reply, nil
}

func (g *group) nodeAt(address string) *testNode {
	for _, node := range g.nodes {
		if node.address == address {
			return node
		}
	}
	return nil
}

// run advances simulated time by d in steps of testTick, each with one iteration of every control loop.
func (g *group) run(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.now += testTick
		g.endSyncs()
		for _, node := range g.nodes {
			node.runOnce()
		}
		for range 20 {
			g.deliver()
		}
	}
}

func (g *group) endSyncs() {
	syncs := g.runningSyncs
	g.runningSyncs = nil
	for _, sync := range syncs {
		sync()
	}
}

func (g *group) deliver() {
	messages := g.messages
	g.messages = nil
	for _, d := range messages {
		if node := g.nodeAt(d.address); node != nil && !node.down && g.now >= node.unheardUntil {
			g.now += 50 * time.Microsecond
			node.ctl.handle(peerEvent{d.message}, g.now)
			node.runOnce()
		}
	}
}

// deliverExcept delivers messages to all nodes that are not blocked in a sync, and queues those to a blocked node,
// which handles them when it continues.
func (g *group) deliverExcept(busy *testNode) {
	for range 20 {
		messages := g.messages
		g.messages = nil
		for _, d := range messages {
			node := g.nodeAt(d.address)
			switch {
			case node == nil || node.down:
			case node == busy || node.blocked || node.syncDuration > 0:
				select {
				case node.ctl.events <- peerEvent{d.message}:
				default:
				}
			default:
				node.ctl.handle(peerEvent{d.message}, g.now)
				node.runOnce()
			}
		}
	}
}

func (n *testNode) runOnce() {
	if n.down {
		return
	}
	n.ctl.handleQueuedEvents()
	if err := n.ctl.runOnce(n.group.now); err != nil {
		n.stopped, n.down = err, true
	}
}

func (g *group) runUntil(limit time.Duration, what string, done func() bool) {
	g.t.Helper()
	for end := g.now + limit; g.now < end; g.run(testTick) {
		if done() {
			return
		}
	}
	require.Fail(g.t, "not reached: "+what)
}

// leader returns the node that leads and holds the leader lease; nil when there is none.
func (g *group) leader() *testNode {
	for _, node := range g.nodes {
		if !node.down && node.ctl.leading && node.ctl.repl.HasLease(g.now) {
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

// changeResult is the result of a change as its operator receives it; reason is empty when the change was accepted.
type changeResult struct {
	answered bool
	reason   string
}

// change proposes a configuration of about the given size in bytes and returns a pointer to its result.
func (g *group) change(node *testNode, size int) *changeResult {
	g.changes++
	a := &changeResult{}
	node.ctl.handle(changeEvent{
		command: &wire.Command{Body: &wire.Command_Configure{Configure: &wire.Configure{
			Change: &wire.Change{
				Id: fmt.Sprint(g.changes), Operator: "test", ExpectedRevision: node.ctl.cell.Revision(),
				Digest: []byte{byte(g.changes)},
			},
			// The weight differs with each change, since an equal configuration does not raise the revision.
			Config: &wire.Config{Profile: "waiting", Teams: []*wire.Team{
				{Name: string(bytes.Repeat([]byte{'x'}, size)), Weight: uint32(g.changes)},
			}},
		}}},
		done: func(result *wire.Result) { *a = changeResult{true, result.GetReason()} },
		fail: func(refusal *wire.Refusal) { *a = changeResult{true, refusal.GetReason()} },
	}, g.now)
	return a
}
