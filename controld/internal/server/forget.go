package server

import (
	"context"
	"net/http"

	"flamingodrift.example/controld/internal/explainer"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// forgetAnswer is the answer to the action forget-entry.
type forgetAnswer struct {
	Detail string `json:"detail"`
}

// forgetEntry releases the slots that are reserved for an entry process whose host never returns. It may be repeated:
// the second answer says that nothing is reserved any more.
func (s *Server) forgetEntry(ctx context.Context, entry string) *wire.Reply {
	return s.query(ctx, func(e *explainer.Explainer) (int, any) {
		if err := e.Lessor.Forget(entry, e.Now); err != nil {
			return http.StatusConflict, &Problem{Reason: reason.Conflict.String(), Detail: err.Error()}
		}
		return http.StatusOK, &forgetAnswer{Detail: "the slots reserved for entry process " + entry + " are free"}
	})
}
