package estimator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/entryd/internal/estimator"

	"flamingodrift.example/core/wire"
)

func loads(free map[string]uint32) []*wire.PeerLoad {
	var list []*wire.PeerLoad
	for _, address := range []string{"a", "b"} {
		if slots, ok := free[address]; ok {
			list = append(list, &wire.PeerLoad{Address: address, Loads: []*wire.ServiceLoad{{Service: "s", FreeSlots: slots}}})
		}
	}
	return list
}

// Guards against forwarding more requests to a peer than it has free slots, against asking full peers so often that
// messages grow with the overload, and against never asking them again.
func TestPick(t *testing.T) {
	e := estimator.New()
	e.Refresh(1, loads(map[string]uint32{"a": 2, "b": 1}))
	now := time.Second
	var picked []string
	for range 3 {
		address, ok := e.Pick("s", now)
		require.True(t, ok)
		picked = append(picked, address)
	}
	require.ElementsMatch(t, []string{"a", "a", "b"}, picked)
	_, ok := e.Pick("s", now)
	require.False(t, ok, "all seem full and were just asked")
	now += estimator.AskInterval
	for _, want := range []bool{true, true, false} {
		_, ok = e.Pick("s", now)
		require.Equal(t, want, ok, "each full peer is asked once in an interval")
	}
	e.SetFreeSlots("b", "s", 1)
	address, ok := e.Pick("s", now)
	require.True(t, ok)
	require.Equal(t, "b", address)
	_, ok = e.Pick("other", now)
	require.False(t, ok, "no peer has targets of this service")
	e.Refresh(1, loads(map[string]uint32{"a": 9}))
	_, ok = e.Pick("s", now)
	require.False(t, ok, "the loads of this round were taken before")
	e.Refresh(2, loads(map[string]uint32{"a": 9}))
	address, _ = e.Pick("s", now)
	require.Equal(t, "a", address)
}
