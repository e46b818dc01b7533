package main

import (
	"time"
)

const (
	drainPollInterval = 20 * time.Millisecond
	// lastBeatTimeout bounds the last heartbeat, which releases the targets.
	lastBeatTimeout = time.Second
	// replyGrace is how long writing the reply to a peer may take after the forwarded request has ended.
	replyGrace = 200 * time.Millisecond
)

// drain reports this process as not ready to the load balancer and as leaving to the leader. For the time notice,
// requests are still accepted, because the load balancer and the peers learn of it with a delay. Then drain waits until
// no request is in progress, no reply to a peer is unsent and every claim is settled. It returns false if that takes
// longer than limit.
func (d *daemon) drain(notice, limit time.Duration) bool {
	d.leaving.Store(true)
	d.heartbeater.Leave()
	time.Sleep(notice)
	d.gateway.Close()
	for deadline := d.clock.Now() + limit; d.clock.Now() < deadline; time.Sleep(drainPollInterval) {
		if d.gateway.Active() == 0 && d.dispatcher.Busy() == 0 && d.claimer.Pending() == 0 && d.replying.Load() == 0 {
			return true
		}
	}
	return false
}
