// Package controller runs the one thread that owns a node's control state: the consensus state machine, the cell, and on
// the leader the leases and the planner.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/lessor"
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/controld/internal/scheduler"
	"flamingodrift.example/controld/internal/store"
	"flamingodrift.example/controld/internal/tally"
	"flamingodrift.example/core/journal"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/meter"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/replicator"
	"flamingodrift.example/core/wire"
)

const (
	// ticksPerHeartbeat is how often the loop turns by itself, so that a heartbeat is late by a quarter of its interval at
	// most. Each turn costs processor time on an idle node.
	ticksPerHeartbeat = 4
	queueLength       = 1024
	// maxTurnEvents bounds the events that one turn of the loop handles before it syncs.
	maxTurnEvents = 256
	// defaultSnapshotBytes is the journal size that triggers a snapshot.
	defaultSnapshotBytes = 4 << 20
	// keptEntries stay in memory before a snapshot, so that a follower that lags a little needs no snapshot.
	keptEntries = 500
	// diskReserve is the free space below which changes are refused, so that leases and placements can go on.
	diskReserve       = 32 << 20
	diskCheckInterval = time.Second
	diskFullBackoff   = time.Second
	// reloadPause is how soon a data folder is read again whose disk refused every write.
	reloadPause = 200 * time.Millisecond
)

// Config holds what a Controller needs.
type Config struct {
	Member *wire.Member
	// Peers are the addresses of all controld processes of the cell.
	Peers []string
	// Voters is how many voters the group should have.
	Voters   int
	Store    *store.Store
	Contents *store.Contents
	// FreeBytes returns the space left for the data folder; nil asks the store.
	FreeBytes func() (int64, error)
	// SnapshotBytes is the journal size that triggers a snapshot; 0 is 4 MiB.
	SnapshotBytes int64
	Clock         Clock
	Messenger     Messenger
	Logger        *slog.Logger
	Meter         *meter.Meter
	Heartbeat     time.Duration
	ElectionMin   time.Duration
	ElectionMax   time.Duration
	// Rand spreads the election timeouts; nil makes a random one.
	Rand      *rand.Rand
	Registrar lessor.Config
	Planner   planner.Config
	// Queues is set where callers submit jobs to queues; nil leaves that part out.
	Queues *QueueConfig
}

// Clock is monotonic time that also counts while the process is stopped.
type Clock interface {
	Now() time.Duration
}

// Messenger reaches the other nodes.
type Messenger interface {
	// Call sends a request and waits for its reply.
	Call(ctx context.Context, address string, request *wire.Request) (*wire.Reply, error)
	// Send sends a request without a reply; it may be lost.
	Send(address string, request *wire.Request)
}

// Controller owns the control state of a node. Its exported methods may be called from any thread.
type Controller struct {
	cfg   Config
	queue chan event

	repl    *replicator.Replicator
	cell    *cell.Cell
	applied uint64
	waiters map[uint64]waiter

	// The fields below are set while this node leads.
	leads bool
	reg   *lessor.Lessor
	plan  *planner.Planner
	tally *tally.Tally
	// scheduler carries out the duties for submitted jobs; nil without queues.
	scheduler *scheduler.Scheduler
	// orders wait for their turn, and inProgress counts the calls that are answered at once.
	orders     []order
	inProgress int
	// checkpoints holds when a checkpoint of a stopping attempt was first asked for.
	checkpoints map[uint64]time.Duration
	deciding    bool
	workerBatch []*wire.WorkerEvent
	pending     map[string]bool
	seenAlive   map[string]time.Duration
	leadingTerm uint64
	// leadingSince is when the present term of leading began.
	leadingSince time.Duration

	lastJoin    time.Duration
	joinAt      int
	addressBook map[string]string
	diskFull    bool
	diskChecked time.Duration
	blockedTill time.Duration
	diskSpeed   diskSpeed
	// lastSnapshot is the index of the newest snapshot that the journal follows.
	lastSnapshot    uint64
	snapshotRetryAt time.Duration
	removed         bool
	// stopBy is when a planned stop ends even without a successor; 0 when no stop is planned.
	stopBy     time.Duration
	handedOver bool

	// stopped is closed when the control thread has ended.
	stopped chan struct{}

	status atomic.Pointer[Status]
	// async runs a call that blocks, beside the control thread.
	async func(call func())
	// pause waits on the control thread.
	pause func(time.Duration)
}

// Status is a copy of the node's state for health answers.
type Status struct {
	Role     string `json:"role"`
	Leader   string `json:"leader"`
	Term     uint64 `json:"term"`
	Commit   uint64 `json:"commit"`
	Member   bool   `json:"member"`
	Voter    bool   `json:"voter"`
	DiskFull bool   `json:"disk_full"`
}

type waiter struct {
	term uint64
	done func(*wire.Result)
}

// New returns a Controller that has not started.
func New(cfg Config) (*Controller, error) {
	if cfg.FreeBytes == nil {
		cfg.FreeBytes = cfg.Store.FreeBytes
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = defaultSnapshotBytes
	}
	c := &Controller{
		cfg: cfg, queue: make(chan event, queueLength), waiters: map[uint64]waiter{},
		addressBook: map[string]string{}, cell: cell.New(),
		async: func(call func()) { go call() }, stopped: make(chan struct{}), pause: time.Sleep,
	}
	c.status.Store(&Status{Role: "follower"})
	if cfg.Contents.State != nil {
		restored, err := cell.Restore(cfg.Contents.State)
		if err != nil {
			return nil, fmt.Errorf("restore cell from snapshot: %w", err)
		}
		c.cell = restored
		c.applied = cfg.Contents.Restored.Snapshot.GetIndex()
		c.lastSnapshot = c.applied
	}
	c.repl = c.newReplicator(cfg.Contents.Restored, cfg.Clock.Now())
	return c, nil
}

func (c *Controller) newReplicator(restored replicator.RestoredState, now time.Duration) *replicator.Replicator {
	return replicator.New(replicator.Config{
		ID: c.cfg.Store.NodeID(), Heartbeat: c.cfg.Heartbeat, ElectionMin: c.cfg.ElectionMin,
		ElectionMax: c.cfg.ElectionMax, DriftPercent: c.cfg.Registrar.DriftPercent,
		Rand:      c.cfg.Rand,
		Snapshots: c.cfg.Store,
	}, restored, now)
}

// Run owns the control state until the context ends; a leader then hands over first, which takes ElectionMax at most. An
// error means that the node must stop: ErrRemoved, a *journal.CorruptionError, or a write that failed.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.cfg.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	defer close(c.stopped)
	defer c.failWaiters()
	stop := ctx.Done()
	for {
		select {
		case <-stop:
			stop = nil
		case e := <-c.queue:
			c.handle(e, c.cfg.Clock.Now())
		case <-ticker.C:
		}
		c.handleQueued()
		if err := c.turn(c.cfg.Clock.Now()); err != nil {
			return err
		}
		if ctx.Err() != nil && c.mayStop(c.cfg.Clock.Now()) {
			return nil
		}
	}
}

func (c *Controller) handleQueued() {
	for range maxTurnEvents {
		select {
		case e := <-c.queue:
			// The clock is read for each event: the process may have been paused between two of them.
			c.handle(e, c.cfg.Clock.Now())
		default:
			return
		}
	}
}

// turn advances timeouts, proposes what the leader decided, and does what the consensus state machine asks for.
func (c *Controller) turn(now time.Duration) error {
	c.checkDisk(now)
	c.compareDisk()
	c.repl.Tick(now)
	c.checkLeadership(now)
	switch {
	case !c.leads:
		c.seekMembership(now)
	case !c.repl.HandingOver():
		c.lead(now)
		c.giveWay(now)
	}
	if err := c.pump(); err != nil {
		return err
	}
	c.checkLeadership(c.cfg.Clock.Now())
	c.publish()
	return c.checkRemoved()
}

func (c *Controller) pump() error {
	for {
		ready := c.repl.Ready()
		if ready.Empty() {
			return c.snapshotIfDue()
		}
		ready.Messages = c.sendEarly(ready)
		if err := c.persist(ready); err != nil {
			if errors.Is(err, journal.ErrDiskFull) {
				return c.reopen()
			}
			return err
		}
		c.repl.MarkPersisted(c.cfg.Clock.Now())
		c.sendAll(ready.Messages)
		if err := c.applyAll(ready.Committed); err != nil {
			return err
		}
	}
}

// sendEarly sends a leader's new entries before they are on its own disk, so that the followers write them at the same
// time; the leader counts its own copy only after the sync. It returns the messages that have to wait. A new term or vote
// must be on the disk before anything is sent. Without queues nothing is sent early, so that a change which did not fit on
// the leader's disk is known to be refused.
func (c *Controller) sendEarly(ready replicator.Ready) []*wire.PeerMessage {
	if c.cfg.Queues == nil || ready.Install != nil {
		return ready.Messages
	}
	for _, record := range ready.Records {
		if record.GetHardState() != nil {
			return ready.Messages
		}
	}
	var early, late []*wire.PeerMessage
	for _, message := range ready.Messages {
		if message.GetAppendRequest() != nil {
			early = append(early, message)
		} else {
			late = append(late, message)
		}
	}
	c.sendAll(early)
	return late
}

func (c *Controller) persist(ready replicator.Ready) error {
	if ready.Install != nil {
		restored, err := cell.Restore(ready.Install.GetState())
		if err != nil {
			return fmt.Errorf("restore cell from the leader's snapshot: %w", err)
		}
		if err := c.cfg.Store.SaveSnapshot(ready.Install); err != nil {
			return err
		}
		if err := c.cfg.Store.ReplaceJournal(ready.Install.GetMeta(), c.repl.HardState(), ready.Tail); err != nil {
			return err
		}
		c.cell, c.applied = restored, ready.Install.GetMeta().GetIndex()
		c.lastSnapshot = c.applied
		c.failWaiters()
		logger.SnapshotInstalled.Log(c.cfg.Logger, "index", c.applied)
	}
	if len(ready.Records) == 0 {
		return nil
	}
	began := c.cfg.Clock.Now()
	if err := c.cfg.Store.Append(ready.Records); err != nil {
		return err
	}
	c.diskSpeed.synced(c.repl.LastIndex(), c.cfg.Clock.Now()-began > c.cfg.Heartbeat)
	return nil
}

func (c *Controller) applyAll(entries []*wire.Entry) error {
	for _, entry := range entries {
		if entry.GetIndex() <= c.applied {
			continue
		}
		result := &wire.Result{}
		switch entry.GetKind() {
		case wire.EntryKind_ENTRY_KIND_COMMAND:
			command := &wire.Command{}
			if err := proto.Unmarshal(entry.GetData(), command); err != nil {
				return fmt.Errorf("entry %d does not decode: %w", entry.GetIndex(), err)
			}
			result = c.apply(command)
		case wire.EntryKind_ENTRY_KIND_MEMBERSHIP:
			logger.MemberChanged.Log(c.cfg.Logger, "index", entry.GetIndex())
		default:
		}
		c.applied = entry.GetIndex()
		c.answer(entry, result)
	}
	return nil
}

func (c *Controller) answer(entry *wire.Entry, result *wire.Result) {
	w, ok := c.waiters[entry.GetIndex()]
	if !ok {
		return
	}
	delete(c.waiters, entry.GetIndex())
	if w.term != entry.GetTerm() {
		result = lostLeadership()
	}
	w.done(result)
}

// lostLeadership is the answer to a proposal that may or may not be committed by a later leader.
func lostLeadership() *wire.Result {
	return &wire.Result{
		Reason: reason.NoLeader.String(),
		Detail: "leadership changed before the change was confirmed; send it again with the same change id",
	}
}

// failUncommitted answers the proposals that are not known to be committed; the others are answered when applied.
func (c *Controller) failUncommitted() {
	for index, w := range c.waiters {
		if index > c.repl.Commit() {
			delete(c.waiters, index)
			w.done(lostLeadership())
		}
	}
}

func (c *Controller) failWaiters() {
	for index, w := range c.waiters {
		delete(c.waiters, index)
		w.done(lostLeadership())
	}
}

// propose appends a command to the log. done is called on the control thread with the result, once.
func (c *Controller) propose(now time.Duration, command *wire.Command, done func(*wire.Result)) {
	command.NowUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		done(&wire.Result{Reason: reason.RequestInvalid.String(), Detail: err.Error()})
		return
	}
	index, term, err := c.repl.Propose(now, data)
	if err != nil {
		done(lostLeadership())
		return
	}
	c.waiters[index] = waiter{term: term, done: done}
}

// Status returns a copy of the node's state.
func (c *Controller) Status() *Status { return c.status.Load() }

func (c *Controller) publish() {
	s := &Status{
		Role: "follower", Leader: c.memberName(c.repl.LeaderID()), Term: c.repl.Term(), Commit: c.repl.Commit(),
		DiskFull: c.diskFull, Member: c.isMember(), Voter: c.findMember(c.repl.ID()).GetVoter(),
	}
	if c.leads {
		s.Role = "leader"
	}
	if *s != *c.status.Load() {
		c.status.Store(s)
	}
}
