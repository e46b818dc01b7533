package batch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

func workspaceConfig(version uint64, workspaces ...*wire.Workspace) *wire.QueueConfig {
	return &wire.QueueConfig{
		Version: version, Queues: []*wire.Queue{{Name: "q", Pool: "p", Attempts: 2}}, Workspaces: workspaces, KeysRequired: true,
	}
}

func submitIn(workspace, id string, count uint32, cpu int64, gang bool) *wire.QueueCommand {
	return &wire.QueueCommand{Submit: &wire.SubmittedJob{
		Id: id, Queue: "q", Workspace: workspace, Steps: []*wire.JobStep{{Count: count, CpuMillis: cpu, Gang: gang}},
	}}
}

func placeOn(worker, job string, indexes ...uint32) *wire.QueueCommand {
	command := &wire.QueueCommand{}
	for _, index := range indexes {
		command.Placements = append(command.Placements,
			&wire.RunPlacement{Job: job, Index: index, Run: 1, Worker: worker, BornUnixMs: 1})
	}
	return command
}

func newWorkspaceBatch(workspaces ...*wire.Workspace) *Batch {
	b := New()
	b.Apply(&wire.QueueCommand{Configure: workspaceConfig(1, workspaces...)})
	for _, worker := range []string{"w1", "w2"} {
		b.Apply(&wire.QueueCommand{Workers: []*wire.WorkerLife{{Worker: worker, BornUnixMs: 1, Pool: "p", CpuMillis: 32_000}}})
	}
	return b
}

// TestWorkspaceLimitHoldsAtEachPlacement guards against a workspace that gets more than its limit: from placements of one
// command or several, on one worker or two, for gangs, and after the limit was lowered or its workspace was dropped.
func TestWorkspaceLimitHoldsAtEachPlacement(t *testing.T) {
	limited := &wire.Workspace{Name: "a", MaxCpuMillis: 5_000}
	cases := []struct {
		name     string
		commands []*wire.QueueCommand
		used     int64
	}{
		{"one command", []*wire.QueueCommand{submitIn("a", "j1", 4, 2_000, false), placeOn("w1", "j1", 0, 1, 2, 3)}, 4_000},
		{"two workers", []*wire.QueueCommand{
			submitIn("a", "j1", 4, 2_000, false), placeOn("w1", "j1", 0, 1), placeOn("w2", "j1", 2, 3),
		}, 4_000},
		{"two jobs", []*wire.QueueCommand{
			submitIn("a", "j1", 2, 2_000, false), submitIn("a", "j2", 2, 2_000, false), placeOn("w1", "j1", 0, 1),
			placeOn("w1", "j2", 0, 1),
		}, 4_000},
		{"gang above the limit", []*wire.QueueCommand{submitIn("a", "j1", 3, 2_000, true), placeOn("w1", "j1", 0, 1, 2)}, 0},
		{"gang within the limit", []*wire.QueueCommand{submitIn("a", "j1", 2, 2_000, true), placeOn("w1", "j1", 0, 1)}, 4_000},
		{"another workspace", []*wire.QueueCommand{submitIn("b", "j1", 4, 2_000, false), placeOn("w1", "j1", 0, 1, 2, 3)}, 0},
		{"after an end", []*wire.QueueCommand{
			submitIn("a", "j1", 4, 2_000, false), placeOn("w1", "j1", 0, 1),
			{Ends: []*wire.RunEnd{{Job: "j1", Run: 1, Outcome: wire.RunOutcome_RUN_OUTCOME_DONE}}},
			placeOn("w1", "j1", 2, 3),
		}, 4_000},
		{"lowered", []*wire.QueueCommand{
			submitIn("a", "j1", 4, 2_000, false), placeOn("w1", "j1", 0),
			{Configure: workspaceConfig(2, &wire.Workspace{Name: "a", MaxCpuMillis: 3_000})},
			placeOn("w1", "j1", 1),
		}, 2_000},
		{"dropped", []*wire.QueueCommand{
			submitIn("a", "j1", 4, 2_000, false), {Configure: workspaceConfig(2)}, placeOn("w1", "j1", 0, 1, 2, 3),
		}, 4_000},
		{"lost worker", []*wire.QueueCommand{
			submitIn("a", "j1", 4, 2_000, false), placeOn("w1", "j1", 0, 1),
			{Gone: []*wire.WorkerLife{{Worker: "w1", BornUnixMs: 1}}},
			placeOn("w2", "j1", 2, 3),
		}, 4_000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newWorkspaceBatch(limited, &wire.Workspace{Name: "b"})
			for _, command := range c.commands {
				b.Apply(command)
			}
			require.Equal(t, c.used, b.WorkspaceUsed("a").CPU())
			restored := Restore(b.State())
			require.Equal(t, c.used, restored.WorkspaceUsed("a").CPU())
			restored.Apply(placeOn("w2", "j1", 0, 1, 2, 3))
			require.LessOrEqual(t, restored.WorkspaceUsed("a").CPU(), int64(5_000))
		})
	}
}

// TestKeysOfConfigurationInForce guards against a key that works after a newer configuration has taken it away, also when
// an older one arrives again or after a restart.
func TestKeysOfConfigurationInForce(t *testing.T) {
	b := newWorkspaceBatch(&wire.Workspace{Name: "a", Keys: []string{"k1", "k2"}}, &wire.Workspace{Name: "b", Keys: []string{"k3"}})
	first := b.Config()
	require.Equal(t, [2]any{"b", true}, lookUp(b, "k3"))
	b.Apply(&wire.QueueCommand{Configure: workspaceConfig(2, &wire.Workspace{Name: "a", Keys: []string{"k2", "k4"}})})
	b.Apply(&wire.QueueCommand{Configure: first})
	for _, state := range []*Batch{b, Restore(b.State())} {
		require.Equal(t, [2]any{"", false}, lookUp(state, "k1"))
		require.Equal(t, [2]any{"a", true}, lookUp(state, "k2"))
		require.Equal(t, [2]any{"", false}, lookUp(state, "k3"))
		require.Equal(t, [2]any{"a", true}, lookUp(state, "k4"))
		require.Equal(t, [2]any{"", false}, lookUp(state, ""))
		require.True(t, state.KeysRequired())
		require.Equal(t, []string{"a"}, state.Workspaces())
	}
}

func lookUp(b *Batch, key string) [2]any {
	name, ok := b.WorkspaceOfKey(key)
	return [2]any{name, ok}
}

// TestJobKeepsItsWorkspace guards against an ended or restored job that every workspace could read.
func TestJobKeepsItsWorkspace(t *testing.T) {
	b := newWorkspaceBatch(&wire.Workspace{Name: "a"})
	b.Apply(submitIn("a", "j1", 1, 1_000, false))
	b.Apply(&wire.QueueCommand{Cancel: "j1"})
	require.Equal(t, "a", b.Job("j1").Workspace())
	require.Equal(t, "a", Restore(b.State()).Job("j1").Workspace())
}

// TestCheckWorkspaceLimit guards against accepting a job that can never run within its workspace's limit.
func TestCheckWorkspaceLimit(t *testing.T) {
	b := newWorkspaceBatch(&wire.Workspace{Name: "a", MaxCpuMillis: 5_000, MaxMemoryMb: 100}, &wire.Workspace{Name: "b"})
	cases := []struct {
		name, workspace string
		step            *wire.JobStep
		fits            bool
	}{
		{"tasks one by one", "a", &wire.JobStep{Count: 9, CpuMillis: 5_000}, true},
		{"one task too large", "a", &wire.JobStep{Count: 1, CpuMillis: 5_001}, false},
		{"too much memory", "a", &wire.JobStep{Count: 1, MemoryMb: 101}, false},
		{"gang", "a", &wire.JobStep{Count: 3, CpuMillis: 1_667, Gang: true}, false},
		{"gang that fits", "a", &wire.JobStep{Count: 3, CpuMillis: 1_666, Gang: true}, true},
		{"no limit", "b", &wire.JobStep{Count: 9, CpuMillis: 1 << 40, Gang: true}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			problem := b.CheckWorkspaceLimit(&wire.SubmittedJob{Workspace: c.workspace, Steps: []*wire.JobStep{c.step}})
			require.Equal(t, c.fits, problem == "", problem)
		})
	}
	free, limited := b.WorkspaceFree("a")
	require.True(t, limited)
	require.True(t, resource.New(&wire.Resources{CpuMilli: 5_000, MemoryMb: 100, Accelerators: 1_000}).FitsIn(free))
	_, limited = b.WorkspaceFree("b")
	require.False(t, limited)
}
