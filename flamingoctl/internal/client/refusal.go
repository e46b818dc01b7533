package client

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

// Refusal is returned when the cell refused a request; the request had no effect.
type Refusal struct {
	// Status is the HTTP status code; Body is the answer as it was received.
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

// newRefusal reads the body of an answer that is not a success. An answer without a reason is no refusal: it may come
// from something in between.
func newRefusal(entry string, status int, body []byte) error {
	refusal := &Refusal{Status: status, Body: bytes.TrimSpace(body)}
	if err := json.Unmarshal(body, refusal); err != nil || refusal.Reason == "" {
		return fmt.Errorf("%s answered with status %d and no reason", entry, status)
	}
	return refusal
}

// Error lists the reason and every problem.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("refused (%s): %s", r.Reason, r.Detail)
	for _, p := range r.SheetProblems {
		text += fmt.Sprintf("\n  line %d, column %d: %s", p.Line, p.Column, p.Text)
	}
	return text
}

// final reports whether another entry process would say the same. A full disk is the leader's answer: nothing was
// accepted. Other answers with status 503 leave open whether a change was accepted.
func (r *Refusal) final() bool {
	return r.Status != http.StatusServiceUnavailable || r.Reason == "disk_full"
}
