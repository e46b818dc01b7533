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

// giveWay hands leadership to a voter with disk space when this leader has none, or to a faster one. Without such a voter
// it goes on leading: leases and placements still fit into the reserve.
func (c *Controller) giveWay(now time.Duration) {
	slow := c.diskSpeed.behind >= slowSyncs && now-c.leadingSince >= slowDiskPause
	if !c.diskFull && !slow {
		return
	}
	// The next turn tries again.
	successor, err := c.repl.HandOver(now)
	if err == nil && slow {
		c.diskSpeed.behind = 0
		logger.SlowDisk.Log(c.cfg.Logger, "successor", c.memberName(successor), "term", c.leadingTerm)
	}
}

const (
	// slowSyncs is how many syncs in a row must be slow: a single one may be a pause of the whole process.
	slowSyncs = 2
	// slowDiskPause is how long a leader leads before it gives way for a slow disk. It bounds the changes of the leader
	// when every disk is slow.
	slowDiskPause = 3 * time.Second
)

// diskSpeed compares this node's disk with those of the others. A sync is slow when it takes longer than a heartbeat
// interval, as the control thread waits for it.
type diskSpeed struct {
	// index is the last entry of the newest slow sync that was not compared yet; 0 when there is none.
	index uint64
	// behind counts the slow syncs in a row that others did not need as long for.
	behind int
}

func (d *diskSpeed) synced(index uint64, slow bool) {
	d.index = 0
	if slow {
		d.index = index
	} else {
		d.behind = 0
	}
}

// compareDisk finds out, once the answers that came during a slow sync are handled, whether others had the entries sooner.
// Only a disk that is slower than the others is a reason to give way. Without queues nothing is sent before the sync, so
// nothing can be compared.
func (c *Controller) compareDisk() {
	if c.diskSpeed.index == 0 {
		return
	}
	if c.repl.WaitsForOwnDisk(c.diskSpeed.index) {
		c.diskSpeed.behind++
	} else {
		c.diskSpeed.behind = 0
	}
	c.diskSpeed.index = 0
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
	c.repl.MarkApplied(c.applied)
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
