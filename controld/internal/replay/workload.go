package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"flamingodrift.example/core/wire"
)

// Workload says what a replay is made of. The same values give the same events.
type Workload struct {
	Seed    uint64
	Workers int
	// Length is how long work arrives; the replay ends then.
	Length time.Duration
	// Load is the offered work as a share of the capacity.
	Load float64
	// Queue is a number of low-urgency jobs that wait from the start.
	Queue int
	// Profile is Config.profile.
	Profile string
	// Quotas gives each team a quota of half as much again as its weight's share.
	Quotas bool
	// Sound leaves out workers that fail every task and jobs that always fail.
	Sound bool
	// Large is the number of tasks of one all-at-once job that arrives after a sixth of the time; 0 for none.
	Large int
	// Groups is the part of the offered work that all-at-once jobs make up.
	Groups float64
}

const (
	sheetInterval = 20 * time.Second
	workerCPU     = 32_000
	workerMemory  = 131_072
	workersInRack = 8
	domainCount   = 6
)

// arrival is a row with what will truly happen to its tasks.
type arrival struct {
	at   time.Duration
	spec *wire.JobSpec
	run  time.Duration
	bad  bool
}

// generator makes the events of a workload.
type generator struct {
	w     Workload
	r     *rand.Rand
	teams []*wire.Team
	count int
	// demand is the work in processor milliseconds that each team brings.
	demand map[string]float64
}

func newGenerator(w Workload) *generator {
	g := &generator{w: w, r: rand.New(rand.NewPCG(w.Seed, 7)), demand: map[string]float64{}}
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
				CpuMilli: int64(max(share, 1) * workerCPU), MemoryMb: int64(max(share, 1) * workerMemory),
			}
		}
	}
	return g
}

// team picks a team; a few teams bring most of the work.
func (g *generator) team() string {
	i := int(float64(len(g.teams)) * math.Pow(g.r.Float64(), 3))
	return g.teams[i].GetName()
}

func (g *generator) between(low, high float64) float64 {
	return low * math.Pow(high/low, g.r.Float64())
}

func (g *generator) row(kind wire.JobKind, tasks int, cpu, memory int64) *arrival {
	g.count++
	spec := &wire.JobSpec{
		Key: fmt.Sprintf("job%05d", g.count), Team: g.team(), Kind: kind, Tasks: uint32(max(tasks, 1)), Run: "1",
		Resources: &wire.Resources{CpuMilli: cpu, MemoryMb: memory},
	}
	return &arrival{spec: spec}
}

// services start first and stay: about a fifth of all running tasks.
func (g *generator) services() []*arrival {
	var list []*arrival
	for left := g.w.Workers * 9 / 5; left > 0; {
		tasks := min(left, 3+g.r.IntN(30))
		left -= tasks
		a := g.row(wire.JobKind_JOB_KIND_SERVICE, tasks, int64(g.between(500, 3000)), int64(g.between(1024, 8192)))
		a.spec.Run, a.spec.Spread = "", wire.Spread_SPREAD_FAILURE_DOMAIN
		a.run = 1000 * time.Hour
		list = append(list, a)
	}
	return list
}

// run is a batch or all-at-once job.
func (g *generator) run(at time.Duration) *arrival {
	var a *arrival
	switch p := g.r.Float64(); {
	case p < 0.05:
		a = g.row(wire.JobKind_JOB_KIND_BATCH, 1+g.r.IntN(4), int64(g.between(1000, 8000)), int64(g.between(2048, 16384)))
		a.spec.Urgency = wire.Urgency_URGENCY_URGENT
		a.run = time.Duration(g.between(20, 120) * float64(time.Second))
	case p < 0.05+g.w.Groups:
		tasks := int(g.between(0.03, 0.15) * float64(g.w.Workers))
		a = g.row(wire.JobKind_JOB_KIND_ALL_AT_ONCE, tasks, int64(g.between(8000, 24000)), int64(g.between(16384, 65536)))
		a.run = time.Duration(g.between(60, 300) * float64(time.Second))
	default:
		a = g.row(wire.JobKind_JOB_KIND_BATCH, 1+g.r.IntN(12), int64(g.between(500, 12000)), int64(g.between(1024, 49152)))
		a.run = time.Duration(g.between(20, 900) * float64(time.Second))
		a.spec.NeverRestart = g.r.Float64() < 0.1
		if g.r.Float64() < 0.4 {
			a.spec.Urgency = wire.Urgency_URGENCY_LOW
		}
		a.bad = g.r.Float64() < 0.01 && !g.w.Sound
	}
	a.at = at
	// Declared ends are off by up to a factor of five either way, and a third is not declared at all.
	if g.r.Float64() > 0.33 {
		a.spec.ExpectedRunMs = uint64(a.run.Seconds() * 1000 * g.between(0.2, 5))
	}
	return a
}

// work returns the processor milliseconds of an arrival.
func (a *arrival) work() float64 {
	return float64(a.spec.GetTasks()) * float64(a.spec.GetResources().GetCpuMilli()) * a.run.Seconds()
}

// arrivals returns all rows in order of time.
func (g *generator) arrivals() []*arrival {
	list := g.services()
	for range g.w.Queue {
		a := g.row(wire.JobKind_JOB_KIND_BATCH, 1, int64(g.between(500, 12000)), int64(g.between(1024, 49152)))
		a.spec.Urgency, a.run = wire.Urgency_URGENCY_LOW, time.Duration(g.between(20, 900)*float64(time.Second))
		list = append(list, a)
	}
	offered, target := 0.0, g.w.Load*float64(g.w.Workers)*workerCPU*g.w.Length.Seconds()
	var runs []*arrival
	for offered < target {
		a := g.run(0)
		offered += a.work()
		g.demand[a.spec.GetTeam()] += a.work()
		runs = append(runs, a)
	}
	for _, a := range runs {
		a.at = time.Duration(g.r.Float64() * float64(g.w.Length))
	}
	if g.w.Large > 0 {
		a := g.row(wire.JobKind_JOB_KIND_ALL_AT_ONCE, g.w.Large, workerCPU*5/8, workerMemory/2)
		a.at, a.run = g.w.Length/6, 2*time.Minute
		runs = append(runs, a)
	}
	return append(list, runs...)
}
