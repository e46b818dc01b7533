package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLineLimit guards the volume of the log during an outage.
func TestLineLimit(t *testing.T) {
	var l lineLimit
	for _, second := range []time.Duration{0, 1, 7} {
		written := 0
		for i := range 1000 {
			if l.take(second*time.Second + time.Duration(i)*time.Millisecond) {
				written++
			}
		}
		require.Equal(t, linesPerSecond, written)
	}
}
