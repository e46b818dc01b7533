// Package limiter limits the HTTP connections of an entry process.
package limiter

import (
	"net"
	"net/http"
	"sync/atomic"
)

// Limiter counts open connections. It is safe for concurrent use.
type Limiter struct {
	max  int64
	open atomic.Int64
}

// New returns a Limiter that allows maxConnections.
func New(maxConnections int) *Limiter { return &Limiter{max: int64(maxConnections)} }

// Track counts connections. It is installed as the server's ConnState callback.
func (l *Limiter) Track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		l.open.Add(-1)
	default:
	}
}

// Full reports whether more connections are open than allowed.
func (l *Limiter) Full() bool { return l.open.Load() > l.max }

// Wrap returns a handler that closes each connection after its answer while too many are open, so that their number
// falls to the limit.
func (l *Limiter) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.Full() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
