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

// fleet is a set of fake workers that take orders by call and hold the promises to callers against what they see.
type fleet struct {
	t       *testing.T
	group   *group
	rand    *rand.Rand
	workers map[string]*fakeWorker
	// lost is the share of orders without an answer, of which some are carried out late.
	lost    float64
	late    []func()
	running map[executor.Run]string
	done    map[executor.Run]bool
	starts  int
}

type fakeWorker struct {
	token   uint64
	until   time.Duration
	runs    map[executor.Run]fakeRun
	settled map[executor.Run]int
	ended   []executor.Ended
	next    uint64
}

type fakeRun struct {
	number int
	ends   time.Duration
}

const taskLength = 700 * time.Millisecond

// key names a task.
func key(run executor.Run) executor.Run {
	run.Run = 0
	return run
}

func newFleet(t *testing.T, seed uint64, count int) *fleet {
	f := &fleet{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*fakeWorker{}, running: map[executor.Run]string{},
		done: map[executor.Run]bool{},
	}
	for i := range count {
		f.workers[fmt.Sprintf("w%d", i)] = &fakeWorker{runs: map[executor.Run]fakeRun{}, settled: map[executor.Run]int{}}
	}
	return f
}

func (f *fleet) config() *QueueConfig {
	return &QueueConfig{Executor: f, MinVoters: 3, Scheduler: scheduler.Config{
		Lease: 4 * time.Second, LongestLease: 10 * time.Second, RenewWait: 0, AnswerTimeout: 400 * time.Millisecond, StartLease: 1500 * time.Millisecond,
		ClockDriftPercent: 2, EndedJobRetention: time.Hour, Logger: slog.New(slog.DiscardHandler),
		Allocator: allocator.Config{StopTime: 400 * time.Millisecond, MaxReservingGangs: 2},
	}}
}

// pass ends the runs whose time has come, and those whose lease is over.
func (f *fleet) pass() {
	for name, w := range f.workers {
		for k, run := range w.runs {
			switch {
			case f.group.now > w.until:
				f.end(name, k, executor.OutcomeLapsed)
			case f.group.now >= run.ends:
				f.done[k] = true
				f.end(name, k, executor.OutcomeDone)
			}
		}
	}
	if len(f.late) > 0 && f.rand.IntN(20) == 0 {
		late := f.late[0]
		f.late = f.late[1:]
		late()
	}
}

func (f *fleet) end(name string, k executor.Run, outcome executor.Outcome) {
	w := f.workers[name]
	run := w.runs[k]
	delete(w.runs, k)
	delete(f.running, k)
	w.settled[k] = max(w.settled[k], run.number)
	w.next++
	named := k
	named.Run = run.number
	w.ended = append(w.ended, executor.Ended{Number: w.next, Run: named, Outcome: outcome})
}

func (f *fleet) answer(verdict executor.Status) executor.Answer {
	return executor.Answer{Status: verdict, Clock: f.group.now, HasClock: true}
}

// meet loses some of the orders and answers; carry carries the order out.
func (f *fleet) meet(carry func() executor.Answer) executor.Answer {
	if f.rand.Float64() >= f.lost {
		return carry()
	}
	switch f.rand.IntN(3) {
	case 0:
		carry()
	case 1:
		f.late = append(f.late, func() { carry() })
	default:
	}
	return executor.Answer{}
}

// Start implements executor.Executor.
func (f *fleet) Start(_ context.Context, to executor.Address, o executor.Start) executor.Answer {
	return f.meet(func() executor.Answer { return f.start(to.Worker, o) })
}

func (f *fleet) start(name string, o executor.Start) executor.Answer {
	w, k := f.workers[name], key(o.Run)
	switch {
	case o.Token < w.token:
		return f.answer(executor.Fenced)
	case o.Until <= f.group.now:
		return f.answer(executor.LeaseEnded)
	case w.runs[k].number == o.Run.Run:
		return f.answer(executor.Done)
	case o.Run.Run <= w.settled[k]:
		return f.answer(executor.Outdated)
	}
	w.token, w.until = o.Token, max(w.until, o.Until)
	require.Empty(f.t, f.running[k], "task %v runs twice at a time", k)
	require.False(f.t, f.done[k], "task %v starts again after it was done", k)
	require.Less(f.t, len(w.runs), 2, "worker %s has room for 2 runs", name)
	w.runs[k] = fakeRun{number: o.Run.Run, ends: f.group.now + taskLength}
	f.running[k] = name
	f.starts++
	return f.answer(executor.Done)
}

// Stop implements executor.Executor.
func (f *fleet) Stop(_ context.Context, to executor.Address, o executor.Stop) executor.Answer {
	return f.meet(func() executor.Answer {
		w, k := f.workers[to.Worker], key(o.Run)
		if o.Token < w.token {
			return f.answer(executor.Fenced)
		}
		w.token = o.Token
		w.settled[k] = max(w.settled[k], o.Run.Run)
		if w.runs[k].number == o.Run.Run {
			f.end(to.Worker, k, executor.OutcomeStopped)
		}
		return f.answer(executor.Done)
	})
}

// Renew implements executor.Executor.
func (f *fleet) Renew(_ context.Context, to executor.Address, o executor.Renew) (executor.Report, executor.Answer) {
	report := executor.Report{StartedUnixMs: 1}
	answer := f.meet(func() executor.Answer {
		w := f.workers[to.Worker]
		if o.Token < w.token {
			return f.answer(executor.Fenced)
		}
		w.token, w.until = o.Token, max(w.until, o.Until)
		for len(w.ended) > 0 && w.ended[0].Number <= o.AckedEnd {
			w.ended = w.ended[1:]
		}
		report.Ended = append([]executor.Ended(nil), w.ended...)
		for k, run := range w.runs {
			named := k
			named.Run = run.number
			// The fake runs make progress with each look.
			report.Running = append(report.Running, executor.Running{Run: named, Percent: 100})
		}
		return f.answer(executor.Done)
	})
	return report, answer
}

// call makes a call at a node and returns where its reply appears.
func (g *group) call(node *testNode, call *wire.QueueCall) **wire.Reply {
	reply := new(*wire.Reply)
	node.ctl.handle(queueEvent{call, func(r *wire.Reply) { *reply = r }}, g.now)
	return reply
}

// insist repeats a call at whoever leads until it is answered with success.
func (g *group) insist(call *wire.QueueCall) *wire.QueueReply {
	g.t.Helper()
	for range 200 {
		leader := g.leader()
		if leader == nil {
			g.run(testTurn)
			continue
		}
		reply := g.call(leader, call)
		for range 10 {
			if *reply != nil {
				break
			}
			g.run(testTurn)
		}
		if (*reply).GetQueue().GetOutcome() == wire.QueueOutcome_QUEUE_OUTCOME_OK {
			return (*reply).GetQueue()
		}
		g.run(testTurn)
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

func submitCall(number int) *wire.QueueCall {
	return &wire.QueueCall{Body: &wire.QueueCall_Submit{Submit: &wire.JobCall{
		Host: "h", Path: fmt.Sprintf("/q/%016x", number),
		Job: &wire.SubmittedJob{Steps: []*wire.JobStep{{Count: 2, CpuMillis: 1000, EstimateMs: 700}}},
	}}}
}

func stateCall(number int) *wire.QueueCall {
	return &wire.QueueCall{Body: &wire.QueueCall_State{State: &wire.JobCall{Host: "h", Path: fmt.Sprintf("/q/%016x", number)}}}
}

func workerCall(name string) *wire.QueueCall {
	return &wire.QueueCall{Body: &wire.QueueCall_Worker{Worker: &wire.WorkerLife{
		Worker: name, BornUnixMs: 1, Address: name + ":1", Pool: "p", CpuMillis: 2000, MemoryMb: 1000,
	}}}
}

// TestQueuesUnderFaults guards the promises to callers while orders and answers are lost or late and leaders freeze and
// wake again: no task runs twice at a time or again after it was done, no worker gets more than its room (the fleet checks
// these), and every accepted job completes.
func TestQueuesUnderFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := newFleet(t, seed, 4)
			// The group is formed before the fleet knows its clock.
			config := f.config()
			g := newQueueGroup(t, 3, config)
			f.group = g
			g.insist(configureCall(1))
			for name := range f.workers {
				g.insist(workerCall(name))
			}
			const jobs = 25
			frozen, wakes := (*testNode)(nil), time.Duration(0)
			f.lost = 0.15
			for number := range jobs {
				g.insist(submitCall(number))
				for range 25 {
					g.run(testTurn)
					f.pass()
					switch {
					case frozen != nil && g.now > wakes:
						frozen.down, frozen = false, nil
					case frozen == nil && f.rand.IntN(150) == 0:
						if frozen = g.leader(); frozen != nil {
							frozen.down, wakes = true, g.now+time.Duration(f.rand.IntN(5000))*time.Millisecond
						}
					}
				}
			}
			if frozen != nil {
				frozen.down = false
			}
			f.lost = 0
			for range 1000 {
				g.run(testTurn)
				f.pass()
			}
			for number := range jobs {
				require.Equal(t, wire.JobPhase_JOB_PHASE_COMPLETED, g.insist(stateCall(number)).GetPhase(), "job %d", number)
			}
			require.GreaterOrEqual(t, f.starts, 2*jobs)
		})
	}
}

// TestQueueFullDisk guards that with queues, where entries are sent before the leader's own sync, a proposal that did not
// fit on the leader's disk is not said to be refused: a follower may have it, and a later leader may commit it.
func TestQueueFullDisk(t *testing.T) {
	f := newFleet(t, 1, 0)
	g := newQueueGroup(t, 3, f.config())
	f.group = g
	g.insist(configureCall(1))
	leader := g.leader()
	leader.full = everyFile
	reply := g.call(leader, submitCall(1))
	g.run(testTurn)
	require.Equal(t, wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN, (*reply).GetQueue().GetOutcome())
	leader.full = noFile
	g.run(5 * time.Second)
	g.insist(submitCall(1))
	require.Equal(t, wire.JobPhase_JOB_PHASE_QUEUED, g.insist(stateCall(1)).GetPhase())
}

// TestFewVotersAcceptNothing guards against accepting a configuration that the loss of a disk could take back while the
// group is being formed.
func TestFewVotersAcceptNothing(t *testing.T) {
	f := newFleet(t, 1, 0)
	config := f.config()
	config.MinVoters = 4
	g := newQueueGroup(t, 3, config)
	reply := g.call(g.leader(), configureCall(1))
	require.Equal(t, wire.QueueOutcome_QUEUE_OUTCOME_TURNED_AWAY, (*reply).GetQueue().GetOutcome())
}

// TestOlderConfigurationIsAcknowledged guards the operators' race: an older or repeated version is acknowledged, changes
// nothing, and is never read back.
func TestOlderConfigurationIsAcknowledged(t *testing.T) {
	f := newFleet(t, 1, 0)
	g := newQueueGroup(t, 3, f.config())
	f.group = g
	for _, version := range []uint64{3, 2, 3, 1} {
		g.insist(configureCall(version))
		read := g.insist(&wire.QueueCall{Body: &wire.QueueCall_ReadConfig{ReadConfig: &wire.ReadConfig{}}})
		require.Equal(t, "3", string(read.GetDocument()))
	}
}

// TestFrozenLeaderAnswersNothing guards against a leader that wakes after others have elected a new one, and still answers
// from its old state or sends orders.
func TestFrozenLeaderAnswersNothing(t *testing.T) {
	f := newFleet(t, 1, 1)
	g := newQueueGroup(t, 3, f.config())
	f.group = g
	g.insist(configureCall(1))
	old := g.leader()
	old.down = true
	g.run(10 * time.Second)
	g.insist(configureCall(2))
	old.down = false
	reply := g.call(old, &wire.QueueCall{Body: &wire.QueueCall_ReadConfig{ReadConfig: &wire.ReadConfig{}}})
	require.NotNil(t, (*reply).GetRefusal())
	old.ctl.sendOrders(g.now)
	require.Zero(t, f.starts)
}

// TestSilentVoterIsReplaced guards that a lost host does not stay a voter when a spare has caught up, so that the next
// loss is borne.
func TestSilentVoterIsReplaced(t *testing.T) {
	f := newFleet(t, 1, 0)
	g := newQueueGroup(t, 3, f.config())
	f.group = g
	spare := &testNode{group: g, name: "spare", address: "10.0.1.9:1", free: plentyOfSpace, full: noFile}
	lost := g.others(g.leader())[0]
	g.nodes = append(g.nodes, spare)
	spare.start(t.TempDir())
	for _, node := range g.nodes {
		node.ctl.cfg.Voters = 3
	}
	g.run(2 * time.Second)
	lost.down = true
	g.runUntil(4*replaceAfter, "the spare votes", func() bool {
		leader := g.leader()
		return leader != nil && leader.ctl.findMember(spare.ctl.repl.ID()).GetVoter()
	})
	require.Nil(t, g.leader().ctl.findMember(lost.ctl.repl.ID()))
}

// TestNewLeaderBoundsOrders guards a new leader against calling all workers at once: the new connections kept the control
// thread from its heartbeats, and leaders changed every second. Seen on fraser-lens-grown, day scale-1.
func TestNewLeaderBoundsOrders(t *testing.T) {
	const workers = 300
	f := newFleet(t, 1, workers)
	g := newQueueGroup(t, 3, f.config())
	f.group = g
	g.insist(configureCall(1))
	for name := range f.workers {
		g.insist(workerCall(name))
	}
	var waiting []func()
	for _, node := range g.nodes {
		node.ctl.async = func(call func()) { waiting = append(waiting, call) }
	}
	g.leader().down = true
	g.runUntil(10*time.Second, "another leader", func() bool { return g.leader() != nil && g.leader().ctl.scheduler != nil })
	leader := g.leader()
	most := 0
	for range 3 * workers {
		most = max(most, leader.ctl.inProgress)
		if len(waiting) > 0 {
			call := waiting[0]
			waiting = waiting[1:]
			call()
		}
		g.run(testTurn)
	}
	require.Less(t, most, workers, "the orders for all workers are in progress at a time")
	known := 0
	for _, w := range f.workers {
		if w.token>>30 == leader.ctl.repl.Term() {
			known++
		}
	}
	require.Equal(t, workers, known, "all workers hear from the new leader")
}
