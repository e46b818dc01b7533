// Package traffic simulates callers. Each sends non-idempotent requests one after another and checks that each answer
// belongs to its request.
package traffic

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"flamingodrift.example/standin/internal/oracle"
)

const (
	requestTimeout = 8 * time.Second
	resendDelay    = 50 * time.Millisecond
	maxResends     = 3
)

// Config describes the callers.
type Config struct {
	// EntryAddress returns the address of an entry process for the next request.
	EntryAddress func() string
	Service      string
	Oracle       *oracle.Oracle
	Callers      int
	// ThinkTime is the time between two requests of a caller.
	ThinkTime time.Duration
	// WorkMs is the processing time of a request at the target, in milliseconds.
	WorkMs int
}

// Outcome is the outcome of a request as its caller sees it.
type Outcome string

// Outcomes as in the header Flamingo-Outcome.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "outcome_unknown"
)

// Result is the final outcome of one non-idempotent request.
type Result struct {
	Caller, Key string
	Outcome     Outcome
	Reason      string
	Resends     int
}

// Traffic is a set of callers that send requests until they are stopped.
type Traffic struct {
	cfg    Config
	client *http.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	results []Result
}

// Start starts the callers.
func Start(cfg Config) *Traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Traffic{cfg: cfg, cancel: cancel, client: &http.Client{
		Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	for i := range cfg.Callers {
		t.wg.Add(1)
		go t.runCaller(ctx, fmt.Sprintf("caller-%d", i))
	}
	return t
}

func (t *Traffic) runCaller(ctx context.Context, name string) {
	defer t.wg.Done()
	for n := 0; ctx.Err() == nil; n++ {
		result := t.request(name, fmt.Sprintf("%s-%d", name, n))
		t.mu.Lock()
		t.results = append(t.results, result)
		t.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(t.cfg.ThinkTime):
		}
	}
}

// request sends a request and, while its outcome is unknown, resends it with the same idempotency key, as callers do
// when an answer is lost. It resends at most maxResends times.
func (t *Traffic) request(caller, key string) Result {
	result := Result{Caller: caller, Key: key}
	for {
		result.Outcome, result.Reason = t.send(caller, key)
		if result.Outcome != Unknown || result.Resends == maxResends {
			return result
		}
		result.Resends++
		time.Sleep(resendDelay)
	}
}

// send sends a request once. After an error of the caller's own connection the outcome is unknown.
func (t *Traffic) send(caller, key string) (Outcome, string) {
	url := fmt.Sprintf("http://%s/call/%s/sleep/%d", t.cfg.EntryAddress(), t.cfg.Service, t.cfg.WorkMs)
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(key))
	if err != nil {
		return NotRun, err.Error()
	}
	request.Header.Set("Flamingo-Caller", caller)
	request.Header.Set("Idempotency-Key", key)
	response, err := t.client.Do(request)
	if err != nil {
		return Unknown, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Unknown, err.Error()
	}
	outcome := Outcome(response.Header.Get("Flamingo-Outcome"))
	if outcome == Answered && (!strings.HasSuffix(string(body), " "+key) ||
		response.Header.Get("Standin-Caller") != caller) {
		t.cfg.Oracle.RecordViolation(fmt.Sprintf("%s got %q as the answer to %s", caller, body, key))
	}
	return outcome, response.Header.Get("Flamingo-Reason")
}

// Stop stops the callers and checks their outcomes against the executions that the oracle recorded.
func (t *Traffic) Stop() []Result {
	t.cancel()
	t.wg.Wait()
	for _, r := range t.results {
		ran := t.cfg.Oracle.Executions(r.Caller, r.Key)
		switch {
		case r.Outcome == Answered && ran != 1:
			t.cfg.Oracle.RecordViolation(fmt.Sprintf("%s was answered but ran %d times", r.Key, ran))
		case r.Outcome == NotRun && ran != 0:
			t.cfg.Oracle.RecordViolation(fmt.Sprintf("%s was reported as not run (%s) but ran %d times", r.Key, r.Reason, ran))
		}
	}
	return t.results
}

// Counts returns the number of results by outcome.
func Counts(results []Result) map[Outcome]int {
	counts := map[Outcome]int{}
	for _, r := range results {
		counts[r.Outcome]++
	}
	return counts
}
