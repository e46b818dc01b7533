package allocator

import "slices"

// reservedPenalty is subtracted from the relative speed of a worker on which a gang has reserved capacity, when a
// demand of priority 0 is placed.
const reservedPenalty = 2.0

// placeIndependentTasks places the tasks of a step one by one, each on the worker with the best score.
func (r *round) placeIndependentTasks(index int) {
	d := &r.demands[index]
	placed := make([]int, len(d.Candidates))
	for i, c := range d.Candidates {
		placed[i] = c.Placed
	}
	blocked := false
	for _, task := range d.Tasks {
		if !d.allows(1) {
			// More workers would not help.
			return
		}
		best, score := -1, 0.0
		lacksConsent := false
		for i, c := range d.Candidates {
			if !r.mayRun(d, task, c, placed[i]) {
				continue
			}
			if !c.HasConsent {
				lacksConsent = true
				continue
			}
			if s := r.score(d, c.Worker); best < 0 || s > score {
				best, score = i, s
			}
		}
		if best < 0 {
			blocked = true
			if lacksConsent && !slices.Contains(r.plan.NeedConsent, index) {
				r.plan.NeedConsent = append(r.plan.NeedConsent, index)
			}
			if len(task.Avoid) == 0 && !task.LastAttempt {
				// A task without restrictions of its own did not fit, so no other task of the step can.
				break
			}
			continue
		}
		placed[best]++
		r.place(index, task.Index, d.Candidates[best].Worker)
	}
	if blocked {
		r.plan.Blocked = append(r.plan.Blocked, index)
	}
}

// mayRun reports whether a task may run on a candidate that has placed tasks of the step.
func (r *round) mayRun(d *Demand, task Task, c Candidate, placed int) bool {
	w := &r.workers[c.Worker]
	if d.MostPerWorker > 0 && placed >= d.MostPerWorker {
		return false
	}
	if w.Unproven && (task.LastAttempt || r.placedOn[c.Worker]) {
		return false
	}
	return !slices.Contains(task.Avoid, c.Worker) && d.Need.FitsIn(r.available(d, c.Worker))
}

// score rates a worker for a demand; higher is better. Fast workers and the rack of the data score higher. Demands of
// priority 0 prefer workers with much free capacity, so that they do not get in the way of gangs. Other demands prefer
// workers with little free capacity, so that whole workers stay free for gangs.
func (r *round) score(d *Demand, worker int) float64 {
	w := &r.workers[worker]
	freeFraction := float64(r.free[worker].CPU()) / float64(max(w.Capacity.CPU(), 1))
	s := w.Speed
	if d.DataRack != "" && w.Rack == d.DataRack {
		s++
	}
	if d.Priority == 0 {
		if len(r.reservations[worker]) > 0 {
			s -= reservedPenalty
		}
		return s + 0.5*freeFraction
	}
	return 0.3*s - 0.5*freeFraction
}
