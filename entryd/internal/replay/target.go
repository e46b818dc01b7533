package replay

import (
	"strconv"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"
	"flamingodrift.example/entryd/internal/retrier"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// send sends a request on a slot of an owner's target. done is called once to release the slot.
func (s *simulation) send(e, owner *entry, req *request, slot *dispatcher.Slot, done func()) {
	id, err := strconv.Atoi(slot.Target())
	if err != nil {
		panic(err)
	}
	latency := networkDelay(owner.id, id)
	started := s.now
	s.schedule(latency, func() {
		s.execute(req, s.targets[id], func(ok bool) {
			s.schedule(latency, func() {
				var failure *dispatcher.Failure
				if !ok {
					failure = &dispatcher.Failure{Reason: reason.TargetUnreachable}
				}
				slot.Report(failure, &wire.Answer{Status: 200}, s.now-started)
				done()
				if !ok {
					s.retry(e, req)
				}
				s.dispatchQueued(owner)
			})
		})
	})
}

// retry routes a failed request again if the retry budget allows it.
func (s *simulation) retry(e *entry, req *request) {
	may, _ := e.retries.Spend(retrier.Attempt{Number: req.attempt, Idempotent: true})
	if may {
		s.retried++
		req.attempt++
		s.route(e, req)
	}
}

// execute runs a request at a target; done receives whether it was answered.
func (s *simulation) execute(req *request, t *target, done func(ok bool)) {
	if s.fault == failing && t.id < 5 {
		done(false)
		return
	}
	t.running++
	t.peak = max(t.peak, t.running)
	if !req.served {
		req.served = true
		s.served++
		s.waits = append(s.waits, s.now-req.at)
	}
	serviceTime := time.Duration(s.rng.ExpFloat64() * float64(meanServiceTime))
	if s.fault == slow && t.id < 5 {
		serviceTime *= 10
	}
	s.schedule(serviceTime, func() {
		t.running--
		done(true)
	})
}

// sendUnbounded sends a request by the baseline rule: a target receives every request at once, runs as many as it has
// slots and keeps the others in a backlog. A failed request is sent to the next target without a retry budget, in up to
// three attempts.
func (s *simulation) sendUnbounded(e *entry, req *request, t *target) {
	latency := networkDelay(e.id, t.id)
	s.schedule(latency, func() {
		if s.fault == failing && t.id < 5 {
			s.schedule(latency, func() {
				if req.attempt < 3 {
					s.retried++
					req.attempt++
					s.route(e, req)
				}
			})
			return
		}
		t.backlog = append(t.backlog, func() {
			s.execute(req, t, func(bool) { s.serveBacklog(t) })
		})
		t.peak = max(t.peak, t.running+len(t.backlog))
		s.serveBacklog(t)
	})
}

func (s *simulation) serveBacklog(t *target) {
	for t.running < slotsPerTarget && len(t.backlog) > 0 {
		first := t.backlog[0]
		t.backlog = t.backlog[1:]
		first()
	}
}
