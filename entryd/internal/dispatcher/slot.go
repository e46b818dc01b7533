package dispatcher

import (
	"context"
	"fmt"
	"time"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Request is a request to a target.
type Request struct {
	Method, Path string
	Headers      []*wire.Header
	Body         []byte
}

// Failure describes why a request has no answer.
type Failure struct {
	// Sent is false only if no byte of the request can have reached the target.
	Sent   bool
	Reason reason.Reason
	Cause  error
}

// Error describes the failure.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %v", f.Reason, f.Cause) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Slot permits one request in progress at a target. It must be released.
type Slot struct {
	dispatcher *Dispatcher
	target     *target
	released   bool
}

// Release frees the slot. Further calls have no effect.
func (s *Slot) Release() {
	if !s.released {
		s.released = true
		s.dispatcher.release(s.target)
	}
}

// Target returns the target's name.
func (s *Slot) Target() string { return s.target.name }

// Send sends the request and reads the whole answer. The context's deadline limits the exchange and is passed on to the
// target.
func (s *Slot) Send(ctx context.Context, request *Request) (*wire.Answer, *Failure) {
	started := s.dispatcher.cfg.Clock.Now()
	answer, failure := s.exchange(ctx, request)
	s.dispatcher.recordResult(s.target, failure, answer, s.dispatcher.cfg.Clock.Now()-started)
	return answer, failure
}

// Report records the result and the duration of an exchange that Send did not make, for the target's health.
func (s *Slot) Report(failure *Failure, answer *wire.Answer, took time.Duration) {
	s.dispatcher.recordResult(s.target, failure, answer, took)
}
