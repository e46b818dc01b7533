package cell

import (
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

func isRun(spec *wire.JobSpec) bool { return spec.GetKind() != wire.JobKind_JOB_KIND_SERVICE }

// cancelledByOperator reports whether any task of a job has ended or is stopping because an operator cancelled the job.
func cancelledByOperator(j *job.Job) bool {
	for _, t := range j.Tasks() {
		if t.Stopping() && t.StopReason() == reason.Cancelled.String() ||
			t.State() == wire.TaskState_TASK_STATE_CANCELLED && t.Detail() == reason.Cancelled.String() {
			return true
		}
	}
	return false
}

// cutShort reports whether a run ended unfinished because its row left the sheet.
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

// isFinal reports whether a run will never run again under its id, even if a sheet lists it. An operator's cancellation
// of a run is final: the next day's sheet must not restart it.
func isFinal(j *job.Job) bool {
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
