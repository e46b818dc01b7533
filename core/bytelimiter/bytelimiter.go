// Package bytelimiter limits the memory that a process uses for data that others send to it.
package bytelimiter

import "sync/atomic"

// reservedShare is the divisor for the last part of the budget, which only small reservations may use, so that large
// data cannot keep out ordinary requests.
const reservedShare = 4

// Config holds the limits.
type Config struct {
	// Bytes is the budget.
	Bytes int64
	// SmallBytes is the largest total of one request that may use the last quarter of the budget.
	SmallBytes int64
}

// Limiter keeps count of reserved bytes. It is safe for concurrent use.
type Limiter struct {
	cfg  Config
	used atomic.Int64
}

// New returns a Limiter without reservations.
func New(cfg Config) *Limiter { return &Limiter{cfg: cfg} }

// Reserve reserves bytes for a request that holds total bytes with them, and reports whether the budget allows it.
func (l *Limiter) Reserve(bytes, total int64) bool {
	limit := l.cfg.Bytes
	if !l.Small(total) {
		limit -= limit / reservedShare
	}
	for {
		used := l.used.Load()
		if bytes > limit-used {
			return false
		}
		if l.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

// Small reports whether a request that holds total bytes may use the whole budget.
func (l *Limiter) Small(total int64) bool { return total <= l.cfg.SmallBytes }

// Release returns reserved bytes to the budget.
func (l *Limiter) Release(bytes int64) { l.used.Add(-bytes) }

// Used returns the number of reserved bytes.
func (l *Limiter) Used() int64 { return l.used.Load() }
