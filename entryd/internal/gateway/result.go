package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// result is the final outcome of a request.
type result struct {
	outcome wire.Outcome
	reason  reason.Reason
	detail  string
	answer  *wire.Answer
	// coversAllAttempts is true if a not-run outcome applies to every attempt of the caller with the same idempotency
	// key, not only for this one.
	coversAllAttempts bool
}

func notRun(why reason.Reason, detail string) *result {
	return &result{outcome: wire.Outcome_OUTCOME_NOT_RUN, reason: why, detail: detail}
}

func unknown(why reason.Reason, detail string) *result {
	return &result{outcome: wire.Outcome_OUTCOME_UNKNOWN, reason: why, detail: detail}
}

func answered(answer *wire.Answer) *result {
	return &result{outcome: wire.Outcome_OUTCOME_ANSWERED, answer: answer}
}

func outcomeName(o wire.Outcome) string {
	switch o {
	case wire.Outcome_OUTCOME_ANSWERED:
		return "answered"
	case wire.Outcome_OUTCOME_NOT_RUN:
		return "not_run"
	default:
		return "outcome_unknown"
	}
}

// refusalBody is the JSON body of a response without an answer of a target.
type refusalBody struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail"`
}

func writeResult(w http.ResponseWriter, method string, res *result) {
	header := w.Header()
	if res.outcome == wire.Outcome_OUTCOME_ANSWERED {
		copyAnswerHeaders(header, method, res.answer)
		header.Set("Flamingo-Outcome", outcomeName(res.outcome))
		w.WriteHeader(int(res.answer.GetStatus()))
		// A failed write means that the caller has disconnected.
		_, _ = w.Write(res.answer.GetBody())
		return
	}
	header.Set("Flamingo-Outcome", outcomeName(res.outcome))
	header.Set("Flamingo-Reason", res.reason.String())
	header.Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus(res))
	_ = json.NewEncoder(w).Encode(
		refusalBody{Outcome: outcomeName(res.outcome), Reason: res.reason.String(), Detail: res.detail})
}

// copyAnswerHeaders copies a target's headers, except for the Flamingo- headers, which only this process may set.
func copyAnswerHeaders(to http.Header, method string, answer *wire.Answer) {
	from := http.Header{}
	for _, h := range answer.GetHeaders() {
		from.Add(h.GetName(), h.GetValue())
	}
	for _, h := range endToEndHeaders(from) {
		if !strings.HasPrefix(h.GetName(), "Flamingo-") {
			to.Add(h.GetName(), h.GetValue())
		}
	}
	length := strconv.Itoa(len(answer.GetBody()))
	if stated := from.Get("Content-Length"); method == http.MethodHead && stated != "" {
		length = stated
	}
	to.Set("Content-Length", length)
}

// httpStatuses maps reasons to HTTP status codes. For any other reason the status is 503 if the request was not run and
// 502 if the outcome is unknown.
var httpStatuses = map[reason.Reason]int{
	reason.UnknownService:  http.StatusNotFound,
	reason.RequestTooLarge: http.StatusRequestEntityTooLarge,
	reason.RequestInvalid:  http.StatusBadRequest,
	reason.KeyMissing:      http.StatusBadRequest,
	reason.KeyReused:       http.StatusUnprocessableEntity,
	reason.StillRunning:    http.StatusConflict,
	reason.OutcomeUnknown:  http.StatusConflict,
	reason.AnswerNotKept:   http.StatusConflict,
}

func httpStatus(res *result) int {
	if status, ok := httpStatuses[res.reason]; ok {
		return status
	}
	if res.outcome == wire.Outcome_OUTCOME_UNKNOWN {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
