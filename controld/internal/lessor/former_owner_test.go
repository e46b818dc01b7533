package lessor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEachFormerOwnerReservesOneSlot guards against keeping only the last of several former owners, each of which may
// still write one request.
func TestEachFormerOwnerReservesOneSlot(t *testing.T) {
	l := newLessor(1, 0)
	a, b, c := newFakeEntry("a", "1"), newFakeEntry("b", "1"), newFakeEntry("c", "1")
	beatEverySecond(l, 4*second, 5*second, a)
	require.Equal(t, 0, a.reserved("t1"))
	beatEverySecond(l, 6*second, 14*second, b)
	require.Equal(t, 1, b.reserved("t1"))
	beatEverySecond(l, 15*second, 24*second, c)
	require.Equal(t, 2, c.reserved("t1"))

	// The first owner is confirmed only after it processed a reply and no longer lists the target.
	a.beat(l, 24*second, announcement("t1"))
	c.beat(l, 24*second, announcement("t1"))
	require.Equal(t, 2, c.reserved("t1"),
		"the first heartbeat was built before the process knew that its lease had ended")
	a.beat(l, 25*second, announcement("t1"))
	c.beat(l, 25*second, announcement("t1"))
	require.Equal(t, 1, c.reserved("t1"))

	// A new boot proves that the other former owner has ended.
	newFakeEntry("b", "2").beat(l, 26*second, announcement("t1"))
	c.beat(l, 26*second, announcement("t1"))
	require.Equal(t, 1, c.reserved("t1"), "its last request may still be in progress")
	beatEverySecond(l, 27*second, 27*second, c)
	require.Equal(t, 0, c.reserved("t1"))
}

// TestFormerOwnerWithRequestInProgressIsNotConfirmed guards against freeing the reserved slot while the former owner
// still has a request in progress at the target.
func TestFormerOwnerWithRequestInProgressIsNotConfirmed(t *testing.T) {
	l := newLessor(1, 0)
	a, b := newFakeEntry("a", "1"), newFakeEntry("b", "1")
	beatEverySecond(l, 4*second, 5*second, a)
	epoch := a.owned["t1"].GetEpoch()
	beatEverySecond(l, 6*second, 14*second, b)
	a.inProgress["t1"] = epoch
	beatEverySecond(l, 15*second, 17*second, a, b)
	require.Equal(t, 1, b.reserved("t1"))
	delete(a.inProgress, "t1")
	beatEverySecond(l, 18*second, 19*second, a, b)
	require.Equal(t, 0, b.reserved("t1"))
}

// TestNewLeaderKeepsFormerOwners guards against a new leader that loses the unconfirmed former owners of the previous
// one.
func TestNewLeaderKeepsFormerOwners(t *testing.T) {
	l := newLessor(1, 0)
	a, b := newFakeEntry("a", "1"), newFakeEntry("b", "1")
	beatEverySecond(l, 4*second, 5*second, a)
	beatEverySecond(l, 6*second, 14*second, b)
	require.Equal(t, 1, b.reserved("t1"))

	l = newLessor(2, 15*second)
	beatEverySecond(l, 15*second, 25*second, b)
	require.Equal(t, 1, b.reserved("t1"))
	beatEverySecond(l, 26*second, 28*second, a, b)
	require.Equal(t, 0, b.reserved("t1"))
}

// TestUnreportedTargetHasUnknownFormerOwner guards against a new leader that assigns a target as if it had never had an
// owner.
func TestUnreportedTargetHasUnknownFormerOwner(t *testing.T) {
	l := newLessor(1, 0)
	a, b := newFakeEntry("a", "1"), newFakeEntry("b", "1")
	beatEverySecond(l, 4*second, 5*second, a)
	epoch := a.owned["t1"].GetEpoch()

	l = newLessor(2, 6*second)
	beatEverySecond(l, 6*second, 16*second, b)
	require.Equal(t, 1, b.reserved("t1"))

	// The cut-off owner returns and is identified by its epoch.
	a.inProgress["t1"], a.owned = epoch, nil
	beatEverySecond(l, 17*second, 19*second, a, b)
	require.Equal(t, 1, b.reserved("t1"))
	delete(a.inProgress, "t1")
	beatEverySecond(l, 20*second, 22*second, a, b)
	require.Equal(t, 0, b.reserved("t1"))
}

// TestNewTargetBootClearsReservation guards against keeping slots reserved for requests to a target process that has
// ended.
func TestNewTargetBootClearsReservation(t *testing.T) {
	l := newLessor(1, 0)
	a, b := newFakeEntry("a", "1"), newFakeEntry("b", "1")
	beatEverySecond(l, 4*second, 5*second, a)
	beatEverySecond(l, 6*second, 14*second, b)
	restarted := announcement("t1")
	restarted.Boot = "b2"
	b.beat(l, 15*second, restarted)
	require.Equal(t, 0, b.reserved("t1"))
	// A delayed announcement of the ended boot has no effect.
	b.beat(l, 16*second, announcement("t1"))
	require.Equal(t, "b2", b.owned["t1"].GetTarget().GetBoot())
}

// TestSilentTargetKeepsFormerOwner guards against losing a former owner while its target is silent.
func TestSilentTargetKeepsFormerOwner(t *testing.T) {
	l := newLessor(1, 0)
	a, b := newFakeEntry("a", "1"), newFakeEntry("b", "1")
	beatEverySecond(l, 4*second, 5*second, a)
	beatEverySecond(l, 6*second, 14*second, b)
	for now := 15 * second; now < 25*second; now += second {
		b.beat(l, now)
	}
	require.Equal(t, -1, b.reserved("t1"), "a silent target is removed")
	require.Empty(t, l.Targets())
	beatEverySecond(l, 25*second, 29*second, b)
	require.Equal(t, 1, b.reserved("t1"))
}

// TestForgetClearsReservation guards against slots that stay reserved forever because the host of the former owner was
// given up.
func TestForgetClearsReservation(t *testing.T) {
	l := newLessor(1, 0)
	a, b := newFakeEntry("a", "1"), newFakeEntry("b", "1")
	beatEverySecond(l, 4*second, 5*second, a)
	beatEverySecond(l, 6*second, 14*second, b)
	require.Error(t, l.Forget("b", 14*second), "an entry process with a lease is not forgotten")
	require.NoError(t, l.Forget("a", 14*second))
	beatEverySecond(l, 15*second, 16*second, b)
	require.Equal(t, 0, b.reserved("t1"))
	require.Error(t, l.Forget("a", 16*second), "no slot is reserved for it any more")
}

// TestNewOwnerReservesBusySlots guards against a new owner that uses all slots in addition to requests of the former
// owner that are still in progress.
func TestNewOwnerReservesBusySlots(t *testing.T) {
	l := newLessor(1, 0)
	a, b := newFakeEntry("a", "1"), newFakeEntry("b", "1")
	beatEverySecond(l, 4*second, 5*second, a)
	busy := func(now time.Duration, slots uint32) {
		state := announcement("t1")
		state.Busy = slots
		l.ExpireEntries(now)
		b.beat(l, now, state)
	}
	for now := 6 * second; now < 9*second; now += second {
		busy(now, 5)
	}
	busy(9*second, 5)
	require.Equal(t, 8, b.reserved("t1"), "an announcement from before the change of owner may be outdated")
	busy(10*second, 5)
	busy(11*second, 5)
	require.Equal(t, 6, b.reserved("t1"))
	busy(12*second, 2)
	require.Equal(t, 3, b.reserved("t1"))
	busy(13*second, 4)
	require.Equal(t, 3, b.reserved("t1"), "requests of the current owner are not counted")
	busy(14*second, 0)
	require.Equal(t, 1, b.reserved("t1"))
}

// TestReplacedBootIsReportedAsLost guards against running claims of a restarted entry process that are never orphaned.
func TestReplacedBootIsReportedAsLost(t *testing.T) {
	l := newLessor(1, 0)
	newFakeEntry("a", "1").beat(l, 4*second)
	newFakeEntry("a", "2").beat(l, 5*second)
	lost := l.ExpireEntries(5 * second)
	require.Len(t, lost, 1)
	require.Equal(t, "1", lost[0].Boot)
}

// TestDelayedBeatOfOlderBootIsRefused guards against a delayed heartbeat of an ended process that replaces the current
// one.
func TestDelayedBeatOfOlderBootIsRefused(t *testing.T) {
	l := newLessor(1, 0)
	old, next := newFakeEntry("a", "1"), newFakeEntry("a", "2")
	old.beat(l, 4*second, announcement("t1"))
	next.beat(l, 5*second, announcement("t1"))
	reply := l.Beat(old.request(announcement("t1")), 5*second)
	require.Zero(t, reply.GetLeaseMs())
	require.Empty(t, reply.GetOwned())
	require.Empty(t, reply.GetConfigRevision())
	beatEverySecond(l, 6*second, 7*second, next)
	require.Equal(t, 0, next.reserved("t1"))
}

// TestTrackedBootExpires guards against claims that stay running forever because their entry process never sent a
// heartbeat to the leader.
func TestTrackedBootExpires(t *testing.T) {
	l := newLessor(1, 0)
	l.Track("a", "1", 4*second)
	require.Empty(t, l.ExpireEntries(5*second))
	require.Len(t, l.ExpireEntries(8*second), 1)

	newFakeEntry("a", "2").beat(l, 9*second)
	l.Track("a", "2", 9*second)
	require.Empty(t, l.ExpireEntries(10*second), "a boot with a lease expires with the lease")
}

// TestOwnerLosesTargetTwice guards against confirming a process that lost the target twice by the first of its two
// epochs.
func TestOwnerLosesTargetTwice(t *testing.T) {
	l := newLessor(1, 0)
	a, b := newFakeEntry("a", "1"), newFakeEntry("b", "1")
	beatEverySecond(l, 4*second, 5*second, a)
	// No other process has a lease, so the process gets the target again. It loses it before it reports the new epoch.
	l.ExpireEntries(9 * second)
	a.beat(l, 9*second, announcement("t1"))
	epoch := a.owned["t1"].GetEpoch()
	beatEverySecond(l, 13*second, 14*second, b)
	require.Contains(t, b.owned, "t1")
	a.inProgress["t1"], a.owned = epoch, nil
	beatEverySecond(l, 15*second, 17*second, a, b)
	require.Equal(t, 1, b.reserved("t1"))
}
