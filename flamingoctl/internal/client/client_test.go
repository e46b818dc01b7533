package client_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/flamingoctl/internal/client"
)

const token = "a-secret-operator-token"

// entry starts a server that returns a fixed response, and returns its address.
func entry(t *testing.T, status int, body string, calls *int) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls != nil {
			*calls++
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestCall checks which responses are final: a change must not be reported as refused when it may have been accepted,
// nor as unknown when the cell has refused it.
func TestCall(t *testing.T) {
	for _, c := range []struct {
		name, body  string
		status      int
		unreachable bool
		text        string
		secondCalls int
	}{
		{name: "no leader", status: 503, body: `{"reason":"no_leader","detail":"d"}`, secondCalls: 1},
		{name: "not from the cell", status: 502, body: `bad gateway`, secondCalls: 1},
		{name: "no reason", status: 404, body: `{}`, secondCalls: 1},
		{name: "disk full", status: 503, body: `{"reason":"disk_full","detail":"d"}`, text: "refused (disk_full): d"},
		{name: "conflict", status: 409, body: `{"reason":"conflict","detail":"d","revision":3}`, text: "refused (conflict): d"},
		{
			name: "wrong sheet", status: 400, body: `{"reason":"request_invalid","detail":"d","sheet_problems":[{"line":2,"column":3,"text":"x"}]}`,
			text: "refused (request_invalid): d\n  line 2, column 3: x",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			second := 0
			cl := client.New(client.Config{Token: token, Entries: []string{
				entry(t, c.status, c.body, nil), entry(t, 200, `{"revision":7}`, &second),
			}})
			answer, err := cl.Call(context.Background(), "drain", map[string]any{})
			require.Equal(t, c.secondCalls, second)
			if c.text == "" {
				require.NoError(t, err)
				require.JSONEq(t, `{"revision":7}`, string(answer))
				return
			}
			var refusal *client.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, c.text, err.Error())
			require.Equal(t, c.body, string(refusal.Body))
		})
	}
}

// TestTokenIsNotInErrors checks that no error contains the operator's token, which would get into terminal logs and bug
// reports.
func TestTokenIsNotInErrors(t *testing.T) {
	cl := client.New(client.Config{Token: token, Entries: []string{
		entry(t, 503, `{"reason":"no_leader","detail":"d"}`, nil), "127.0.0.1:1", "no address", "%zz",
	}})
	_, err := cl.Call(context.Background(), "status", map[string]any{})
	require.ErrorIs(t, err, client.ErrUnreachable)
	require.NotContains(t, err.Error(), token)
}
