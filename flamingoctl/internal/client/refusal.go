package client

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

// Refusal is the error for a request that the cell refused; the request had no effect.
type Refusal struct {
	// Status is the HTTP status code, and Body the response body as it was received.
	Status        int            `json:"-"`
	Body          []byte         `json:"-"`
	Reason        string         `json:"reason"`
	Detail        string         `json:"detail"`
	Revision      uint64         `json:"revision"`
	SheetProblems []SheetProblem `json:"sheet_problems"`
}

// SheetProblem is one error in a sheet.
type SheetProblem struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
}

// newRefusal decodes the body of an unsuccessful response. A response without a reason is not a refusal: it may come
// from an intermediary such as a proxy.
func newRefusal(entry string, status int, body []byte) error {
	refusal := &Refusal{Status: status, Body: bytes.TrimSpace(body)}
	if err := json.Unmarshal(body, refusal); err != nil || refusal.Reason == "" {
		return fmt.Errorf("%s answered with status %d and no reason", entry, status)
	}
	return refusal
}

// Error returns the reason, the detail and every problem of the sheet.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("refused (%s): %s", r.Reason, r.Detail)
	for _, p := range r.SheetProblems {
		text += fmt.Sprintf("\n  line %d, column %d: %s", p.Line, p.Column, p.Text)
	}
	return text
}

// final reports whether another entry process would give the same answer. The reason disk_full comes from the leader
// and means that nothing was accepted. Other responses with status 503 leave open whether a change was accepted.
func (r *Refusal) final() bool {
	return r.Status != http.StatusServiceUnavailable || r.Reason == "disk_full"
}
