package server

import (
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/store"
	"flamingodrift.example/core/wire"
)

// The benchmarks of this file do a fixed amount of work each: run them with -benchtime=1x. Results are in
// docs/consensus-measurements.md.

// BenchmarkIdleTraffic measures the traffic of an idle group, per node and per heartbeat at 5 heartbeats a second.
func BenchmarkIdleTraffic(b *testing.B) {
	for _, voters := range []int{3, 4, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			l := newLoopbackGroup(b, voters)
			time.Sleep(time.Second)
			for b.Loop() {
				start := l.bytes.Load()
				const window = 10 * time.Second
				time.Sleep(window)
				sent := float64(l.bytes.Load() - start)
				b.ReportMetric(sent/window.Seconds()/float64(voters), "B/s/node")
				b.ReportMetric(sent/(window.Seconds()*5)/float64(voters-1), "B/heartbeat/follower")
			}
		})
	}
}

// BenchmarkCommit measures the bytes and the latency of commands that are proposed one at a time.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{3, 4, 5} {
		for _, size := range []int{100, 1000, 10000} {
			b.Run(fmt.Sprintf("voters=%d/bytes=%d", voters, size), func(b *testing.B) {
				l := newLoopbackGroup(b, voters)
				for b.Loop() {
					measureCommits(b, l, size)
				}
			})
		}
	}
}

func measureCommits(b *testing.B, l *loopbackGroup, size int) {
	const commands = 200
	leader := l.leader()
	var latencies []time.Duration
	commandBytes := 0
	sent, logged, start := l.bytes.Load(), leader.store.JournalBytes(), time.Now()
	for i := range commands {
		command := configureCommand(i, size)
		commandBytes += len(command.GetConfigure().GetConfig().GetTeams()[0].GetName())
		startedAt := time.Now()
		result, refusal := leader.ctl.Change(l.ctx, command)
		require.Nil(b, refusal)
		require.Empty(b, result.GetReason())
		latencies = append(latencies, time.Since(startedAt))
	}
	elapsed := time.Since(start)
	slices.Sort(latencies)
	b.ReportMetric(float64(l.bytes.Load()-sent)/commands, "wire-B/command")
	b.ReportMetric(float64(leader.store.JournalBytes()-logged)/commands, "log-B/command")
	b.ReportMetric(float64(commandBytes)/commands, "payload-B/command")
	b.ReportMetric(float64(latencies[commands/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[commands*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(commands/elapsed.Seconds(), "commands/s")
}

func configureCommand(revision, size int) *wire.Command {
	name := string(slices.Repeat([]byte{'x'}, size))
	return &wire.Command{Body: &wire.Command_Configure{Configure: &wire.Configure{
		Change: &wire.Change{
			Id: fmt.Sprintf("change-%d", revision), Operator: "operator", ExpectedRevision: uint64(revision),
		},
		Config: &wire.Config{Profile: "waiting", Teams: []*wire.Team{{Name: name, Weight: uint32(revision + 1)}}},
	}}}
}

// BenchmarkSnapshot measures the snapshot of a cell whose tasks are all placed. Each job has up to ten tasks, and each
// worker runs the tasks of one job.
func BenchmarkSnapshot(b *testing.B) {
	for _, tasks := range []int{1425, 2850, 5700} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c := runningCell(b, tasks)
			var state []byte
			var encode, save, restore time.Duration
			for b.Loop() {
				startedAt := time.Now()
				var err error
				state, err = c.Snapshot()
				require.NoError(b, err)
				encode = time.Since(startedAt)
				save = measureSave(b, state)
				startedAt = time.Now()
				_, err = cell.Restore(state)
				require.NoError(b, err)
				restore = time.Since(startedAt)
			}
			b.ReportMetric(float64(len(state)), "snapshot-B")
			b.ReportMetric(float64(len(state))/float64(tasks), "B/task")
			b.ReportMetric(float64(encode.Microseconds())/1000, "encode-ms")
			b.ReportMetric(float64(save.Microseconds())/1000, "save-ms")
			b.ReportMetric(float64(restore.Microseconds())/1000, "restore-ms")
		})
	}
}

// measureSave returns the time to store a snapshot and start a new journal.
func measureSave(b *testing.B, state []byte) time.Duration {
	s, _, err := store.Open(filepath.Join(b.TempDir(), "data"))
	require.NoError(b, err)
	defer func() { _ = s.Close() }()
	startedAt := time.Now()
	meta := &wire.SnapshotMeta{Index: 1, Term: 1}
	require.NoError(b, s.SaveSnapshot(&wire.Snapshot{Meta: meta, State: state}))
	require.NoError(b, s.ReplaceJournal(meta, &wire.HardState{Term: 1}, nil))
	return time.Since(startedAt)
}

// runningCell returns a cell with the given number of tasks, all placed.
func runningCell(b *testing.B, tasks int) *cell.Cell {
	c := cell.New()
	sheet := &wire.ApplySheet{Change: &wire.Change{Id: "sheet"}, Number: 1, Digest: []byte("digest")}
	events, decisions := &wire.WorkerEvents{}, &wire.Decisions{}
	for i := range (tasks + 9) / 10 {
		key, name := fmt.Sprintf("settlement-%04d", i), fmt.Sprintf("worker-%04d", i)
		count := min(10, tasks-10*i)
		sheet.Jobs = append(sheet.Jobs, &wire.JobSpec{
			Key: key, Team: "settlements", Kind: wire.JobKind_JOB_KIND_BATCH, Tasks: uint32(count), Run: "2026-12",
			Resources: &wire.Resources{CpuMilli: 1000, MemoryMb: 1000}, Command: "run-settlement --month 2026-12",
		})
		events.Events = append(events.Events, &wire.WorkerEvent{Worker: name, Body: &wire.WorkerEvent_Seen{Seen: &wire.WorkerSeen{
			Boot: "2026-12-04T00:00:00-0001", Rack: "rack-1", FailureDomain: "khomas-a",
			Capacity: &wire.Resources{CpuMilli: 32000, MemoryMb: 128000},
		}}})
		for k := range count {
			decisions.Placements = append(decisions.Placements, &wire.Placement{
				Task: fmt.Sprintf("%s@2026-12/%d", key, k), Worker: name,
			})
		}
	}
	for _, command := range []*wire.Command{
		{Body: &wire.Command_ApplySheet{ApplySheet: sheet}},
		{Body: &wire.Command_WorkerEvents{WorkerEvents: events}},
		{Body: &wire.Command_Decisions{Decisions: decisions}},
	} {
		command.NowUnixMs = 1_796_000_000_000
		require.Empty(b, c.Apply(command).GetReason())
	}
	placed := 0
	for _, w := range c.Workers() {
		placed += len(w.Tasks())
	}
	require.Equal(b, tasks, placed)
	return c
}
