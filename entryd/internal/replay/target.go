package replay

import (
	"strconv"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"
	"flamingodrift.example/entryd/internal/retrier"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// send runs a request at a slot that an owner holds. done gives the slot back.
func (r *replay) send(e, owner *replayEntry, q *replayRequest, slot *dispatcher.Slot, done func()) {
	id, err := strconv.Atoi(slot.Target())
	if err != nil {
		panic(err)
	}
	way := delay(owner.id, id)
	started := r.now
	r.after(way, func() {
		r.execute(q, r.targets[id], func(ok bool) {
			r.after(way, func() {
				var failure *dispatcher.Failure
				if !ok {
					failure = &dispatcher.Failure{Reason: reason.TargetUnreachable}
				}
				slot.Report(failure, &wire.Answer{Status: 200}, r.now-started)
				done()
				if !ok {
					r.retry(e, q)
				}
				r.pump(owner)
			})
		})
	})
}

func (r *replay) retry(e *replayEntry, q *replayRequest) {
	may, _ := e.retries.Spend(retrier.Attempt{Number: q.attempt, Idempotent: true})
	if may {
		r.retried++
		q.attempt++
		r.route(e, q)
	}
}

// execute runs a request at a target and reports whether it was answered.
func (r *replay) execute(q *replayRequest, t *replayTarget, done func(ok bool)) {
	if r.trouble == failing && t.id < 5 {
		done(false)
		return
	}
	t.running++
	t.peak = max(t.peak, t.running)
	if !q.ended {
		q.ended = true
		r.served++
		r.waits = append(r.waits, r.now-q.at)
	}
	took := time.Duration(r.rng.ExpFloat64() * float64(replayService))
	if r.trouble == slow && t.id < 5 {
		took *= 10
	}
	r.after(took, func() {
		t.running--
		done(true)
	})
}

// sendUnbounded is the baseline: a target gets every request at once and runs as many as it has slots; the others wait
// there. A failed request is sent to the next target without a budget, three times at most.
func (r *replay) sendUnbounded(e *replayEntry, q *replayRequest, t *replayTarget) {
	way := delay(e.id, t.id)
	r.after(way, func() {
		if r.trouble == failing && t.id < 5 {
			r.after(way, func() {
				if q.attempt < 3 {
					r.retried++
					q.attempt++
					r.route(e, q)
				}
			})
			return
		}
		t.backlog = append(t.backlog, func() {
			r.execute(q, t, func(bool) { r.serveBacklog(t) })
		})
		t.peak = max(t.peak, t.running+len(t.backlog))
		r.serveBacklog(t)
	})
}

func (r *replay) serveBacklog(t *replayTarget) {
	for t.running < replaySlots && len(t.backlog) > 0 {
		first := t.backlog[0]
		t.backlog = t.backlog[1:]
		first()
	}
}
