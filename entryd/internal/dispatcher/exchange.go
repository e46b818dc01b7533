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
	// maxInterimAnswers limits the 1xx answers before the final one.
	maxInterimAnswers = 8
	// lockedWriteBytes are written while the write lock is held. They fit into the empty send buffer of a connection,
	// so a target that does not read cannot block other requests.
	lockedWriteBytes = 4 << 10
	// DeadlineHeader is the header with the remaining time of a request in milliseconds.
	DeadlineHeader = "Flamingo-Deadline-Ms"
)

func (s *Slot) exchange(ctx context.Context, request *Request) (*wire.Answer, *Failure) {
	httpRequest, err := s.httpRequest(ctx, request)
	if err != nil {
		return nil, &Failure{Reason: reason.RequestInvalid, Cause: err}
	}
	conn, failure := s.connect(ctx)
	if failure != nil {
		return nil, failure
	}
	writtenBefore := conn.conn.written
	conn.conn.readLeft = maxAnswerBytes + maxHeadBytes
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if failure = s.write(ctx, conn, httpRequest); failure == nil {
		var answer *wire.Answer
		var reusable bool
		if answer, reusable, failure = readAnswer(conn, httpRequest); failure == nil {
			s.returnConnection(conn, reusable && stop())
			return answer, nil
		}
	}
	conn.close()
	failure.Sent = conn.conn.written > writtenBefore
	switch {
	case ctx.Err() != nil || errors.Is(failure.Cause, context.DeadlineExceeded) || isTimeout(failure.Cause):
		failure.Reason = reason.DeadlineExceeded
	case !failure.Sent && failure.Reason == reason.AnswerBroken:
		failure.Reason = reason.TargetUnreachable
	}
	return nil, failure
}

// isTimeout reports whether the deadline of a connection passed, which can happen shortly before the context reports
// its own.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// httpRequest builds the request that is sent to the target.
func (s *Slot) httpRequest(ctx context.Context, request *Request) (*http.Request, error) {
	url := "http://" + s.target.address + request.Path
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, url, bytes.NewReader(request.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for _, h := range request.Headers {
		httpRequest.Header.Add(h.GetName(), h.GetValue())
	}
	return httpRequest, nil
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

func (s *Slot) returnConnection(conn *connection, reusable bool) {
	if !reusable || conn.reader.Buffered() > 0 {
		conn.close()
		return
	}
	_ = conn.conn.SetDeadline(time.Time{})
	s.dispatcher.mu.Lock()
	limit := s.target.limit()
	s.dispatcher.mu.Unlock()
	s.target.putIdle(conn, limit)
}

// write sends the request. It checks the lease under the target's write lock, immediately before the first byte is
// written.
func (s *Slot) write(ctx context.Context, conn *connection, httpRequest *http.Request) *Failure {
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Milliseconds()
		if left <= 0 {
			return &Failure{Reason: reason.DeadlineExceeded, Cause: context.DeadlineExceeded}
		}
		httpRequest.Header.Set(DeadlineHeader, strconv.FormatInt(left, 10))
	}
	message := &bytes.Buffer{}
	if err := httpRequest.Write(message); err != nil {
		return &Failure{Reason: reason.RequestInvalid, Cause: err}
	}
	data := message.Bytes()
	lockedBytes := min(len(data), lockedWriteBytes)
	if failure := s.writeLocked(ctx, conn, data[:lockedBytes]); failure != nil {
		return failure
	}
	if _, err := conn.conn.Write(data[lockedBytes:]); err != nil {
		return &Failure{Reason: reason.AnswerBroken, Cause: err}
	}
	return nil
}

func (s *Slot) writeLocked(ctx context.Context, conn *connection, data []byte) *Failure {
	s.target.writeLock.Lock()
	defer s.target.writeLock.Unlock()
	if err := ctx.Err(); err != nil {
		return &Failure{Reason: reason.DeadlineExceeded, Cause: err}
	}
	if !s.dispatcher.mayUse(s.target) {
		return &Failure{Reason: reason.LeaseEnded, Cause: errors.New("the lease on the target has ended")}
	}
	if _, err := conn.conn.Write(data); err != nil {
		return &Failure{Reason: reason.AnswerBroken, Cause: err}
	}
	return nil
}

func (d *Dispatcher) mayUse(t *target) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg.Clock.Now() < d.leaseUntil && !t.retired && !t.leaving
}

func readFailure(err error) *Failure {
	if errors.Is(err, errAnswerTooLarge) {
		return &Failure{Reason: reason.AnswerTooLarge, Cause: err}
	}
	return &Failure{Reason: reason.AnswerBroken, Cause: err}
}

// readAnswer reads one whole answer. An answer that ends only with the connection cannot be told from a truncated one
// and is rejected.
func readAnswer(conn *connection, httpRequest *http.Request) (answer *wire.Answer, reusable bool, failure *Failure) {
	response, err := readFinalHead(conn, httpRequest)
	if err != nil {
		return nil, false, readFailure(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && httpRequest.Method != http.MethodHead {
		return nil, false, readFailure(errors.New("the answer has no length"))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, false, readFailure(err)
	}
	if len(body) > maxAnswerBytes {
		return nil, false, readFailure(fmt.Errorf("body above %d bytes: %w", maxAnswerBytes, errAnswerTooLarge))
	}
	answer = &wire.Answer{Status: uint32(response.StatusCode), Body: body}
	for name, values := range response.Header {
		for _, value := range values {
			answer.Headers = append(answer.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	if len(answer.GetHeaders()) > maxHeaders {
		return nil, false, readFailure(fmt.Errorf("more than %d headers: %w", maxHeaders, errAnswerTooLarge))
	}
	return answer, !response.Close, nil
}

// readFinalHead reads the head of the final answer and skips interim ones.
func readFinalHead(conn *connection, httpRequest *http.Request) (*http.Response, error) {
	for range maxInterimAnswers + 1 {
		response, err := http.ReadResponse(conn.reader, httpRequest)
		switch {
		case err != nil:
			return nil, fmt.Errorf("read answer: %w", err)
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the target switched protocols")
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
	return nil, fmt.Errorf("more than %d interim answers", maxInterimAnswers)
}
