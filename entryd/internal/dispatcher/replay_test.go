package dispatcher

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/entryd/internal/peerbook"
	"flamingodrift.example/entryd/internal/retrier"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

var (
	replaySeconds = flag.Int("replay.seconds", 1, "simulated seconds of arrivals for each row of the routing replay")
	replaySeed    = flag.Uint64("replay.seed", 1, "seed of the routing replay")
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
	slot   *Slot
	owner  *replayEntry
	until  time.Duration
	idleAt time.Duration
}

type replayEntry struct {
	id      int
	d       *Dispatcher
	retries *retrier.Retrier
	queue   []*replayRequest
	peers   *peerbook.Book
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
		e := &replayEntry{id: i, d: New(Config{Clock: r}), retries: retrier.New(), peers: peerbook.New()}
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
		e.d.Take(Grant{Until: 1 << 60, Changed: true, Owned: owned})
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

// mostFree returns the peer to ask next.
func (r *replay) mostFree(e *replayEntry) (*replayEntry, bool) {
	address, ok := e.peers.Take("s", r.now)
	if !ok {
		return nil, false
	}
	id, err := strconv.Atoi(address)
	return r.entries[id], err == nil
}

func (e *replayEntry) learn(owner *replayEntry, free uint32) {
	e.peers.Learn(strconv.Itoa(owner.id), "s", int(free))
}

func (r *replay) route(e *replayEntry, q *replayRequest) {
	if r.rule == roundRobin {
		e.next++
		r.sendUnbounded(e, q, r.targets[(e.next+e.id*7)%replayTargets])
		return
	}
	if len(e.queue) == 0 {
		if slot, _ := e.d.Acquire("s", r.now); slot != nil {
			r.send(e, e, q, slot, func() { slot.Release() })
			return
		}
		if l := e.idleLoan(r.now); l != nil {
			r.useLoan(e, q, l)
			return
		}
	}
	if r.rule == oneOwner && r.forward(e, q, replayEntries-1) {
		return
	}
	r.enqueue(e, q)
}

func (r *replay) enqueue(e *replayEntry, q *replayRequest) {
	if r.now-q.at >= replayDeadline || len(e.queue) >= replayQueue {
		return
	}
	at, _ := slices.BinarySearchFunc(e.queue, q, func(a, b *replayRequest) int { return int(a.at - b.at) })
	e.queue = slices.Insert(e.queue, at, q)
	q.queuedAt = e
	switch r.rule {
	case lentSlots:
		r.borrow(e)
	case oneOwner:
		r.after(requeue, func() {
			if q.queuedAt == e {
				e.queue = slices.DeleteFunc(e.queue, func(other *replayRequest) bool { return other == q })
				q.queuedAt = nil
				r.route(e, q)
			}
		})
	}
}

// pump gives free slots to waiting requests.
func (r *replay) pump(e *replayEntry) {
	for len(e.queue) > 0 {
		q := e.queue[0]
		if r.now-q.at >= replayDeadline {
			e.queue, q.queuedAt = e.queue[1:], nil
			continue
		}
		if slot, _ := e.d.Acquire("s", r.now); slot != nil {
			e.queue, q.queuedAt = e.queue[1:], nil
			r.send(e, e, q, slot, func() { slot.Release() })
		} else if l := e.idleLoan(r.now); l != nil {
			e.queue, q.queuedAt = e.queue[1:], nil
			r.useLoan(e, q, l)
		} else {
			return
		}
	}
}

// forward sends a request to the peer with most free slots, and to the next one when that took nothing.
func (r *replay) forward(e *replayEntry, q *replayRequest, tries int) bool {
	if tries == 0 || r.now-q.at >= replayDeadline {
		return false
	}
	owner, ok := r.mostFree(e)
	if !ok {
		return false
	}
	r.messages++
	r.after(delay(e.id, owner.id), func() {
		slot, _ := owner.d.Acquire("s", r.now)
		if slot == nil {
			r.messages++
			r.after(delay(e.id, owner.id), func() {
				e.learn(owner, 0)
				if !r.forward(e, q, tries-1) {
					r.enqueue(e, q)
					r.pump(e)
				}
			})
			return
		}
		r.send(e, owner, q, slot, func() {
			slot.Release()
			r.messages++
			free := owner.d.FreeSlots("s")
			r.after(delay(e.id, owner.id), func() { e.learn(owner, free) })
		})
	})
	return true
}

// borrow asks for one slot for each waiting request that no answer is on its way for.
func (r *replay) borrow(e *replayEntry) {
	if e.asked >= len(e.queue) {
		return
	}
	owner, ok := r.mostFree(e)
	if !ok {
		return
	}
	e.asked++
	r.messages += 2
	r.after(delay(e.id, owner.id), func() {
		slot := (*Slot)(nil)
		if len(owner.queue) == 0 {
			slot, _ = owner.d.Acquire("s", r.now)
		}
		until := r.now + loanLease
		free := owner.d.FreeSlots("s")
		r.after(delay(e.id, owner.id), func() {
			e.asked--
			e.learn(owner, free)
			if slot == nil {
				r.borrow(e)
				return
			}
			e.loans = append(e.loans, &loan{slot: slot, owner: owner, until: until, idleAt: r.now})
			r.pump(e)
			r.returnIdle(e)
		})
	})
}

func (e *replayEntry) idleLoan(now time.Duration) *loan {
	for i, l := range e.loans {
		if now < l.until {
			e.loans = append(e.loans[:i], e.loans[i+1:]...)
			return l
		}
	}
	return nil
}

func (r *replay) useLoan(e *replayEntry, q *replayRequest, l *loan) {
	r.send(e, e, q, l.slot, func() {
		l.idleAt = r.now
		e.loans = append(e.loans, l)
		r.pump(e)
		r.returnIdle(e)
	})
}

// returnIdle gives loans back that ended or stay unused for a while.
func (r *replay) returnIdle(e *replayEntry) {
	for _, l := range slices.Clone(e.loans) {
		since := l.idleAt
		r.after(min(loanIdle, max(l.until-r.now, 0)), func() {
			at := slices.Index(e.loans, l)
			if at < 0 || l.idleAt != since {
				return
			}
			e.loans = slices.Delete(e.loans, at, at+1)
			r.messages++
			r.after(delay(e.id, l.owner.id), func() {
				l.slot.Release()
				r.pump(l.owner)
			})
		})
	}
}

// send runs a request at a slot that an owner holds. done gives the slot back.
func (r *replay) send(e, owner *replayEntry, q *replayRequest, slot *Slot, done func()) {
	id, err := strconv.Atoi(slot.Target())
	if err != nil {
		panic(err)
	}
	way := delay(owner.id, id)
	started := r.now
	r.after(way, func() {
		r.execute(q, r.targets[id], func(ok bool) {
			r.after(way, func() {
				var failure *Failure
				if !ok {
					failure = &Failure{Reason: reason.TargetUnreachable}
				}
				slot.dispatcher.note(slot.target, failure, &wire.Answer{Status: 200}, r.now-started)
				done()
				if !ok {
					r.retry(e, q)
				}
				r.pump(owner)
			})
		})
	})
}

func (r *replay) retry(e *replayEntry, q *replayRequest) {
	may, _ := e.retries.Spend(retrier.Attempt{Number: q.attempt, Idempotent: true})
	if may {
		r.retried++
		q.attempt++
		r.route(e, q)
	}
}

// execute runs a request at a target and reports whether it was answered.
func (r *replay) execute(q *replayRequest, t *replayTarget, done func(ok bool)) {
	if r.trouble == failing && t.id < 5 {
		done(false)
		return
	}
	t.running++
	t.peak = max(t.peak, t.running)
	if !q.ended {
		q.ended = true
		r.served++
		r.waits = append(r.waits, r.now-q.at)
	}
	took := time.Duration(r.rng.ExpFloat64() * float64(replayService))
	if r.trouble == slow && t.id < 5 {
		took *= 10
	}
	r.after(took, func() {
		t.running--
		done(true)
	})
}

// sendUnbounded is the baseline: a target gets every request at once and runs as many as it has slots; the others wait
// there. A failed request is sent to the next target without a budget, three times at most.
func (r *replay) sendUnbounded(e *replayEntry, q *replayRequest, t *replayTarget) {
	way := delay(e.id, t.id)
	r.after(way, func() {
		if r.trouble == failing && t.id < 5 {
			r.after(way, func() {
				if q.attempt < 3 {
					r.retried++
					q.attempt++
					r.route(e, q)
				}
			})
			return
		}
		t.backlog = append(t.backlog, func() {
			r.execute(q, t, func(bool) { r.serveBacklog(t) })
		})
		t.peak = max(t.peak, t.running+len(t.backlog))
		r.serveBacklog(t)
	})
}

func (r *replay) serveBacklog(t *replayTarget) {
	for t.running < replaySlots && len(t.backlog) > 0 {
		first := t.backlog[0]
		t.backlog = t.backlog[1:]
		first()
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

// Guards against a routing rule that puts more requests on a target than it has slots, loses requests below full load, or
// retries beyond the budget. With -v it prints the table of docs/routing-measurements.md.
func TestReplayOfRoutingRules(t *testing.T) {
	if testing.Verbose() {
		fmt.Println("| load | arrivals | targets in trouble | rule | p50 wait ms | p99 wait ms | served | peak on a target | retries per request | messages per request |")
	}
	for _, load := range []float64{0.6, 0.9, 1.1} {
		for _, skewed := range []bool{false, true} {
			for _, in := range []trouble{none, failing, slow} {
				for _, rule := range []rule{roundRobin, fixedSplit, lentSlots, oneOwner} {
					r := newReplay(replayCase{rule, load, skewed, in}, *replaySeed)
					r.run(time.Duration(*replaySeconds) * time.Second)
					if testing.Verbose() {
						fmt.Println(r.row())
					}
					if rule == roundRobin {
						continue
					}
					require.LessOrEqual(t, r.peak(), replaySlots, r.row())
					require.LessOrEqual(t, r.retried, r.arrived/10+replayEntries*10, r.row())
					for _, e := range r.entries {
						require.Zero(t, e.d.Busy(), "slots leaked: %s", r.row())
					}
				}
			}
		}
	}
}
