// Package operatorproxy is the HTTP handler that forwards operators' requests to the leader.
package operatorproxy

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"flamingodrift.example/core/bodylimiter"
	"flamingodrift.example/core/locator"
	"flamingodrift.example/core/meter"
	"flamingodrift.example/core/operator"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Prefix is the path prefix of the operators' API; the action follows it.
const Prefix = "/operator/v1/"

const (
	// maxBodyBytes allows for a sheet of 4 MiB (sheet.MaxBytes) with JSON escapes.
	maxBodyBytes  = 8 << 20
	answerTimeout = 5 * time.Second
)

// Config holds what a Proxy needs.
type Config struct {
	Locator   *locator.Locator
	Operators []operator.Operator
	Meter     *meter.Meter
}

// Proxy forwards operators' requests to the leader. It is safe for concurrent use.
type Proxy struct {
	cfg Config
}

// New returns a Proxy.
func New(cfg Config) *Proxy { return &Proxy{cfg: cfg} }

// ServeHTTP authenticates a request and forwards it.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, ok := operator.Find(p.cfg.Operators, strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
	if !ok {
		p.refuse(w, http.StatusUnauthorized, reason.Unauthorized, "a bearer token of an operator is needed")
		return
	}
	body, err := bodylimiter.ReadAll(w, r, maxBodyBytes)
	if err != nil {
		p.refuseBody(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	reply, err := p.cfg.Locator.Call(ctx, &wire.Request{Body: &wire.Request_Operate{Operate: &wire.OperateRequest{
		Operator: name, Action: strings.TrimPrefix(r.URL.Path, Prefix), Body: body,
	}}})
	var refused *locator.RefusedError
	switch {
	case errors.As(err, &refused):
		p.refuse(w, http.StatusServiceUnavailable, reason.Reason(refused.Refusal.GetReason()), refused.Refusal.GetDetail())
	case err != nil:
		p.refuse(w, http.StatusServiceUnavailable, reason.NoLeader,
			"no leader answered in time; a change may have been accepted: send it again with the same change id")
	default:
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(int(reply.GetOperate().GetStatus()))
		// The write fails only if the client has disconnected.
		_, _ = w.Write(reply.GetOperate().GetBody())
	}
}

// refuseBody answers a request whose body could not be read.
func (p *Proxy) refuseBody(w http.ResponseWriter, err error) {
	status := bodylimiter.Status(w, err)
	if status == http.StatusServiceUnavailable {
		p.refuse(w, status, reason.LimitReached, err.Error())
		return
	}
	if status == 0 {
		status = http.StatusRequestEntityTooLarge
	}
	p.refuse(w, status, reason.RequestTooLarge, "the body cannot be read or is too large")
}

func (p *Proxy) refuse(w http.ResponseWriter, status int, why reason.Reason, detail string) {
	p.cfg.Meter.Refused(why)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"reason": why.String(), "detail": detail})
}
