package meter_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/meter"
	"flamingodrift.example/core/reason"
)

func scrape(t *testing.T, m *meter.Meter) string {
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, recorder.Code)
	return recorder.Body.String()
}

// TestEveryReasonIsALabel guards against a reason of refusals or retries that is not counted under its own label value.
func TestEveryReasonIsALabel(t *testing.T) {
	m, err := meter.New("test")
	require.NoError(t, err)
	for _, r := range reason.Refusals() {
		m.Refused(r)
		m.Retried(r)
		m.Retried(r)
	}
	text := scrape(t, m)
	for _, r := range reason.Refusals() {
		require.Regexp(t, `(?m)^flamingodrift_refusals_total\{[^}]*reason="`+r.String()+`"[^}]*\} 1$`, text)
		require.Regexp(t, `(?m)^flamingodrift_retries_total\{[^}]*reason="`+r.String()+`"[^}]*\} 2$`, text)
	}
}

// TestDocs guards against differences between docs/metrics.md and the metrics that a program exposes.
func TestDocs(t *testing.T) {
	m, err := meter.New("test")
	require.NoError(t, err)
	m.Refused(reason.Conflict)
	m.Retried(reason.LeaseEnded)
	m.Outcome("chairbook", "answered")
	m.QueueCallEnded(http.MethodPost, http.StatusOK, time.Millisecond)
	m.JobStarted("q", time.Second)
	m.JobEnded("q", "completed", time.Second)
	m.RunEnded("done")
	m.RunTimeCompared("q", "learned", 1.1)
	m.ClientRefused("connections", "callers")
	exposed := names(regexp.MustCompile(`(?m)^# TYPE (flamingodrift_\w+) `), scrape(t, m))
	data, err := os.ReadFile("../../docs/metrics.md")
	require.NoError(t, err)
	require.Equal(t, exposed, names(regexp.MustCompile("(?m)^\\| `(flamingodrift_\\w+)` \\|"), string(data)))
}

func names(pattern *regexp.Regexp, text string) []string {
	var list []string
	for _, match := range pattern.FindAllStringSubmatch(text, -1) {
		list = append(list, match[1])
	}
	sort.Strings(list)
	return list
}
