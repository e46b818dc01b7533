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
	// mostAsked is how many workers one call for consent may name.
	mostAsked = 100
	// longCall is the length from which a call could hold up those of short jobs at the same helper.
	longCall = 100 * time.Millisecond
	// shortShare is the inverse of the share of helpers that make no long calls.
	shortShare = 3
	// helperSilence is how long a helper may be silent.
	helperSilence = 3 * time.Second
	// ticketMargin is how long before its end a ticket is no longer used: an order may take that long.
	ticketMargin = 150 * time.Millisecond
	// mostWaiting is how much work a helper may have before it gets no more calls for steps that can be in time; for more
	// workers than were asked at first it is moreWaiting, and late steps take what is idle.
	mostWaiting = time.Second
	moreWaiting = 300 * time.Millisecond
	// askPause is the shortest time between two questions for one step.
	askPause = 250 * time.Millisecond
	// gangShare is the share of a worker's room that a gang may hope for soon, while the cell is busy.
	gangShare = 0.3
	// fewestAsked is how many workers are asked for a gang at least: the length of a call hardly depends on so few.
	fewestAsked = 24
	// mostCalls bounds the calls that are open for one step.
	mostCalls = 3
	// renewBefore is how long before its start, over the length of a call, a gang begins to keep its tickets.
	renewBefore = time.Second
	// consentSlack is added to the expected length of a call before it is given up.
	consentSlack = 1500 * time.Millisecond
	// spareWorkers are asked for beside one worker for each task, as some are full by the time of the answer.
	spareWorkers = 8
	// firstGranted is the share of workers that are expected to be granted before anything was learned.
	firstGranted = 0.5
)

// consent is what is known of the outside service's decision on a step. Which workers may run it does not change; only
// tickets run out.
type consent struct {
	granted map[*batch.Incarnation]*ticket
	denied  map[string]bool
	// pending are the workers that open calls name, and calls is the number of these calls.
	pending map[string]bool
	calls   int
	askedAt time.Duration
}

type ticket struct {
	session *session
	value   string
	until   time.Duration
}

type helper struct {
	address string
	heardAt time.Duration
	// busyUntil is when the calls given to this helper should have ended; the service takes them one by one.
	busyUntil time.Duration
}

// RecordHelperBeat takes note of a process that makes calls for consent.
func (f *Scheduler) RecordHelperBeat(beat *wire.HelperBeat, now time.Duration) {
	if beat.GetLeaving() {
		delete(f.helpers, beat.GetName())
		return
	}
	h := f.helpers[beat.GetName()]
	if h == nil {
		h = &helper{}
		f.helpers[beat.GetName()] = h
		f.changed = true
	}
	h.address, h.heardAt = beat.GetAddress(), now
}

func (f *Scheduler) consent(step *batch.Step) *consent {
	c := f.consents[step]
	if c == nil {
		c = &consent{granted: map[*batch.Incarnation]*ticket{}, denied: map[string]bool{}, pending: map[string]bool{}}
		f.consents[step] = c
	}
	return c
}

// ticket returns a ticket that is valid now; empty when the queue needs none or there is none.
func (f *Scheduler) ticket(step *batch.Step, life *batch.Incarnation, now time.Duration) string {
	c := f.consents[step]
	if c == nil || c.granted[life] == nil || now >= c.granted[life].until {
		return ""
	}
	return c.granted[life].value
}

func (f *Scheduler) dropTicket(step *batch.Step, worker string) {
	if c := f.consents[step]; c != nil {
		for life, t := range c.granted {
			if life.Worker() == worker {
				t.until = 0
			}
		}
	}
}

// askFirst asks for a step for which nothing is known yet. For a wide gang several calls go out at a time.
func (f *Scheduler) askFirst(step *batch.Step, lateness allocator.Lateness, now time.Duration) {
	c := f.consent(step)
	if c.calls > 0 || len(c.granted) > 0 || c.askedAt > 0 && now-c.askedAt < askPause {
		return
	}
	wanted := f.askCount(step)
	for c.calls < mostCalls && wanted > 0 {
		asked := f.ask(step, f.newWorkers(step, c, min(wanted, mostAsked), now), f.patience(lateness, mostWaiting), now)
		if asked == 0 {
			return
		}
		wanted -= asked
	}
}

// askMore asks for workers beyond those that were asked before.
func (f *Scheduler) askMore(step *batch.Step, lateness allocator.Lateness, now time.Duration) {
	c := f.consent(step)
	if c.calls > 0 || now-c.askedAt < askPause {
		return
	}
	f.ask(step, f.newWorkers(step, c, min(f.askCount(step), mostAsked), now), f.patience(lateness, moreWaiting), now)
}

// lateCover is how many times over a late gang should fit on the workers that were granted to it, were they idle: it starts
// when enough of them are, and more questions would delay those of gangs that can still be in time.
const lateCover = 4

// wellCovered reports whether the workers granted to a gang have much more room than it needs.
func (f *Scheduler) wellCovered(step *batch.Step) bool {
	room := int64(0)
	for life := range f.consent(step).granted {
		room += step.Need().CopiesIn(life.Capacity())
	}
	return room >= int64(lateCover*step.Waiting())
}

// renewTickets asks again for the granted workers whose tickets end before an answer could come: for those that hold the
// waiting tasks by the plan, and for some more.
func (f *Scheduler) renewTickets(step *batch.Step, lateness allocator.Lateness, shares []gathered, now time.Duration) {
	c := f.consent(step)
	kept := f.keptTickets(step, shares, now)
	ahead := f.callLength(step, len(kept))
	var ending []*session
	for _, s := range kept {
		if !c.pending[s.life.Worker()] && now >= c.granted[s.life].until-ahead {
			ending = append(ending, s)
		}
	}
	if len(ending) == 0 || c.calls > 0 && now-c.askedAt < askPause {
		return
	}
	f.ask(step, ending[:min(len(ending), mostAsked)], f.patience(lateness, mostWaiting), now)
}

// ticketCover is how many times over a step's tasks should fit on the workers whose tickets are kept. The room for one more
// set answers runs that end later than expected. More would take the outside service's time from other steps: it judges
// workers one by one.
const ticketCover = 2

// keptTickets returns the granted workers whose tickets a step should keep: those of its planned start, then those with the
// most room.
func (f *Scheduler) keptTickets(step *batch.Step, shares []gathered, now time.Duration) []*session {
	needed := ticketCover * step.Waiting()
	planned := map[*session]int{}
	for _, s := range shares {
		planned[s.session] = s.count
	}
	var usable []*session
	for _, t := range f.consent(step).granted {
		if f.present(t.session.life) == t.session && f.usable(t.session, now) {
			usable = append(usable, t.session)
		}
	}
	slices.SortFunc(usable, func(a, b *session) int {
		return cmp.Or(cmp.Compare(planned[b], planned[a]), cmp.Compare(b.life.Free().CPU(), a.life.Free().CPU()),
			cmp.Compare(a.life.Worker(), b.life.Worker()))
	})
	for i, s := range usable {
		switch {
		case planned[s] > 0:
			needed -= planned[s]
		case needed <= 0 && step.Spec().GetGang():
			return usable[:i]
		default:
			needed -= int(step.Need().CopiesIn(s.life.Free()))
		}
	}
	return usable
}

// patience is how long a call may wait at a helper. Late steps make no call wait, except while most of the room is free:
// then they could start at once, and there is little that could still be in time.
func (f *Scheduler) patience(lateness allocator.Lateness, inTime time.Duration) time.Duration {
	if lateness == allocator.InTime || f.mostlyFree {
		return inTime
	}
	return 0
}

func (f *Scheduler) callLength(step *batch.Step, workers int) time.Duration {
	policy := step.Job().Queue().GetConsent()
	return time.Duration((policy.GetCallMs() + policy.GetWorkerMs()*float64(workers)) * float64(time.Millisecond))
}

// ask makes a call for workers and returns how many it names; 0 when no helper is free soon.
func (f *Scheduler) ask(step *batch.Step, sessions []*session, patience, now time.Duration) int {
	if len(sessions) == 0 {
		return 0
	}
	if patience == 0 && !f.mostlyIdle(now) {
		return 0
	}
	length := f.callLength(step, len(sessions))
	name := f.chooseHelper(length, patience, now)
	if name == "" {
		return 0
	}
	h, c := f.helpers[name], f.consent(step)
	h.busyUntil = max(h.busyUntil, now) + length
	workers := make([]string, 0, len(sessions))
	for _, s := range sessions {
		workers = append(workers, s.life.Worker())
		c.pending[s.life.Worker()] = true
	}
	c.calls, c.askedAt = c.calls+1, now
	f.out.ConsentRequests = append(f.out.ConsentRequests, ConsentRequest{
		Helper: name, Address: h.address, Step: step, Workers: workers, Timeout: h.busyUntil - now + consentSlack,
	})
	return len(workers)
}

// roomiest returns the usable workers, those with the most room first. The order is worked out once for each moment.
func (f *Scheduler) roomiest(now time.Duration) []*session {
	if f.orderedAt == now && f.ordered != nil {
		return f.ordered
	}
	f.ordered, f.orderedAt = f.ordered[:0], now
	for _, s := range f.sessions {
		if f.usable(s, now) {
			f.ordered = append(f.ordered, s)
		}
	}
	slices.SortFunc(f.ordered, func(a, b *session) int {
		return cmp.Or(cmp.Compare(b.life.Free().CPU(), a.life.Free().CPU()), cmp.Compare(a.life.Worker(), b.life.Worker()))
	})
	return f.ordered
}

// newWorkers returns up to most workers that could take a step and were not asked before. Room that a gang waits for is no
// better than none.
func (f *Scheduler) newWorkers(step *batch.Step, c *consent, most int, now time.Duration) []*session {
	var sessions, rest []*session
	for _, s := range f.roomiest(now) {
		if len(sessions) == most {
			return sessions
		}
		worker := s.life.Worker()
		switch {
		case c.denied[worker] || c.pending[worker] || c.granted[s.life] != nil || !suits(step, s.life):
		case !s.held && step.Need().FitsIn(s.life.Free()):
			sessions = append(sessions, s)
		default:
			rest = append(rest, s)
		}
	}
	return append(sessions, rest[:min(len(rest), most-len(sessions))]...)
}

// askCount returns how many workers a step should be asked for, by the share that is usually granted.
func (f *Scheduler) askCount(step *batch.Step) int {
	waiting := step.Waiting()
	share := f.grantedShare(step.Job().Queue().GetName())
	if !step.Spec().GetGang() {
		return min(mostAsked, int(math.Ceil(float64(waiting+spareWorkers)/share)))
	}
	room := f.meanRoom()
	if room == 0 {
		return mostAsked
	}
	workers := float64(step.Need().Times(int64(waiting)).CPU()) / (gangShare * room)
	return max(fewestAsked, int(math.Ceil(workers/share)))
}

// meanRoom returns the mean processors of a worker, in thousandths.
func (f *Scheduler) meanRoom() float64 {
	var sum int64
	lives := f.batch.Incarnations()
	for _, life := range lives {
		sum += life.Capacity().CPU()
	}
	return float64(sum) / float64(max(1, len(lives)))
}

func (f *Scheduler) grantedShare(queue string) float64 {
	if share, ok := f.shares[queue]; ok {
		return max(share, 0.05)
	}
	return firstGranted
}

// idleShare is the share of the helpers that must be idle for a question of a late step.
const idleShare = 0.5

// mostlyIdle reports whether helpers are idle enough for questions of late steps.
func (f *Scheduler) mostlyIdle(now time.Duration) bool {
	idle := 0
	for _, h := range f.helpers {
		if h.busyUntil <= now {
			idle++
		}
	}
	return float64(idle) >= idleShare*float64(len(f.helpers))
}

// chooseHelper returns the helper that is free first; empty when the call would wait for longer than its patience. Some
// helpers are kept for short calls, so that these never wait behind long ones.
func (f *Scheduler) chooseHelper(length, patience, now time.Duration) string {
	names := make([]string, 0, len(f.helpers))
	for name, h := range f.helpers {
		if now-h.heardAt < helperSilence {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if kept := len(names) / shortShare; length >= longCall {
		names = names[kept:]
	}
	best := ""
	for _, name := range names {
		if best == "" || max(f.helpers[name].busyUntil, now) < max(f.helpers[best].busyUntil, now) {
			best = name
		}
	}
	if best != "" && f.helpers[best].busyUntil-now > patience {
		// More calls would only wait, or be rejected by the service; the step asks again in a later round.
		return ""
	}
	return best
}

// Consented takes in the answer to a ConsentRequest.
func (f *Scheduler) Consented(a ConsentRequest, answer executor.Consent, err error, now time.Duration) {
	c := f.consents[a.Step]
	if c == nil {
		return
	}
	c.calls--
	for _, worker := range a.Workers {
		delete(c.pending, worker)
	}
	f.changed = true
	if err != nil || answer.Busy {
		if h := f.helpers[a.Helper]; h != nil && err != nil {
			// Another helper is asked next.
			h.busyUntil = max(h.busyUntil, now+consentSlack)
		}
		logger.ConsentFailed.Log(f.cfg.Logger, "job", a.Step.Job().ID(), "step", a.Step.Number(), "helper", a.Helper,
			"busy", answer.Busy, "error", errorText(err))
		c.askedAt = now
		return
	}
	for _, worker := range a.Workers {
		c.denied[worker] = true
	}
	queue := a.Step.Job().Queue()
	valid := time.Duration(queue.GetConsent().GetValidMs()) * time.Millisecond
	for _, t := range answer.Tickets {
		delete(c.denied, t.Worker)
		if life := f.batch.Incarnation(t.Worker); life != nil {
			c.granted[life] = &ticket{session: f.session(life, now), value: t.Ticket, until: now + valid - ticketMargin}
		}
	}
	const weight = 0.1
	share := float64(len(answer.Tickets)) / float64(len(a.Workers))
	f.shares[queue.GetName()] = (1-weight)*f.grantedShare(queue.GetName()) + weight*share
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
