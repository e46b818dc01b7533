package batch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

// reportOf returns a numbered report of the first incarnation of worker w1.
func reportOf(sequence uint64, cpuMillis int64) *wire.QueueCommand {
	report := testIncarnation("w1", 1)
	report.CpuMillis, report.Sequence = cpuMillis, sequence
	return &wire.QueueCommand{Workers: []*wire.WorkerLife{report}}
}

// TestShrunkCapacity guards against starting runs beyond the capacity of a worker that has shrunk, also when an older
// report arrives late.
func TestShrunkCapacity(t *testing.T) {
	tests := []struct {
		name    string
		reports []*wire.QueueCommand
		placed  int
	}{
		{"as it was", []*wire.QueueCommand{reportOf(3, 8000)}, 1},
		{"shrunk", []*wire.QueueCommand{reportOf(3, 8000), reportOf(4, 5000)}, 0},
		{"an older report comes late", []*wire.QueueCommand{
			reportOf(3, 8000), reportOf(5, 5000), reportOf(4, 8000),
		}, 0},
		{"grown again", []*wire.QueueCommand{reportOf(3, 8000), reportOf(4, 5000), reportOf(5, 8000)}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTestBatch(&wire.JobStep{Count: 2, CpuMillis: 3000})
			apply(b, place(placement(0, 0, 1, "w1", 1)))
			apply(b, test.reports...)
			b = Restore(b.State())
			require.Len(t, apply(b, place(placement(0, 1, 1, "w1", 1))).Placed, test.placed)
		})
	}
}

// TestStoppingRunsCountInShrunkCapacity guards against giving away what a run still occupies on a worker that has
// shrunk: its end has not been reported.
func TestStoppingRunsCountInShrunkCapacity(t *testing.T) {
	b := newTestBatch(&wire.JobStep{Count: 2, CpuMillis: 3000})
	apply(b, place(placement(0, 0, 1, "w1", 1)))
	apply(b, &wire.QueueCommand{Cancel: jobID})
	other := testJob("00000000000000bb", &wire.JobStep{Count: 1, CpuMillis: 3000})
	apply(b, &wire.QueueCommand{Submit: other}, reportOf(2, 5000))
	later := func(run uint32) *wire.QueueCommand {
		p := placement(0, 0, run, "w1", 1)
		p.Job = other.GetId()
		return place(p)
	}
	require.Empty(t, apply(b, later(1)).Placed)
	apply(b, end(ended(0, 0, 1, cutShort)))
	require.Len(t, apply(b, later(1)).Placed, 1)
}
