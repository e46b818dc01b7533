package lessor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against forgetting all but the last of several owners that each may still write one request.
func TestEveryUnconfirmedOwnerCostsOneSlot(t *testing.T) {
	r := leader(1, 0)
	a, b, c := newProcess("a", "1"), newProcess("b", "1"), newProcess("c", "1")
	beats(r, 4*second, 5*second, a)
	require.Equal(t, 0, a.reserved("t1"))
	beats(r, 6*second, 14*second, b)
	require.Equal(t, 1, b.reserved("t1"))
	beats(r, 15*second, 24*second, c)
	require.Equal(t, 2, c.reserved("t1"))

	// The first owner confirms only after it took over a reply and no longer lists the target.
	a.beat(r, 24*second, announced("t1"))
	c.beat(r, 24*second, announced("t1"))
	require.Equal(t, 2, c.reserved("t1"), "the first beat was built before the process knew that its lease had ended")
	a.beat(r, 25*second, announced("t1"))
	c.beat(r, 25*second, announced("t1"))
	require.Equal(t, 1, c.reserved("t1"))

	// A new boot proves that the other former owner has ended.
	newProcess("b", "2").beat(r, 26*second, announced("t1"))
	c.beat(r, 26*second, announced("t1"))
	require.Equal(t, 1, c.reserved("t1"), "what it wrote last may still be in progress")
	beats(r, 27*second, 27*second, c)
	require.Equal(t, 0, c.reserved("t1"))
}

// Guards against releasing the reserve while the former owner still has a request in progress at the target.
func TestFormerOwnerWithRequestInProgressIsNotConfirmed(t *testing.T) {
	r := leader(1, 0)
	a, b := newProcess("a", "1"), newProcess("b", "1")
	beats(r, 4*second, 5*second, a)
	epoch := a.owned["t1"].GetEpoch()
	beats(r, 6*second, 14*second, b)
	a.inProgress["t1"] = epoch
	beats(r, 15*second, 17*second, a, b)
	require.Equal(t, 1, b.reserved("t1"))
	delete(a.inProgress, "t1")
	beats(r, 18*second, 19*second, a, b)
	require.Equal(t, 0, b.reserved("t1"))
}

// Guards against a new leader that forgets the unconfirmed former owners of the old one.
func TestChangeOfLeaderKeepsUnconfirmedOwners(t *testing.T) {
	r := leader(1, 0)
	a, b := newProcess("a", "1"), newProcess("b", "1")
	beats(r, 4*second, 5*second, a)
	beats(r, 6*second, 14*second, b)
	require.Equal(t, 1, b.reserved("t1"))

	r = leader(2, 15*second)
	beats(r, 15*second, 25*second, b)
	require.Equal(t, 1, b.reserved("t1"))
	beats(r, 26*second, 28*second, a, b)
	require.Equal(t, 0, b.reserved("t1"))
}

// Guards against a new leader that gives a target away as if it had had no owner before.
func TestUnclaimedTargetHasOneUnknownFormerOwner(t *testing.T) {
	r := leader(1, 0)
	a, b := newProcess("a", "1"), newProcess("b", "1")
	beats(r, 4*second, 5*second, a)
	epoch := a.owned["t1"].GetEpoch()

	r = leader(2, 6*second)
	beats(r, 6*second, 16*second, b)
	require.Equal(t, 1, b.reserved("t1"))

	// The cut-off owner returns and is recognised by its epoch.
	a.inProgress["t1"], a.owned = epoch, nil
	beats(r, 17*second, 19*second, a, b)
	require.Equal(t, 1, b.reserved("t1"))
	delete(a.inProgress, "t1")
	beats(r, 20*second, 22*second, a, b)
	require.Equal(t, 0, b.reserved("t1"))
}

// Guards against keeping slots reserved for requests to a target process that has ended.
func TestNewBootOfTargetClearsReserve(t *testing.T) {
	r := leader(1, 0)
	a, b := newProcess("a", "1"), newProcess("b", "1")
	beats(r, 4*second, 5*second, a)
	beats(r, 6*second, 14*second, b)
	restarted := announced("t1")
	restarted.Boot = "b2"
	b.beat(r, 15*second, restarted)
	require.Equal(t, 0, b.reserved("t1"))
	// An announcement of the ended boot that was delayed in an entry process changes nothing.
	b.beat(r, 16*second, announced("t1"))
	require.Equal(t, "b2", b.owned["t1"].GetTarget().GetBoot())
}

// Guards against forgetting a former owner while its target is silent.
func TestSilentTargetKeepsUnconfirmedOwner(t *testing.T) {
	r := leader(1, 0)
	a, b := newProcess("a", "1"), newProcess("b", "1")
	beats(r, 4*second, 5*second, a)
	beats(r, 6*second, 14*second, b)
	for now := 15 * second; now < 25*second; now += second {
		b.beat(r, now)
	}
	require.Equal(t, -1, b.reserved("t1"), "a silent target is removed")
	require.Empty(t, r.Targets())
	beats(r, 25*second, 29*second, b)
	require.Equal(t, 1, b.reserved("t1"))
}

// Guards against a reserve that stays for ever because the host of the former owner was given up.
func TestForgottenEntryProcessClearsReserve(t *testing.T) {
	r := leader(1, 0)
	a, b := newProcess("a", "1"), newProcess("b", "1")
	beats(r, 4*second, 5*second, a)
	beats(r, 6*second, 14*second, b)
	require.Error(t, r.Forget("b", 14*second), "an entry process with a lease is not forgotten")
	require.NoError(t, r.Forget("a", 14*second))
	beats(r, 15*second, 16*second, b)
	require.Equal(t, 0, b.reserved("t1"))
	require.Error(t, r.Forget("a", 16*second), "nothing is reserved for it any more")
}

// Guards against adding a full set of slots on top of requests that are still in progress from the former owner.
func TestTakeoverCountsBusySlots(t *testing.T) {
	r := leader(1, 0)
	a, b := newProcess("a", "1"), newProcess("b", "1")
	beats(r, 4*second, 5*second, a)
	busy := func(now time.Duration, slots uint32) {
		state := announced("t1")
		state.Busy = slots
		r.ExpireEntries(now)
		b.beat(r, now, state)
	}
	for now := 6 * second; now < 9*second; now += second {
		busy(now, 5)
	}
	busy(9*second, 5)
	require.Equal(t, 8, b.reserved("t1"), "what the target announced before the takeover may be outdated")
	busy(10*second, 5)
	busy(11*second, 5)
	require.Equal(t, 6, b.reserved("t1"))
	busy(12*second, 2)
	require.Equal(t, 3, b.reserved("t1"))
	busy(13*second, 4)
	require.Equal(t, 3, b.reserved("t1"), "requests of the present owner are not counted")
	busy(14*second, 0)
	require.Equal(t, 1, b.reserved("t1"))
}

// Guards against running claims of a restarted entry process that are never orphaned.
func TestReplacedBootIsReportedAsLost(t *testing.T) {
	r := leader(1, 0)
	newProcess("a", "1").beat(r, 4*second)
	newProcess("a", "2").beat(r, 5*second)
	lost := r.ExpireEntries(5 * second)
	require.Len(t, lost, 1)
	require.Equal(t, "1", lost[0].Boot)
}

// Guards against a delayed beat of an ended process that displaces the present one.
func TestDelayedBeatOfFormerBootIsRefused(t *testing.T) {
	r := leader(1, 0)
	old, next := newProcess("a", "1"), newProcess("a", "2")
	old.beat(r, 4*second, announced("t1"))
	next.beat(r, 5*second, announced("t1"))
	reply := r.Beat(old.request(announced("t1")), 5*second)
	require.Zero(t, reply.GetLeaseMs())
	require.Empty(t, reply.GetOwned())
	require.Empty(t, reply.GetConfigRevision())
	beats(r, 6*second, 7*second, next)
	require.Equal(t, 0, next.reserved("t1"))
}

// Guards against claims of an entry process that the leader never heard of and that stay running for ever.
func TestClaimOfUnknownBootIsTracked(t *testing.T) {
	r := leader(1, 0)
	r.Track("a", "1", 4*second)
	require.Empty(t, r.ExpireEntries(5*second))
	require.Len(t, r.ExpireEntries(8*second), 1)

	newProcess("a", "2").beat(r, 9*second)
	r.Track("a", "2", 9*second)
	require.Empty(t, r.ExpireEntries(10*second), "a boot with a lease is tracked by it")
}

// Guards against confirming a process that lost the target twice by the epoch that it held first.
func TestOwnerThatLostTheTargetTwice(t *testing.T) {
	r := leader(1, 0)
	a, b := newProcess("a", "1"), newProcess("b", "1")
	beats(r, 4*second, 5*second, a)
	// Nobody else lives, so it gets the target again, and loses it before it reports the new epoch.
	r.ExpireEntries(9 * second)
	a.beat(r, 9*second, announced("t1"))
	epoch := a.owned["t1"].GetEpoch()
	beats(r, 13*second, 14*second, b)
	require.Contains(t, b.owned, "t1")
	a.inProgress["t1"], a.owned = epoch, nil
	beats(r, 15*second, 17*second, a, b)
	require.Equal(t, 1, b.reserved("t1"))
}
