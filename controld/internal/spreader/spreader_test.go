package spreader

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestSpreadAll guards the estimate of what competes for the same groups: work for few groups must not load the others,
// and other work avoids them where it can.
func TestSpreadAll(t *testing.T) {
	capacity := []float64{10, 10, 20}
	tests := []struct {
		name string
		load []float64
		work []Work
		want []float64
	}{
		{"all groups alike", []float64{0, 0, 0}, []Work{{[]int{0, 1, 2}, 40}}, []float64{10, 10, 20}},
		{"only one group", []float64{0, 0, 0}, []Work{{[]int{1}, 40}}, []float64{0, 40, 0}},
		{"other work avoids it, in any order", []float64{0, 0, 0}, []Work{{[]int{0, 1, 2}, 30}, {[]int{1}, 40}}, []float64{10, 40, 20}},
		{"loads count", []float64{10, 0, 20}, []Work{{[]int{0, 1}, 10}}, []float64{10, 10, 20}},
		{"no group", []float64{1, 2, 3}, []Work{{nil, 10}}, []float64{1, 2, 3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(capacity, test.load)
			s.SpreadAll(test.work)
			for group, want := range test.want {
				require.InDelta(t, want, s.Load(group), 1e-9)
			}
		})
	}
	s := New(capacity, []float64{5, 0, 20})
	level, used := s.Spread(Work{[]int{0, 1, 2}, 3})
	require.InDelta(t, 0.3, level, 1e-9)
	require.Equal(t, []int{1}, used)
}

// TestSpreadIsLevel guards against work that gets lost, or that lies on a group while another one that can do it is lower.
func TestSpreadIsLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const groups = 5
		var capacity, load []float64
		for range groups {
			capacity = append(capacity, float64(rapid.IntRange(0, 9).Draw(t, "capacity")))
			load = append(load, float64(rapid.IntRange(0, 9).Draw(t, "load")))
		}
		s := New(capacity, load)
		usable := rapid.SliceOfDistinct(rapid.IntRange(0, groups-1), rapid.ID[int]).Draw(t, "groups")
		amount := float64(rapid.IntRange(0, 50).Draw(t, "amount"))
		level, used := s.Spread(Work{usable, amount})
		total, mostUsed := 0.0, 0.0
		for group := range groups {
			total += s.Load(group) - load[group]
		}
		for _, group := range used {
			mostUsed = max(mostUsed, s.Load(group)/capacity[group])
			require.GreaterOrEqual(t, s.Load(group), load[group]-1e-9)
		}
		if len(used) == 0 {
			require.Zero(t, total)
			return
		}
		require.InDelta(t, amount, total, 1e-6)
		require.InDelta(t, level, mostUsed, 1e-9)
		for _, group := range usable {
			if capacity[group] > 0 {
				require.GreaterOrEqual(t, s.Load(group)/capacity[group], level-1e-9)
			}
		}
	})
}
