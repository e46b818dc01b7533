package cell_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/core/wire"
)

// TestRestoreRejectsDamagedHash guards against a process that panics on a damaged or foreign snapshot instead of
// naming it.
func TestRestoreRejectsDamagedHash(t *testing.T) {
	tests := []struct {
		bytes int
		valid bool
	}{{0, false}, {15, false}, {16, true}, {17, false}}
	for _, test := range tests {
		data, err := proto.Marshal(&wire.CellState{FinishedRuns: []*wire.FinishedRun{{IdHash: make([]byte, test.bytes)}}})
		require.NoError(t, err)
		_, err = cell.Restore(data)
		require.Equal(t, test.valid, err == nil, "%d bytes", test.bytes)
	}
}
