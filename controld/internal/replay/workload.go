package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"flamingodrift.example/core/wire"
)

// Workload describes the events of a replay. The same values give the same events.
type Workload struct {
	Seed    uint64
	Workers int
	// Length is how long work arrives, and so the length of the replay.
	Length time.Duration
	// Load is the offered work as a fraction of the capacity.
	Load float64
	// Backlog is the number of low-urgency jobs that wait from the start.
	Backlog int
	// Profile is the profile of the configuration: "waiting" or "packing".
	Profile string
	// Quotas gives each team a quota of 1.5 times the share of the capacity that its weight stands for.
	Quotas bool
	// NoFaults leaves out workers on which every task fails and jobs that always fail.
	NoFaults bool
	// LargeJobTasks is the number of tasks of one all-at-once job that arrives after a sixth of the time; 0 for no such
	// job.
	LargeJobTasks int
	// AllAtOnceFraction is the fraction of the runs that are all-at-once jobs.
	AllAtOnceFraction float64
}

const (
	sheetInterval  = 20 * time.Second
	workerCPUMilli = 32_000
	workerMemoryMB = 131_072
	workersPerRack = 8
	failureDomains = 6
)

// arrival is a row of the sheet and the actual behaviour of its tasks, which may differ from what the row declares.
type arrival struct {
	at      time.Duration
	spec    *wire.JobSpec
	runTime time.Duration
	// alwaysFails is set when every task of the job fails on every worker.
	alwaysFails bool
}

// generator generates the arrivals of a workload.
type generator struct {
	workload Workload
	rng      *rand.Rand
	teams    []*wire.Team
	count    int
	// offeredWork is the work that each team offers, in millicore-seconds.
	offeredWork map[string]float64
}

func newGenerator(w Workload) *generator {
	g := &generator{workload: w, rng: rand.New(rand.NewPCG(w.Seed, 7)), offeredWork: map[string]float64{}}
	weights := 0
	for i := range max(6, w.Workers*98/640) {
		weight := 1 + i%3
		weights += weight
		g.teams = append(g.teams, &wire.Team{Name: fmt.Sprintf("team%02d", i), Weight: uint32(weight)})
	}
	if w.Quotas {
		for _, t := range g.teams {
			share := 1.5 * float64(t.GetWeight()) / float64(weights) * float64(w.Workers)
			t.Quota = &wire.Resources{
				CpuMilli: int64(max(share, 1) * workerCPUMilli), MemoryMb: int64(max(share, 1) * workerMemoryMB),
			}
		}
	}
	return g
}

// team picks a team at random. A few teams offer most of the work.
func (g *generator) team() string {
	i := int(float64(len(g.teams)) * math.Pow(g.rng.Float64(), 3))
	return g.teams[i].GetName()
}

// logUniform returns a random value whose logarithm is uniformly distributed.
func (g *generator) logUniform(low, high float64) float64 {
	return low * math.Pow(high/low, g.rng.Float64())
}

// newArrival returns an arrival of a run with a new key and a random team.
func (g *generator) newArrival(kind wire.JobKind, tasks int, cpu, memory int64) *arrival {
	g.count++
	spec := &wire.JobSpec{
		Key: fmt.Sprintf("job%05d", g.count), Team: g.team(), Kind: kind, Tasks: uint32(max(tasks, 1)), Run: "1",
		Resources: &wire.Resources{CpuMilli: cpu, MemoryMb: memory},
	}
	return &arrival{spec: spec}
}

// serviceArrivals returns the services. They arrive first, run until the end and make up about a fifth of all running
// tasks.
func (g *generator) serviceArrivals() []*arrival {
	var list []*arrival
	for left := g.workload.Workers * 9 / 5; left > 0; {
		tasks := min(left, 3+g.rng.IntN(30))
		left -= tasks
		a := g.newArrival(wire.JobKind_JOB_KIND_SERVICE, tasks, int64(g.logUniform(500, 3000)),
			int64(g.logUniform(1024, 8192)))
		a.spec.Run, a.spec.Spread = "", wire.Spread_SPREAD_FAILURE_DOMAIN
		a.runTime = 1000 * time.Hour
		list = append(list, a)
	}
	return list
}

// runArrival returns a batch or all-at-once job.
func (g *generator) runArrival(at time.Duration) *arrival {
	var a *arrival
	switch p := g.rng.Float64(); {
	case p < 0.05:
		a = g.newArrival(wire.JobKind_JOB_KIND_BATCH, 1+g.rng.IntN(4), int64(g.logUniform(1000, 8000)),
			int64(g.logUniform(2048, 16384)))
		a.spec.Urgency = wire.Urgency_URGENCY_URGENT
		a.runTime = time.Duration(g.logUniform(20, 120) * float64(time.Second))
	case p < 0.05+g.workload.AllAtOnceFraction:
		tasks := int(g.logUniform(0.03, 0.15) * float64(g.workload.Workers))
		a = g.newArrival(wire.JobKind_JOB_KIND_ALL_AT_ONCE, tasks, int64(g.logUniform(8000, 24000)),
			int64(g.logUniform(16384, 65536)))
		a.runTime = time.Duration(g.logUniform(60, 300) * float64(time.Second))
	default:
		a = g.newArrival(wire.JobKind_JOB_KIND_BATCH, 1+g.rng.IntN(12), int64(g.logUniform(500, 12000)),
			int64(g.logUniform(1024, 49152)))
		a.runTime = time.Duration(g.logUniform(20, 900) * float64(time.Second))
		a.spec.NeverRestart = g.rng.Float64() < 0.1
		if g.rng.Float64() < 0.4 {
			a.spec.Urgency = wire.Urgency_URGENCY_LOW
		}
		a.alwaysFails = g.rng.Float64() < 0.01 && !g.workload.NoFaults
	}
	a.at = at
	// Declared run times are wrong by up to a factor of five either way, and a third of the rows declares none.
	if g.rng.Float64() > 0.33 {
		a.spec.ExpectedRunMs = uint64(a.runTime.Seconds() * 1000 * g.logUniform(0.2, 5))
	}
	return a
}

// work returns the work of all tasks of an arrival in millicore-seconds.
func (a *arrival) work() float64 {
	return float64(a.spec.GetTasks()) * float64(a.spec.GetResources().GetCpuMilli()) * a.runTime.Seconds()
}

// arrivals returns all arrivals of the workload.
func (g *generator) arrivals() []*arrival {
	list := g.serviceArrivals()
	for range g.workload.Backlog {
		a := g.newArrival(wire.JobKind_JOB_KIND_BATCH, 1, int64(g.logUniform(500, 12000)),
			int64(g.logUniform(1024, 49152)))
		a.spec.Urgency, a.runTime = wire.Urgency_URGENCY_LOW, time.Duration(g.logUniform(20, 900)*float64(time.Second))
		list = append(list, a)
	}
	offered, target := 0.0, g.workload.Load*float64(g.workload.Workers)*workerCPUMilli*g.workload.Length.Seconds()
	var runs []*arrival
	for offered < target {
		a := g.runArrival(0)
		offered += a.work()
		g.offeredWork[a.spec.GetTeam()] += a.work()
		runs = append(runs, a)
	}
	for _, a := range runs {
		a.at = time.Duration(g.rng.Float64() * float64(g.workload.Length))
	}
	if g.workload.LargeJobTasks > 0 {
		a := g.newArrival(wire.JobKind_JOB_KIND_ALL_AT_ONCE, g.workload.LargeJobTasks, workerCPUMilli*5/8,
			workerMemoryMB/2)
		a.at, a.runTime = g.workload.Length/6, 2*time.Minute
		runs = append(runs, a)
	}
	return append(list, runs...)
}
