// Package server handles requests from the processes of the cell and from operators for a controller.
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
	// requestTimeout bounds the handling of a request: the wait for the control goroutine and for a commit.
	requestTimeout = 5 * time.Second
	// maxAnswerBytes bounds an encoded answer. It is below the largest message of a session between processes of the cell.
	maxAnswerBytes = 8 << 20
)

// Server passes requests on to a controller, and requests for consent to a consent server.
type Server struct {
	controller *controller.Controller
	consent    *consentserver.Server
}

// New returns a Server. consent is nil in a cell without queues; requests for consent are then refused.
func New(c *controller.Controller, consent *consentserver.Server) *Server {
	return &Server{controller: c, consent: consent}
}

// Handle handles one request. It returns nil for consensus messages, which have no reply.
func (s *Server) Handle(ctx context.Context, request *wire.Request) *wire.Reply {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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
			return refusalReply(&wire.Refusal{Reason: reason.RequestInvalid.String(), Detail: "no consent service"})
		}
		return s.consent.Handle(ctx, body.Consent)
	case *wire.Request_Operate:
		return s.operate(ctx, body.Operate)
	default:
		return refusalReply(&wire.Refusal{Reason: reason.RequestInvalid.String(), Detail: "unknown request"})
	}
}

func refusalReply(refusal *wire.Refusal) *wire.Reply {
	return &wire.Reply{Body: &wire.Reply_Refusal{Refusal: refusal}}
}

// Problem is the body of a refused operator request.
type Problem struct {
	Reason string `json:"reason"`
	Detail string `json:"detail"`
	// Revision is the current revision; it is set in a conflict.
	Revision uint64 `json:"revision,omitempty"`
	// SheetProblems lists the errors of an invalid sheet.
	SheetProblems []sheet.Problem `json:"sheet_problems,omitempty"`
}

// operateReply encodes the answer to an operator; an answer above maxAnswerBytes is replaced by a Problem.
func operateReply(status int, body any) *wire.Reply {
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

// Health returns the handler for /healthz and /readyz. A node is ready when it knows a leader and its disk is not full.
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
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
