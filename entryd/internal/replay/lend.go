package replay

import (
	"slices"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"
)

// borrow asks for one slot for each waiting request that no answer is on its way for.
func (r *replay) borrow(e *replayEntry) {
	if e.asked >= len(e.queue) {
		return
	}
	owner, ok := r.mostFree(e)
	if !ok {
		return
	}
	e.asked++
	r.messages += 2
	r.after(delay(e.id, owner.id), func() {
		slot := (*dispatcher.Slot)(nil)
		if len(owner.queue) == 0 {
			slot, _ = owner.d.Acquire("s", r.now)
		}
		until := r.now + loanLease
		free := owner.d.FreeSlots("s")
		r.after(delay(e.id, owner.id), func() {
			e.asked--
			e.learn(owner, free)
			if slot == nil {
				r.borrow(e)
				return
			}
			e.loans = append(e.loans, &loan{slot: slot, owner: owner, until: until, idleAt: r.now})
			r.pump(e)
			r.returnIdle(e)
		})
	})
}

func (e *replayEntry) idleLoan(now time.Duration) *loan {
	for i, l := range e.loans {
		if now < l.until {
			e.loans = append(e.loans[:i], e.loans[i+1:]...)
			return l
		}
	}
	return nil
}

func (r *replay) useLoan(e *replayEntry, q *replayRequest, l *loan) {
	r.send(e, e, q, l.slot, func() {
		l.idleAt = r.now
		e.loans = append(e.loans, l)
		r.pump(e)
		r.returnIdle(e)
	})
}

// returnIdle gives loans back that ended or stay unused for a while.
func (r *replay) returnIdle(e *replayEntry) {
	for _, l := range slices.Clone(e.loans) {
		since := l.idleAt
		r.after(min(loanIdle, max(l.until-r.now, 0)), func() {
			at := slices.Index(e.loans, l)
			if at < 0 || l.idleAt != since {
				return
			}
			e.loans = slices.Delete(e.loans, at, at+1)
			r.messages++
			r.after(delay(e.id, l.owner.id), func() {
				l.slot.Release()
				r.pump(l.owner)
			})
		})
	}
}
