package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
	// kept holds the events of each job that are written only if they are asked for.
	kept map[string][]string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), began: time.Now(), kept: map[string][]string{}}, nil
}

// line adds a line with the time since the start in seconds.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush()
}

// keep keeps an event of a job.
func (r *record) keep(job, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept[job] = append(r.kept[job], fmt.Sprintf("%8.3f  %s", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)))
}

// tell writes the events of a job that were kept.
func (r *record) tell(job string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, event := range r.kept[job] {
		fmt.Fprintln(r.out, "          at", event)
	}
	_ = r.out.Flush()
}

// events counts the events that were kept.
func (r *record) events() (count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, events := range r.kept {
		count += len(events)
	}
	return count
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
