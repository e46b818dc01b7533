package foreman

import (
	"cmp"
	"math"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/core/courier"
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
	// mostWaiting is how much work a helper may have before it gets no more calls.
	mostWaiting = time.Second
	// renewAhead is how long before its end a ticket may be renewed: the longest calls take that long.
	renewAhead = 700 * time.Millisecond
	// askPause is the shortest time between two questions for one step.
	askPause = 250 * time.Millisecond
	// consentSlack is added to the expected length of a call before it is given up.
	consentSlack = 1500 * time.Millisecond
	// spareWorkers are asked for beside one worker for each task, as some are full by the time of the answer.
	spareWorkers = 4
	// firstGranted is the share of workers that are expected to be granted before anything was learned.
	firstGranted = 0.5
)

// consent is what is known of the outside service's decision on a step. Which workers may run it does not change; only
// tickets run out.
type consent struct {
	granted map[*batch.Life]*ticket
	denied  map[string]bool
	asking  bool
	askedAt time.Duration
}

type ticket struct {
	value string
	until time.Duration
}

type helper struct {
	address string
	heardAt time.Duration
	// busyUntil is when the calls given to this helper should have ended; the service takes them one by one.
	busyUntil time.Duration
}

// Helper takes note of a process that makes calls for consent.
func (f *Foreman) Helper(beat *wire.HelperBeat, now time.Duration) {
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

func (f *Foreman) consent(step *batch.Step) *consent {
	c := f.consents[step]
	if c == nil {
		c = &consent{granted: map[*batch.Life]*ticket{}, denied: map[string]bool{}}
		f.consents[step] = c
	}
	return c
}

// ticket returns a ticket that is valid now; empty when the queue needs none or there is none.
func (f *Foreman) ticket(step *batch.Step, life *batch.Life, now time.Duration) string {
	c := f.consents[step]
	if c == nil || c.granted[life] == nil || now >= c.granted[life].until {
		return ""
	}
	return c.granted[life].value
}

func (f *Foreman) dropTicket(step *batch.Step, worker string) {
	if c := f.consents[step]; c != nil {
		for life, t := range c.granted {
			if life.Worker() == worker {
				t.until = 0
			}
		}
	}
}

// ask looks for consent for a step: for workers that were not asked before, or again for granted ones whose tickets have
// run out.
func (f *Foreman) ask(step *batch.Step, policy *wire.ConsentPolicy, renew bool, now time.Duration) {
	c := f.consent(step)
	if c.asking || c.askedAt > 0 && now-c.askedAt < askPause {
		return
	}
	workers := f.workersToAsk(step, c, renew, now)
	if len(workers) == 0 {
		return
	}
	length := time.Duration((policy.GetCallMs() + policy.GetWorkerMs()*float64(len(workers))) * float64(time.Millisecond))
	name := f.chooseHelper(length, now)
	if name == "" {
		return
	}
	h := f.helpers[name]
	h.busyUntil = max(h.busyUntil, now) + length
	c.asking, c.askedAt = true, now
	f.out.Asks = append(f.out.Asks, Ask{
		Helper: name, Address: h.address, Step: step, Workers: workers, Timeout: h.busyUntil - now + consentSlack,
	})
}

// workersToAsk returns the workers with the most room that could take the step.
func (f *Foreman) workersToAsk(step *batch.Step, c *consent, renew bool, now time.Duration) []string {
	var sessions []*session
	for _, s := range f.sessions {
		if !f.usable(s, now) || !suits(step, s.life) || c.denied[s.life.Worker()] {
			continue
		}
		if granted := c.granted[s.life]; renew != (granted != nil) || granted != nil && now < granted.until-renewAhead {
			continue
		}
		sessions = append(sessions, s)
	}
	slices.SortFunc(sessions, func(a, b *session) int {
		return cmp.Or(cmp.Compare(b.life.Free().CPU(), a.life.Free().CPU()), cmp.Compare(a.life.Worker(), b.life.Worker()))
	})
	sessions = sessions[:min(len(sessions), f.askCount(step, renew))]
	workers := make([]string, 0, len(sessions))
	for _, s := range sessions {
		workers = append(workers, s.life.Worker())
	}
	return workers
}

func (f *Foreman) askCount(step *batch.Step, renew bool) int {
	if step.Spec().GetGang() || renew {
		return mostAsked
	}
	waiting := 0
	for _, t := range step.Tasks() {
		if t.Waiting() {
			waiting++
		}
	}
	share := f.grantedShare(step.Job().Queue().GetName())
	return min(mostAsked, int(math.Ceil(float64(waiting+spareWorkers)/share)))
}

func (f *Foreman) grantedShare(queue string) float64 {
	if share, ok := f.shares[queue]; ok {
		return max(share, 0.05)
	}
	return firstGranted
}

// chooseHelper returns the helper that is free first. Some helpers are kept for short calls, so that these never wait
// behind long ones.
func (f *Foreman) chooseHelper(length, now time.Duration) string {
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
	if best != "" && f.helpers[best].busyUntil-now > mostWaiting {
		// More calls would only wait, or be rejected by the service; the most urgent steps ask again soon.
		return ""
	}
	return best
}

// Consented takes in the answer to an Ask.
func (f *Foreman) Consented(a Ask, answer courier.Consent, err error, now time.Duration) {
	c := f.consents[a.Step]
	if c == nil {
		return
	}
	c.asking = false
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
		if life := f.batch.Life(t.Worker); life != nil {
			c.granted[life] = &ticket{value: t.Ticket, until: now + valid - ticketMargin}
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
