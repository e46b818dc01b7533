package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"

	"flamingodrift.example/core/bodylimiter"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

const (
	maxBodyBytes = 1 << 20
	maxNameBytes = 128
)

// call is one request of a caller.
type call struct {
	service    *wire.Service
	caller     string
	key        string
	request    *dispatcher.Request
	idempotent bool
	timeout    time.Duration
}

// serviceName returns the service's label in metrics, or "unknown" if the request was refused before its service was
// known.
func (c *call) serviceName() string {
	if c == nil {
		return "unknown"
	}
	return c.service.GetName()
}

// parse validates the head of a request. If the request is refused, parse returns a result and no call.
func (g *Gateway) parse(r *http.Request) (*call, *result) {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), Prefix), "/")
	service := g.cfg.Control.State().Services[name]
	if service == nil {
		return nil, notRun(reason.UnknownService, fmt.Sprintf("the configuration names no service %q", name))
	}
	c := &call{
		service: service, caller: r.Header.Get("Flamingo-Caller"), key: r.Header.Get("Idempotency-Key"),
		idempotent: isIdempotent(service, r.Method),
	}
	var err error
	if c.timeout, err = requestTimeout(service, r); err != nil {
		return nil, notRun(reason.RequestInvalid, err.Error())
	}
	if len(c.caller) > maxNameBytes || len(c.key) > maxNameBytes {
		return nil, neverRun(reason.RequestInvalid,
			fmt.Sprintf("caller and key have at most %d bytes", maxNameBytes))
	}
	if !c.idempotent && (c.key == "" || c.caller == "") {
		return nil, neverRun(reason.KeyMissing,
			"a non-idempotent request needs the headers Flamingo-Caller and Idempotency-Key")
	}
	requestURI := "/" + path
	if r.URL.RawQuery != "" {
		requestURI += "?" + r.URL.RawQuery
	}
	c.request = &dispatcher.Request{Method: r.Method, Path: requestURI, Headers: endToEndHeaders(r.Header)}
	return c, nil
}

// readBody reads the caller's body within the deadline.
func (c *call) readBody(w http.ResponseWriter, r *http.Request) *result {
	body, err := bodylimiter.ReadAllWithin(w, r, maxBodyBytes, c.timeout)
	switch {
	case errors.Is(err, bodylimiter.ErrTooLarge):
		return neverRun(reason.RequestTooLarge, fmt.Sprintf("the body exceeds %d bytes", maxBodyBytes))
	case errors.Is(err, bodylimiter.ErrNoBudget):
		return notRun(reason.LimitReached, err.Error())
	case err != nil:
		return notRun(reason.RequestInvalid, "the body ended early")
	}
	c.request.Body = body
	return nil
}

func isIdempotent(service *wire.Service, method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return slices.Contains(service.GetIdempotentMethods(), method)
	}
}

// requestTimeout returns the service's time limit or the caller's, whichever is shorter.
func requestTimeout(service *wire.Service, r *http.Request) (time.Duration, error) {
	timeout := time.Duration(service.GetDeadlineMs()) * time.Millisecond
	stated := r.Header.Get(dispatcher.DeadlineHeader)
	if stated == "" {
		return timeout, nil
	}
	ms, err := strconv.ParseUint(stated, 10, 32)
	if err != nil {
		return 0, fmt.Errorf("%s must be a number of milliseconds", dispatcher.DeadlineHeader)
	}
	return min(timeout, time.Duration(ms)*time.Millisecond), nil
}

// hopByHopHeaders apply to a single connection and are not forwarded. The deadline is replaced by the remaining time.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect", dispatcher.DeadlineHeader,
}

func endToEndHeaders(header http.Header) []*wire.Header {
	var connectionNamed []string
	for _, value := range header.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			connectionNamed = append(connectionNamed, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	var headers []*wire.Header
	for name, values := range header {
		if slices.Contains(hopByHopHeaders, name) || slices.Contains(connectionNamed, name) {
			continue
		}
		for _, value := range values {
			headers = append(headers, &wire.Header{Name: name, Value: value})
		}
	}
	return headers
}
