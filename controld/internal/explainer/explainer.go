// Package explainer answers operators' questions about what runs, what waits and why, in whole sentences.
package explainer

import (
	"fmt"
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/lessor"
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/controld/internal/tally"
	"flamingodrift.example/core/wire"
)

// Waits says why a job's tasks wait, as of the planner's last round; ok is false when it has not looked at the job.
type Waits interface {
	WaitStatus(jobID string) (w planner.WaitStatus, ok bool)
}

// Explainer reads the control state of a leader. It must be used on the control thread and not be kept.
type Explainer struct {
	Cell       *cell.Cell
	Planner    Waits
	Registrar  *lessor.Lessor
	Tally      *tally.Tally
	Membership *wire.Membership
	// Voters is how many voters the group should have.
	Voters int
	// SilentMembers holds the ids of the control members that the leader has not heard for some seconds. A name is not
	// enough: while a lost host is replaced, two members have the same name.
	SilentMembers []string
	LeaderName    string
	DiskFull      bool
	// Now is the monotonic time of the leader's host, and NowUnixMs its wall clock.
	Now       time.Duration
	NowUnixMs int64
	// Scheduler is nil where no jobs are submitted to queues.
	Scheduler Scheduler
}

// at writes a wall-clock time for people.
func at(unixMs int64) string { return time.UnixMilli(unixMs).UTC().Format(time.RFC3339) }

// count writes a number with its noun, for example "1 task" or "3 tasks".
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func kindName(kind wire.JobKind) string {
	switch kind {
	case wire.JobKind_JOB_KIND_SERVICE:
		return "service"
	case wire.JobKind_JOB_KIND_ALL_AT_ONCE:
		return "all_at_once"
	default:
		return "batch"
	}
}
