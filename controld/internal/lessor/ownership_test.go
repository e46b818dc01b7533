package lessor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

// Guards against a change of leader that takes every target from its owner until the first entry lease has passed.
func TestChangeOfLeaderKeepsOwnership(t *testing.T) {
	r := leader(1, 0)
	a := newProcess("a", "1")
	beats(r, 4*second, 5*second, a)
	epoch := a.owned["t1"].GetEpoch()
	r = leader(2, 6*second)
	// The target did not announce itself to this process since its last beat.
	a.beat(r, 6*second)
	require.Contains(t, a.owned, "t1")
	require.Equal(t, epoch, a.owned["t1"].GetEpoch())
	require.Equal(t, 0, a.reserved("t1"))
}

// Guards against two owners after a change of leader: a process that lost the target earlier claims it first.
func TestNewerEpochWinsAfterChangeOfLeader(t *testing.T) {
	r := leader(1, 0)
	a, b := newProcess("a", "1"), newProcess("b", "1")
	beats(r, 4*second, 5*second, a)
	beats(r, 6*second, 14*second, b)
	r = leader(2, 15*second)
	// This beat of the former owner was built before it was paused.
	a.full = true
	reply := r.Beat(a.request(), 15*second)
	require.NotEmpty(t, reply.GetSession())
	b.beat(r, 15*second+1, announced("t1"))
	require.Contains(t, b.owned, "t1")
	require.GreaterOrEqual(t, b.reserved("t1"), 1)
	a.take(reply)
	beats(r, 16*second, 17*second, a, b)
	require.NotContains(t, a.owned, "t1")
}

// Guards against a claim that its process did not keep, because its lease had ended when the reply arrived.
func TestUnconfirmedClaimIsDropped(t *testing.T) {
	r := leader(1, 0)
	a, b := newProcess("a", "1"), newProcess("b", "1")
	beats(r, 4*second, 5*second, a)
	r = leader(2, 6*second)
	a.full = true
	a.take(r.Beat(a.request(), 6*second))
	a.owned, a.version = map[string]*wire.Ownership{}, 0
	a.beat(r, 6*second+1, announced("t1"))
	require.NotContains(t, a.owned, "t1", "another process may hold the target until the first entry lease has passed")
	beats(r, 7*second, 12*second, a, b)
	require.Equal(t, 1, max(a.reserved("t1"), b.reserved("t1")))
}

// Guards against taking a delayed beat, which was built before the process received a target, for its release.
func TestDelayedBeatDoesNotReleaseTarget(t *testing.T) {
	r := leader(1, 0)
	a, b := newProcess("a", "1"), newProcess("b", "1")
	a.beat(r, 4*second)
	delayed := a.request()
	a.beat(r, 4*second, announced("t1"), announced("t2"))
	require.Len(t, a.owned, 2)
	b.beat(r, 5*second)
	r.Beat(delayed, 5*second)
	b.beat(r, 5*second+1)
	require.Empty(t, b.owned, "the owner has not released anything yet")
	a.beat(r, 6*second, announced("t1"), announced("t2"))
	a.beat(r, 6*second+1)
	b.beat(r, 6*second+2)
	require.Len(t, b.owned, 1)
	for name := range b.owned {
		require.Equal(t, 0, b.reserved(name))
	}
}

// Guards against requests to a leaving target because an older announcement arrived through another entry process.
func TestLeavingIsKeptForABoot(t *testing.T) {
	r := leader(1, 0)
	a, b := newProcess("a", "1"), newProcess("b", "1")
	leaving := announced("t1")
	leaving.Leaving = true
	a.beat(r, 4*second, announced("t1"))
	b.beat(r, 5*second, leaving)
	b.beat(r, 5*second, announced("t1"))
	a.beat(r, 5*second)
	require.True(t, a.owned["t1"].GetTarget().GetLeaving())
	back := announced("t1")
	back.Boot = "b2"
	b.beat(r, 6*second, back)
	a.beat(r, 6*second)
	require.False(t, a.owned["t1"].GetTarget().GetLeaving())
}

// Guards against a reserve, or a wait for the lease, after an entry process has ended in order.
func TestEndedProcessHandsOverWithoutReserve(t *testing.T) {
	r := leader(1, 0)
	a, b := newProcess("a", "1"), newProcess("b", "1")
	beats(r, 4*second, 5*second, a)
	last := a.request()
	last.Owned, last.Leaving, last.Ended = nil, true, true
	r.Beat(last, 6*second)
	b.beat(r, 6*second, announced("t1"))
	require.Equal(t, 0, b.reserved("t1"))
	require.Len(t, r.ExpireEntries(6*second), 1)
}

// Guards against giving a silent target that returns to another process while its owner has requests in progress there.
func TestSilentTargetStaysWithOwnerUntilConfirmed(t *testing.T) {
	r := leader(1, 0)
	a, b := newProcess("a", "1"), newProcess("b", "1")
	beats(r, 4*second, 5*second, a)
	epoch := a.owned["t1"].GetEpoch()
	for now := 6 * second; now < 12*second; now += second {
		a.beat(r, now)
	}
	a.inProgress["t1"] = epoch
	a.beat(r, 12*second)
	a.inProgress["t1"] = epoch
	a.beat(r, 13*second)
	b.beat(r, 13*second, announced("t1"))
	require.Empty(t, b.owned)
	require.Empty(t, a.owned)
	delete(a.inProgress, "t1")
	beats(r, 14*second, 15*second, a, b)
	require.Len(t, r.Targets(), 1)
	require.Equal(t, 0, max(a.reserved("t1"), b.reserved("t1")))
}
