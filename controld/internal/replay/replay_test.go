package replay_test

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/baseline"
	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/controld/internal/replay"
)

// TestSameSeedGivesTheSameDecisions checks that measurements can be repeated.
func TestSameSeedGivesTheSameDecisions(t *testing.T) {
	w := replay.Workload{
		Seed: 1, Workers: 16, Length: 5 * time.Minute, Load: 1.2, Profile: "waiting",
		AllAtOnceFraction: 0.01,
	}
	run := func() *replay.Result { return replay.New(w, planner.New(planner.Config{})).Run() }
	a, b := run(), run()
	require.Equal(t, a.Waits, b.Waits)
	require.Equal(t, a.LogBytes, b.LogBytes)
	require.NotZero(t, a.Placed)
}

// TestUrgentWorkStartsInTimeInAFullCell checks that urgent tasks start within 3.1 s under a load of 1.5 times the
// capacity.
func TestUrgentWorkStartsInTimeInAFullCell(t *testing.T) {
	for _, profile := range []string{"waiting", "packing"} {
		w := replay.Workload{Seed: 1, Workers: 50, Length: 10 * time.Minute, Load: 1.5, Profile: profile}
		require.Zero(t, replay.New(w, planner.New(planner.Config{})).Run().UrgentLate)
	}
}

var classes = []string{"urgent", "service", "normal", "low", "all_at_once"}

// reportResult reports a Result as metrics of a benchmark.
func reportResult(b *testing.B, r *replay.Result) {
	for _, class := range classes {
		waits := r.Waits[class]
		if len(waits) == 0 {
			continue
		}
		sum := 0.0
		for _, wait := range waits {
			sum += wait.Seconds()
		}
		b.ReportMetric(sum/float64(len(waits)), class+"_mean_s")
		b.ReportMetric(replay.Percentile(waits, 0.5).Seconds(), class+"_p50_s")
		b.ReportMetric(replay.Percentile(waits, 0.99).Seconds(), class+"_p99_s")
		b.ReportMetric(waits[len(waits)-1].Seconds(), class+"_worst_s")
	}
	b.ReportMetric(float64(r.UrgentLate), "urgent_late")
	b.ReportMetric(float64(r.Unstarted), "unstarted")
	b.ReportMetric(float64(r.Failed), "failed")
	b.ReportMetric(float64(r.Placed), "placed")
	b.ReportMetric(float64(r.Stops), "stops")
	b.ReportMetric(r.ModestTeamWaitSeconds, "modest_team_s")
	b.ReportMetric(r.AnyTeamWaitSeconds, "any_team_s")
	b.ReportMetric(100*r.Packing, "packing_%")
	b.ReportMetric(float64(r.Placed)/r.TotalTime.Seconds(), "decisions/s")
	b.ReportMetric(float64(replay.Percentile(r.RoundTimes, 0.99).Microseconds()), "round_p99_us")
	b.ReportMetric(float64(replay.Percentile(r.RoundTimes, 0.5).Microseconds()), "round_p50_us")
	b.ReportMetric(float64(r.AllocatedBytes)/float64(max(len(r.RoundTimes), 1)), "alloc_B/round")
	b.ReportMetric(float64(r.LogBytes)/float64(max(r.Placed, 1)), "log_B/task")
}

var seeds = flag.Uint64("seeds", 1, "number of seeds that BenchmarkCompare replays, from 1 up")

// variants are the planner, the planner without one of its rules, and the baseline.
var variants = []struct {
	name string
	make func() replay.Decider
}{
	{"engine", func() replay.Decider { return planner.New(planner.Config{}) }},
	{"arrival_order", func() replay.Decider { return planner.New(planner.Config{ArrivalOrder: true}) }},
	{"no_reservation", func() replay.Decider { return planner.New(planner.Config{NoReservation: true}) }},
	{"no_give_back", func() replay.Decider { return planner.New(planner.Config{NoFairnessPreemption: true}) }},
	{"no_preemption", func() replay.Decider { return planner.New(planner.Config{NoPreemption: true}) }},
	{"baseline", func() replay.Decider { return baseline.New(baseline.Config{}) }},
}

// cases are the workloads of BenchmarkCompare, each with the number of variants to run. The baseline does not support
// quotas, so only the first two variants run with them.
var cases = []struct {
	name     string
	workload replay.Workload
	variants int
}{
	{"sound", replay.Workload{NoFaults: true}, len(variants)},
	{"faulty", replay.Workload{}, len(variants)},
	{"quotas", replay.Workload{NoFaults: true, Quotas: true}, 2},
	{"large", replay.Workload{NoFaults: true, LargeJobTasks: 80}, len(variants)},
}

// BenchmarkCompare replays the same events with every variant.
func BenchmarkCompare(b *testing.B) {
	for seed := range *seeds {
		for _, profile := range []string{"waiting", "packing"} {
			for _, c := range cases {
				w := c.workload
				w.Seed, w.Workers, w.Length, w.Load, w.Profile = seed+1, 160, 30*time.Minute, 1.1, profile
				if w.LargeJobTasks == 0 {
					w.AllAtOnceFraction = 0.02
				}
				for _, v := range variants[:c.variants] {
					b.Run(fmt.Sprintf("seed=%d/%s/%s/%s", seed+1, profile, c.name, v.name), func(b *testing.B) {
						for b.Loop() {
							reportResult(b, replay.New(w, v.make()).Run())
						}
					})
				}
			}
		}
	}
}

// BenchmarkSlope measures how the cost of decisions grows with the number of workers. The backlog grows in proportion:
// 10,000 jobs at 640 workers. The baseline is left out above 640 workers.
func BenchmarkSlope(b *testing.B) {
	for _, workers := range []int{50, 160, 640, 2560} {
		w := replay.Workload{
			Seed: 1, Workers: workers, Length: time.Minute, Load: 1.1, Backlog: workers * 10_000 / 640,
			Profile:           "packing",
			AllAtOnceFraction: 0.002,
		}
		for _, name := range []string{"engine", "baseline"}[:min(2, 1+640/workers)] {
			b.Run(fmt.Sprintf("%d/%s", workers, name), func(b *testing.B) {
				for b.Loop() {
					var decider replay.Decider = planner.New(planner.Config{})
					if name == "baseline" {
						decider = baseline.New(baseline.Config{})
					}
					p := replay.New(w, decider)
					reportResult(b, p.Run())
					reportMemory(b, p)
				}
			})
		}
	}
}

// reportMemory reports the sizes of the cell's snapshot and of a cell restored from it, per task. The restored cell
// leaves out the memory of the planner and of the replay.
func reportMemory(b *testing.B, p *replay.Replay) {
	c := p.Cell()
	data, err := c.Snapshot()
	require.NoError(b, err)
	active, waiting := 0, 0
	for _, j := range c.Jobs() {
		active, waiting = active+j.Active(), waiting+j.Waiting()
	}
	tasks := float64(active + waiting)
	b.ReportMetric(float64(active), "active")
	b.ReportMetric(float64(waiting), "waiting")
	b.ReportMetric(float64(len(data))/tasks, "snapshot_B/task")
	b.ReportMetric(float64(restoredBytes(b, data))/tasks, "memory_B/task")
}

func heapBytesInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// restoredBytes returns by how much the heap grows when a cell is restored from a snapshot.
func restoredBytes(b *testing.B, data []byte) uint64 {
	before := heapBytesInUse()
	c, err := cell.Restore(data)
	require.NoError(b, err)
	after := heapBytesInUse()
	runtime.KeepAlive(c)
	return after - before
}
