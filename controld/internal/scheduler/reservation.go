package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
)

// maxReservationLead is how close the planned start of a gang must be before it reserves capacity. By then most of that
// capacity is free.
const maxReservationLead = time.Second

// updateReservation records the workers on which a gang reserves capacity, or drops its reservation.
func (sc *Scheduler) updateReservation(r *round, step *batch.Step, d *allocator.Demand, w allocator.WaitingGang) {
	if !w.MayReserve || !w.Feasible || d.Lateness != allocator.InTime ||
		len(d.Reserved) == 0 && w.StartIn > maxReservationLead {
		delete(sc.reservations, step)
		return
	}
	shares := r.sessionShares(w.Shares)
	for _, s := range shares {
		s.session.reserved = true
	}
	sc.reservations[step] = shares
}

// sessionShares converts the shares of a planned start from worker indexes to sessions.
func (r *round) sessionShares(planned []allocator.GangShare) []sessionShare {
	shares := make([]sessionShare, 0, len(planned))
	for _, s := range planned {
		shares = append(shares, sessionShare{session: r.sessions[s.Worker], count: s.Count})
	}
	return shares
}

// sessionShare is the number of gang members planned for a worker.
type sessionShare struct {
	session *session
	count   int
}

// reservedShares converts a reservation to the worker indexes of the round, omitting workers that are not in it.
func (r *round) reservedShares(shares []sessionShare) []allocator.GangShare {
	reserved := make([]allocator.GangShare, 0, len(shares))
	for _, s := range shares {
		if r.includes(s.session) {
			reserved = append(reserved, allocator.GangShare{Worker: s.session.index, Count: s.count})
		}
	}
	return reserved
}
