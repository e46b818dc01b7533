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
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/controld/internal/registrar"
	"flamingodrift.example/controld/internal/store"
	"flamingodrift.example/controld/internal/tally"
	"flamingodrift.example/core/clock"
	"flamingodrift.example/core/journal"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/messenger"
	"flamingodrift.example/core/meter"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/replicator"
	"flamingodrift.example/core/wire"
)

const (
	tickInterval = 20 * time.Millisecond
	queueLength  = 1024
	// maxTurnEvents bounds the events that one turn of the loop handles before it syncs.
	maxTurnEvents = 256
	// snapshotEveryBytes is the journal size that triggers a snapshot.
	snapshotEveryBytes = 4 << 20
	// keptEntries stay in memory before a snapshot, so that a follower that lags a little needs no snapshot.
	keptEntries = 500
	// diskReserve is the free space below which changes are refused, so that leases and placements can go on.
	diskReserve       = 32 << 20
	diskCheckInterval = time.Second
	diskFullBackoff   = time.Second
)

// Config holds what a Controller needs.
type Config struct {
	Member *wire.Member
	// Peers are the addresses of all controld processes of the cell.
	Peers []string
	// Voters is how many voters the group should have.
	Voters      int
	Store       *store.Store
	Contents    *store.Contents
	Clock       clock.Clock
	Messenger   *messenger.Messenger
	Logger      *slog.Logger
	Meter       *meter.Meter
	Heartbeat   time.Duration
	ElectionMin time.Duration
	ElectionMax time.Duration
	Registrar   registrar.Config
	Planner     planner.Config
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
	reg   *registrar.Registrar
	plan  *planner.Planner
	tally *tally.Tally
	// checkpoints holds when a checkpoint of a stopping attempt was first asked for.
	checkpoints map[uint64]time.Duration
	deciding    bool
	workerBatch []*wire.WorkerEvent
	pending     map[string]bool
	seenAlive   map[string]time.Duration
	leadingTerm uint64

	lastJoin    time.Duration
	joinAt      int
	addressBook map[string]string
	diskFull    bool
	diskChecked time.Duration
	blockedTill time.Duration

	status atomic.Pointer[Status]
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
	c := &Controller{
		cfg: cfg, queue: make(chan event, queueLength), waiters: map[uint64]waiter{},
		addressBook: map[string]string{}, cell: cell.New(),
	}
	c.status.Store(&Status{Role: "follower"})
	if cfg.Contents.State != nil {
		restored, err := cell.Restore(cfg.Contents.State)
		if err != nil {
			return nil, fmt.Errorf("restore cell from snapshot: %w", err)
		}
		c.cell = restored
		c.applied = cfg.Contents.Restored.Snapshot.GetIndex()
	}
	c.repl = c.newReplicator(cfg.Contents.Restored, cfg.Clock.Now())
	return c, nil
}

func (c *Controller) newReplicator(restored replicator.Restored, now time.Duration) *replicator.Replicator {
	return replicator.New(replicator.Config{
		ID: c.cfg.Store.NodeID(), Heartbeat: c.cfg.Heartbeat, ElectionMin: c.cfg.ElectionMin,
		ElectionMax: c.cfg.ElectionMax, DriftPercent: c.cfg.Registrar.DriftPercent,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Snapshots: c.cfg.Store,
	}, restored, now)
}

// Run owns the control state until the context ends. An error means that the node must stop.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer c.failWaiters()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.queue:
			c.handle(e, c.cfg.Clock.Now())
			c.handleQueued()
		case <-ticker.C:
		}
		if err := c.turn(c.cfg.Clock.Now()); err != nil {
			return err
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
	c.repl.Tick(now)
	c.checkLeadership(now)
	if c.leads {
		c.lead(now)
	} else {
		c.seekMembership(now)
	}
	if err := c.pump(); err != nil {
		return err
	}
	c.checkLeadership(c.cfg.Clock.Now())
	c.publish()
	return nil
}

func (c *Controller) pump() error {
	for {
		ready := c.repl.Ready()
		if ready.Empty() {
			return c.snapshotIfDue()
		}
		if err := c.persist(ready); err != nil {
			if errors.Is(err, journal.ErrDiskFull) {
				return c.reopen()
			}
			return err
		}
		c.repl.Persisted(c.cfg.Clock.Now())
		c.sendAll(ready.Messages)
		if err := c.applyAll(ready.Committed); err != nil {
			return err
		}
	}
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
		logger.SnapshotInstalled.Log(c.cfg.Logger, "index", c.applied)
	}
	if len(ready.Records) == 0 {
		return nil
	}
	return c.cfg.Store.Append(ready.Records)
}

// reopen forgets what could not be written, by starting again from what is on the disk.
func (c *Controller) reopen() error {
	now := c.cfg.Clock.Now()
	logger.DiskFull.Log(c.cfg.Logger)
	c.diskFull = true
	c.blockedTill = now + diskFullBackoff
	contents, err := c.cfg.Store.Reload()
	if err != nil {
		return err
	}
	restored := contents.Restored
	if restored.Snapshot.GetIndex() > c.applied {
		return fmt.Errorf("snapshot at %d is newer than the applied index %d", restored.Snapshot.GetIndex(), c.applied)
	}
	c.stopLeading()
	c.repl = c.newReplicator(restored, now)
	c.repl.SkipApplied(c.applied)
	c.failWaiters()
	return nil
}

func (c *Controller) checkDisk(now time.Duration) {
	if now-c.diskChecked < diskCheckInterval {
		return
	}
	c.diskChecked = now
	free, err := c.cfg.Store.FreeBytes()
	full := err == nil && free < diskReserve
	if full && !c.diskFull {
		logger.DiskFull.Log(c.cfg.Logger, "free_bytes", free)
	}
	c.diskFull = full
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
			result = c.cell.Apply(command)
			c.noteApplied(command)
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

func (c *Controller) snapshotIfDue() error {
	if c.cfg.Store.JournalBytes() < snapshotEveryBytes || c.applied == 0 {
		return nil
	}
	term, ok := c.repl.TermAt(c.applied)
	if !ok {
		return nil
	}
	state, err := c.cell.Snapshot()
	if err != nil {
		return err
	}
	meta := &wire.SnapshotMeta{Index: c.applied, Term: term, Membership: c.repl.MembershipAt(c.applied)}
	err = c.cfg.Store.SaveSnapshot(&wire.Snapshot{Meta: meta, State: state})
	if err == nil {
		err = c.cfg.Store.ReplaceJournal(meta, c.repl.HardState(), c.repl.Entries(c.applied+1))
	}
	if errors.Is(err, journal.ErrDiskFull) {
		c.diskFull = true
		return nil
	}
	if err != nil {
		return err
	}
	keepFrom := uint64(0)
	if c.applied > keptEntries {
		keepFrom = c.applied - keptEntries
	}
	c.repl.Compact(meta, keepFrom)
	logger.SnapshotStored.Log(c.cfg.Logger, "index", meta.GetIndex(), "bytes", len(state))
	return nil
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
