// Package client is an HTTP client of a cell's operators' API.
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
	// maxResponseBytes is above the 8 MiB that a cell's responses have at most.
	maxResponseBytes = 16 << 20
)

// Config contains the addresses of the API and the operator's token.
type Config struct {
	// Entries are addresses of entry processes; they are tried in order.
	Entries []string
	Token   string
}

// Client calls the operators' API.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a Client. Each attempt at an entry process has a timeout of its own.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: &http.Client{Timeout: attemptTimeout}}
}

// ErrUnreachable is returned when no entry process gave a final answer. A change may have been accepted; it is safe to
// send it again with the same change ID.
var ErrUnreachable = errors.New("no entry process gave an answer")

// Call sends one request and returns the body of the response. It tries the entry processes in turn until one gives a
// final answer, so a change must have a change ID. The error wraps ErrUnreachable, or is a *Refusal, which is final.
func (c *Client) Call(ctx context.Context, action string, body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	lastErr := ErrUnreachable
	for _, entry := range c.cfg.Entries {
		answer, err := c.attempt(ctx, entry, action, data)
		var refusal *Refusal
		if err == nil || errors.As(err, &refusal) && refusal.final() {
			return answer, err
		}
		lastErr = fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return nil, lastErr
}

// attempt sends one request to one entry process.
func (c *Client) attempt(ctx context.Context, entry, action string, data []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+entry+"/operator/v1/"+action, bytes.NewReader(data))
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
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer of %s: %w", entry, err)
	}
	if response.StatusCode == http.StatusOK {
		return answer, nil
	}
	return nil, newRefusal(entry, response.StatusCode, answer)
}
