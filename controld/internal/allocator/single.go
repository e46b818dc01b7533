package allocator

import "slices"

// heldPenalty is how much slower a worker counts for urgent work while a gang waits for its room.
const heldPenalty = 2.0

// placeSingles gives each task of a step its own worker, one by one.
func (r *round) placeSingles(index int) {
	d := &r.demands[index]
	holding := make([]int, len(d.Candidates))
	for i, c := range d.Candidates {
		holding[i] = c.Placed
	}
	blocked := false
	for _, task := range d.Tasks {
		best, score := -1, 0.0
		renewable := false
		for i, c := range d.Candidates {
			if !r.mayHold(d, task, c, holding[i]) {
				continue
			}
			if !c.HasConsent {
				renewable = true
				continue
			}
			if s := r.score(d, c.Worker); best < 0 || s > score {
				best, score = i, s
			}
		}
		if best < 0 {
			blocked = true
			if renewable && !slices.Contains(r.plan.NeedConsent, index) {
				r.plan.NeedConsent = append(r.plan.NeedConsent, index)
			}
			if len(task.Avoid) == 0 && !task.LastAttempt {
				// Where this task finds no room, none of the others does.
				break
			}
			continue
		}
		holding[best]++
		r.place(index, task.Index, d.Candidates[best].Worker)
	}
	if blocked {
		r.plan.Blocked = append(r.plan.Blocked, index)
	}
}

func (r *round) mayHold(d *Demand, task Task, c Candidate, holding int) bool {
	w := &r.workers[c.Worker]
	if d.MostPerWorker > 0 && holding >= d.MostPerWorker {
		return false
	}
	if w.Unproven && (task.LastAttempt || r.probing[c.Worker]) {
		return false
	}
	return !slices.Contains(task.Avoid, c.Worker) && d.Need.FitsIn(r.usable(d, c.Worker))
}

// score prefers fast workers and the rack of the data. Urgent work goes where most is free, so that it disturbs no gang;
// other work goes where least is free, so that whole workers stay free for gangs.
func (r *round) score(d *Demand, worker int) float64 {
	w := &r.workers[worker]
	share := float64(r.free[worker].CPU()) / float64(max(w.Capacity.CPU(), 1))
	s := w.Speed
	if d.DataRack != "" && w.Rack == d.DataRack {
		s++
	}
	if d.Priority == 0 {
		if len(r.holds[worker]) > 0 {
			s -= heldPenalty
		}
		return s + 0.5*share
	}
	return 0.3*s - 0.5*share
}
