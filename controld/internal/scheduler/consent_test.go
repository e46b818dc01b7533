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

// newConsentHarness returns a harness with workers of 8 cores each, helpers, and a queue that needs consent.
func newConsentHarness(t *testing.T, workers, helpers int) *harness {
	t.Helper()
	names := make([]string, 0, workers)
	for i := range workers {
		names = append(names, fmt.Sprintf("w%03d", i))
	}
	h := newHarness(t, &wire.ConsentPolicy{CallMs: 400, WorkerMs: 6, ValidMs: 1500}, names...)
	for i := range helpers {
		h.RecordHelperBeat(&wire.HelperBeat{Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("e%d:1", i)}, h.now)
	}
	h.connectWorkers()
	return h
}

// TestWideGangSendsConcurrentCalls guards against requesting the workers of a wide gang in one call after the other:
// each call takes about a second, and the gang's slack would be used up before enough workers are granted.
func TestWideGangSendsConcurrentCalls(t *testing.T) {
	h := newConsentHarness(t, 250, 6)
	h.submit(&wire.JobStep{Count: 40, CpuMillis: 8000, Gang: true, EstimateMs: 2000})
	h.advance(0)
	require.Len(t, h.work.ConsentRequests, maxCallsPerStep)
	requested, helpers := map[string]bool{}, map[string]bool{}
	for _, a := range h.work.ConsentRequests {
		helpers[a.Helper] = true
		for _, w := range a.Workers {
			require.False(t, requested[w], "worker %s is requested twice", w)
			requested[w] = true
		}
	}
	require.Len(t, helpers, maxCallsPerStep, "the calls must run concurrently")
}

// TestCallsAtOneHelperAreBounded guards against more calls at a helper than the service lets wait, which it answers as too
// many: a new leader may know one helper and have the backlog of an earlier one. The steps would then pause.
func TestCallsAtOneHelperAreBounded(t *testing.T) {
	const jobs = maxCallsPerHelper + 8
	h := newHarness(t, &wire.ConsentPolicy{CallMs: 7, WorkerMs: 0.1, ValidMs: 1500}, "w000", "w001")
	h.RecordHelperBeat(&wire.HelperBeat{Name: "e0", Address: "e0:1"}, h.now)
	h.connectWorkers()
	for i := range jobs {
		h.submitNamed(fmt.Sprintf("%016x", i))
	}
	h.advance(decideInterval)
	require.Len(t, h.work.ConsentRequests, maxCallsPerHelper)
	h.Consented(h.work.ConsentRequests[0], executor.Consent{}, nil, h.now)
	h.advance(decideInterval)
	require.Len(t, h.work.ConsentRequests, maxCallsPerHelper+1, "an answered call makes room for another")
	h.RecordHelperBeat(&wire.HelperBeat{Name: "e1", Address: "e1:1"}, h.now)
	h.advance(decideInterval)
	require.Len(t, h.work.ConsentRequests, jobs)
	for _, request := range h.work.ConsentRequests[maxCallsPerHelper+1:] {
		require.Equal(t, "e1", request.Helper)
	}
}

// TestTicketsOutlastTheWait guards against tickets of a gang that expire just before its last member has capacity.
func TestTicketsOutlastTheWait(t *testing.T) {
	h := newConsentHarness(t, 2, 3)
	h.submit(&wire.JobStep{Count: 2, CpuMillis: 8000, Gang: true, EstimateMs: 2000})
	h.advance(0)
	first := h.work.ConsentRequests[0]
	h.work.ConsentRequests = nil
	granted := executor.Consent{Tickets: []executor.Ticket{{Worker: "w000", Ticket: "t"}, {Worker: "w001", Ticket: "t"}}}
	step := h.batch.Job(testJobID).Steps()[0]
	h.Consented(first, granted, nil, h.now)
	expiry := h.consentFor(step).granted[h.batch.Incarnation("w000")].expiresAt
	h.renewTickets(step, allocator.InTime, nil, expiry-time.Second)
	require.Empty(t, h.Take().ConsentRequests, "tickets that remain valid are not renewed")
	h.renewTickets(step, allocator.InTime, nil, expiry-h.callDuration(step, 2))
	renewed := h.Take().ConsentRequests
	require.Len(t, renewed, 1)
	require.Equal(t, []string{"w000", "w001"}, renewed[0].Workers)
}

// TestLateStepsUseOnlyIdleHelpers guards against steps that can still meet their objective waiting behind consent calls
// for steps that cannot. Under the heaviest load, such calls took a fifth of the helpers' time.
func TestLateStepsUseOnlyIdleHelpers(t *testing.T) {
	h := newConsentHarness(t, 10, 4)
	h.submit(&wire.JobStep{Count: 2, CpuMillis: 8000, Gang: true, EstimateMs: 2000})
	step := h.batch.Job(testJobID).Steps()[0]
	for _, name := range []string{"e0", "e1", "e2"} {
		h.helpers[name].busyUntil = h.now + time.Second
	}
	h.mostCapacityFree = false
	h.requestMoreWorkers(step, allocator.Late, h.now)
	require.Empty(t, h.Take().ConsentRequests)
	h.requestMoreWorkers(step, allocator.InTime, h.now)
	require.Len(t, h.Take().ConsentRequests, 1)
}

// TestLateStepsRequestWhileCapacityIsFree guards against a late step waiting for an idle helper while workers are idle
// on which it could start immediately.
func TestLateStepsRequestWhileCapacityIsFree(t *testing.T) {
	h := newConsentHarness(t, 10, 4)
	for name := range h.helpers {
		h.helpers[name].busyUntil = h.now + maxExtraCallDelay/2
	}
	h.submit(&wire.JobStep{Count: 2, CpuMillis: 8000, Gang: true, EstimateMs: 2000})
	h.advance(0)
	require.True(t, h.mostCapacityFree)
	step := h.batch.Job(testJobID).Steps()[0]
	h.consents[step] = nil
	h.Take()
	h.requestMoreWorkers(step, allocator.Overdue, h.now)
	require.Len(t, h.Take().ConsentRequests, 1)
}

// TestSilentHelpersAreNotIdle guards against counting helpers that died without notice as idle: late steps would take
// the helpers that live from steps that can still meet their objective, and the names of the dead would be kept for the
// rest of the term.
func TestSilentHelpersAreNotIdle(t *testing.T) {
	h := newConsentHarness(t, 10, 4)
	for _, name := range []string{"e0", "e1"} {
		h.helpers[name].lastBeatAt = h.now - helperTimeout
	}
	require.True(t, h.enoughIdleHelpers(h.now))
	for _, name := range []string{"e2", "e3"} {
		h.helpers[name].busyUntil = h.now + time.Second
	}
	require.False(t, h.enoughIdleHelpers(h.now))
	h.RecordHelperBeat(&wire.HelperBeat{Name: "e3", Address: "e3:1"}, h.now+helperRetention-helperTimeout+time.Second)
	require.NotContains(t, h.helpers, "e0")
	require.Contains(t, h.helpers, "e3")
}

// grantTickets grants a step tickets for workers until a given time.
func (h *harness) grantTickets(step *batch.Step, until time.Duration, workers ...string) {
	for _, w := range workers {
		incarnation := h.batch.Incarnation(w)
		h.consentFor(step).granted[incarnation] = &ticket{
			session: h.sessionFor(incarnation, h.now), value: "t", expiresAt: until,
		}
	}
}

// TestGangRenewsOnlyNeededTickets guards against wasting the consent service's time: a gang that was granted many
// workers renews the tickets of its planned start and of as many spare workers, not all.
func TestGangRenewsOnlyNeededTickets(t *testing.T) {
	h := newConsentHarness(t, 10, 4)
	h.submit(&wire.JobStep{Count: 3, CpuMillis: 5000, Gang: true, EstimateMs: 2000})
	step := h.batch.Job(testJobID).Steps()[0]
	var workers []string
	for i := range 10 {
		workers = append(workers, fmt.Sprintf("w%03d", i))
	}
	h.grantTickets(step, h.now, workers...)
	planned := []sessionShare{{session: h.sessions["w007"], count: 1}}
	h.renewTickets(step, allocator.InTime, planned, h.now)
	requests := h.Take().ConsentRequests
	require.Len(t, requests, 1)
	require.Equal(t, []string{"w007", "w000", "w001", "w002", "w003", "w004"}, requests[0].Workers)
}

// TestOverdueGangRenewsWhereItFits guards against an overdue gang renewing tickets only for the workers with the most
// free capacity, of which some cannot be used: runs failed there, or they may run only a limited number of its tasks.
func TestOverdueGangRenewsWhereItFits(t *testing.T) {
	h := newConsentHarness(t, 10, 4)
	h.submit(&wire.JobStep{Count: 6, CpuMillis: 1000, Gang: true, EstimateMs: 500, MostPerWorker: 1})
	step := h.batch.Job(testJobID).Steps()[0]
	var workers []string
	for i := range 10 {
		workers = append(workers, fmt.Sprintf("w%03d", i))
	}
	timing := h.timings[step.Job()]
	timing.acceptedAt -= time.Minute
	h.timings[step.Job()] = timing
	h.grantTickets(step, h.now, workers...)
	for _, w := range workers[:4] {
		h.sessions[w].failureStreak = unprovenStreak
	}
	h.advance(100 * time.Millisecond)
	require.NotEmpty(t, h.work.ConsentRequests)
	for _, w := range workers[4:] {
		require.Contains(t, h.work.ConsentRequests[0].Workers, w)
	}
}

// TestGangRequestsIdleWorkers guards against a gang waiting for its granted workers while most other workers are idle,
// and against requests whose replies would arrive after the gang's start.
func TestGangRequestsIdleWorkers(t *testing.T) {
	h := newConsentHarness(t, 10, 4)
	h.submit(&wire.JobStep{Count: 2, CpuMillis: 5000, Gang: true, EstimateMs: 20_000})
	step := h.batch.Job(testJobID).Steps()[0]
	callDuration := h.callDuration(step, minWorkersPerGangRequest)
	h.mostCapacityFree = true
	require.True(t, h.needsMoreWorkers(step, allocator.InTime, h.now, callDuration+time.Millisecond))
	require.False(t, h.needsMoreWorkers(step, allocator.InTime, h.now, callDuration))
	h.mostCapacityFree = false
	require.False(t, h.needsMoreWorkers(step, allocator.InTime, h.now, callDuration+time.Millisecond),
		"the gang will meet its objective")
}

// TestLateGangStopsRequesting guards against late gangs delaying those that can still meet their objective: a late gang
// requests no more workers once it would fit several times on those granted.
func TestLateGangStopsRequesting(t *testing.T) {
	h := newConsentHarness(t, 10, 4)
	h.submit(&wire.JobStep{Count: 2, CpuMillis: 5000, Gang: true, EstimateMs: 2000})
	step := h.batch.Job(testJobID).Steps()[0]
	h.grantTickets(step, h.now, "w000", "w001", "w002", "w003", "w004", "w005", "w006")
	require.False(t, h.hasAmpleGrants(step))
	h.grantTickets(step, h.now, "w007")
	require.True(t, h.hasAmpleGrants(step))
}

// TestReservedWorkersAreRequestedLast guards the capacity that a gang reserves: short work with consent for those
// workers would be placed there.
func TestReservedWorkersAreRequestedLast(t *testing.T) {
	h := newConsentHarness(t, 6, 3)
	h.submit(&wire.JobStep{Count: 1, CpuMillis: 1000, EstimateMs: 500})
	step := h.batch.Job(testJobID).Steps()[0]
	for _, name := range []string{"w000", "w001", "w002"} {
		h.sessions[name].reserved = true
	}
	var names []string
	for _, s := range h.unrequestedWorkers(step, h.consentFor(step), 4, h.now) {
		names = append(names, s.incarnation.Worker())
	}
	require.Equal(t, []string{"w003", "w004", "w005", "w000"}, names)
}

// TestBusyServiceIsNotRetriedImmediately guards against repeating a request in every round while the consent service is
// overloaded.
func TestBusyServiceIsNotRetriedImmediately(t *testing.T) {
	h := newConsentHarness(t, 4, 3)
	h.submit(oneTaskStep())
	h.advance(0)
	require.Len(t, h.work.ConsentRequests, 1)
	busy := h.work.ConsentRequests[0]
	h.work.ConsentRequests = nil
	h.Consented(busy, executor.Consent{Busy: true}, nil, h.now)
	h.advance(minRequestInterval / 2)
	require.Empty(t, h.work.ConsentRequests)
	h.advance(minRequestInterval / 2)
	require.Len(t, h.work.ConsentRequests, 1)
}
