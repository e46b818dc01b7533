// Package explainer answers operators' queries about the cell: it lists what runs and what waits, and explains why in
// whole sentences.
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

// Planner reports why the tasks of a job wait.
type Planner interface {
	// WaitStatus returns why a job's tasks waited in the last round of decisions; ok is false when no round has considered
	// the job.
	WaitStatus(jobID string) (w planner.WaitStatus, ok bool)
}

// Explainer gives read access to the control state of a leader. It must be used on the control goroutine only and must
// not be retained after the query that it was made for.
type Explainer struct {
	Cell       *cell.Cell
	Planner    Planner
	Lessor     *lessor.Lessor
	Tally      *tally.Tally
	Membership *wire.Membership
	// Voters is the intended number of voters of the consensus group.
	Voters int
	// SilentMembers holds the ids of the control members that the leader has not heard from for some seconds. Names would
	// be ambiguous: while a lost host is being replaced, two members have the same name.
	SilentMembers []string
	LeaderName    string
	DiskFull      bool
	// Now is the time on the leader's monotonic clock, NowUnixMs the time on its wall clock.
	Now       time.Duration
	NowUnixMs int64
	// Scheduler is nil in a cell without queues.
	Scheduler Scheduler
}

// formatTime formats a wall-clock time as RFC 3339 in UTC.
func formatTime(unixMs int64) string { return time.UnixMilli(unixMs).UTC().Format(time.RFC3339) }

// countNoun formats a number with its noun, for example "1 task" or "3 tasks".
func countNoun(n int, noun string) string {
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
