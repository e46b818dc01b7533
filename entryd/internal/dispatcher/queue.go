package dispatcher

import (
	"context"

	"flamingodrift.example/core/reason"
)

// queue holds the requests of one service that wait for a slot, the oldest first.
type queue struct {
	waiting []chan *Slot
}

// Wait queues for a slot until the context ends. At most limit requests of a service wait.
func (d *Dispatcher) Wait(ctx context.Context, service string, limit int) (*Slot, reason.Reason) {
	d.mu.Lock()
	slot, why := d.acquire(service, d.cfg.Clock.Now())
	if slot != nil {
		d.mu.Unlock()
		return slot, reason.None
	}
	if why == reason.LeaseEnded {
		d.mu.Unlock()
		return nil, why
	}
	q := d.queues[service]
	if q == nil {
		q = &queue{}
		d.queues[service] = q
	}
	if len(q.waiting) >= limit {
		d.mu.Unlock()
		return nil, reason.QueueFull
	}
	turn := make(chan *Slot, 1)
	q.waiting = append(q.waiting, turn)
	d.mu.Unlock()
	select {
	case slot := <-turn:
		return slot, reason.None
	case <-ctx.Done():
		return d.leave(q, turn)
	}
}

// leave takes a request out of the queue; a slot that was handed over meanwhile is given back.
func (d *Dispatcher) leave(q *queue, turn chan *Slot) (*Slot, reason.Reason) {
	d.mu.Lock()
	for i, waiting := range q.waiting {
		if waiting == turn {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	d.mu.Unlock()
	select {
	case slot := <-turn:
		slot.Release()
	default:
	}
	return nil, reason.DeadlineExceeded
}

// wake hands free slots to waiting requests.
func (d *Dispatcher) wake(service string, q *queue) {
	for len(q.waiting) > 0 {
		slot, _ := d.acquire(service, d.cfg.Clock.Now())
		if slot == nil {
			return
		}
		q.waiting[0] <- slot
		q.waiting = q.waiting[1:]
	}
}
