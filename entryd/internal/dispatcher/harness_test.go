package dispatcher_test

import (
	"fmt"
	"sync/atomic"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"

	"flamingodrift.example/core/wire"
)

// simulated is a clock that tests set.
type simulated struct{ now atomic.Int64 }

func (s *simulated) Now() time.Duration { return time.Duration(s.now.Load()) }

func (s *simulated) advance(by time.Duration) { s.now.Add(int64(by)) }

const service = "chairbook"

func owned(name, address string, slots, reserved uint32) *wire.Ownership {
	return &wire.Ownership{
		Target: &wire.TargetState{Target: name, Service: service, Address: address, Slots: slots, Connections: 64, Boot: "b1"},
		Epoch:  1, ReservedSlots: reserved,
	}
}

// granted returns a Dispatcher with targets t0, t1, ... at the addresses and a lease of an hour.
func granted(slots uint32, addresses ...string) (*dispatcher.Dispatcher, *simulated) {
	clock := &simulated{}
	d := dispatcher.New(dispatcher.Config{Clock: clock})
	var list []*wire.Ownership
	for i, address := range addresses {
		list = append(list, owned(fmt.Sprint("t", i), address, slots, 0))
	}
	d.ApplyGrant(dispatcher.Grant{Until: time.Hour, Changed: true, Owned: list})
	return d, clock
}
