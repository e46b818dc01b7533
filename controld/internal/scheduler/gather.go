package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/batch"
)

// gatherWithin is how soon a gang must be able to start to begin gathering room: by then most of it is there.
const gatherWithin = time.Second

// gather takes note of where a gang is going to run, once it has begun to gather room.
func (f *Scheduler) gather(r *round, step *batch.Step, d *allocator.Demand, w allocator.WaitingGang) {
	if !w.MayReserve || !w.Feasible || d.Lateness != allocator.InTime || len(d.Reserved) == 0 && w.StartIn > gatherWithin {
		delete(f.gathering, step)
		return
	}
	shares := r.sessionsOf(w.Shares)
	for _, s := range shares {
		s.session.held = true
	}
	f.gathering[step] = shares
}

// sessionsOf returns the sessions of a planned start.
func (r *round) sessionsOf(planned []allocator.GangShare) []gathered {
	shares := make([]gathered, 0, len(planned))
	for _, s := range planned {
		shares = append(shares, gathered{session: r.sessions[s.Worker], count: s.Count})
	}
	return shares
}

// gathered is how many members of a gang are going to run on a worker.
type gathered struct {
	session *session
	count   int
}

// held returns the room that a gang holds, by the workers of the round.
func (r *round) held(shares []gathered) []allocator.GangShare {
	held := make([]allocator.GangShare, 0, len(shares))
	for _, s := range shares {
		if r.has(s.session) {
			held = append(held, allocator.GangShare{Worker: s.session.index, Count: s.count})
		}
	}
	return held
}
