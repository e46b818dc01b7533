package refusalrecorder_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/meter"
	"flamingodrift.example/core/refusalrecorder"
)

// TestLinesAreBounded guards against a log line for each refused client, and against a reason that is not counted.
func TestLinesAreBounded(t *testing.T) {
	counters, err := meter.New("test")
	require.NoError(t, err)
	var out bytes.Buffer
	r := refusalrecorder.New(refusalrecorder.Config{Meter: counters, Logger: logger.New(&out, "test", "host")})
	const refusals = 1000
	for range refusals {
		for _, why := range refusalrecorder.Reasons() {
			r.Refused(why, "callers")
		}
	}
	require.Equal(t, len(refusalrecorder.Reasons()), strings.Count(out.String(), logger.ClientsRefused.Code()))
	page := httptest.NewRecorder()
	counters.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, why := range refusalrecorder.Reasons() {
		require.Regexp(t, `(?m)^flamingodrift_client_refusals_total\{[^}]*why="`+string(why)+`"[^}]*\} 1000$`, page.Body.String())
	}
}
