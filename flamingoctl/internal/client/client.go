// Package client talks to the operators' API of a cell.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	attemptTimeout = 6 * time.Second
	maxAnswerBytes = 64 << 20
)

// Config says where the API is.
type Config struct {
	// Entries are addresses of entry processes; they are tried in order.
	Entries []string
	Token   string
}

// Client calls the API.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a Client.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: &http.Client{Timeout: attemptTimeout}}
}

// Refusal is returned when the cell refused a request; the request had no effect.
type Refusal struct {
	Status        int            `json:"-"`
	Reason        string         `json:"reason"`
	Detail        string         `json:"detail"`
	SheetProblems []SheetProblem `json:"sheet_problems"`
}

// SheetProblem is one error in a sheet.
type SheetProblem struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
}

// Error lists the reason and every problem.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("refused (%s): %s", r.Reason, r.Detail)
	for _, p := range r.SheetProblems {
		text += fmt.Sprintf("\n  line %d, column %d: %s", p.Line, p.Column, p.Text)
	}
	return text
}

// ErrUnreachable is returned when no entry process gave an answer. A change may have been accepted; sending it again
// with the same change id is safe.
var ErrUnreachable = errors.New("no entry process gave an answer")

// Call sends one request and returns the body of the answer. Requests may be sent again to another entry process, so a
// change must carry a change id.
func (c *Client) Call(ctx context.Context, action string, body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	last := ErrUnreachable
	for _, entry := range c.cfg.Entries {
		answer, err := c.attempt(ctx, entry, action, data)
		var refusal *Refusal
		if err == nil || errors.As(err, &refusal) && refusal.Status != http.StatusServiceUnavailable {
			return answer, err
		}
		last = fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return nil, last
}

func (c *Client) attempt(ctx context.Context, entry, action string, data []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/operator/v1/"+action, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode == http.StatusOK {
		return answer, nil
	}
	refusal := &Refusal{Status: response.StatusCode}
	if err := json.Unmarshal(answer, refusal); err != nil {
		return nil, fmt.Errorf("status %d without a reason", response.StatusCode)
	}
	return nil, refusal
}
