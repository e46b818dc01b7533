package batch

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

func endedAfter(index, run uint32, outcome wire.RunOutcome, ranMs uint32) *wire.RunEnd {
	e := ended(0, index, run, outcome)
	e.RanMs = ranMs
	return e
}

// recordedWeight returns the weight of all samples of the queue of the test jobs.
func recordedWeight(b *Batch) uint64 {
	var sum uint64
	for _, s := range b.State().GetRuntimes() {
		for _, c := range s.GetCells() {
			sum += c.GetWeight()
		}
	}
	return sum
}

// TestRunTimesRecorded guards against learning from runs that say nothing about the length of a task, and from each member
// of a gang.
func TestRunTimesRecorded(t *testing.T) {
	single := &wire.JobStep{Count: 2, CpuMillis: 1000, EstimateMs: 1000}
	gang := &wire.JobStep{Count: 2, CpuMillis: 1000, EstimateMs: 1000, Gang: true}
	const perTask, perGang = 8, 16
	tests := []struct {
		name   string
		step   *wire.JobStep
		ends   []*wire.RunEnd
		weight uint64
	}{
		{name: "done", step: single, ends: []*wire.RunEnd{endedAfter(0, 1, done, 500)}, weight: perTask},
		{name: "unknown length", step: single, ends: []*wire.RunEnd{endedAfter(0, 1, done, 0)}},
		{name: "failed", step: single, ends: []*wire.RunEnd{endedAfter(0, 1, failed, 500)}},
		{name: "cut short", step: single, ends: []*wire.RunEnd{endedAfter(0, 1, cutShort, 500)}},
		{
			name: "reported twice", step: single,
			ends: []*wire.RunEnd{endedAfter(0, 1, done, 500), endedAfter(0, 1, done, 500)}, weight: perTask,
		},
		{name: "not the newest run", step: single, ends: []*wire.RunEnd{endedAfter(0, 7, done, 500)}},
		{
			name: "gang", step: gang,
			ends: []*wire.RunEnd{endedAfter(0, 1, done, 500), endedAfter(1, 1, done, 510)}, weight: perGang,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTestBatch(test.step)
			apply(b, place(placement(0, 0, 1, "w1", 1), placement(0, 1, 1, "w2", 1)))
			for _, e := range test.ends {
				apply(b, end(e))
			}
			require.Equal(t, test.weight, recordedWeight(b))
		})
	}
}

// TestRunTimesOutliveLeadersAndSnapshots guards against a node that knows other run times after a snapshot than one that
// has applied the log, so that a new leader would decide otherwise.
func TestRunTimesOutliveLeadersAndSnapshots(t *testing.T) {
	b := newTestBatch(&wire.JobStep{Count: 40, CpuMillis: 10, EstimateMs: 1000})
	apply(b, &wire.QueueCommand{Submit: testJob("00000000000000bb", &wire.JobStep{Count: 1, CpuMillis: 10})})
	for index := range uint32(39) {
		apply(b, place(placement(0, index, 1, "w1", 1)), end(endedAfter(index, 1, done, 1500+index)))
	}
	data, err := proto.Marshal(b.State())
	require.NoError(t, err)
	state := &wire.BatchState{}
	require.NoError(t, proto.Unmarshal(data, state))
	restored := Restore(state)
	require.Equal(t, b.Runtimes(), restored.Runtimes())
	for _, node := range []*Batch{b, restored} {
		apply(node, place(placement(0, 39, 1, "w1", 1)), end(endedAfter(39, 1, done, 2500)))
	}
	require.Equal(t, b.Runtimes(), restored.Runtimes())
	require.Equal(t, uint64(40), recordedWeight(b))
}

// TestSnapshotWithoutRunTimes guards against failing on the snapshot of an earlier build.
func TestSnapshotWithoutRunTimes(t *testing.T) {
	state := newTestBatch(&wire.JobStep{Count: 1, CpuMillis: 10}).State()
	require.Empty(t, state.GetRuntimes())
	_, known := Restore(state).Runtimes().Expected("short", 1000)
	require.False(t, known)
}
