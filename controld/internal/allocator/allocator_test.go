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

// workers returns one worker of 32 cores for each number of free cores.
func workers(free ...int64) []Worker {
	list := make([]Worker, 0, len(free))
	for _, n := range free {
		list = append(list, Worker{Capacity: cores(32), Free: cores(n), Speed: 1})
	}
	return list
}

// runsFunc returns a function that returns the runs of each worker. A worker that is not in known has one run, which
// occupies all that is not free and goes on for a second.
func runsFunc(list []Worker, known map[int][]Run) func(int) []Run {
	return func(worker int) []Run {
		if given, ok := known[worker]; ok {
			return given
		}
		return []Run{{
			Handle: 1000 + worker,
			Need:   list[worker].Capacity.Sub(list[worker].Free), Remaining: time.Second,
		}}
	}
}

func tasks(count int) []Task {
	list := make([]Task, 0, count)
	for i := range count {
		list = append(list, Task{Index: i})
	}
	return list
}

// candidatesOn returns the first count workers as candidates with consent.
func candidatesOn(count int) []Candidate {
	list := make([]Candidate, 0, count)
	for i := range count {
		list = append(list, Candidate{Worker: i, HasConsent: true})
	}
	return list
}

func gang(count int, need int64, candidates []Candidate) Demand {
	return Demand{Priority: 1, Need: cores(need), Gang: true, Tasks: tasks(count), Candidates: candidates}
}

// independent returns a demand whose tasks may start one by one.
func independent(count int, need int64, candidates []Candidate) Demand {
	return Demand{Priority: 2, Need: cores(need), Tasks: tasks(count), Candidates: candidates}
}

// workersOf returns the workers on which a plan places tasks of a demand.
func workersOf(plan Plan, demand int) []int {
	var list []int
	for _, p := range plan.Placements {
		if p.Demand == demand {
			list = append(list, p.Worker)
		}
	}
	return list
}

// TestDecide checks each rule of the policy on a small load to which the rule applies.
func TestDecide(t *testing.T) {
	policy := Config{Headroom: 0.125, StopTime: 400 * time.Millisecond, MaxReservingGangs: 1}
	full := workers(2, 2)
	reclaimable := map[int][]Run{}
	stopping := map[int][]Run{}
	for i := range full {
		reclaimable[i] = []Run{{Handle: i, Priority: 2, Need: cores(10), Remaining: 3 * time.Second, Preemptible: true}}
		stopping[i] = []Run{{Handle: i, Priority: 2, Need: cores(10), Remaining: policy.StopTime}}
	}
	waitingGang := func(reserved ...GangShare) Demand {
		d := gang(4, 9, candidatesOn(2))
		d.Reserved = reserved
		return d
	}
	racks := workers(9, 9, 9)
	racks[0].Rack, racks[1].Rack, racks[2].Rack = "a", "b", "b"
	unproven := workers(32)
	unproven[0].Unproven = true
	far := map[int][]Run{1: {{Handle: 1, Need: cores(24), Remaining: 5 * time.Second}}}
	lateAndOverdue := []Demand{gang(4, 9, candidatesOn(2)), gang(2, 9, candidatesOn(1))}
	lateAndOverdue[0].Lateness, lateAndOverdue[1].Lateness = Late, Overdue
	tests := []struct {
		name    string
		config  Config
		workers []Worker
		runs    map[int][]Run
		demands []Demand
		check   func(*testing.T, Plan)
	}{
		{
			name: "a gang is placed completely or not at all", config: policy, workers: workers(18, 8),
			demands: []Demand{gang(3, 9, candidatesOn(2))},
			check: func(t *testing.T, plan Plan) {
				require.Empty(t, plan.Placements)
				require.Len(t, plan.WaitingGangs, 1)
			},
		},
		{
			name: "small tasks do not take capacity reserved for a gang", config: policy, workers: workers(18, 8),
			demands: []Demand{independent(4, 2, candidatesOn(2)), gang(4, 9, candidatesOn(2))},
			check: func(t *testing.T, plan Plan) {
				require.Empty(t, workersOf(plan, 0))
			},
		},
		{
			name: "a gang beyond the limit reserves nothing", config: policy, workers: workers(8, 8, 32),
			demands: []Demand{
				gang(4, 9, candidatesOn(2)),
				gang(9, 30, candidatesOn(3)), independent(1, 2, candidatesOn(3)),
			},
			check: func(t *testing.T, plan Plan) {
				require.Equal(t, []int{2}, workersOf(plan, 2))
			},
		},
		{
			name:   "a task that ends before the gang starts may use reserved capacity",
			config: policy, workers: workers(18, 8),
			demands: []Demand{
				func() Demand {
					d := independent(2, 2, candidatesOn(2))
					d.Length = 900 * time.Millisecond
					return d
				}(),
				func() Demand {
					d := independent(2, 2, candidatesOn(2))
					d.Length = 1100 * time.Millisecond
					return d
				}(),
				gang(4, 9, candidatesOn(2)),
			},
			check: func(t *testing.T, plan Plan) {
				require.Len(t, workersOf(plan, 0), 2)
				require.Empty(t, workersOf(plan, 1))
			},
		},
		{
			name: "a new gang does not take what an older one has reserved", config: policy, workers: workers(27, 8),
			demands: []Demand{
				waitingGang(GangShare{0, 3}, GangShare{1, 1}),
				func() Demand { d := gang(2, 9, candidatesOn(2)); d.StartBy = -1; return d }(),
			},
			check: func(t *testing.T, plan Plan) { require.Empty(t, plan.Placements) },
		},
		{
			name: "a gang uses the capacity that it has reserved", config: policy, workers: workers(27, 9),
			demands: []Demand{waitingGang(GangShare{0, 3}, GangShare{1, 1})},
			check:   func(t *testing.T, plan Plan) { require.ElementsMatch(t, []int{0, 0, 0, 1}, workersOf(plan, 0)) },
		},
		{
			name: "urgent work prefers a worker without reservations", config: policy, workers: workers(27, 8, 6),
			demands: []Demand{
				waitingGang(GangShare{0, 3}, GangShare{1, 1}),
				{Priority: 0, Need: cores(3), Tasks: tasks(1), Candidates: candidatesOn(3)},
			},
			check: func(t *testing.T, plan Plan) { require.Equal(t, []int{2}, workersOf(plan, 1)) },
		},
		{
			name: "a gang that starts within the stop time preempts nothing", config: policy, workers: full,
			runs: map[int][]Run{
				0: {{Handle: 0, Priority: 2, Need: cores(10), Remaining: 300 * time.Millisecond, Preemptible: true}},
				1: {{Handle: 1, Priority: 2, Need: cores(10), Remaining: 300 * time.Millisecond, Preemptible: true}},
			},
			demands: []Demand{gang(2, 9, candidatesOn(2))},
			check: func(t *testing.T, plan Plan) {
				require.Empty(t, plan.Preempt)
				require.Equal(t, 300*time.Millisecond, plan.WaitingGangs[0].StartIn)
			},
		},
		{
			name: "a gang that must wait for other runs anyway preempts nothing", config: policy, workers: full,
			runs: map[int][]Run{
				0: {{Handle: 0, Priority: 2, Need: cores(10), Remaining: 3 * time.Second, Preemptible: true}},
				1: {{Handle: 1, Priority: 1, Need: cores(10), Remaining: 2 * time.Second}},
			},
			demands: []Demand{gang(2, 9, candidatesOn(2))},
			check: func(t *testing.T, plan Plan) {
				require.Empty(t, plan.Preempt)
				require.Equal(t, 2*time.Second, plan.WaitingGangs[0].StartIn)
			},
		},
		{
			name:   "a gang preempts only reclaimable runs, and no more than it needs",
			config: policy, workers: full, runs: reclaimable,
			demands: []Demand{gang(1, 9, candidatesOn(2)), gang(2, 9, candidatesOn(2))},
			check: func(t *testing.T, plan Plan) {
				require.ElementsMatch(t, []int{0, 1}, plan.Preempt)
			},
		},
		{
			name:   "runs that are already stopping are not preempted again",
			config: policy, workers: full, runs: stopping,
			demands: []Demand{gang(2, 9, candidatesOn(2))},
			check: func(t *testing.T, plan Plan) {
				require.Empty(t, plan.Preempt)
				require.True(t, plan.WaitingGangs[0].Feasible)
				require.Equal(t, policy.StopTime, plan.WaitingGangs[0].StartIn)
			},
		},
		{
			name: "a late gang preempts nothing", config: policy, workers: full, runs: reclaimable,
			demands: []Demand{func() Demand { d := gang(2, 9, candidatesOn(2)); d.Lateness = Late; return d }()},
			check:   func(t *testing.T, plan Plan) { require.Empty(t, plan.Preempt) },
		},
		{
			name: "a late gang keeps capacity that it uses later while little is free", config: policy,
			workers: workers(22, 8), runs: far, demands: lateAndOverdue,
			check: func(t *testing.T, plan Plan) { require.Empty(t, plan.Placements) },
		},
		{
			name: "a late gang keeps no capacity that it uses later while most is free", config: policy,
			workers: workers(22, 8, 32, 32), runs: far, demands: lateAndOverdue,
			check: func(t *testing.T, plan Plan) { require.Equal(t, []int{0, 0}, workersOf(plan, 1)) },
		},
		{
			name: "less urgent work leaves the headroom free", config: policy, workers: workers(5),
			demands: []Demand{
				independent(2, 2, candidatesOn(1)),
				{Priority: 0, Need: cores(3), Tasks: tasks(1), Candidates: candidatesOn(1)},
			},
			check: func(t *testing.T, plan Plan) {
				require.Equal(t, []int{0}, workersOf(plan, 1))
				require.Empty(t, workersOf(plan, 0))
			},
		},
		{
			name: "work in time goes before late work of a more urgent priority", config: policy, workers: workers(8),
			demands: []Demand{
				{Priority: 0, Lateness: Late, Need: cores(4), Tasks: tasks(1), Candidates: candidatesOn(1)},
				independent(1, 4, candidatesOn(1)),
			},
			check: func(t *testing.T, plan Plan) { require.Equal(t, 1, plan.Placements[0].Demand) },
		},
		{
			name: "within a priority the earlier latest start goes first", config: policy, workers: workers(13),
			demands: []Demand{
				func() Demand { d := gang(1, 9, candidatesOn(1)); d.Gang, d.StartBy = false, 200; return d }(),
				func() Demand { d := gang(1, 9, candidatesOn(1)); d.Gang, d.StartBy = false, 100; return d }(),
			},
			check: func(t *testing.T, plan Plan) { require.Equal(t, 1, plan.Placements[0].Demand) },
		},
		{
			name: "a gang that asks for one rack stays on one rack", config: policy, workers: racks,
			demands: []Demand{func() Demand { d := gang(2, 9, candidatesOn(3)); d.OneRack = true; return d }()},
			check: func(t *testing.T, plan Plan) {
				require.ElementsMatch(t, []int{1, 2}, workersOf(plan, 0))
			},
		},
		{
			name: "a step keeps to its limit per worker", config: policy, workers: workers(32),
			demands: []Demand{func() Demand {
				d := independent(3, 1, []Candidate{{Worker: 0, HasConsent: true, Placed: 1}})
				d.MostPerWorker = 2
				return d
			}()},
			check: func(t *testing.T, plan Plan) { require.Len(t, plan.Placements, 1) },
		},
		{
			name: "an unproven worker gets one task, and no last attempt", config: policy, workers: unproven,
			demands: []Demand{
				{
					Priority: 0, Need: cores(1), Candidates: candidatesOn(1),
					Tasks: []Task{{Index: 0, LastAttempt: true, ProvenOnly: true}, {Index: 1}, {Index: 2}},
				},
			},
			check: func(t *testing.T, plan Plan) {
				require.Equal(t, []Placement{{Demand: 0, Task: 1, Worker: 0}}, plan.Placements)
			},
		},
		{
			name: "a last attempt that has waited comes after all others on an unproven worker", config: policy, workers: unproven,
			demands: []Demand{
				{Need: cores(1), Tasks: []Task{{LastAttempt: true}}, Candidates: candidatesOn(1)},
				{Priority: 2, Lateness: Late, Need: cores(1), Tasks: tasks(1), Candidates: candidatesOn(1)},
			},
			check: func(t *testing.T, plan Plan) {
				require.Equal(t, []Placement{{Demand: 1, Worker: 0}}, plan.Placements)
				require.Equal(t, []int{0}, plan.Blocked)
			},
		},
		{
			name: "a last attempt that has waited runs on an unproven worker that nothing else uses", config: policy, workers: unproven,
			demands: []Demand{{Need: cores(1), Tasks: []Task{{LastAttempt: true}}, Candidates: candidatesOn(1)}},
			check:   func(t *testing.T, plan Plan) { require.Len(t, plan.Placements, 1) },
		},
		{
			name: "a gang on an unproven worker", config: policy, workers: []Worker{unproven[0], workers(9)[0]},
			demands: []Demand{gang(2, 9, candidatesOn(2))},
			check:   func(t *testing.T, plan Plan) { require.Equal(t, []int{1, 0}, workersOf(plan, 0)) },
		},
		{
			name: "a gang that needs proven workers", config: policy, workers: []Worker{unproven[0], workers(9)[0]},
			demands: []Demand{func() Demand {
				d := gang(2, 9, candidatesOn(2))
				d.Tasks[0].ProvenOnly, d.Tasks[1].ProvenOnly = true, true
				return d
			}()},
			check: func(t *testing.T, plan Plan) { require.Empty(t, plan.Placements) },
		},
		{
			name: "a gang returns to a worker last on which a member failed", config: policy, workers: workers(32, 9, 9),
			demands: []Demand{func() Demand {
				d := gang(3, 9, candidatesOn(3))
				d.Tasks[1].FailedOn = []int{0}
				return d
			}()},
			check: func(t *testing.T, plan Plan) { require.Equal(t, []int{1, 2, 0}, workersOf(plan, 0)) },
		},
		{
			name: "a task returns to a worker on which it failed if no other has room", config: policy, workers: workers(32, 1, 32),
			demands: []Demand{
				{Need: cores(2), Tasks: []Task{{FailedOn: []int{0}}}, Candidates: candidatesOn(2)},
				{Need: cores(2), Tasks: []Task{{FailedOn: []int{0}}}, Candidates: candidatesOn(3)},
			},
			check: func(t *testing.T, plan Plan) {
				require.Equal(t, []int{0}, workersOf(plan, 0))
				require.Equal(t, []int{2}, workersOf(plan, 1))
			},
		},
		{
			name: "a task does not return to a worker on which it failed", config: policy, workers: workers(32, 1),
			demands: []Demand{
				{Priority: 0, Need: cores(1), Tasks: []Task{{Avoid: []int{0}}}, Candidates: candidatesOn(2)},
			},
			check: func(t *testing.T, plan Plan) { require.Equal(t, 1, plan.Placements[0].Worker) },
		},
		{
			name:   "a worker with a lapsed consent gets nothing and needs a renewal",
			config: policy, workers: workers(32),
			demands: []Demand{{Need: cores(1), Tasks: tasks(1), Candidates: []Candidate{{Worker: 0}}}},
			check: func(t *testing.T, plan Plan) {
				require.Empty(t, plan.Placements)
				require.Equal(t, []int{0}, plan.NeedConsent)
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.check(t, New(test.config).Decide(test.workers, test.demands, runsFunc(test.workers, test.runs)))
		})
	}
}

// TestWholeWorkerTaskStartsOnIdleWorker guards against a task that the headroom bars for good: it needs more of a worker than
// the headroom leaves, but no more than the worker has (review/5).
func TestWholeWorkerTaskStartsOnIdleWorker(t *testing.T) {
	a := New(Config{Headroom: 0.12, StopTime: 400 * time.Millisecond, MaxReservingGangs: 1})
	idle, busy := workers(32), workers(31)
	demand := independent(1, 30, candidatesOn(1))
	require.Equal(t, []int{0}, workersOf(a.Decide(idle, []Demand{demand}, runsFunc(idle, nil)), 0))
	require.Empty(t, workersOf(a.Decide(busy, []Demand{demand}, runsFunc(busy, nil)), 0))
	demand.HeadroomUse = AnyHeadroom
	require.Equal(t, []int{0}, workersOf(a.Decide(busy, []Demand{demand}, runsFunc(busy, nil)), 0))
	urgent := independent(1, 2, candidatesOn(1))
	urgent.Priority, urgent.Lateness, urgent.StartBy = 0, Overdue, 9
	plan := a.Decide(busy, []Demand{demand, urgent}, runsFunc(busy, nil))
	require.Empty(t, workersOf(plan, 0), "the headroom is for urgent tasks first")
	require.Equal(t, []int{0}, workersOf(plan, 1))
	demand.HeadroomUse = IdleHeadroom
	require.Equal(t, []int{0}, workersOf(a.Decide(busy, []Demand{demand}, runsFunc(busy, nil)), 0))
	inUse := workers(30)
	inUse[0].Capacity = cores(64)
	require.Empty(t, workersOf(a.Decide(inUse, []Demand{demand}, runsFunc(inUse, nil)), 0), "most of the capacity is in use")
	two := independent(2, 15, candidatesOn(1))
	require.Equal(t, []int{0}, workersOf(a.Decide(idle, []Demand{two}, runsFunc(idle, nil)), 0))
}

// TestBacklogLeavesHeadroom guards against a backlog that has waited through an outage taking the headroom of an idle cell in
// one round: the urgent tasks of the next second found no room (fraser-lens, trouble-1).
func TestBacklogLeavesHeadroom(t *testing.T) {
	a := New(Config{Headroom: 0.12, StopTime: 400 * time.Millisecond, MaxReservingGangs: 1})
	idle := workers(32, 32)
	backlog := independent(100, 2, candidatesOn(2))
	backlog.HeadroomUse = IdleHeadroom
	require.Len(t, a.Decide(idle, []Demand{backlog}, runsFunc(idle, nil)).Placements, 2*14)
}

// TestCapacityNeverExceeded checks under a mixed load that the placements of a round fit together into the free
// capacity.
func TestCapacityNeverExceeded(t *testing.T) {
	list := workers(32, 17, 9, 4, 0)
	var demands []Demand
	for i := range 40 {
		d := independent(1+i%5, int64(1+i%7), candidatesOn(5))
		d.Priority, d.Gang, d.StartBy = i%3, i%4 == 0, int64(i*37%11)
		demands = append(demands, d)
	}
	plan := New(Config{Headroom: 0.1, StopTime: 400 * time.Millisecond, MaxReservingGangs: 2}).
		Decide(list, demands, runsFunc(list, nil))
	used := make([]resource.Vector, len(list))
	for _, p := range plan.Placements {
		used[p.Worker] = used[p.Worker].Add(demands[p.Demand].Need)
	}
	for i, w := range list {
		require.True(t, used[i].FitsIn(w.Free), "worker %d", i)
	}
	require.NotEmpty(t, plan.Placements)
}
