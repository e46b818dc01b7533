package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/allocator"
	"flamingodrift.example/controld/internal/scheduler"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/wire"
)

// fakeFleet is a set of fake workers that receive orders by call and check the guarantees to callers on each start.
type fakeFleet struct {
	t       *testing.T
	group   *group
	rand    *rand.Rand
	workers map[string]*fakeWorker
	// lossRate is the fraction of orders without an answer. Some of those are carried out, some of them late.
	lossRate float64
	delayed  []func()
	running  map[executor.Run]string
	done     map[executor.Run]bool
	starts   int
	// startOrders is the number of start orders that arrived.
	startOrders int
	// capacity is how many runs each worker has room for.
	capacity int
	// runDuration is how long a run takes that starts now.
	runDuration time.Duration
	// stopDuration is how long a run goes on after an order to stop.
	stopDuration time.Duration
	// losesStops makes all stop orders get lost.
	losesStops bool
	// forgetsLostEnds lets a task start again after it was done if its worker has ended, or its lease was over, before the
	// end was acknowledged.
	forgetsLostEnds bool
	// longestLease is the longest lease that workers accept.
	longestLease time.Duration
	// waiting holds the calls that wait for simulated time to pass. yielded receives a value when a call waits or has ended.
	waiting []waitingCall
	yielded chan struct{}
}

// waitingCall is a call that goes on when wake is closed.
type waitingCall struct {
	until time.Duration
	wake  chan struct{}
}

type fakeWorker struct {
	// born is the start time of the worker's incarnation.
	born int64
	// startedAt is when the worker's clock showed 0, and slowness by how much it is slower than the true time.
	startedAt time.Duration
	slowness  float64
	// beganAt is when the incarnation began.
	beganAt time.Duration
	// silentUntil is until when no order reaches the worker.
	silentUntil time.Duration
	// brokenConnections is how many open connections of the leader ended with the former incarnation. The next order on
	// each of them fails.
	brokenConnections int
	// answeredAt is when the worker last answered a renewal.
	answeredAt time.Duration
	token      uint64
	// leaseUntil is the end of the lease on the worker's clock.
	leaseUntil time.Duration
	runs       map[executor.Run]fakeRun
	// lastEndedRun is, by task, the highest number of a run that has ended or was ordered to stop. Runs up to that number
	// are not started any more.
	lastEndedRun map[executor.Run]int
	// ended holds the ends that are not acknowledged yet.
	ended         []executor.Ended
	lastEndNumber uint64
}

type fakeRun struct {
	number   int
	ends     time.Duration
	stopping bool
}

const (
	defaultRunDuration = 700 * time.Millisecond
	// orderTimeout is the timeout of an order that the worker answers at once, and dialTimeout that of a new connection.
	orderTimeout = 400 * time.Millisecond
	dialTimeout  = 300 * time.Millisecond
)

// taskOf returns the key of a run's task: the run without its number.
func taskOf(run executor.Run) executor.Run {
	run.Run = 0
	return run
}

func newFakeFleet(t *testing.T, seed uint64, count int) *fakeFleet {
	f := &fakeFleet{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*fakeWorker{}, running: map[executor.Run]string{},
		done: map[executor.Run]bool{}, capacity: 2, runDuration: defaultRunDuration, longestLease: 10 * time.Second,
	}
	for i := range count {
		f.workers[fmt.Sprintf("w%d", i)] = &fakeWorker{
			born: 1, runs: map[executor.Run]fakeRun{}, lastEndedRun: map[executor.Run]int{},
		}
	}
	return f
}

func (f *fakeFleet) config() *QueueConfig {
	return &QueueConfig{Executor: f, MinVoters: 3, Scheduler: scheduler.Config{
		Lease: 4 * time.Second, LongestLease: f.longestLease, RenewWait: 0, AnswerTimeout: orderTimeout,
		StartLease: 1500 * time.Millisecond, ClockDriftPercent: 2, EndedJobRetention: time.Hour,
		Logger:    slog.New(slog.DiscardHandler),
		Allocator: allocator.Config{StopTime: 400 * time.Millisecond, MaxReservingGangs: 2},
	}}
}

// advance ends the runs that are done or whose lease has expired, and sometimes carries out a delayed order.
func (f *fakeFleet) advance() {
	for name, w := range f.workers {
		if f.clock(w) > w.leaseUntil {
			f.forgetEnds(w)
		}
		for k, run := range w.runs {
			switch {
			case f.clock(w) > w.leaseUntil:
				f.end(name, k, executor.OutcomeLeaseEnded)
			case f.group.now >= run.ends && run.stopping:
				f.end(name, k, executor.OutcomeStopped)
			case f.group.now >= run.ends:
				f.done[k] = true
				f.end(name, k, executor.OutcomeDone)
			}
		}
	}
	if len(f.delayed) > 0 && f.rand.IntN(20) == 0 {
		order := f.delayed[0]
		f.delayed = f.delayed[1:]
		order()
	}
}

// forgetEnds forgets the successes that a worker has not reported for certain, if the fleet does so.
func (f *fakeFleet) forgetEnds(w *fakeWorker) {
	for _, e := range w.ended {
		if f.forgetsLostEnds && e.Outcome == executor.OutcomeDone {
			delete(f.done, taskOf(e.Run))
		}
	}
}

func (f *fakeFleet) end(name string, k executor.Run, outcome executor.Outcome) {
	w := f.workers[name]
	run := w.runs[k]
	delete(w.runs, k)
	delete(f.running, k)
	w.lastEndedRun[k] = max(w.lastEndedRun[k], run.number)
	w.lastEndNumber++
	id := k
	id.Run = run.number
	w.ended = append(w.ended, executor.Ended{Number: w.lastEndNumber, Run: id, Outcome: outcome})
}

func (f *fakeFleet) answer(w *fakeWorker, status executor.Status) executor.Answer {
	return executor.Answer{Status: status, Clock: f.clock(w), HasClock: true}
}

// clock returns the time on the worker's clock.
func (f *fakeFleet) clock(w *fakeWorker) time.Duration {
	return time.Duration(float64(f.group.now-w.startedAt) * (1 - w.slowness))
}

// extendLease takes the token and the end of the lease from an order.
func (f *fakeFleet) extendLease(w *fakeWorker, token uint64, until time.Duration) {
	w.token, w.leaseUntil = token, max(w.leaseUntil, min(until, f.clock(w)+f.longestLease))
}

// withFaults carries an order out by calling execute, except that it loses those to a silent worker, and loses or delays
// a lossRate fraction of orders and answers.
func (f *fakeFleet) withFaults(name string, timeout time.Duration, execute func() executor.Answer) executor.Answer {
	if answer := f.reach(name, timeout); answer.Status != executor.Done {
		return answer
	}
	if f.rand.Float64() >= f.lossRate {
		return execute()
	}
	switch f.rand.IntN(3) {
	case 0:
		execute()
	case 1:
		f.delayed = append(f.delayed, func() { execute() })
	default:
	}
	return executor.Answer{}
}

// Start implements executor.Executor.
func (f *fakeFleet) Start(_ context.Context, to executor.Address, o executor.Start) executor.Answer {
	f.startOrders++
	return f.withFaults(to.Worker, orderTimeout, func() executor.Answer { return f.start(to.Worker, o) })
}

func (f *fakeFleet) start(name string, o executor.Start) executor.Answer {
	w, k := f.workers[name], taskOf(o.Run)
	switch {
	case o.Token < w.token:
		return f.answer(w, executor.Fenced)
	case o.Until <= f.clock(w):
		return f.answer(w, executor.LeaseEnded)
	case w.runs[k].number == o.Run.Run:
		return f.answer(w, executor.Done)
	case o.Run.Run <= w.lastEndedRun[k]:
		return f.answer(w, executor.Outdated)
	}
	f.extendLease(w, o.Token, o.Until)
	require.Empty(f.t, f.running[k], "task %v runs twice at a time", k)
	require.False(f.t, f.done[k], "task %v starts again after it was done", k)
	require.Less(f.t, len(w.runs), f.capacity, "worker %s has capacity for %d runs", name, f.capacity)
	w.runs[k] = fakeRun{number: o.Run.Run, ends: f.group.now + f.runDuration}
	f.running[k] = name
	f.starts++
	return f.answer(w, executor.Done)
}

// Stop implements executor.Executor.
func (f *fakeFleet) Stop(_ context.Context, to executor.Address, o executor.Stop) executor.Answer {
	if f.losesStops {
		return executor.Answer{}
	}
	return f.withFaults(to.Worker, orderTimeout, func() executor.Answer {
		w, k := f.workers[to.Worker], taskOf(o.Run)
		if o.Token < w.token {
			return f.answer(w, executor.Fenced)
		}
		w.token = o.Token
		w.lastEndedRun[k] = max(w.lastEndedRun[k], o.Run.Run)
		run := w.runs[k]
		switch {
		case run.number != o.Run.Run || run.stopping:
		case f.stopDuration > 0:
			w.runs[k] = fakeRun{number: run.number, ends: f.group.now + f.stopDuration, stopping: true}
		default:
			f.end(to.Worker, k, executor.OutcomeStopped)
		}
		return f.answer(w, executor.Done)
	})
}

// Renew implements executor.Executor.
func (f *fakeFleet) Renew(_ context.Context, to executor.Address, o executor.Renew) (executor.Report, executor.Answer) {
	var report executor.Report
	answer := f.withFaults(to.Worker, o.Wait+orderTimeout, func() executor.Answer {
		w := f.workers[to.Worker]
		report.StartedUnixMs = w.born
		if o.Token < w.token {
			return f.answer(w, executor.Fenced)
		}
		f.extendLease(w, o.Token, o.Until)
		if !f.awaitEnd(to.Worker, o.Wait) {
			return executor.Answer{}
		}
		for len(w.ended) > 0 && w.ended[0].Number <= o.AckedEnd {
			w.ended = w.ended[1:]
		}
		report.Ended = append([]executor.Ended(nil), w.ended...)
		for k, run := range w.runs {
			id := k
			id.Run = run.number
			// Fake runs report progress in every report.
			report.Running = append(report.Running, executor.Running{Run: id, Percent: 100})
		}
		return f.answer(w, executor.Done)
	})
	return report, answer
}

// call makes a call to a node and returns a pointer to its reply, which is nil until the node replies.
func (g *group) call(node *testNode, call *wire.QueueCall) **wire.Reply {
	reply := new(*wire.Reply)
	node.ctl.handle(queueEvent{call, func(r *wire.Reply) { *reply = r }}, g.now)
	return reply
}

// callUntilOK repeats a call to the current leader until it succeeds.
func (g *group) callUntilOK(call *wire.QueueCall) *wire.QueueReply {
	g.t.Helper()
	for range 200 {
		leader := g.leader()
		if leader == nil {
			g.run(testTick)
			continue
		}
		reply := g.call(leader, call)
		for range 10 {
			if *reply != nil {
				break
			}
			g.run(testTick)
		}
		if (*reply).GetQueue().GetOutcome() == wire.QueueOutcome_QUEUE_OUTCOME_OK {
			return (*reply).GetQueue()
		}
		g.run(testTick)
	}
	require.Fail(g.t, "the call is not answered")
	return nil
}

func configureCall(version uint64) *wire.QueueCall {
	return &wire.QueueCall{Body: &wire.QueueCall_Configure{Configure: &wire.QueueConfig{
		Version: version, Document: []byte(fmt.Sprint(version)), Queues: []*wire.Queue{{
			Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 2, AllowanceMs: 60_000,
		}},
	}}}
}

// submitID returns the id of the job with a number.
func submitID(number int) string { return fmt.Sprintf("%016x", number) }

func submitCall(number int) *wire.QueueCall {
	return &wire.QueueCall{Body: &wire.QueueCall_Submit{Submit: &wire.JobCall{
		Host: "h", Path: "/q/" + submitID(number),
		Job: &wire.SubmittedJob{Steps: []*wire.JobStep{{Count: 2, CpuMillis: 1000, EstimateMs: 700}}},
	}}}
}

func stateCall(number int) *wire.QueueCall {
	return &wire.QueueCall{Body: &wire.QueueCall_State{State: &wire.JobCall{
		Host: "h", Path: "/q/" + submitID(number),
	}}}
}

func workerCall(name string) *wire.QueueCall {
	return &wire.QueueCall{Body: &wire.QueueCall_Worker{Worker: &wire.WorkerLife{
		Worker: name, BornUnixMs: 1, Address: name + ":1", Pool: "p", CpuMillis: 2000, MemoryMb: 1000,
	}}}
}

// Guards the guarantees to callers while orders and answers are lost or delayed and leaders freeze and thaw: no task
// runs twice at a time or again after it was done and no worker gets more than its capacity, which the fake fleet
// checks, and every accepted job completes.
func TestQueuesUnderFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := newFakeFleet(t, seed, 4)
			// The group exists before the fleet can use its clock.
			config := f.config()
			g := newGroupWithQueues(t, 3, config)
			f.group = g
			g.callUntilOK(configureCall(1))
			for name := range f.workers {
				g.callUntilOK(workerCall(name))
			}
			const jobs = 25
			frozen, wakeAt := (*testNode)(nil), time.Duration(0)
			f.lossRate = 0.15
			for number := range jobs {
				g.callUntilOK(submitCall(number))
				for range 25 {
					g.run(testTick)
					f.advance()
					switch {
					case frozen != nil && g.now > wakeAt:
						frozen.down, frozen = false, nil
					case frozen == nil && f.rand.IntN(150) == 0:
						if frozen = g.leader(); frozen != nil {
							frozen.down, wakeAt = true, g.now+time.Duration(f.rand.IntN(5000))*time.Millisecond
						}
					}
				}
			}
			if frozen != nil {
				frozen.down = false
			}
			f.lossRate = 0
			for range 1000 {
				g.run(testTick)
				f.advance()
			}
			for number := range jobs {
				require.Equal(t, wire.JobPhase_JOB_PHASE_COMPLETED, g.callUntilOK(stateCall(number)).GetPhase(), "job %d", number)
			}
			require.GreaterOrEqual(t, f.starts, 2*jobs)
		})
	}
}

// With queues, entries are sent before the leader's own sync. A proposal that did not fit on the leader's disk must
// therefore be reported as unknown and not as refused: a follower may have it, and a later leader may commit it.
func TestQueueProposalOnFullDiskIsUnknown(t *testing.T) {
	f := newFakeFleet(t, 1, 0)
	g := newGroupWithQueues(t, 3, f.config())
	f.group = g
	g.callUntilOK(configureCall(1))
	leader := g.leader()
	leader.fullFiles = allFiles
	reply := g.call(leader, submitCall(1))
	g.run(testTick)
	require.Equal(t, wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN, (*reply).GetQueue().GetOutcome())
	leader.fullFiles = noFile
	g.run(5 * time.Second)
	g.callUntilOK(submitCall(1))
	require.Equal(t, wire.JobPhase_JOB_PHASE_QUEUED, g.callUntilOK(stateCall(1)).GetPhase())
}

// Guards against accepting a configuration while the group has too few voters, when the loss of a disk could undo it.
func TestTooFewVotersRefuseConfiguration(t *testing.T) {
	f := newFakeFleet(t, 1, 0)
	config := f.config()
	config.MinVoters = 4
	g := newGroupWithQueues(t, 3, config)
	reply := g.call(g.leader(), configureCall(1))
	require.Equal(t, wire.QueueOutcome_QUEUE_OUTCOME_TURNED_AWAY, (*reply).GetQueue().GetOutcome())
}

// Operators may submit configurations concurrently: an older or repeated version must be acknowledged, change nothing,
// and never be read back.
func TestOlderConfigurationIsAcknowledged(t *testing.T) {
	f := newFakeFleet(t, 1, 0)
	g := newGroupWithQueues(t, 3, f.config())
	f.group = g
	for _, version := range []uint64{3, 2, 3, 1} {
		g.callUntilOK(configureCall(version))
		read := g.callUntilOK(&wire.QueueCall{Body: &wire.QueueCall_ReadConfig{ReadConfig: &wire.ReadConfig{}}})
		require.Equal(t, "3", string(read.GetDocument()))
	}
}

// Guards against a leader that thaws after the others have elected a new one and still answers from its old state or
// sends orders.
func TestThawedLeaderRefusesCalls(t *testing.T) {
	f := newFakeFleet(t, 1, 1)
	g := newGroupWithQueues(t, 3, f.config())
	f.group = g
	g.callUntilOK(configureCall(1))
	old := g.leader()
	old.down = true
	g.run(10 * time.Second)
	g.callUntilOK(configureCall(2))
	old.down = false
	reply := g.call(old, &wire.QueueCall{Body: &wire.QueueCall_ReadConfig{ReadConfig: &wire.ReadConfig{}}})
	require.NotNil(t, (*reply).GetRefusal())
	old.ctl.sendOrders(g.now)
	require.Zero(t, f.starts)
}

// A lost host must not stay a voter once a spare node has caught up, so that the group tolerates the next loss.
func TestSilentVoterIsReplaced(t *testing.T) {
	f := newFakeFleet(t, 1, 0)
	g := newGroupWithQueues(t, 3, f.config())
	f.group = g
	spare := &testNode{group: g, name: "spare", address: "10.0.1.9:1", freeBytes: ampleFreeBytes, fullFiles: noFile}
	lost := g.others(g.leader())[0]
	g.nodes = append(g.nodes, spare)
	spare.start(t.TempDir())
	for _, node := range g.nodes {
		node.ctl.cfg.Voters = 3
	}
	g.run(2 * time.Second)
	lost.down = true
	g.runUntil(2*testElectionMax, "the spare votes", func() bool {
		leader := g.leader()
		return leader != nil && leader.ctl.findMember(spare.ctl.repl.ID()).GetVoter()
	})
	require.False(t, g.leader().ctl.findMember(lost.ctl.repl.ID()).GetVoter())
	g.runUntil(2*removeAfter, "the lost host is removed", func() bool {
		return g.leader().ctl.findMember(lost.ctl.repl.ID()) == nil
	})
}

// Guards against a new leader calling all workers at once: the new connections kept the control goroutine from sending
// heartbeats, and the leader changed every second. Seen on fraser-lens-grown, day scale-1.
func TestNewLeaderLimitsConcurrentCalls(t *testing.T) {
	const workers = 300
	f := newFakeFleet(t, 1, workers)
	g := newGroupWithQueues(t, 3, f.config())
	f.group = g
	g.callUntilOK(configureCall(1))
	for name := range f.workers {
		g.callUntilOK(workerCall(name))
	}
	var pendingCalls []func()
	for _, node := range g.nodes {
		node.ctl.async = func(call func()) { pendingCalls = append(pendingCalls, call) }
	}
	g.leader().down = true
	g.runUntil(10*time.Second, "another leader", func() bool {
		return g.leader() != nil && g.leader().ctl.scheduler != nil
	})
	leader := g.leader()
	maxInProgress := 0
	for range 3 * workers {
		maxInProgress = max(maxInProgress, leader.ctl.callsInProgress)
		if len(pendingCalls) > 0 {
			call := pendingCalls[0]
			pendingCalls = pendingCalls[1:]
			call()
		}
		g.run(testTick)
	}
	require.Less(t, maxInProgress, workers, "the orders for all workers are in progress at a time")
	contacted := 0
	for _, w := range f.workers {
		if w.token>>30 == leader.ctl.repl.Term() {
			contacted++
		}
	}
	require.Equal(t, workers, contacted, "all workers hear from the new leader")
}

// Guards against a leader that was paused between its decision and the sending of an order: its lease had ended
// meanwhile, and it sent the order although another leader had taken over.
func TestOrderIsNotSentAfterLease(t *testing.T) {
	f := newFakeFleet(t, 1, 1)
	g := newGroupWithQueues(t, 3, f.config())
	f.group = g
	g.callUntilOK(configureCall(1))
	for name := range f.workers {
		g.callUntilOK(workerCall(name))
	}
	g.run(2 * time.Second)
	leader := g.leader()
	var paused []func()
	leader.ctl.async = func(call func()) { paused = append(paused, call) }
	g.callUntilOK(submitCall(1))
	g.run(10 * testTick)
	require.NotEmpty(t, paused)
	leader.down = true
	g.run(10 * time.Second)
	// The next leader has sent orders of its own.
	f.startOrders = 0
	for _, call := range paused {
		call()
	}
	require.Zero(t, f.startOrders)
}

// TestResubmissionToDroppedQueue guards against telling a caller that a stored job does not exist, because its queue was
// dropped from the configuration while the answer to the first attempt was lost.
func TestResubmissionToDroppedQueue(t *testing.T) {
	f := newFakeFleet(t, 1, 0)
	g := newGroupWithQueues(t, 3, f.config())
	f.group = g
	g.callUntilOK(configureCall(1))
	g.callUntilOK(submitCall(1))
	g.callUntilOK(&wire.QueueCall{Body: &wire.QueueCall_Configure{Configure: &wire.QueueConfig{Version: 2}}})
	require.Equal(t, outcomeOK, g.outcome(submitCall(1)))
	require.Equal(t, outcomeNoQueue, g.outcome(submitCall(2)))
}
