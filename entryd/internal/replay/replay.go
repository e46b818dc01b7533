// Package replay runs seeded arrivals of requests against routing rules in simulated time, to compare the rules. It uses
// the dispatcher, the peer book, the router and the retry budget; the network, the targets and the queue of waiting
// requests are simulated.
package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"
	"flamingodrift.example/entryd/internal/estimator"
	"flamingodrift.example/entryd/internal/retrier"

	"flamingodrift.example/core/wire"
)

// Sizes of the replay; those of the current deployments where the design page states them.
const (
	replayEntries  = 8
	replayTargets  = 50
	replaySlots    = 8
	replayService  = 50 * time.Millisecond
	replayDeadline = time.Second
	replayQueue    = 256
	betweenDomains = 1500 * time.Microsecond
	withinDomain   = 200 * time.Microsecond
	loanLease      = time.Second
	loanIdle       = 100 * time.Millisecond
	requeue        = 100 * time.Millisecond
)

type rule int

const (
	roundRobin rule = iota
	fixedSplit
	lentSlots
	oneOwner
)

func (r rule) String() string {
	return [...]string{"round robin, no budget", "fixed split", "slots lent by demand", "one owner, forwarding"}[r]
}

type trouble int

const (
	none trouble = iota
	failing
	slow
)

func (t trouble) String() string { return [...]string{"none", "5 fail", "5 are slow"}[t] }

type replayCase struct {
	rule    rule
	load    float64
	skewed  bool
	trouble trouble
}

// event is something that happens at a simulated time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].seq < e[b].seq
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type replayRequest struct {
	at       time.Duration
	attempt  int
	ended    bool
	queuedAt *replayEntry
}

// loan is a slot of another entry process.
type loan struct {
	slot   *dispatcher.Slot
	owner  *replayEntry
	until  time.Duration
	idleAt time.Duration
}

type replayEntry struct {
	id      int
	d       *dispatcher.Dispatcher
	retries *retrier.Retrier
	queue   []*replayRequest
	peers   *estimator.Estimator
	loans   []*loan
	asked   int
	next    int
}

type replayTarget struct {
	id      int
	running int
	peak    int
	backlog []func()
}

// replay runs arrivals against one rule. Entry processes use the Dispatcher, its health rules, the router and the
// retrier; the network and the targets are simulated.
type replay struct {
	replayCase
	rng      *rand.Rand
	now      time.Duration
	seq      int
	queue    events
	entries  []*replayEntry
	targets  []*replayTarget
	waits    []time.Duration
	arrived  int
	served   int
	retried  int
	messages int
	round    uint64
}

// Now is the simulated time.
func (r *replay) Now() time.Duration { return r.now }

func (r *replay) after(d time.Duration, do func()) {
	r.seq++
	heap.Push(&r.queue, event{r.now + d, r.seq, do})
}

func delay(a, b int) time.Duration {
	if a%3 == b%3 {
		return withinDomain
	}
	return betweenDomains
}

func newReplay(c replayCase, seed uint64) *replay {
	r := &replay{replayCase: c, rng: rand.New(rand.NewPCG(seed, 0))}
	for i := range replayTargets {
		r.targets = append(r.targets, &replayTarget{id: i})
	}
	for i := range replayEntries {
		e := &replayEntry{id: i, d: dispatcher.New(dispatcher.Config{Clock: r}), retries: retrier.New(), peers: estimator.New()}
		var owned []*wire.Ownership
		for t := range replayTargets {
			slots := uint32(replaySlots)
			if c.rule == fixedSplit {
				slots = replaySlots / replayEntries
			} else if t%replayEntries != i {
				continue
			}
			owned = append(owned, &wire.Ownership{Target: &wire.TargetState{
				Target: fmt.Sprintf("%02d", t), Service: "s", Address: "10.0.0.1:1", Slots: slots, Boot: "b",
			}})
		}
		e.d.ApplyGrant(dispatcher.Grant{Until: 1 << 60, Changed: true, Owned: owned})
		r.entries = append(r.entries, e)
	}
	return r
}

// run feeds arrivals and drains.
func (r *replay) run(length time.Duration) {
	weights := []float64{40, 20, 10, 6, 6, 6, 6, 6}
	if !r.skewed {
		weights = []float64{1, 1, 1, 1, 1, 1, 1, 1}
	}
	total := 0.0
	for _, w := range weights {
		total += w
	}
	rate := r.load * replayTargets * replaySlots / replayService.Seconds()
	for i, e := range r.entries {
		mean := 1 / (rate * weights[i] / total)
		for at := r.rng.ExpFloat64() * mean; at < length.Seconds(); at += r.rng.ExpFloat64() * mean {
			start := time.Duration(at * float64(time.Second))
			r.after(start, func() {
				r.arrived++
				e.retries.Earn()
				r.route(e, &replayRequest{at: r.now, attempt: 1})
			})
		}
	}
	for beat := time.Duration(0); beat < length; beat += time.Second {
		r.after(beat, r.beat)
	}
	for len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(event)
		r.now = next.at
		next.do()
	}
}

func (r *replay) beat() {
	r.round++
	var loads []*wire.PeerLoad
	for _, e := range r.entries {
		loads = append(loads, &wire.PeerLoad{Address: strconv.Itoa(e.id), Loads: []*wire.ServiceLoad{{Service: "s", FreeSlots: e.d.FreeSlots("s")}}})
	}
	for _, e := range r.entries {
		e.peers.Refresh(r.round, slices.Concat(loads[:e.id], loads[e.id+1:]))
	}
}

func (r *replay) row() string {
	slices.Sort(r.waits)
	at := func(p float64) float64 {
		if len(r.waits) == 0 {
			return 0
		}
		return float64(r.waits[int(p*float64(len(r.waits)-1))].Microseconds()) / 1000
	}
	spread := "even"
	if r.skewed {
		spread = "skewed"
	}
	n := float64(r.arrived)
	return fmt.Sprintf("| %3.0f%% | %s | %s | %s | %.1f | %.1f | %.1f%% | %d | %.3f | %.2f |", r.load*100, spread, r.trouble, r.rule,
		at(0.5), at(0.99), 100*float64(r.served)/n, r.peak(), float64(r.retried)/n, float64(r.messages)/n)
}

func (r *replay) peak() int {
	peak := 0
	for _, t := range r.targets {
		peak = max(peak, t.peak)
	}
	return peak
}
