package replay

import (
	"slices"
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/core/wire"
)

// urgentLimit is the longest time in which urgent work must start.
const urgentLimit = 3100 * time.Millisecond

// Result is what one replay measured.
type Result struct {
	// Waits holds the time from arrival to start of each task, by class, in order of size.
	Waits map[string][]time.Duration
	// UrgentLate counts urgent tasks that took more than 3.1 s to start.
	UrgentLate int
	// Unstarted counts tasks that still waited at the end; their waits so far are in Waits.
	Unstarted int
	// Failed counts tasks of sound jobs that were given up because they failed on bad workers.
	Failed int
	// Stops counts the tasks that were stopped by decisions.
	Stops int
	// Placed counts tasks that were placed.
	Placed int
	// ModestTeam is the longest mean wait, in seconds, among teams that asked for no more than their weighted share;
	// AnyTeam is that among all teams. Both leave out services, urgent and all-at-once work.
	ModestTeam, AnyTeam float64
	// Packing is the used part of the scarcer resource, as a share of what no packing can pass, while work waited.
	Packing float64
	// Rounds holds the processor time of each round that decided something or looked at the queue.
	Rounds []time.Duration
	// Total is the sum of the time of all calls, Bytes what they allocated.
	Total time.Duration
	Bytes uint64
	// LogBytes is the size of all decisions.
	LogBytes int

	teamWaits map[string][]time.Duration
	packing   []float64
}

func newResult() *Result {
	return &Result{Waits: map[string][]time.Duration{}, teamWaits: map[string][]time.Duration{}}
}

// classOf names the class of a job in the results.
func classOf(s *wire.JobSpec) string {
	switch {
	case s.GetKind() == wire.JobKind_JOB_KIND_SERVICE:
		return "service"
	case s.GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE:
		return "all_at_once"
	case s.GetUrgency() == wire.Urgency_URGENCY_URGENT:
		return "urgent"
	case s.GetUrgency() == wire.Urgency_URGENCY_LOW:
		return "low"
	default:
		return "normal"
	}
}

func (r *Result) start(s *wire.JobSpec, wait time.Duration) {
	class := classOf(s)
	r.Waits[class] = append(r.Waits[class], wait)
	switch class {
	case "urgent":
		if wait > urgentLimit {
			r.UrgentLate++
		}
	case "normal", "low":
		r.teamWaits[s.GetTeam()] = append(r.teamWaits[s.GetTeam()], wait)
	}
}

func (r *Result) taken(*wire.Placement) { r.Placed++ }

func (r *Result) round(took time.Duration, bytes uint64, d *wire.Decisions) {
	r.Total += took
	r.Bytes += bytes
	// Calls that return at once because nothing changed are not rounds.
	if d != nil || took > 20*time.Microsecond {
		r.Rounds = append(r.Rounds, took)
	}
	if d != nil {
		r.LogBytes += bytesOf(d)
	}
}

// samplePacking compares what is used with the most that any placement of the present work could use: for each resource
// the capacity, or all that runs and waits when that is less.
func (r *Result) samplePacking(c *cell.Cell) {
	capacity, used := capacityOf(c)
	demand := used
	for _, j := range c.WaitingJobs() {
		if !j.Held() {
			demand = demand.Add(j.Need().Times(int64(j.Waiting())))
		}
	}
	if demand.Share(capacity) < 1.1 {
		return
	}
	r.packing = append(r.packing, max(part(used.CPU(), demand.CPU(), capacity.CPU()), part(used.Memory(), demand.Memory(), capacity.Memory())))
}

func part(used, demand, capacity int64) float64 {
	if bound := min(demand, capacity); bound > 0 {
		return float64(used) / float64(bound)
	}
	return 0
}

func (r *Result) finish(p *Replay) {
	for _, waits := range r.Waits {
		slices.Sort(waits)
	}
	slices.Sort(r.Rounds)
	for _, v := range r.packing {
		r.Packing += v / float64(len(r.packing))
	}
	weights, total := 0.0, float64(p.w.Workers)*workerCPU*p.w.Length.Seconds()
	for _, t := range p.teams {
		weights += float64(t.GetWeight())
	}
	for _, t := range p.teams {
		waits := r.teamWaits[t.GetName()]
		if len(waits) == 0 {
			continue
		}
		mean := 0.0
		for _, w := range waits {
			mean += w.Seconds() / float64(len(waits))
		}
		r.AnyTeam = max(r.AnyTeam, mean)
		if p.demand[t.GetName()] <= total*float64(t.GetWeight())/weights {
			r.ModestTeam = max(r.ModestTeam, mean)
		}
	}
}

// Percentile returns the value at a share of sorted values; 0 when there are none.
func Percentile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
