package reason

// Waiting returns every reason why a task waits.
func Waiting() []Reason {
	return []Reason{
		NoCapacity, QuotaReached, ExceedsLargestWorker, ExceedsQuota, ExceedsCell, WaitsForAll, BehindOthers, BehindReservation,
		SpreadUnsatisfied, JobHeld, StopInProgress, LeaseNotOver, NoWorkers, NotYetDecided, RecoveryRateLimited,
		WaitsForStep, WaitsForConsent,
	}
}

// Refusals returns every reason why a request or a change is refused or retried.
func Refusals() []Reason {
	return []Reason{
		NotLeader, NoLeader, NotCurrent, ShuttingDown, UnknownService, NoTarget, NoFreeSlot, QueueFull, DeadlineExceeded,
		KeyMissing, KeyReused, StillRunning, ClaimsFull, ClaimUnavailable, OutcomeUnknown, AnswerNotKept, AnswerTooLarge,
		AnswerBroken, RequestTooLarge, RequestInvalid, TargetUnreachable, LeaseEnded, RetryBudgetSpent, Unauthorized, Conflict,
		ChangeIDReused, SheetOlder, SheetNumberReused, StopsUnconfirmed, NotFound, DiskFull, LimitReached, StalePoll, NameInUse,
	}
}

// Stops returns every reason why a running task is stopped. WaitsForAll is one of them when a task of an all-at-once job
// has ended and the others stop with it.
func Stops() []Reason {
	return []Reason{RemovedFromSheet, Cancelled, WorkerDraining, Preempted, OverMemory, SpecChanged, WaitsForAll}
}
