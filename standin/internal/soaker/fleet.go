package soaker

import (
	"context"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/wire"
	"flamingodrift.example/platform/consenthandler"
	"flamingodrift.example/platform/workerserver"
)

const (
	workerPort       = 8000
	maxRunsPerWorker = 3
	taskDuration     = 300 * time.Millisecond
	// One job in longJobInterval has tasks that take longTaskDuration, longer than the lease that a leader asks for.
	longJobInterval  = 40
	longTaskDuration = 7 * time.Second
	stopDuration     = 50 * time.Millisecond
	maxLease         = 10 * time.Second
	fleetTick        = 10 * time.Millisecond
	maxOrderDelay    = 4 * time.Second
	// ticketValidity is how long a ticket is valid.
	ticketValidity = 2 * time.Second
	// cancelGrace is how long tasks of a job may still start after its cancellation was acknowledged.
	cancelGrace = 3 * time.Second
	// crashDelay is how long after its start a task crashes its worker. After crashLimit crashes a task may be started
	// fewer than maxStartsAfterLimit times.
	crashDelay          = 10 * time.Millisecond
	crashLimit          = 3
	maxStartsAfterLimit = 3
)

// fleet is a set of stand-in workers. From the orders that they receive it checks that no task runs twice at a time,
// that no task runs again after its completion was acknowledged, that no worker gets more runs than its capacity
// allows, and that no task of a canceled job starts after cancelGrace, except by an order that arrives late. It records
// the jobs that started, so that the soak can check that no refused job is among them.
type fleet struct {
	mu      sync.Mutex
	rand    *rand.Rand
	began   time.Time
	workers []*worker
	// running counts the current runs of each task, and done has the tasks whose completion was acknowledged. A task is
	// an executor.Run with run number 0.
	running map[executor.Run]int
	done    map[executor.Run]bool
	// started has the ids of jobs of which a task has started.
	started    map[string]bool
	violations []string
	// canceled maps job ids to when their cancellation was acknowledged.
	canceled map[string]time.Time
	// crashing has the ids of jobs whose first task crashes each worker that starts it, and crashes counts those workers.
	crashing map[string]bool
	crashes  map[string]int
	// tickets maps tickets to when they expire.
	tickets map[string]time.Time
	consent *http.Server
}

// worker is a stand-in worker.
type worker struct {
	fleet         *fleet
	name          string
	address       string
	startedUnixMs int64
	server        *http.Server

	// token is the highest fencing token of any order so far.
	token    uint64
	leaseEnd time.Time
	// runs are the current runs by task, and newestEnded the highest run number of each task that has ended or been
	// stopped.
	runs        map[executor.Run]*fleetRun
	newestEnded map[executor.Run]int
	// ended are the ends that have not been acknowledged, and lastEnd is the number of the last end.
	ended   []executor.Ended
	lastEnd uint64
	// orderLoss is the share of orders that get no answer, 0 to 1.
	orderLoss float64
	// connections holds the open connections, which end with the incarnation.
	connections *connectionSet
}

type fleetRun struct {
	number int
	endsAt time.Time
	// stopping is set once the run was ordered to stop.
	stopping bool
}

func newFleet(seed uint64, subnet string, count int) (*fleet, error) {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, 2)), began: time.Now(),
		running: map[executor.Run]int{}, done: map[executor.Run]bool{},
		crashing: map[string]bool{}, crashes: map[string]int{},
		started: map[string]bool{}, canceled: map[string]time.Time{}, tickets: map[string]time.Time{},
	}
	for i := range count {
		w := &worker{fleet: f, name: fmt.Sprintf("i-%04d", i), address: fmt.Sprintf("%s.%d:%d", subnet, 101+i, workerPort)}
		w.connections = newConnectionSet()
		w.reset(time.Now())
		listener, err := net.Listen("tcp", w.address)
		if err != nil {
			return nil, fmt.Errorf("listen for worker %s: %w", w.name, err)
		}
		w.server = &http.Server{
			Handler: workerserver.New(w), ReadHeaderTimeout: time.Second, ConnState: w.connections.track,
		}
		go func() { _ = w.server.Serve(listener) }()
		f.workers = append(f.workers, w)
	}
	return f, nil
}

// Ask implements executor.Consenter. It allows a step on about two thirds of the workers and on at least one. The
// choice depends only on the job, the step and the worker, so it never changes.
func (f *fleet) Ask(_ context.Context, job string, step int, workers []string) (executor.Consent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var consent executor.Consent
	for _, name := range workers {
		key := fmt.Sprintf("%s.%d.%s", job, step, name)
		fallback := f.workers[crc32.ChecksumIEEE([]byte(job))%uint32(len(f.workers))]
		if name != fallback.name && crc32.ChecksumIEEE([]byte(key))%3 == 0 {
			continue
		}
		f.tickets[key] = time.Now().Add(ticketValidity)
		consent.Tickets = append(consent.Tickets, executor.Ticket{Worker: name, Ticket: key})
	}
	return consent, nil
}

// serveConsent starts a stand-in for the consent service, which decides which workers may run a step.
func (f *fleet) serveConsent(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for the consent service: %w", err)
	}
	f.consent = &http.Server{Handler: consenthandler.New(f), ReadHeaderTimeout: time.Second}
	go func() { _ = f.consent.Serve(listener) }()
	return nil
}

func (f *fleet) close() {
	_ = f.consent.Close()
	for _, w := range f.workers {
		_ = w.server.Close()
	}
}

func (f *fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations,
		fmt.Sprintf("%.3f s: ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// reset begins a new incarnation, which has no state of the previous one. The connections end with the process.
func (w *worker) reset(now time.Time) {
	w.connections.closeAll()
	for k := range w.runs {
		w.fleet.running[k]--
	}
	w.startedUnixMs, w.token, w.leaseEnd, w.lastEnd, w.ended = now.UnixMilli(), 0, now, 0, nil
	w.runs, w.newestEnded = map[executor.Run]*fleetRun{}, map[executor.Run]int{}
}

func (w *worker) incarnation() *wire.WorkerLife {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return &wire.WorkerLife{
		Worker: w.name, BornUnixMs: w.startedUnixMs, Address: w.address, Pool: "pool", FailureDomain: "a", Rack: "r1",
		CpuMillis: maxRunsPerWorker * 1000, MemoryMb: 1000,
	}
}

// restart begins a new incarnation of a worker.
func (f *fleet) restart(worker int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[worker].reset(time.Now())
}

// endRuns ends the runs that are due or whose lease has expired, until the context ends.
func (f *fleet) endRuns(ctx context.Context) {
	ticker := time.NewTicker(fleetTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.mu.Lock()
			for _, w := range f.workers {
				w.endDueRuns(now)
			}
			f.mu.Unlock()
		}
	}
}

// endDueRuns ends the runs that are due, and all runs once the lease has expired.
func (w *worker) endDueRuns(now time.Time) {
	for k, r := range w.runs {
		switch {
		case now.After(w.leaseEnd):
			w.endRun(k, executor.OutcomeLeaseEnded)
		case now.After(r.endsAt) && r.stopping:
			w.endRun(k, executor.OutcomeStopped)
		case now.After(r.endsAt):
			w.endRun(k, executor.OutcomeDone)
		}
	}
}

func (w *worker) endRun(k executor.Run, outcome executor.Outcome) {
	number := w.runs[k].number
	delete(w.runs, k)
	w.fleet.running[k]--
	w.newestEnded[k] = max(w.newestEnded[k], number)
	w.lastEnd++
	reported := k
	reported.Run = number
	w.ended = append(w.ended, executor.Ended{Number: w.lastEnd, Run: reported, Outcome: outcome})
}

// clock returns the time of the worker's simulated monotonic clock, which starts at one hour with each incarnation.
func (w *worker) clock(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(w.startedUnixMs)) + time.Hour
}

// timeAt returns the wall-clock time of a time of the worker's clock.
func (w *worker) timeAt(clock time.Duration) time.Time {
	return time.UnixMilli(w.startedUnixMs).Add(clock - time.Hour)
}

func (w *worker) answer(status executor.Status) executor.Answer {
	return executor.Answer{Status: status, Clock: w.clock(time.Now()), HasClock: true}
}

// deliver applies an order and returns its answer, except for a random share of orderLoss of the orders. Those get no
// answer and are applied at once, later, or never.
func (w *worker) deliver(to executor.Address, apply func(late bool) executor.Answer) executor.Answer {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if to.Worker != "" && to.Worker != w.name {
		return w.answer(executor.OtherIncarnation)
	}
	if w.fleet.rand.Float64() >= w.orderLoss {
		return apply(false)
	}
	switch startedUnixMs := w.startedUnixMs; w.fleet.rand.IntN(3) {
	case 0:
		apply(false)
	case 1:
		time.AfterFunc(time.Duration(w.fleet.rand.Int64N(int64(maxOrderDelay))), func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			if w.startedUnixMs == startedUnixMs {
				apply(true)
			}
		})
	default:
	}
	return executor.Answer{}
}

// extendLease extends the lease to a time of the worker's clock, but to at most maxLease from now.
func (w *worker) extendLease(until time.Duration) {
	at := w.timeAt(until)
	if latest := time.Now().Add(maxLease); at.After(latest) {
		at = latest
	}
	if at.After(w.leaseEnd) {
		w.leaseEnd = at
	}
}

// Start implements executor.Executor.
func (w *worker) Start(_ context.Context, to executor.Address, o executor.Start) executor.Answer {
	return w.deliver(to, func(late bool) executor.Answer {
		k := o.Run
		k.Run = 0
		now := time.Now()
		switch {
		case o.Token < w.token:
			return w.answer(executor.Fenced)
		case w.runs[k] != nil && w.runs[k].number == o.Run.Run:
			return w.answer(executor.Done)
		case o.Until <= w.clock(now):
			return w.answer(executor.LeaseEnded)
		case o.Run.Run <= w.newestEnded[k]:
			return w.answer(executor.Outdated)
		}
		f := w.fleet
		if key := fmt.Sprintf("%s.%d.%s", k.Job, k.Step, w.name); o.Ticket != key || now.After(f.tickets[key]) {
			return w.answer(executor.NoTicket)
		}
		w.token = o.Token
		w.extendLease(o.Until)
		if at, ok := f.canceled[k.Job]; ok && now.Sub(at) > cancelGrace && !late {
			f.recordViolation("task %v starts %v after its job was canceled", k, now.Sub(at))
		}
		if f.running[k] > 0 {
			f.recordViolation("task %v runs twice: run %d on %s", k, o.Run.Run, w.name)
		}
		if f.done[k] {
			f.recordViolation("task %v starts after it was done: run %d on %s", k, o.Run.Run, w.name)
		}
		if len(w.runs) >= maxRunsPerWorker {
			f.recordViolation("%s has no capacity for %v", w.name, o.Run)
		}
		duration := taskDuration
		if crc32.ChecksumIEEE([]byte(k.Job))%longJobInterval == 0 {
			duration = longTaskDuration
		}
		w.runs[k] = &fleetRun{number: o.Run.Run, endsAt: now.Add(duration)}
		f.running[k]++
		f.started[k.Job] = true
		if f.crashing[k.Job] && k.Step == 0 && k.Index == 0 {
			f.crashWorker(w, k, late)
		}
		return w.answer(executor.Done)
	})
}

// markCrashing marks a job as one whose first task crashes its workers.
func (f *fleet) markCrashing(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashing[job] = true
}

func (f *fleet) isCrashing(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashing[job]
}

// crashWorker lets a task crash its worker, which starts again under its id.
func (f *fleet) crashWorker(w *worker, task executor.Run, late bool) {
	if f.crashes[task.Job] >= crashLimit+maxStartsAfterLimit-1 && !late {
		f.recordViolation("task %v is started again after %d workers have crashed under it", task, f.crashes[task.Job])
	}
	f.crashes[task.Job]++
	startedUnixMs := w.startedUnixMs
	time.AfterFunc(crashDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.startedUnixMs == startedUnixMs {
			w.reset(time.Now())
		}
	})
}

// Stop implements executor.Executor.
func (w *worker) Stop(_ context.Context, to executor.Address, o executor.Stop) executor.Answer {
	return w.deliver(to, func(bool) executor.Answer {
		if o.Token < w.token {
			return w.answer(executor.Fenced)
		}
		w.token = o.Token
		k := o.Run
		k.Run = 0
		w.newestEnded[k] = max(w.newestEnded[k], o.Run.Run)
		if r := w.runs[k]; r != nil && r.number == o.Run.Run && !r.stopping {
			r.stopping, r.endsAt = true, time.Now().Add(stopDuration)
		}
		return w.answer(executor.Done)
	})
}

// Renew implements executor.Executor. It waits for the end of a run for as long as the order says.
func (w *worker) Renew(ctx context.Context, to executor.Address, o executor.Renew) (executor.Report, executor.Answer) {
	report := executor.Report{}
	answer := w.deliver(to, func(bool) executor.Answer { return w.renew(o) })
	for wait := time.Now().Add(o.Wait); answer.Status == executor.Done && time.Now().Before(wait) && ctx.Err() == nil; {
		w.fleet.mu.Lock()
		ends := len(w.ended)
		w.fleet.mu.Unlock()
		if ends > 0 {
			break
		}
		time.Sleep(fleetTick)
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	report.StartedUnixMs = w.startedUnixMs
	report.Ended = append(report.Ended, w.ended...)
	for k, r := range w.runs {
		reported := k
		reported.Run = r.number
		// The runs are too short for their progress to matter.
		report.Running = append(report.Running, executor.Running{Run: reported, Percent: 100})
	}
	answer.Clock = w.clock(time.Now())
	return report, answer
}

// renew extends the lease and discards the ends that the order acknowledges.
func (w *worker) renew(o executor.Renew) executor.Answer {
	if o.Token < w.token {
		return w.answer(executor.Fenced)
	}
	w.token = o.Token
	if o.Until > 0 {
		w.extendLease(o.Until)
	}
	for len(w.ended) > 0 && w.ended[0].Number <= o.AckedEnd {
		if e := w.ended[0]; e.Outcome == executor.OutcomeDone {
			k := e.Run
			k.Run = 0
			w.fleet.done[k] = true
		}
		w.ended = w.ended[1:]
	}
	return w.answer(executor.Done)
}
