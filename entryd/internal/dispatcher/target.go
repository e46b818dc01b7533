package dispatcher

import (
	"sync"
	"time"

	"flamingodrift.example/core/wire"
)

const (
	// failureWeight is the factor by which a failure lowers a target's weight; a success raises it by recoveryStep.
	failureWeight = 0.5
	recoveryStep  = 0.1
	// probeWeight is the weight below which a target gets only one probe for each interval.
	probeWeight      = 0.1
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 30 * time.Second
)

// target is one owned target. The dispatcher's lock guards all fields but conns and writeLock.
type target struct {
	name, service, address, boot string
	slots, reserved              int
	epoch                        uint64
	used                         int
	leaving, retired             bool

	health        float64
	probeInterval time.Duration
	probeAt       time.Duration

	// writeLock is held from the check of the lease until the head of a request is written, so that a process that was
	// paused in between sends at most one request to a target after its lease ended.
	writeLock sync.Mutex

	connLock sync.Mutex
	idle     []*connection
}

func newTarget(o *wire.Ownership) *target {
	return &target{name: o.GetTarget().GetTarget(), health: 1}
}

func (t *target) replacedBy(o *wire.Ownership) bool {
	return t.retired || t.boot != o.GetTarget().GetBoot() || t.address != o.GetTarget().GetAddress()
}

func (t *target) update(o *wire.Ownership) {
	state := o.GetTarget()
	t.service, t.address, t.boot = state.GetService(), state.GetAddress(), state.GetBoot()
	t.slots, t.reserved, t.epoch = int(state.GetSlots()), int(o.GetReservedSlots()), o.GetEpoch()
	t.leaving = state.GetLeaving()
}

func (t *target) retire() {
	t.retired = true
	t.closeIdle()
}

// limit returns how many requests may be in progress.
func (t *target) limit() int {
	if t.leaving || t.retired {
		return 0
	}
	return max(t.slots-t.reserved, 0)
}

// weight returns the share of requests that the target's health allows now.
func (t *target) weight(now time.Duration) float64 {
	if t.health >= probeWeight {
		return t.health
	}
	if now < t.probeAt || t.used > 0 {
		return 0
	}
	return probeWeight
}

func (t *target) succeeded() {
	t.health = min(t.health+recoveryStep, 1)
	t.probeInterval = 0
}

func (t *target) failed(now time.Duration) {
	t.health *= failureWeight
	if t.health < probeWeight {
		t.probeInterval = min(max(2*t.probeInterval, minProbeInterval), maxProbeInterval)
		t.probeAt = now + t.probeInterval
	}
}

func (t *target) takeIdle() *connection {
	t.connLock.Lock()
	defer t.connLock.Unlock()
	for len(t.idle) > 0 {
		last := len(t.idle) - 1
		conn := t.idle[last]
		t.idle = t.idle[:last]
		if conn.clean() {
			return conn
		}
		conn.close()
	}
	return nil
}

// keepIdle keeps a connection for the next request. There are never more connections than slots.
func (t *target) keepIdle(conn *connection, retired bool) {
	t.connLock.Lock()
	defer t.connLock.Unlock()
	if retired || len(t.idle) >= t.slots {
		conn.close()
		return
	}
	t.idle = append(t.idle, conn)
}

func (t *target) closeIdle() {
	t.connLock.Lock()
	defer t.connLock.Unlock()
	for _, conn := range t.idle {
		conn.close()
	}
	t.idle = nil
}
