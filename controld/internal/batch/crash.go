package batch

import (
	"slices"

	"flamingodrift.example/core/wire"
)

// A task, or gang, is given up after conclusiveCrashes conclusive crashes, or after giveUpCrashes confirmed ones if it was
// the only suspect in giveUpAsOnlySuspect of them. Some workers may never come back, so that their crash is not confirmed;
// then maxCrashes bounds the starts.
const (
	conclusiveCrashes   = 2
	giveUpCrashes       = 3
	giveUpAsOnlySuspect = 2
	maxCrashes          = 5
)

// Crash is the loss of a worker that may have crashed because of a run.
type Crash struct {
	worker        string
	startedUnixMs int64
	address       string
	run           int
	onlySuspect   bool
	newest        bool
	confirmed     bool
}

// Worker returns the worker's id.
func (c *Crash) Worker() string { return c.worker }

// Run returns the number of the run.
func (c *Crash) Run() int { return c.run }

// OnlySuspect reports whether no other task or gang may have caused the crash.
func (c *Crash) OnlySuspect() bool { return c.onlySuspect }

// Newest reports whether the run had begun and was among the newest on the worker, and so the most likely cause.
func (c *Crash) Newest() bool { return c.newest }

// Confirmed reports whether the worker is known to have ended. Otherwise it may only be cut off.
func (c *Crash) Confirmed() bool { return c.confirmed }

// conclusive reports whether a worker crashed as soon as it had started the run, and nothing else may have been the cause.
func (c *Crash) conclusive() bool { return c.confirmed && c.onlySuspect && c.newest }

func newCrash(message *wire.WorkerCrash) *Crash {
	return &Crash{
		worker: message.GetWorker(), startedUnixMs: message.GetBornUnixMs(), address: message.GetAddress(),
		run: int(message.GetRun()), onlySuspect: message.GetOnlySuspect(), newest: message.GetNewest(),
		confirmed: message.GetConfirmed(),
	}
}

func (c *Crash) message() *wire.WorkerCrash {
	return &wire.WorkerCrash{
		Worker: c.worker, BornUnixMs: c.startedUnixMs, Address: c.address, Run: uint32(c.run),
		OnlySuspect: c.onlySuspect, Newest: c.newest, Confirmed: c.confirmed,
	}
}

// crashMessages encodes crashes for a snapshot.
func crashMessages(crashes []*Crash) []*wire.WorkerCrash {
	var messages []*wire.WorkerCrash
	for _, c := range crashes {
		messages = append(messages, c.message())
	}
	return messages
}

func newCrashes(messages []*wire.WorkerCrash) []*Crash {
	var crashes []*Crash
	for _, m := range messages {
		crashes = append(crashes, newCrash(m))
	}
	return crashes
}

// endedBefore reports whether a report of a worker shows that the incarnation of the crash has ended: the worker has
// started again, or another one listens at its address.
func (c *Crash) endedBefore(report *wire.WorkerLife) bool {
	return c.startedUnixMs < report.GetBornUnixMs() &&
		(c.worker == report.GetWorker() || c.address != "" && c.address == report.GetAddress())
}

// GivenUpTask is the task for which a job has failed because workers crashed under it.
type GivenUpTask struct {
	step, index int
	crashes     []*Crash
}

// Step returns the number of the task's step.
func (g *GivenUpTask) Step() int { return g.step }

// Index returns the task's index in its step.
func (g *GivenUpTask) Index() int { return g.index }

// Crashes returns the crashes that count against the task, oldest first.
func (g *GivenUpTask) Crashes() []*Crash { return g.crashes }

// GivenUp returns the task for which the job has failed because workers crashed under it; nil when there is none.
func (j *Job) GivenUp() *GivenUpTask { return j.givenUp }

// Crashes returns the crashes that count against a task or, for a task of a gang, against the gang: at most one for each
// run, oldest first.
func (t *Task) Crashes() []*Crash {
	if !t.step.spec.GetGang() || !t.step.suspected {
		return t.crashes
	}
	byRun := map[int]*Crash{}
	for _, member := range t.step.tasks {
		for _, c := range member.crashes {
			if known := byRun[c.run]; known == nil || c.weight() > known.weight() {
				byRun[c.run] = c
			}
		}
	}
	crashes := make([]*Crash, 0, len(byRun))
	for _, c := range byRun {
		crashes = append(crashes, c)
	}
	slices.SortFunc(crashes, func(a, b *Crash) int { return a.run - b.run })
	return crashes
}

// weight orders the crashes of one run of a gang by how much they say about it.
func (c *Crash) weight() int {
	weight := 0
	if c.confirmed {
		weight += 2
	}
	if c.onlySuspect {
		weight++
	}
	return weight
}

// mustGiveUp reports whether enough workers have crashed under a task, or its gang.
func (t *Task) mustGiveUp() bool {
	crashes := t.Crashes()
	confirmed, asOnlySuspect, conclusive := 0, 0, 0
	for _, c := range crashes {
		if !c.confirmed {
			continue
		}
		confirmed++
		if c.onlySuspect {
			asOnlySuspect++
		}
		if c.conclusive() {
			conclusive++
		}
	}
	return conclusive >= conclusiveCrashes ||
		confirmed >= giveUpCrashes && asOnlySuspect >= giveUpAsOnlySuspect || len(crashes) >= maxCrashes
}

// recordCrash records the crash of a worker against a task and fails the job if the task must be given up.
func (b *Batch) recordCrash(t *Task, crash *Crash) {
	for _, inc := range b.incarnations {
		crash.confirmed = crash.confirmed || crash.endedBefore(inc.report)
	}
	t.crashes = append(t.crashes, crash)
	t.step.suspected = true
	if !crash.confirmed {
		b.unconfirmed = append(b.unconfirmed, unconfirmedCrash{t, crash})
	}
	b.giveUpIfDue(t)
}

func (b *Batch) giveUpIfDue(t *Task) {
	j := t.step.job
	if j.Ended() || !t.mustGiveUp() {
		return
	}
	j.givenUp = &GivenUpTask{step: t.step.number, index: t.index, crashes: t.Crashes()}
	b.finish(j, wire.JobPhase_JOB_PHASE_FAILED)
}

// unconfirmedCrash is a crash of which it is not known yet whether the worker has ended.
type unconfirmedCrash struct {
	task  *Task
	crash *Crash
}

// confirmCrashes confirms the crashes of the incarnations that have ended according to a worker's report.
func (b *Batch) confirmCrashes(report *wire.WorkerLife) {
	var confirmed []unconfirmedCrash
	b.unconfirmed = slices.DeleteFunc(b.unconfirmed, func(u unconfirmedCrash) bool {
		ended := u.crash.endedBefore(report)
		if ended {
			confirmed = append(confirmed, u)
		}
		return ended || u.task.step.job.Ended()
	})
	for _, u := range confirmed {
		u.crash.confirmed = true
		b.giveUpIfDue(u.task)
	}
}

// HasUnconfirmedCrash reports whether an incarnation counts as crashed for a task although it may only be cut off.
func (b *Batch) HasUnconfirmedCrash(inc *Incarnation) bool {
	return slices.ContainsFunc(b.unconfirmed, func(u unconfirmedCrash) bool { return u.crash.isOf(inc.report) })
}

// refuteCrashes removes the crashes of an incarnation that has reported again: it was only cut off.
func (b *Batch) refuteCrashes(report *wire.WorkerLife, effect *Effect) {
	b.unconfirmed = slices.DeleteFunc(b.unconfirmed, func(u unconfirmedCrash) bool {
		if !u.crash.isOf(report) {
			return false
		}
		u.task.removeCrash(u.crash)
		effect.Refuted = append(effect.Refuted, RefutedCrash{Task: u.task, Crash: u.crash})
		return true
	})
}

// isOf reports whether the crash is that of the incarnation of a report.
func (c *Crash) isOf(report *wire.WorkerLife) bool {
	return c.worker == report.GetWorker() && c.startedUnixMs == report.GetBornUnixMs()
}

func (t *Task) removeCrash(crash *Crash) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *Crash) bool { return c == crash })
	t.step.suspected = slices.ContainsFunc(t.step.tasks, func(member *Task) bool { return len(member.crashes) > 0 })
}
