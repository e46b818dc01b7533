package explainer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

// TestWhyNamesCrashes guards against a job that fails, or a task that starts apart from others, without the crashes of
// workers that count against it being named.
func TestWhyNamesCrashes(t *testing.T) {
	e := queueFixture(t)
	crash := func(run uint32) {
		lost, next := fmt.Sprintf("w-%d", run), fmt.Sprintf("w-%d", run+1)
		e.Cell.Batch().Apply(&wire.QueueCommand{
			Ends: []*wire.RunEnd{{
				Job: "j1", Run: run, Outcome: wire.RunOutcome_RUN_OUTCOME_CUT_SHORT,
				Crash: &wire.WorkerCrash{Worker: lost, Run: run, OnlySuspect: run > 1, Confirmed: true},
			}},
			Workers:    []*wire.WorkerLife{{Worker: next, BornUnixMs: 1, CpuMillis: 8000, MemoryMb: 4096}},
			Placements: []*wire.RunPlacement{{Job: "j1", Run: run + 1, Worker: next, BornUnixMs: 1}},
		})
	}
	crash(1)
	crash(2)
	const two = "w-1 crashed under run 1, beside other new runs; w-2 crashed under run 2, without other new runs"
	require.Equal(t, "Run 3 is on worker w-3, for 1s as far as this leader knows. 2 lost workers count against it: "+two+".",
		e.Why("j1/0/0").Tasks[0].Sentence)
	crash(3)
	for _, name := range []string{"j1", "j1/0/0"} {
		require.Equal(t, []string{
			"Job j1 was submitted to queue settle. It has failed.",
			"Task j1/0/0 was given up. 3 lost workers count against it: " + two +
				"; w-3 crashed under run 3, without other new runs.",
		}, e.Why(name).Sentences)
	}
	require.Nil(t, e.Why("j1/0/1"))
}

// TestStatusNamesCrashingJobs guards against a job of the sheet that is held for its crashes without a problem that says so,
// or a task without the workers that crashed.
func TestStatusNamesCrashingJobs(t *testing.T) {
	e := fixture(t)
	const workers = 3
	for i := range workers {
		worker := fmt.Sprintf("c-%d", i)
		seen := func(boot string, suspects ...string) {
			events(t, e.Cell, &wire.WorkerEvent{Worker: worker, Body: &wire.WorkerEvent_Seen{Seen: &wire.WorkerSeen{
				Boot: boot, Capacity: &wire.Resources{CpuMilli: 8000, MemoryMb: 4096}, Suspects: suspects,
			}}})
		}
		seen("1")
		apply(t, e.Cell, &wire.Command{Body: &wire.Command_Decisions{Decisions: &wire.Decisions{
			Placements: []*wire.Placement{{Task: "settle@1/0", Worker: worker}},
		}}})
		seen("2", "settle@1/0")
	}
	apply(t, e.Cell, &wire.Command{Body: &wire.Command_Decisions{Decisions: &wire.Decisions{
		JobHolds: []*wire.JobHold{{Key: "settle@1", Held: true, Reason: "workers crashed"}},
	}}})
	require.Contains(t, e.Status().Problems,
		"Job settle@1 is held because workers crashed just after they had started one of its tasks.")
	require.Contains(t, e.Why("settle@1/0").Tasks[0].Sentence,
		" Workers crashed just after they had started it: c-0, c-1, c-2.")
}
