package replicator

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

const (
	simHeartbeat   = 200 * time.Millisecond
	simElectionMin = time.Second
	simElectionMax = 2 * time.Second
	simTick        = 20 * time.Millisecond
)

// failer is what the network needs of a test; *testing.T and *rapid.T provide it.
type failer interface {
	Fatalf(format string, args ...any)
	Helper()
}

// simDisk holds what a node has synced.
type simDisk struct {
	hard     *wire.HardState
	snapshot *wire.Snapshot
	entries  []*wire.Entry
}

func (d *simDisk) base() uint64 { return d.snapshot.GetMeta().GetIndex() }

func (d *simDisk) append(records []*wire.JournalRecord) {
	for _, record := range records {
		switch body := record.GetBody().(type) {
		case *wire.JournalRecord_HardState:
			d.hard = body.HardState
		case *wire.JournalRecord_Entry:
			d.entries = append(d.entries[:body.Entry.GetIndex()-d.base()-1:len(d.entries)], body.Entry)
		}
	}
}

func (d *simDisk) saveSnapshot(snapshot *wire.Snapshot, hard *wire.HardState, tail []*wire.Entry) {
	d.snapshot, d.hard, d.entries = snapshot, hard, slices.Clone(tail)
}

// ReadChunk implements SnapshotReader.
func (d *simDisk) ReadChunk(meta *wire.SnapshotMeta, offset uint64, size int) (data []byte, last bool, err error) {
	if !proto.Equal(meta, d.snapshot.GetMeta()) {
		return nil, false, fmt.Errorf("no snapshot at index %d", meta.GetIndex())
	}
	state := d.snapshot.GetState()
	end := min(offset+uint64(size), uint64(len(state)))
	return state[offset:end], end == uint64(len(state)), nil
}

type crashPoint int

const (
	noCrash crashPoint = iota
	crashBeforeSync
	crashAfterSync
)

// simNode is one node: a replicator, its disk and the state machine that it feeds.
type simNode struct {
	id        string
	disk      simDisk
	bootstrap *wire.Membership
	repl      *Replicator
	// rate and offset turn simulated time into the node's own clock.
	rate    float64
	offset  time.Duration
	down    bool
	paused  bool
	lost    bool
	crash   crashPoint
	applied uint64
	// chain is a hash over every applied entry, so that equal chains mean equal histories.
	chain uint64
	// ledTerm is the newest term in which the oracle saw this node lead.
	ledTerm uint64
}

type envelope struct {
	due time.Duration
	seq uint64
	msg *wire.PeerMessage
}

type link struct{ from, to string }

// network connects nodes with simulated time. All randomness comes from rng, so that a seed repeats a run.
type network struct {
	t      failer
	rng    *rand.Rand
	now    time.Duration
	nodes  []*simNode
	queue  []envelope
	seq    uint64
	cut    map[link]bool
	faulty bool
	// padding is the size of a snapshot's state in bytes.
	padding int
	oracle  oracle
	created int
}

func newNetwork(t failer, seed uint64, size int) *network {
	n := &network{t: t, rng: rand.New(rand.NewPCG(seed, 1)), cut: map[link]bool{}, padding: 64, oracle: newOracle()}
	members := &wire.Membership{}
	for range size {
		node := n.create()
		members.Members = append(members.Members, &wire.Member{Id: node.id, Voter: true})
	}
	for _, node := range n.nodes {
		node.bootstrap = members
		n.start(node)
	}
	return n
}

// create adds a node with an empty disk. Clock rates differ by up to 1% between nodes.
func (n *network) create() *simNode {
	n.created++
	node := &simNode{
		id: fmt.Sprintf("n%d", n.created), down: true,
		rate:   1 + (n.rng.Float64()-0.5)*0.00995,
		offset: time.Duration(n.rng.Int64N(int64(time.Hour))),
	}
	n.nodes = append(n.nodes, node)
	return node
}

func (n *network) clock(node *simNode) time.Duration {
	return node.offset + time.Duration(float64(n.now)*node.rate)
}

func (n *network) config(node *simNode) Config {
	return Config{
		ID: node.id, Heartbeat: simHeartbeat, ElectionMin: simElectionMin, ElectionMax: simElectionMax, DriftPercent: 1,
		Rand: rand.New(rand.NewPCG(n.rng.Uint64(), 2)), Snapshots: &node.disk,
	}
}

// start runs a node from what its disk holds.
func (n *network) start(node *simNode) {
	node.down, node.paused, node.crash = false, false, noCrash
	node.applied, node.chain = node.disk.base(), 0
	if state := node.disk.snapshot.GetState(); len(state) > 0 {
		node.chain = binary.LittleEndian.Uint64(state)
	}
	node.repl = New(n.config(node), n.restored(node), n.clock(node))
}

func (n *network) restored(node *simNode) RestoredState {
	return RestoredState{
		HardState: node.disk.hard, Snapshot: node.disk.snapshot.GetMeta(), Entries: slices.Clone(node.disk.entries),
		Bootstrap: node.bootstrap,
	}
}

// reopen forgets what was not synced but keeps the applied state, as a host does after a write that did not fit.
func (n *network) reopen(node *simNode) {
	node.repl = New(n.config(node), n.restored(node), n.clock(node))
	node.repl.MarkApplied(node.applied)
}

func (n *network) stop(node *simNode) { node.down, node.repl = true, nil }

func (n *network) runs(node *simNode) bool { return !node.down && !node.paused }

func (n *network) find(id string) *simNode {
	for _, node := range n.nodes {
		if node.id == id {
			return node
		}
	}
	return nil
}

// isolate cuts every link of a node in both directions.
func (n *network) isolate(node *simNode) {
	for _, other := range n.nodes {
		n.cut[link{node.id, other.id}], n.cut[link{other.id, node.id}] = true, true
	}
}

func (n *network) heal() { n.cut = map[link]bool{} }

// pump does a node's pending work in the order that Ready documents.
func (n *network) pump(node *simNode) {
	for n.runs(node) {
		ready := node.repl.Ready()
		if ready.Empty() {
			return
		}
		if node.crash == crashBeforeSync && (ready.Install != nil || len(ready.Records) > 0) {
			n.stop(node)
			return
		}
		if ready.Install != nil {
			node.disk.saveSnapshot(ready.Install, node.repl.HardState(), ready.Tail)
			node.applied = ready.Install.GetMeta().GetIndex()
			node.chain = binary.LittleEndian.Uint64(ready.Install.GetState())
			n.oracle.checkChain(n.t, node)
		}
		node.disk.append(ready.Records)
		if node.crash == crashAfterSync {
			n.stop(node)
			return
		}
		node.repl.MarkPersisted(n.clock(node))
		for _, msg := range ready.Messages {
			n.post(msg)
		}
		for _, entry := range ready.Committed {
			n.apply(node, entry)
		}
		n.oracle.check(n)
	}
}

func (n *network) apply(node *simNode, entry *wire.Entry) {
	if entry.GetIndex() <= node.applied {
		return
	}
	if entry.GetIndex() != node.applied+1 {
		n.t.Fatalf("%s applies entry %d after %d", node.id, entry.GetIndex(), node.applied)
	}
	h := fnv.New64a()
	_ = binary.Write(h, binary.LittleEndian, []uint64{node.chain, entry.GetIndex(), entry.GetTerm(), uint64(entry.GetKind())})
	_, _ = h.Write(entry.GetData())
	node.applied, node.chain = entry.GetIndex(), h.Sum64()
	n.oracle.checkChain(n.t, node)
}

// post puts a message into the network, which may lose, delay or duplicate it.
func (n *network) post(msg *wire.PeerMessage) {
	n.oracle.noteMessage(msg)
	if n.cut[link{msg.GetFrom(), msg.GetTo()}] {
		return
	}
	copies := 1
	if n.faulty {
		switch roll := n.rng.IntN(100); {
		case roll < 10:
			return
		case roll < 20:
			copies = 2
		}
	}
	for range copies {
		delay := time.Millisecond + time.Duration(n.rng.Int64N(int64(4*time.Millisecond)))
		if n.faulty && n.rng.IntN(10) == 0 {
			delay += time.Duration(n.rng.Int64N(int64(3 * time.Second)))
		}
		n.seq++
		n.queue = append(n.queue, envelope{due: n.now + delay, seq: n.seq, msg: proto.Clone(msg).(*wire.PeerMessage)})
	}
}

// run advances simulated time in ticks.
func (n *network) run(d time.Duration) {
	for end := n.now + d; n.now < end; {
		n.deliverUntil(n.now + simTick)
		for _, node := range n.nodes {
			if n.runs(node) {
				node.repl.Tick(n.clock(node))
				n.pump(node)
			}
		}
		n.oracle.check(n)
	}
}

func (n *network) deliverUntil(until time.Duration) {
	for {
		next := -1
		for i, e := range n.queue {
			if e.due <= until && (next < 0 || e.due < n.queue[next].due ||
				(e.due == n.queue[next].due && e.seq < n.queue[next].seq)) {
				next = i
			}
		}
		if next < 0 {
			n.now = until
			return
		}
		e := n.queue[next]
		n.queue = slices.Delete(n.queue, next, next+1)
		n.now = max(n.now, e.due)
		n.deliver(e.msg)
	}
}

func (n *network) deliver(msg *wire.PeerMessage) {
	node := n.find(msg.GetTo())
	if node == nil || node.down || n.cut[link{msg.GetFrom(), msg.GetTo()}] {
		return
	}
	if node.paused {
		// A paused process finds the message in its socket when it resumes.
		n.seq++
		n.queue = append(n.queue, envelope{due: n.now + simTick, seq: n.seq, msg: msg})
		return
	}
	node.repl.Step(n.clock(node), msg)
	n.pump(node)
}

// holder returns the node that holds the leader lease.
func (n *network) holder() *simNode {
	for _, node := range n.nodes {
		if !node.down && node.repl.HasLease(n.clock(node)) {
			return node
		}
	}
	return nil
}

// awaitHolder runs until a node holds the lease and fails after ten election timeouts.
func (n *network) awaitHolder() *simNode {
	n.t.Helper()
	const limit = 10 * simElectionMax
	for end := n.now + limit; n.now < end; n.run(simTick) {
		if node := n.holder(); node != nil && n.runs(node) {
			return node
		}
	}
	n.t.Fatalf("no leader lease within %v", limit)
	return nil
}

func (n *network) propose(node *simNode, data []byte) bool {
	_, _, err := node.repl.Propose(n.clock(node), data)
	n.pump(node)
	return err == nil
}

// snapshot stores a snapshot at the node's applied index and compacts its log up to it.
func (n *network) snapshot(node *simNode, keep uint64) {
	term, ok := node.repl.TermAt(node.applied)
	if !ok || node.applied == 0 || node.applied <= node.disk.base() {
		return
	}
	meta := &wire.SnapshotMeta{Index: node.applied, Term: term, Membership: node.repl.MembershipAt(node.applied)}
	state := binary.LittleEndian.AppendUint64(nil, node.chain)
	state = append(state, bytes.Repeat([]byte{byte(node.applied)}, n.padding)...)
	node.disk.saveSnapshot(&wire.Snapshot{Meta: meta, State: state}, node.repl.HardState(), node.repl.Entries(node.applied+1))
	node.repl.Compact(meta, node.applied-min(node.applied, keep))
}
