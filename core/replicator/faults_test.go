package replicator

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestGroupUnderFaults injects random faults: lost, delayed, duplicated and reordered messages, pauses, partitions,
// crashes that lose unsynced records, slow disks, full disks, and lost disks. The oracle detects two leaders in a term, two leader
// leases at the same time, and committed entries that change, disappear or differ in order.
func TestGroupUnderFaults(t *testing.T) {
	elections, entries := 0, uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		d := newFaultDriver(t)
		t.Repeat(rapid.StateMachineActions(d))
		d.checkRecovery()
		elections += d.net.oracle.elections
		entries += d.net.oracle.maxApplied
	})
	t.Logf("%d elections, %d committed entries", elections, entries)
}

// faultDriver injects faults into a network. rapid calls its exported methods in random order; their names determine
// which ones a seed selects.
type faultDriver struct {
	net *network
	t   *rapid.T
}

func newFaultDriver(t *rapid.T) *faultDriver {
	size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
	net := newNetwork(t, rapid.Uint64().Draw(t, "seed"), size)
	net.run(4 * time.Second)
	net.faulty = true
	net.slowDisks = rapid.Bool().Draw(t, "slow disks")
	return &faultDriver{net: net, t: t}
}

// drawNode returns a random node that still has its disk.
func (d *faultDriver) drawNode() *simNode {
	var nodes []*simNode
	for _, node := range d.net.nodes {
		if !node.lost {
			nodes = append(nodes, node)
		}
	}
	return nodes[rapid.IntRange(0, len(nodes)-1).Draw(d.t, "node")]
}

// advance runs the network for a random time below limit. The time is drawn uniformly, because rapid prefers small
// numbers, within which nothing happens.
func (d *faultDriver) advance(limit time.Duration) {
	d.net.runWithRepairs(time.Duration(d.net.rng.Int64N(int64(limit))))
}

// Check proposes commands and runs the network for up to a second after each action. The oracle checks every tick.
func (d *faultDriver) Check(*rapid.T) {
	d.propose()
	d.advance(time.Second)
}

// AdvanceLong runs the network for up to 6 s, within which an election can complete.
func (d *faultDriver) AdvanceLong(*rapid.T) { d.advance(6 * time.Second) }

// propose proposes a command to every running node; nodes without the lease refuse it.
func (d *faultDriver) propose() {
	for _, node := range d.net.nodes {
		if d.net.isRunning(node) {
			d.net.propose(node, []byte{byte(d.net.rng.Uint32())})
		}
	}
}

// Crash stops a node at once, or before or after its next sync.
func (d *faultDriver) Crash(*rapid.T) {
	node := d.drawNode()
	if node.down {
		return
	}
	node.crash = rapid.SampledFrom([]crashPoint{noCrash, crashBeforeSync, crashAfterSync}).Draw(d.t, "point")
	if node.crash == noCrash {
		d.net.stop(node)
	}
}

// Restart starts a stopped node.
func (d *faultDriver) Restart(*rapid.T) {
	if node := d.drawNode(); node.down {
		d.net.start(node)
	}
}

// RestartAtOnce restarts a node within the election timeout.
func (d *faultDriver) RestartAtOnce(*rapid.T) {
	node := d.drawNode()
	d.net.stop(node)
	d.net.start(node)
}

// Reopen discards a node's unsynced records, as after a write to a full disk.
func (d *faultDriver) Reopen(*rapid.T) {
	if node := d.drawNode(); d.net.isRunning(node) {
		d.net.reopen(node)
	}
}

// HandOver makes the leader hand over leadership.
func (d *faultDriver) HandOver(*rapid.T) {
	for _, node := range d.net.nodes {
		if d.net.isRunning(node) {
			_, _ = node.repl.HandOver(d.net.clock(node))
			d.net.processReady(node)
		}
	}
}

// Pause suspends a node, which keeps its memory.
func (d *faultDriver) Pause(*rapid.T) { d.drawNode().paused = true }

// Resume ends a pause.
func (d *faultDriver) Resume(*rapid.T) { d.drawNode().paused = false }

// Isolate blocks all links of a node.
func (d *faultDriver) Isolate(*rapid.T) { d.net.isolate(d.drawNode()) }

// CutOneWay blocks the link from one node to another.
func (d *faultDriver) CutOneWay(*rapid.T) {
	d.net.blocked[link{d.drawNode().id, d.drawNode().id}] = true
}

// Separate blocks the links between the leader and another node; the other nodes reach both.
func (d *faultDriver) Separate(*rapid.T) {
	if leader := d.net.leaseHolder(); leader != nil {
		other := d.drawNode()
		d.net.blocked[link{leader.id, other.id}], d.net.blocked[link{other.id, leader.id}] = true, true
	}
}

// Heal unblocks all links.
func (d *faultDriver) Heal(*rapid.T) { d.net.heal() }

// Compact stores a snapshot on a node and compacts its log.
func (d *faultDriver) Compact(*rapid.T) {
	if node := d.drawNode(); d.net.isRunning(node) {
		d.net.snapshot(node, rapid.Uint64Range(0, 4).Draw(d.t, "keep"))
	}
}

// Replace destroys a node with its disk and adds a new one, unless the group has not recovered from an earlier loss.
func (d *faultDriver) Replace(*rapid.T) {
	if node := d.drawNode(); d.net.repaired() {
		d.net.replace(node)
	}
}

// checkRecovery ends all faults and verifies that the group accepts a command and that every node applies it.
func (d *faultDriver) checkRecovery() {
	d.net.heal()
	d.net.faulty, d.net.slowDisks = false, false
	for _, node := range d.net.nodes {
		node.paused, node.crash = false, noCrash
		if node.down && !node.lost {
			d.net.start(node)
		}
	}
	d.net.runWithRepairs(30 * time.Second)
	leader := d.net.awaitLeaseHolder()
	if !d.net.propose(leader, []byte("last")) {
		d.t.Fatalf("the leader refuses a command")
	}
	d.net.run(2 * time.Second)
	for _, node := range d.net.nodes {
		if !node.lost && node.applied != d.net.oracle.maxApplied {
			d.t.Fatalf("%s applied up to %d of %d", node.id, node.applied, d.net.oracle.maxApplied)
		}
	}
}
