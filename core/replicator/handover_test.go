package replicator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

// After a handover the successor must lead within a few message delays instead of an election timeout.
func TestHandoverNeedsNoElectionTimeout(t *testing.T) {
	n := newNetwork(t, 20, 5)
	leader := n.awaitLeaseHolder()
	n.run(time.Second)
	require.True(t, n.propose(leader, []byte("last of the old leader")))
	successor, err := leader.repl.HandOver(n.clock(leader))
	require.NoError(t, err)
	require.False(t, n.propose(leader, []byte("refused")), "the successor must be able to catch up")
	n.run(simHeartbeat)
	require.Equal(t, n.find(successor), n.leaseHolder())
	require.Equal(t, n.oracle.maxApplied, n.find(successor).applied)
}

// The lease must end before the message that permits the election is sent, and the old leader must not regain it in the
// same term.
func TestLeaseEndsBeforeHandoverMessage(t *testing.T) {
	n := newNetwork(t, 21, 3)
	leader := n.awaitLeaseHolder()
	n.run(time.Second)
	_, err := leader.repl.HandOver(n.clock(leader))
	require.NoError(t, err)
	require.False(t, leader.repl.HasLease(n.clock(leader)))
	ready := leader.repl.Ready()
	require.NotNil(t, ready.Messages[len(ready.Messages)-1].GetTakeOver())
	// The message is never delivered. The old leader must not lead the same term again.
	term := leader.repl.Term()
	n.awaitLeaseHolder()
	require.Greater(t, n.leaseHolder().repl.Term(), term)
}

// A delayed handover message must not make a voter ignore the lease of a leader that was elected later.
func TestStaleHandoverDoesNotReleaseLease(t *testing.T) {
	n := newNetwork(t, 22, 3)
	leader := n.awaitLeaseHolder()
	n.run(time.Second)
	voter := otherThan(n, leader)
	third := otherThan(n, leader, voter)
	for _, stale := range []uint64{leader.repl.Term(), leader.repl.Term() - 1} {
		voter.repl.Step(n.clock(voter), &wire.PeerMessage{
			From: third.id, To: voter.id, Term: stale,
			Body: &wire.PeerMessage_VoteRequest{
				VoteRequest: &wire.VoteRequest{Handover: true, LastIndex: 99, LastTerm: 99},
			},
		})
		require.Empty(t, voter.repl.Ready().Messages)
		voter.repl.Step(n.clock(voter), &wire.PeerMessage{
			From: leader.id, To: voter.id, Term: stale - 1,
			Body: &wire.PeerMessage_TakeOver{TakeOver: &wire.TakeOver{}},
		})
		require.Empty(t, voter.repl.Ready().Messages)
	}
	require.Equal(t, leader, n.leaseHolder())
}

// A leader must not hand over to a voter that is unreachable or has a full disk. Without any other voter HandOver
// returns ErrNoSuccessor.
func TestHandoverSkipsUnsuitableVoters(t *testing.T) {
	n := newNetwork(t, 23, 3)
	leader := n.awaitLeaseHolder()
	full := otherThan(n, leader)
	suitable := otherThan(n, leader, full)
	full.repl.SetDiskFull(true)
	n.run(time.Second)
	n.isolate(suitable)
	n.run(simElectionMin)
	_, err := leader.repl.HandOver(n.clock(leader))
	require.ErrorIs(t, err, ErrNoSuccessor)
	n.heal()
	n.run(simElectionMin)
	successor, err := leader.repl.HandOver(n.clock(leader))
	require.NoError(t, err)
	require.Equal(t, suitable.id, successor)
}

// A handover must time out if its successor fails, so that proposals are accepted again.
func TestHandoverToFailedSuccessorTimesOut(t *testing.T) {
	n := newNetwork(t, 24, 3)
	leader := n.awaitLeaseHolder()
	n.run(time.Second)
	require.True(t, n.propose(leader, []byte("x")))
	successor, err := leader.repl.HandOver(n.clock(leader))
	require.NoError(t, err)
	n.stop(n.find(successor))
	n.run(2 * simElectionMin)
	require.True(t, n.propose(n.awaitLeaseHolder(), []byte("y")))
}

// Guards against a leader that hands over to a voter that is about to stop: the group would be without a leader again.
func TestHandoverAvoidsLeavingVoters(t *testing.T) {
	n := newNetwork(t, 23, 3)
	leader := n.awaitLeaseHolder()
	leaving := otherThan(n, leader)
	leaving.repl.SetLeaving()
	n.run(time.Second)
	require.True(t, leader.repl.IsLeaving(leaving.id))
	successor, err := leader.repl.HandOver(n.clock(leader))
	require.NoError(t, err)
	require.Equal(t, otherThan(n, leader, leaving).id, successor)
}

// Guards against a busy leader that never counts a silent member: each commit sends a message, and then no heartbeat of
// its own is due.
func TestMissedHeartbeatsAreCountedUnderLoad(t *testing.T) {
	n := newNetwork(t, 24, 3)
	leader := n.awaitLeaseHolder()
	lost := otherThan(n, leader)
	n.stop(lost)
	for range 20 {
		for range 10 {
			n.run(simHeartbeat / 10)
			require.True(t, n.propose(leader, []byte("load")))
		}
	}
	require.GreaterOrEqual(t, leader.repl.MissedHeartbeats(lost.id), 15)
	require.LessOrEqual(t, leader.repl.MissedHeartbeats(otherThan(n, leader, lost).id), 1)
}
