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

// testingT is the part of *testing.T and *rapid.T that the network uses.
type testingT interface {
	Fatalf(format string, args ...any)
	Helper()
}

// simDisk holds the data that a node has synced.
type simDisk struct {
	hardState *wire.HardState
	snapshot  *wire.Snapshot
	entries   []*wire.Entry
}

func (d *simDisk) base() uint64 { return d.snapshot.GetMeta().GetIndex() }

func (d *simDisk) append(records []*wire.JournalRecord) {
	for _, record := range records {
		switch body := record.GetBody().(type) {
		case *wire.JournalRecord_HardState:
			d.hardState = body.HardState
		case *wire.JournalRecord_Entry:
			d.entries = append(d.entries[:body.Entry.GetIndex()-d.base()-1:len(d.entries)], body.Entry)
		}
	}
}

func (d *simDisk) saveSnapshot(snapshot *wire.Snapshot, hardState *wire.HardState, tail []*wire.Entry) {
	d.snapshot, d.hardState, d.entries = snapshot, hardState, slices.Clone(tail)
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

// simNode is a node: a replicator, its disk, and the state machine that applies the committed entries.
type simNode struct {
	id        string
	disk      simDisk
	bootstrap *wire.Membership
	repl      *Replicator
	// rate and offset derive the node's own clock from simulated time.
	rate   float64
	offset time.Duration
	down   bool
	paused bool
	// lost is set once the node is permanently stopped and its disk destroyed.
	lost    bool
	crash   crashPoint
	applied uint64
	// historyHash is a hash over all applied entries. Equal hashes mean equal histories.
	historyHash uint64
	// ledTerm is the newest term in which the oracle saw this node lead.
	ledTerm uint64
	// running is the batch that is being synced until syncEnd, or nil; next follows it. Used with slow disks only.
	running *simBatch
	next    simBatch
	syncEnd time.Duration
}

// simBatch holds records that are synced together, and the messages that wait for them.
type simBatch struct {
	records             []*wire.JournalRecord
	messages            []*wire.PeerMessage
	lastIndex, lastTerm uint64
}

func (b *simBatch) hasHardState() bool {
	return slices.ContainsFunc(b.records, func(r *wire.JournalRecord) bool { return r.GetHardState() != nil })
}

// delivery is a message in transit. seq orders messages that are due at the same time.
type delivery struct {
	due time.Duration
	seq uint64
	msg *wire.PeerMessage
}

type link struct{ from, to string }

// network simulates time and the links between nodes. All randomness comes from rng, so a seed reproduces a run.
type network struct {
	t       testingT
	rng     *rand.Rand
	now     time.Duration
	nodes   []*simNode
	queue   []delivery
	seq     uint64
	blocked map[link]bool
	// faulty makes the network lose, duplicate and delay messages at random.
	faulty bool
	// slowDisks makes syncs take simulated time, during which nodes go on.
	slowDisks bool
	// paddingBytes is the number of bytes that follow the history hash in a snapshot's state.
	paddingBytes int
	oracle       oracle
	createdCount int
}

func newNetwork(t testingT, seed uint64, size int) *network {
	n := &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), blocked: map[link]bool{}, paddingBytes: 64, oracle: newOracle(),
	}
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

// create adds a stopped node with an empty disk. Clock rates differ by up to 1% between nodes.
func (n *network) create() *simNode {
	n.createdCount++
	node := &simNode{
		id: fmt.Sprintf("n%d", n.createdCount), down: true,
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

// start starts a node from its disk.
func (n *network) start(node *simNode) {
	node.down, node.paused, node.crash = false, false, noCrash
	node.running, node.next = nil, simBatch{}
	node.applied, node.historyHash = node.disk.base(), 0
	if state := node.disk.snapshot.GetState(); len(state) > 0 {
		node.historyHash = binary.LittleEndian.Uint64(state)
	}
	node.repl = New(n.config(node), n.restored(node), n.clock(node))
}

func (n *network) restored(node *simNode) RestoredState {
	return RestoredState{
		HardState: node.disk.hardState, Snapshot: node.disk.snapshot.GetMeta(),
		Entries: slices.Clone(node.disk.entries), Bootstrap: node.bootstrap,
	}
}

// reopen discards unsynced records and keeps the applied state, as the controller does after a write to a full disk.
func (n *network) reopen(node *simNode) {
	node.running, node.next = nil, simBatch{}
	node.repl = New(n.config(node), n.restored(node), n.clock(node))
	node.repl.MarkApplied(node.applied)
}

// stop stops a node at once. The records that are being synced may or may not be on the disk.
func (n *network) stop(node *simNode) {
	if node.running != nil && n.rng.IntN(2) == 0 {
		node.disk.append(node.running.records)
	}
	node.down, node.repl, node.running = true, nil, nil
}

func (n *network) isRunning(node *simNode) bool { return !node.down && !node.paused }

func (n *network) find(id string) *simNode {
	for _, node := range n.nodes {
		if node.id == id {
			return node
		}
	}
	return nil
}

// isolate blocks every link of a node in both directions.
func (n *network) isolate(node *simNode) {
	for _, other := range n.nodes {
		n.blocked[link{node.id, other.id}], n.blocked[link{other.id, node.id}] = true, true
	}
}

func (n *network) heal() { n.blocked = map[link]bool{} }

// processReady does a node's pending work in the order that Ready requires.
func (n *network) processReady(node *simNode) {
	for n.isRunning(node) {
		ready := node.repl.Ready()
		if ready.Empty() {
			return
		}
		if node.crash == crashBeforeSync && (ready.Install != nil || len(ready.Records) > 0) {
			n.stop(node)
			return
		}
		if ready.Install != nil {
			n.drainSync(node)
			if node.down {
				return
			}
			node.disk.saveSnapshot(ready.Install, node.repl.HardState(), ready.Tail)
			node.applied = ready.Install.GetMeta().GetIndex()
			node.historyHash = binary.LittleEndian.Uint64(ready.Install.GetState())
			n.oracle.checkHistory(n.t, node)
		}
		n.enqueue(node, ready)
		if !n.slowDisks {
			n.finishSync(node)
		}
		if node.down {
			return
		}
		for _, entry := range ready.Committed {
			n.apply(node, entry)
		}
		n.oracle.check(n)
	}
}

// enqueue adds the records and the messages that wait for them to the node's next batch. With slow disks a leader sends
// new entries before it has synced them, unless its hard state is not synced yet.
func (n *network) enqueue(node *simNode, ready Ready) {
	batch := simBatch{records: ready.Records}
	early := n.slowDisks && ready.Install == nil && !batch.hasHardState() && !node.next.hasHardState() &&
		(node.running == nil || !node.running.hasHardState())
	for _, msg := range ready.Messages {
		if early && msg.GetAppendRequest() != nil {
			n.send(msg)
			continue
		}
		node.next.messages = append(node.next.messages, msg)
	}
	node.next.records = append(node.next.records, ready.Records...)
	node.next.lastIndex = node.repl.LastIndex()
	node.next.lastTerm, _ = node.repl.TermAt(node.next.lastIndex)
	n.startSync(node)
}

// startSync starts to sync the node's next batch unless a sync is running.
func (n *network) startSync(node *simNode) {
	if node.running != nil || len(node.next.records)+len(node.next.messages) == 0 {
		return
	}
	batch := node.next
	node.running, node.next, node.syncEnd = &batch, simBatch{}, n.now
	if n.slowDisks && len(batch.records) > 0 {
		node.syncEnd += time.Duration(n.rng.Int64N(int64(60 * time.Millisecond)))
		if n.rng.IntN(40) == 0 {
			node.syncEnd += 2 * time.Second
		}
	}
}

// finishSync ends the running sync and starts the next one.
func (n *network) finishSync(node *simNode) {
	batch := node.running
	if batch == nil {
		return
	}
	node.running = nil
	node.disk.append(batch.records)
	if node.crash == crashAfterSync {
		n.stop(node)
		return
	}
	node.repl.MarkPersisted(batch.lastIndex, batch.lastTerm, n.clock(node))
	for _, msg := range batch.messages {
		n.send(msg)
	}
	n.startSync(node)
}

// drainSync ends all syncs of a node.
func (n *network) drainSync(node *simNode) {
	for node.running != nil && !node.down {
		n.finishSync(node)
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
	_ = binary.Write(h, binary.LittleEndian,
		[]uint64{node.historyHash, entry.GetIndex(), entry.GetTerm(), uint64(entry.GetKind())})
	_, _ = h.Write(entry.GetData())
	node.applied, node.historyHash = entry.GetIndex(), h.Sum64()
	n.oracle.checkHistory(n.t, node)
}

// send puts a message on its link. A faulty network may lose, delay or duplicate it.
func (n *network) send(msg *wire.PeerMessage) {
	n.oracle.recordVote(msg)
	if n.blocked[link{msg.GetFrom(), msg.GetTo()}] {
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
		n.queue = append(n.queue, delivery{due: n.now + delay, seq: n.seq, msg: proto.Clone(msg).(*wire.PeerMessage)})
	}
}

// run advances simulated time in ticks.
func (n *network) run(d time.Duration) {
	for end := n.now + d; n.now < end; {
		n.deliverUntil(n.now + simTick)
		for _, node := range n.nodes {
			if n.isRunning(node) && node.running != nil && n.now >= node.syncEnd {
				n.finishSync(node)
			}
			if n.isRunning(node) {
				node.repl.Tick(n.clock(node))
				n.processReady(node)
			}
		}
		n.oracle.check(n)
	}
}

// deliverUntil delivers the messages that are due in order and advances simulated time.
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
	if node == nil || node.down || n.blocked[link{msg.GetFrom(), msg.GetTo()}] {
		return
	}
	if node.paused {
		// The message stays in the socket buffer until the process resumes.
		n.seq++
		n.queue = append(n.queue, delivery{due: n.now + simTick, seq: n.seq, msg: msg})
		return
	}
	node.repl.Step(n.clock(node), msg)
	n.processReady(node)
}

// leaseHolder returns the node that holds the leader lease; nil if there is none.
func (n *network) leaseHolder() *simNode {
	for _, node := range n.nodes {
		if !node.down && node.repl.HasLease(n.clock(node)) {
			return node
		}
	}
	return nil
}

// awaitLeaseHolder runs the network until a running node holds the lease. It fails the test after ten election
// timeouts.
func (n *network) awaitLeaseHolder() *simNode {
	n.t.Helper()
	const limit = 10 * simElectionMax
	for end := n.now + limit; n.now < end; n.run(simTick) {
		if node := n.leaseHolder(); node != nil && n.isRunning(node) {
			return node
		}
	}
	n.t.Fatalf("no leader lease within %v", limit)
	return nil
}

// propose proposes a command to a node and reports whether the node accepted it.
func (n *network) propose(node *simNode, data []byte) bool {
	_, _, err := node.repl.Propose(n.clock(node), data)
	n.processReady(node)
	return err == nil
}

// snapshot stores a snapshot at the node's applied index and compacts its log up to keep entries before that index.
func (n *network) snapshot(node *simNode, keep uint64) {
	n.drainSync(node)
	if node.down {
		return
	}
	term, ok := node.repl.TermAt(node.applied)
	if !ok || node.applied == 0 || node.applied <= node.disk.base() {
		return
	}
	meta := &wire.SnapshotMeta{Index: node.applied, Term: term, Membership: node.repl.MembershipAt(node.applied)}
	state := binary.LittleEndian.AppendUint64(nil, node.historyHash)
	state = append(state, bytes.Repeat([]byte{byte(node.applied)}, n.paddingBytes)...)
	node.disk.saveSnapshot(&wire.Snapshot{Meta: meta, State: state},
		node.repl.HardState(), node.repl.Entries(node.applied+1))
	node.repl.Compact(meta, node.applied-min(node.applied, keep))
}
