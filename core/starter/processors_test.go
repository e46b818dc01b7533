package starter_test

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/starter"
)

// TestReserveProcessors guards against a control process on a host with one processor that answers nobody while it
// waits for its disk.
func TestReserveProcessors(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(before)
	tests := []struct{ available, used int }{{1, 2}, {2, 2}, {4, 4}}
	for _, test := range tests {
		runtime.GOMAXPROCS(test.available)
		require.Equal(t, test.used, starter.ReserveProcessors())
		require.Equal(t, test.used, runtime.GOMAXPROCS(0))
	}
}
