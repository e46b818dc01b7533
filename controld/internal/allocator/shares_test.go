package allocator

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDecideShares checks each rule on the shares of workspaces on a small load to which the rule applies.
func TestDecideShares(t *testing.T) {
	policy := Config{Headroom: 0.125, StopTime: 400 * time.Millisecond, MaxReservingGangs: 1}
	urgent := func(count int, need int64, candidates []Candidate) Demand {
		d := independent(count, need, candidates)
		d.Priority = 0
		return d
	}
	excess := func(d Demand) Demand {
		d.Excess = true
		return d
	}
	ranked := func(d Demand, rank int) Demand {
		d.ShareRank = rank
		return d
	}
	late := func(d Demand, lateness Lateness) Demand {
		d.Lateness = lateness
		return d
	}
	const checkpointing = 7
	reclaimable := func(isExcess bool) map[int][]Run {
		return map[int][]Run{0: {{
			Handle: checkpointing, Priority: 1, Need: cores(20), Remaining: 3 * time.Second, Preemptible: true, Excess: isExcess,
		}}}
	}
	tests := []struct {
		name    string
		workers []Worker
		runs    map[int][]Run
		demands []Demand
		check   func(*testing.T, Plan)
	}{
		{
			name: "urgent excess goes behind overdue batch", workers: workers(12),
			demands: []Demand{excess(urgent(1, 8, candidatesOn(1))), late(independent(1, 8, candidatesOn(1)), Overdue)},
			check: func(t *testing.T, plan Plan) {
				require.Empty(t, workersOf(plan, 0))
				require.Equal(t, []int{0}, workersOf(plan, 1))
			},
		},
		{
			name: "excess uses capacity that nobody else waits for", workers: workers(32),
			demands: []Demand{excess(urgent(2, 8, candidatesOn(1))), independent(1, 8, candidatesOn(1))},
			check:   func(t *testing.T, plan Plan) { require.Equal(t, []int{0, 0}, workersOf(plan, 0)) },
		},
		{
			name: "an excess gang that needs the whole of its only worker starts on it when idle", workers: workers(32),
			demands: []Demand{excess(gang(4, 8, candidatesOn(1)))},
			check:   func(t *testing.T, plan Plan) { require.Equal(t, []int{0, 0, 0, 0}, workersOf(plan, 0)) },
		},
		{
			name: "an excess task that needs a whole worker starts on an idle one", workers: workers(32),
			demands: []Demand{excess(urgent(1, 32, candidatesOn(1)))},
			check:   func(t *testing.T, plan Plan) { require.Equal(t, []int{0}, workersOf(plan, 0)) },
		},
		{
			name: "urgent excess leaves the headroom free, whatever urgent runs use", workers: func() []Worker {
				list := workers(8)
				list[0].UrgentCPU = 24_000
				return list
			}(),
			demands: []Demand{excess(urgent(2, 4, candidatesOn(1)))},
			check:   func(t *testing.T, plan Plan) { require.Equal(t, []int{0}, workersOf(plan, 0)) },
		},
		{
			name: "an excess gang reserves nothing", workers: workers(18, 8),
			demands: []Demand{excess(gang(4, 9, candidatesOn(2))), excess(independent(1, 2, candidatesOn(2)))},
			check: func(t *testing.T, plan Plan) {
				require.False(t, plan.WaitingGangs[0].MayReserve)
				require.NotEmpty(t, workersOf(plan, 1))
			},
		},
		{
			name: "an excess gang stops no run", workers: workers(2), runs: reclaimable(false),
			demands: []Demand{excess(func() Demand { d := gang(2, 9, candidatesOn(1)); d.Priority = 0; return d }())},
			check:   func(t *testing.T, plan Plan) { require.Empty(t, plan.Preempt) },
		},
		{
			name: "a gang stops excess of its own priority", workers: workers(2), runs: reclaimable(true),
			demands: []Demand{gang(2, 9, candidatesOn(1))},
			check:   func(t *testing.T, plan Plan) { require.Equal(t, []int{checkpointing}, plan.Preempt) },
		},
		{
			name: "a gang stops no other run of its own priority", workers: workers(2), runs: reclaimable(false),
			demands: []Demand{gang(2, 9, candidatesOn(1))},
			check:   func(t *testing.T, plan Plan) { require.Empty(t, plan.Preempt) },
		},
		{
			name: "a workspace over its share goes behind others of its priority", workers: workers(12),
			demands: []Demand{
				ranked(independent(1, 8, candidatesOn(1)), 1),
				func() Demand { d := independent(1, 8, candidatesOn(1)); d.StartBy = 500; return d }(),
			},
			check: func(t *testing.T, plan Plan) { require.Equal(t, []int{0}, workersOf(plan, 1)) },
		},
		{
			name: "priority goes before share", workers: workers(12),
			demands: []Demand{independent(1, 8, candidatesOn(1)), ranked(urgent(1, 8, candidatesOn(1)), 3)},
			check:   func(t *testing.T, plan Plan) { require.Equal(t, []int{0}, workersOf(plan, 1)) },
		},
		{
			name: "lateness goes before share", workers: workers(12),
			demands: []Demand{
				late(independent(1, 8, candidatesOn(1)), Late), ranked(independent(1, 8, candidatesOn(1)), 3),
			},
			check: func(t *testing.T, plan Plan) { require.Equal(t, []int{0}, workersOf(plan, 1)) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.check(t, New(policy).Decide(test.workers, test.demands, runsFunc(test.workers, test.runs)))
		})
	}
}

// TestOrderWithoutShares guards against another order of demands where no workspace has a weight.
func TestOrderWithoutShares(t *testing.T) {
	var demands []Demand
	for i := range 60 {
		demands = append(demands, Demand{
			Lateness: Lateness(i * 7 % 3), Priority: i * 5 % 4, StartBy: int64(i * 37 % 11),
		})
	}
	want := make([]int, len(demands))
	for i := range want {
		want[i] = i
	}
	slices.SortStableFunc(want, func(a, b int) int {
		x, y := demands[a], demands[b]
		switch {
		case x.Lateness != y.Lateness:
			return int(x.Lateness - y.Lateness)
		case x.Priority != y.Priority:
			return x.Priority - y.Priority
		default:
			return int(x.StartBy - y.StartBy)
		}
	})
	require.Equal(t, want, decisionOrder(demands))
}
