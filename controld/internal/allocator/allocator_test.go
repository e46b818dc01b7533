package allocator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

func cores(n int64) resource.Vector {
	return resource.New(&wire.Resources{CpuMilli: n * 1000, MemoryMb: n * 1000})
}

// workers returns workers of 32 cores of which some are free.
func workers(free ...int64) []Worker {
	list := make([]Worker, 0, len(free))
	for _, n := range free {
		list = append(list, Worker{Capacity: cores(32), Free: cores(n), Speed: 1})
	}
	return list
}

// runs makes the function that returns the runs of each worker; workers that are not listed are held by one run of their
// room that goes on for a second.
func runs(list []Worker, known map[int][]Run) func(int) []Run {
	return func(worker int) []Run {
		if given, ok := known[worker]; ok {
			return given
		}
		return []Run{{Handle: 1000 + worker, Need: list[worker].Capacity.Sub(list[worker].Free), Remaining: time.Second}}
	}
}

func tasks(count int) []Task {
	list := make([]Task, 0, count)
	for i := range count {
		list = append(list, Task{Index: i})
	}
	return list
}

// on returns candidates that are allowed on the first count workers.
func on(count int) []Candidate {
	list := make([]Candidate, 0, count)
	for i := range count {
		list = append(list, Candidate{Worker: i, HasConsent: true})
	}
	return list
}

func gang(count int, need int64, candidates []Candidate) Demand {
	return Demand{Priority: 1, Need: cores(need), Gang: true, Tasks: tasks(count), Candidates: candidates}
}

func small(count int, need int64, candidates []Candidate) Demand {
	return Demand{Priority: 2, Need: cores(need), Tasks: tasks(count), Candidates: candidates}
}

// placedOf returns the workers of the placements of a demand.
func placedOf(plan Plan, demand int) []int {
	var list []int
	for _, p := range plan.Placements {
		if p.Demand == demand {
			list = append(list, p.Worker)
		}
	}
	return list
}

// TestDecide replays the loads that the policy answers.
func TestDecide(t *testing.T) {
	policy := Config{Headroom: 0.125, StopTime: 400 * time.Millisecond, MaxReservingGangs: 1}
	full := workers(2, 2)
	reclaimable := map[int][]Run{}
	stopping := map[int][]Run{}
	for i := range full {
		reclaimable[i] = []Run{{Handle: i, Priority: 2, Need: cores(10), Remaining: 3 * time.Second, Reclaimable: true}}
		stopping[i] = []Run{{Handle: i, Priority: 2, Need: cores(10), Remaining: policy.StopTime}}
	}
	waitingGang := func(held ...GangShare) Demand {
		d := gang(4, 9, on(2))
		d.Reserved = held
		return d
	}
	racks := workers(9, 9, 9)
	racks[0].Rack, racks[1].Rack, racks[2].Rack = "a", "b", "b"
	unproven := workers(32)
	unproven[0].Unproven = true
	tests := []struct {
		name    string
		config  Config
		workers []Worker
		runs    map[int][]Run
		demands []Demand
		check   func(*testing.T, Plan)
	}{
		{
			name: "a gang is placed whole or not at all", config: policy, workers: workers(18, 8),
			demands: []Demand{gang(3, 9, on(2))},
			check: func(t *testing.T, plan Plan) {
				require.Empty(t, plan.Placements)
				require.Len(t, plan.WaitingGangs, 1)
			},
		},
		{
			name: "small tasks do not take the room that a gang waits for", config: policy, workers: workers(18, 8),
			demands: []Demand{small(4, 2, on(2)), gang(4, 9, on(2))},
			check: func(t *testing.T, plan Plan) {
				require.Empty(t, placedOf(plan, 0))
			},
		},
		{
			name: "without a limit all waiting gangs would keep all workers idle", config: policy, workers: workers(8, 8, 32),
			demands: []Demand{gang(4, 9, on(2)), gang(9, 30, on(3)), small(1, 2, on(3))},
			check: func(t *testing.T, plan Plan) {
				require.Equal(t, []int{2}, placedOf(plan, 2))
			},
		},
		{
			name: "a task that is over before the gang starts uses its room", config: policy, workers: workers(18, 8),
			demands: []Demand{
				func() Demand { d := small(2, 2, on(2)); d.Length = 900 * time.Millisecond; return d }(),
				func() Demand { d := small(2, 2, on(2)); d.Length = 1100 * time.Millisecond; return d }(),
				gang(4, 9, on(2)),
			},
			check: func(t *testing.T, plan Plan) {
				require.Len(t, placedOf(plan, 0), 2)
				require.Empty(t, placedOf(plan, 1))
			},
		},
		{
			name: "a newcomer does not take the room that another gang has gathered", config: policy, workers: workers(27, 8),
			demands: []Demand{
				waitingGang(GangShare{0, 3}, GangShare{1, 1}),
				func() Demand { d := gang(2, 9, on(2)); d.StartBy = -1; return d }(),
			},
			check: func(t *testing.T, plan Plan) { require.Empty(t, plan.Placements) },
		},
		{
			name: "a gang uses the room that it has gathered", config: policy, workers: workers(27, 9),
			demands: []Demand{waitingGang(GangShare{0, 3}, GangShare{1, 1})},
			check:   func(t *testing.T, plan Plan) { require.ElementsMatch(t, []int{0, 0, 0, 1}, placedOf(plan, 0)) },
		},
		{
			name: "urgent work takes a worker for which no gang waits", config: policy, workers: workers(27, 8, 6),
			demands: []Demand{
				waitingGang(GangShare{0, 3}, GangShare{1, 1}),
				{Priority: 0, Need: cores(3), Tasks: tasks(1), Candidates: on(3)},
			},
			check: func(t *testing.T, plan Plan) { require.Equal(t, []int{2}, placedOf(plan, 1)) },
		},
		{
			name: "a gang that will start soon enough without it stops nothing", config: policy, workers: full,
			runs: map[int][]Run{
				0: {{Handle: 0, Priority: 2, Need: cores(10), Remaining: 300 * time.Millisecond, Reclaimable: true}},
				1: {{Handle: 1, Priority: 2, Need: cores(10), Remaining: 300 * time.Millisecond, Reclaimable: true}},
			},
			demands: []Demand{gang(2, 9, on(2))},
			check: func(t *testing.T, plan Plan) {
				require.Empty(t, plan.Preempt)
				require.Equal(t, 300*time.Millisecond, plan.WaitingGangs[0].StartIn)
			},
		},
		{
			name: "nothing is stopped for a gang that waits for longer work anyway", config: policy, workers: full,
			runs: map[int][]Run{
				0: {{Handle: 0, Priority: 2, Need: cores(10), Remaining: 3 * time.Second, Reclaimable: true}},
				1: {{Handle: 1, Priority: 1, Need: cores(10), Remaining: 2 * time.Second}},
			},
			demands: []Demand{gang(2, 9, on(2))},
			check: func(t *testing.T, plan Plan) {
				require.Empty(t, plan.Preempt)
				require.Equal(t, 2*time.Second, plan.WaitingGangs[0].StartIn)
			},
		},
		{
			name: "a gang stops only what keeps its work, and no more than it needs", config: policy, workers: full, runs: reclaimable,
			demands: []Demand{gang(1, 9, on(2)), gang(2, 9, on(2))},
			check: func(t *testing.T, plan Plan) {
				require.ElementsMatch(t, []int{0, 1}, plan.Preempt)
			},
		},
		{
			name: "runs that are being stopped are not asked for again", config: policy, workers: full, runs: stopping,
			demands: []Demand{gang(2, 9, on(2))},
			check: func(t *testing.T, plan Plan) {
				require.Empty(t, plan.Preempt)
				require.True(t, plan.WaitingGangs[0].Feasible)
				require.Equal(t, policy.StopTime, plan.WaitingGangs[0].StartIn)
			},
		},
		{
			name: "a gang that is late stops nothing", config: policy, workers: full, runs: reclaimable,
			demands: []Demand{func() Demand { d := gang(2, 9, on(2)); d.Lateness = Late; return d }()},
			check:   func(t *testing.T, plan Plan) { require.Empty(t, plan.Preempt) },
		},
		{
			name: "less urgent work leaves headroom for the short kind", config: policy, workers: workers(5),
			demands: []Demand{
				small(2, 2, on(1)),
				{Priority: 0, Need: cores(3), Tasks: tasks(1), Candidates: on(1)},
			},
			check: func(t *testing.T, plan Plan) {
				require.Equal(t, []int{0}, placedOf(plan, 1))
				require.Empty(t, placedOf(plan, 0))
			},
		},
		{
			name: "after an outage work in time goes before late work of a higher priority", config: policy, workers: workers(8),
			demands: []Demand{
				{Priority: 0, Lateness: Late, Need: cores(4), Tasks: tasks(1), Candidates: on(1)},
				small(1, 4, on(1)),
			},
			check: func(t *testing.T, plan Plan) { require.Equal(t, 1, plan.Placements[0].Demand) },
		},
		{
			name: "of one priority the more urgent goes first", config: policy, workers: workers(13),
			demands: []Demand{
				func() Demand { d := gang(1, 9, on(1)); d.Gang, d.StartBy = false, 200; return d }(),
				func() Demand { d := gang(1, 9, on(1)); d.Gang, d.StartBy = false, 100; return d }(),
			},
			check: func(t *testing.T, plan Plan) { require.Equal(t, 1, plan.Placements[0].Demand) },
		},
		{
			name: "a gang that depends on nearness stays on one rack", config: policy, workers: racks,
			demands: []Demand{func() Demand { d := gang(2, 9, on(3)); d.OneRack = true; return d }()},
			check: func(t *testing.T, plan Plan) {
				require.ElementsMatch(t, []int{1, 2}, placedOf(plan, 0))
			},
		},
		{
			name: "a step keeps to its limit for each worker", config: policy, workers: workers(32),
			demands: []Demand{func() Demand {
				d := small(3, 1, []Candidate{{Worker: 0, HasConsent: true, Placed: 1}})
				d.MostPerWorker = 2
				return d
			}()},
			check: func(t *testing.T, plan Plan) { require.Len(t, plan.Placements, 1) },
		},
		{
			name: "a worker that failed its last runs gets one task, and never a last attempt", config: policy, workers: unproven,
			demands: []Demand{
				{Priority: 0, Need: cores(1), Tasks: []Task{{Index: 0, LastAttempt: true}, {Index: 1}, {Index: 2}}, Candidates: on(1)},
			},
			check: func(t *testing.T, plan Plan) {
				require.Equal(t, []Placement{{Demand: 0, Task: 1, Worker: 0}}, plan.Placements)
			},
		},
		{
			name: "a task does not return to a worker on which it failed", config: policy, workers: workers(32, 1),
			demands: []Demand{{Priority: 0, Need: cores(1), Tasks: []Task{{Avoid: []int{0}}}, Candidates: on(2)}},
			check:   func(t *testing.T, plan Plan) { require.Equal(t, 1, plan.Placements[0].Worker) },
		},
		{
			name: "a worker without a valid consent gets nothing, and the consent is renewed", config: policy, workers: workers(32),
			demands: []Demand{{Need: cores(1), Tasks: tasks(1), Candidates: []Candidate{{Worker: 0}}}},
			check: func(t *testing.T, plan Plan) {
				require.Empty(t, plan.Placements)
				require.Equal(t, []int{0}, plan.NeedConsent)
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.check(t, New(test.config).Decide(test.workers, test.demands, runs(test.workers, test.runs)))
		})
	}
}

// TestRoomNeverExceeded guards the room of workers under mixed load: a placement must fit beside all others of its round.
func TestRoomNeverExceeded(t *testing.T) {
	list := workers(32, 17, 9, 4, 0)
	var demands []Demand
	for i := range 40 {
		d := small(1+i%5, int64(1+i%7), on(5))
		d.Priority, d.Gang, d.StartBy = i%3, i%4 == 0, int64(i*37%11)
		demands = append(demands, d)
	}
	plan := New(Config{Headroom: 0.1, StopTime: 400 * time.Millisecond, MaxReservingGangs: 2}).Decide(list, demands, runs(list, nil))
	used := make([]resource.Vector, len(list))
	for _, p := range plan.Placements {
		used[p.Worker] = used[p.Worker].Add(demands[p.Demand].Need)
	}
	for i, w := range list {
		require.True(t, used[i].FitsIn(w.Free), "worker %d", i)
	}
	require.NotEmpty(t, plan.Placements)
}
