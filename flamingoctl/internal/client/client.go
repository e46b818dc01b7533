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
	// maxAnswerBytes is above the 8 MiB that a cell answers at most.
	maxAnswerBytes = 16 << 20
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

// ErrUnreachable is returned when no entry process gave a final answer. A change may have been accepted; sending it
// again with the same change id is safe.
var ErrUnreachable = errors.New("no entry process gave an answer")

// Call sends one request and returns the body of the answer. It tries the entry processes in turn until one gives a
// final answer, so a change must carry a change id. Errors: *Refusal, which is final, or ErrUnreachable.
func (c *Client) Call(ctx context.Context, action string, body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	last := ErrUnreachable
	for _, entry := range c.cfg.Entries {
		answer, err := c.attempt(ctx, entry, action, data)
		var refusal *Refusal
		if err == nil || errors.As(err, &refusal) && refusal.final() {
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
		return nil, fmt.Errorf("read answer of %s: %w", entry, err)
	}
	if response.StatusCode == http.StatusOK {
		return answer, nil
	}
	return nil, newRefusal(entry, response.StatusCode, answer)
}
