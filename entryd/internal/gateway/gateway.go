// Package gateway takes callers' requests and ends each of them in a true outcome: answered, not run, or unknown.
package gateway

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"flamingodrift.example/entryd/internal/claimer"
	"flamingodrift.example/entryd/internal/dispatcher"
	"flamingodrift.example/entryd/internal/retrier"
	"flamingodrift.example/entryd/internal/steward"

	"flamingodrift.example/core/clock"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/meter"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Prefix is the path under which callers' requests arrive: Prefix + service + "/" + path.
const Prefix = "/call/"

const (
	maxBodyBytes = 1 << 20
	maxNameBytes = 128
)

// Config holds what a Gateway needs.
type Config struct {
	Steward    *steward.Steward
	Dispatcher *dispatcher.Dispatcher
	Claimer    *claimer.Claimer
	Retrier    *retrier.Retrier
	Messenger  *messenger.Messenger
	Clock      clock.Clock
	Meter      *meter.Meter
	Logger     *slog.Logger
}

// Gateway is safe for concurrent use.
type Gateway struct {
	cfg    Config
	active atomic.Int64
}

// New returns a Gateway.
func New(cfg Config) *Gateway { return &Gateway{cfg: cfg} }

// Active returns the number of callers' requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// call is one caller's request.
type call struct {
	service    *wire.Service
	caller     string
	key        string
	request    *dispatcher.Request
	idempotent bool
}

// result is how a request ended.
type result struct {
	outcome wire.Outcome
	reason  reason.Reason
	detail  string
	answer  *wire.Answer
	// proven is set when a not-run outcome holds for every sending with the same idempotency key, not only for this one.
	proven bool
}

func notRun(why reason.Reason, detail string) *result {
	return &result{outcome: wire.Outcome_OUTCOME_NOT_RUN, reason: why, detail: detail}
}

func unknown(why reason.Reason, detail string) *result {
	return &result{outcome: wire.Outcome_OUTCOME_UNKNOWN, reason: why, detail: detail}
}

func answered(answer *wire.Answer) *result {
	return &result{outcome: wire.Outcome_OUTCOME_ANSWERED, answer: answer}
}

// ServeHTTP handles one caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	c, res := g.parse(w, r)
	service := "unknown"
	if res == nil {
		service = c.service.GetName()
		ctx, cancel := context.WithTimeout(r.Context(), deadline(c.service, r))
		res = g.run(ctx, c)
		cancel()
	}
	res = qualify(r, c, res)
	g.cfg.Meter.Outcome(service, outcomeName(res.outcome))
	if res.outcome != wire.Outcome_OUTCOME_ANSWERED {
		g.cfg.Meter.Refused(res.reason)
	}
	write(w, res)
}

// parse checks a request; a result is returned when it is refused.
func (g *Gateway) parse(w http.ResponseWriter, r *http.Request) (*call, *result) {
	if why := g.cfg.Steward.Current(g.cfg.Clock.Now()); why != reason.None {
		return nil, notRun(why, "this entry process cannot confirm that its configuration is current")
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), Prefix), "/")
	service := g.cfg.Steward.State().Services[name]
	if service == nil {
		return nil, notRun(reason.UnknownService, fmt.Sprintf("the configuration names no service %q", name))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, provenNotRun(reason.RequestTooLarge, fmt.Sprintf("the body cannot be read or exceeds %d bytes", maxBodyBytes))
	}
	c := &call{
		service: service, caller: r.Header.Get("Flamingo-Caller"), key: r.Header.Get("Idempotency-Key"),
		idempotent: idempotent(service, r.Method),
	}
	if len(c.caller) > maxNameBytes || len(c.key) > maxNameBytes {
		return nil, provenNotRun(reason.RequestInvalid, fmt.Sprintf("caller and key have at most %d bytes", maxNameBytes))
	}
	if !c.idempotent && (c.key == "" || c.caller == "") {
		return nil, notRun(reason.KeyMissing, "a non-idempotent request needs the headers Flamingo-Caller and Idempotency-Key")
	}
	target := "/" + path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	c.request = &dispatcher.Request{Method: r.Method, Path: target, Headers: forwardable(r.Header), Body: body}
	return c, nil
}

func idempotent(service *wire.Service, method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return slices.Contains(service.GetIdempotentMethods(), method)
	}
}

func deadline(service *wire.Service, r *http.Request) time.Duration {
	limit := time.Duration(service.GetDeadlineMs()) * time.Millisecond
	if ms, err := strconv.ParseUint(r.Header.Get("Flamingo-Deadline-Ms"), 10, 32); err == nil {
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	return limit
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

func forwardable(header http.Header) []*wire.Header {
	var headers []*wire.Header
	for name, values := range header {
		if slices.Contains(hopHeaders, name) {
			continue
		}
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}

func (g *Gateway) run(ctx context.Context, c *call) *result {
	g.cfg.Retrier.Earn()
	if c.idempotent {
		return g.serve(ctx, c)
	}
	return g.runOnce(ctx, c)
}

// runOnce claims the key, so that the request is sent at most once by all entry processes together.
func (g *Gateway) runOnce(ctx context.Context, c *call) *result {
	claim, reply, why := g.cfg.Claimer.Open(ctx, c.caller, c.key, digest(c))
	if why != reason.None {
		return notRun(why, "the idempotency key could not be claimed")
	}
	switch reply.GetState() {
	case wire.ClaimState_CLAIM_STATE_GRANTED:
	case wire.ClaimState_CLAIM_STATE_ANSWERED:
		return kept(reply.GetAnswer())
	case wire.ClaimState_CLAIM_STATE_RUNNING:
		return unknown(reason.StillRunning, "an earlier request with this key is still running")
	case wire.ClaimState_CLAIM_STATE_KEY_REUSED:
		return provenNotRun(reason.KeyReused, "this key was used for another request")
	case wire.ClaimState_CLAIM_STATE_FULL:
		return provenNotRun(reason.ClaimsFull, "too many idempotency keys are kept")
	default:
		return unknown(reason.OutcomeUnknown, "an earlier request with this key ended without an answer; it will not be run again")
	}
	res := g.serve(ctx, c)
	// The claim was granted, so no earlier sending with this key has run.
	res.proven = true
	g.settle(claim, res)
	return res
}

func kept(answer *wire.Answer) *result {
	if answer.GetDropped() {
		return unknown(reason.AnswerNotKept, fmt.Sprintf(
			"the request ran and was answered with status %d; the answer is no longer kept", answer.GetStatus()))
	}
	return answered(answer)
}

func digest(c *call) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q\n", c.service.GetName(), c.request.Method, c.request.Path)
	h.Write(c.request.Body)
	return h.Sum(nil)
}

func (g *Gateway) settle(claim *claimer.Claim, res *result) {
	state := wire.ClaimState_CLAIM_STATE_UNKNOWN
	switch res.outcome {
	case wire.Outcome_OUTCOME_ANSWERED:
		state = wire.ClaimState_CLAIM_STATE_ANSWERED
	case wire.Outcome_OUTCOME_NOT_RUN:
		state = wire.ClaimState_CLAIM_STATE_UNSPECIFIED
	default:
		logger.RequestUnknown.Log(g.cfg.Logger, "reason", res.reason.String(), "detail", res.detail)
	}
	if err := g.cfg.Claimer.Settle(claim, state, res.answer); err != nil {
		logger.RequestUnknown.Log(g.cfg.Logger, "reason", reason.ClaimUnavailable.String(), "detail", err.Error())
	}
}
