package allocator

import "slices"

// reservedPenalty is subtracted from the relative speed of a worker on which a gang has reserved capacity, when a
// demand of priority 0 is placed.
const reservedPenalty = 2.0

// preference orders the workers that a task may use. What makes another worker the better choice never excludes the last
// one.
type preference int

const (
	preferred preference = iota
	// failedThere is for a worker on which the task has failed.
	failedThere
	// lastResort is for a worker that the task uses only after all other demands of the round: an unproven one for a last
	// attempt, or one whose headroom the task needs.
	lastResort
	unsuitable
)

// postponedTasks are tasks of a demand that only fit on workers of last resort. placed holds, by candidate, how many tasks
// of the step it has.
type postponedTasks struct {
	demand int
	tasks  []Task
	placed []int
}

// placeIndependentTasks places the tasks of a step one by one, each on the worker with the best score.
func (r *round) placeIndependentTasks(index int) {
	d := &r.demands[index]
	placed := make([]int, len(d.Candidates))
	for i, c := range d.Candidates {
		placed[i] = c.Placed
	}
	r.placeTasks(postponedTasks{demand: index, tasks: d.Tasks, placed: placed}, false)
}

// placeTasks places tasks of a step. Without withLastResort, it postpones those for which only a worker of last resort is
// left.
func (r *round) placeTasks(p postponedTasks, withLastResort bool) {
	d := &r.demands[p.demand]
	postponed := postponedTasks{demand: p.demand, placed: p.placed}
	for i, task := range p.tasks {
		if !d.allows(1) {
			// More workers would not help.
			break
		}
		c := r.choose(d, task, p.placed)
		// If a task without restrictions of its own does not fit, no other task of the step does.
		isUnrestricted := len(task.Avoid) == 0 && !task.LastAttempt
		switch {
		case c.candidate < 0:
			r.recordBlocked(p.demand, c.lacksConsent)
		case withLastResort || c.preference < lastResort:
			p.placed[c.candidate]++
			r.place(p.demand, task.Index, d.Candidates[c.candidate].Worker)
			continue
		case isUnrestricted:
			postponed.tasks = append(postponed.tasks, p.tasks[i:]...)
		default:
			postponed.tasks = append(postponed.tasks, task)
		}
		if isUnrestricted {
			break
		}
	}
	if len(postponed.tasks) > 0 {
		r.postponed = append(r.postponed, postponed)
	}
}

// recordBlocked records that a task of a demand did not fit.
func (r *round) recordBlocked(demand int, lacksConsent bool) {
	if !slices.Contains(r.plan.Blocked, demand) {
		r.plan.Blocked = append(r.plan.Blocked, demand)
	}
	if lacksConsent && !slices.Contains(r.plan.NeedConsent, demand) {
		r.plan.NeedConsent = append(r.plan.NeedConsent, demand)
	}
}

// choice is the best candidate for a task; candidate is -1 if there is none with consent.
type choice struct {
	candidate  int
	preference preference
	score      float64
	// lacksConsent is set if the task would fit on a candidate without consent.
	lacksConsent bool
}

// choose returns the most preferred candidate for a task, and among several the one with the best score.
func (r *round) choose(d *Demand, task Task, placed []int) choice {
	best := choice{candidate: -1, preference: unsuitable}
	for i, c := range d.Candidates {
		p := r.preference(d, task, c, placed[i])
		if p == unsuitable {
			continue
		}
		if !c.HasConsent {
			best.lacksConsent = true
			continue
		}
		if p > best.preference {
			continue
		}
		if s := r.score(d, c.Worker); p < best.preference || s > best.score {
			best.candidate, best.preference, best.score = i, p, s
		}
	}
	return best
}

// preference returns how a task rates a candidate that has placed tasks of the step.
func (r *round) preference(d *Demand, task Task, c Candidate, placed int) preference {
	w := &r.workers[c.Worker]
	if d.MostPerWorker > 0 && placed >= d.MostPerWorker {
		return unsuitable
	}
	if w.Unproven && (task.ProvenOnly || r.placedOn[c.Worker]) || slices.Contains(task.Avoid, c.Worker) {
		return unsuitable
	}
	isLastResort := w.Unproven && task.LastAttempt
	if !d.Need.FitsIn(r.available(d, c.Worker)) {
		if !r.mayUseHeadroom(d) || !d.Need.FitsIn(r.unclaimed(d, c.Worker)) {
			return unsuitable
		}
		isLastResort = true
	}
	switch {
	case isLastResort:
		return lastResort
	case slices.Contains(task.FailedOn, c.Worker):
		return failedThere
	default:
		return preferred
	}
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
