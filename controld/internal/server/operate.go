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
	maxChangeIDBytes = 128
	// maxNameBytes bounds the names of jobs, tasks, workers and targets. The longest consist of a key, a run and an index.
	maxNameBytes = 300
)

// requestBody is the body of every operator request; each action reads the fields that it needs.
type requestBody struct {
	ChangeID         string  `json:"change_id"`
	ExpectedRevision *uint64 `json:"expected_revision"`
	Key              string  `json:"key"`
	Sheet            string  `json:"sheet"`
	ConfirmStops     uint32  `json:"confirm_stops"`
	Worker           string  `json:"worker"`
	Entry            string  `json:"entry"`
	Config           string  `json:"config_text"`
	// parsed is the parsed Sheet; it is set for plan only.
	parsed *sheet.Sheet
}

// changeAnswer is the answer to an accepted change.
type changeAnswer struct {
	Revision uint64 `json:"revision"`
	Detail   string `json:"detail"`
}

func (s *Server) operate(ctx context.Context, request *wire.OperateRequest) *wire.Reply {
	body, problem := decodeBody(request.GetBody())
	if problem != nil {
		return problem
	}
	action := request.GetAction()
	handle, known := queries[action]
	switch {
	case action == "plan":
		if body.parsed, problem = parseSheet(body.Sheet); problem != nil {
			return problem
		}
		return s.query(ctx, func(e *explainer.Explainer) (int, any) { return handle(e, body) })
	case action == "forget-entry":
		return s.forgetEntry(ctx, body.Entry)
	case known:
		return s.query(ctx, func(e *explainer.Explainer) (int, any) { return handle(e, body) })
	case slices.Contains(changeActions, action):
		return s.change(ctx, request, body)
	default:
		return operateReply(http.StatusNotFound, &Problem{
			Reason: reason.NotFound.String(), Detail: fmt.Sprintf("no action %q", action),
		})
	}
}

// changeActions holds the actions that change the intended state of the cell.
var changeActions = []string{"apply", "configure", "cancel", "drain", "undrain"}

// decodeBody decodes the body of a request. It refuses unknown fields, since a misspelt confirm_stops or
// expected_revision must not count as absent.
func decodeBody(data []byte) (*requestBody, *wire.Reply) {
	body := &requestBody{}
	if len(data) == 0 {
		return body, nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return nil, invalidRequest("body is not valid: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, invalidRequest("body is not valid: more follows after the first JSON value")
	}
	if len(body.Key) > maxNameBytes || len(body.Worker) > maxNameBytes {
		return nil, invalidRequest("key and worker must have at most %d bytes", maxNameBytes)
	}
	return body, nil
}

func invalidRequest(format string, args ...any) *wire.Reply {
	return operateReply(http.StatusBadRequest, &Problem{
		Reason: reason.RequestInvalid.String(), Detail: fmt.Sprintf(format, args...),
	})
}

// query runs read on the control goroutine and encodes its answer on the calling goroutine, so that encoding does not
// block the control goroutine.
func (s *Server) query(ctx context.Context, read func(*explainer.Explainer) (int, any)) *wire.Reply {
	status, answer := 0, any(nil)
	refusal := s.controller.Query(ctx, func(now time.Duration, view controller.View) {
		e := &explainer.Explainer{
			Cell: view.Cell, Planner: view.Planner, Lessor: view.Lessor, Membership: view.Membership,
			LeaderName: view.LeaderName, DiskFull: view.DiskFull, Now: now, Voters: view.Voters,
			SilentMembers: view.SilentMembers, Tally: view.Tally, NowUnixMs: time.Now().UnixMilli(),
		}
		if view.Scheduler != nil {
			e.Scheduler = view.Scheduler
		}
		status, answer = read(e)
	})
	if refusal != nil {
		return refusalReply(refusal)
	}
	return operateReply(status, answer)
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
	return nil, operateReply(http.StatusBadRequest, problem)
}

// change builds the command for a change and proposes it.
func (s *Server) change(ctx context.Context, request *wire.OperateRequest, body *requestBody) *wire.Reply {
	if body.ChangeID == "" || len(body.ChangeID) > maxChangeIDBytes {
		return invalidRequest("change_id must have 1 to %d bytes", maxChangeIDBytes)
	}
	if body.ExpectedRevision == nil {
		return invalidRequest("expected_revision must be given: the revision that the change was made from")
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
		return refusalReply(refusal)
	case result.GetReason() == "":
		return operateReply(http.StatusOK, &changeAnswer{Revision: result.GetRevision(), Detail: result.GetDetail()})
	default:
		return operateReply(httpStatus(reason.Reason(result.GetReason())), &Problem{
			Reason: result.GetReason(), Detail: result.GetDetail(), Revision: result.GetRevision(),
		})
	}
}

// contentDigest identifies the content of a change independent of its notation and of the expected revision. A change
// that is sent again after its answer was lost thus gets the first answer, even if the sender has read a newer revision
// since.
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
	// The encoding is stable: fields are written in the order of their numbers, and there are no maps. Marshal fails only
	// for text that is not UTF-8, which JSON decoding rules out.
	data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	digest := sha256.Sum256(data)
	return digest[:]
}

// buildCommand returns the command for an action, or the reply that refuses an invalid one.
func buildCommand(action string, change *wire.Change, body *requestBody) (*wire.Command, *wire.Reply) {
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
		return nil, invalidRequest("%q is no change", action)
	}
}

// httpStatus maps the reason for a refused change to an HTTP status.
func httpStatus(r reason.Reason) int {
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
