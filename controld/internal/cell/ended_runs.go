package cell

import (
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

func isRun(spec *wire.JobSpec) bool { return spec.GetKind() != wire.JobKind_JOB_KIND_SERVICE }

// cancelledByOperator reports whether any task of a job ended or stops because an operator cancelled the job.
func cancelledByOperator(j *job.Job) bool {
	for _, t := range j.Tasks() {
		if t.Stopping() && t.StopReason() == reason.Cancelled.String() ||
			t.State() == wire.TaskState_TASK_STATE_CANCELLED && t.Detail() == reason.Cancelled.String() {
			return true
		}
	}
	return false
}

// cutShort reports whether a run has ended only because its row left the sheet before all of its tasks had run.
func cutShort(j *job.Job) bool {
	if !isRun(j.Spec()) || !j.Finished() || !j.EverPlaced() || cancelledByOperator(j) {
		return false
	}
	for _, t := range j.Tasks() {
		if t.Index() < j.Spec().GetTasks() && t.State() == wire.TaskState_TASK_STATE_CANCELLED {
			return true
		}
	}
	return false
}

// spent reports whether a run will not run again under its name, whatever a sheet lists. An operator's cancellation of a
// run is final: the next morning's sheet must not revive it.
func spent(j *job.Job) bool {
	return isRun(j.Spec()) && (cancelledByOperator(j) || j.Finished() && j.EverPlaced() && !cutShort(j))
}

// endedAt returns when the last task of a job ended, in Unix milliseconds.
func endedAt(j *job.Job) int64 {
	last := int64(0)
	for _, t := range j.Tasks() {
		last = max(last, t.SinceUnixMs())
	}
	return last
}
