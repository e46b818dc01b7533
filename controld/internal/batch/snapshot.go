package batch

import (
	"cmp"
	"maps"
	"slices"

	"flamingodrift.example/controld/internal/runtimeestimator"
	"flamingodrift.example/core/wire"
)

// State encodes the Batch for a snapshot.
func (b *Batch) State() *wire.BatchState {
	state := &wire.BatchState{Config: b.config, Accepted: b.accepted, Runtimes: b.runtimes.State()}
	for _, name := range slices.Sorted(maps.Keys(b.queues)) {
		state.RetiredQueues = append(state.RetiredQueues, b.queues[name])
	}
	for _, name := range b.Workspaces() {
		state.RetiredWorkspaces = append(state.RetiredWorkspaces, b.workspaces[name].settings)
	}
	for _, worker := range slices.Sorted(maps.Keys(b.incarnations)) {
		report := b.incarnations[worker].report
		if report.GetDraining() != b.incarnations[worker].draining {
			report = &wire.WorkerLife{
				Worker: worker, BornUnixMs: report.GetBornUnixMs(), Address: report.GetAddress(),
				Pool:          report.GetPool(),
				FailureDomain: report.GetFailureDomain(), CpuMillis: report.GetCpuMillis(),
				MemoryMb: report.GetMemoryMb(), Gpus: report.GetGpus(), Labels: report.GetLabels(),
				Rack: report.GetRack(), Draining: true, Sequence: report.GetSequence(),
			}
		}
		state.Workers = append(state.Workers, report)
		if b.incarnations[worker].restarted {
			state.RestartedWorkers = append(state.RestartedWorkers, worker)
		}
	}
	for _, j := range b.jobs {
		state.Jobs = append(state.Jobs, j.state())
	}
	slices.SortFunc(state.Jobs, func(a, b *wire.BatchJobState) int { return cmp.Compare(a.GetOrder(), b.GetOrder()) })
	return state
}

func (j *Job) state() *wire.BatchJobState {
	state := &wire.BatchJobState{Job: j.spec, Phase: j.phase, Order: j.order}
	if g := j.givenUp; g != nil {
		state.GivenUp = &wire.GivenUpTask{
			Step: uint32(g.step), Index: uint32(g.index), Crashes: crashMessages(g.crashes),
		}
	}
	if j.Ended() && j.activeRuns == 0 {
		// Only the phase of an ended job is still read.
		state.Job = endedSpec(j.spec)
		return state
	}
	for _, s := range j.steps {
		for _, t := range s.tasks {
			if t.run == 0 && !t.done {
				continue
			}
			record := &wire.BatchTaskState{
				Step: uint32(s.number), Index: uint32(t.index), Run: uint32(t.run), Failures: uint32(s.failures(t)),
				Done: t.done, Checkpoint: t.checkpoint, FailedOn: t.failedOn, LastFailed: uint32(s.lastFailedRun),
				LastWorker: t.lastWorker, Crashes: crashMessages(t.crashes),
			}
			if t.incarnation != nil {
				record.Worker, record.BornUnixMs = t.incarnation.worker, t.incarnation.startedUnixMs
			}
			state.Tasks = append(state.Tasks, record)
		}
	}
	return state
}

// Restore decodes a Batch from a snapshot. A nil state gives an empty Batch.
func Restore(state *wire.BatchState) *Batch {
	b := New()
	b.accepted, b.runtimes = state.GetAccepted(), runtimeestimator.Restore(state.GetRuntimes())
	for _, q := range state.GetRetiredQueues() {
		b.queues[q.GetName()] = q
	}
	if state.GetConfig() != nil {
		b.configure(state.GetConfig())
	}
	for _, w := range state.GetRetiredWorkspaces() {
		if b.workspaces[w.GetName()] == nil {
			b.setWorkspace(w)
		}
	}
	for _, report := range state.GetWorkers() {
		b.incarnations[report.GetWorker()] = newIncarnation(report)
	}
	for _, worker := range state.GetRestartedWorkers() {
		if inc := b.incarnations[worker]; inc != nil {
			inc.restarted = true
		}
	}
	for _, s := range state.GetJobs() {
		j := newJob(s.GetJob(), b.queues[s.GetJob().GetQueue()], s.GetOrder())
		j.phase, j.workspace = s.GetPhase(), b.workspaces[s.GetJob().GetWorkspace()]
		if g := s.GetGivenUp(); g != nil {
			j.givenUp = &GivenUpTask{step: int(g.GetStep()), index: int(g.GetIndex()), crashes: newCrashes(g.GetCrashes())}
		}
		b.jobs[j.ID()] = j
		for _, t := range s.GetTasks() {
			b.restoreTask(j, t)
		}
		if !j.Ended() || j.activeRuns > 0 {
			b.active = append(b.active, j)
		}
	}
	return b
}

func (b *Batch) restoreTask(j *Job, record *wire.BatchTaskState) {
	s := j.steps[record.GetStep()]
	t := s.tasks[record.GetIndex()]
	t.run, t.checkpoint, t.failedOn = int(record.GetRun()), record.GetCheckpoint(), record.GetFailedOn()
	t.lastWorker = record.GetLastWorker()
	t.crashes = newCrashes(record.GetCrashes())
	s.suspected = s.suspected || len(t.crashes) > 0
	s.failed = s.failed || len(t.failedOn) > 0
	for _, c := range t.crashes {
		if !c.confirmed && !j.Ended() {
			b.unconfirmed = append(b.unconfirmed, unconfirmedCrash{t, c})
		}
	}
	if s.spec.GetGang() {
		s.failedRuns = int(record.GetFailures())
		s.lastFailedRun = int(record.GetLastFailed())
	} else {
		t.failures = int(record.GetFailures())
	}
	if record.GetDone() {
		t.done = true
		s.done++
	}
	if inc := b.incarnations[record.GetWorker()]; record.GetWorker() != "" && inc != nil &&
		inc.startedUnixMs == record.GetBornUnixMs() {
		t.acquire(inc)
	}
}
