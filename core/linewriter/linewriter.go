// Package linewriter writes log lines without ever holding up the threads that log.
package linewriter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPending bounds the bytes that wait for a slow reader of the log.
	maxPending = 1 << 20
	// closeWait bounds how long Close waits for the last lines.
	closeWait = 500 * time.Millisecond
)

// Writer takes whole lines and writes them from its own goroutine, several at a time. When the reader is too slow, lines
// are dropped and counted in a line of their own. It is safe for concurrent use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a Writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one or more whole lines. It never blocks and never fails.
func (w *Writer) Write(lines []byte) (int, error) {
	w.mu.Lock()
	switch {
	case w.closed:
	case len(w.pending)+len(lines) > maxPending:
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
			// Nobody can be told of a log that cannot be written.
			_, _ = w.out.Write(batch)
		}
	}
}

// Close writes what is pending, and waits for it a little.
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
	case <-time.After(closeWait):
	}
}
