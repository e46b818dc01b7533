// Package controller runs a node's control goroutine: the single goroutine that owns the consensus state machine, the
// cell and, on the leader, the leases, the planner and the scheduler. Other goroutines reach that state only through
// events on its queue.
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
	// ticksPerHeartbeat is how often the loop runs per heartbeat interval without events: a heartbeat is late by a quarter
	// of its interval at most. Each iteration costs processor time on an idle node.
	ticksPerHeartbeat  = 4
	eventQueueCapacity = 1024
	// maxEventsPerIteration bounds the events that one iteration of the loop handles before it syncs the journal.
	maxEventsPerIteration = 256
	// defaultSnapshotBytes is the journal size that triggers a snapshot.
	defaultSnapshotBytes = 4 << 20
	// retainedEntries is how many entries before a snapshot stay in memory, so that a follower that lags a little needs no
	// snapshot.
	retainedEntries = 500
	// diskReserveBytes is the free space below which changes are refused; leases and placements still fit into it.
	diskReserveBytes  = 32 << 20
	diskCheckInterval = time.Second
	// diskFullBackoff is how long the disk counts as full after a write that did not fit.
	diskFullBackoff = time.Second
	// reloadRetryInterval is the interval between attempts to read the data folder while its disk refuses every write.
	reloadRetryInterval = 200 * time.Millisecond
)

// Config holds the settings and dependencies of a Controller.
type Config struct {
	Member *wire.Member
	// Peers holds the addresses of all controld processes of the cell.
	Peers []string
	// Voters is the intended number of voters of the consensus group.
	Voters   int
	Store    *store.Store
	Contents *store.Contents
	// FreeBytes returns the free space for the data folder; nil selects Store.FreeBytes.
	FreeBytes func() (int64, error)
	// SnapshotBytes is the journal size that triggers a snapshot; 0 selects 4 MiB.
	SnapshotBytes int64
	Clock         Clock
	Messenger     Messenger
	Logger        *slog.Logger
	Meter         *meter.Meter
	Heartbeat     time.Duration
	ElectionMin   time.Duration
	ElectionMax   time.Duration
	// Rand randomizes the election timeouts; nil selects a generator with a random seed.
	Rand    *rand.Rand
	Lessor  lessor.Config
	Planner planner.Config
	// Queues is set where callers submit jobs to queues; nil disables queues.
	Queues *QueueConfig
}

// Clock is a monotonic clock that also advances while the process is suspended.
type Clock interface {
	Now() time.Duration
}

// Messenger sends requests to the other nodes.
type Messenger interface {
	// Call sends a request and waits for its reply.
	Call(ctx context.Context, address string, request *wire.Request) (*wire.Reply, error)
	// Send sends a request without waiting for a reply; the request may be lost.
	Send(address string, request *wire.Request)
}

// Controller owns the control state of a node. Its exported methods are safe for concurrent use.
type Controller struct {
	cfg    Config
	events chan event

	repl    *replicator.Replicator
	cell    *cell.Cell
	applied uint64
	waiters map[uint64]waiter

	// The fields from here to leaderSince are used while this node leads.
	leading bool
	lessor  *lessor.Lessor
	planner *planner.Planner
	tally   *tally.Tally
	// scheduler schedules the runs of submitted jobs; nil without queues.
	scheduler *scheduler.Scheduler
	// orders holds the orders that are not sent yet. callsInProgress counts the calls under way to which
	// maxCallsInProgress applies.
	orders          []order
	callsInProgress int
	// reportedAt holds when the leader first heard that an attempt runs. Older entries are dropped.
	reportedAt map[uint64]time.Duration
	// checkpointRequests maps a stopping attempt to the time when a checkpoint of it was first requested.
	checkpointRequests map[uint64]time.Duration
	// decisionsInLog is set while decisions of the planner are proposed and not applied yet.
	decisionsInLog bool
	// workerEvents holds the worker events that the next iteration proposes.
	workerEvents []*wire.WorkerEvent
	// leaves holds the messages of leaving workers that are not answered yet.
	leaves []pendingLeave
	// inFlight holds the keys of events that are queued or proposed and not applied yet.
	inFlight   map[string]bool
	leaderTerm uint64
	// leaderSince is when this node became the leader of leaderTerm.
	leaderSince time.Duration

	// reportsKnownAt is the latest time at which this node led with the leader lease, and took the reports of workers.
	reportsKnownAt time.Duration

	lastJoin time.Duration
	// nextPeer counts the join requests; modulo the number of peers it selects the next one.
	nextPeer int
	// knownAddresses maps the ids of members to their addresses, as replies to join requests listed them.
	knownAddresses map[string]string
	diskFull       bool
	lastDiskCheck  time.Duration
	// diskBackoffUntil is when the disk no longer counts as full because of a failed write.
	diskBackoffUntil time.Duration
	diskSpeed        diskSpeed
	disk             diskSync
	// journalBytes is the size of the journal as last read. It can be read only while no sync is running.
	journalBytes int64
	// lastSnapshot is the index of the stored snapshot that the journal continues.
	lastSnapshot    uint64
	snapshotRetryAt time.Duration
	removed         bool
	// stopDeadline is when a planned stop completes even without a successor; 0 when no stop is planned.
	stopDeadline time.Duration
	handedOver   bool

	// stopped is closed when the control goroutine ends.
	stopped chan struct{}

	status atomic.Pointer[Status]
	// lease is nil while this node does not lead.
	lease atomic.Pointer[orderLease]
	// async runs a blocking call outside the control goroutine; asyncSync does the same for a sync of the journal.
	async     func(call func())
	asyncSync func(sync func())
	// sleep blocks the control goroutine.
	sleep func(time.Duration)
}

// Status is a copy of the node's state for health checks.
type Status struct {
	Role     string `json:"role"`
	Leader   string `json:"leader"`
	Term     uint64 `json:"term"`
	Commit   uint64 `json:"commit"`
	Member   bool   `json:"member"`
	Voter    bool   `json:"voter"`
	DiskFull bool   `json:"disk_full"`
}

// waiter is a proposal whose proposer waits for the result.
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
		cfg: cfg, events: make(chan event, eventQueueCapacity), waiters: map[uint64]waiter{},
		knownAddresses: map[string]string{}, cell: cell.New(),
		async: func(call func()) { go call() }, asyncSync: func(sync func()) { go sync() },
		stopped: make(chan struct{}), sleep: time.Sleep,
		disk: diskSync{done: make(chan error, 1)},
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
	repl := replicator.New(replicator.Config{
		ID: c.cfg.Store.NodeID(), Heartbeat: c.cfg.Heartbeat, ElectionMin: c.cfg.ElectionMin,
		ElectionMax: c.cfg.ElectionMax, DriftPercent: c.cfg.Lessor.DriftPercent,
		Rand:      c.cfg.Rand,
		Snapshots: c.cfg.Store,
	}, restored, now)
	if c.stopDeadline != 0 {
		repl.SetLeaving()
	}
	return repl
}

// Run runs the control goroutine until ctx is done. A leader then hands leadership over before Run returns, which takes
// at most ElectionMax. After an error the node must stop: ErrRemoved, a *journal.CorruptionError, or a failed write.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.cfg.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	defer close(c.stopped)
	defer c.failWaiters()
	defer c.awaitRunningSync()
	stop := ctx.Done()
	for {
		select {
		case <-stop:
			stop = nil
		case e := <-c.events:
			c.handle(e, c.cfg.Clock.Now())
		case err := <-c.disk.done:
			if _, err := c.finishSync(err); err != nil {
				return err
			}
		case <-ticker.C:
		}
		c.handleQueuedEvents()
		if err := c.runOnce(c.cfg.Clock.Now()); err != nil {
			return err
		}
		if ctx.Err() != nil && c.readyToStop(c.cfg.Clock.Now()) {
			return nil
		}
	}
}

func (c *Controller) handleQueuedEvents() {
	for range maxEventsPerIteration {
		select {
		case e := <-c.events:
			// The clock is read for each event, since the process may have been suspended between two of them.
			c.handle(e, c.cfg.Clock.Now())
		default:
			return
		}
	}
}

// runOnce runs one iteration of the control loop: it advances timeouts, proposes the leader's decisions, and carries
// out the work that the consensus state machine returns.
func (c *Controller) runOnce(now time.Duration) error {
	c.checkDisk(now)
	c.compareDiskSpeed()
	c.repl.Tick(now)
	c.checkLeadership(now)
	switch {
	case !c.leading:
		c.joinIfNeeded(now)
	case !c.repl.HandingOver():
		c.runLeaderDuties(now)
		c.yieldLeadership(now)
	}
	if err := c.processReady(); err != nil {
		return err
	}
	c.checkLeadership(c.cfg.Clock.Now())
	c.publishStatus()
	return c.checkRemoved()
}

// processReady syncs, sends and applies what the consensus state machine returns until nothing is left. It does not
// wait for syncs. A committed entry is applied even if this node has not synced it yet: a majority has.
func (c *Controller) processReady() error {
	for {
		if _, err := c.pollSync(); err != nil {
			return err
		}
		ready := c.repl.Ready()
		if ready.Empty() {
			return c.snapshotIfDue()
		}
		reloaded, err := c.processOne(ready)
		if err != nil {
			return err
		}
		if reloaded {
			continue
		}
		if err := c.applyCommitted(ready.Committed); err != nil {
			return err
		}
	}
}

// processOne syncs and sends what ready holds. It reports whether the state was read from the disk again because the
// disk is full; what is left of ready is then obsolete.
func (c *Controller) processOne(ready replicator.Ready) (reloaded bool, _ error) {
	if ready.Install != nil {
		if reloaded, err := c.drainSync(); reloaded || err != nil {
			return reloaded, err
		}
		if err := c.install(ready); errors.Is(err, journal.ErrDiskFull) {
			return true, c.reloadAfterDiskFull()
		} else if err != nil {
			return false, err
		}
	}
	c.enqueue(ready.Records, c.sendBeforeSync(ready))
	c.startSync()
	return c.pollSync()
}

// sendBeforeSync sends a leader's new entries before it syncs them itself, so that the followers write them at the same
// time; the leader counts its own copy only after the sync. It returns the messages that must wait for the sync. A new
// term or vote must be on disk before anything is sent. Without queues nothing is sent before the sync, so that a
// change that did not fit on the leader's disk is known not to be accepted.
func (c *Controller) sendBeforeSync(ready replicator.Ready) []*wire.PeerMessage {
	batch := syncBatch{records: ready.Records}
	if c.cfg.Queues == nil || ready.Install != nil || batch.hasHardState() || c.disk.next.hasHardState() ||
		c.disk.running != nil && c.disk.running.hasHardState() {
		return ready.Messages
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

// install replaces the state by a snapshot received from the leader. No sync may be running.
func (c *Controller) install(ready replicator.Ready) error {
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
	return nil
}

func (c *Controller) applyCommitted(entries []*wire.Entry) error {
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
		c.completeProposal(entry, result)
	}
	return nil
}

func (c *Controller) completeProposal(entry *wire.Entry, result *wire.Result) {
	w, ok := c.waiters[entry.GetIndex()]
	if !ok {
		return
	}
	delete(c.waiters, entry.GetIndex())
	if w.term != entry.GetTerm() {
		result = leadershipLost()
	}
	w.done(result)
}

// leadershipLost returns the result of a proposal that a later leader may or may not commit.
func leadershipLost() *wire.Result {
	return &wire.Result{
		Reason: reason.NoLeader.String(),
		Detail: "leadership changed before the change was confirmed; send it again with the same change id",
	}
}

// failUncommitted completes the proposals that are not known to be committed with leadershipLost. The others complete
// when they are applied.
func (c *Controller) failUncommitted() {
	for index, w := range c.waiters {
		if index > c.repl.Commit() {
			delete(c.waiters, index)
			w.done(leadershipLost())
		}
	}
}

// failWaiters completes all proposals with leadershipLost.
func (c *Controller) failWaiters() {
	for index, w := range c.waiters {
		delete(c.waiters, index)
		w.done(leadershipLost())
	}
}

// propose appends a command to the log. It calls done exactly once, on the control goroutine, with the result.
func (c *Controller) propose(now time.Duration, command *wire.Command, done func(*wire.Result)) {
	command.NowUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		done(&wire.Result{Reason: reason.RequestInvalid.String(), Detail: err.Error()})
		return
	}
	index, term, err := c.repl.Propose(now, data)
	if err != nil {
		done(leadershipLost())
		return
	}
	c.waiters[index] = waiter{term: term, done: done}
}

// Status returns a copy of the node's state.
func (c *Controller) Status() *Status { return c.status.Load() }

func (c *Controller) publishStatus() {
	s := &Status{
		Role: "follower", Leader: c.memberName(c.repl.LeaderID()), Term: c.repl.Term(), Commit: c.repl.Commit(),
		DiskFull: c.diskFull, Member: c.isMember(), Voter: c.findMember(c.repl.ID()).GetVoter(),
	}
	if c.leading {
		s.Role = "leader"
	}
	if *s != *c.status.Load() {
		c.status.Store(s)
	}
}
