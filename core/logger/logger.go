// Package logger defines the numbered log events and writes them. docs/events.md lists them.
package logger

import (
	"context"
	"fmt"
	"io"
	"log/slog"
)

// Event is a type of log entry with a fixed number, level and message.
type Event struct {
	number int
	level  slog.Level
	text   string
}

var catalogue []Event

func define(number int, level slog.Level, text string) Event {
	event := Event{number: number, level: level, text: text}
	catalogue = append(catalogue, event)
	return event
}

// Catalogue returns all defined events.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Level returns the event's level.
func (e Event) Level() slog.Level { return e.level }

// Text returns the event's message.
func (e Event) Text() string { return e.text }

// Log writes the event with its code as the attribute "event" and further attributes.
func (e Event) Log(l *slog.Logger, attrs ...any) {
	l.Log(context.Background(), e.level, e.text, append([]any{slog.String("event", e.Code())}, attrs...)...)
}

// Code returns the event number as written in logs, for example "FD1001".
func (e Event) Code() string { return fmt.Sprintf("FD%04d", e.number) }

// New returns a logger that writes JSON lines to w, each with the names of the program and the host.
func New(w io.Writer, program, host string) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo})
	return slog.New(handler).With("program", program, "host", host)
}
