package controller

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"flamingodrift.example/controld/internal/store"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// With a full disk a node must refuse changes with disk_full, keep every accepted change and not reread its data folder
// in a busy loop, and it must accept changes again once there is space.
func TestFullDiskRefusesChangesAndRecovers(t *testing.T) {
	g := newGroup(t, 1)
	node := g.leader()
	accepted := g.change(node, 10)
	g.run(time.Second)
	require.Equal(t, changeResult{answered: true}, *accepted)

	node.fullFiles, node.opens = allFiles, 0
	refused := g.change(node, 10)
	g.run(testTick)
	require.Equal(t, changeResult{true, reason.DiskFull.String()}, *refused, "it was neither stored nor sent")
	g.run(10 * time.Second)
	require.LessOrEqual(t, node.opens, 30, "the data folder is read again at most about once a second")
	require.NoError(t, node.stopped)

	node.fullFiles = noFile
	g.awaitLeader()
	g.run(diskFullBackoff + diskCheckInterval)
	require.EqualValues(t, 1, node.ctl.cell.Revision())
	again := g.change(node, 10)
	g.run(time.Second)
	require.Equal(t, changeResult{answered: true}, *again)
	require.EqualValues(t, 2, node.ctl.cell.Revision())
}

// A record that could not be stored must not be sent, neither an entry by the leader nor an acknowledgement by a
// follower: the other nodes would rely on a copy that does not exist.
func TestUnwrittenRecordsAreNotSent(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	others := g.others(leader)
	last := leader.ctl.repl.LastIndex()
	others[0].fullFiles, others[1].fullFiles = allFiles, allFiles
	a := g.change(leader, 10)
	g.run(testTick)
	require.False(t, a.answered, "no follower has a copy")
	require.Equal(t, last, leader.ctl.repl.Commit())
	others[0].fullFiles, others[1].fullFiles = noFile, noFile
	g.runUntil(30*time.Second, "the change is answered", func() bool { return a.answered })

	g.run(5 * time.Second)
	leader = g.awaitLeader()
	last = leader.ctl.repl.LastIndex()
	leader.fullFiles = allFiles
	refused := g.change(leader, 10)
	g.run(testTick)
	require.Equal(t, changeResult{true, reason.DiskFull.String()}, *refused)
	for _, other := range g.others(leader) {
		require.Equal(t, last, other.ctl.repl.LastIndex())
	}
}

// A follower with a full disk must not reread its data folder for each message, and must catch up once there is space.
func TestFollowerWithFullDiskDoesNotRereadPerMessage(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	follower := g.others(leader)[0]
	follower.fullFiles, follower.opens = allFiles, 0
	for range 50 {
		require.NotNil(t, g.change(leader, 10))
		g.run(100 * time.Millisecond)
	}
	require.LessOrEqual(t, follower.opens, 10, "at most about once a second, in 5 s")
	follower.fullFiles = noFile
	g.runUntil(10*time.Second, "the follower has everything", func() bool {
		return follower.ctl.cell.Revision() == 50 && follower.ctl.applied == leader.ctl.applied
	})
	require.Equal(t, leader, g.leader())
}

// A snapshot that does not fit on the disk must be retried after a pause and not in each iteration of the control loop,
// and the changes after the last stored snapshot must be kept.
func TestSnapshotOnFullDiskIsNotRetriedEachIteration(t *testing.T) {
	g := newGroup(t, 1)
	node := g.leader()
	a := g.change(node, 10)
	g.run(testTick)
	require.Equal(t, changeResult{answered: true}, *a)
	// From here on only the snapshot needs more space.
	node.ctl.cfg.SnapshotBytes = 1
	node.fullFiles, node.opens = allFiles, 0
	g.run(5 * time.Second)
	require.LessOrEqual(t, node.opens, 15)
	require.Equal(t, node, g.leader(), "a full disk alone does not end leadership")
	node.fullFiles = noFile
	g.run(2 * time.Second)
	require.Contains(t, node.log.String(), logger.SnapshotStored.Code(), "it succeeds when there is space")
	require.EqualValues(t, 1, node.ctl.cell.Revision())
}

// A process that has used up its file descriptors must go on and store its snapshot later. Seen in a sweep with 1,000
// workers, where idle connections had used them up and the leader ended itself.
func TestSnapshotWithoutFileDescriptorsIsPostponed(t *testing.T) {
	g := newGroup(t, 1)
	node := g.leader()
	a := g.change(node, 10)
	g.run(testTick)
	require.Equal(t, changeResult{answered: true}, *a)
	node.ctl.cfg.SnapshotBytes = 1
	node.noFiles, node.opens = true, 0
	g.run(5 * time.Second)
	require.NoError(t, node.stopped)
	require.LessOrEqual(t, node.opens, 15, "it is not retried in each iteration")
	require.Equal(t, node, g.leader())
	node.noFiles = false
	g.run(2 * time.Second)
	require.Contains(t, node.log.String(), logger.SnapshotStored.Code())
}

// A leader without disk space must hand leadership to a voter that has some, and keep it when there is none.
func TestLeaderWithFullDiskHandsOver(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	full := g.others(leader)[0]
	leader.freeBytes, full.freeBytes = 0, 0
	g.runUntil(5*time.Second, "the node with space leads", func() bool {
		next := g.leader()
		return next != nil && next != leader && next != full
	})
	withSpace := g.leader()
	withSpace.freeBytes = 0
	g.run(5 * time.Second)
	require.Equal(t, withSpace, g.leader(), "without a voter that has disk space the leader keeps leading")
	a := g.change(withSpace, 10)
	require.Equal(t, changeResult{true, reason.DiskFull.String()}, *a)
}

// A leader whose disk is slower than the others must hand leadership over, since every change waits for that disk. When
// all disks are slow it must keep leadership, since a new leader would be no faster.
func TestLeaderWithSlowDiskHandsOver(t *testing.T) {
	tests := []struct {
		name      string
		slow      func(node, leader *testNode) bool
		handsOver bool
	}{
		{"the leader's disk is slow", func(node, leader *testNode) bool { return node == leader }, true},
		{"a follower's disk is slow", func(node, leader *testNode) bool { return node != leader }, false},
		{"all disks are slow", func(*testNode, *testNode) bool { return true }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newGroupWithQueues(t, 3, newFakeFleet(t, 1, 0).config())
			leader := g.awaitLeader()
			g.run(slowDiskHandoverDelay)
			require.Equal(t, leader, g.leader())
			slow := 0
			for _, node := range g.nodes {
				if test.slow(node, leader) && (node == leader || slow == 0 || test.slow(leader, leader)) {
					node.syncDuration, slow = 250*time.Millisecond, slow+1
				}
			}
			for range 20 {
				if node := g.leader(); node != nil {
					g.change(node, 10)
				}
				g.run(testTick)
			}
			next := g.awaitLeader()
			require.Equal(t, test.handsOver, next != leader)
			for _, node := range g.nodes {
				node.syncDuration = 0
			}
			g.run(time.Second)
			require.Equal(t, next, g.leader(), "it keeps leading")
		})
	}
}

// A disk that hangs must not stop the control goroutine of the leader: it keeps its lease, and the others commit what
// callers submit. Nothing that rests on the records that hang may be sent, and everything is stored in order once the
// disk continues.
func TestHangingDiskDoesNotHoldUpLeader(t *testing.T) {
	f := newFakeFleet(t, 1, 0)
	g := newGroupWithQueues(t, 3, f.config())
	f.group = g
	g.callUntilOK(configureCall(1))
	leader := g.leader()
	var hanging []func()
	leader.ctl.asyncSync = func(sync func()) { hanging = append(hanging, sync) }
	for number := range 3 {
		reply := g.call(leader, submitCall(number))
		g.run(10 * time.Second)
		require.Equal(t, wire.QueueOutcome_QUEUE_OUTCOME_OK, (*reply).GetQueue().GetOutcome())
		require.Equal(t, leader, g.leader())
	}
	require.Len(t, hanging, 1, "one batch is synced at a time")
	leader.ctl.asyncSync = func(sync func()) { sync() }
	hanging[0]()
	g.run(time.Second)
	leader.down = true
	require.NoError(t, leader.ctl.cfg.Store.Close())
	data, contents, err := store.Open(leader.dir)
	require.NoError(t, err)
	defer func() { _ = data.Close() }()
	stored := contents.Restored.Entries
	require.Equal(t, leader.ctl.repl.LastIndex(), stored[len(stored)-1].GetIndex())
}

// A leader whose syncs follow each other without a pause must know that a snapshot has made its journal short, or it
// stores another one in each iteration of the control loop: after a large configuration it did nothing else.
func TestSnapshotMakesJournalShort(t *testing.T) {
	f := newFakeFleet(t, 1, 0)
	g := newGroupWithQueues(t, 3, f.config())
	f.group = g
	g.callUntilOK(configureCall(1))
	leader := g.leader()
	g.call(leader, submitCall(1))
	g.run(testTick)
	leader.ctl.journalBytes = leader.ctl.cfg.SnapshotBytes
	require.NoError(t, leader.ctl.takeSnapshot())
	var hanging []func()
	leader.ctl.asyncSync = func(sync func()) { hanging = append(hanging, sync) }
	g.call(leader, submitCall(2))
	g.run(testTick)
	require.Len(t, hanging, 1)
	require.Less(t, leader.ctl.journalBytes, leader.ctl.cfg.SnapshotBytes)
	hanging[0]()
}

// An acknowledgement of a follower must wait for its sync, else the leader would commit entries that a loss of power
// removes.
func TestFollowerAcknowledgesOnlyWhatItSynced(t *testing.T) {
	f := newFakeFleet(t, 1, 0)
	g := newGroupWithQueues(t, 3, f.config())
	f.group = g
	g.callUntilOK(configureCall(1))
	leader := g.leader()
	var hanging []func()
	for _, node := range g.others(leader) {
		node.ctl.asyncSync = func(sync func()) { hanging = append(hanging, sync) }
	}
	commit := leader.ctl.repl.Commit()
	reply := g.call(leader, submitCall(1))
	g.run(500 * time.Millisecond)
	require.Nil(t, *reply)
	require.Equal(t, commit, leader.ctl.repl.Commit())
	for _, sync := range hanging {
		sync()
	}
	g.run(testTick)
	require.Equal(t, wire.QueueOutcome_QUEUE_OUTCOME_OK, (*reply).GetQueue().GetOutcome())
}

// A follower whose disk fills up while it installs a snapshot from the leader must keep running and catch up once there
// is space.
func TestFullDiskDuringSnapshotInstall(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	lagging := g.others(leader)[0]
	lagging.down = true
	for range retainedEntries + 20 {
		g.change(leader, 500)
		g.run(testTick)
	}
	require.Greater(t, leader.ctl.repl.FirstIndex(), lagging.ctl.repl.LastIndex(), "only a snapshot brings it up to date")
	lagging.down, lagging.fullFiles = false, allFiles
	g.run(5 * time.Second)
	require.NoError(t, lagging.stopped)
	// Space for the snapshot file, but not for the journal that follows it.
	lagging.fullFiles = "journal"
	g.run(3 * time.Second)
	require.NoError(t, lagging.stopped)
	require.FileExists(t, filepath.Join(lagging.dir, "snapshot"))
	lagging.fullFiles = noFile
	g.runUntil(20*time.Second, "the follower has everything", func() bool {
		return lagging.ctl.applied == leader.ctl.applied && lagging.ctl.cell.Revision() == leader.ctl.cell.Revision()
	})
}

// A node that was removed while it was unreachable must detect the removal, log it and stop with an error.
func TestRemovedNodeStops(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	removed := g.others(leader)[0]
	removed.down = true
	leader.ctl.proposeMembership(g.now, withoutMember(leader.ctl.repl.Membership().GetMembers(), removed.ctl.repl.ID()))
	g.run(time.Second)
	removed.down = false
	g.run(10 * time.Second)
	require.ErrorIs(t, removed.stopped, ErrRemoved)
	require.Contains(t, removed.log.String(), logger.RemovedFromGroup.Code())
	require.Equal(t, leader, g.leader(), "the leader keeps leading")
}

// On a planned stop a leader must hand leadership over at once and answer the changes that it accepted.
func TestPlannedStopHandsLeadershipOver(t *testing.T) {
	g := newGroup(t, 3)
	leader := g.leader()
	a := g.change(leader, 10)
	start := g.now
	g.runUntil(time.Second, "another node leads", func() bool {
		if !leader.down {
			leader.down = leader.ctl.readyToStop(g.now)
		}
		next := g.leader()
		return leader.down && next != nil && next != leader
	})
	require.Less(t, g.now-start, leader.ctl.cfg.ElectionMin)
	require.Equal(t, changeResult{answered: true}, *a)
	require.EqualValues(t, 1, g.leader().ctl.cell.Revision())
}

// On a planned stop a node without a successor must stop at once.
func TestPlannedStopOfSingleNode(t *testing.T) {
	g := newGroup(t, 1)
	require.True(t, g.leader().ctl.readyToStop(g.now))
}

// A non-voter that had caught up and is unreachable must not become a voter: it would count against the quorum.
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
	leader.ctl.proposeMembership(g.now, demoted)
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
