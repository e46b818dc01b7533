package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

const (
	maxBodyBytes = 1 << 20
	maxNameBytes = 128
)

// call is one caller's request.
type call struct {
	service    *wire.Service
	caller     string
	key        string
	request    *dispatcher.Request
	idempotent bool
	limit      time.Duration
}

// serviceName returns the label of the service in counters; "unknown" when the request was refused before.
func (c *call) serviceName() string {
	if c == nil {
		return "unknown"
	}
	return c.service.GetName()
}

// parse checks the head of a request; a result is returned when it is refused.
func (g *Gateway) parse(r *http.Request) (*call, *result) {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), Prefix), "/")
	service := g.cfg.Control.State().Services[name]
	if service == nil {
		return nil, notRun(reason.UnknownService, fmt.Sprintf("the configuration names no service %q", name))
	}
	c := &call{
		service: service, caller: r.Header.Get("Flamingo-Caller"), key: r.Header.Get("Idempotency-Key"),
		idempotent: idempotent(service, r.Method),
	}
	var err error
	if c.limit, err = deadline(service, r); err != nil {
		return nil, notRun(reason.RequestInvalid, err.Error())
	}
	if len(c.caller) > maxNameBytes || len(c.key) > maxNameBytes {
		return nil, provenNotRun(reason.RequestInvalid, fmt.Sprintf("caller and key have at most %d bytes", maxNameBytes))
	}
	if !c.idempotent && (c.key == "" || c.caller == "") {
		return nil, provenNotRun(reason.KeyMissing, "a non-idempotent request needs the headers Flamingo-Caller and Idempotency-Key")
	}
	target := "/" + path
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	c.request = &dispatcher.Request{Method: r.Method, Path: target, Headers: forwardable(r.Header)}
	return c, nil
}

// readBody reads the caller's body within the deadline.
func (c *call) readBody(w http.ResponseWriter, r *http.Request) *result {
	control := http.NewResponseController(w)
	// A writer without deadlines is bounded by the caller's connection.
	_ = control.SetReadDeadline(time.Now().Add(c.limit))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return provenNotRun(reason.RequestTooLarge, fmt.Sprintf("the body exceeds %d bytes", maxBodyBytes))
	case err != nil:
		return notRun(reason.RequestInvalid, "the body ended early")
	}
	c.request.Body = body
	return nil
}

func idempotent(service *wire.Service, method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return slices.Contains(service.GetIdempotentMethods(), method)
	}
}

// deadline returns the shorter of the service's time limit and the one that the caller states.
func deadline(service *wire.Service, r *http.Request) (time.Duration, error) {
	limit := time.Duration(service.GetDeadlineMs()) * time.Millisecond
	stated := r.Header.Get(dispatcher.DeadlineHeader)
	if stated == "" {
		return limit, nil
	}
	ms, err := strconv.ParseUint(stated, 10, 32)
	if err != nil {
		return 0, fmt.Errorf("%s must be a number of milliseconds", dispatcher.DeadlineHeader)
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}

// hopHeaders belong to one connection and are not passed on; the deadline is replaced by the remaining time.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect", dispatcher.DeadlineHeader,
}

func forwardable(header http.Header) []*wire.Header {
	var named []string
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			named = append(named, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	var headers []*wire.Header
	for name, values := range header {
		if slices.Contains(hopHeaders, name) || slices.Contains(named, name) {
			continue
		}
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}
