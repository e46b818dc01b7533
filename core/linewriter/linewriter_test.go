package linewriter_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/linewriter"
)

// TestOrder guards against lost, reordered or split lines while the reader keeps up.
func TestOrder(t *testing.T) {
	var out bytes.Buffer
	w := linewriter.New(&out)
	var want strings.Builder
	for i := range 1000 {
		line := strings.Repeat("x", i%50) + "\n"
		want.WriteString(line)
		n, err := w.Write([]byte(line))
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	w.Close()
	require.Equal(t, want.String(), out.String())
}

// TestSlowReader guards against a stalled reader that blocks the goroutines that log, an unbounded buffer, and lines
// that are dropped without a message.
func TestSlowReader(t *testing.T) {
	read, write := io.Pipe()
	w := linewriter.New(write)
	line := append(bytes.Repeat([]byte{'x'}, 1023), '\n')
	began := time.Now()
	for range 5000 {
		_, _ = w.Write(line)
	}
	require.Less(t, time.Since(began), 5*time.Second)
	text := make(chan string)
	go func() {
		data, _ := io.ReadAll(read)
		text <- string(data)
	}()
	w.Close()
	_ = write.Close()
	got := <-text
	require.Contains(t, got, "log lines dropped")
	require.Less(t, len(got), 3<<20)
}
