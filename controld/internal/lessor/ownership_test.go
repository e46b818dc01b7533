package lessor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

// TestNewLeaderKeepsOwnership guards against a change of leader that takes every target from its owner until the first
// entry lease has passed.
func TestNewLeaderKeepsOwnership(t *testing.T) {
	l := newLessor(1, 0)
	a := newFakeEntry("a", "1")
	beatEverySecond(l, 4*second, 5*second, a)
	epoch := a.owned["t1"].GetEpoch()
	l = newLessor(2, 6*second)
	// The target has not announced itself to this process since its last heartbeat.
	a.beat(l, 6*second)
	require.Contains(t, a.owned, "t1")
	require.Equal(t, epoch, a.owned["t1"].GetEpoch())
	require.Equal(t, 0, a.reserved("t1"))
}

// TestNewestEpochWinsAfterChangeOfLeader guards against two owners after a change of leader: a process that lost the
// target earlier is the first to report it.
func TestNewestEpochWinsAfterChangeOfLeader(t *testing.T) {
	l := newLessor(1, 0)
	a, b := newFakeEntry("a", "1"), newFakeEntry("b", "1")
	beatEverySecond(l, 4*second, 5*second, a)
	beatEverySecond(l, 6*second, 14*second, b)
	l = newLessor(2, 15*second)
	// This heartbeat of the former owner was built before the process was paused.
	a.full = true
	reply := l.Beat(a.request(), 15*second)
	require.NotEmpty(t, reply.GetSession())
	b.beat(l, 15*second+1, announcement("t1"))
	require.Contains(t, b.owned, "t1")
	require.GreaterOrEqual(t, b.reserved("t1"), 1)
	a.applyReply(reply)
	beatEverySecond(l, 16*second, 17*second, a, b)
	require.NotContains(t, a.owned, "t1")
}

// TestUnconfirmedOwnershipIsDropped guards against a restored ownership that its process gave up, because its lease had
// ended when it received the reply.
func TestUnconfirmedOwnershipIsDropped(t *testing.T) {
	l := newLessor(1, 0)
	a, b := newFakeEntry("a", "1"), newFakeEntry("b", "1")
	beatEverySecond(l, 4*second, 5*second, a)
	l = newLessor(2, 6*second)
	a.full = true
	a.applyReply(l.Beat(a.request(), 6*second))
	a.owned, a.version = map[string]*wire.Ownership{}, 0
	a.beat(l, 6*second+1, announcement("t1"))
	require.NotContains(t, a.owned, "t1", "another process may own the target until the first entry lease has passed")
	beatEverySecond(l, 7*second, 12*second, a, b)
	require.Equal(t, 1, max(a.reserved("t1"), b.reserved("t1")))
}

// TestDelayedBeatDoesNotReleaseTarget guards against taking a delayed heartbeat, built before the process received a
// target, as the release of the target.
func TestDelayedBeatDoesNotReleaseTarget(t *testing.T) {
	l := newLessor(1, 0)
	a, b := newFakeEntry("a", "1"), newFakeEntry("b", "1")
	a.beat(l, 4*second)
	delayed := a.request()
	a.beat(l, 4*second, announcement("t1"), announcement("t2"))
	require.Len(t, a.owned, 2)
	b.beat(l, 5*second)
	l.Beat(delayed, 5*second)
	b.beat(l, 5*second+1)
	require.Empty(t, b.owned, "the owner has not released anything yet")
	a.beat(l, 6*second, announcement("t1"), announcement("t2"))
	a.beat(l, 6*second+1)
	b.beat(l, 6*second+2)
	require.Len(t, b.owned, 1)
	for name := range b.owned {
		require.Equal(t, 0, b.reserved(name))
	}
}

// TestLeavingIsFinalForBoot guards against requests to a leaving target because an older announcement arrived through
// another entry process.
func TestLeavingIsFinalForBoot(t *testing.T) {
	l := newLessor(1, 0)
	a, b := newFakeEntry("a", "1"), newFakeEntry("b", "1")
	leaving := announcement("t1")
	leaving.Leaving = true
	a.beat(l, 4*second, announcement("t1"))
	b.beat(l, 5*second, leaving)
	b.beat(l, 5*second, announcement("t1"))
	a.beat(l, 5*second)
	require.True(t, a.owned["t1"].GetTarget().GetLeaving())
	back := announcement("t1")
	back.Boot = "b2"
	b.beat(l, 6*second, back)
	a.beat(l, 6*second)
	require.False(t, a.owned["t1"].GetTarget().GetLeaving())
}

// TestEndedProcessReleasesTargetsAtOnce guards against reserved slots, or a wait for the lease to expire, after an
// entry process has shut down gracefully.
func TestEndedProcessReleasesTargetsAtOnce(t *testing.T) {
	l := newLessor(1, 0)
	a, b := newFakeEntry("a", "1"), newFakeEntry("b", "1")
	beatEverySecond(l, 4*second, 5*second, a)
	last := a.request()
	last.Owned, last.Leaving, last.Ended = nil, true, true
	l.Beat(last, 6*second)
	b.beat(l, 6*second, announcement("t1"))
	require.Equal(t, 0, b.reserved("t1"))
	require.Len(t, l.ExpireEntries(6*second), 1)
}

// TestSilentTargetStaysWithOwnerUntilReleased guards against assigning a silent target that returns to another process
// while its owner has requests in progress there.
func TestSilentTargetStaysWithOwnerUntilReleased(t *testing.T) {
	l := newLessor(1, 0)
	a, b := newFakeEntry("a", "1"), newFakeEntry("b", "1")
	beatEverySecond(l, 4*second, 5*second, a)
	epoch := a.owned["t1"].GetEpoch()
	for now := 6 * second; now < 12*second; now += second {
		a.beat(l, now)
	}
	a.inProgress["t1"] = epoch
	a.beat(l, 12*second)
	a.inProgress["t1"] = epoch
	a.beat(l, 13*second)
	b.beat(l, 13*second, announcement("t1"))
	require.Empty(t, b.owned)
	require.Empty(t, a.owned)
	delete(a.inProgress, "t1")
	beatEverySecond(l, 14*second, 15*second, a, b)
	require.Len(t, l.Targets(), 1)
	require.Equal(t, 0, max(a.reserved("t1"), b.reserved("t1")))
}
