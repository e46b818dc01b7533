package planner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

// Guards against applying decisions that became invalid because the cell changed between the round and the commit.
func TestStaleDecisionsAreNotApplied(t *testing.T) {
	cases := []struct {
		name   string
		spec   *wire.JobSpec
		change func(f *fixture, d *wire.Decisions)
	}{
		{"worker shrank", row("job", 1, 8), func(f *fixture, _ *wire.Decisions) { f.addWorker("w", "r", "d", 4) }},
		{"quota was lowered", row("job", 1, 8), func(f *fixture, _ *wire.Decisions) {
			f.configure("waiting", &wire.Team{Name: "a", Quota: size(4)})
		}},
		{"worker is drained", row("job", 1, 8), func(f *fixture, _ *wire.Decisions) { f.drain("w", true) }},
		{"part of an all-at-once job", row("job", 4, 1, allAtOnce), func(_ *fixture, d *wire.Decisions) {
			d.Placements = d.Placements[1:]
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, "waiting")
			f.addWorker("w", "r", "d", 8)
			f.add(tc.spec)
			d := f.planner.Decide(f.cell, time.Second)
			require.Len(t, d.GetPlacements(), int(tc.spec.GetTasks()))
			tc.change(f, d)
			f.apply(&wire.Command{Body: &wire.Command_Decisions{Decisions: d}})
			require.Zero(t, f.active("job@1"))
			require.True(t, f.cell.Worker("w").Used().IsZero())
		})
	}
}
