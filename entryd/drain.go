package main

import (
	"time"
)

const (
	drainPause = 20 * time.Millisecond
	// endTimeout bounds the last beat.
	endTimeout = time.Second
	// replyGrace is how long the reply to a peer may take to be written after its request has ended.
	replyGrace = 200 * time.Millisecond
)

// drain leaves the balancer and the leader's list of entry processes. During notice, requests are still taken, because
// the balancer and the peers learn of it with a delay. Then it waits until no request is in progress, no reply to a peer
// is unsent and the end of every claim is recorded. It returns false when that takes longer than limit.
func (d *daemon) drain(notice, limit time.Duration) bool {
	d.leaving.Store(true)
	d.heartbeater.Leave()
	time.Sleep(notice)
	d.gateway.Close()
	for end := d.clock.Now() + limit; d.clock.Now() < end; time.Sleep(drainPause) {
		if d.gateway.Active() == 0 && d.dispatcher.Busy() == 0 && d.claimer.Pending() == 0 && d.replying.Load() == 0 {
			return true
		}
	}
	return false
}
