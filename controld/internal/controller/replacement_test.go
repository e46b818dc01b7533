package controller

import (
	"math"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

// catchUpTime is how long the platform gives a new host to catch up. From then on its predecessor does not count as lost.
const catchUpTime = 4 * time.Second

// addSpare starts another node with an empty data folder.
func (g *group) addSpare(name, address string) {
	g.t.Helper()
	voters := g.nodes[0].ctl.cfg.Voters
	spare := &testNode{group: g, name: name, address: address, freeBytes: ampleFreeBytes, fullFiles: noFile}
	g.nodes = append(g.nodes, spare)
	spare.start(filepath.Join(g.t.TempDir(), "data"))
	spare.ctl.cfg.Voters = voters
}

// wipe restarts a node with an empty data folder after its host was down for a second.
func (g *group) wipe(nodes ...*testNode) {
	for _, node := range nodes {
		node.down = true
	}
	g.run(time.Second)
	for _, node := range nodes {
		g.restart(node, filepath.Join(g.t.TempDir(), "data"))
	}
}

// restart starts a node again that is down.
func (g *group) restart(node *testNode, dir string) {
	voters := node.ctl.cfg.Voters
	_ = node.ctl.cfg.Store.Close() // a node that has ended by itself may have closed its files
	node.start(dir)
	node.ctl.cfg.Voters = voters
	node.down = false
}

// stop ends a node as SIGTERM does.
func (g *group) stop(node *testNode) {
	g.t.Helper()
	g.runUntil(5*time.Second, "the node stops", func() bool {
		node.down = node.down || node.ctl.readyToStop(g.now)
		return node.down
	})
}

func (g *group) voters() []string {
	var names []string
	for _, m := range g.awaitLeader().ctl.repl.Membership().GetMembers() {
		if m.GetVoter() {
			names = append(names, m.GetName())
		}
	}
	return names
}

// Guards against a lost host that keeps its place in the group although a successor has caught up: with two more disks
// lost, which the group must tolerate, three of five voters are gone and no leader is ever elected again.
func TestReplacedVoterBeforeLostDisks(t *testing.T) {
	tests := []struct {
		name    string
		replace func(g *group, old *testNode)
	}{
		{"planned stop, the successor is there", func(g *group, old *testNode) {
			g.addSpare("successor", "10.0.1.9:1")
			g.run(catchUpTime)
			g.stop(old)
		}},
		{"sudden loss, the successor comes later", func(g *group, old *testNode) {
			old.down = true
			g.run(time.Second)
			g.addSpare("successor", "10.0.1.9:1")
			g.run(catchUpTime)
		}},
		{"sudden loss, the successor has the same name", func(g *group, old *testNode) {
			old.down = true
			g.run(time.Second)
			g.addSpare(old.name, "10.0.1.9:1")
			g.run(catchUpTime)
		}},
		{"the leader is killed in the meantime and is back", func(g *group, old *testNode) {
			old.down = true
			g.run(time.Second)
			g.addSpare("successor", "10.0.1.9:1")
			g.run(3500 * time.Millisecond)
			killed := g.awaitLeader()
			killed.down = true
			g.run(500 * time.Millisecond)
			g.restart(killed, killed.dir)
			g.run(catchUpTime)
		}},
		{"leaders change again and again", func(g *group, old *testNode) {
			old.down = true
			g.addSpare("successor", "10.0.1.9:1")
			for range 4 {
				g.run(2 * time.Second)
				killed := g.awaitLeader()
				killed.down = true
				g.run(500 * time.Millisecond)
				g.restart(killed, killed.dir)
			}
			g.run(catchUpTime)
		}},
		{"planned stop of the leader", func(g *group, _ *testNode) {
			g.addSpare("successor", "10.0.1.9:1")
			g.run(catchUpTime)
			g.stop(g.awaitLeader())
		}},
		{"two hosts in series", func(g *group, old *testNode) {
			g.addSpare("first", "10.0.1.9:1")
			g.run(catchUpTime)
			g.stop(old)
			next := g.others(g.awaitLeader())[1]
			next.down = true
			g.run(time.Second)
			g.addSpare("second", "10.0.2.9:1")
			for _, node := range g.nodes {
				node.ctl.cfg.Voters = 5
			}
			g.run(catchUpTime)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeFleet(t, 1, 0)
			config := f.config()
			config.MinVoters = 5
			g := newGroupWithTiming(t, 5, config, deployedTiming)
			f.group = g
			g.callUntilOK(configureCall(1))
			g.callUntilOK(submitCall(1))
			tt.replace(g, g.others(g.leader())[0])
			g.callUntilOK(submitCall(2))
			require.Len(t, g.voters(), 5)
			var wiped []*testNode
			for _, node := range g.nodes {
				if !node.down && len(wiped) < 2 {
					wiped = append(wiped, node)
				}
			}
			g.wipe(wiped...)
			g.run(catchUpTime)
			g.callUntilOK(submitCall(3))
			for number := 1; number <= 3; number++ {
				require.Equal(t, wire.JobPhase_JOB_PHASE_QUEUED, g.callUntilOK(stateCall(number)).GetPhase(), "job %d", number)
			}
			require.Len(t, g.voters(), 5)
		})
	}
}

// Guards against a host that is only frozen or cut off losing its data when a spare takes its place: it is the next spare
// and must be able to vote again.
func TestReplacedVoterReturns(t *testing.T) {
	f := newFakeFleet(t, 1, 0)
	g := newGroupWithTiming(t, 3, f.config(), deployedTiming)
	f.group = g
	g.callUntilOK(configureCall(1))
	g.addSpare("spare", "10.0.1.9:1")
	g.run(2 * time.Second)
	first := g.others(g.leader())[0]
	id := first.ctl.repl.ID()
	first.down = true
	g.run(3 * time.Second)
	require.False(t, g.leader().ctl.findMember(id).GetVoter())
	first.down = false
	g.run(time.Second)
	require.NoError(t, first.stopped)
	require.Equal(t, id, first.ctl.repl.ID())
	var next *testNode
	for _, node := range g.others(g.leader()) {
		if node != first {
			next = node
		}
	}
	next.down = true
	g.run(3 * time.Second)
	require.True(t, g.leader().ctl.findMember(id).GetVoter())
}

// Guards against a host that was just admitted and is removed for a silence that began before: it had lost power and its
// disk, the connections of the leader to its address were still dead, and its process ended with ErrRemoved.
func TestAdmittedNodeIsNotRemoved(t *testing.T) {
	tests := []struct {
		name    string
		unheard time.Duration
		disturb func(g *group)
	}{
		{"for less than an election timeout", 700 * time.Millisecond, nil},
		{"for longer than an election timeout", 1500 * time.Millisecond, nil},
		{"until the keep-alive probes have failed", 4 * time.Second, nil},
		{"another node leads in the meantime", 4 * time.Second, func(g *group) {
			g.run(2500 * time.Millisecond)
			former := g.awaitLeader()
			former.down = true
			g.run(1500 * time.Millisecond)
			former.down = false
		}},
		{"the leader is frozen in the meantime", 4 * time.Second, func(g *group) {
			g.run(2500 * time.Millisecond)
			frozen := g.awaitLeader()
			frozen.down = true
			g.run(400 * time.Millisecond)
			frozen.down = false
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeFleet(t, 1, 0)
			config := f.config()
			config.MinVoters = 5
			g := newGroupWithTiming(t, 5, config, deployedTiming)
			f.group = g
			g.callUntilOK(configureCall(1))
			node := g.others(g.leader())[0]
			former := node.ctl.repl.ID()
			node.down = true
			g.run(1500 * time.Millisecond)
			g.restart(node, filepath.Join(t.TempDir(), "data"))
			id := node.ctl.repl.ID()
			require.NotEqual(t, former, id)
			node.unheardUntil = g.now + tt.unheard
			if tt.disturb != nil {
				tt.disturb(g)
			}
			g.runUntil(tt.unheard+catchUpTime, "the admitted node votes", func() bool {
				require.NoError(t, node.stopped)
				leader := g.leader()
				return leader != nil && leader.ctl.findMember(id).GetVoter()
			})
			require.Nil(t, g.awaitLeader().ctl.findMember(former), "its predecessor is removed")
			require.Len(t, g.voters(), 5)
		})
	}
}

// Guards against admitted nodes that are never removed: one that has not answered for removeAfter is, so that hosts that
// come and go do not fill the membership.
func TestSilentAdmittedNodeIsRemovedInTheEnd(t *testing.T) {
	f := newFakeFleet(t, 1, 0)
	g := newGroupWithTiming(t, 3, f.config(), deployedTiming)
	f.group = g
	g.callUntilOK(configureCall(1))
	g.addSpare("spare", "10.0.1.9:1")
	spare := g.nodes[3]
	id := spare.ctl.repl.ID()
	spare.unheardUntil = math.MaxInt64
	g.runUntil(time.Second, "the node is admitted", func() bool { return g.leader().ctl.findMember(id) != nil })
	spare.down = true
	g.run(removeAfter - time.Second)
	require.NotNil(t, g.leader().ctl.findMember(id))
	g.run(2 * time.Second)
	require.Nil(t, g.leader().ctl.findMember(id))
}
