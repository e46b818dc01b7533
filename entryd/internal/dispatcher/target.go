package dispatcher

import (
	"sync"

	"flamingodrift.example/core/wire"
)

// target is one owned target. The dispatcher's lock guards all fields except writeLock, connLock and idle; connLock
// guards idle.
type target struct {
	name, service, address, boot string
	state                        *wire.TargetState
	slots, reserved              int
	epoch                        uint64
	formerOwners                 []*wire.FormerOwner
	used                         int
	leaving, retired             bool
	health

	// writeLock is held from the check of the lease until the first bytes of a request are written, so that a process
	// that was paused in between sends at most one request to a target after its lease ended.
	writeLock sync.Mutex

	connLock sync.Mutex
	idle     []*connection
}

func newTarget(o *wire.Ownership) *target {
	return &target{name: o.GetTarget().GetTarget(), health: newHealth()}
}

// replacedBy reports whether an ownership names another process of the target. If the same process is granted again,
// its requests in progress still count.
func (t *target) replacedBy(o *wire.Ownership) bool {
	return t.boot != o.GetTarget().GetBoot() || t.address != o.GetTarget().GetAddress()
}

func (t *target) update(o *wire.Ownership) {
	t.state = o.GetTarget()
	t.service, t.address, t.boot = t.state.GetService(), t.state.GetAddress(), t.state.GetBoot()
	t.slots, t.reserved, t.epoch = int(t.state.GetSlots()), int(o.GetReservedSlots()), o.GetEpoch()
	if connections := int(t.state.GetConnections()); connections > 0 {
		// Each request uses its own connection.
		t.slots = min(t.slots, connections)
	}
	t.formerOwners, t.leaving, t.retired = o.GetFormerOwners(), t.state.GetLeaving(), false
}

func (t *target) retire() {
	t.retired = true
	t.closeIdle()
}

// limit returns the maximum number of requests in progress.
func (t *target) limit() int {
	if t.leaving || t.retired {
		return 0
	}
	return max(t.slots-t.reserved, 0)
}

func (t *target) takeIdle() *connection {
	t.connLock.Lock()
	defer t.connLock.Unlock()
	for len(t.idle) > 0 {
		last := len(t.idle) - 1
		conn := t.idle[last]
		t.idle = t.idle[:last]
		if conn.isReusable() {
			return conn
		}
		conn.close()
	}
	return nil
}

// putIdle keeps a connection for the next request, or closes it if limit connections are idle already.
func (t *target) putIdle(conn *connection, limit int) {
	t.connLock.Lock()
	defer t.connLock.Unlock()
	if len(t.idle) >= limit {
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
