package planner

import (
	"fmt"
	"time"

	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// waitRecord is why a job waits. The sentence is formatted only on request, because a round may consider 10,000 jobs.
type waitRecord struct {
	reason      reason.Reason
	reasonSince time.Duration
	// waitingSince is when the job was first seen waiting, for any reason.
	waitingSince time.Duration
	// roundNumber is the last round that considered the job.
	roundNumber uint64
	tasks       int
	// need is the size that the reason is about, and limit is what it exceeds.
	need, limit resource.Vector
	// subject completes the sentence: the name of a team or job, or a phrase such as the reason for a hold.
	subject string
}

func (r *round) waitRecordOf(j *job.Job) *waitRecord {
	record := r.planner.waitRecords[j.ID()]
	if record == nil {
		record = &waitRecord{reasonSince: r.now, waitingSince: r.now}
		r.planner.waitRecords[j.ID()] = record
	} else if record.roundNumber != 0 && record.roundNumber+1 < r.planner.roundNumber {
		// The job was not waiting in the last round: it was placed meanwhile and waits again.
		record.waitingSince, record.reasonSince = r.now, r.now
	}
	return record
}

// recordWait sets the reason for which a candidate waits.
func (r *round) recordWait(cand *candidate, waitReason reason.Reason, limit resource.Vector, subject string) {
	record := cand.record
	if record.reason != waitReason {
		record.reason, record.reasonSince = waitReason, r.now
	}
	if impliesFreeCapacity(waitReason) {
		r.recheck = append(r.recheck, cand)
	}
	record.roundNumber, record.tasks, record.need, record.limit, record.subject =
		r.planner.roundNumber, cand.remaining(), cand.need, limit, subject
}

// recheckReasons corrects the reasons of jobs that would have fitted when they were considered, but for which later
// placements of the round left too little capacity.
func (r *round) recheckReasons() {
	for _, cand := range r.recheck {
		switch {
		case cand.kind != wire.JobKind_JOB_KIND_ALL_AT_ONCE && !r.fitsOnAny(cand.need):
			r.recordWait(cand, reason.NoCapacity, resource.Vector{}, "")
		case cand.kind == wire.JobKind_JOB_KIND_ALL_AT_ONCE && !r.gangFits(cand.need, int64(cand.remaining())):
			r.recordWait(cand, reason.WaitsForAll, resource.Vector{}, "")
		}
	}
}

// impliesFreeCapacity reports whether a reason states that there is free capacity that the job may not use.
func impliesFreeCapacity(waitReason reason.Reason) bool {
	return waitReason == reason.BehindOthers || waitReason == reason.BehindReservation ||
		waitReason == reason.SpreadUnsatisfied
}

func amounts(v resource.Vector) string {
	text := fmt.Sprintf("%.1f processors and %d MB", float64(v.CPU())/1000, v.Memory())
	if v.Accelerators() > 0 {
		text += fmt.Sprintf(" and %d accelerators", v.Accelerators())
	}
	return text
}

// detail returns the sentence about what would let the job start.
func (record *waitRecord) detail() string {
	switch record.reason {
	case reason.NoCapacity:
		return fmt.Sprintf("It starts when one worker has %s free.", amounts(record.need))
	case reason.QuotaReached:
		return fmt.Sprintf("It starts when team %s takes at least %s less than its quota.",
			record.subject, amounts(record.need))
	case reason.ExceedsLargestWorker:
		return fmt.Sprintf("A task asks for %s; no worker has more than %s.",
			amounts(record.need), amounts(record.limit))
	case reason.ExceedsQuota:
		return fmt.Sprintf("It asks for %s, and the whole quota of team %s is %s (zero is no limit).",
			amounts(record.need), record.subject, amounts(record.limit))
	case reason.ExceedsCell:
		return fmt.Sprintf(
			"It asks for %d tasks of %s at once; all workers together hold fewer, so ask for fewer or smaller tasks.",
			record.tasks, amounts(record.need))
	case reason.WaitsForAll:
		return fmt.Sprintf("It starts when there is room for %d tasks of %s at the same time.",
			record.tasks, amounts(record.need))
	case reason.BehindOthers:
		return fmt.Sprintf("It starts when room beyond that kept for %s is free.", record.subject)
	case reason.BehindReservation:
		return fmt.Sprintf("It starts when job %s has started, or when other room is free.", record.subject)
	case reason.SpreadUnsatisfied:
		return fmt.Sprintf("It starts when a worker in another rack or failure domain has %s free.",
			amounts(record.need))
	case reason.JobHeld:
		return fmt.Sprintf("It starts when its row changes; %s.", record.subject)
	case reason.StopInProgress:
		return "It starts when tasks that are stopping have ended."
	case reason.NoWorkers:
		return "It starts when a worker joins, returns or is released."
	case reason.RecoveryRateLimited:
		return fmt.Sprintf("At most %.0f tasks per second start anew after a loss.", recoveryPerSecond)
	default:
		return ""
	}
}
