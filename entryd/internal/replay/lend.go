package replay

import (
	"slices"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"
)

// borrow requests the loan of one slot, unless there are already as many open loan requests as queued requests.
func (s *simulation) borrow(e *entry) {
	if e.openLoanRequests >= len(e.queue) {
		return
	}
	owner, ok := s.pickPeer(e)
	if !ok {
		return
	}
	e.openLoanRequests++
	s.messages += 2
	s.schedule(networkDelay(e.id, owner.id), func() {
		slot := (*dispatcher.Slot)(nil)
		if len(owner.queue) == 0 {
			slot, _ = owner.dispatcher.Acquire("s", s.now)
		}
		until := s.now + loanDuration
		free := owner.dispatcher.FreeSlots("s")
		s.schedule(networkDelay(e.id, owner.id), func() {
			e.openLoanRequests--
			e.setFreeSlots(owner, free)
			if slot == nil {
				s.borrow(e)
				return
			}
			e.loans = append(e.loans, &loan{slot: slot, owner: owner, until: until, idleAt: s.now})
			s.dispatchQueued(e)
			s.scheduleReturn(e)
		})
	})
}

// idleLoan removes and returns a loan that has not ended, or returns nil.
func (e *entry) idleLoan(now time.Duration) *loan {
	for i, l := range e.loans {
		if now < l.until {
			e.loans = append(e.loans[:i], e.loans[i+1:]...)
			return l
		}
	}
	return nil
}

// sendOnLoan sends a request on a borrowed slot and keeps the loan afterwards.
func (s *simulation) sendOnLoan(e *entry, req *request, l *loan) {
	s.send(e, e, req, l.slot, func() {
		l.idleAt = s.now
		e.loans = append(e.loans, l)
		s.dispatchQueued(e)
		s.scheduleReturn(e)
	})
}

// scheduleReturn schedules the return of each loan that ends or stays unused for loanIdleTimeout.
func (s *simulation) scheduleReturn(e *entry) {
	for _, l := range slices.Clone(e.loans) {
		since := l.idleAt
		s.schedule(min(loanIdleTimeout, max(l.until-s.now, 0)), func() {
			at := slices.Index(e.loans, l)
			if at < 0 || l.idleAt != since {
				return
			}
			e.loans = slices.Delete(e.loans, at, at+1)
			s.messages++
			s.schedule(networkDelay(e.id, l.owner.id), func() {
				l.slot.Release()
				s.dispatchQueued(l.owner)
			})
		})
	}
}
