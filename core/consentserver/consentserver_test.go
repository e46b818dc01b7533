package consentserver_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/consentserver"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/wire"
)

type fakeConsenter struct {
	consent executor.Consent
	err     error
}

func (c fakeConsenter) Ask(context.Context, string, int, []string) (executor.Consent, error) {
	return c.consent, c.err
}

// TestHandle guards against reporting a failed call as a decision that grants no worker.
func TestHandle(t *testing.T) {
	tests := []struct {
		name           string
		consenter      fakeConsenter
		answered, busy bool
		tickets        int
	}{
		{name: "granted", consenter: fakeConsenter{consent: executor.Consent{Tickets: []executor.Ticket{
			{Worker: "w", Ticket: "t"},
		}}}, answered: true, tickets: 1},
		{name: "none granted", answered: true},
		{name: "busy", consenter: fakeConsenter{consent: executor.Consent{Busy: true}}, answered: true, busy: true},
		{name: "failed", consenter: fakeConsenter{err: errors.New("no answer")}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := consentserver.New(consentserver.Config{Consenter: test.consenter, Logger: slog.New(slog.DiscardHandler)})
			reply := s.Handle(t.Context(), &wire.ConsentCall{TimeoutMs: 1000}).GetConsent()
			require.Equal(t, test.answered, reply.GetAnswered())
			require.Equal(t, test.busy, reply.GetBusy())
			require.Len(t, reply.GetTickets(), test.tickets)
		})
	}
}
