package main

import (
	"errors"
	"net/http"

	"flamingodrift.example/flamingoctl/internal/client"
)

// Exit codes, as the help text lists them.
const (
	exitRefused      = 1
	exitUsage        = 2
	exitUnreachable  = 3
	exitNotFound     = 4
	exitUnauthorized = 5
)

// usageError is a wrong command line or an unreadable file; nothing was sent.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }

// exitCode returns the exit code for an error of run.
func exitCode(err error) int {
	var refusal *client.Refusal
	var usage *usageError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, client.ErrUnreachable):
		return exitUnreachable
	case errors.As(err, &refusal) && refusal.Status == http.StatusNotFound:
		return exitNotFound
	case errors.As(err, &refusal) && refusal.Status == http.StatusUnauthorized:
		return exitUnauthorized
	default:
		return exitRefused
	}
}
