// Package reason defines the closed set of reasons for waiting, refusals, retries and stops. The API, the metrics and
// the documentation use the same words.
package reason

// Reason is why something waits, was refused, retried or stopped.
type Reason string

// Reasons why a task waits.
const (
	None                 Reason = ""
	NoCapacity           Reason = "no_capacity"
	QuotaReached         Reason = "quota_reached"
	ExceedsLargestWorker Reason = "exceeds_largest_worker"
	ExceedsQuota         Reason = "exceeds_quota"
	ExceedsCell          Reason = "exceeds_cell"
	WaitsForAll          Reason = "waits_for_all_tasks"
	BehindOthers         Reason = "behind_others"
	BehindReservation    Reason = "behind_reservation"
	SpreadUnsatisfied    Reason = "spread_unsatisfied"
	JobHeld              Reason = "job_held_after_failures"
	StopInProgress       Reason = "stop_in_progress"
	LeaseNotOver         Reason = "lease_not_over"
	NoWorkers            Reason = "no_workers"
	NoMatchingWorker     Reason = "no_matching_worker"
	NotYetDecided        Reason = "not_yet_decided"
	RecoveryRateLimited  Reason = "recovery_rate_limited"
	WaitsForStep         Reason = "waits_for_earlier_step"
	WaitsForConsent      Reason = "waits_for_consent"
	WaitsForIsolation    Reason = "waits_for_isolation"
	WaitsToRetry         Reason = "waits_to_retry"
)

// Reasons why a request or a change was refused or retried.
const (
	NotLeader         Reason = "not_leader"
	NoLeader          Reason = "no_leader"
	NotCurrent        Reason = "not_current"
	ShuttingDown      Reason = "shutting_down"
	UnknownService    Reason = "unknown_service"
	NoTarget          Reason = "no_target"
	NoFreeSlot        Reason = "no_free_slot"
	QueueFull         Reason = "queue_full"
	DeadlineExceeded  Reason = "deadline_exceeded"
	KeyMissing        Reason = "key_missing"
	KeyReused         Reason = "key_reused"
	StillRunning      Reason = "still_running"
	ClaimsFull        Reason = "claims_full"
	ClaimUnavailable  Reason = "claim_unavailable"
	OutcomeUnknown    Reason = "outcome_unknown"
	AnswerNotKept     Reason = "answer_not_kept"
	AnswerTooLarge    Reason = "answer_too_large"
	AnswerBroken      Reason = "answer_broken"
	RequestTooLarge   Reason = "request_too_large"
	RequestInvalid    Reason = "request_invalid"
	TargetUnreachable Reason = "target_unreachable"
	LeaseEnded        Reason = "lease_ended"
	RetryBudgetSpent  Reason = "retry_budget_spent"
	Unauthorized      Reason = "unauthorized"
	Conflict          Reason = "conflict"
	ChangeIDReused    Reason = "change_id_reused"
	SheetOlder        Reason = "sheet_older"
	SheetNumberReused Reason = "sheet_number_reused"
	StopsUnconfirmed  Reason = "stops_unconfirmed"
	NotFound          Reason = "not_found"
	DiskFull          Reason = "disk_full"
	LimitReached      Reason = "limit_reached"
	StalePoll         Reason = "stale_poll"
	NameInUse         Reason = "name_in_use"
	OverShare         Reason = "over_share"
	NotInTime         Reason = "not_in_time"
)

// Reasons why a running task is stopped.
const (
	RemovedFromSheet Reason = "removed_from_sheet"
	Cancelled        Reason = "cancelled"
	WorkerDraining   Reason = "worker_draining"
	Preempted        Reason = "preempted"
	OverMemory       Reason = "over_declared_memory"
	SpecChanged      Reason = "spec_changed"
)

// String returns the word for the reason in the API, the metrics and the documentation.
func (r Reason) String() string { return string(r) }
