package controller

import (
	"errors"
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/store"
	"flamingodrift.example/core/journal"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

func (c *Controller) checkDisk(now time.Duration) {
	if now-c.diskChecked < diskCheckInterval {
		return
	}
	c.diskChecked = now
	free, err := c.cfg.FreeBytes()
	// A quota can stop writes while the file system has space, so a write that failed counts for a while, too.
	c.setDiskFull(now < c.blockedTill || err == nil && free < diskReserve)
}

func (c *Controller) setDiskFull(full bool) {
	if full && !c.diskFull {
		logger.DiskFull.Log(c.cfg.Logger)
	}
	c.diskFull = full
	c.repl.SetDiskFull(full)
}

// giveWay hands leadership to a voter with disk space when this leader has none. Without such a voter it goes on leading:
// leases and placements still fit into the reserve.
func (c *Controller) giveWay(now time.Duration) {
	if c.diskFull {
		// The next turn tries again.
		_, _ = c.repl.HandOver(now)
	}
}

// reopen forgets what could not be written, by starting again from what is on the disk. Only what sendEarly sent can have
// reached another node; a later leader may commit that.
func (c *Controller) reopen() error {
	now := c.cfg.Clock.Now()
	c.blockedTill = now + diskFullBackoff
	contents, err := c.reload()
	if err != nil {
		return err
	}
	snapshot := contents.Restored.Snapshot.GetIndex()
	if snapshot > c.applied {
		// The snapshot of the leader was stored and the journal after it was not.
		restored, err := cell.Restore(contents.State)
		if err != nil {
			return err
		}
		c.cell, c.applied, c.lastSnapshot = restored, snapshot, snapshot
	}
	c.stopLeading()
	c.repl = c.newReplicator(contents.Restored, now)
	c.repl.SkipApplied(c.applied)
	c.setDiskFull(true)
	c.endUnwritten()
	return nil
}

// reload reads the data folder. It blocks the control thread while the disk refuses every write: without its data
// folder this node must not take part in anything.
func (c *Controller) reload() (*store.Contents, error) {
	for {
		contents, err := c.cfg.Store.Reload()
		if !errors.Is(err, journal.ErrDiskFull) {
			return contents, err
		}
		c.pause(reloadPause)
	}
}

// endUnwritten answers every proposal after a full disk. Those that are neither in the journal nor sent early were not
// accepted; the others may still be committed by a later leader.
func (c *Controller) endUnwritten() {
	for index, w := range c.waiters {
		delete(c.waiters, index)
		if index > c.repl.LastIndex() && c.cfg.Queues == nil {
			w.done(&wire.Result{Reason: reason.DiskFull.String(), Detail: "the leader's disk is full"})
		} else {
			w.done(lostLeadership())
		}
	}
}

// snapshotIfDue stores a snapshot and shortens the journal when it has grown. On a full disk it tries again later.
func (c *Controller) snapshotIfDue() error {
	now := c.cfg.Clock.Now()
	if c.cfg.Store.JournalBytes() < c.cfg.SnapshotBytes || c.applied <= c.lastSnapshot || now < c.snapshotRetryAt {
		return nil
	}
	err := c.takeSnapshot()
	if errors.Is(err, journal.ErrDiskFull) {
		c.snapshotRetryAt = now + diskFullBackoff
		c.setDiskFull(true)
		return nil
	}
	return err
}

func (c *Controller) takeSnapshot() error {
	term, ok := c.repl.TermAt(c.applied)
	if !ok {
		return nil
	}
	state, err := c.cell.Snapshot()
	if err != nil {
		return err
	}
	meta := &wire.SnapshotMeta{Index: c.applied, Term: term, Membership: c.repl.MembershipAt(c.applied)}
	if err := c.cfg.Store.SaveSnapshot(&wire.Snapshot{Meta: meta, State: state}); err != nil {
		return err
	}
	c.repl.Compact(meta, c.applied-min(c.applied, keptEntries))
	if err := c.cfg.Store.ReplaceJournal(meta, c.repl.HardState(), c.repl.Entries(c.applied+1)); err != nil {
		return err
	}
	c.lastSnapshot = c.applied
	logger.SnapshotStored.Log(c.cfg.Logger, "index", meta.GetIndex(), "bytes", len(state))
	return nil
}
