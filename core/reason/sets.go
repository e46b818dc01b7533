package reason

// Waiting returns all reasons why a task waits.
func Waiting() []Reason {
	return []Reason{
		NoCapacity, QuotaReached, ExceedsLargestWorker, ExceedsQuota, ExceedsCell, WaitsForAll, BehindOthers,
		BehindReservation, SpreadUnsatisfied, JobHeld, StopInProgress, LeaseNotOver, NoWorkers, NoMatchingWorker,
		NotYetDecided, RecoveryRateLimited, WaitsForStep, WaitsForConsent, WaitsForIsolation, WaitsToRetry,
	}
}

// Refusals returns all reasons why a request or a change is refused or retried.
func Refusals() []Reason {
	return []Reason{
		NotLeader, NoLeader, NotCurrent, ShuttingDown, UnknownService, NoTarget, NoFreeSlot, QueueFull, DeadlineExceeded,
		KeyMissing, KeyReused, StillRunning, ClaimsFull, ClaimUnavailable, OutcomeUnknown, AnswerNotKept, AnswerTooLarge,
		AnswerBroken, RequestTooLarge, RequestInvalid, TargetUnreachable, LeaseEnded, RetryBudgetSpent, Unauthorized,
		Conflict, ChangeIDReused, SheetOlder, SheetNumberReused, StopsUnconfirmed, NotFound, DiskFull, LimitReached,
		StalePoll, NameInUse, OverShare, NotInTime,
	}
}

// Stops returns all reasons why a running task is stopped. WaitsForAll is among them: when a task of an all-at-once job
// ends, the job's other tasks are stopped for that reason.
func Stops() []Reason {
	return []Reason{RemovedFromSheet, Cancelled, WorkerDraining, Preempted, OverMemory, SpecChanged, WaitsForAll}
}
