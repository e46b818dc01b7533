package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

const (
	// maxWorkersPerCall is the maximum number of workers in one consent call.
	maxWorkersPerCall = 100
	// maxCallsPerHelper is the maximum number of open calls of one helper; the service refuses further ones.
	maxCallsPerHelper = 32
	// longCallThreshold is the call duration above which a call may delay short jobs' calls at the same helper.
	longCallThreshold = 100 * time.Millisecond
	// shortCallHelperDivisor sets the number of helpers reserved for short calls: one in shortCallHelperDivisor.
	shortCallHelperDivisor = 3
	// helperTimeout is how long after its last heartbeat a helper is still used.
	helperTimeout = 3 * time.Second
	// helperRetention is how long after its last heartbeat a helper's calls in progress are remembered.
	helperRetention = time.Minute
	// ticketExpiryMargin is how long before its expiry a ticket is no longer used, because an order may take that long to
	// arrive.
	ticketExpiryMargin = 150 * time.Millisecond
	// maxCallDelay is the longest time that a consent call may wait at a helper behind earlier calls, for steps that can
	// still meet their objective. Calls for additional workers may wait for maxExtraCallDelay. Late steps only use idle
	// helpers.
	maxCallDelay      = time.Second
	maxExtraCallDelay = 300 * time.Millisecond
	// minRequestInterval is the minimum time between two consent requests for one step.
	minRequestInterval = 250 * time.Millisecond
	// gangCapacityShare is the share of a worker's capacity that a gang can expect to get soon while the cell is busy.
	gangCapacityShare = 0.18
	// minWorkersPerGangRequest is the minimum number of workers requested for a gang. Below it, the call duration hardly
	// depends on the number of workers.
	minWorkersPerGangRequest = 24
	// maxCallsPerStep is the maximum number of concurrent consent calls for one step.
	maxCallsPerStep = 3
	// ticketRenewLead is how long before its planned start, in addition to the call duration, a gang begins to renew its
	// tickets.
	ticketRenewLead = time.Second
	// callTimeoutSlack is added to the expected duration of a call to get its timeout.
	callTimeoutSlack = 1500 * time.Millisecond
	// spareWorkers is the number of workers requested in addition to one per task, since some are full by the time of the
	// reply.
	spareWorkers = 8
	// initialGrantRate is the assumed share of requested workers that are granted, until replies have been observed.
	initialGrantRate = 0.5
)

// consentState is what is known of the consent service's decision on a step. The decision on a worker is final; only
// tickets expire.
type consentState struct {
	granted map[*batch.Incarnation]*ticket
	denied  map[string]bool
	// pending holds the workers named in open calls; openCalls is the number of these calls.
	pending     map[string]bool
	openCalls   int
	requestedAt time.Duration
}

type ticket struct {
	session   *session
	value     string
	expiresAt time.Duration
}

type helper struct {
	address    string
	lastBeatAt time.Duration
	// busyUntil is when the calls assigned to this helper should have finished; the service handles a helper's calls one
	// at a time.
	busyUntil time.Duration
	// openCalls is the number of this leader's calls that are not answered.
	openCalls int
}

// RecordHelperBeat records the heartbeat of a helper, a process that makes consent calls.
func (sc *Scheduler) RecordHelperBeat(beat *wire.HelperBeat, now time.Duration) {
	if beat.GetLeaving() {
		delete(sc.helpers, beat.GetName())
		return
	}
	for name, h := range sc.helpers {
		if now-h.lastBeatAt > helperRetention {
			delete(sc.helpers, name)
		}
	}
	h := sc.helpers[beat.GetName()]
	if h == nil {
		h = &helper{}
		sc.helpers[beat.GetName()] = h
		sc.changed = true
	}
	h.address, h.lastBeatAt = beat.GetAddress(), now
}

// consentFor returns the consent state of a step, creating it if necessary.
func (sc *Scheduler) consentFor(step *batch.Step) *consentState {
	c := sc.consents[step]
	if c == nil {
		c = &consentState{granted: map[*batch.Incarnation]*ticket{}, denied: map[string]bool{}, pending: map[string]bool{}}
		sc.consents[step] = c
	}
	return c
}

// validTicket returns a ticket that is valid at now, or the empty string if there is none or the queue needs none.
func (sc *Scheduler) validTicket(step *batch.Step, incarnation *batch.Incarnation, now time.Duration) string {
	c := sc.consents[step]
	if c == nil || c.granted[incarnation] == nil || now >= c.granted[incarnation].expiresAt {
		return ""
	}
	return c.granted[incarnation].value
}

// invalidateTicket discards the ticket of a step for a worker, so that it is requested again.
func (sc *Scheduler) invalidateTicket(step *batch.Step, worker string) {
	if c := sc.consents[step]; c != nil {
		for incarnation, t := range c.granted {
			if incarnation.Worker() == worker {
				t.expiresAt = 0
			}
		}
	}
}

// requestFirstConsent requests consent for a step without any granted worker. For a wide gang it sends several calls
// concurrently.
func (sc *Scheduler) requestFirstConsent(step *batch.Step, lateness allocator.Lateness, now time.Duration) {
	c := sc.consentFor(step)
	if c.openCalls > 0 || len(c.granted) > 0 || c.requestedAt > 0 && now-c.requestedAt < minRequestInterval {
		return
	}
	wanted := sc.workersToRequest(step)
	for c.openCalls < maxCallsPerStep && wanted > 0 {
		requested := sc.requestConsent(step, sc.unrequestedWorkers(step, c, min(wanted, maxWorkersPerCall), now),
			sc.callDelayLimit(lateness, maxCallDelay), now)
		if requested == 0 {
			return
		}
		wanted -= requested
	}
}

// requestMoreWorkers requests consent for workers that were not requested before.
func (sc *Scheduler) requestMoreWorkers(step *batch.Step, lateness allocator.Lateness, now time.Duration) {
	c := sc.consentFor(step)
	if c.openCalls > 0 || now-c.requestedAt < minRequestInterval {
		return
	}
	sc.requestConsent(step, sc.unrequestedWorkers(step, c, min(sc.workersToRequest(step), maxWorkersPerCall), now),
		sc.callDelayLimit(lateness, maxExtraCallDelay), now)
}

// lateGangCoverage is how many times a late gang must fit on its granted workers, were they idle, before it stops
// requesting more. The gang starts when enough of these workers are idle, and further requests would delay those of
// gangs that can still meet their objective.
const lateGangCoverage = 4

// hasAmpleGrants reports whether the granted workers have much more capacity than the gang needs.
func (sc *Scheduler) hasAmpleGrants(step *batch.Step) bool {
	capacity := int64(0)
	for incarnation := range sc.consentFor(step).granted {
		capacity += step.Need().CopiesIn(incarnation.Capacity())
	}
	return capacity >= int64(lateGangCoverage*step.Waiting())
}

// renewTickets requests consent again for granted workers whose tickets would expire before a reply could arrive: the
// workers of the planned start and some spare ones.
func (sc *Scheduler) renewTickets(
	step *batch.Step, lateness allocator.Lateness, shares []sessionShare, now time.Duration,
) {
	c := sc.consentFor(step)
	kept := sc.sessionsToKeep(step, shares, now)
	duration := sc.callDuration(step, len(kept))
	var expiring []*session
	for _, s := range kept {
		if !c.pending[s.incarnation.Worker()] && now >= c.granted[s.incarnation].expiresAt-duration {
			expiring = append(expiring, s)
		}
	}
	if len(expiring) == 0 || c.openCalls > 0 && now-c.requestedAt < minRequestInterval {
		return
	}
	sc.requestConsent(step, expiring[:min(len(expiring), maxWorkersPerCall)],
		sc.callDelayLimit(lateness, maxCallDelay), now)
}

// ticketCoverage is how many times a gang's waiting tasks must fit on the workers whose tickets are renewed. The spare
// capacity covers runs that end later than expected. A higher value would take the consent service's time from other
// steps, because the service evaluates workers one at a time.
const ticketCoverage = 2

// sessionsToKeep returns the granted workers whose tickets are worth renewing: those of the planned start first, then
// those with the most free capacity. For a gang it stops at ticketCoverage; for any other step it returns all usable
// ones.
func (sc *Scheduler) sessionsToKeep(step *batch.Step, shares []sessionShare, now time.Duration) []*session {
	needed := ticketCoverage * step.Waiting()
	planned := map[*session]int{}
	for _, s := range shares {
		planned[s.session] = s.count
	}
	var usable []*session
	for _, t := range sc.consentFor(step).granted {
		if sc.currentSession(t.session.incarnation) == t.session && sc.usable(t.session, now) {
			usable = append(usable, t.session)
		}
	}
	slices.SortFunc(usable, func(a, b *session) int {
		return cmp.Or(cmp.Compare(planned[b], planned[a]),
			cmp.Compare(b.incarnation.Free().CPU(), a.incarnation.Free().CPU()),
			cmp.Compare(a.incarnation.Worker(), b.incarnation.Worker()))
	})
	for i, s := range usable {
		switch {
		case planned[s] > 0:
			needed -= planned[s]
		case needed <= 0 && step.Spec().GetGang():
			return usable[:i]
		default:
			needed -= int(step.Need().CopiesIn(s.incarnation.Free()))
		}
	}
	return usable
}

// callDelayLimit returns how long a call may wait at a helper. Calls for late steps do not wait, unless most of the
// capacity is free: then the step could start immediately, and few steps that can still meet their objective compete
// for the helpers.
func (sc *Scheduler) callDelayLimit(lateness allocator.Lateness, inTimeLimit time.Duration) time.Duration {
	if lateness == allocator.InTime || sc.mostCapacityFree {
		return inTimeLimit
	}
	return 0
}

// callDuration returns the expected duration of a consent call for a number of workers.
func (sc *Scheduler) callDuration(step *batch.Step, workers int) time.Duration {
	policy := step.Job().Queue().GetConsent()
	return time.Duration((policy.GetCallMs() + policy.GetWorkerMs()*float64(workers)) * float64(time.Millisecond))
}

// requestConsent issues a consent call and returns the number of workers in it, or 0 if no helper is available within
// maxDelay.
func (sc *Scheduler) requestConsent(step *batch.Step, sessions []*session, maxDelay, now time.Duration) int {
	if len(sessions) == 0 {
		return 0
	}
	if maxDelay == 0 && !sc.enoughIdleHelpers(now) {
		return 0
	}
	duration := sc.callDuration(step, len(sessions))
	name := sc.chooseHelper(duration, maxDelay, now)
	if name == "" {
		return 0
	}
	h, c := sc.helpers[name], sc.consentFor(step)
	h.busyUntil = max(h.busyUntil, now) + duration
	h.openCalls++
	workers := make([]string, 0, len(sessions))
	for _, s := range sessions {
		workers = append(workers, s.incarnation.Worker())
		c.pending[s.incarnation.Worker()] = true
	}
	c.openCalls, c.requestedAt = c.openCalls+1, now
	sc.pendingWork.ConsentRequests = append(sc.pendingWork.ConsentRequests, ConsentRequest{
		Helper: name, Address: h.address, Step: step, Workers: workers, Timeout: h.busyUntil - now + callTimeoutSlack,
	})
	return len(workers)
}

// byFreeCapacity returns the usable workers, ordered by descending free capacity. The result is cached for the current
// time.
func (sc *Scheduler) byFreeCapacity(now time.Duration) []*session {
	if sc.sessionsByFreeAt == now && sc.sessionsByFree != nil {
		return sc.sessionsByFree
	}
	sc.sessionsByFree, sc.sessionsByFreeAt = sc.sessionsByFree[:0], now
	for _, s := range sc.sessions {
		if sc.usable(s, now) {
			sc.sessionsByFree = append(sc.sessionsByFree, s)
		}
	}
	slices.SortFunc(sc.sessionsByFree, func(a, b *session) int {
		return cmp.Or(cmp.Compare(b.incarnation.Free().CPU(), a.incarnation.Free().CPU()),
			cmp.Compare(a.incarnation.Worker(), b.incarnation.Worker()))
	})
	return sc.sessionsByFree
}

// unrequestedWorkers returns up to limit eligible workers for which consent was not requested yet. Workers with enough
// unreserved free capacity come first; capacity reserved for a gang counts as used.
func (sc *Scheduler) unrequestedWorkers(step *batch.Step, c *consentState, limit int, now time.Duration) []*session {
	var sessions, rest []*session
	for _, s := range sc.byFreeCapacity(now) {
		if len(sessions) == limit {
			return sessions
		}
		worker := s.incarnation.Worker()
		switch {
		case c.denied[worker] || c.pending[worker] || c.granted[s.incarnation] != nil || !sc.couldRun(step, s):
		case !s.reserved && step.Need().FitsIn(s.incarnation.Free()):
			sessions = append(sessions, s)
		default:
			rest = append(rest, s)
		}
	}
	return append(sessions, rest[:min(len(rest), limit-len(sessions))]...)
}

// workersToRequest returns for how many workers to request consent, based on the queue's grant rate.
func (sc *Scheduler) workersToRequest(step *batch.Step) int {
	waiting := step.Waiting()
	rate := sc.grantRate(step.Job().Queue().GetName())
	if !step.Spec().GetGang() {
		return min(maxWorkersPerCall, int(math.Ceil(float64(waiting+spareWorkers)/rate)))
	}
	capacity := sc.meanCapacity()
	if capacity == 0 {
		return maxWorkersPerCall
	}
	workers := float64(step.Need().Times(int64(waiting)).CPU()) / (gangCapacityShare * capacity)
	return max(minWorkersPerGangRequest, int(math.Ceil(workers/rate)))
}

// meanCapacity returns the mean processor capacity of a worker, in thousandths of a core.
func (sc *Scheduler) meanCapacity() float64 {
	var sum int64
	incarnations := sc.batch.Incarnations()
	for _, incarnation := range incarnations {
		sum += incarnation.Capacity().CPU()
	}
	return float64(sum) / float64(max(1, len(incarnations)))
}

func (sc *Scheduler) grantRate(queue string) float64 {
	if rate, ok := sc.grantRates[queue]; ok {
		return max(rate, 0.05)
	}
	return initialGrantRate
}

// minIdleHelperShare is the share of helpers that must be idle before a late step may request consent.
const minIdleHelperShare = 0.5

// enoughIdleHelpers reports whether enough helpers are idle for requests of late steps.
func (sc *Scheduler) enoughIdleHelpers(now time.Duration) bool {
	idle, live := 0, 0
	for _, h := range sc.helpers {
		if now-h.lastBeatAt >= helperTimeout {
			continue
		}
		live++
		if h.busyUntil <= now {
			idle++
		}
	}
	return float64(idle) >= minIdleHelperShare*float64(live)
}

// chooseHelper returns the helper that becomes free first, or the empty string if the call would wait for longer than
// maxDelay or be one too many. Some helpers are reserved for short calls, so that these never wait behind long ones.
func (sc *Scheduler) chooseHelper(duration, maxDelay, now time.Duration) string {
	names := make([]string, 0, len(sc.helpers))
	for name, h := range sc.helpers {
		if now-h.lastBeatAt < helperTimeout && h.openCalls < maxCallsPerHelper {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if excluded := len(names) / shortCallHelperDivisor; duration >= longCallThreshold {
		names = names[excluded:]
	}
	best := ""
	for _, name := range names {
		if best == "" || max(sc.helpers[name].busyUntil, now) < max(sc.helpers[best].busyUntil, now) {
			best = name
		}
	}
	if best != "" && sc.helpers[best].busyUntil-now > maxDelay {
		// Further calls would only queue up or be rejected by the service; the step requests again in a later round.
		return ""
	}
	return best
}

// Consented handles the reply to a ConsentRequest.
func (sc *Scheduler) Consented(request ConsentRequest, answer executor.Consent, err error, now time.Duration) {
	if h := sc.helpers[request.Helper]; h != nil {
		// A helper that left and came back counts its calls anew.
		h.openCalls = max(0, h.openCalls-1)
	}
	c := sc.consents[request.Step]
	if c == nil {
		return
	}
	c.openCalls--
	for _, worker := range request.Workers {
		delete(c.pending, worker)
	}
	sc.changed = true
	if err != nil || answer.Busy {
		if h := sc.helpers[request.Helper]; h != nil && err != nil {
			// Makes the next request use another helper.
			h.busyUntil = max(h.busyUntil, now+callTimeoutSlack)
		}
		logger.ConsentFailed.Log(sc.cfg.Logger, "job", request.Step.Job().ID(), "step", request.Step.Number(),
			"helper", request.Helper, "busy", answer.Busy, "error", errorText(err))
		c.requestedAt = now
		return
	}
	for _, worker := range request.Workers {
		c.denied[worker] = true
	}
	if sc.timings[request.Step.Job()].matches != nil && sc.possibleTasks(request.Step) == 0 {
		// The refusals have made the step impossible, so its work is not ahead of others any more.
		sc.backlog.valid = false
	}
	queue := request.Step.Job().Queue()
	valid := time.Duration(queue.GetConsent().GetValidMs()) * time.Millisecond
	for _, t := range answer.Tickets {
		delete(c.denied, t.Worker)
		if incarnation := sc.batch.Incarnation(t.Worker); incarnation != nil {
			c.granted[incarnation] = &ticket{
				session: sc.sessionFor(incarnation, now), value: t.Ticket, expiresAt: now + valid - ticketExpiryMargin,
			}
		}
	}
	const weight = 0.1
	granted := float64(len(answer.Tickets)) / float64(len(request.Workers))
	sc.grantRates[queue.GetName()] = (1-weight)*sc.grantRate(queue.GetName()) + weight*granted
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
