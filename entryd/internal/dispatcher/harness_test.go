package dispatcher_test

import (
	"fmt"
	"sync/atomic"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"

	"flamingodrift.example/core/wire"
)

// fakeClock is a clock that tests advance.
type fakeClock struct{ now atomic.Int64 }

func (s *fakeClock) Now() time.Duration { return time.Duration(s.now.Load()) }

func (s *fakeClock) advance(by time.Duration) { s.now.Add(int64(by)) }

const service = "chairbook"

func ownership(name, address string, slots, reserved uint32) *wire.Ownership {
	return &wire.Ownership{
		Target: &wire.TargetState{Target: name, Service: service, Address: address, Slots: slots, Connections: 64, Boot: "b1"},
		Epoch:  1, ReservedSlots: reserved,
	}
}

// newGranted returns a Dispatcher with targets t0, t1, ... at the addresses and a lease of one hour.
func newGranted(slots uint32, addresses ...string) (*dispatcher.Dispatcher, *fakeClock) {
	clock := &fakeClock{}
	d := dispatcher.New(dispatcher.Config{Clock: clock})
	var list []*wire.Ownership
	for i, address := range addresses {
		list = append(list, ownership(fmt.Sprint("t", i), address, slots, 0))
	}
	d.ApplyGrant(dispatcher.Grant{Until: time.Hour, Changed: true, Owned: list})
	return d, clock
}
