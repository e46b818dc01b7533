package server

import (
	"fmt"
	"net/http"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/explainer"
	"flamingodrift.example/core/reason"
)

// queries maps the read-only actions to their handlers. Handlers run on the control goroutine, but their answers are
// encoded on another goroutine and so must not share memory that the control goroutine changes.
var queries = map[string]func(e *explainer.Explainer, body *requestBody) (status int, answer any){
	"status":  func(e *explainer.Explainer, _ *requestBody) (int, any) { return http.StatusOK, e.Status() },
	"list":    func(e *explainer.Explainer, _ *requestBody) (int, any) { return http.StatusOK, e.List() },
	"waiting": func(e *explainer.Explainer, _ *requestBody) (int, any) { return http.StatusOK, e.Waiting() },
	"queues":  func(e *explainer.Explainer, _ *requestBody) (int, any) { return http.StatusOK, e.Queues() },
	"workspaces": func(e *explainer.Explainer, _ *requestBody) (int, any) {
		return http.StatusOK, e.Workspaces()
	},
	"hosts":   func(e *explainer.Explainer, _ *requestBody) (int, any) { return http.StatusOK, e.Hosts() },
	"targets": func(e *explainer.Explainer, _ *requestBody) (int, any) { return http.StatusOK, e.Targets() },
	"history": func(e *explainer.Explainer, _ *requestBody) (int, any) { return http.StatusOK, e.History() },
	"why":     why,
	"plan":    plan,
}

func why(e *explainer.Explainer, body *requestBody) (status int, answer any) {
	if answer := e.Why(body.Key); answer != nil {
		return http.StatusOK, answer
	}
	return http.StatusNotFound, &Problem{Reason: reason.NotFound.String(), Detail: fmt.Sprintf(
		"the cell knows no job, task, submitted job, worker, target, entry process or control member %q; a run that left the sheet is found by KEY@RUN",
		body.Key)}
}

// planAnswer previews the effect of a sheet. Revision is the expected revision to apply it with.
type planAnswer struct {
	*cell.Preview
	SheetNumber       uint64 `json:"sheet_number"`
	Revision          uint64 `json:"revision"`
	AlreadyInForce    bool   `json:"already_in_force"`
	NeedsConfirmation bool   `json:"needs_confirmation"`
}

// plan previews the sheet in body.parsed, which operate parses outside the control goroutine.
func plan(e *explainer.Explainer, body *requestBody) (status int, answer any) {
	same, refusal := e.Cell.CheckSheet(body.parsed.Number(), body.parsed.Digest())
	if refusal != nil {
		return http.StatusConflict, &Problem{Reason: refusal.GetReason(), Detail: refusal.GetDetail()}
	}
	preview := e.Cell.Preview(body.parsed.Jobs())
	return http.StatusOK, &planAnswer{
		Preview: preview, SheetNumber: body.parsed.Number(), Revision: e.Cell.Revision(), AlreadyInForce: same,
		NeedsConfirmation: !same && preview.NeedsConfirmation(),
	}
}
