// Package bodylimiter limits the memory and the time that the bodies of HTTP requests take, and the time in which a
// client must read a response.
package bodylimiter

import (
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"flamingodrift.example/core/bytelimiter"
	"flamingodrift.example/core/connlimiter"
	"flamingodrift.example/core/refusalrecorder"
)

// Errors of ReadAll. Status maps them to HTTP status codes.
var (
	ErrTooLarge = errors.New("the body is too large")
	ErrNoBudget = errors.New("too many bodies are in progress")
	ErrTimeout  = errors.New("the body did not arrive in time")
)

const (
	// firstAnnouncedBytes and firstChunkedBytes bound the first buffer of a body, so that a client must send data before
	// it takes more memory. An ordinary job fits into the former.
	firstAnnouncedBytes = 16 << 10
	firstChunkedBytes   = 4 << 10
	// displaceAge is the least age of a body whose connection is closed for a small request. An ordinary small body takes
	// one round trip.
	displaceAge = 500 * time.Millisecond
	// displaceWait is the time for a closed connection to release its memory; maxDisplaced bounds the attempts.
	displaceWait = 2 * time.Millisecond
	maxDisplaced = 16
	// maxRetryAfterSeconds spreads the next attempts of refused clients.
	maxRetryAfterSeconds = 3
)

// Config holds the limits of a listener.
type Config struct {
	// Listener is the name of the listener in metrics and logs.
	Listener string
	// Budget limits the memory of all bodies in progress; nil means no limit.
	Budget *bytelimiter.Limiter
	// BodyTimeout is the time in which a body must arrive, and ResponseTimeout that in which a response must be read,
	// counted from its first byte; 0 means no limit.
	BodyTimeout, ResponseTimeout time.Duration
	// Recorder counts refusals; nil discards them.
	Recorder *refusalrecorder.Recorder
}

// Limiter wraps the handlers of one listener. It is safe for concurrent use.
type Limiter struct {
	cfg Config
}

// New returns a Limiter.
func New(cfg Config) *Limiter { return &Limiter{cfg: cfg} }

// unlimited applies to requests that were not wrapped.
var unlimited = New(Config{})

// Wrap returns a handler that releases the memory of a call when the call ends, and that closes the connection of a
// request whose body was not read to its end, without receiving the rest of it unless it is small.
func (l *Limiter) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e := &exchange{ResponseWriter: w, limiter: l, request: r, rest: restOf(r)}
		defer e.end()
		next.ServeHTTP(e, r)
	})
}

// exchange is the http.ResponseWriter of a wrapped request.
type exchange struct {
	http.ResponseWriter
	limiter *Limiter
	request *http.Request
	// reserved is what the call has reserved of the budget.
	reserved int64
	// rest is what is left to receive of the body.
	rest      rest
	responded bool
}

// rest is what to do with the part of a body that the handler has not read.
type rest int

const (
	restNone rest = iota
	// restSmall is received by net/http, so that the connection can be used again.
	restSmall
	// restLarge is not received; the connection is closed.
	restLarge
)

func restOf(r *http.Request) rest {
	switch {
	case r.ContentLength == 0:
		return restNone
	case r.ContentLength > 0 && r.ContentLength <= firstAnnouncedBytes:
		return restSmall
	default:
		return restLarge
	}
}

// Unwrap implements the protocol of http.ResponseController.
func (e *exchange) Unwrap() http.ResponseWriter { return e.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	e.begin()
	e.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (e *exchange) Write(data []byte) (int, error) {
	e.begin()
	n, err := e.ResponseWriter.Write(data)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		e.refused(refusalrecorder.ResponseTimeout)
	}
	return n, err
}

// begin prepares the response.
func (e *exchange) begin() {
	if e.responded {
		return
	}
	e.responded = true
	if e.request != nil {
		connlimiter.SetResponding(e.request.Context())
	}
	controller := http.NewResponseController(e.ResponseWriter)
	switch e.rest {
	case restNone:
	case restSmall:
		if timeout := e.limiter.cfg.BodyTimeout; timeout > 0 {
			_ = controller.SetReadDeadline(time.Now().Add(timeout))
		}
	case restLarge:
		e.Header().Set("Connection", "close")
		// net/http receives up to 256 KiB of an unread body after the handler; it stops at once with this deadline.
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	}
	if timeout := e.limiter.cfg.ResponseTimeout; timeout > 0 {
		_ = controller.SetWriteDeadline(time.Now().Add(timeout))
	}
}

// end releases the memory of the call.
func (e *exchange) end() {
	e.begin()
	e.release(e.reserved)
}

func (e *exchange) refused(why refusalrecorder.Reason) {
	e.limiter.cfg.Recorder.Refused(why, e.limiter.cfg.Listener)
}

func (e *exchange) reserve(bytes int64) bool {
	budget := e.limiter.cfg.Budget
	if budget == nil {
		return true
	}
	if !budget.Reserve(bytes, e.reserved+bytes) && !e.displace(bytes) {
		e.refused(refusalrecorder.BodyBudget)
		return false
	}
	e.reserved += bytes
	return true
}

// displace makes room for a small request: it closes connections that have been sending their bodies for long.
func (e *exchange) displace(bytes int64) bool {
	budget, total := e.limiter.cfg.Budget, e.reserved+bytes
	if e.request == nil || !budget.Small(total) {
		return false
	}
	for range maxDisplaced {
		if !connlimiter.CloseReceiving(e.request.Context(), time.Now(), displaceAge) {
			return false
		}
		e.refused(refusalrecorder.BodyDisplaced)
		time.Sleep(displaceWait)
		if budget.Reserve(bytes, total) {
			return true
		}
	}
	return false
}

func (e *exchange) release(bytes int64) {
	if e.limiter.cfg.Budget != nil {
		e.limiter.cfg.Budget.Release(bytes)
		e.reserved -= bytes
	}
}

// find returns the exchange that a ResponseWriter belongs to.
func find(w http.ResponseWriter) *exchange {
	for {
		if e, ok := w.(*exchange); ok {
			return e
		}
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return nil
		}
		w = wrapper.Unwrap()
	}
}

// Reserve reserves further memory for a call until it ends, and reports whether the budget allows it. It always does for
// a request that is not wrapped.
func Reserve(w http.ResponseWriter, bytes int64) bool {
	e := find(w)
	return e == nil || e.reserve(bytes)
}

// Release returns memory that was reserved for a call before the call ends.
func Release(w http.ResponseWriter, bytes int64) {
	if e := find(w); e != nil {
		e.release(bytes)
	}
}

// Status returns the HTTP status for an error of ReadAll, or 0 if the request was not refused by a Limiter. It sets
// the headers that go with the status.
func Status(w http.ResponseWriter, err error) int {
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrTimeout):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrNoBudget):
		w.Header().Set("Retry-After", strconv.Itoa(1+rand.IntN(maxRetryAfterSeconds)))
		return http.StatusServiceUnavailable
	default:
		return 0
	}
}

// ReadAll reads a body of at most limit bytes. Its memory is reserved before it is allocated, in steps as data arrives,
// until the call ends.
func ReadAll(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	return ReadAllWithin(w, r, limit, 0)
}

// ReadAllWithin is ReadAll with a shorter time limit; 0 means that of the listener.
func ReadAllWithin(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	e := find(w)
	if e == nil {
		e = &exchange{ResponseWriter: w, limiter: unlimited}
	}
	if listener := e.limiter.cfg.BodyTimeout; listener > 0 && (timeout <= 0 || listener < timeout) {
		timeout = listener
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		e.refused(refusalrecorder.BodyTooLarge)
		return nil, ErrTooLarge
	}
	now := time.Now()
	connlimiter.StartReceiving(r.Context(), now)
	if timeout > 0 {
		_ = http.NewResponseController(e.ResponseWriter).SetReadDeadline(now.Add(timeout))
	}
	before := e.reserved
	body, err := e.receive(r, limit)
	if err != nil {
		e.release(e.reserved - before)
		e.rest = restLarge
		return nil, err
	}
	e.rest = restNone
	connlimiter.StopReceiving(r.Context())
	if timeout > 0 {
		// A deadline that passes while the handler runs would look like the end of the connection.
		_ = http.NewResponseController(e.ResponseWriter).SetReadDeadline(time.Time{})
	}
	return body, nil
}

// receive reads the body into a buffer that grows up to the announced size, or limit.
func (e *exchange) receive(r *http.Request, limit int64) ([]byte, error) {
	size, most := min(r.ContentLength, firstAnnouncedBytes), r.ContentLength
	if r.ContentLength < 0 {
		// One byte more than the limit shows that the body exceeds it.
		most = limit + min(1, math.MaxInt64-limit)
		size = min(firstChunkedBytes, most)
	}
	if !e.reserve(size) {
		return nil, ErrNoBudget
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			if int64(len(body)) == r.ContentLength {
				return body, nil
			}
			if int64(len(body)) > limit {
				e.refused(refusalrecorder.BodyTooLarge)
				return nil, ErrTooLarge
			}
			held := int64(cap(body))
			size = min(2*held, most)
			if !e.reserve(size) {
				return nil, ErrNoBudget
			}
			body = append(make([]byte, 0, size), body...)
			e.release(held)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == nil {
			continue
		}
		return body, e.check(err, int64(len(body)), r.ContentLength, limit)
	}
}

// check returns the error for a body that ended with err after size bytes; nil if it is complete.
func (e *exchange) check(err error, size, announced, limit int64) error {
	var tooLarge *http.MaxBytesError
	switch {
	case size > limit || errors.As(err, &tooLarge):
		e.refused(refusalrecorder.BodyTooLarge)
		return ErrTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.refused(refusalrecorder.BodyTimeout)
		return ErrTimeout
	case !errors.Is(err, io.EOF):
		return err
	case announced >= 0 && size < announced:
		return io.ErrUnexpectedEOF
	default:
		return nil
	}
}
