package replay

import (
	"slices"
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/core/wire"
)

// urgentLimit is the time within which urgent tasks must start.
const urgentLimit = 3100 * time.Millisecond

// Result holds the measurements of one replay.
type Result struct {
	// Waits holds the time from arrival to first start of each task, by class, in ascending order.
	Waits map[string][]time.Duration
	// UrgentLate counts the urgent tasks that waited for longer than urgentLimit.
	UrgentLate int
	// Unstarted counts the tasks that still waited at the end. Their waits so far are in Waits.
	Unstarted int
	// Failed counts the tasks that failed permanently on faulty workers although their job was correct.
	Failed int
	// Stops counts the stops of tasks.
	Stops int
	// Placed counts the placements of tasks.
	Placed int
	// ModestTeamWaitSeconds is the longest mean wait of a team that asked for no more than its weighted share, and
	// AnyTeamWaitSeconds that of any team. Both leave out services, urgent work and all-at-once work.
	ModestTeamWaitSeconds, AnyTeamWaitSeconds float64
	// Packing is the mean use of the scarcer resource while work waited, as a fraction of the upper bound that no
	// placement can exceed.
	Packing float64
	// RoundTimes holds the duration of each call that decided something or examined the waiting tasks, in ascending
	// order.
	RoundTimes []time.Duration
	// TotalTime is the duration of all calls together.
	TotalTime time.Duration
	// AllocatedBytes is what all calls together allocated on the heap.
	AllocatedBytes uint64
	// LogBytes is the encoded size of all decisions.
	LogBytes int

	teamWaits      map[string][]time.Duration
	packingSamples []float64
}

func newResult() *Result {
	return &Result{Waits: map[string][]time.Duration{}, teamWaits: map[string][]time.Duration{}}
}

// classOf returns the class under which the results count a job.
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

func (r *Result) addStart(s *wire.JobSpec, wait time.Duration) {
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

func (r *Result) addPlacement(*wire.Placement) { r.Placed++ }

func (r *Result) addRound(took time.Duration, bytes uint64, d *wire.Decisions) {
	r.TotalTime += took
	r.AllocatedBytes += bytes
	// A call without decisions that returns within 20 µs only found that nothing had changed; it is not counted as a
	// round.
	if d != nil || took > 20*time.Microsecond {
		r.RoundTimes = append(r.RoundTimes, took)
	}
	if d != nil {
		r.LogBytes += encodedBytes(d)
	}
}

// samplePacking compares the used resources with an upper bound for any placement of the present work. The bound of
// each resource is the capacity, or the demand of all active and waiting tasks when that is lower. It takes no sample
// while the demand is below 1.1 times the capacity.
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
	r.packingSamples = append(r.packingSamples,
		max(usedFraction(used.CPU(), demand.CPU(), capacity.CPU()),
			usedFraction(used.Memory(), demand.Memory(), capacity.Memory())))
}

// usedFraction returns the used amount as a fraction of the upper bound; 0 when the bound is 0.
func usedFraction(used, demand, capacity int64) float64 {
	if bound := min(demand, capacity); bound > 0 {
		return float64(used) / float64(bound)
	}
	return 0
}

// finish computes the summary values.
func (r *Result) finish(p *Replay) {
	for _, waits := range r.Waits {
		slices.Sort(waits)
	}
	slices.Sort(r.RoundTimes)
	for _, v := range r.packingSamples {
		r.Packing += v / float64(len(r.packingSamples))
	}
	weights, total := 0.0, float64(p.workload.Workers)*workerCPUMilli*p.workload.Length.Seconds()
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
		r.AnyTeamWaitSeconds = max(r.AnyTeamWaitSeconds, mean)
		if p.offeredWork[t.GetName()] <= total*float64(t.GetWeight())/weights {
			r.ModestTeamWaitSeconds = max(r.ModestTeamWaitSeconds, mean)
		}
	}
}

// Percentile returns the value below which a fraction of the sorted values lies; 0 when there are none.
func Percentile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
