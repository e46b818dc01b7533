package shareranker_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/controld/internal/shareranker"
	"flamingodrift.example/core/wire"
)

func vector(cpu, memory int64) resource.Vector {
	return resource.New(&wire.Resources{CpuMilli: cpu, MemoryMb: memory})
}

// TestRank guards against a workspace that takes the share of another, and against an order that changes with each job
// while all workspaces use about their share.
func TestRank(t *testing.T) {
	weights := map[string]float64{"large": 6, "middle": 3, "small": 1}
	tests := []struct {
		name string
		used map[string]resource.Vector
		want map[string]int
	}{
		{
			name: "nothing in use", want: map[string]int{"large": 0, "middle": 0, "small": 0},
		},
		{
			name: "all use about their share",
			used: map[string]resource.Vector{"large": vector(550, 0), "middle": vector(330, 0), "small": vector(120, 0)},
			want: map[string]int{"large": 0, "middle": 0, "small": 0},
		},
		{
			name: "one uses what the others leave unused",
			used: map[string]resource.Vector{"middle": vector(900, 0)},
			want: map[string]int{"large": 0, "middle": 2, "small": 0},
		},
		{
			name: "the resource that is used most counts",
			used: map[string]resource.Vector{"small": vector(10, 300)},
			want: map[string]int{"large": 0, "middle": 0, "small": 2},
		},
		{
			name: "work without a workspace has the mean weight",
			used: map[string]resource.Vector{"": vector(500, 0)},
			want: map[string]int{"large": 0, "": 1},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := shareranker.New(vector(1000, 1000), weights)
			for name, used := range test.used {
				r.Add(name, used)
			}
			for name, want := range test.want {
				require.Equal(t, want, r.Rank(name), name)
			}
		})
	}
}

// TestRankWithoutWeights guards against a division by zero where no workspace has a weight.
func TestRankWithoutWeights(t *testing.T) {
	r := shareranker.New(vector(1000, 0), map[string]float64{"a": 0})
	r.Add("a", vector(1000, 0))
	require.Zero(t, r.Rank("a"))
}
