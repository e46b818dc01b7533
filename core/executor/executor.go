// Package executor defines how orders reach workers that take them by call, and how an outside service is asked for its
// consent. The transport is behind the interface.
package executor

import (
	"context"
	"time"
)

// Executor carries orders to workers. Implementations are safe for concurrent use.
type Executor interface {
	// Start orders a run. The answer tells whether the worker has it.
	Start(ctx context.Context, to Address, order Start) Answer
	// Stop orders the end of a run. A run that the worker does not have yet is refused there from then on.
	Stop(ctx context.Context, to Address, order Stop) Answer
	// Renew extends the lease of a worker and returns what it runs and which runs ended. It waits up to order.Wait for an
	// end.
	Renew(ctx context.Context, to Address, order Renew) (Report, Answer)
}

// Consenter asks an outside service which workers may run a step.
type Consenter interface {
	// Ask returns a ticket for each worker that may run the step.
	Ask(ctx context.Context, job string, step int, workers []string) (Consent, error)
}

// Consent is the answer of the outside service.
type Consent struct {
	// Busy is set when the service had too many calls waiting; nothing was decided.
	Busy    bool
	Tickets []Ticket
}

// Ticket permits one step on one worker for a limited time.
type Ticket struct {
	Worker string
	Ticket string
}

// Address names one life of a worker.
type Address struct {
	Worker string
	// HostPort is the host and port.
	HostPort string
}

// Run names one run of a task.
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
	// Until is when the worker's lease ends, on the worker's clock.
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
	// Until is when the lease ends, on the worker's clock; 0 leaves it as it is.
	Until time.Duration
	// AckedEnd is the number of the newest end that is committed and may be forgotten by the worker.
	AckedEnd uint64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Status says what became of an order.
type Status int

// Statuses.
const (
	// Unknown means that no answer came: the order may be carried out now or later.
	Unknown Status = iota
	Done
	// Fenced means that the worker has seen a higher token.
	Fenced
	// Outdated means that the worker refuses this run for good.
	Outdated
	// LeaseEnded means that the order's lease was over when it arrived.
	LeaseEnded
	NoCapacity
	NoTicket
	// Invalid means that the worker cannot read the order.
	Invalid
	// Unhealthy means that the worker has done nothing.
	Unhealthy
	// OtherIncarnation means that another life of the worker answered; it has done nothing.
	OtherIncarnation
	// NotSent means that nothing of the order can have reached the worker.
	NotSent
)

var verdictNames = [...]string{
	"unknown", "done", "fenced", "outdated", "late", "no_room", "no_ticket", "invalid", "unhealthy", "other_life", "not_sent",
}

// String returns the status as logs show it.
func (v Status) String() string { return verdictNames[v] }

// Answer is what a worker answered to an order.
type Answer struct {
	Status Status
	// Clock is the worker's own clock, when HasClock is set.
	Clock    time.Duration
	HasClock bool
}

// Report is what a worker runs and which of its runs ended.
type Report struct {
	// StartedUnixMs is the life that answered, in Unix milliseconds; 0 when the answer does not say.
	StartedUnixMs int64
	Running       []Running
	Ended         []Ended
}

// Running is a run that a worker has.
type Running struct {
	Run        Run
	Checkpoint string
	// Percent is how far the run is.
	Percent int
}

// Outcome is how a run ended.
type Outcome int

// Outcomes.
const (
	OutcomeDone Outcome = iota + 1
	OutcomeFailed
	OutcomeStopped
	OutcomeLapsed
	// OutcomeGangMemberEnded means that another member of the gang ended.
	OutcomeGangMemberEnded
	// OutcomeGangIncomplete means that the other members of the gang did not come in time.
	OutcomeGangIncomplete
)

var outcomeNames = [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the outcome as logs show it.
func (o Outcome) String() string { return outcomeNames[o] }

// Ended is a run that ended. Number rises by one with each end in a worker's life.
type Ended struct {
	Number     uint64
	Run        Run
	Outcome    Outcome
	Checkpoint string
}
