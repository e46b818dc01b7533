package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/controld/internal/controller"
	"flamingodrift.example/controld/internal/explainer"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/sheet"
	"flamingodrift.example/core/wire"
)

const (
	// maxIDBytes bounds change ids.
	maxIDBytes = 128
	// maxNameBytes bounds the names of jobs, tasks, workers and targets: a key, a run and an index at most.
	maxNameBytes = 300
)

// changeBody is the body of every operator request; each action reads the fields that it needs.
type changeBody struct {
	ChangeID         string  `json:"change_id"`
	ExpectedRevision *uint64 `json:"expected_revision"`
	Key              string  `json:"key"`
	Sheet            string  `json:"sheet"`
	ConfirmStops     uint32  `json:"confirm_stops"`
	Worker           string  `json:"worker"`
	Entry            string  `json:"entry"`
	Config           string  `json:"config_text"`
	// parsed is the sheet of a plan.
	parsed *sheet.Sheet
}

// accepted is the answer to a change.
type accepted struct {
	Revision uint64 `json:"revision"`
	Detail   string `json:"detail"`
}

func (s *Server) operate(ctx context.Context, request *wire.OperateRequest) *wire.Reply {
	body, problem := decodeBody(request.GetBody())
	if problem != nil {
		return problem
	}
	action := request.GetAction()
	answer, known := queries[action]
	switch {
	case action == "plan":
		if body.parsed, problem = parseSheet(body.Sheet); problem != nil {
			return problem
		}
		return s.query(ctx, func(e *explainer.Explainer) (int, any) { return answer(e, body) })
	case action == "forget-entry":
		return s.forgetEntry(ctx, body.Entry)
	case known:
		return s.query(ctx, func(e *explainer.Explainer) (int, any) { return answer(e, body) })
	case slices.Contains(changeActions, action):
		return s.change(ctx, request, body)
	default:
		return reply(http.StatusNotFound, &Problem{Reason: reason.NotFound.String(), Detail: fmt.Sprintf("no action %q", action)})
	}
}

// changeActions are the actions that change what is intended.
var changeActions = []string{"apply", "configure", "cancel", "drain", "undrain"}

// decodeBody refuses unknown fields: a misspelt confirm_stops or expected_revision must not be taken as absent.
func decodeBody(data []byte) (*changeBody, *wire.Reply) {
	body := &changeBody{}
	if len(data) == 0 {
		return body, nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return nil, invalid("body is not valid: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, invalid("body is not valid: more follows after the first JSON value")
	}
	if len(body.Key) > maxNameBytes || len(body.Worker) > maxNameBytes {
		return nil, invalid("key and worker must have at most %d bytes", maxNameBytes)
	}
	return body, nil
}

func invalid(format string, args ...any) *wire.Reply {
	return reply(http.StatusBadRequest, &Problem{Reason: reason.RequestInvalid.String(), Detail: fmt.Sprintf(format, args...)})
}

// query reads on the control thread and encodes the answer on this one.
func (s *Server) query(ctx context.Context, read func(*explainer.Explainer) (int, any)) *wire.Reply {
	status, answer := 0, any(nil)
	refusal := s.controller.Query(ctx, func(now time.Duration, view controller.View) {
		e := &explainer.Explainer{
			Cell: view.Cell, Planner: view.Planner, Registrar: view.Registrar, Membership: view.Membership,
			LeaderName: view.LeaderName, DiskFull: view.DiskFull, Now: now, Voters: view.Voters, SilentMembers: view.SilentMembers,
			Tally: view.Tally, NowUnixMs: time.Now().UnixMilli(),
		}
		if view.Scheduler != nil {
			e.Scheduler = view.Scheduler
		}
		status, answer = read(e)
	})
	if refusal != nil {
		return refuse(refusal)
	}
	return reply(status, answer)
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
	if body.ExpectedRevision == nil {
		return invalid("expected_revision must be given: the revision that the change was made from")
	}
	change := &wire.Change{
		Id: body.ChangeID, Operator: request.GetOperator(), ExpectedRevision: *body.ExpectedRevision,
	}
	command, problem := buildCommand(request.GetAction(), change, body)
	if problem != nil {
		return problem
	}
	change.Digest = contentDigest(command)
	result, refusal := s.controller.Change(ctx, command)
	switch {
	case refusal != nil:
		return refuse(refusal)
	case result.GetReason() == "":
		return reply(http.StatusOK, &accepted{Revision: result.GetRevision(), Detail: result.GetDetail()})
	default:
		return reply(statusOf(reason.Reason(result.GetReason())), &Problem{
			Reason: result.GetReason(), Detail: result.GetDetail(), Revision: result.GetRevision(),
		})
	}
}

// contentDigest identifies what a change asks for, whatever its notation and the revision it was made from. So a change
// that is sent again after a lost answer gets its first answer, also when the sender has read a newer revision since.
func contentDigest(command *wire.Command) []byte {
	content := proto.Clone(command).(*wire.Command)
	switch body := content.GetBody().(type) {
	case *wire.Command_ApplySheet:
		body.ApplySheet.Change = nil
	case *wire.Command_Configure:
		body.Configure.Change = nil
	case *wire.Command_CancelJob:
		body.CancelJob.Change = nil
	case *wire.Command_DrainWorker:
		body.DrainWorker.Change = nil
	}
	// Fields are written in the order of their numbers; there are no maps. An error means text that is not UTF-8, which
	// JSON decoding rules out.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	digest := sha256.Sum256(data)
	return digest[:]
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
		return nil, invalid("%q is no change", action)
	}
}

func statusOf(r reason.Reason) int {
	switch r {
	case reason.Conflict, reason.ChangeIDReused, reason.SheetOlder, reason.SheetNumberReused, reason.StopsUnconfirmed:
		return http.StatusConflict
	case reason.NotFound:
		return http.StatusNotFound
	case reason.NoLeader, reason.DiskFull:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}
