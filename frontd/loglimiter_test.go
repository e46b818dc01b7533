package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLogLimiter checks that the number of log lines in each second is limited during an outage.
func TestLogLimiter(t *testing.T) {
	var l logLimiter
	for _, second := range []time.Duration{0, 1, 7} {
		written := 0
		for i := range 1000 {
			if l.allow(second*time.Second + time.Duration(i)*time.Millisecond) {
				written++
			}
		}
		require.Equal(t, maxLinesPerSecond, written)
	}
}
