package replicator

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestGroupUnderFaults runs random faults against the oracle: lost, delayed, duplicated and reordered messages, pauses,
// cuts, crashes that lose unsynced records, full disks and nodes that return with an empty disk. It guards against two
// leaders in a term, two leader leases at one instant, and committed entries that change, vanish or differ in order.
func TestGroupUnderFaults(t *testing.T) {
	elections, entries := 0, uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
		m.settle()
		elections += m.net.oracle.elections
		entries += m.net.oracle.newest
	})
	t.Logf("%d elections, %d committed entries", elections, entries)
}

// machine drives a network; each exported method is an action that rapid may choose.
type machine struct {
	net *network
	t   *rapid.T
}

func newMachine(t *rapid.T) *machine {
	size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
	net := newNetwork(t, rapid.Uint64().Draw(t, "seed"), size)
	net.run(4 * time.Second)
	net.faulty = true
	return &machine{net: net, t: t}
}

func (m *machine) draw() *simNode {
	var nodes []*simNode
	for _, node := range m.net.nodes {
		if !node.lost {
			nodes = append(nodes, node)
		}
	}
	return nodes[rapid.IntRange(0, len(nodes)-1).Draw(m.t, "node")]
}

// advance lets a random time pass. It is drawn evenly: rapid prefers small numbers, under which nothing happens.
func (m *machine) advance(limit time.Duration) {
	m.net.runAdministered(time.Duration(m.net.rng.Int64N(int64(limit))))
}

// Check lets a moment pass after each action; the network checks the oracle at each step.
func (m *machine) Check(*rapid.T) {
	m.propose()
	m.advance(time.Second)
}

// AdvanceLong lets an election pass.
func (m *machine) AdvanceLong(*rapid.T) { m.advance(6 * time.Second) }

// propose appends a command on every node that accepts it.
func (m *machine) propose() {
	for _, node := range m.net.nodes {
		if m.net.runs(node) {
			m.net.propose(node, []byte{byte(m.net.rng.Uint32())})
		}
	}
}

// Crash stops a node at a point of its work.
func (m *machine) Crash(*rapid.T) {
	node := m.draw()
	if node.down {
		return
	}
	node.crash = rapid.SampledFrom([]crashPoint{noCrash, crashBeforeSync, crashAfterSync}).Draw(m.t, "point")
	if node.crash == noCrash {
		m.net.stop(node)
	}
}

// Restart starts a stopped node.
func (m *machine) Restart(*rapid.T) {
	if node := m.draw(); node.down {
		m.net.start(node)
	}
}

// RestartAtOnce stops and starts a node within the election timeout.
func (m *machine) RestartAtOnce(*rapid.T) {
	node := m.draw()
	m.net.stop(node)
	m.net.start(node)
}

// Reopen makes a node forget what it has not synced, as after a full disk.
func (m *machine) Reopen(*rapid.T) {
	if node := m.draw(); m.net.runs(node) {
		m.net.reopen(node)
	}
}

// HandOver makes the leader give leadership to another voter.
func (m *machine) HandOver(*rapid.T) {
	for _, node := range m.net.nodes {
		if m.net.runs(node) {
			_, _ = node.repl.HandOver(m.net.clock(node))
			m.net.pump(node)
		}
	}
}

// Pause stops a node without losing its memory.
func (m *machine) Pause(*rapid.T) { m.draw().paused = true }

// Resume lets a paused node go on.
func (m *machine) Resume(*rapid.T) { m.draw().paused = false }

// Isolate cuts a node off.
func (m *machine) Isolate(*rapid.T) { m.net.isolate(m.draw()) }

// CutOneWay loses all messages from one node to another.
func (m *machine) CutOneWay(*rapid.T) { m.net.cut[link{m.draw().id, m.draw().id}] = true }

// Separate cuts the leader and another node off from each other; the rest reach both.
func (m *machine) Separate(*rapid.T) {
	if leader := m.net.holder(); leader != nil {
		other := m.draw()
		m.net.cut[link{leader.id, other.id}], m.net.cut[link{other.id, leader.id}] = true, true
	}
}

// Heal restores all links.
func (m *machine) Heal(*rapid.T) { m.net.heal() }

// Compact stores a snapshot and drops the log before it.
func (m *machine) Compact(*rapid.T) {
	if node := m.draw(); m.net.runs(node) {
		m.net.snapshot(node, rapid.Uint64Range(0, 4).Draw(m.t, "keep"))
	}
}

// Replace loses a disk, unless an earlier loss is not repaired yet.
func (m *machine) Replace(*rapid.T) {
	if node := m.draw(); m.net.repaired() {
		m.net.replace(node)
	}
}

// settle ends all faults and expects that the group accepts and applies a command everywhere.
func (m *machine) settle() {
	m.net.heal()
	m.net.faulty = false
	for _, node := range m.net.nodes {
		node.paused, node.crash = false, noCrash
		if node.down && !node.lost {
			m.net.start(node)
		}
	}
	m.net.runAdministered(30 * time.Second)
	leader := m.net.awaitHolder()
	if !m.net.propose(leader, []byte("last")) {
		m.t.Fatalf("the leader refuses a command")
	}
	m.net.run(2 * time.Second)
	for _, node := range m.net.nodes {
		if !node.lost && node.applied != m.net.oracle.newest {
			m.t.Fatalf("%s applied up to %d of %d", node.id, node.applied, m.net.oracle.newest)
		}
	}
}
