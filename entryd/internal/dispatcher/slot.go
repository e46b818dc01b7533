package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

const (
	dialTimeout    = time.Second
	maxAnswerBytes = 8 << 20
	maxHeaders     = 128
)

// Request is what is sent to a target.
type Request struct {
	Method, Path string
	Headers      []*wire.Header
	Body         []byte
}

// Failure says why a request has no answer.
type Failure struct {
	// Sent is false only when no byte of the request can have reached the target.
	Sent   bool
	Reason reason.Reason
	Cause  error
}

// Error describes the failure.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %v", f.Reason, f.Cause) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Slot is the right to have one request in progress at a target. It must be released.
type Slot struct {
	dispatcher *Dispatcher
	target     *target
	released   bool
}

// Release gives the slot back.
func (s *Slot) Release() {
	if !s.released {
		s.released = true
		s.dispatcher.release(s.target)
	}
}

// Target returns the target's name.
func (s *Slot) Target() string { return s.target.name }

// Send sends the request and reads the whole answer. The context's deadline bounds the exchange.
func (s *Slot) Send(ctx context.Context, request *Request) (*wire.Answer, *Failure) {
	answer, failure := s.exchange(ctx, request)
	s.dispatcher.note(s.target, failure, answer)
	return answer, failure
}

// note adjusts the target's health. Only failures of the target itself count, not a caller's deadline.
func (d *Dispatcher) note(t *target, failure *Failure, answer *wire.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case failure == nil && answer.GetStatus() < http.StatusInternalServerError:
		t.succeeded()
	case failure == nil || failure.Reason != reason.LeaseEnded:
		t.failed(d.cfg.Clock.Now())
	}
}

func (s *Slot) exchange(ctx context.Context, request *Request) (*wire.Answer, *Failure) {
	conn := s.target.takeIdle()
	if conn == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		raw, err := dialer.DialContext(ctx, "tcp", s.target.address)
		if err != nil {
			return nil, &Failure{Reason: reason.TargetUnreachable, Cause: err}
		}
		conn = newConnection(raw)
	}
	start := conn.conn.written
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	head, failure := s.write(ctx, conn, request)
	if failure == nil {
		var answer *wire.Answer
		var reusable bool
		if answer, reusable, failure = read(conn, head); failure == nil {
			s.keep(conn, reusable && stop())
			return answer, nil
		}
	}
	conn.close()
	failure.Sent = conn.conn.written > start
	if ctx.Err() != nil {
		failure.Reason = reason.DeadlineExceeded
	}
	return nil, failure
}

func (s *Slot) keep(conn *connection, reusable bool) {
	if !reusable {
		conn.close()
		return
	}
	_ = conn.conn.SetDeadline(time.Time{})
	s.dispatcher.mu.Lock()
	retired := s.target.retired
	s.dispatcher.mu.Unlock()
	s.target.keepIdle(conn, retired)
}

// write sends the request. The lease is checked under the target's write lock, right before the first byte leaves.
func (s *Slot) write(ctx context.Context, conn *connection, request *Request) (*http.Request, *Failure) {
	head, err := http.NewRequestWithContext(ctx, request.Method, "http://"+s.target.address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, &Failure{Reason: reason.RequestInvalid, Cause: err}
	}
	for _, h := range request.Headers {
		head.Header.Add(h.GetName(), h.GetValue())
	}
	s.target.writeLock.Lock()
	defer s.target.writeLock.Unlock()
	if !s.dispatcher.leased(s.target) {
		return nil, &Failure{Reason: reason.LeaseEnded, Cause: errors.New("the lease on the target has ended")}
	}
	if err := head.Write(conn.writer); err != nil {
		return nil, &Failure{Reason: reason.AnswerBroken, Cause: err}
	}
	if err := conn.writer.Flush(); err != nil {
		return nil, &Failure{Reason: reason.AnswerBroken, Cause: err}
	}
	return head, nil
}

func (d *Dispatcher) leased(t *target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg.Clock.Now() < d.leaseUntil && !t.retired && !t.leaving
}

// read reads one whole answer. An answer without a length whose end is the end of the connection cannot be told from a
// short one and is refused.
func read(conn *connection, head *http.Request) (answer *wire.Answer, reusable bool, failure *Failure) {
	response, err := http.ReadResponse(conn.reader, head)
	for err == nil && response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
		response, err = http.ReadResponse(conn.reader, head)
	}
	if err != nil {
		return nil, false, &Failure{Reason: reason.AnswerBroken, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && head.Method != http.MethodHead {
		return nil, false, &Failure{Reason: reason.AnswerBroken, Cause: errors.New("the answer has no length")}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, false, &Failure{Reason: reason.AnswerBroken, Cause: err}
	}
	if len(body) > maxAnswerBytes {
		return nil, false, &Failure{Reason: reason.AnswerTooLarge, Cause: errors.New("the answer exceeds " + strconv.Itoa(maxAnswerBytes) + " bytes")}
	}
	answer = &wire.Answer{Status: uint32(response.StatusCode), Body: body}
	for name, values := range response.Header {
		for _, value := range values {
			if len(answer.Headers) < maxHeaders {
				answer.Headers = append(answer.Headers, &wire.Header{Name: name, Value: value})
			}
		}
	}
	return answer, !response.Close, nil
}
