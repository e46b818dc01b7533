package claim

import "flamingodrift.example/core/wire"

// withdrawals holds the most recently withdrawn claim ids in a ring buffer of MaxWithdrawn entries.
type withdrawals struct {
	ids  map[string]bool
	ring []string
	next int
}

func newWithdrawals() *withdrawals { return &withdrawals{ids: map[string]bool{}} }

func (w *withdrawals) has(id string) bool { return w.ids[id] }

func (w *withdrawals) add(id string) {
	if id == "" || w.ids[id] {
		return
	}
	w.ids[id] = true
	if len(w.ring) < MaxWithdrawn {
		w.ring = append(w.ring, id)
		return
	}
	delete(w.ids, w.ring[w.next])
	w.ring[w.next] = id
	w.next = (w.next + 1) % MaxWithdrawn
}

// state returns the ids for a snapshot, the oldest first.
func (w *withdrawals) state() []*wire.ClaimEntry {
	var states []*wire.ClaimEntry
	for i := range w.ring {
		states = append(states, &wire.ClaimEntry{
			State:   wire.ClaimState_CLAIM_STATE_WITHDRAWN,
			Request: &wire.ClaimRequest{ClaimId: w.ring[(w.next+i)%len(w.ring)]},
		})
	}
	return states
}
