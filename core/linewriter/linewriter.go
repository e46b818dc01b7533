// Package linewriter writes log lines asynchronously, so that a slow reader of the log never blocks the goroutines that
// log.
package linewriter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes limits the buffered lines.
	maxPendingBytes = 1 << 20
	// closeTimeout limits how long Close waits for the buffered lines to be written.
	closeTimeout = 500 * time.Millisecond
)

// Writer buffers whole lines and writes them in batches from its own goroutine. When the buffer is full, lines are
// dropped, and a separate log line states how many. It is safe for concurrent use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one or more whole lines. It never blocks and never fails.
func (w *Writer) Write(lines []byte) (int, error) {
	w.mu.Lock()
	switch {
	case w.closed:
	case len(w.pending)+len(lines) > maxPendingBytes:
		w.dropped += bytes.Count(lines, []byte{'\n'})
	default:
		w.pending = append(w.pending, lines...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(lines), nil
}

func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		for {
			w.mu.Lock()
			batch, dropped, closed := w.pending, w.dropped, w.closed
			w.pending, w.dropped = spare[:0], 0
			w.mu.Unlock()
			if dropped > 0 {
				batch = fmt.Appendf(batch, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
			}
			spare = batch
			if len(batch) == 0 {
				if closed {
					return
				}
				break
			}
			// A failure to write the log cannot itself be logged.
			_, _ = w.out.Write(batch)
		}
	}
}

// Close has the buffered lines written and waits up to closeTimeout for that.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
