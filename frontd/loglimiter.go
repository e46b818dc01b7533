package main

import (
	"sync"
	"time"
)

// linesPerSecond bounds the lines on failed calls, so that an outage under load does not turn into a flood of them. The
// counters count every call.
const linesPerSecond = 50

// lineLimit lets through a bounded number of lines in each second.
type lineLimit struct {
	mu     sync.Mutex
	second time.Duration
	count  int
}

// take reports whether a line may be written now.
func (l *lineLimit) take(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Truncate(time.Second); second != l.second {
		l.second, l.count = second, 0
	}
	l.count++
	return l.count <= linesPerSecond
}
