package gateway

import (
	"net/http"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// firstAttemptHeader is set to "true" by a caller that has not sent the request before.
const firstAttemptHeader = "Flamingo-First-Attempt"

// neverRun returns a not-run result that applies to every attempt with the same idempotency key.
func neverRun(why reason.Reason, detail string) *result {
	res := notRun(why, detail)
	res.coversAllAttempts = true
	return res
}

// qualify turns a refusal into an unknown outcome if an earlier attempt of the caller with the same key may have run.
// All attempts with one idempotency key are one request: "not run" must apply to each of them, and only the claim shows
// that. c is nil if the request was refused before it was parsed.
func qualify(r *http.Request, c *call, res *result) *result {
	if res.outcome != wire.Outcome_OUTCOME_NOT_RUN || res.coversAllAttempts || !mayHaveRun(r, c) {
		return res
	}
	return unknown(res.reason,
		res.detail+"; this sending was not run, but whether an earlier one with this key ran cannot be told now")
}

func mayHaveRun(r *http.Request, c *call) bool {
	switch {
	case r.Header.Get("Idempotency-Key") == "" || r.Header.Get(firstAttemptHeader) == "true":
		return false
	case c != nil:
		return !c.idempotent
	default:
		return r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodOptions
	}
}
