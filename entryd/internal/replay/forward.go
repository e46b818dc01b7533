package replay

import (
	"slices"
	"strconv"
)

// mostFree returns the peer to ask next.
func (r *replay) mostFree(e *replayEntry) (*replayEntry, bool) {
	address, ok := e.peers.Pick("s", r.now)
	if !ok {
		return nil, false
	}
	id, err := strconv.Atoi(address)
	return r.entries[id], err == nil
}

func (e *replayEntry) learn(owner *replayEntry, free uint32) {
	e.peers.SetFreeSlots(strconv.Itoa(owner.id), "s", int(free))
}

func (r *replay) route(e *replayEntry, q *replayRequest) {
	if r.rule == roundRobin {
		e.next++
		r.sendUnbounded(e, q, r.targets[(e.next+e.id*7)%replayTargets])
		return
	}
	if len(e.queue) == 0 {
		if slot, _ := e.d.Acquire("s", r.now); slot != nil {
			r.send(e, e, q, slot, func() { slot.Release() })
			return
		}
		if l := e.idleLoan(r.now); l != nil {
			r.useLoan(e, q, l)
			return
		}
	}
	if r.rule == oneOwner && r.forward(e, q, replayEntries-1) {
		return
	}
	r.enqueue(e, q)
}

func (r *replay) enqueue(e *replayEntry, q *replayRequest) {
	if r.now-q.at >= replayDeadline || len(e.queue) >= replayQueue {
		return
	}
	at, _ := slices.BinarySearchFunc(e.queue, q, func(a, b *replayRequest) int { return int(a.at - b.at) })
	e.queue = slices.Insert(e.queue, at, q)
	q.queuedAt = e
	switch r.rule {
	case lentSlots:
		r.borrow(e)
	case oneOwner:
		r.after(requeue, func() {
			if q.queuedAt == e {
				e.queue = slices.DeleteFunc(e.queue, func(other *replayRequest) bool { return other == q })
				q.queuedAt = nil
				r.route(e, q)
			}
		})
	}
}

// pump gives free slots to waiting requests.
func (r *replay) pump(e *replayEntry) {
	for len(e.queue) > 0 {
		q := e.queue[0]
		if r.now-q.at >= replayDeadline {
			e.queue, q.queuedAt = e.queue[1:], nil
			continue
		}
		if slot, _ := e.d.Acquire("s", r.now); slot != nil {
			e.queue, q.queuedAt = e.queue[1:], nil
			r.send(e, e, q, slot, func() { slot.Release() })
		} else if l := e.idleLoan(r.now); l != nil {
			e.queue, q.queuedAt = e.queue[1:], nil
			r.useLoan(e, q, l)
		} else {
			return
		}
	}
}

// forward sends a request to the peer with most free slots, and to the next one when that took nothing.
func (r *replay) forward(e *replayEntry, q *replayRequest, tries int) bool {
	if tries == 0 || r.now-q.at >= replayDeadline {
		return false
	}
	owner, ok := r.mostFree(e)
	if !ok {
		return false
	}
	r.messages++
	r.after(delay(e.id, owner.id), func() {
		slot, _ := owner.d.Acquire("s", r.now)
		if slot == nil {
			r.messages++
			r.after(delay(e.id, owner.id), func() {
				e.learn(owner, 0)
				if !r.forward(e, q, tries-1) {
					r.enqueue(e, q)
					r.pump(e)
				}
			})
			return
		}
		r.send(e, owner, q, slot, func() {
			slot.Release()
			r.messages++
			free := owner.d.FreeSlots("s")
			r.after(delay(e.id, owner.id), func() { e.learn(owner, free) })
		})
	})
	return true
}
