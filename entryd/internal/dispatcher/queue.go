package dispatcher

import (
	"context"
	"sort"
	"time"

	"flamingodrift.example/core/reason"
)

// Ticket is a request's position in the queue of its service. It keeps the position over several calls of Wait. The
// zero value belongs to a request that has not waited yet.
type Ticket struct {
	order uint64
	// granted receives a slot, or nil if an older request took the position in a full queue.
	granted chan *Slot
}

// queue has the requests of one service that wait for a slot, oldest first.
type queue struct {
	waiting []*Ticket
}

// Wait queues for a slot until the context ends, then returns the reason why there was none. At most limit requests of
// a service wait; if the queue is full, the youngest is refused with QueueFull.
func (d *Dispatcher) Wait(ctx context.Context, service string, limit int, ticket *Ticket) (*Slot, reason.Reason) {
	if ctx.Err() != nil {
		return nil, reason.DeadlineExceeded
	}
	q, slot, why := d.enqueue(service, limit, ticket)
	if slot != nil || why == reason.QueueFull {
		return slot, why
	}
	select {
	case slot = <-ticket.granted:
	case <-ctx.Done():
		var waiting bool
		if slot, waiting = d.cancelWait(q, ticket); waiting {
			return nil, why
		}
	}
	if slot == nil {
		return nil, reason.QueueFull
	}
	return slot, reason.None
}

func (d *Dispatcher) enqueue(service string, limit int, ticket *Ticket) (*queue, *Slot, reason.Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	q := d.queues[service]
	if q == nil {
		q = &queue{}
		d.queues[service] = q
	}
	if ticket.order == 0 {
		d.lastOrder++
		ticket.order = d.lastOrder
	}
	d.dispatchWaiting(service, q, now)
	slot, why := (*Slot)(nil), reason.NoFreeSlot
	if len(q.waiting) == 0 || ticket.order < q.waiting[0].order {
		if slot, why = d.acquire(service, now); slot != nil {
			return q, slot, reason.None
		}
	}
	if !q.insert(ticket, limit) {
		return q, nil, reason.QueueFull
	}
	return q, nil, why
}

// insert adds a ticket in order. In a full queue it replaces the youngest ticket if that is younger, else it returns
// false.
func (q *queue) insert(ticket *Ticket, limit int) bool {
	if last := len(q.waiting) - 1; len(q.waiting) >= limit {
		if last < 0 || q.waiting[last].order < ticket.order {
			return false
		}
		q.waiting[last].granted <- nil
		q.waiting = q.waiting[:last]
	}
	ticket.granted = make(chan *Slot, 1)
	at := sort.Search(len(q.waiting), func(i int) bool { return q.waiting[i].order > ticket.order })
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[at+1:], q.waiting[at:])
	q.waiting[at] = ticket
	return true
}

// cancelWait removes a request from the queue and reports whether it was still waiting. If it was not, cancelWait
// returns what it was granted in the meantime.
func (d *Dispatcher) cancelWait(q *queue, ticket *Ticket) (slot *Slot, waiting bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, waiting := range q.waiting {
		if waiting == ticket {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return nil, true
		}
	}
	return <-ticket.granted, false
}

// dispatchWaiting assigns free slots to queued requests.
func (d *Dispatcher) dispatchWaiting(service string, q *queue, now time.Duration) {
	for len(q.waiting) > 0 {
		slot, _ := d.acquire(service, now)
		if slot == nil {
			return
		}
		q.waiting[0].granted <- slot
		q.waiting[0] = nil
		q.waiting = q.waiting[1:]
	}
}
