package replicator

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

// TestMain fixes the seed of the property-based tests, so that every run gives the same result. -rapid.seed overrides
// it.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// A node that returns from a partition must not depose a healthy leader, whether or not its log lags behind the
// leader's.
func TestReturningNodeDoesNotDeposeLeader(t *testing.T) {
	for _, proposals := range []int{0, 5} {
		t.Run(fmt.Sprintf("%d entries behind", proposals), func(t *testing.T) {
			n := newNetwork(t, 1, 5)
			leader := n.awaitLeaseHolder()
			n.run(time.Second)
			term := leader.repl.Term()
			isolated := otherThan(n, leader)
			n.isolate(isolated)
			n.run(10 * time.Second)
			for range proposals {
				require.True(t, n.propose(leader, []byte("x")))
			}
			n.run(time.Second)
			n.heal()
			n.run(10 * time.Second)
			require.Equal(t, term, leader.repl.Term())
			require.Equal(t, term, isolated.repl.Term())
			require.Equal(t, leader, n.leaseHolder())
		})
	}
}

// A refused pre-vote must not raise the term of the requesting node, else a lagging node deposes the next leader.
func TestRefusedPreVoteDoesNotRaiseTerm(t *testing.T) {
	n := newNetwork(t, 2, 3)
	leader := n.awaitLeaseHolder()
	lagging := otherThan(n, leader)
	n.isolate(lagging)
	require.True(t, n.propose(leader, []byte("x")))
	n.run(5 * time.Second)
	term := leader.repl.Term()
	n.stop(leader)
	other := otherThan(n, leader, lagging)
	last := preVoteReply(n, other, lagging, term+1)
	require.False(t, last.GetVoteReply().GetGranted())
	lagging.repl.Step(n.clock(lagging), last)
	require.Equal(t, term, lagging.repl.Term())
}

// preVoteReply returns a node's reply to a pre-vote request after the former leader's lease no longer binds it.
func preVoteReply(n *network, voter, from *simNode, term uint64) *wire.PeerMessage {
	voter.repl.Ready()
	voter.repl.Step(n.clock(voter)+simElectionMax, &wire.PeerMessage{
		From: from.id, To: voter.id, Term: term,
		Body: &wire.PeerMessage_VoteRequest{VoteRequest: &wire.VoteRequest{
			PreVote: true, LastIndex: from.repl.LastIndex(), LastTerm: from.repl.log.lastTerm(),
		}},
	})
	messages := voter.repl.Ready().Messages
	return messages[len(messages)-1]
}

// An isolated leader must lose its lease before the other nodes can elect a new leader.
func TestIsolatedLeaderLosesLease(t *testing.T) {
	n := newNetwork(t, 3, 5)
	leader := n.awaitLeaseHolder()
	n.run(time.Second)
	n.isolate(leader)
	n.run(simElectionMin)
	require.False(t, leader.repl.HasLease(n.clock(leader)))
	next := n.awaitLeaseHolder()
	require.NotEqual(t, leader, next)
	n.run(simElectionMax)
	require.False(t, leader.repl.IsLeader(), "a leader without a majority steps down")
}

// A paused leader must find its lease expired as soon as it resumes, before it handles any message.
func TestPausedLeaderResumesWithoutLease(t *testing.T) {
	n := newNetwork(t, 4, 3)
	leader := n.awaitLeaseHolder()
	leader.paused = true
	n.run(10 * time.Second)
	require.False(t, leader.repl.HasLease(n.clock(leader)))
	leader.paused = false
	require.False(t, n.propose(leader, []byte("late")))
	n.run(5 * time.Second)
	require.NotNil(t, n.leaseHolder())
}

// A node that has missed thousands of entries receives the snapshot in chunks and then the rest of the log.
func TestReturningNodeGetsSnapshotAndLaterEntries(t *testing.T) {
	n := newNetwork(t, 5, 3)
	n.paddingBytes = 3 * snapshotChunkBytes
	leader := n.awaitLeaseHolder()
	isolated := otherThan(n, leader)
	n.isolate(isolated)
	proposeMany(n, leader, 3000)
	n.snapshot(leader, 100)
	proposeMany(n, leader, 700)
	n.heal()
	n.run(10 * time.Second)
	require.NotNil(t, isolated.disk.snapshot)
	require.Equal(t, leader.applied, isolated.applied)
	require.Equal(t, leader.historyHash, isolated.historyHash)
}

func proposeMany(n *network, leader *simNode, count int) {
	for i := range count {
		if !n.propose(leader, []byte{byte(i)}) {
			n.t.Fatalf("proposal %d refused", i)
		}
		if i%100 == 99 {
			n.run(simTick)
		}
	}
	n.run(time.Second)
}

// The group must survive the loss of a second host right after the first one was replaced, so the replacement must be a
// voter by then.
func TestSecondLossAfterRepair(t *testing.T) {
	n := newNetwork(t, 6, 3)
	leader := n.awaitLeaseHolder()
	proposeMany(n, leader, 50)
	first := otherThan(n, leader)
	replacement := n.replace(first)
	n.runWithRepairs(10 * time.Second)
	require.True(t, n.repaired())
	second := otherThan(n, n.awaitLeaseHolder(), replacement, first)
	n.stop(second)
	holder := n.awaitLeaseHolder()
	require.True(t, n.propose(holder, []byte("after")))
	n.run(5 * time.Second)
	require.Equal(t, holder.applied, replacement.applied)
	require.Equal(t, n.oracle.maxApplied, replacement.applied)
}

// A leader lease may rest on a reply that a node sent before it restarted, so the node grants no vote within
// ElectionMin of its start.
func TestRestartWithinElectionTimeoutGrantsNoVote(t *testing.T) {
	n := newNetwork(t, 7, 3)
	leader := n.awaitLeaseHolder()
	n.run(time.Second)
	voter := otherThan(n, leader)
	n.stop(voter)
	n.start(voter)
	for _, pre := range []bool{true, false} {
		request := &wire.PeerMessage{
			From: otherThan(n, leader, voter).id, To: voter.id, Term: voter.repl.Term() + 1,
			Body: &wire.PeerMessage_VoteRequest{VoteRequest: &wire.VoteRequest{
				PreVote: pre, LastIndex: 1 << 20, LastTerm: 1 << 20,
			}},
		}
		voter.repl.Step(n.clock(voter)+simElectionMin-time.Millisecond, request)
		require.Empty(t, voter.repl.Ready().Messages)
	}
}

// Votes from a removed member, an unknown node or a non-voter must not count.
func TestOnlyVotersCount(t *testing.T) {
	members := &wire.Membership{Members: []*wire.Member{
		{Id: "a", Voter: true},
		{Id: "b", Voter: true},
		{Id: "c", Voter: true},
		{Id: "learner"},
	}}
	n := newNetwork(t, 8, 0)
	node := n.create()
	cfg := n.config(node)
	cfg.ID = "a"
	r := New(cfg, RestoredState{Bootstrap: members}, 0)
	now := 2 * simElectionMax
	r.Tick(now)
	vote := func(from string, pre bool, term uint64) {
		r.Step(now, &wire.PeerMessage{
			From: from, To: "a", Term: term,
			Body: &wire.PeerMessage_VoteReply{VoteReply: &wire.VoteReply{PreVote: pre, Granted: true}},
		})
	}
	for _, id := range []string{"learner", "removed", "fresh"} {
		vote(id, true, 1)
		require.Zero(t, r.Term(), "pre-vote of %s", id)
	}
	vote("b", true, 1)
	require.EqualValues(t, 1, r.Term())
	for _, id := range []string{"learner", "removed", "fresh"} {
		vote(id, false, 1)
		require.False(t, r.IsLeader(), "vote of %s", id)
	}
	vote("c", false, 1)
	require.True(t, r.IsLeader())
}

// A snapshot that ends inside a follower's log must not remove later entries that the follower has acknowledged: they
// may be committed on the strength of that acknowledgement.
func TestInstalledSnapshotKeepsAgreeingTail(t *testing.T) {
	r := followerWithEntries(t, 10, 2)
	r.Step(0, snapshotMessage(5, 2, 3))
	ready := r.Ready()
	require.NotNil(t, ready.Install)
	require.EqualValues(t, 10, r.LastIndex())
	require.Len(t, ready.Tail, 5)
}

// Entries after an installed snapshot whose log conflicts with it were never committed and are removed.
func TestInstalledSnapshotDropsConflictingTail(t *testing.T) {
	r := followerWithEntries(t, 10, 2)
	r.Step(0, snapshotMessage(5, 3, 3))
	ready := r.Ready()
	require.NotNil(t, ready.Install)
	require.EqualValues(t, 5, r.LastIndex())
	require.Empty(t, ready.Tail)
}

// Chunks of two leaders' snapshots at the same index must not be joined, because their encodings may differ.
func TestSnapshotChunksOfTwoLeadersAreNotJoined(t *testing.T) {
	r := followerWithEntries(t, 1, 1)
	chunk := func(from string, term, offset uint64, data string, last bool) {
		msg := snapshotMessage(5, 1, term)
		msg.From = from
		body := msg.GetSnapshotChunk()
		body.Offset, body.Data, body.Last = offset, []byte(data), last
		r.Step(0, msg)
	}
	chunk("b", 2, 0, "aa", false)
	chunk("c", 3, 2, "bb", true)
	require.Nil(t, r.Ready().Install)
	chunk("c", 3, 0, "BB", false)
	chunk("c", 3, 2, "bb", true)
	require.Equal(t, "BBbb", string(r.Ready().Install.GetState()))
}

func followerWithEntries(t *testing.T, count, term uint64) *Replicator {
	t.Helper()
	n := newNetwork(t, 9, 0)
	cfg := n.config(n.create())
	cfg.ID = "a"
	members := &wire.Membership{Members: []*wire.Member{
		{Id: "a", Voter: true}, {Id: "b", Voter: true}, {Id: "c", Voter: true},
	}}
	restored := RestoredState{Bootstrap: members, HardState: &wire.HardState{Term: term}}
	for i := range count {
		restored.Entries = append(restored.Entries, &wire.Entry{Index: i + 1, Term: term})
	}
	return New(cfg, restored, 0)
}

func snapshotMessage(index, snapshotTerm, term uint64) *wire.PeerMessage {
	members := &wire.Membership{Members: []*wire.Member{
		{Id: "a", Voter: true}, {Id: "b", Voter: true}, {Id: "c", Voter: true},
	}}
	return &wire.PeerMessage{From: "b", To: "a", Term: term, Body: &wire.PeerMessage_SnapshotChunk{
		SnapshotChunk: &wire.SnapshotChunk{
			Meta: &wire.SnapshotMeta{Index: index, Term: snapshotTerm, Membership: members},
			Data: []byte("12345678"), Last: true,
		},
	}}
}

// A membership change must keep at least one voter, list no id twice, change one voter at most, and not add a removed
// id again.
func TestMembershipChangesAreChecked(t *testing.T) {
	n := newNetwork(t, 10, 3)
	leader := n.awaitLeaseHolder()
	full := proto.Clone(leader.repl.Membership()).(*wire.Membership)
	propose := func(members ...*wire.Member) error {
		_, _, err := leader.repl.ProposeMembership(n.clock(leader), &wire.Membership{Members: members})
		n.processReady(leader)
		n.run(time.Second)
		return err
	}
	var self, removed *wire.Member
	for _, m := range full.GetMembers() {
		if m.GetId() == leader.id {
			self = m
		} else {
			removed = m
		}
	}
	require.ErrorIs(t, propose(self), ErrTooManyVoterChanges)
	require.NoError(t, propose(without(full.GetMembers(), removed.GetId())...))
	require.ErrorIs(t, propose(full.GetMembers()...), ErrRemovedMember)
	require.NoError(t, propose(self))
	require.ErrorIs(t, propose(), ErrNoVoters)
	require.ErrorIs(t, propose(self, self), ErrDuplicateMember)
}

func without(members []*wire.Member, id string) []*wire.Member {
	var kept []*wire.Member
	for _, m := range members {
		if m.GetId() != id {
			kept = append(kept, m)
		}
	}
	return kept
}

func otherThan(n *network, excluded ...*simNode) *simNode {
	for _, node := range n.nodes {
		found := false
		for _, e := range excluded {
			found = found || e == node
		}
		if !found && !node.lost {
			return node
		}
	}
	return nil
}
