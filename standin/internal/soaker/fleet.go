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
	workerPort  = 8000
	roomOfFleet = 3
	taskLength  = 300 * time.Millisecond
	stopLength  = 50 * time.Millisecond
	longestHold = 10 * time.Second
	fleetPulse  = 10 * time.Millisecond
	latestOrder = 4 * time.Second
	// ticketLength is how long a ticket is valid, and cancelLimit how long after its acknowledgement a canceled job may
	// still start.
	ticketLength = 2 * time.Second
	cancelLimit  = 3 * time.Second
)

// fleet are stand-in workers. It checks, from what workers see, that no task runs twice at a time or again after its end
// was acknowledged as done, that no worker gets more runs than it has room for, and that nothing starts of a job that was
// refused.
type fleet struct {
	mu         sync.Mutex
	rand       *rand.Rand
	began      time.Time
	workers    []*worker
	running    map[executor.Run]int
	done       map[executor.Run]bool
	started    map[string]bool
	violations []string
	// canceled are jobs with the times of the acknowledgement of their cancelling.
	canceled map[string]time.Time
	tickets  map[string]time.Time
	consent  *http.Server
}

// worker is one stand-in worker.
type worker struct {
	fleet   *fleet
	name    string
	address string
	born    int64
	server  *http.Server

	token   uint64
	until   time.Time
	runs    map[executor.Run]*fleetRun
	settled map[executor.Run]int
	ended   []executor.Ended
	next    uint64
	// lost is the share of orders that get no answer.
	lost float64
}

type fleetRun struct {
	number int
	ends   time.Time
	// stopping is set once the run was told to stop.
	stopping bool
}

func newFleet(seed uint64, subnet string, count int) (*fleet, error) {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, 2)), began: time.Now(), running: map[executor.Run]int{}, done: map[executor.Run]bool{},
		started: map[string]bool{}, canceled: map[string]time.Time{}, tickets: map[string]time.Time{},
	}
	for i := range count {
		w := &worker{fleet: f, name: fmt.Sprintf("i-%04d", i), address: fmt.Sprintf("%s.%d:%d", subnet, 101+i, workerPort)}
		w.reset(time.Now())
		listener, err := net.Listen("tcp", w.address)
		if err != nil {
			return nil, fmt.Errorf("listen for worker %s: %w", w.name, err)
		}
		w.server = &http.Server{Handler: workerserver.New(w), ReadHeaderTimeout: time.Second}
		go func() { _ = w.server.Serve(listener) }()
		f.workers = append(f.workers, w)
	}
	return f, nil
}

// Ask implements executor.Consenter: a step may run on about two thirds of the workers and on one at least; which ones
// never changes.
func (f *fleet) Ask(_ context.Context, job string, step int, workers []string) (executor.Consent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var consent executor.Consent
	for _, name := range workers {
		key := fmt.Sprintf("%s.%d.%s", job, step, name)
		home := f.workers[crc32.ChecksumIEEE([]byte(job))%uint32(len(f.workers))]
		if name != home.name && crc32.ChecksumIEEE([]byte(key))%3 == 0 {
			continue
		}
		f.tickets[key] = time.Now().Add(ticketLength)
		consent.Tickets = append(consent.Tickets, executor.Ticket{Worker: name, Ticket: key})
	}
	return consent, nil
}

// serveConsent starts the stand-in of the service that decides which workers may run a step.
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

func (f *fleet) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%.3f s: ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// reset begins a new life, which knows nothing of the one before.
func (w *worker) reset(now time.Time) {
	for k := range w.runs {
		w.fleet.running[k]--
	}
	w.born, w.token, w.until, w.next, w.ended = now.UnixMilli(), 0, now, 0, nil
	w.runs, w.settled = map[executor.Run]*fleetRun{}, map[executor.Run]int{}
}

func (w *worker) life() *wire.WorkerLife {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return &wire.WorkerLife{
		Worker: w.name, BornUnixMs: w.born, Address: w.address, Pool: "pool", FailureDomain: "a", Rack: "r1",
		CpuMillis: roomOfFleet * 1000, MemoryMb: 1000,
	}
}

// pulse ends the runs whose time has come or whose lease is over, until the context ends.
func (f *fleet) pulse(ctx context.Context) {
	ticker := time.NewTicker(fleetPulse)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.mu.Lock()
			for _, w := range f.workers {
				w.pass(now)
			}
			f.mu.Unlock()
		}
	}
}

func (w *worker) pass(now time.Time) {
	for k, r := range w.runs {
		switch {
		case now.After(w.until):
			w.end(k, executor.OutcomeLeaseEnded)
		case now.After(r.ends) && r.stopping:
			w.end(k, executor.OutcomeStopped)
		case now.After(r.ends):
			w.end(k, executor.OutcomeDone)
		}
	}
}

func (w *worker) end(k executor.Run, outcome executor.Outcome) {
	number := w.runs[k].number
	delete(w.runs, k)
	w.fleet.running[k]--
	w.settled[k] = max(w.settled[k], number)
	w.next++
	named := k
	named.Run = number
	w.ended = append(w.ended, executor.Ended{Number: w.next, Run: named, Outcome: outcome})
}

// clock is the worker's own steady clock, which began with its life.
func (w *worker) clock(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(w.born)) + time.Hour
}

func (w *worker) at(clock time.Duration) time.Time {
	return time.UnixMilli(w.born).Add(clock - time.Hour)
}

func (w *worker) answer(verdict executor.Status) executor.Answer {
	return executor.Answer{Status: verdict, Clock: w.clock(time.Now()), HasClock: true}
}

// meet loses a share of the orders; a lost one is carried out at once, later, or never.
func (w *worker) meet(to executor.Address, carry func(late bool) executor.Answer) executor.Answer {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if to.Worker != "" && to.Worker != w.name {
		return w.answer(executor.OtherIncarnation)
	}
	if w.fleet.rand.Float64() >= w.lost {
		return carry(false)
	}
	switch born := w.born; w.fleet.rand.IntN(3) {
	case 0:
		carry(false)
	case 1:
		time.AfterFunc(time.Duration(w.fleet.rand.Int64N(int64(latestOrder))), func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			if w.born == born {
				carry(true)
			}
		})
	default:
	}
	return executor.Answer{}
}

func (w *worker) renewTo(until time.Duration) {
	at := w.at(until)
	if latest := time.Now().Add(longestHold); at.After(latest) {
		at = latest
	}
	if at.After(w.until) {
		w.until = at
	}
}

// Start implements executor.Executor.
func (w *worker) Start(_ context.Context, to executor.Address, o executor.Start) executor.Answer {
	return w.meet(to, func(late bool) executor.Answer {
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
		case o.Run.Run <= w.settled[k]:
			return w.answer(executor.Outdated)
		}
		f := w.fleet
		if key := fmt.Sprintf("%s.%d.%s", k.Job, k.Step, w.name); o.Ticket != key || now.After(f.tickets[key]) {
			return w.answer(executor.NoTicket)
		}
		w.token = o.Token
		w.renewTo(o.Until)
		if at, ok := f.canceled[k.Job]; ok && now.Sub(at) > cancelLimit && !late {
			f.violate("task %v starts %v after its job was canceled", k, now.Sub(at))
		}
		if f.running[k] > 0 {
			f.violate("task %v runs twice: run %d on %s", k, o.Run.Run, w.name)
		}
		if f.done[k] {
			f.violate("task %v starts after it was done: run %d on %s", k, o.Run.Run, w.name)
		}
		if len(w.runs) >= roomOfFleet {
			f.violate("%s has no room for %v", w.name, o.Run)
		}
		w.runs[k] = &fleetRun{number: o.Run.Run, ends: now.Add(taskLength)}
		f.running[k]++
		f.started[k.Job] = true
		return w.answer(executor.Done)
	})
}

// Stop implements executor.Executor.
func (w *worker) Stop(_ context.Context, to executor.Address, o executor.Stop) executor.Answer {
	return w.meet(to, func(bool) executor.Answer {
		if o.Token < w.token {
			return w.answer(executor.Fenced)
		}
		w.token = o.Token
		k := o.Run
		k.Run = 0
		w.settled[k] = max(w.settled[k], o.Run.Run)
		if r := w.runs[k]; r != nil && r.number == o.Run.Run && !r.stopping {
			r.stopping, r.ends = true, time.Now().Add(stopLength)
		}
		return w.answer(executor.Done)
	})
}

// Renew implements executor.Executor. It waits for an end as long as the order says.
func (w *worker) Renew(ctx context.Context, to executor.Address, o executor.Renew) (executor.Report, executor.Answer) {
	report := executor.Report{}
	answer := w.meet(to, func(bool) executor.Answer { return w.renew(o) })
	for wait := time.Now().Add(o.Wait); answer.Status == executor.Done && time.Now().Before(wait) && ctx.Err() == nil; {
		w.fleet.mu.Lock()
		ends := len(w.ended)
		w.fleet.mu.Unlock()
		if ends > 0 {
			break
		}
		time.Sleep(fleetPulse)
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	report.StartedUnixMs = w.born
	report.Ended = append(report.Ended, w.ended...)
	for k, r := range w.runs {
		named := k
		named.Run = r.number
		// The percentage rises with each look, as the runs are short.
		report.Running = append(report.Running, executor.Running{Run: named, Percent: 100})
	}
	answer.Clock = w.clock(time.Now())
	return report, answer
}

func (w *worker) renew(o executor.Renew) executor.Answer {
	if o.Token < w.token {
		return w.answer(executor.Fenced)
	}
	w.token = o.Token
	if o.Until > 0 {
		w.renewTo(o.Until)
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
