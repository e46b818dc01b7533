package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/wire"
)

// consentDesk returns a desk with many workers, each of 8 cores, and helpers.
func consentDesk(t *testing.T, workers, helpers int) *desk {
	t.Helper()
	names := make([]string, 0, workers)
	for i := range workers {
		names = append(names, fmt.Sprintf("w%03d", i))
	}
	d := newDesk(t, &wire.ConsentPolicy{CallMs: 400, WorkerMs: 6, ValidMs: 1500}, names...)
	for i := range helpers {
		d.RecordHelperBeat(&wire.HelperBeat{Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("e%d:1", i)}, d.now)
	}
	d.ready()
	return d
}

// TestWideGangAsksSeveralCalls guards a wide gang against asking for one call of workers after the other: each takes a
// second, and its slack is over before it knows enough workers.
func TestWideGangAsksSeveralCalls(t *testing.T) {
	d := consentDesk(t, 250, 6)
	d.submit(&wire.JobStep{Count: 40, CpuMillis: 8000, Gang: true, EstimateMs: 2000})
	d.turn(0)
	require.Len(t, d.work.ConsentRequests, mostCalls)
	asked, helpers := map[string]bool{}, map[string]bool{}
	for _, a := range d.work.ConsentRequests {
		helpers[a.Helper] = true
		for _, w := range a.Workers {
			require.False(t, asked[w], "worker %s is asked for twice", w)
			asked[w] = true
		}
	}
	require.Len(t, helpers, mostCalls, "the calls run side by side")
}

// TestTicketsOutlastTheWait guards a gang against tickets that end just before its last member has room.
func TestTicketsOutlastTheWait(t *testing.T) {
	d := consentDesk(t, 2, 3)
	d.submit(&wire.JobStep{Count: 2, CpuMillis: 8000, Gang: true, EstimateMs: 2000})
	d.turn(0)
	first := d.work.ConsentRequests[0]
	d.work.ConsentRequests = nil
	granted := executor.Consent{Tickets: []executor.Ticket{{Worker: "w000", Ticket: "t"}, {Worker: "w001", Ticket: "t"}}}
	step := d.batch.Job(job).Steps()[0]
	d.Consented(first, granted, nil, d.now)
	ends := d.consent(step).granted[d.batch.Incarnation("w000")].until
	d.renewTickets(step, allocator.InTime, nil, ends-time.Second)
	require.Empty(t, d.Take().ConsentRequests, "tickets that last are not renewed")
	d.renewTickets(step, allocator.InTime, nil, ends-d.callLength(step, 2))
	renewed := d.Take().ConsentRequests
	require.Len(t, renewed, 1)
	require.Equal(t, []string{"w000", "w001"}, renewed[0].Workers)
}

// TestLateStepsLeaveHelpersAlone guards work that can still be in time against waiting behind questions for work that
// cannot: under the worst load these took a fifth of the helpers' time.
func TestLateStepsLeaveHelpersAlone(t *testing.T) {
	d := consentDesk(t, 10, 4)
	d.submit(&wire.JobStep{Count: 2, CpuMillis: 8000, Gang: true, EstimateMs: 2000})
	step := d.batch.Job(job).Steps()[0]
	for _, name := range []string{"e0", "e1", "e2"} {
		d.helpers[name].busyUntil = d.now + time.Second
	}
	d.mostlyFree = false
	d.askMore(step, allocator.Late, d.now)
	require.Empty(t, d.Take().ConsentRequests)
	d.askMore(step, allocator.InTime, d.now)
	require.Len(t, d.Take().ConsentRequests, 1)
}

// TestLateStepsAskWhileRoomIsFree guards a late step against waiting for a helper beside idle workers, where it could start
// at once.
func TestLateStepsAskWhileRoomIsFree(t *testing.T) {
	d := consentDesk(t, 10, 4)
	for name := range d.helpers {
		d.helpers[name].busyUntil = d.now + moreWaiting/2
	}
	d.submit(&wire.JobStep{Count: 2, CpuMillis: 8000, Gang: true, EstimateMs: 2000})
	d.turn(0)
	require.True(t, d.mostlyFree)
	step := d.batch.Job(job).Steps()[0]
	d.consents[step] = nil
	d.Take()
	d.askMore(step, allocator.Overdue, d.now)
	require.Len(t, d.Take().ConsentRequests, 1)
}

// granted lets a step have tickets for workers that last until a time.
func (d *desk) granted(step *batch.Step, until time.Duration, workers ...string) {
	for _, w := range workers {
		life := d.batch.Incarnation(w)
		d.consent(step).granted[life] = &ticket{session: d.session(life, d.now), value: "t", until: until}
	}
}

// TestGangKeepsTheTicketsItNeeds guards the outside service's time: a gang that was allowed on many workers renews the
// tickets of its planned start and of as many again, not all.
func TestGangKeepsTheTicketsItNeeds(t *testing.T) {
	d := consentDesk(t, 10, 4)
	d.submit(&wire.JobStep{Count: 3, CpuMillis: 5000, Gang: true, EstimateMs: 2000})
	step := d.batch.Job(job).Steps()[0]
	var workers []string
	for i := range 10 {
		workers = append(workers, fmt.Sprintf("w%03d", i))
	}
	d.granted(step, d.now, workers...)
	planned := []gathered{{session: d.sessions["w007"], count: 1}}
	d.renewTickets(step, allocator.InTime, planned, d.now)
	asks := d.Take().ConsentRequests
	require.Len(t, asks, 1)
	require.Equal(t, []string{"w007", "w000", "w001", "w002", "w003", "w004"}, asks[0].Workers)
}

// TestOverdueGangRenewsWhereItFits guards a gang that can be late no more against renewing tickets where it may not run:
// workers on which it failed, or more members than one worker may have, beside the emptiest ones.
func TestOverdueGangRenewsWhereItFits(t *testing.T) {
	d := consentDesk(t, 10, 4)
	d.submit(&wire.JobStep{Count: 6, CpuMillis: 1000, Gang: true, EstimateMs: 500, MostPerWorker: 1})
	step := d.batch.Job(job).Steps()[0]
	var workers []string
	for i := range 10 {
		workers = append(workers, fmt.Sprintf("w%03d", i))
	}
	p := d.prospects[step.Job()]
	p.acceptedAt -= time.Minute
	d.prospects[step.Job()] = p
	d.granted(step, d.now, workers...)
	for _, w := range workers[:4] {
		d.sessions[w].streak = provenStreak
	}
	d.turn(100 * time.Millisecond)
	require.NotEmpty(t, d.work.ConsentRequests)
	for _, w := range workers[4:] {
		require.Contains(t, d.work.ConsentRequests[0].Workers, w)
	}
}

// TestGangAsksBesideIdleWorkers guards a gang that can be in time against waiting for the workers that were allowed to it
// while most others are idle, and against questions whose answers would come later than its start.
func TestGangAsksBesideIdleWorkers(t *testing.T) {
	d := consentDesk(t, 10, 4)
	d.submit(&wire.JobStep{Count: 2, CpuMillis: 5000, Gang: true, EstimateMs: 20_000})
	step := d.batch.Job(job).Steps()[0]
	answer := d.callLength(step, fewestAsked)
	d.mostlyFree = true
	require.True(t, d.wantsMore(step, allocator.InTime, d.now, answer+time.Millisecond))
	require.False(t, d.wantsMore(step, allocator.InTime, d.now, answer))
	d.mostlyFree = false
	require.False(t, d.wantsMore(step, allocator.InTime, d.now, answer+time.Millisecond), "it will be in time")
}

// TestLateGangStopsAsking guards gangs that can be in time: one that cannot asks for no more workers once those that were
// allowed have room for it several times over.
func TestLateGangStopsAsking(t *testing.T) {
	d := consentDesk(t, 10, 4)
	d.submit(&wire.JobStep{Count: 2, CpuMillis: 5000, Gang: true, EstimateMs: 2000})
	step := d.batch.Job(job).Steps()[0]
	d.granted(step, d.now, "w000", "w001", "w002", "w003", "w004", "w005", "w006")
	require.False(t, d.wellCovered(step))
	d.granted(step, d.now, "w007")
	require.True(t, d.wellCovered(step))
}

// TestHeldWorkersAreAskedLast guards the room that a gang gathers: short work that asks for consent there would be placed
// there.
func TestHeldWorkersAreAskedLast(t *testing.T) {
	d := consentDesk(t, 6, 3)
	d.submit(&wire.JobStep{Count: 1, CpuMillis: 1000, EstimateMs: 500})
	step := d.batch.Job(job).Steps()[0]
	for _, name := range []string{"w000", "w001", "w002"} {
		d.sessions[name].held = true
	}
	var names []string
	for _, s := range d.newWorkers(step, d.consent(step), 4, d.now) {
		names = append(names, s.life.Worker())
	}
	require.Equal(t, []string{"w003", "w004", "w005", "w000"}, names)
}

// TestBusyServiceIsNotAskedAtOnce guards the outside service, when it has too many calls, against the same question again
// with each round.
func TestBusyServiceIsNotAskedAtOnce(t *testing.T) {
	d := consentDesk(t, 4, 3)
	d.submit(one())
	d.turn(0)
	require.Len(t, d.work.ConsentRequests, 1)
	busy := d.work.ConsentRequests[0]
	d.work.ConsentRequests = nil
	d.Consented(busy, executor.Consent{Busy: true}, nil, d.now)
	d.turn(askPause / 2)
	require.Empty(t, d.work.ConsentRequests)
	d.turn(askPause / 2)
	require.Len(t, d.work.ConsentRequests, 1)
}
