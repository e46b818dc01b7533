package explainer

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/core/wire"
)

// TestWorkspaces checks what operators see of workspaces, and guards against an answer that holds a key.
func TestWorkspaces(t *testing.T) {
	c := cell.New()
	b := c.Batch()
	b.Apply(&wire.QueueCommand{Configure: &wire.QueueConfig{
		Version: 1, Queues: []*wire.Queue{{Name: "q", Pool: "p"}}, KeysRequired: true,
		Workspaces: []*wire.Workspace{{Name: "a", Keys: []string{"secret"}, Weight: 2, MaxCpuMillis: 1_000}, {Name: "b"}},
	}})
	b.Apply(&wire.QueueCommand{Workers: []*wire.WorkerLife{{Worker: "w", BornUnixMs: 1, Pool: "p", CpuMillis: 8_000}}})
	for _, id := range []string{"j1", "j2"} {
		b.Apply(&wire.QueueCommand{Submit: &wire.SubmittedJob{
			Id: id, Queue: "q", Workspace: "a", Steps: []*wire.JobStep{{Count: 1, CpuMillis: 1_000}},
		}})
	}
	b.Apply(&wire.QueueCommand{Placements: []*wire.RunPlacement{{Job: "j1", Run: 1, Worker: "w", BornUnixMs: 1}}})
	list := (&Explainer{Cell: c}).Workspaces()
	require.Equal(t, []*Workspace{
		{
			Workspace: "a", Weight: 2, WaitingJobs: 1, RunningJobs: 1, RunningTasks: 1, UsedCPUMillis: 1_000, MaxCPUMillis: 1_000,
			Keys: 1, Sentence: "It uses at least 95% of its limit; 1 job waits for a first start.",
		},
		{Workspace: "b", Sentence: "It has no key in force, so nobody can call for it."},
	}, list)
	text, err := json.Marshal(list)
	require.NoError(t, err)
	require.NotContains(t, string(text), "secret")
}
