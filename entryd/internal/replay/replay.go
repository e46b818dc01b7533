// Package replay compares routing rules by running seeded arrivals of requests against them in simulated time. It uses
// the dispatcher, the estimator, the router and the retrier of entryd; the network, the targets and the queue of
// waiting requests are simulated.
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

// Sizes and delays of the simulation; those of the current deployments where the design page states them.
const (
	entryCount        = 8
	targetCount       = 50
	slotsPerTarget    = 8
	meanServiceTime   = 50 * time.Millisecond
	requestDeadline   = time.Second
	maxQueuedRequests = 256
	crossDomainDelay  = 1500 * time.Microsecond
	sameDomainDelay   = 200 * time.Microsecond
	loanDuration      = time.Second
	loanIdleTimeout   = 100 * time.Millisecond
	requeueInterval   = 100 * time.Millisecond
)

// rule is a routing rule.
type rule int

const (
	// roundRobin is the baseline: each entry process sends to all targets in turn, without acquiring slots and without a
	// retry budget.
	roundRobin rule = iota
	// fixedSplit gives each entry process a fixed part of each target's slots.
	fixedSplit
	// lentSlots gives each target to one entry process, which lends free slots to others for a limited time.
	lentSlots
	// oneOwner gives each target to one entry process, to which the others forward requests.
	oneOwner
)

func (r rule) String() string {
	return [...]string{"round robin, no budget", "fixed split", "slots lent by demand", "one owner, forwarding"}[r]
}

// fault is what is wrong with the first five targets.
type fault int

const (
	noFault fault = iota
	failing
	slow
)

func (f fault) String() string { return [...]string{"none", "5 fail", "5 are slow"}[f] }

// scenario is the input of one row of the comparison. load is a fraction of the targets' throughput; skewed gives the
// entry processes unequal shares of the arrivals.
type scenario struct {
	rule   rule
	load   float64
	skewed bool
	fault  fault
}

// event is an action at a simulated time. seq orders events of the same time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// events is a heap of events, the earliest first.
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

// request is a simulated request. served is set when its first execution starts.
type request struct {
	at       time.Duration
	attempt  int
	served   bool
	queuedAt *entry
}

// loan is a slot that another entry process has lent.
type loan struct {
	slot   *dispatcher.Slot
	owner  *entry
	until  time.Duration
	idleAt time.Duration
}

// entry is a simulated entry process.
type entry struct {
	id               int
	dispatcher       *dispatcher.Dispatcher
	retries          *retrier.Retrier
	queue            []*request
	peers            *estimator.Estimator
	loans            []*loan
	openLoanRequests int
	nextTarget       int
}

// target is a simulated target. Only the baseline rule uses its backlog.
type target struct {
	id      int
	running int
	peak    int
	backlog []func()
}

// simulation runs arrivals against one rule. The entry processes use the Dispatcher with its health rules, the router
// and the retrier; the network and the targets are simulated.
type simulation struct {
	scenario
	rng          *rand.Rand
	now          time.Duration
	seq          int
	queue        events
	entries      []*entry
	targets      []*target
	waits        []time.Duration
	arrived      int
	served       int
	retried      int
	messages     int
	peersVersion uint64
}

// Now returns the simulated time.
func (s *simulation) Now() time.Duration { return s.now }

func (s *simulation) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

// networkDelay returns the one-way delay between two processes, which are spread over three failure domains by number.
func networkDelay(a, b int) time.Duration {
	if a%3 == b%3 {
		return sameDomainDelay
	}
	return crossDomainDelay
}

func newSimulation(c scenario, seed uint64) *simulation {
	s := &simulation{scenario: c, rng: rand.New(rand.NewPCG(seed, 0))}
	for i := range targetCount {
		s.targets = append(s.targets, &target{id: i})
	}
	for i := range entryCount {
		e := &entry{
			id: i, dispatcher: dispatcher.New(dispatcher.Config{Clock: s}), retries: retrier.New(), peers: estimator.New(),
		}
		var owned []*wire.Ownership
		for t := range targetCount {
			slots := uint32(slotsPerTarget)
			if c.rule == fixedSplit {
				slots = slotsPerTarget / entryCount
			} else if t%entryCount != i {
				continue
			}
			owned = append(owned, &wire.Ownership{Target: &wire.TargetState{
				Target: fmt.Sprintf("%02d", t), Service: "s", Address: "10.0.0.1:1", Slots: slots, Boot: "b",
			}})
		}
		e.dispatcher.ApplyGrant(dispatcher.Grant{Until: 1 << 60, Changed: true, Owned: owned})
		s.entries = append(s.entries, e)
	}
	return s
}

// run schedules the arrivals and heartbeats of a length of time and executes events until none is left.
func (s *simulation) run(length time.Duration) {
	weights := []float64{40, 20, 10, 6, 6, 6, 6, 6}
	if !s.skewed {
		weights = []float64{1, 1, 1, 1, 1, 1, 1, 1}
	}
	total := 0.0
	for _, w := range weights {
		total += w
	}
	rate := s.load * targetCount * slotsPerTarget / meanServiceTime.Seconds()
	for i, e := range s.entries {
		mean := 1 / (rate * weights[i] / total)
		for at := s.rng.ExpFloat64() * mean; at < length.Seconds(); at += s.rng.ExpFloat64() * mean {
			start := time.Duration(at * float64(time.Second))
			s.schedule(start, func() {
				s.arrived++
				e.retries.Earn()
				s.route(e, &request{at: s.now, attempt: 1})
			})
		}
	}
	for beat := time.Duration(0); beat < length; beat += time.Second {
		s.schedule(beat, s.beat)
	}
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.do()
	}
}

// beat states the free slots of each entry process to all others.
func (s *simulation) beat() {
	s.peersVersion++
	var loads []*wire.PeerLoad
	for _, e := range s.entries {
		loads = append(loads, &wire.PeerLoad{
			Address: strconv.Itoa(e.id),
			Loads:   []*wire.ServiceLoad{{Service: "s", FreeSlots: e.dispatcher.FreeSlots("s")}},
		})
	}
	for _, e := range s.entries {
		e.peers.Refresh(s.peersVersion, slices.Concat(loads[:e.id], loads[e.id+1:]))
	}
}

// row returns the results as a row of a Markdown table.
func (s *simulation) row() string {
	slices.Sort(s.waits)
	at := func(p float64) float64 {
		if len(s.waits) == 0 {
			return 0
		}
		return float64(s.waits[int(p*float64(len(s.waits)-1))].Microseconds()) / 1000
	}
	spread := "even"
	if s.skewed {
		spread = "skewed"
	}
	n := float64(s.arrived)
	return fmt.Sprintf("| %3.0f%% | %s | %s | %s | %.1f | %.1f | %.1f%% | %d | %.3f | %.2f |", s.load*100, spread,
		s.fault, s.rule, at(0.5), at(0.99), 100*float64(s.served)/n, s.peak(), float64(s.retried)/n, float64(s.messages)/n)
}

// peak returns the highest number of requests that were at one target at the same time.
func (s *simulation) peak() int {
	peak := 0
	for _, t := range s.targets {
		peak = max(peak, t.peak)
	}
	return peak
}
