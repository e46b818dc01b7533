package gateway

import (
	"net/http"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// firstAttemptHeader is set to "true" by a caller that has not sent the request before.
const firstAttemptHeader = "Flamingo-First-Attempt"

func provenNotRun(why reason.Reason, detail string) *result {
	res := notRun(why, detail)
	res.proven = true
	return res
}

// qualify turns a refusal into an unknown outcome when an earlier sending with the same key may have run. A request is
// one caller's key: "not run" must hold for every sending of it, and only the claim can tell that. c is nil when the
// request was refused before it was read.
func qualify(r *http.Request, c *call, res *result) *result {
	if res.outcome != wire.Outcome_OUTCOME_NOT_RUN || res.proven || !mayRunBefore(r, c) {
		return res
	}
	return unknown(res.reason, res.detail+"; this sending was not run, but whether an earlier one with this key ran cannot be told now")
}

func mayRunBefore(r *http.Request, c *call) bool {
	switch {
	case r.Header.Get("Idempotency-Key") == "" || r.Header.Get(firstAttemptHeader) == "true":
		return false
	case c != nil:
		return !c.idempotent
	default:
		return r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodOptions
	}
}
