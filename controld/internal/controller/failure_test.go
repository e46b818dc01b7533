package controller

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// A full disk refuses changes with disk_full, keeps every accepted change, does not make the node busy, and ends when
// there is space.
func TestFullDiskRefusesChangesAndRecovers(t *testing.T) {
	g := newGroup(t, 1)
	node := g.leader()
	accepted := g.change(node, 10)
	g.run(time.Second)
	require.Equal(t, answer{answered: true}, *accepted)

	node.full, node.opens = everyFile, 0
	refused := g.change(node, 10)
	g.run(testTurn)
	require.Equal(t, answer{true, reason.DiskFull.String()}, *refused, "it was neither stored nor sent")
	g.run(10 * time.Second)
	require.LessOrEqual(t, node.opens, 30, "the data folder is read again at most about once a second")
	require.NoError(t, node.stopped)

	node.full = noFile
	g.awaitLeader()
	g.run(diskFullBackoff + diskCheckInterval)
	require.EqualValues(t, 1, node.ctl.cell.Revision())
	again := g.change(node, 10)
	g.run(time.Second)
	require.Equal(t, answer{answered: true}, *again)
	require.EqualValues(t, 2, node.ctl.cell.Revision())
}

// A record that could not be stored must not be sent, neither an entry by the leader nor an acknowledgement by a follower:
// the other nodes would count on a copy that does not exist.
func TestUnwrittenRecordsAreNotSent(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	others := g.others(leader)
	last := leader.ctl.repl.LastIndex()
	others[0].full, others[1].full = everyFile, everyFile
	a := g.change(leader, 10)
	g.run(testTurn)
	require.False(t, a.answered, "no follower has a copy")
	require.Equal(t, last, leader.ctl.repl.Commit())
	others[0].full, others[1].full = noFile, noFile
	g.runUntil(30*time.Second, "the change is answered", func() bool { return a.answered })

	g.run(5 * time.Second)
	leader = g.awaitLeader()
	last = leader.ctl.repl.LastIndex()
	leader.full = everyFile
	refused := g.change(leader, 10)
	g.run(testTurn)
	require.Equal(t, answer{true, reason.DiskFull.String()}, *refused)
	for _, other := range g.others(leader) {
		require.Equal(t, last, other.ctl.repl.LastIndex())
	}
}

// A follower with a full disk must not read its data folder again for each message, and has everything when there is
// space.
func TestFollowerWithFullDiskIsNotBusy(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	follower := g.others(leader)[0]
	follower.full, follower.opens = everyFile, 0
	for range 50 {
		require.NotNil(t, g.change(leader, 10))
		g.run(100 * time.Millisecond)
	}
	require.LessOrEqual(t, follower.opens, 10, "at most about once a second, in 5 s")
	follower.full = noFile
	g.runUntil(10*time.Second, "the follower has everything", func() bool {
		return follower.ctl.cell.Revision() == 50 && follower.ctl.applied == leader.ctl.applied
	})
	require.Equal(t, leader, g.leader())
}

// A snapshot that does not fit must be tried again after a while and not in each turn of the loop, and the changes after
// it must be kept.
func TestSnapshotOnFullDiskIsNotRetriedEachTurn(t *testing.T) {
	g := newGroup(t, 1)
	node := g.leader()
	a := g.change(node, 10)
	g.run(testTurn)
	require.Equal(t, answer{answered: true}, *a)
	// From here on only the snapshot needs space.
	node.ctl.cfg.SnapshotBytes = 1
	node.full, node.opens = everyFile, 0
	g.run(5 * time.Second)
	require.LessOrEqual(t, node.opens, 15)
	require.Equal(t, node, g.leader(), "a full disk alone does not end leadership")
	node.full = noFile
	g.run(2 * time.Second)
	require.Contains(t, node.log.String(), logger.SnapshotStored.Code(), "it succeeds when there is space")
	require.EqualValues(t, 1, node.ctl.cell.Revision())
}

// A leader without disk space gives way to a voter that has some.
func TestLeaderWithFullDiskGivesWay(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	full := g.others(leader)[0]
	leader.free, full.free = 0, 0
	g.runUntil(5*time.Second, "the node with space leads", func() bool {
		next := g.leader()
		return next != nil && next != leader && next != full
	})
	able := g.leader()
	able.free = 0
	g.run(5 * time.Second)
	require.Equal(t, able, g.leader(), "without a better one the leader stays")
	a := g.change(able, 10)
	require.Equal(t, answer{true, reason.DiskFull.String()}, *a)
}

// A leader whose disk is slower than the others gives way: every change would wait for that disk, as the control thread
// does. With all disks slow it stays, since a change of the leader would gain nothing.
func TestLeaderWithSlowDiskGivesWay(t *testing.T) {
	tests := []struct {
		name   string
		slow   func(node, leader *testNode) bool
		leaves bool
	}{
		{"the leader's disk is slow", func(node, leader *testNode) bool { return node == leader }, true},
		{"a follower's disk is slow", func(node, leader *testNode) bool { return node != leader }, false},
		{"all disks are slow", func(*testNode, *testNode) bool { return true }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newQueueGroup(t, 3, newFleet(t, 1, 0).config())
			leader := g.awaitLeader()
			g.run(slowDiskPause)
			require.Equal(t, leader, g.leader())
			slow := 0
			for _, node := range g.nodes {
				if test.slow(node, leader) && (node == leader || slow == 0 || test.slow(leader, leader)) {
					node.syncTakes, slow = 250*time.Millisecond, slow+1
				}
			}
			for range 20 {
				if node := g.leader(); node != nil {
					g.change(node, 10)
				}
				g.run(testTurn)
			}
			next := g.awaitLeader()
			require.Equal(t, test.leaves, next != leader)
			for _, node := range g.nodes {
				node.syncTakes = 0
			}
			g.run(time.Second)
			require.Equal(t, next, g.leader(), "it leads on")
		})
	}
}

// A follower whose disk fills up in the middle of a snapshot from the leader goes on, and has everything once there is
// space.
func TestFullDiskDuringInstall(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	away := g.others(leader)[0]
	away.down = true
	for range keptEntries + 20 {
		g.change(leader, 500)
		g.run(testTurn)
	}
	require.Greater(t, leader.ctl.repl.FirstIndex(), away.ctl.repl.LastIndex(), "only a snapshot can help")
	away.down, away.full = false, everyFile
	g.run(5 * time.Second)
	require.NoError(t, away.stopped)
	// Space for the snapshot file, but not for the journal that follows it.
	away.full = "journal"
	g.run(3 * time.Second)
	require.NoError(t, away.stopped)
	require.FileExists(t, filepath.Join(away.dir, "snapshot"))
	away.full = noFile
	g.runUntil(20*time.Second, "the follower has everything", func() bool {
		return away.ctl.applied == leader.ctl.applied && away.ctl.cell.Revision() == leader.ctl.cell.Revision()
	})
}

// A node that was removed while it could not be reached learns of it, logs it and stops with an error.
func TestRemovedNodeStops(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	removed := g.others(leader)[0]
	removed.down = true
	leader.ctl.proposeMembers(g.now, without(leader.ctl.repl.Membership().GetMembers(), removed.ctl.repl.ID()))
	g.run(time.Second)
	removed.down = false
	g.run(10 * time.Second)
	require.ErrorIs(t, removed.stopped, ErrRemoved)
	require.Contains(t, removed.log.String(), logger.RemovedFromGroup.Code())
	require.Equal(t, leader, g.leader(), "the rest goes on")
}

// A node that stops as planned hands leadership over at once, and answers the changes that it had accepted.
func TestPlannedStopHandsLeadershipOver(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	a := g.change(leader, 10)
	start := g.now
	g.runUntil(time.Second, "another node leads", func() bool {
		if !leader.down {
			leader.down = leader.ctl.mayStop(g.now)
		}
		next := g.leader()
		return leader.down && next != nil && next != leader
	})
	require.Less(t, g.now-start, leader.ctl.cfg.ElectionMin)
	require.Equal(t, answer{answered: true}, *a)
	require.EqualValues(t, 1, g.leader().ctl.cell.Revision())
}

// A node without a successor stops at once.
func TestPlannedStopOfSingleNode(t *testing.T) {
	g := newGroup(t, 1)
	require.True(t, g.leader().ctl.mayStop(g.now))
}

// A non-voter that had caught up and was lost again must not become a voter: it would count against the quorum.
func TestLostNonVoterIsNotPromoted(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	third := g.others(leader)[0]
	members := leader.ctl.repl.Membership().GetMembers()
	leader.ctl.cfg.Voters = 2
	demoted := proto.Clone(&wire.Membership{Members: members}).(*wire.Membership)
	for _, m := range demoted.GetMembers() {
		m.Voter = m.GetId() != third.ctl.repl.ID()
	}
	leader.ctl.proposeMembers(g.now, demoted)
	g.run(time.Second)
	third.down = true
	g.run(3 * time.Second)
	leader.ctl.cfg.Voters = 3
	g.run(3 * time.Second)
	require.False(t, leader.ctl.findMember(third.ctl.repl.ID()).GetVoter())
	third.down = false
	g.run(3 * time.Second)
	require.True(t, leader.ctl.findMember(third.ctl.repl.ID()).GetVoter())
}
