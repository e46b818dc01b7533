package server

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/controller"
	"flamingodrift.example/controld/internal/explainer"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/sheet"
	"flamingodrift.example/core/wire"
)

// maxIDBytes bounds change ids.
const maxIDBytes = 128

// changeBody is the body of every operator request; each action reads the fields that it needs.
type changeBody struct {
	ChangeID         string `json:"change_id"`
	ExpectedRevision uint64 `json:"expected_revision"`
	Key              string `json:"key"`
	Sheet            string `json:"sheet"`
	ConfirmStops     uint32 `json:"confirm_stops"`
	Worker           string `json:"worker"`
	Entry            string `json:"entry"`
	Config           string `json:"config_text"`
}

// accepted is the answer to a change.
type accepted struct {
	Revision uint64 `json:"revision"`
	Detail   string `json:"detail"`
}

func (s *Server) operate(ctx context.Context, request *wire.OperateRequest) *wire.Reply {
	body := &changeBody{}
	if len(request.GetBody()) > 0 {
		if err := json.Unmarshal(request.GetBody(), body); err != nil {
			return invalid("body is not valid JSON: %v", err)
		}
	}
	switch request.GetAction() {
	case "status":
		return s.query(ctx, func(e *explainer.Explainer) (int, any) { return http.StatusOK, e.Status() })
	case "list":
		return s.query(ctx, func(e *explainer.Explainer) (int, any) { return http.StatusOK, e.List(false) })
	case "waiting":
		return s.query(ctx, func(e *explainer.Explainer) (int, any) { return http.StatusOK, e.List(true) })
	case "hosts":
		return s.query(ctx, func(e *explainer.Explainer) (int, any) { return http.StatusOK, e.Hosts() })
	case "history":
		return s.query(ctx, func(e *explainer.Explainer) (int, any) { return http.StatusOK, e.History() })
	case "forget-entry":
		return s.forgetEntry(ctx, body.Entry)
	case "why":
		return s.why(ctx, body.Key)
	case "plan":
		return s.plan(ctx, body)
	default:
		return s.change(ctx, request, body)
	}
}

func invalid(format string, args ...any) *wire.Reply {
	return reply(http.StatusBadRequest, &Problem{Reason: reason.RequestInvalid.String(), Detail: fmt.Sprintf(format, args...)})
}

// query reads on the control thread and encodes the answer on this one.
func (s *Server) query(ctx context.Context, read func(*explainer.Explainer) (int, any)) *wire.Reply {
	status, answer := 0, any(nil)
	refusal := s.controller.Query(ctx, func(now time.Duration, view controller.View) {
		status, answer = read(&explainer.Explainer{
			Cell: view.Cell, Planner: view.Planner, Registrar: view.Registrar, Membership: view.Membership,
			LeaderName: view.LeaderName, DiskFull: view.DiskFull, Now: now,
		})
	})
	if refusal != nil {
		return refuse(refusal)
	}
	return reply(status, answer)
}

func (s *Server) why(ctx context.Context, key string) *wire.Reply {
	return s.query(ctx, func(e *explainer.Explainer) (int, any) {
		tasks, ok := e.Why(key)
		if !ok {
			return http.StatusNotFound, &Problem{Reason: reason.NotFound.String(), Detail: fmt.Sprintf("no job %q", key)}
		}
		return http.StatusOK, tasks
	})
}

// planAnswer says what a sheet would do, and the revision to apply it from.
type planAnswer struct {
	*cell.Preview
	SheetNumber       uint64 `json:"sheet_number"`
	Revision          uint64 `json:"revision"`
	AlreadyInForce    bool   `json:"already_in_force"`
	NeedsConfirmation bool   `json:"needs_confirmation"`
}

func (s *Server) plan(ctx context.Context, body *changeBody) *wire.Reply {
	parsed, problem := parseSheet(body.Sheet)
	if problem != nil {
		return problem
	}
	return s.query(ctx, func(e *explainer.Explainer) (int, any) {
		same, refusal := e.Cell.CheckSheet(parsed.Number(), parsed.Digest())
		if refusal != nil {
			return http.StatusConflict, &Problem{Reason: refusal.GetReason(), Detail: refusal.GetDetail()}
		}
		preview := e.Cell.Preview(parsed.Jobs())
		return http.StatusOK, &planAnswer{
			Preview: preview, SheetNumber: parsed.Number(), Revision: e.Cell.Revision(), AlreadyInForce: same,
			NeedsConfirmation: !same && preview.NeedsConfirmation(),
		}
	})
}

func parseSheet(text string) (*sheet.Sheet, *wire.Reply) {
	parsed, err := sheet.Parse([]byte(text))
	if err == nil {
		return parsed, nil
	}
	problem := &Problem{Reason: reason.RequestInvalid.String(), Detail: "the sheet has errors; nothing was applied"}
	var sheetError *sheet.Error
	if errors.As(err, &sheetError) {
		problem.SheetProblems = sheetError.Problems
	}
	return nil, reply(http.StatusBadRequest, problem)
}

// change builds the command of a change and proposes it.
func (s *Server) change(ctx context.Context, request *wire.OperateRequest, body *changeBody) *wire.Reply {
	if body.ChangeID == "" || len(body.ChangeID) > maxIDBytes {
		return invalid("change_id must have 1 to %d bytes", maxIDBytes)
	}
	digest := sha256.Sum256(append([]byte(request.GetAction()+"\n"), request.GetBody()...))
	change := &wire.Change{
		Id: body.ChangeID, Operator: request.GetOperator(), ExpectedRevision: body.ExpectedRevision, Digest: digest[:],
	}
	command, problem := buildCommand(request.GetAction(), change, body)
	if problem != nil {
		return problem
	}
	result, refusal := s.controller.Change(ctx, command)
	switch {
	case refusal != nil:
		return refuse(refusal)
	case result.GetReason() == "":
		return reply(http.StatusOK, &accepted{Revision: result.GetRevision(), Detail: result.GetDetail()})
	default:
		return reply(statusOf(reason.Reason(result.GetReason())), &Problem{Reason: result.GetReason(), Detail: result.GetDetail()})
	}
}

func buildCommand(action string, change *wire.Change, body *changeBody) (*wire.Command, *wire.Reply) {
	switch action {
	case "apply":
		parsed, problem := parseSheet(body.Sheet)
		if problem != nil {
			return nil, problem
		}
		return &wire.Command{Body: &wire.Command_ApplySheet{ApplySheet: &wire.ApplySheet{
			Change: change, Number: parsed.Number(), Digest: parsed.Digest(), Jobs: parsed.Jobs(),
			ConfirmedStops: body.ConfirmStops,
		}}}, nil
	case "configure":
		config, problem := parseConfig(body.Config)
		if problem != nil {
			return nil, problem
		}
		return &wire.Command{Body: &wire.Command_Configure{Configure: &wire.Configure{Change: change, Config: config}}}, nil
	case "cancel":
		return &wire.Command{Body: &wire.Command_CancelJob{CancelJob: &wire.CancelJob{Change: change, Key: body.Key}}}, nil
	case "drain", "undrain":
		return &wire.Command{Body: &wire.Command_DrainWorker{DrainWorker: &wire.DrainWorker{
			Change: change, Worker: body.Worker, Drain: action == "drain",
		}}}, nil
	default:
		return nil, reply(http.StatusNotFound, &Problem{Reason: reason.NotFound.String(), Detail: "no action " + action})
	}
}

func statusOf(r reason.Reason) int {
	switch r {
	case reason.Conflict, reason.ChangeIDReused, reason.SheetOlder, reason.SheetReused, reason.StopsUnconfirmed:
		return http.StatusConflict
	case reason.NotFound:
		return http.StatusNotFound
	case reason.NoLeader, reason.DiskFull:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}
