package dispatcher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingodrift.example/entryd/internal/dispatcher"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Guards against exceeding the slot limit and against leaked slots, in any order of grants, renewals, requests, target
// shutdowns and waits.
func TestSlotsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := &fakeClock{}
		d := dispatcher.New(dispatcher.Config{Clock: clock})
		var held []*dispatcher.Slot
		inUse, allowed, leaving := map[string]int{}, map[string]int{}, map[string]bool{}
		until := time.Duration(0)
		recordHeld := func(rt *rapid.T, slot *dispatcher.Slot) {
			name := slot.Target()
			inUse[name]++
			held = append(held, slot)
			require.Less(rt, clock.Now(), until, "a slot without a lease")
			require.LessOrEqual(rt, inUse[name], allowed[name], "slots of %s", name)
			require.False(rt, leaving[name], "a slot of a leaving target")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"grant": func(rt *rapid.T) {
				allowed = map[string]int{}
				var list []*wire.Ownership
				for i := range 3 {
					slots, reserved := rapid.IntRange(0, 3).Draw(rt, "slots"), rapid.IntRange(0, 2).Draw(rt, "reserved")
					name := fmt.Sprint("t", i)
					if slots > 0 {
						list = append(list, ownership(name, "10.0.0.1:1", uint32(slots), uint32(reserved)))
						allowed[name] = max(slots-reserved, 0)
					}
				}
				until = max(until, clock.Now()+3*time.Second)
				d.ApplyGrant(dispatcher.Grant{Until: until, Changed: true, Owned: list})
			},
			"renew": func(rt *rapid.T) {
				until = max(until, clock.Now()+3*time.Second)
				d.ApplyGrant(dispatcher.Grant{Until: until})
			},
			"advance": func(rt *rapid.T) {
				clock.advance(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "ms")) * time.Millisecond)
			},
			"acquire": func(rt *rapid.T) {
				if slot, why := d.Acquire(service, clock.Now()); slot != nil {
					recordHeld(rt, slot)
				} else {
					require.NotEqual(rt, reason.None, why)
				}
			},
			"give up waiting": func(rt *rapid.T) {
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				slot, why := d.Wait(ctx, service, 2, &dispatcher.Ticket{})
				require.Nil(rt, slot)
				require.Equal(rt, reason.DeadlineExceeded, why)
			},
			"leaving": func(rt *rapid.T) {
				name := fmt.Sprint("t", rapid.IntRange(0, 2).Draw(rt, "target"))
				d.MarkLeaving(name, "b1")
				leaving[name] = true
			},
			"release": func(rt *rapid.T) {
				if len(held) > 0 {
					at := rapid.IntRange(0, len(held)-1).Draw(rt, "held")
					inUse[held[at].Target()]--
					held[at].Release()
					held[at].Release()
					held = append(held[:at], held[at+1:]...)
				}
			},
			"": func(rt *rapid.T) {
				require.Equal(rt, len(held), d.Busy())
				listed := map[string]bool{}
				for _, o := range d.Owned(false) {
					listed[o.GetTarget()] = true
				}
				for name, n := range inUse {
					require.True(rt, n == 0 || listed[name], "a target with requests in progress is not reported")
				}
			},
		})
	})
}

// waiter is a request that waits in its own goroutine.
type waiter struct {
	cancel context.CancelFunc
	slot   chan *dispatcher.Slot
	why    chan reason.Reason
}

// startWaiter starts a waiter and returns once it is queued or refused.
func startWaiter(t *testing.T, d *dispatcher.Dispatcher, limit int, ticket *dispatcher.Ticket) *waiter {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &waiter{cancel: cancel, slot: make(chan *dispatcher.Slot, 1), why: make(chan reason.Reason, 1)}
	before := queued(d)
	go func() {
		slot, why := d.Wait(ctx, service, limit, ticket)
		w.slot <- slot
		w.why <- why
	}()
	require.Eventually(t, func() bool { return queued(d) > before || len(w.why) > 0 }, 10*time.Second, time.Millisecond)
	return w
}

func queued(d *dispatcher.Dispatcher) int {
	for _, load := range d.Loads() {
		return int(load.GetQueued())
	}
	return 0
}

// Guards against a queue that serves younger requests before older ones, or lets a new request overtake queued ones.
func TestQueueServesOldestFirst(t *testing.T) {
	d, clock := newGranted(1, "10.0.0.1:1")
	first, _ := d.Acquire(service, clock.Now())
	ticketA := &dispatcher.Ticket{}
	a := startWaiter(t, d, 8, ticketA)
	b := startWaiter(t, d, 8, &dispatcher.Ticket{})
	// The oldest request leaves the queue to ask the peers, then returns to its position.
	a.cancel()
	require.Nil(t, <-a.slot)
	require.Equal(t, reason.NoFreeSlot, <-a.why)
	a = startWaiter(t, d, 8, ticketA)
	first.Release()
	slot := <-a.slot
	require.NotNil(t, slot)
	require.Empty(t, b.slot)
	_, why := d.Acquire(service, clock.Now())
	require.Equal(t, reason.NoFreeSlot, why)
	slot.Release()
	(<-b.slot).Release()
	require.Zero(t, d.Busy())
}

// Guards against an unbounded queue, and against a request that loses its position to a younger one.
func TestQueueIsBounded(t *testing.T) {
	d, clock := newGranted(1, "10.0.0.1:1")
	first, _ := d.Acquire(service, clock.Now())
	old := &dispatcher.Ticket{}
	a := startWaiter(t, d, 2, old)
	a.cancel()
	require.Nil(t, <-a.slot)
	b := startWaiter(t, d, 2, &dispatcher.Ticket{})
	c := startWaiter(t, d, 2, &dispatcher.Ticket{})
	_, why := d.Wait(context.Background(), service, 2, &dispatcher.Ticket{})
	require.Equal(t, reason.QueueFull, why)
	go func() { _, _ = d.Wait(context.Background(), service, 2, old) }()
	require.Nil(t, <-c.slot, "the youngest is refused")
	require.Equal(t, reason.QueueFull, <-c.why)
	first.Release()
	b.cancel()
	<-b.slot
}

// Guards against requests that keep waiting after the lease was renewed, and against an unbounded wait outside the
// queue while the lease has ended.
func TestLeaseRenewalServesQueue(t *testing.T) {
	d, clock := newGranted(1, "10.0.0.1:1")
	clock.advance(2 * time.Hour)
	w := startWaiter(t, d, 1, &dispatcher.Ticket{})
	_, why := d.Wait(context.Background(), service, 1, &dispatcher.Ticket{})
	require.Equal(t, reason.QueueFull, why)
	d.ApplyGrant(dispatcher.Grant{Until: 3 * time.Hour})
	require.NotNil(t, <-w.slot)
}

// Guards against use of a target that is no longer granted, when one grant both removes it and extends the lease.
func TestGrantReplacesTargetsBeforeExtendingLease(t *testing.T) {
	d, clock := newGranted(1, "10.0.0.1:1")
	clock.advance(2 * time.Hour)
	w := startWaiter(t, d, 8, &dispatcher.Ticket{})
	d.ApplyGrant(dispatcher.Grant{Until: 3 * time.Hour, Changed: true})
	require.Empty(t, w.slot)
	w.cancel()
	<-w.slot
}

// Guards against exceeding the slot limit when a target with requests in progress is removed and granted again.
func TestRegrantedTargetCountsRequestsInProgress(t *testing.T) {
	d, clock := newGranted(2, "10.0.0.1:1")
	for range 2 {
		slot, _ := d.Acquire(service, clock.Now())
		require.NotNil(t, slot)
	}
	d.ApplyGrant(dispatcher.Grant{Until: time.Hour, Changed: true})
	d.ApplyGrant(dispatcher.Grant{Until: time.Hour, Changed: true, Owned: []*wire.Ownership{
		ownership("t0", "10.0.0.1:1", 2, 0),
	}})
	slot, _ := d.Acquire(service, clock.Now())
	require.Nil(t, slot)
}

// Guards against more connections than the target allows.
func TestConnectionsLimitSlots(t *testing.T) {
	d, clock := newGranted(1, "10.0.0.1:1")
	o := ownership("t0", "10.0.0.1:1", 8, 0)
	o.Target.Connections = 2
	d.ApplyGrant(dispatcher.Grant{Until: time.Hour, Changed: true, Owned: []*wire.Ownership{o}})
	for i := range 3 {
		slot, _ := d.Acquire(service, clock.Now())
		require.Equal(t, i < 2, slot != nil)
	}
}
