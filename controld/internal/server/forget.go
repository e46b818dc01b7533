package server

import (
	"context"
	"net/http"

	"flamingodrift.example/controld/internal/explainer"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// forgotten is the answer to forget-entry.
type forgotten struct {
	Detail string `json:"detail"`
}

// forgetEntry gives up the slots that are reserved for an entry process whose host never returns. Repeating it is
// harmless: the second answer says that nothing is reserved any more.
func (s *Server) forgetEntry(ctx context.Context, entry string) *wire.Reply {
	return s.query(ctx, func(e *explainer.Explainer) (int, any) {
		if err := e.Registrar.Forget(entry, e.Now); err != nil {
			return http.StatusConflict, &Problem{Reason: reason.Conflict.String(), Detail: err.Error()}
		}
		return http.StatusOK, &forgotten{Detail: "the slots reserved for entry process " + entry + " are free"}
	})
}
