package replay

import (
	"slices"
	"strconv"
)

// pickPeer returns the peer to try next.
func (s *simulation) pickPeer(e *entry) (*entry, bool) {
	address, ok := e.peers.Pick("s", s.now)
	if !ok {
		return nil, false
	}
	id, err := strconv.Atoi(address)
	return s.entries[id], err == nil
}

// setFreeSlots stores the number of free slots that the owner stated.
func (e *entry) setFreeSlots(owner *entry, free uint32) {
	e.peers.SetFreeSlots(strconv.Itoa(owner.id), "s", int(free))
}

// route handles a request at an entry process according to the rule: it sends, forwards or enqueues it.
func (s *simulation) route(e *entry, req *request) {
	if s.rule == roundRobin {
		e.nextTarget++
		s.sendUnbounded(e, req, s.targets[(e.nextTarget+e.id*7)%targetCount])
		return
	}
	if len(e.queue) == 0 {
		if slot, _ := e.dispatcher.Acquire("s", s.now); slot != nil {
			s.send(e, e, req, slot, func() { slot.Release() })
			return
		}
		if l := e.idleLoan(s.now); l != nil {
			s.sendOnLoan(e, req, l)
			return
		}
	}
	if s.rule == oneOwner && s.forward(e, req, entryCount-1) {
		return
	}
	s.enqueue(e, req)
}

// enqueue queues a request by arrival time, or drops it if its deadline has passed or the queue is full.
func (s *simulation) enqueue(e *entry, req *request) {
	if s.now-req.at >= requestDeadline || len(e.queue) >= maxQueuedRequests {
		return
	}
	at, _ := slices.BinarySearchFunc(e.queue, req, func(a, b *request) int { return int(a.at - b.at) })
	e.queue = slices.Insert(e.queue, at, req)
	req.queuedAt = e
	switch s.rule {
	case lentSlots:
		s.borrow(e)
	case oneOwner:
		s.schedule(requeueInterval, func() {
			if req.queuedAt == e {
				e.queue = slices.DeleteFunc(e.queue, func(other *request) bool { return other == req })
				req.queuedAt = nil
				s.route(e, req)
			}
		})
	}
}

// dispatchQueued assigns free slots and idle loans to queued requests.
func (s *simulation) dispatchQueued(e *entry) {
	for len(e.queue) > 0 {
		req := e.queue[0]
		if s.now-req.at >= requestDeadline {
			e.queue, req.queuedAt = e.queue[1:], nil
			continue
		}
		if slot, _ := e.dispatcher.Acquire("s", s.now); slot != nil {
			e.queue, req.queuedAt = e.queue[1:], nil
			s.send(e, e, req, slot, func() { slot.Release() })
		} else if l := e.idleLoan(s.now); l != nil {
			e.queue, req.queuedAt = e.queue[1:], nil
			s.sendOnLoan(e, req, l)
		} else {
			return
		}
	}
}

// forward sends a request to the peer with the most free slots, and to the next one if that peer has no slot. It tries
// up to the given number of peers and returns false if there was none to try.
func (s *simulation) forward(e *entry, req *request, tries int) bool {
	if tries == 0 || s.now-req.at >= requestDeadline {
		return false
	}
	owner, ok := s.pickPeer(e)
	if !ok {
		return false
	}
	s.messages++
	s.schedule(networkDelay(e.id, owner.id), func() {
		slot, _ := owner.dispatcher.Acquire("s", s.now)
		if slot == nil {
			s.messages++
			s.schedule(networkDelay(e.id, owner.id), func() {
				e.setFreeSlots(owner, 0)
				if !s.forward(e, req, tries-1) {
					s.enqueue(e, req)
					s.dispatchQueued(e)
				}
			})
			return
		}
		s.send(e, owner, req, slot, func() {
			slot.Release()
			s.messages++
			free := owner.dispatcher.FreeSlots("s")
			s.schedule(networkDelay(e.id, owner.id), func() { e.setFreeSlots(owner, free) })
		})
	})
	return true
}
