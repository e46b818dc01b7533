package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

// Guards against stopping a preempted attempt before its checkpoint, and against a stop that waits for a checkpoint
// forever.
func TestStopWaitsForTheCheckpointOrItsTimeout(t *testing.T) {
	j := job.New(&wire.JobSpec{Key: "j", Tasks: 1}, 1, 0)
	task := j.Tasks()[0]
	j.Place(task, "w", 1, resource.Vector{}, 0)
	j.Stop(task, "preempted", true)
	cases := []struct {
		name         string
		checkpointed bool
		at           time.Duration
		want         wire.OrderKind
	}{
		{"first poll", false, 0, wire.OrderKind_ORDER_KIND_CHECKPOINT},
		{"checkpoint under way", false, checkpointTimeout - 1, wire.OrderKind_ORDER_KIND_CHECKPOINT},
		{"checkpoint reported", true, checkpointTimeout - 1, wire.OrderKind_ORDER_KIND_STOP},
		{"time is over", false, checkpointTimeout, wire.OrderKind_ORDER_KIND_STOP},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := &Controller{checkpointRequests: map[uint64]time.Duration{}}
			c.stopOrder(task, &wire.TaskStatus{}, 0)
			got := c.stopOrder(task, &wire.TaskStatus{Checkpointed: tc.checkpointed}, tc.at)
			require.Equal(t, tc.want, got.GetKind())
		})
	}
}
