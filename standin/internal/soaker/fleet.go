package soaker

import (
	"context"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/wire"
	"flamingodrift.example/platform/consenthandler"
	"flamingodrift.example/platform/workerserver"
	"flamingodrift.example/standin/internal/workspacechecker"
)

const (
	workerPort       = 8000
	maxRunsPerWorker = 3
	taskCPUMillis    = 1000
	taskDuration     = 300 * time.Millisecond
	// Long tasks take longer than the lease that a leader asks for.
	minLongTaskDuration = 7 * time.Second
	maxLongTaskDuration = 12 * time.Second
	stopDuration        = 50 * time.Millisecond
	// gangTimeout is how long a member of a gang waits for the others.
	gangTimeout = 3 * time.Second
	fleetTick   = 10 * time.Millisecond
	// Clocks of workers begin within maxClockStart and are slow by up to maxClockDrift.
	maxClockStart = 1000 * time.Hour
	maxClockDrift = 0.02
	maxOrderDelay = 4 * time.Second
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
// allows, that no workspace exceeds its limit, and that no task of a canceled job starts after cancelGrace, except by an
// order that arrives late. It records the jobs that started, so that the soak can check that no refused job is among them.
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
	// notes are the orders for former incarnations that have extended a lease, and the ends that do not count.
	notes []string
	// canceled maps job ids to when their cancellation was acknowledged.
	canceled map[string]time.Time
	// crashing has the ids of jobs whose first task crashes each worker that starts it, and crashes counts those workers.
	crashing map[string]bool
	crashes  map[string]int
	tickets  map[string]ticket
	consent  *http.Server
	// gangs maps the ids of jobs whose step is a gang to the number of members.
	gangs map[string]int
	// workspaceByJob maps the ids of jobs to their workspaces.
	workspaceByJob map[string]int
	workspaces     *workspacechecker.Checker
	// maxLease is the longest lease that workers accept.
	maxLease time.Duration
	// longJobInterval is the mean interval between jobs with long tasks, in jobs.
	longJobInterval uint32
	// lastStart is when the newest run of each task began.
	lastStart map[executor.Run]time.Time
	// onStart is closed when a worker that has restarted begins a run; nil if nobody waits for that.
	onStart chan struct{}
}

// ticket permits a step on one incarnation of a worker.
type ticket struct {
	key                string
	grantedAt, expires time.Time
}

// worker is a stand-in worker.
type worker struct {
	fleet         *fleet
	name          string
	address       string
	domain        int
	startedUnixMs int64
	startedAt     time.Time
	server        *http.Server
	link          *link
	// dark is set while the worker is down, and restarted once it has been.
	dark, restarted bool
	// clockStart is the reading of the worker's clock at its start, and clockRate its rate.
	clockStart time.Duration
	clockRate  float64
	// reportAt is when the worker reports itself next, and sequence the number of its last report.
	reportAt time.Time
	sequence uint64
	// leaseEndedAt is when the worker last had no lease.
	leaseEndedAt time.Time

	// token is the highest fencing token of any order so far.
	token    uint64
	leaseEnd time.Time
	// runs are the current runs by task, and newestEnded the highest run number of each task that has ended or been
	// stopped.
	runs        map[executor.Run]*fleetRun
	newestEnded map[executor.Run]int
	// ended are the ends that have not been acknowledged, and lastEnd is the number of the last end.
	ended   []executor.Ended
	endedAt map[uint64]time.Time
	lastEnd uint64
	// orderLoss is the share of orders that get no answer, 0 to 1.
	orderLoss float64
}

type fleetRun struct {
	number int
	token  uint64
	// startedAt is when the order came and workedFrom when the task, or all of its gang, was there; zero before that.
	startedAt, workedFrom time.Time
	endsAt                time.Time
	// stopping is set once the run was ordered to stop.
	stopping bool
}

func newFleet(cfg Config, subnet string, workspaces *workspacechecker.Checker) (*fleet, error) {
	f := &fleet{
		workspaces: workspaces, workspaceByJob: map[string]int{},
		maxLease: cfg.longestLease(), longJobInterval: cfg.longJobInterval(), gangs: map[string]int{},
		lastStart: map[executor.Run]time.Time{},
		rand:      rand.New(rand.NewPCG(cfg.Seed, 2)), began: time.Now(),
		running: map[executor.Run]int{}, done: map[executor.Run]bool{},
		crashing: map[string]bool{}, crashes: map[string]int{},
		started: map[string]bool{}, canceled: map[string]time.Time{}, tickets: map[string]ticket{},
	}
	for i := range cfg.Workers {
		w := &worker{fleet: f, name: fmt.Sprintf("i-%04d", i), address: fmt.Sprintf("%s.%d:%d", subnet, 101+i, workerPort)}
		w.domain = i % domains
		l, err := listenLink(w.address)
		if err != nil {
			return nil, fmt.Errorf("listen for worker %s: %w", w.name, err)
		}
		w.link = l
		w.reset(time.Now(), true)
		w.server = &http.Server{Handler: workerserver.New(w), ReadHeaderTimeout: time.Minute, ConnContext: withConn}
		go func() { _ = w.server.Serve(l) }()
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
		granted := fmt.Sprintf("%s.%d", key, len(f.tickets))
		f.tickets[granted] = ticket{key, time.Now(), time.Now().Add(ticketValidity)}
		consent.Tickets = append(consent.Tickets, executor.Ticket{Worker: name, Ticket: granted})
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

// recordNote records something that explains violations.
func (f *fleet) recordNote(format string, args ...any) {
	f.notes = append(f.notes, fmt.Sprintf("%.3f s: ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

func (f *fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations,
		fmt.Sprintf("%.3f s: ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// reset begins a new incarnation, which has no state of the previous one. The connections end with the process; with
// closes the peers notice that at once.
func (w *worker) reset(now time.Time, closes bool) {
	w.link.endConnections(closes)
	for k := range w.runs {
		w.removeRun(k, executor.OutcomeLeaseEnded)
	}
	w.startClock(now)
	w.startedAt, w.startedUnixMs, w.token, w.leaseEnd, w.lastEnd, w.ended = now, now.UnixMilli(), 0, now, 0, nil
	w.runs, w.newestEnded, w.endedAt = map[executor.Run]*fleetRun{}, map[executor.Run]int{}, map[uint64]time.Time{}
	w.sequence, w.reportAt = 0, now.Add(time.Duration(w.fleet.rand.Int64N(int64(maxFirstReport))))
}

// startClock lets the clock of a new incarnation begin anywhere, more often before the reading of the former one than
// after it.
func (w *worker) startClock(now time.Time) {
	limit := int64(maxClockStart)
	if former := w.clock(now); former > 0 && w.fleet.rand.IntN(2) == 0 {
		limit = int64(former)
	}
	w.clockStart = time.Duration(w.fleet.rand.Int64N(limit))
	w.clockRate = 1 - w.fleet.rand.Float64()*maxClockDrift
}

// incarnation returns the worker's next report about itself.
func (w *worker) incarnation() *wire.WorkerLife {
	w.sequence++
	return &wire.WorkerLife{
		Worker: w.name, BornUnixMs: w.startedUnixMs, Address: w.address, Pool: "pool", FailureDomain: domainName(w.domain),
		Rack: "r1", CpuMillis: maxRunsPerWorker * taskCPUMillis, MemoryMb: 1000, Sequence: w.sequence,
	}
}

// dueReports returns the reports that are due of the workers that can send them.
func (f *fleet) dueReports(now time.Time) []*wire.WorkerLife {
	f.mu.Lock()
	defer f.mu.Unlock()
	var due []*wire.WorkerLife
	for _, w := range f.workers {
		if now.After(w.reportAt) && !w.dark && w.link.isUp() {
			w.reportAt = now.Add(reportInterval)
			due = append(due, w.incarnation())
		}
	}
	return due
}

// restart begins a new incarnation of a worker.
func (f *fleet) restart(worker int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[worker].reset(time.Now(), true)
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
	if now.After(w.leaseEnd) {
		w.leaseEndedAt = now
	}
	for k, r := range w.runs {
		switch {
		case now.After(w.leaseEnd):
			w.endRun(k, executor.OutcomeLeaseEnded)
		case now.After(r.endsAt) && r.stopping:
			w.endRun(k, executor.OutcomeStopped)
		case now.After(r.endsAt) && r.workedFrom.IsZero():
			w.endRun(k, executor.OutcomeGangIncomplete)
		case now.After(r.endsAt):
			w.endRun(k, executor.OutcomeDone)
		}
	}
}

func (w *worker) endRun(k executor.Run, outcome executor.Outcome) {
	number := w.runs[k].number
	now := time.Now()
	w.newestEnded[k] = max(w.newestEnded[k], number)
	w.lastEnd++
	reported := k
	reported.Run = number
	w.ended = append(w.ended, executor.Ended{Number: w.lastEnd, Run: reported, Outcome: outcome})
	w.endedAt[w.lastEnd] = now
	w.removeRun(k, outcome)
}

// removeRun removes a run that has ended, and ends the other members of its gang.
func (w *worker) removeRun(k executor.Run, outcome executor.Outcome) {
	number := w.runs[k].number
	delete(w.runs, k)
	w.fleet.running[k]--
	if w.fleet.gangs[k.Job] == 0 {
		return
	}
	if outcome != executor.OutcomeDone {
		outcome = executor.OutcomeGangMemberEnded
	}
	w.fleet.gangMembers(k.Job, number, func(other *worker, member executor.Run, _ *fleetRun) {
		if other.runs[member] != nil {
			other.endRun(member, outcome)
		}
	})
}

// gangMembers calls a function for the current runs of a gang.
func (f *fleet) gangMembers(job string, number int, do func(*worker, executor.Run, *fleetRun)) {
	for _, w := range f.workers {
		for k, r := range w.runs {
			if k.Job == job && r.number == number {
				do(w, k, r)
			}
		}
	}
}

// clock returns the time of the worker's simulated monotonic clock.
func (w *worker) clock(now time.Time) time.Duration {
	return w.clockStart + time.Duration(float64(now.Sub(w.startedAt))*w.clockRate)
}

// timeAt returns the wall-clock time of a time of the worker's clock.
func (w *worker) timeAt(clock time.Duration) time.Time {
	return w.startedAt.Add(time.Duration(float64(clock-w.clockStart) / w.clockRate))
}

func (w *worker) answer(status executor.Status) executor.Answer {
	return executor.Answer{Status: status, Clock: w.clock(time.Now()), HasClock: true}
}

// deliver applies an order and returns its answer, except for a random share of orderLoss of the orders. Those get no
// answer and are applied at once, later, or never.
func (w *worker) deliver(ctx context.Context, to executor.Address, apply func(late bool) executor.Answer) executor.Answer {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if hasEnded(ctx) || w.dark {
		return executor.Answer{}
	}
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
	latest := w.clock(time.Now()) + w.fleet.maxLease
	if until > latest {
		// Leaders ask for less, so the end of this lease is on another incarnation's clock.
		w.fleet.recordNote("an order for a former incarnation extends the lease of %s", w.name)
	}
	if at := w.timeAt(min(until, latest)); at.After(w.leaseEnd) {
		w.leaseEnd = at
	}
}

// Start implements executor.Executor.
func (w *worker) Start(ctx context.Context, to executor.Address, o executor.Start) executor.Answer {
	return w.deliver(ctx, to, func(late bool) executor.Answer {
		k := o.Run
		k.Run = 0
		now := time.Now()
		f := w.fleet
		if o.Token < w.token {
			return w.answer(executor.Fenced)
		}
		w.token = o.Token
		if o.Until <= w.clock(now) {
			return w.answer(executor.LeaseEnded)
		}
		// The lease is also taken from starts that are rejected below.
		w.extendLease(o.Until)
		t := f.tickets[o.Ticket]
		switch {
		case w.runs[k] != nil && w.runs[k].number == o.Run.Run:
			return w.answer(executor.Done)
		case o.Run.Run <= w.newestEnded[k] || w.runs[k] != nil && o.Run.Run < w.runs[k].number:
			return w.answer(executor.Outdated)
		case t.key != fmt.Sprintf("%s.%d.%s", k.Job, k.Step, w.name) || now.After(t.expires) || t.grantedAt.Before(w.startedAt):
			return w.answer(executor.NoTicket)
		}
		if at, ok := f.canceled[k.Job]; ok && now.Sub(at) > cancelGrace && !late {
			f.recordViolation("task %v starts %v after its job was canceled", k, now.Sub(at))
		}
		r := &fleetRun{number: o.Run.Run, token: o.Token, startedAt: now}
		if f.running[k] > 0 {
			f.recordViolation("task %v runs twice: %s while %s", k, w.describe(r), f.describeRuns(k))
		}
		if f.done[k] {
			f.recordViolation("task %v starts after it was done: %s", k, w.describe(r))
		}
		if len(w.runs) >= maxRunsPerWorker {
			f.recordViolation("%s has no capacity for %v", w.name, o.Run)
		}
		w.runs[k], f.lastStart[k] = r, now
		f.checkWorkspace(w, k, r, now)
		f.beginWork(k, r, now)
		if w.restarted && f.onStart != nil {
			close(f.onStart)
			f.onStart = nil
		}
		f.running[k]++
		f.started[k.Job] = true
		if f.crashing[k.Job] && k.Step == 0 && k.Index == 0 {
			f.crashWorker(w, k, late)
		}
		return w.answer(executor.Done)
	})
}

// beginWork begins the work of a task. The members of a gang begin together.
func (f *fleet) beginWork(k executor.Run, r *fleetRun, now time.Time) {
	duration := taskDuration
	if hash := crc32.ChecksumIEEE([]byte(k.Job)); hash%f.longJobInterval == 0 {
		span := uint32((maxLongTaskDuration - minLongTaskDuration).Milliseconds())
		duration = minLongTaskDuration + time.Duration(hash/f.longJobInterval%span)*time.Millisecond
	}
	if size := f.gangs[k.Job]; size > 0 {
		present := 0
		f.gangMembers(k.Job, r.number, func(*worker, executor.Run, *fleetRun) { present++ })
		r.endsAt = now.Add(gangTimeout)
		if present == size {
			f.gangMembers(k.Job, r.number, func(_ *worker, _ executor.Run, member *fleetRun) {
				member.workedFrom, member.endsAt = now, now.Add(duration)
			})
		}
		return
	}
	r.workedFrom, r.endsAt = now, now.Add(duration)
}

// describe returns a run for the report.
func (w *worker) describe(r *fleetRun) string {
	return fmt.Sprintf("run %d on %s (%s, born %d) from term %d, started at %.3f s, lease until %.3f s", r.number, w.name,
		domainName(w.domain), w.startedUnixMs, r.token>>30, r.startedAt.Sub(w.fleet.began).Seconds(),
		w.leaseEnd.Sub(w.fleet.began).Seconds())
}

func (f *fleet) describeRuns(k executor.Run) string {
	var runs []string
	for _, w := range f.workers {
		if r := w.runs[k]; r != nil {
			runs = append(runs, w.describe(r))
		}
	}
	return strings.Join(runs, " and ")
}

// percent returns the progress of a run.
func (r *fleetRun) percent(now time.Time) int {
	if r.workedFrom.IsZero() {
		return 0
	}
	return min(100, int(100*now.Sub(r.workedFrom)/max(r.endsAt.Sub(r.workedFrom), 1)))
}

// markGang marks a job as one whose step is a gang.
func (f *fleet) markGang(job string, size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gangs[job] = size
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
			w.reset(time.Now(), true)
		}
	})
}

// Stop implements executor.Executor.
func (w *worker) Stop(ctx context.Context, to executor.Address, o executor.Stop) executor.Answer {
	return w.deliver(ctx, to, func(bool) executor.Answer {
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
	answer := w.deliver(ctx, to, func(bool) executor.Answer { return w.renew(o) })
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
		report.Running = append(report.Running, executor.Running{Run: reported, Percent: r.percent(time.Now())})
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
			w.acknowledgeDone(e)
		}
		w.ended = w.ended[1:]
	}
	return w.answer(executor.Done)
}

// acknowledgeDone notes that the end of a run that was done is acknowledged. It does not count if the worker's lease has
// lapsed since then.
func (w *worker) acknowledgeDone(e executor.Ended) {
	k, f, at := e.Run, w.fleet, w.endedAt[e.Number]
	k.Run = 0
	if w.leaseEndedAt.After(at) {
		f.recordNote("run %d of task %v was done on %s at %.3f s, is acknowledged after its lease lapsed at %.3f s", e.Run.Run, k,
			w.name, at.Sub(f.began).Seconds(), w.leaseEndedAt.Sub(f.began).Seconds())
		return
	}
	f.done[k] = true
	if f.lastStart[k].After(at) {
		f.recordViolation("task %v started again after run %d was done on %s, which is now acknowledged", k, e.Run.Run, w.name)
	}
}
