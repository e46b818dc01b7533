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

// TestMain fixes the seed of the state-machine tests, so that each run gives the same verdict. -rapid.seed overrides
// it.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// A node that returns from a partition must not depose a healthy leader, whether its log is as long as the leader's or
// behind it.
func TestReturningNodeDoesNotDeposeLeader(t *testing.T) {
	for _, proposals := range []int{0, 5} {
		t.Run(fmt.Sprintf("%d entries behind", proposals), func(t *testing.T) {
			n := newNetwork(t, 1, 5)
			leader := n.awaitHolder()
			n.run(time.Second)
			term := leader.repl.Term()
			away := otherThan(n, leader)
			n.isolate(away)
			n.run(10 * time.Second)
			for range proposals {
				require.True(t, n.propose(leader, []byte("x")))
			}
			n.run(time.Second)
			n.heal()
			n.run(10 * time.Second)
			require.Equal(t, term, leader.repl.Term())
			require.Equal(t, term, away.repl.Term())
			require.Equal(t, leader, n.holder())
		})
	}
}

// A refused pre-vote must not raise the term of the node that asked, else a lagging node deposes the next leader.
func TestRefusedPreVoteDoesNotRaiseTerm(t *testing.T) {
	n := newNetwork(t, 2, 3)
	leader := n.awaitHolder()
	behind := otherThan(n, leader)
	n.isolate(behind)
	require.True(t, n.propose(leader, []byte("x")))
	n.run(5 * time.Second)
	term := leader.repl.Term()
	n.stop(leader)
	other := otherThan(n, leader, behind)
	last := preVoteAnswer(n, other, behind, term+1)
	require.False(t, last.GetVoteReply().GetGranted())
	behind.repl.Step(n.clock(behind), last)
	require.Equal(t, term, behind.repl.Term())
}

// preVoteAnswer lets a node answer a pre-vote request once its promise to the former leader is over.
func preVoteAnswer(n *network, voter, from *simNode, term uint64) *wire.PeerMessage {
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

// A leader that is cut off silently must stop holding the lease before the others can elect another one.
func TestCutOffLeaderLosesLease(t *testing.T) {
	n := newNetwork(t, 3, 5)
	leader := n.awaitHolder()
	n.run(time.Second)
	n.isolate(leader)
	n.run(simElectionMin)
	require.False(t, leader.repl.HasLease(n.clock(leader)))
	next := n.awaitHolder()
	require.NotEqual(t, leader, next)
	n.run(simElectionMax)
	require.False(t, leader.repl.IsLeader(), "a leader without a majority steps down")
}

// A paused leader must find its lease expired when it resumes, before it handles anything else.
func TestPausedLeaderResumesWithoutLease(t *testing.T) {
	n := newNetwork(t, 4, 3)
	leader := n.awaitHolder()
	leader.paused = true
	n.run(10 * time.Second)
	require.False(t, leader.repl.HasLease(n.clock(leader)))
	leader.paused = false
	require.False(t, n.propose(leader, []byte("late")))
	n.run(5 * time.Second)
	require.NotNil(t, n.holder())
}

// A node that returns after thousands of entries gets the snapshot in chunks and then the rest of the log.
func TestReturningNodeGetsSnapshotAndRest(t *testing.T) {
	n := newNetwork(t, 5, 3)
	n.padding = 3 * snapshotChunkBytes
	leader := n.awaitHolder()
	away := otherThan(n, leader)
	n.isolate(away)
	proposeMany(n, leader, 3000)
	n.snapshot(leader, 100)
	proposeMany(n, leader, 700)
	n.heal()
	n.run(10 * time.Second)
	require.NotNil(t, away.disk.snapshot)
	require.Equal(t, leader.applied, away.applied)
	require.Equal(t, leader.chain, away.chain)
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

// A second host lost right after a repair must leave a working group, and the new node must count as a voter by then.
func TestSecondLossAfterRepair(t *testing.T) {
	n := newNetwork(t, 6, 3)
	leader := n.awaitHolder()
	proposeMany(n, leader, 50)
	first := otherThan(n, leader)
	replacement := n.replace(first)
	n.runAdministered(10 * time.Second)
	require.True(t, n.repaired())
	second := otherThan(n, n.awaitHolder(), replacement, first)
	n.stop(second)
	holder := n.awaitHolder()
	require.True(t, n.propose(holder, []byte("after")))
	n.run(5 * time.Second)
	require.Equal(t, holder.applied, replacement.applied)
	require.Equal(t, n.oracle.newest, replacement.applied)
}

// A node that restarts within the election timeout may have promised a leader its lease, so it grants no vote yet.
func TestRestartWithinElectionTimeoutGrantsNoVote(t *testing.T) {
	n := newNetwork(t, 7, 3)
	leader := n.awaitHolder()
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

// Votes of a removed id, of an unknown id and of a non-voter never count.
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

// A snapshot that ends inside a follower's log must not remove the entries after it that the follower acknowledged:
// they may be committed because of that acknowledgement.
func TestInstalledSnapshotKeepsAgreeingTail(t *testing.T) {
	r := followerWithEntries(t, 10, 2)
	r.Step(0, snapshotMessage(5, 2, 3))
	ready := r.Ready()
	require.NotNil(t, ready.Install)
	require.EqualValues(t, 10, r.LastIndex())
	require.Len(t, ready.Tail, 5)
}

// A tail that conflicts with an installed snapshot was never committed and is dropped.
func TestInstalledSnapshotDropsConflictingTail(t *testing.T) {
	r := followerWithEntries(t, 10, 2)
	r.Step(0, snapshotMessage(5, 3, 3))
	ready := r.Ready()
	require.NotNil(t, ready.Install)
	require.EqualValues(t, 5, r.LastIndex())
	require.Empty(t, ready.Tail)
}

// Chunks of two leaders' snapshots at the same index must not be joined: their encodings may differ.
func TestSnapshotChunksOfTwoLeadersAreNotMixed(t *testing.T) {
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
	members := &wire.Membership{Members: []*wire.Member{{Id: "a", Voter: true}, {Id: "b", Voter: true}, {Id: "c", Voter: true}}}
	restored := RestoredState{Bootstrap: members, HardState: &wire.HardState{Term: term}}
	for i := range count {
		restored.Entries = append(restored.Entries, &wire.Entry{Index: i + 1, Term: term})
	}
	return New(cfg, restored, 0)
}

func snapshotMessage(index, snapshotTerm, term uint64) *wire.PeerMessage {
	members := &wire.Membership{Members: []*wire.Member{{Id: "a", Voter: true}, {Id: "b", Voter: true}, {Id: "c", Voter: true}}}
	return &wire.PeerMessage{From: "b", To: "a", Term: term, Body: &wire.PeerMessage_SnapshotChunk{
		SnapshotChunk: &wire.SnapshotChunk{
			Meta: &wire.SnapshotMeta{Index: index, Term: snapshotTerm, Membership: members}, Data: []byte("12345678"), Last: true,
		},
	}}
}

// A membership change must keep at least one voter and must never bring back an id that was removed.
func TestMembershipChangesAreChecked(t *testing.T) {
	n := newNetwork(t, 10, 3)
	leader := n.awaitHolder()
	full := proto.Clone(leader.repl.Membership()).(*wire.Membership)
	propose := func(members ...*wire.Member) error {
		_, _, err := leader.repl.ProposeMembership(n.clock(leader), &wire.Membership{Members: members})
		n.pump(leader)
		n.run(time.Second)
		return err
	}
	var self, gone *wire.Member
	for _, m := range full.GetMembers() {
		if m.GetId() == leader.id {
			self = m
		} else {
			gone = m
		}
	}
	require.ErrorIs(t, propose(self), ErrMembershipStep)
	require.NoError(t, propose(without(full.GetMembers(), gone.GetId())...))
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
