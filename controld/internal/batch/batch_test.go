package batch

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

func testConfig(version uint64, attempts uint32) *wire.QueueConfig {
	return &wire.QueueConfig{Version: version, Document: []byte("{}"), Queues: []*wire.Queue{
		{Name: "short", Host: "h.example", Prefix: "/a/", Pool: "p", Attempts: attempts},
		{Name: "long", Host: "h.example", Prefix: "/a/b/", Pool: "p", Attempts: attempts},
	}}
}

func testJob(id string, steps ...*wire.JobStep) *wire.SubmittedJob {
	return &wire.SubmittedJob{Id: id, Queue: "short", Spec: "x", Steps: steps}
}

func testIncarnation(worker string, startedUnixMs int64) *wire.WorkerLife {
	return &wire.WorkerLife{Worker: worker, BornUnixMs: startedUnixMs, Pool: "p", CpuMillis: 8000, MemoryMb: 8000}
}

func placement(step, index, run uint32, worker string, startedUnixMs int64) *wire.RunPlacement {
	return &wire.RunPlacement{Job: jobID, Step: step, Index: index, Run: run, Worker: worker, BornUnixMs: startedUnixMs}
}

func ended(step, index, run uint32, outcome wire.RunOutcome) *wire.RunEnd {
	return &wire.RunEnd{Job: jobID, Step: step, Index: index, Run: run, Outcome: outcome}
}

func apply(b *Batch, commands ...*wire.QueueCommand) Effect {
	var effect Effect
	for _, command := range commands {
		_, effect = b.Apply(command)
	}
	return effect
}

const (
	done     = wire.RunOutcome_RUN_OUTCOME_DONE
	failed   = wire.RunOutcome_RUN_OUTCOME_FAILED
	cutShort = wire.RunOutcome_RUN_OUTCOME_CUT_SHORT
	jobID    = "00000000000000aa"
)

func newTestBatch(steps ...*wire.JobStep) *Batch {
	b := New()
	apply(b, &wire.QueueCommand{Configure: testConfig(3, 2)},
		&wire.QueueCommand{Workers: []*wire.WorkerLife{testIncarnation("w1", 1), testIncarnation("w2", 1)}},
		&wire.QueueCommand{Submit: testJob(jobID, steps...)})
	return b
}

func place(placements ...*wire.RunPlacement) *wire.QueueCommand {
	return &wire.QueueCommand{Placements: placements}
}

func end(ends ...*wire.RunEnd) *wire.QueueCommand { return &wire.QueueCommand{Ends: ends} }

// TestPlacements checks that a placement is refused although a leader proposed it when the task has a run already, the
// worker is full, draining or has restarted, or only a part of a gang would be placed.
func TestPlacements(t *testing.T) {
	single := &wire.JobStep{Count: 3, CpuMillis: 3000}
	tests := []struct {
		name   string
		step   *wire.JobStep
		before []*wire.QueueCommand
		place  *wire.QueueCommand
		placed int
	}{
		{name: "fits", step: single, place: place(placement(0, 0, 1, "w1", 1)), placed: 1},
		{
			name: "task has a run", step: single, before: []*wire.QueueCommand{place(placement(0, 0, 1, "w1", 1))},
			place: place(placement(0, 0, 2, "w2", 1)),
		},
		{
			name: "run without an outcome still occupies its resources", step: single,
			before: []*wire.QueueCommand{place(placement(0, 0, 1, "w1", 1), placement(0, 1, 1, "w1", 1))},
			place:  place(placement(0, 2, 1, "w1", 1)),
		},
		{name: "earlier incarnation", step: single, place: place(placement(0, 0, 1, "w1", 0))},
		{name: "unknown worker", step: single, place: place(placement(0, 0, 1, "w9", 1))},
		{
			name: "draining worker", step: single,
			before: []*wire.QueueCommand{{Workers: []*wire.WorkerLife{func() *wire.WorkerLife {
				report := testIncarnation("w1", 1)
				report.Draining = true
				return report
			}()}}},
			place: place(placement(0, 0, 1, "w1", 1)),
		},
		{
			name: "late report does not undo a drain", step: single,
			before: []*wire.QueueCommand{{Workers: []*wire.WorkerLife{func() *wire.WorkerLife {
				report := testIncarnation("w1", 1)
				report.Draining = true
				return report
			}()}}, {Workers: []*wire.WorkerLife{testIncarnation("w1", 1)}}},
			place: place(placement(0, 0, 1, "w1", 1)),
		},
		{
			name: "job is canceled", step: single, before: []*wire.QueueCommand{{Cancel: jobID}},
			place: place(placement(0, 0, 1, "w1", 1)),
		},
		{
			name: "run number was used before", step: single, before: []*wire.QueueCommand{
				place(placement(0, 0, 1, "w1", 1)), end(ended(0, 0, 1, cutShort)),
			},
			place: place(placement(0, 0, 1, "w1", 1)),
		},
		{
			name: "part of a gang", step: &wire.JobStep{Count: 2, CpuMillis: 6000, Gang: true},
			place: place(placement(0, 0, 1, "w1", 1), placement(0, 1, 1, "w1", 1)),
		},
		{
			name: "part of a gang that had a run before", step: &wire.JobStep{Count: 2, CpuMillis: 4000, Gang: true},
			before: []*wire.QueueCommand{
				place(placement(0, 0, 1, "w1", 1), placement(0, 1, 1, "w1", 1)),
				end(ended(0, 0, 1, cutShort), ended(0, 1, 1, cutShort)),
			},
			place: place(placement(0, 0, 2, "w2", 1), placement(0, 1, 2, "w9", 1)),
		},
		{
			name: "whole gang", step: &wire.JobStep{Count: 2, CpuMillis: 6000, Gang: true},
			place: place(placement(0, 0, 1, "w1", 1), placement(0, 1, 1, "w2", 1)), placed: 2,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTestBatch(test.step)
			apply(b, test.before...)
			before := b.State()
			require.Len(t, apply(b, test.place).Placed, test.placed)
			if test.placed == 0 {
				require.True(t, proto.Equal(before, b.State()), "a refused placement changes nothing")
			}
		})
	}
}

// TestPhases checks the phase that is reported to callers after each kind of event.
func TestPhases(t *testing.T) {
	chain := []*wire.JobStep{{Count: 1, CpuMillis: 1}, {Count: 1, CpuMillis: 1, After: []uint32{0}}}
	gang := []*wire.JobStep{{Count: 2, CpuMillis: 1, Gang: true}}
	tests := []struct {
		name     string
		steps    []*wire.JobStep
		commands []*wire.QueueCommand
		phase    wire.JobPhase
	}{
		{name: "new", steps: chain, phase: wire.JobPhase_JOB_PHASE_QUEUED},
		{
			name: "one of two steps done", steps: chain, phase: wire.JobPhase_JOB_PHASE_RUNNING,
			commands: []*wire.QueueCommand{place(placement(0, 0, 1, "w1", 1)), end(ended(0, 0, 1, done))},
		},
		{
			name: "all done", steps: chain, phase: wire.JobPhase_JOB_PHASE_COMPLETED,
			commands: []*wire.QueueCommand{
				place(placement(0, 0, 1, "w1", 1)), end(ended(0, 0, 1, done)),
				place(placement(1, 0, 1, "w1", 1)), end(ended(1, 0, 1, done)),
			},
		},
		{
			name: "as many failures as attempts", steps: chain, phase: wire.JobPhase_JOB_PHASE_FAILED,
			commands: []*wire.QueueCommand{
				place(placement(0, 0, 1, "w1", 1)), end(ended(0, 0, 1, failed)),
				place(placement(0, 0, 2, "w1", 1)), end(ended(0, 0, 2, failed)),
			},
		},
		{
			name: "runs cut short are not failures, and the job waits for its first start again", steps: chain,
			phase: wire.JobPhase_JOB_PHASE_QUEUED,
			commands: []*wire.QueueCommand{
				place(placement(0, 0, 1, "w1", 1)), end(ended(0, 0, 1, cutShort)),
				place(placement(0, 0, 2, "w1", 1)), end(ended(0, 0, 2, cutShort)),
			},
		},
		{
			name: "a run cut short that left a checkpoint has begun", steps: chain,
			phase: wire.JobPhase_JOB_PHASE_RUNNING,
			commands: []*wire.QueueCommand{
				place(placement(0, 0, 1, "w1", 1)),
				end(&wire.RunEnd{Job: jobID, Run: 1, Outcome: cutShort, Checkpoint: "half"}),
			},
		},
		{
			name: "a job with a run that failed has begun", steps: chain, phase: wire.JobPhase_JOB_PHASE_RUNNING,
			commands: []*wire.QueueCommand{
				place(placement(0, 0, 1, "w1", 1)), end(ended(0, 0, 1, failed)),
				place(placement(0, 0, 2, "w1", 1)), end(ended(0, 0, 2, cutShort)),
			},
		},
		{
			name: "two members that fail in one run count as one failure", steps: gang,
			phase: wire.JobPhase_JOB_PHASE_RUNNING,
			commands: []*wire.QueueCommand{
				place(placement(0, 0, 1, "w1", 1), placement(0, 1, 1, "w2", 1)),
				end(ended(0, 0, 1, failed), ended(0, 1, 1, failed)),
			},
		},
		{
			name: "the success of one member completes the gang", steps: gang, phase: wire.JobPhase_JOB_PHASE_COMPLETED,
			commands: []*wire.QueueCommand{
				place(placement(0, 0, 1, "w1", 1), placement(0, 1, 1, "w2", 1)), end(ended(0, 0, 1, done)),
			},
		},
		{
			name: "the end of an older run is ignored", steps: chain, phase: wire.JobPhase_JOB_PHASE_RUNNING,
			commands: []*wire.QueueCommand{
				place(placement(0, 0, 1, "w1", 1)), end(ended(0, 0, 1, cutShort)),
				place(placement(0, 0, 2, "w1", 1)), end(ended(0, 0, 1, done)),
			},
		},
		{
			name: "cancellation after the end is ignored", steps: chain[:1], phase: wire.JobPhase_JOB_PHASE_COMPLETED,
			commands: []*wire.QueueCommand{
				place(placement(0, 0, 1, "w1", 1)), end(ended(0, 0, 1, done)), {Cancel: jobID},
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTestBatch(test.steps...)
			apply(b, test.commands...)
			require.Equal(t, test.phase, b.Job(jobID).Phase())
		})
	}
}

// TestPendingCountsRefusedStarts checks that a job counts as pending again when its first start was refused or never
// arrived. Such jobs were once left out: four had waited for 5 s and none of them was reported.
func TestPendingCountsRefusedStarts(t *testing.T) {
	b := newTestBatch(&wire.JobStep{Count: 1, CpuMillis: 1})
	queue := b.Job(jobID).Queue()
	require.Equal(t, 1, b.Pending(queue))
	apply(b, place(placement(0, 0, 1, "w1", 1)))
	require.Zero(t, b.Pending(queue))
	apply(b, end(ended(0, 0, 1, cutShort)))
	require.Equal(t, 1, b.Pending(queue))
}

// TestNewIncarnationEndsRuns checks that a restart of a worker ends its runs, because the restarted worker knows
// nothing of them and would never report their ends. A late report of the old incarnation must not end runs of the new
// one.
func TestNewIncarnationEndsRuns(t *testing.T) {
	b := newTestBatch(&wire.JobStep{Count: 1, CpuMillis: 1})
	apply(b, place(placement(0, 0, 1, "w1", 1)))
	effect := apply(b, &wire.QueueCommand{Workers: []*wire.WorkerLife{testIncarnation("w1", 2)}})
	require.Len(t, effect.Ended, 1)
	require.True(t, b.Task(jobID, 0, 0).Waiting())
	apply(b, place(placement(0, 0, 2, "w1", 2)))
	effect = apply(b, &wire.QueueCommand{
		Workers: []*wire.WorkerLife{testIncarnation("w1", 1)},
		Gone:    []*wire.WorkerLife{testIncarnation("w1", 1)},
	})
	require.Empty(t, effect.Ended)
	require.False(t, b.Task(jobID, 0, 0).Waiting())
}

// TestOlderConfigIgnored checks that a configuration of an older or equal version does not replace the one in force.
func TestOlderConfigIgnored(t *testing.T) {
	b := newTestBatch()
	for _, version := range []uint64{2, 3, 1} {
		other := testConfig(version, 9)
		apply(b, &wire.QueueCommand{Configure: other})
		require.Equal(t, uint64(3), b.Config().GetVersion())
		require.Equal(t, uint32(2), b.Queue("short").GetAttempts())
	}
	apply(b, &wire.QueueCommand{Configure: testConfig(7, 9)})
	require.Equal(t, uint32(9), b.Queue("short").GetAttempts())
}

// TestResolve checks that a call goes to the queue with its host and the longest matching prefix, and to the job that was
// accepted under its path.
func TestResolve(t *testing.T) {
	b := newTestBatch()
	stored := testJob("00000000000000bb", &wire.JobStep{Count: 1})
	stored.Host, stored.Prefix = "h.example", "/a/"
	apply(b, &wire.QueueCommand{Submit: stored})
	tests := []struct {
		host, path, queue, rest, job string
		ok, isQueue, namesJob        bool
	}{
		{host: "h.example", path: "/a/00", queue: "short", rest: "00", ok: true},
		{host: "H.example", path: "/a/b/00", queue: "long", rest: "00", ok: true},
		{host: "other.example", path: "/a/00"},
		{host: "h.example", path: "/c/00"},
		{host: "h.example", path: "/a/", queue: "short", ok: true, isQueue: true},
		{host: "H.example", path: "/a/00000000000000bb", queue: "short", rest: "00000000000000bb", job: "00000000000000bb", ok: true, namesJob: true},
		{host: "h.example", path: "/a/b/00000000000000bb", queue: "long", rest: "00000000000000bb", ok: true, namesJob: true},
		{host: "other.example", path: "/a/00000000000000bb"},
		{host: "h.example", path: "/a/b/" + jobID, queue: "long", rest: jobID, job: jobID, ok: true, namesJob: true},
	}
	for _, test := range tests {
		r := b.Resolve(test.host, test.path)
		require.Equal(t, test.ok, r.Queue() != nil, test.path)
		require.Equal(t, test.queue, r.Queue().GetName())
		require.Equal(t, test.rest, r.Rest())
		require.Equal(t, test.isQueue, r.IsQueue(), test.path)
		require.Equal(t, test.namesJob, r.NamesJob(), test.path)
		require.Equal(t, test.job != "", r.Job() != nil, test.path)
		if r.Job() != nil {
			require.Equal(t, test.job, r.Job().ID())
		}
	}
}

// TestTakenID guards against acknowledging the submission of a job whose id another path or workspace took meanwhile.
func TestTakenID(t *testing.T) {
	b := newTestBatch()
	submit := func(prefix, workspace string) string {
		job := testJob("00000000000000bb", &wire.JobStep{Count: 1})
		job.Host, job.Prefix, job.Workspace = "h.example", prefix, workspace
		result, _ := b.Apply(&wire.QueueCommand{Submit: job})
		return result.GetReason()
	}
	require.Empty(t, submit("/a/", ""))
	require.Empty(t, submit("/a/", ""))
	require.Equal(t, reason.Conflict.String(), submit("/a/b/", ""))
	require.Equal(t, reason.Conflict.String(), submit("/a/", "w"))
	require.Len(t, b.Active(), 2)
}

// TestCheckJob checks that jobs which could never be scheduled are rejected.
func TestCheckJob(t *testing.T) {
	require.Empty(t, CheckJob(testJob(jobID, &wire.JobStep{Count: 1})))
	require.NotEmpty(t, CheckJob(testJob("xyz", &wire.JobStep{Count: 1})))
	require.NotEmpty(t, CheckJob(testJob(jobID)))
	require.NotEmpty(t, CheckJob(testJob(jobID, &wire.JobStep{Count: 0})))
	require.NotEmpty(t, CheckJob(testJob(jobID, &wire.JobStep{Count: 1, After: []uint32{0}})))
	require.NotEmpty(t, CheckJob(testJob(jobID, &wire.JobStep{Count: 1, CpuMillis: -1})))
	require.NotEmpty(t, CheckJob(testJob(jobID, &wire.JobStep{Count: 1, CpuMillis: math.MaxInt64})))
	require.NotEmpty(t, CheckJob(testJob(jobID, &wire.JobStep{Count: 1, MemoryMb: math.MaxInt64})))
}

// TestRandomCommands checks these invariants under random commands: runs never exceed the capacity of a worker, a task
// has at most one run, run numbers never decrease, a job is active until it has ended and has no run, and a node that
// restores a snapshot at any point has the same state.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestBatch(&wire.JobStep{Count: 3, CpuMillis: 3000},
			&wire.JobStep{Count: 2, CpuMillis: 5000, Gang: true, After: []uint32{0}})
		runs := map[*Task]int{}
		for range rapid.IntRange(1, 60).Draw(t, "length") {
			command := drawCommand(t)
			_, _ = b.Apply(command)
			for _, inc := range b.Incarnations() {
				used := inc.Capacity().Sub(inc.Free())
				require.True(t, used.FitsIn(inc.Capacity()))
				for task := range inc.Tasks() {
					require.Same(t, inc, task.Incarnation())
				}
			}
			j := b.Job(jobID)
			require.Equal(t, !j.Ended() || j.ActiveRuns() > 0, slices.Contains(b.Active(), j))
			for _, step := range b.Job(jobID).Steps() {
				for _, task := range step.Tasks() {
					require.GreaterOrEqual(t, task.Run(), runs[task])
					runs[task] = task.Run()
				}
			}
			restored := Restore(b.State())
			require.True(t, proto.Equal(b.State(), restored.State()))
			if rapid.Bool().Draw(t, "restart") {
				b, runs = restored, map[*Task]int{}
			}
		}
	})
}

func drawCommand(t *rapid.T) *wire.QueueCommand {
	worker := rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker")
	startedUnixMs := rapid.Int64Range(1, 3).Draw(t, "born")
	step, index := rapid.Uint32Range(0, 1).Draw(t, "step"), rapid.Uint32Range(0, 2).Draw(t, "index")
	run := rapid.Uint32Range(1, 6).Draw(t, "run")
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return &wire.QueueCommand{Workers: []*wire.WorkerLife{testIncarnation(worker, startedUnixMs)}}
	case 1:
		return &wire.QueueCommand{Gone: []*wire.WorkerLife{testIncarnation(worker, startedUnixMs)}}
	case 2:
		return place(placement(1, 0, run, "w1", startedUnixMs), placement(1, 1, run, "w2", startedUnixMs))
	case 3, 4, 5:
		return place(placement(step, index, run, worker, startedUnixMs))
	case 6:
		if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 {
			return &wire.QueueCommand{Cancel: jobID}
		}
		return &wire.QueueCommand{Submit: testJob(jobID, &wire.JobStep{Count: 1})}
	default:
		outcome := rapid.SampledFrom([]wire.RunOutcome{done, failed, cutShort}).Draw(t, "outcome")
		command := end(&wire.RunEnd{Job: jobID, Step: step, Index: index, Run: run, Outcome: outcome, Checkpoint: "c"})
		if outcome == cutShort && rapid.Bool().Draw(t, "crash") {
			command.Ends[0].Crash = &wire.WorkerCrash{Worker: worker, BornUnixMs: startedUnixMs, Run: run, OnlySuspect: true}
		}
		return command
	}
}
