package replicator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

// A planned stop must not cost an election timeout: the successor leads within a few message delays.
func TestHandoverNeedsNoElectionTimeout(t *testing.T) {
	n := newNetwork(t, 20, 5)
	leader := n.awaitHolder()
	n.run(time.Second)
	require.True(t, n.propose(leader, []byte("last of the old leader")))
	successor, err := leader.repl.HandOver(n.clock(leader))
	require.NoError(t, err)
	require.False(t, n.propose(leader, []byte("refused")), "the successor must be able to catch up")
	n.run(simHeartbeat)
	require.Equal(t, n.find(successor), n.holder())
	require.Equal(t, n.oracle.newest, n.find(successor).applied)
}

// The lease must end before the message that allows the election is sent, and not come back in this term.
func TestLeaseEndsBeforeHandoverMessage(t *testing.T) {
	n := newNetwork(t, 21, 3)
	leader := n.awaitHolder()
	n.run(time.Second)
	_, err := leader.repl.HandOver(n.clock(leader))
	require.NoError(t, err)
	require.False(t, leader.repl.HasLease(n.clock(leader)))
	ready := leader.repl.Ready()
	require.NotNil(t, ready.Messages[len(ready.Messages)-1].GetTakeOver())
	// The message is lost: the old leader must not lead the same term again.
	term := leader.repl.Term()
	n.awaitHolder()
	require.Greater(t, n.holder().repl.Term(), term)
}

// A handover that a voter hears of late must not break the promise that it has given to the leader elected since.
func TestStaleHandoverBreaksNoPromise(t *testing.T) {
	n := newNetwork(t, 22, 3)
	leader := n.awaitHolder()
	n.run(time.Second)
	voter := otherThan(n, leader)
	third := otherThan(n, leader, voter)
	for _, stale := range []uint64{leader.repl.Term(), leader.repl.Term() - 1} {
		voter.repl.Step(n.clock(voter), &wire.PeerMessage{
			From: third.id, To: voter.id, Term: stale,
			Body: &wire.PeerMessage_VoteRequest{VoteRequest: &wire.VoteRequest{Handover: true, LastIndex: 99, LastTerm: 99}},
		})
		require.Empty(t, voter.repl.Ready().Messages)
		voter.repl.Step(n.clock(voter), &wire.PeerMessage{
			From: leader.id, To: voter.id, Term: stale - 1, Body: &wire.PeerMessage_TakeOver{TakeOver: &wire.TakeOver{}},
		})
		require.Empty(t, voter.repl.Ready().Messages)
	}
	require.Equal(t, leader, n.holder())
}

// A leader must not hand over to a voter whose disk is full or that is out of reach, and says so when there is no
// other.
func TestHandoverPassesOverUnableVoters(t *testing.T) {
	n := newNetwork(t, 23, 3)
	leader := n.awaitHolder()
	full := otherThan(n, leader)
	able := otherThan(n, leader, full)
	full.repl.SetDiskFull(true)
	n.run(time.Second)
	n.isolate(able)
	n.run(simElectionMin)
	_, err := leader.repl.HandOver(n.clock(leader))
	require.ErrorIs(t, err, ErrNoSuccessor)
	n.heal()
	n.run(simElectionMin)
	successor, err := leader.repl.HandOver(n.clock(leader))
	require.NoError(t, err)
	require.Equal(t, able.id, successor)
}

// A handover whose successor vanishes must end, so that the leader accepts proposals again.
func TestHandoverToLostSuccessorEnds(t *testing.T) {
	n := newNetwork(t, 24, 3)
	leader := n.awaitHolder()
	n.run(time.Second)
	require.True(t, n.propose(leader, []byte("x")))
	successor, err := leader.repl.HandOver(n.clock(leader))
	require.NoError(t, err)
	n.stop(n.find(successor))
	n.run(2 * simElectionMin)
	require.True(t, n.propose(n.awaitHolder(), []byte("y")))
}
