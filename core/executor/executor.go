// Package executor defines the interfaces for sending orders to workers that the leader calls, unlike those that poll
// for orders, and for asking an external service for consent. The transport is left to the implementations.
package executor

import (
	"context"
	"time"
)

// Executor sends orders to workers. Implementations are safe for concurrent use.
type Executor interface {
	// Start orders a run. The answer says whether the worker accepted it.
	Start(ctx context.Context, to Address, order Start) Answer
	// Stop orders the end of a run. A worker that does not have the run yet refuses it from then on.
	Stop(ctx context.Context, to Address, order Stop) Answer
	// Renew extends the lease of a worker and returns its current and ended runs. It waits up to order.Wait for a run to
	// end.
	Renew(ctx context.Context, to Address, order Renew) (Report, Answer)
}

// Consenter asks an external service which workers may run a step.
type Consenter interface {
	// Ask returns a ticket for each worker that may run the step.
	Ask(ctx context.Context, job string, step int, workers []string) (Consent, error)
}

// Consent is the answer of the external service.
type Consent struct {
	// Busy is set when too many calls were waiting at the service; nothing was decided.
	Busy    bool
	Tickets []Ticket
}

// Ticket permits one step on one worker for a limited time.
type Ticket struct {
	Worker string
	Ticket string
}

// Address identifies a worker and where to reach it.
type Address struct {
	Worker   string
	HostPort string
}

// Run identifies one run of a task.
type Run struct {
	Job   string
	Step  int
	Index int
	Run   int
}

// Start orders a run.
type Start struct {
	Run   Run
	Spec  string
	Token uint64
	// Until is the end of the worker's lease on the worker's clock.
	Until      time.Duration
	Checkpoint string
	Ticket     string
}

// Stop orders the end of a run.
type Stop struct {
	Run   Run
	Token uint64
}

// Renew extends a worker's lease.
type Renew struct {
	Token uint64
	// Until is the new end of the lease on the worker's clock; 0 leaves it unchanged.
	Until time.Duration
	// AckedEnd is the number of the newest end that is committed; the worker may discard ends up to it.
	AckedEnd uint64
	// Wait is how long the worker may wait for a run to end before it answers.
	Wait time.Duration
}

// Status is the result of an order.
type Status int

// Statuses.
const (
	// Unknown means that there was no answer: the order may take effect, also later.
	Unknown Status = iota
	Done
	// Fenced means that the worker has already seen a higher fencing token.
	Fenced
	// Outdated means that the worker refuses this run permanently.
	Outdated
	// LeaseEnded means that the lease in the order had ended when the order arrived.
	LeaseEnded
	NoCapacity
	NoTicket
	// Invalid means that the worker cannot read the order.
	Invalid
	// Unhealthy means that the worker is unhealthy and did nothing.
	Unhealthy
	// OtherIncarnation means that another incarnation of the worker answered and did nothing.
	OtherIncarnation
	// NotSent means that no part of the order can have reached the worker.
	NotSent
)

var statusNames = [...]string{
	"unknown", "done", "fenced", "outdated", "late", "no_room", "no_ticket", "invalid", "unhealthy",
	"other_life", "not_sent",
}

// String returns the name of the status in logs.
func (s Status) String() string { return statusNames[s] }

// Answer is a worker's answer to an order.
type Answer struct {
	Status Status
	// Clock is the reading of the worker's clock; valid only if HasClock is set.
	Clock    time.Duration
	HasClock bool
	// ConnectedFor is how long before the end of the order the connection was established on which it was sent; 0 if
	// that is not known. It is only set if there was no answer.
	ConnectedFor time.Duration
}

// Report lists a worker's current and ended runs.
type Report struct {
	// StartedUnixMs is when the incarnation that answered was started; 0 if the answer does not contain it.
	StartedUnixMs int64
	Running       []Running
	Ended         []Ended
}

// Running is a current run of a worker.
type Running struct {
	Run        Run
	Checkpoint string
	// Percent is the progress of the run.
	Percent int
}

// Outcome is the way in which a run ended.
type Outcome int

// Outcomes.
const (
	OutcomeDone Outcome = iota + 1
	OutcomeFailed
	OutcomeStopped
	OutcomeLeaseEnded
	// OutcomeGangMemberEnded means that another member of the gang ended.
	OutcomeGangMemberEnded
	// OutcomeGangIncomplete means that the other members of the gang did not start in time.
	OutcomeGangIncomplete
)

var outcomeNames = [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the outcome in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Ended is a run that ended. Number is incremented by one for each end within a worker's incarnation.
type Ended struct {
	Number     uint64
	Run        Run
	Outcome    Outcome
	Checkpoint string
}
