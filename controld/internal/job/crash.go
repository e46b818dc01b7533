package job

import "flamingodrift.example/core/wire"

// A job is held once crashesToHold workers have crashed under one of its tasks, soleCrashesToHold of them when no other job
// may have been the cause.
const (
	crashesToHold     = 3
	soleCrashesToHold = 2
)

// Suspicion says whether the crash of a worker may be due to a task that it had just started.
type Suspicion int

const (
	// NoSuspect is a task that the worker is known to have run for some time, or that it has not lost by a crash.
	NoSuspect Suspicion = iota
	// OneOfSuspects is a task that the worker had just started, like tasks of other jobs.
	OneOfSuspects
	// OnlySuspect is the same without other jobs.
	OnlySuspect
)

// recordCrash counts a crash of a worker against the task.
func (t *Task) recordCrash(worker string, suspicion Suspicion) {
	if suspicion == NoSuspect {
		return
	}
	t.crashedOn = appendBounded(t.crashedOn, worker)
	if suspicion == OnlySuspect {
		t.soleCrashes++
	}
}

// CrashedOn returns the workers that crashed soon after they had started the task, since its last success.
func (t *Task) CrashedOn() []string { return t.crashedOn }

// Starting reports whether the task is placed and its worker has not reported it yet.
func (t *Task) Starting() bool { return t.state == wire.TaskState_TASK_STATE_PLACED }

// CrashingTask returns a task under which so many workers crashed that the job must be held, or nil.
func (j *Job) CrashingTask() *Task {
	for _, t := range j.tasks {
		if len(t.crashedOn) >= crashesToHold && t.soleCrashes >= soleCrashesToHold {
			return t
		}
	}
	return nil
}

// HasSuspect reports whether a worker has crashed soon after it had started one of the job's tasks.
func (j *Job) HasSuspect() bool {
	for _, t := range j.tasks {
		if len(t.crashedOn) > 0 {
			return true
		}
	}
	return false
}

func (t *Task) clearCrashes() { t.crashedOn, t.soleCrashes = nil, 0 }
