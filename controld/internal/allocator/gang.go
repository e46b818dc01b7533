package allocator

import (
	"cmp"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/resource"
)

// offer is how many members of a gang a worker could hold.
type offer struct {
	candidate Candidate
	// now fits at once, and limit is how many the step may have on the worker.
	now, limit int
}

// start is a plan for a gang that has to wait: when it could start and how many members each offer would hold.
type start struct {
	in    time.Duration
	slots []int
}

// placeGang places all waiting tasks of a gang or none. A gang that has to wait holds the room on which it can start
// first, so that small tasks do not take that room one by one, and stops less urgent runs where it starts earlier so.
func (r *round) placeGang(index int) {
	d := &r.demands[index]
	r.release(index)
	offers, count := r.offers(d), len(d.Tasks)
	if d.OneRack {
		offers = r.bestRack(d, offers)
	}
	allowed, now := 0, 0
	for _, o := range offers {
		if o.candidate.HasConsent {
			allowed += o.now
		}
		now += o.now
	}
	if allowed >= count {
		r.fillGang(index, offers)
		return
	}
	if d.Lateness == Overdue || r.planned >= r.cfg.MaxReservingGangs {
		r.plan.WaitingGangs = append(r.plan.WaitingGangs, WaitingGang{Demand: index, Feasible: now >= count, Shares: sharesNow(offers, count)})
		return
	}
	r.planned++
	waiting, ok := r.earliest(d, offers, false)
	if d.Lateness == InTime && (!ok || waiting.in > r.cfg.StopTime) {
		if sooner, possible := r.earliest(d, offers, true); possible && (!ok || sooner.in < waiting.in) {
			waiting, ok = sooner, true
			if sooner.in <= r.cfg.StopTime {
				r.preempt(d, offers, sooner)
			}
		}
	}
	shares := waiting.shares(offers)
	r.plan.WaitingGangs = append(r.plan.WaitingGangs, WaitingGang{Demand: index, Feasible: ok, StartIn: waiting.in, Shares: shares, MayReserve: true})
	r.hold(index, shares, waiting.in)
}

func (r *round) offers(d *Demand) []offer {
	var offers []offer
	for _, c := range d.Candidates {
		w := &r.workers[c.Worker]
		if w.Unproven || slices.ContainsFunc(d.Tasks, func(t Task) bool { return slices.Contains(t.Avoid, c.Worker) }) {
			continue
		}
		limit := int64(len(d.Tasks))
		if d.MostPerWorker > 0 {
			limit = int64(max(0, d.MostPerWorker-c.Placed))
		}
		if limit = min(limit, d.Need.CopiesIn(w.Capacity)); limit > 0 {
			offers = append(offers, offer{
				candidate: c, limit: int(limit), now: int(min(limit, d.Need.CopiesIn(r.usable(d, c.Worker)))),
			})
		}
	}
	// Members end together, so a slow worker slows all of them.
	slices.SortStableFunc(offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(r.workers[b.candidate.Worker].Speed, r.workers[a.candidate.Worker].Speed), cmp.Compare(b.now, a.now))
	})
	return offers
}

// vacancy is room that a worker has from a time on.
type vacancy struct {
	offer int
	in    time.Duration
	slots int
}

// earliest returns the first time at which the offers hold the whole gang, by when the present runs should end.
func (r *round) earliest(d *Demand, offers []offer, reclaim bool) (start, bool) {
	var vacancies []vacancy
	for i, o := range offers {
		vacancies = r.addVacancies(vacancies, d, i, o, reclaim)
	}
	slices.SortStableFunc(vacancies, func(a, b vacancy) int { return cmp.Compare(a.in, b.in) })
	s := start{slots: make([]int, len(offers))}
	missing := len(d.Tasks)
	for _, v := range vacancies {
		more := min(v.slots, missing)
		s.slots[v.offer] += more
		s.in = v.in
		if missing -= more; missing == 0 {
			return s, true
		}
	}
	return start{}, false
}

func (r *round) addVacancies(vacancies []vacancy, d *Demand, index int, o offer, reclaim bool) []vacancy {
	free := r.unheld(d, o.candidate.Worker)
	rest := func(run Run) time.Duration {
		if r.stopped[run.Handle] || reclaim && reclaimable(d, run) {
			return min(run.Remaining, r.cfg.StopTime)
		}
		return run.Remaining
	}
	ends := slices.Clone(r.runsOn(o.candidate.Worker))
	slices.SortFunc(ends, func(a, b Run) int { return cmp.Compare(rest(a), rest(b)) })
	known := int(min(int64(o.limit), d.Need.CopiesIn(free)))
	if known > 0 {
		vacancies = append(vacancies, vacancy{offer: index, slots: known})
	}
	for _, run := range ends {
		if known == o.limit {
			break
		}
		free = free.Add(run.Need)
		if slots := int(min(int64(o.limit), d.Need.CopiesIn(free))); slots > known {
			vacancies = append(vacancies, vacancy{offer: index, in: rest(run), slots: slots - known})
			known = slots
		}
	}
	return vacancies
}

// runsOn returns the runs on a worker.
func (r *round) runsOn(worker int) []Run {
	if r.runs[worker] == nil {
		r.runs[worker] = r.runsOf(worker)
	}
	return r.runs[worker]
}

// unheld returns the free room of a worker less what other gangs hold, which may be more than is free now.
func (r *round) unheld(d *Demand, worker int) resource.Vector {
	free := r.free[worker]
	for _, h := range r.holds[worker] {
		if d.Priority >= h.priority {
			free = free.Sub(h.room)
		}
	}
	return free
}

func reclaimable(d *Demand, run Run) bool { return run.Reclaimable && run.Priority > d.Priority }

// bestRack keeps the offers of the rack that can hold the gang first; without such a rack it keeps all.
func (r *round) bestRack(d *Demand, offers []offer) []offer {
	racks := map[string][]offer{}
	var names []string
	for _, o := range offers {
		rack := r.workers[o.candidate.Worker].Rack
		if racks[rack] == nil {
			names = append(names, rack)
		}
		racks[rack] = append(racks[rack], o)
	}
	best, found := offers, false
	var first time.Duration
	for _, name := range names {
		if s, ok := r.earliest(d, racks[name], d.Lateness == InTime); ok && (!found || s.in < first) {
			best, first, found = racks[name], s.in, true
		}
	}
	return best
}

func (r *round) fillGang(index int, offers []offer) {
	d := &r.demands[index]
	next := 0
	for _, o := range offers {
		if !o.candidate.HasConsent {
			continue
		}
		for range o.now {
			if next == len(d.Tasks) {
				return
			}
			r.place(index, d.Tasks[next].Index, o.candidate.Worker)
			next++
		}
	}
}

// shares returns the workers of a planned start.
func (s start) shares(offers []offer) []GangShare {
	var shares []GangShare
	for i, slots := range s.slots {
		if slots > 0 {
			shares = append(shares, GangShare{Worker: offers[i].candidate.Worker, Count: slots})
		}
	}
	return shares
}

// sharesNow returns where a gang would run if only consent were missing; nil when there is no room for all of it.
func sharesNow(offers []offer, count int) []GangShare {
	s := start{slots: make([]int, len(offers))}
	for i, o := range offers {
		s.slots[i] = min(o.now, count)
		if count -= s.slots[i]; count == 0 {
			return s.shares(offers)
		}
	}
	return nil
}

// hold keeps room for a gang that should start in a while.
func (r *round) hold(demand int, shares []GangShare, in time.Duration) {
	d := &r.demands[demand]
	for _, s := range shares {
		r.holds[s.Worker] = append(r.holds[s.Worker], hold{
			demand: demand, room: d.Need.Times(int64(s.Count)), priority: d.Priority, in: in,
		})
	}
}

// release gives up the room that a gang holds since an earlier round.
func (r *round) release(demand int) {
	for _, s := range r.demands[demand].Reserved {
		r.holds[s.Worker] = slices.DeleteFunc(r.holds[s.Worker], func(h hold) bool { return h.demand == demand })
	}
}

// preempt stops as few runs as the planned start needs.
func (r *round) preempt(d *Demand, offers []offer, s start) {
	for i, slots := range s.slots {
		if slots > 0 {
			r.stopRuns(d, offers[i].candidate.Worker, d.Need.Times(int64(slots)), s.in)
		}
	}
}

// stopRuns stops runs on a worker until the needed room is free by a time.
func (r *round) stopRuns(d *Demand, worker int, needed resource.Vector, by time.Duration) {
	free := r.unheld(d, worker)
	runs := r.runsOn(worker)
	for _, run := range runs {
		if run.Remaining <= by || r.stopped[run.Handle] {
			free = free.Add(run.Need)
		}
	}
	for _, run := range runs {
		if needed.FitsIn(free) {
			return
		}
		if reclaimable(d, run) && run.Remaining > by && !r.stopped[run.Handle] {
			free = free.Add(run.Need)
			r.stopped[run.Handle] = true
			r.plan.Preempt = append(r.plan.Preempt, run.Handle)
		}
	}
}
