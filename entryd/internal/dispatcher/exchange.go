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
	maxHeadBytes   = 64 << 10
	maxHeaders     = 128
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 8
	// guardedBytes are written under the write lock. They fit into the empty send buffer of a connection, so that a
	// target that does not read delays no other request.
	guardedBytes = 4 << 10
	// DeadlineHeader carries the remaining time of a request in milliseconds.
	DeadlineHeader = "Flamingo-Deadline-Ms"
)

func (s *Slot) exchange(ctx context.Context, request *Request) (*wire.Answer, *Failure) {
	head, err := s.head(ctx, request)
	if err != nil {
		return nil, &Failure{Reason: reason.RequestInvalid, Cause: err}
	}
	conn, failure := s.connect(ctx)
	if failure != nil {
		return nil, failure
	}
	start := conn.conn.written
	conn.conn.readLeft = maxAnswerBytes + maxHeadBytes
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if failure = s.write(ctx, conn, head); failure == nil {
		var answer *wire.Answer
		var reusable bool
		if answer, reusable, failure = read(conn, head); failure == nil {
			s.keep(conn, reusable && stop())
			return answer, nil
		}
	}
	conn.close()
	failure.Sent = conn.conn.written > start
	switch {
	case ctx.Err() != nil || errors.Is(failure.Cause, context.DeadlineExceeded) || isTimeout(failure.Cause):
		failure.Reason = reason.DeadlineExceeded
	case !failure.Sent && failure.Reason == reason.AnswerBroken:
		failure.Reason = reason.TargetUnreachable
	}
	return nil, failure
}

// isTimeout reports whether a connection's deadline passed, which may be a moment before the context's is noticed.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// head builds the request that is sent.
func (s *Slot) head(ctx context.Context, request *Request) (*http.Request, error) {
	url := "http://" + s.target.address + request.Path
	head, err := http.NewRequestWithContext(ctx, request.Method, url, bytes.NewReader(request.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for _, h := range request.Headers {
		head.Header.Add(h.GetName(), h.GetValue())
	}
	return head, nil
}

func (s *Slot) connect(ctx context.Context) (*connection, *Failure) {
	if conn := s.target.takeIdle(); conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", s.target.address)
	switch {
	case err == nil:
		return newConnection(raw), nil
	case ctx.Err() != nil:
		return nil, &Failure{Reason: reason.DeadlineExceeded, Cause: err}
	default:
		return nil, &Failure{Reason: reason.TargetUnreachable, Cause: err}
	}
}

func (s *Slot) keep(conn *connection, reusable bool) {
	if !reusable || conn.reader.Buffered() > 0 {
		conn.close()
		return
	}
	_ = conn.conn.SetDeadline(time.Time{})
	s.dispatcher.mu.Lock()
	limit := s.target.limit()
	s.dispatcher.mu.Unlock()
	s.target.keepIdle(conn, limit)
}

// write sends the request. The lease is checked under the target's write lock, right before the first byte leaves.
func (s *Slot) write(ctx context.Context, conn *connection, head *http.Request) *Failure {
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		if left <= 0 {
			return &Failure{Reason: reason.DeadlineExceeded, Cause: context.DeadlineExceeded}
		}
		head.Header.Set(DeadlineHeader, strconv.FormatInt(left, 10))
	}
	message := &bytes.Buffer{}
	if err := head.Write(message); err != nil {
		return &Failure{Reason: reason.RequestInvalid, Cause: err}
	}
	data := message.Bytes()
	guarded := min(len(data), guardedBytes)
	if failure := s.writeGuarded(ctx, conn, data[:guarded]); failure != nil {
		return failure
	}
	if _, err := conn.conn.Write(data[guarded:]); err != nil {
		return &Failure{Reason: reason.AnswerBroken, Cause: err}
	}
	return nil
}

func (s *Slot) writeGuarded(ctx context.Context, conn *connection, data []byte) *Failure {
	s.target.writeLock.Lock()
	defer s.target.writeLock.Unlock()
	if err := ctx.Err(); err != nil {
		return &Failure{Reason: reason.DeadlineExceeded, Cause: err}
	}
	if !s.dispatcher.leased(s.target) {
		return &Failure{Reason: reason.LeaseEnded, Cause: errors.New("the lease on the target has ended")}
	}
	if _, err := conn.conn.Write(data); err != nil {
		return &Failure{Reason: reason.AnswerBroken, Cause: err}
	}
	return nil
}

func (d *Dispatcher) leased(t *target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg.Clock.Now() < d.leaseUntil && !t.retired && !t.leaving
}

func broken(err error) *Failure {
	if errors.Is(err, errAnswerTooLarge) {
		return &Failure{Reason: reason.AnswerTooLarge, Cause: err}
	}
	return &Failure{Reason: reason.AnswerBroken, Cause: err}
}

// read reads one whole answer. An answer without a length whose end is the end of the connection cannot be told from a
// short one and is refused.
func read(conn *connection, head *http.Request) (answer *wire.Answer, reusable bool, failure *Failure) {
	response, err := readHead(conn, head)
	if err != nil {
		return nil, false, broken(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && head.Method != http.MethodHead {
		return nil, false, broken(errors.New("the answer has no length"))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, false, broken(err)
	}
	if len(body) > maxAnswerBytes {
		return nil, false, broken(fmt.Errorf("body above %d bytes: %w", maxAnswerBytes, errAnswerTooLarge))
	}
	answer = &wire.Answer{Status: uint32(response.StatusCode), Body: body}
	for name, values := range response.Header {
		for _, value := range values {
			answer.Headers = append(answer.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	if len(answer.GetHeaders()) > maxHeaders {
		return nil, false, broken(fmt.Errorf("more than %d headers: %w", maxHeaders, errAnswerTooLarge))
	}
	return answer, !response.Close, nil
}

// readHead reads the head of the final answer.
func readHead(conn *connection, head *http.Request) (*http.Response, error) {
	for range maxInterim + 1 {
		response, err := http.ReadResponse(conn.reader, head)
		switch {
		case err != nil:
			return nil, fmt.Errorf("read answer: %w", err)
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the target switched protocols")
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
	return nil, fmt.Errorf("more than %d interim answers", maxInterim)
}
