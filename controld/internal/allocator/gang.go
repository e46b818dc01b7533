package allocator

import (
	"cmp"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/resource"
)

// offer is how many members of a gang fit on a candidate.
type offer struct {
	candidate Candidate
	// fitsNow is how many members fit into the capacity that is available now; limit is how many the candidate may run
	// at most, by its capacity and by MostPerWorker.
	fitsNow, limit int
	// isSecondChoice is set if a member has failed on the candidate or the latest runs there failed.
	isSecondChoice bool
}

// plannedStart is when a waiting gang can start, and how many members each offer would run.
type plannedStart struct {
	startIn time.Duration
	counts  []int
}

// placeGang places all waiting tasks of a gang or none. A gang that has to wait reserves the capacity on which it can
// start earliest, so that small tasks do not take that capacity piece by piece. It preempts less urgent runs where that
// makes it start earlier.
func (r *round) placeGang(index int) {
	d := &r.demands[index]
	r.releaseReservation(index)
	offers, count := r.offers(d), len(d.Tasks)
	if d.OneRack {
		offers = r.bestRack(d, offers)
	}
	consentedNow, totalNow := 0, 0
	for _, o := range offers {
		if o.candidate.HasConsent {
			consentedNow += o.fitsNow
		}
		totalNow += o.fitsNow
	}
	if consentedNow >= count {
		r.placeMembers(index, offers)
		return
	}
	if d.Lateness == Overdue || d.Excess || r.reserving >= r.cfg.MaxReservingGangs {
		r.plan.WaitingGangs = append(r.plan.WaitingGangs,
			WaitingGang{Demand: index, Feasible: totalNow >= count, Shares: sharesNow(offers, count)})
		return
	}
	r.reserving++
	waiting, ok := r.earliestStart(d, offers, false)
	if d.Lateness == InTime && (!ok || waiting.startIn > r.cfg.StopTime) {
		if sooner, possible := r.earliestStart(d, offers, true); possible && (!ok || sooner.startIn < waiting.startIn) {
			waiting, ok = sooner, true
			if sooner.startIn <= r.cfg.StopTime {
				r.preempt(d, offers, sooner)
			}
		}
	}
	shares := waiting.shares(offers)
	r.plan.WaitingGangs = append(r.plan.WaitingGangs,
		WaitingGang{Demand: index, Feasible: ok, StartIn: waiting.startIn, Shares: shares, MayReserve: true})
	if r.mostFree && d.Lateness != InTime && waiting.startIn > lateReservationLead {
		// What is late anyway must not keep idle capacity from gangs that could use it now.
		return
	}
	r.reserve(index, shares, waiting.startIn)
}

// lateReservationLead is how close the start of a gang that is late must be for it to reserve capacity while most of it
// is free.
const lateReservationLead = time.Second

// offers returns the candidates on which at least one member fits: second choices last, fastest workers first.
func (r *round) offers(d *Demand) []offer {
	var offers []offer
	for _, c := range d.Candidates {
		w := &r.workers[c.Worker]
		if slices.ContainsFunc(d.Tasks, func(t Task) bool {
			return w.Unproven && t.ProvenOnly || slices.Contains(t.Avoid, c.Worker)
		}) {
			continue
		}
		limit := int64(len(d.Tasks))
		if d.MostPerWorker > 0 {
			limit = int64(max(0, d.MostPerWorker-c.Placed))
		}
		if limit = min(limit, d.Need.CopiesIn(w.Capacity)); limit > 0 {
			offers = append(offers, offer{
				candidate: c, limit: int(limit), fitsNow: int(min(limit, d.Need.CopiesIn(r.available(d, c.Worker)))),
				isSecondChoice: w.Unproven || slices.ContainsFunc(d.Tasks, func(t Task) bool {
					return slices.Contains(t.FailedOn, c.Worker)
				}),
			})
		}
	}
	// The members of a gang end together, so one slow worker delays all of them.
	slices.SortStableFunc(offers, func(a, b offer) int {
		return cmp.Or(
			compareBools(a.isSecondChoice, b.isSecondChoice),
			cmp.Compare(r.workers[b.candidate.Worker].Speed, r.workers[a.candidate.Worker].Speed),
			cmp.Compare(b.fitsNow, a.fitsNow))
	})
	return offers
}

// availability is how many more members fit on an offer after a time.
type availability struct {
	// offer is an index into the offers.
	offer   int
	startIn time.Duration
	count   int
}

// earliestStart returns the earliest time at which the whole gang fits on the offers, given the expected ends of the
// present runs. With withPreemption it assumes that preemptible runs are stopped now. It returns false when the gang
// never fits on the offers.
func (r *round) earliestStart(d *Demand, offers []offer, withPreemption bool) (plannedStart, bool) {
	var availabilities []availability
	for i, o := range offers {
		availabilities = r.addAvailabilities(availabilities, d, i, o, withPreemption)
	}
	slices.SortStableFunc(availabilities, func(a, b availability) int { return cmp.Compare(a.startIn, b.startIn) })
	s := plannedStart{counts: make([]int, len(offers))}
	missing := len(d.Tasks)
	for _, a := range availabilities {
		more := min(a.count, missing)
		s.counts[a.offer] += more
		s.startIn = a.startIn
		if missing -= more; missing == 0 {
			return s, true
		}
	}
	return plannedStart{}, false
}

// addAvailabilities appends how many members fit on an offer now, and how many more after the end of each present
// run.
func (r *round) addAvailabilities(
	availabilities []availability, d *Demand, index int, o offer, withPreemption bool,
) []availability {
	free := r.unreserved(d, o.candidate.Worker)
	remaining := func(run Run) time.Duration {
		if r.stopped[run.Handle] || withPreemption && mayPreempt(d, run) {
			return min(run.Remaining, r.cfg.StopTime)
		}
		return run.Remaining
	}
	ends := slices.Clone(r.runsOn(o.candidate.Worker))
	slices.SortFunc(ends, func(a, b Run) int { return cmp.Compare(remaining(a), remaining(b)) })
	known := int(min(int64(o.limit), d.Need.CopiesIn(free)))
	if known > 0 {
		availabilities = append(availabilities, availability{offer: index, count: known})
	}
	for _, run := range ends {
		if known == o.limit {
			break
		}
		free = free.Add(run.Need)
		if count := int(min(int64(o.limit), d.Need.CopiesIn(free))); count > known {
			availabilities = append(availabilities,
				availability{offer: index, startIn: remaining(run), count: count - known})
			known = count
		}
	}
	return availabilities
}

// runsOn returns the runs on a worker and caches them for the round.
func (r *round) runsOn(worker int) []Run {
	if r.runs[worker] == nil {
		r.runs[worker] = r.runsOf(worker)
	}
	return r.runs[worker]
}

// unreserved returns the free capacity of a worker minus what gangs of an equal or more urgent priority have reserved.
// It is negative when they have reserved more than is free now.
func (r *round) unreserved(d *Demand, worker int) resource.Vector {
	free := r.free[worker]
	for _, res := range r.reservations[worker] {
		if d.Priority >= res.priority {
			free = free.Sub(res.resources)
		}
	}
	return free
}

// mayPreempt reports whether a demand may preempt a run: a less urgent one, or one that runs on capacity lent by other
// workspaces.
func mayPreempt(d *Demand, run Run) bool {
	return run.Preemptible && (run.Priority > d.Priority || run.Excess && !d.Excess)
}

// bestRack returns the offers of the rack on which the whole gang can start earliest, or all offers when it fits on no
// rack.
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
	var first plannedStart
	for _, name := range names {
		s, ok := r.earliestStart(d, racks[name], d.Lateness == InTime)
		if ok && (!found || cmp.Or(cmp.Compare(s.startIn, first.startIn),
			cmp.Compare(s.secondChoices(racks[name]), first.secondChoices(best))) < 0) {
			best, first, found = racks[name], s, true
		}
	}
	return best
}

// secondChoices returns how many members the planned start would run on second choices.
func (s plannedStart) secondChoices(offers []offer) int {
	count := 0
	for i, members := range s.counts {
		if offers[i].isSecondChoice {
			count += members
		}
	}
	return count
}

// placeMembers places all tasks of a gang, filling the offers with consent in their order.
func (r *round) placeMembers(index int, offers []offer) {
	d := &r.demands[index]
	next := 0
	for _, o := range offers {
		if !o.candidate.HasConsent {
			continue
		}
		for range o.fitsNow {
			if next == len(d.Tasks) {
				return
			}
			r.place(index, d.Tasks[next].Index, o.candidate.Worker)
			next++
		}
	}
}

// shares returns the number of members for each worker of the planned start.
func (s plannedStart) shares(offers []offer) []GangShare {
	var shares []GangShare
	for i, count := range s.counts {
		if count > 0 {
			shares = append(shares, GangShare{Worker: offers[i].candidate.Worker, Count: count})
		}
	}
	return shares
}

// sharesNow returns where a gang would run now if it had every consent; nil when the whole gang does not fit now.
func sharesNow(offers []offer, count int) []GangShare {
	s := plannedStart{counts: make([]int, len(offers))}
	for i, o := range offers {
		s.counts[i] = min(o.fitsNow, count)
		if count -= s.counts[i]; count == 0 {
			return s.shares(offers)
		}
	}
	return nil
}

// reserve reserves capacity for a gang that is expected to start after startIn.
func (r *round) reserve(demand int, shares []GangShare, startIn time.Duration) {
	d := &r.demands[demand]
	for _, s := range shares {
		r.reservations[s.Worker] = append(r.reservations[s.Worker], reservation{
			demand: demand, resources: d.Need.Times(int64(s.Count)), priority: d.Priority, startIn: startIn,
		})
	}
}

// releaseReservation releases the capacity that a gang has reserved in earlier rounds.
func (r *round) releaseReservation(demand int) {
	for _, s := range r.demands[demand].Reserved {
		r.reservations[s.Worker] = slices.DeleteFunc(r.reservations[s.Worker],
			func(res reservation) bool { return res.demand == demand })
	}
}

// preempt stops the runs that must end early for the planned start, and no others.
func (r *round) preempt(d *Demand, offers []offer, s plannedStart) {
	for i, count := range s.counts {
		if count > 0 {
			r.stopRuns(d, offers[i].candidate.Worker, d.Need.Times(int64(count)), s.startIn)
		}
	}
}

// stopRuns stops preemptible runs on a worker until the needed resources are expected to be free by a time.
func (r *round) stopRuns(d *Demand, worker int, needed resource.Vector, by time.Duration) {
	free := r.unreserved(d, worker)
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
		if mayPreempt(d, run) && run.Remaining > by && !r.stopped[run.Handle] {
			free = free.Add(run.Need)
			r.stopped[run.Handle] = true
			r.plan.Preempt = append(r.plan.Preempt, run.Handle)
		}
	}
}
