package main

import (
	"sync"
	"time"
)

// maxLinesPerSecond limits the log lines on failed calls, so that an outage under load does not flood the log. The
// metrics count every call.
const maxLinesPerSecond = 50

// logLimiter allows maxLinesPerSecond log lines in each second. Its zero value is ready for use.
type logLimiter struct {
	mu     sync.Mutex
	second time.Duration
	count  int
}

// allow reports whether a line may be written now.
func (l *logLimiter) allow(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Truncate(time.Second); second != l.second {
		l.second, l.count = second, 0
	}
	l.count++
	return l.count <= maxLinesPerSecond
}
