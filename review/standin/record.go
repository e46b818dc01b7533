package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// record collects what was sent, answered and run. Times are seconds since the start of the script.
type record struct {
	mu     sync.Mutex
	began  time.Time
	lines  []string
	breaks []string
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) now() float64 { return time.Since(r.began).Seconds() }

func (r *record) logf(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f %-10s %s", r.now(), who, fmt.Sprintf(format, args...)))
}

// broken records that a rule was broken.
func (r *record) broken(rule, format string, args ...any) {
	r.logf("BROKEN", "%s: %s", rule, fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks = append(r.breaks, fmt.Sprintf("%8.3f %s: %s", r.now(), rule, fmt.Sprintf(format, args...)))
}

func (r *record) breakCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.breaks)
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i][:8] < r.lines[j][:8] })
	for _, line := range r.lines {
		fmt.Fprintln(f, line)
	}
	return nil
}
