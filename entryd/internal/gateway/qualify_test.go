package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Guards against reporting a request as not run when an earlier attempt with the same key may have run.
func TestQualify(t *testing.T) {
	cases := []struct {
		name    string
		method  string
		headers map[string]string
		call    *call
		result  *result
		want    wire.Outcome
	}{
		{
			"refused before the claim", http.MethodPost,
			map[string]string{"Idempotency-Key": "k"},
			nil,
			notRun(reason.NotCurrent, ""), wire.Outcome_OUTCOME_UNKNOWN,
		},
		{
			"refused without a leader", http.MethodPost,
			map[string]string{"Idempotency-Key": "k"},
			&call{},
			notRun(reason.ClaimUnavailable, ""), wire.Outcome_OUTCOME_UNKNOWN,
		},
		{
			"first attempt", http.MethodPost,
			map[string]string{"Idempotency-Key": "k", firstAttemptHeader: "true"},
			nil,
			notRun(reason.NotCurrent, ""), wire.Outcome_OUTCOME_NOT_RUN,
		},
		{
			"no key, so it can never have run", http.MethodPost, nil, nil,
			notRun(reason.NotCurrent, ""), wire.Outcome_OUTCOME_NOT_RUN,
		},
		{
			"idempotent", http.MethodPut,
			map[string]string{"Idempotency-Key": "k"},
			&call{idempotent: true},
			notRun(reason.NoTarget, ""), wire.Outcome_OUTCOME_NOT_RUN,
		},
		{
			"read", http.MethodGet,
			map[string]string{"Idempotency-Key": "k"},
			nil,
			notRun(reason.NotCurrent, ""), wire.Outcome_OUTCOME_NOT_RUN,
		},
		{
			"the claim was consulted", http.MethodPost,
			map[string]string{"Idempotency-Key": "k"},
			&call{},
			neverRun(reason.ClaimsFull, ""), wire.Outcome_OUTCOME_NOT_RUN,
		},
		{
			"answered", http.MethodPost,
			map[string]string{"Idempotency-Key": "k"},
			&call{},
			answered(&wire.Answer{}), wire.Outcome_OUTCOME_ANSWERED,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(c.method, "/call/s/x", nil)
			for name, value := range c.headers {
				r.Header.Set(name, value)
			}
			require.Equal(t, c.want, qualify(r, c.call, c.result).outcome)
		})
	}
}
