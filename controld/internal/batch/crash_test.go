package batch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

// crashOf is the loss of a worker under one run of a task.
type crashOf struct {
	index       uint32
	onlySuspect bool
	newest      bool
	// returns is set when the worker's successor registers at its address.
	returns bool
}

// addWorker registers the first incarnation of a worker at an address.
func addWorker(b *Batch, worker, address string, startedUnixMs int64) {
	report := testIncarnation(worker, startedUnixMs)
	report.Address = address
	apply(b, &wire.QueueCommand{Workers: []*wire.WorkerLife{report}})
}

// TestGivingUp guards the number of crashed workers after which a task is given up: sound tasks beside a crashing one
// must not be, and a crashing one must not be started without end.
func TestGivingUp(t *testing.T) {
	single := &wire.JobStep{Count: 2, CpuMillis: 1000}
	gang := &wire.JobStep{Count: 2, CpuMillis: 1000, Gang: true}
	suspect, sole := crashOf{returns: true}, crashOf{onlySuspect: true, returns: true}
	other, gone := crashOf{index: 1, onlySuspect: true, returns: true}, crashOf{onlySuspect: true}
	newest, atOnce := crashOf{newest: true, returns: true}, crashOf{onlySuspect: true, newest: true, returns: true}
	goneAtOnce := crashOf{onlySuspect: true, newest: true}
	tests := []struct {
		name    string
		step    *wire.JobStep
		crashes []crashOf
		givenUp bool
	}{
		{"two crashes", single, []crashOf{sole, sole}, false},
		{"two conclusive crashes", single, []crashOf{atOnce, atOnce}, true},
		{"two conclusive crashes, not confirmed", single, []crashOf{goneAtOnce, goneAtOnce}, false},
		{"beside a crashing task, then alone", single, []crashOf{newest, atOnce}, false},
		{"among others that began with it", single, []crashOf{newest, newest}, false},
		{"three crashes", single, []crashOf{sole, sole, sole}, true},
		{"the first among others", single, []crashOf{suspect, sole, sole}, true},
		{"beside others", single, []crashOf{suspect, suspect, suspect, sole}, false},
		{"two tasks of a job", single, []crashOf{sole, sole, other, other}, false},
		{"workers that do not return", single, []crashOf{gone, gone, gone, gone}, false},
		{"five workers that do not return", single, []crashOf{gone, gone, gone, gone, gone}, true},
		{"a gang, by different members", gang, []crashOf{sole, other, sole}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTestBatch(test.step)
			for i, crash := range test.crashes {
				run, worker, address := uint32(i+1), fmt.Sprintf("c%d", i), fmt.Sprintf("10.0.0.%d:1", i)
				addWorker(b, worker, address, int64(10+2*i))
				placements := []*wire.RunPlacement{placement(0, crash.index, run, worker, int64(10+2*i))}
				if test.step.GetGang() {
					placements = append(placements, placement(0, 1-crash.index, run, "w2", 1))
				}
				require.Len(t, apply(b, place(placements...)).Placed, len(placements))
				lost := ended(0, crash.index, run, cutShort)
				lost.Crash = &wire.WorkerCrash{
					Worker: worker, BornUnixMs: int64(10 + 2*i), Address: address, Run: run, OnlySuspect: crash.onlySuspect,
					Newest: crash.newest,
				}
				apply(b, end(lost), end(ended(0, 1-crash.index, run, cutShort)))
				// The counts survive a snapshot, and with it another leader.
				b = Restore(b.State())
				if crash.returns {
					addWorker(b, worker+"-next", address, int64(11+2*i))
				}
			}
			j := b.Job(jobID)
			require.Equal(t, test.givenUp, j.Phase() == wire.JobPhase_JOB_PHASE_FAILED)
			require.Equal(t, test.givenUp, j.GivenUp() != nil)
			if test.givenUp {
				require.Len(t, Restore(b.State()).Job(jobID).GivenUp().Crashes(), len(test.crashes))
			}
		})
	}
}

// TestReturnedWorkerRefutesCrash guards against counting the loss of a worker that was only cut off against a task, also
// after a snapshot. A worker whose successor has reported, or an older report of the worker, refutes nothing.
func TestReturnedWorkerRefutesCrash(t *testing.T) {
	const lostRun, sequence = 1, 5
	returned := testIncarnation("c", 10)
	returned.Sequence = sequence + 1
	overtaken := testIncarnation("c", 10)
	overtaken.Sequence = sequence - 1
	restarted := testIncarnation("c", 11)
	tests := []struct {
		name    string
		reports []*wire.WorkerLife
		crashes int
	}{
		{"no report", nil, 1},
		{"the same incarnation", []*wire.WorkerLife{returned}, 0},
		{"a report from before the loss", []*wire.WorkerLife{overtaken}, 1},
		{"its successor", []*wire.WorkerLife{restarted}, 1},
		{"its successor, then a late report", []*wire.WorkerLife{restarted, returned}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTestBatch(&wire.JobStep{Count: 1, CpuMillis: 1000})
			worker := testIncarnation("c", 10)
			worker.Sequence = sequence
			apply(b, &wire.QueueCommand{Workers: []*wire.WorkerLife{worker}}, place(placement(0, 0, lostRun, "c", 10)))
			lost := ended(0, 0, lostRun, cutShort)
			lost.Crash = &wire.WorkerCrash{Worker: "c", BornUnixMs: 10, Run: lostRun, OnlySuspect: true}
			apply(b, end(lost))
			b = Restore(b.State())
			require.Len(t, b.Task(jobID, 0, 0).Crashes(), 1)
			require.True(t, b.HasUnconfirmedCrash(b.Incarnation("c")))
			for _, report := range test.reports {
				apply(b, &wire.QueueCommand{Workers: []*wire.WorkerLife{report}})
			}
			b = Restore(b.State())
			require.Len(t, b.Task(jobID, 0, 0).Crashes(), test.crashes)
			require.Equal(t, test.crashes > 0, b.Task(jobID, 0, 0).Step().Suspected())
			require.Equal(t, test.reports == nil || test.reports[0] == overtaken,
				b.HasUnconfirmedCrash(b.Incarnation("c")))
		})
	}
}
