package main

import (
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"flamingodrift.example/entryd/internal/limiter"
)

const (
	// maxHeaderBytes bounds the headers of one request; the standard library allows 1 MiB.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the reading of a request's headers, so that slow senders cannot use up all connections.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// newHTTP returns the HTTP server for callers, workers, targets and operators.
func newHTTP(address string, limit *limiter.Limiter) *khttp.Server {
	// Requests carry their own deadlines; the transport's default of one second would cut them off.
	server := khttp.NewServer(khttp.Address(address), khttp.Timeout(0), khttp.Filter(limit.Wrap))
	server.ConnState = limit.Track
	server.MaxHeaderBytes = maxHeaderBytes
	server.ReadHeaderTimeout = headerTimeout
	server.IdleTimeout = idleTimeout
	return server
}
