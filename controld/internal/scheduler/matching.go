package scheduler

import (
	"cmp"
	"slices"
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/matcher"
	"flamingodrift.example/core/wire"
)

// jobMatches holds which workers could run the steps of a job.
type jobMatches struct {
	version uint64
	steps   []*matcher.Match
	// possible says for each step whether workers could run it and the steps that it depends on.
	possible []bool
	// consideredAt holds when each step was last chosen for a round in which not all waiting steps had a place.
	consideredAt []time.Duration
	// waitsSince holds since when each step waits, as far as this leader knows; 0 if it does not.
	waitsSince []time.Duration
}

// updateMatcher replaces the matcher when workers have come, gone or changed, or queues may have another pool. All jobs
// without a possible step are examined again in the next round.
func (sc *Scheduler) updateMatcher() {
	version, config := sc.batch.WorkersVersion(), sc.batch.Config()
	if sc.matcher != nil && sc.workersVersion == version && sc.matchedConfig == config {
		return
	}
	workers := make([]matcher.Worker, 0, len(sc.batch.Incarnations()))
	for worker, incarnation := range sc.batch.Incarnations() {
		if incarnation.Draining() {
			continue
		}
		report := incarnation.Report()
		workers = append(workers, matcher.Worker{
			Name: worker, Pool: report.GetPool(), Labels: report.GetLabels(), Capacity: incarnation.Capacity(),
		})
	}
	slices.SortFunc(workers, func(a, b matcher.Worker) int { return cmp.Compare(a.Name, b.Name) })
	isSame := sc.matcher != nil && sc.matchedConfig == config && slices.EqualFunc(workers, sc.matchedWorkers, matcher.Worker.Equal)
	sc.workersVersion, sc.matchedConfig = version, config
	if isSame {
		// A worker has started again and can run what it could before.
		return
	}
	sc.matchVersion++
	sc.matchedWorkers, sc.matcher = workers, matcher.New(workers)
	for _, s := range sc.sessions {
		s.group = sc.matcher.GroupOf(s.incarnation.Worker())
	}
	sc.examineImpossibleJobs()
}

// requirement returns what a step of a job in a queue requires of workers.
func requirement(queue *wire.Queue, step *wire.JobStep) matcher.Requirement {
	r := matcher.Requirement{Pool: queue.GetPool(), Label: step.GetLabel(), Need: batch.Need(step), Together: 1}
	if step.GetGang() {
		r.Together, r.MostPerWorker = int(step.GetCount()), int(step.GetMostPerWorker())
	}
	return r
}

// matchJob returns which workers could run the steps of a job that is not stored yet, and for each step whether workers
// could run it and the steps that it depends on.
func (sc *Scheduler) matchJob(queue *wire.Queue, job *wire.SubmittedJob) (steps []*matcher.Match, possible []bool) {
	sc.updateMatcher()
	for _, step := range job.GetSteps() {
		match := sc.matcher.Match(requirement(queue, step))
		ok := match.Possible()
		for _, before := range step.GetAfter() {
			ok = ok && possible[before]
		}
		steps, possible = append(steps, match), append(possible, ok)
	}
	return steps, possible
}

// matchesOf returns which workers could run the steps of an active job.
func (sc *Scheduler) matchesOf(j *batch.Job) *jobMatches {
	sc.updateMatcher()
	m := sc.timings[j].matches
	if m == nil {
		m = &jobMatches{}
	}
	sc.updateMatches(m, j)
	return m
}

// updateMatches brings the matches of a job up to date with the matcher.
func (sc *Scheduler) updateMatches(m *jobMatches, j *batch.Job) {
	if m.version == sc.matchVersion {
		return
	}
	m.version, m.steps, m.possible = sc.matchVersion, m.steps[:0], m.possible[:0]
	for _, step := range j.Steps() {
		match := sc.matcher.Match(requirement(j.Queue(), step.Spec()))
		ok := match.Possible()
		for _, before := range step.Spec().GetAfter() {
			ok = ok && (m.possible[before] || j.Steps()[before].Done())
		}
		m.steps, m.possible = append(m.steps, match), append(m.possible, ok)
	}
}

// couldRun reports whether a worker could run a task of a step if it were idle.
func (sc *Scheduler) couldRun(step *batch.Step, s *session) bool {
	return sc.matchesOf(step.Job()).steps[step.Number()].Set().Has(s.group)
}

// possibleTasks returns how many of the waiting tasks of a step some worker could run if it were idle. The consent
// service may have refused a step on all workers that match.
func (sc *Scheduler) possibleTasks(step *batch.Step) int {
	return sc.possibleTasksIn(sc.matchesOf(step.Job()), step)
}

// possibleTasksIn is possibleTasks for the matches of the step's job.
func (sc *Scheduler) possibleTasksIn(m *jobMatches, step *batch.Step) int {
	waiting := step.Waiting()
	if waiting == 0 || !m.possible[step.Number()] {
		return 0
	}
	for _, number := range step.Spec().GetAfter() {
		// The service may have refused an earlier step.
		if before := step.Job().Steps()[number]; before.Waiting() > 0 && sc.possibleTasksIn(m, before) == 0 {
			return 0
		}
	}
	c := sc.consents[step]
	if c == nil || len(c.denied) == 0 {
		return waiting
	}
	set := m.steps[step.Number()].Set()
	if step.Spec().GetGang() {
		if !sc.gangFits(step, set, func(worker string) bool { return c.denied[worker] }) {
			return 0
		}
		return waiting
	}
	if sc.isRefusedEverywhere(step, set) {
		return 0
	}
	return waiting
}

// isRefusedEverywhere reports whether the consent service has refused all workers that could run a step. Its refusals are
// final.
func (sc *Scheduler) isRefusedEverywhere(step *batch.Step, set *matcher.Set) bool {
	c := sc.consents[step]
	if c == nil || len(c.denied) < set.Workers() {
		return false
	}
	return allWorkers(set, func(worker string) bool { return c.denied[worker] })
}

// isRefused reports whether the consent service has refused a step on a worker.
func (sc *Scheduler) isRefused(step *batch.Step, worker string) bool {
	c := sc.consents[step]
	return c != nil && c.denied[worker]
}

func allWorkers(set *matcher.Set, property func(worker string) bool) bool {
	for _, g := range set.Groups() {
		for _, worker := range g.Workers() {
			if !property(worker) {
				return false
			}
		}
	}
	return true
}

// gangFits reports whether a gang fits on the workers of a set, if they are idle, without those that are excluded.
func (sc *Scheduler) gangFits(step *batch.Step, set *matcher.Set, isExcluded func(worker string) bool) bool {
	r := requirement(step.Job().Queue(), step.Spec())
	var copies int64
	for _, g := range set.Groups() {
		for _, worker := range g.Workers() {
			if isExcluded(worker) {
				continue
			}
			if copies += matcher.CopiesOn(r, g.Capacity()); copies >= int64(r.Together) {
				return true
			}
		}
	}
	return false
}
