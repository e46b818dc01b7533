// Package server answers the cell's own processes on behalf of a controller.
package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"flamingodrift.example/controld/internal/controller"
	"flamingodrift.example/core/consentserver"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/sheet"
	"flamingodrift.example/core/wire"
)

const (
	// answerTimeout bounds the wait for the control thread and for a commit.
	answerTimeout = 5 * time.Second
	// maxAnswerBytes is below what a session between the cell's own processes carries in one message.
	maxAnswerBytes = 8 << 20
)

// Server turns requests of peers into calls of a controller.
type Server struct {
	controller *controller.Controller
	consent    *consentserver.Server
}

// New returns a Server. consent is nil where no outside service decides about steps.
func New(c *controller.Controller, consent *consentserver.Server) *Server {
	return &Server{controller: c, consent: consent}
}

// Handle answers one request of a peer.
func (s *Server) Handle(ctx context.Context, request *wire.Request) *wire.Reply {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	switch body := request.GetBody().(type) {
	case *wire.Request_Peer:
		s.controller.Step(body.Peer)
		return nil
	case *wire.Request_Join:
		return s.controller.Join(ctx, body.Join)
	case *wire.Request_Beat:
		return s.controller.Beat(ctx, body.Beat)
	case *wire.Request_WorkerReports:
		return s.controller.Reports(ctx, body.WorkerReports)
	case *wire.Request_Claim:
		return s.controller.Claim(ctx, body.Claim)
	case *wire.Request_Settle:
		return s.controller.Settle(ctx, body.Settle)
	case *wire.Request_Queue:
		return s.controller.Queue(ctx, body.Queue)
	case *wire.Request_Consent:
		if s.consent == nil {
			return refuse(&wire.Refusal{Reason: reason.RequestInvalid.String(), Detail: "no consent service"})
		}
		return s.consent.Handle(ctx, body.Consent)
	case *wire.Request_Operate:
		return s.operate(ctx, body.Operate)
	default:
		return refuse(&wire.Refusal{Reason: reason.RequestInvalid.String(), Detail: "unknown request"})
	}
}

func refuse(refusal *wire.Refusal) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Refusal{Refusal: refusal}}
}

// Problem is the body of a refused operator request.
type Problem struct {
	Reason string `json:"reason"`
	Detail string `json:"detail"`
	// Revision is the present one, in a conflict.
	Revision uint64 `json:"revision,omitempty"`
	// SheetProblems is set for a sheet with errors.
	SheetProblems []sheet.Problem `json:"sheet_problems,omitempty"`
}

func reply(status int, body any) *wire.Reply {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"reason":"request_invalid","detail":"answer does not encode"}`)
	}
	if len(data) > maxAnswerBytes {
		status = http.StatusRequestEntityTooLarge
		data = []byte(`{"reason":"` + reason.AnswerTooLarge.String() + `","detail":"the answer exceeds 8 MiB; ask with why for one name"}`)
	}
	return &wire.Reply{Body: &wire.Reply_Operate{Operate: &wire.OperateReply{Status: uint32(status), Body: data}}}
}

// Health serves /healthz and /readyz.
func (s *Server) Health() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.controller.Status())
	})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		status := s.controller.Status()
		code := http.StatusOK
		if status.Leader == "" || status.DiskFull {
			code = http.StatusServiceUnavailable
		}
		writeJSON(w, code, status)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// The client has gone if this fails.
	_ = json.NewEncoder(w).Encode(body)
}
