package controller

import (
	"errors"
	"syscall"
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/store"
	"flamingodrift.example/core/journal"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

func (c *Controller) checkDisk(now time.Duration) {
	if now-c.lastDiskCheck < diskCheckInterval {
		return
	}
	c.lastDiskCheck = now
	free, err := c.cfg.FreeBytes()
	// A disk quota can refuse writes while the file system reports free space, so a failed write also counts for
	// diskFullBackoff.
	c.setDiskFull(now < c.diskBackoffUntil || err == nil && free < diskReserveBytes)
}

func (c *Controller) setDiskFull(full bool) {
	if full && !c.diskFull {
		logger.DiskFull.Log(c.cfg.Logger)
	}
	c.diskFull = full
	c.repl.SetDiskFull(full)
}

// yieldLeadership hands leadership to another voter when this leader's disk is full or slower than those of the others.
// Without a voter with disk space this node keeps leading: leases and placements still fit into the disk reserve.
func (c *Controller) yieldLeadership(now time.Duration) {
	slow := c.diskSpeed.slowerCount >= minSlowSyncs && now-c.leaderSince >= slowDiskHandoverDelay
	if !c.diskFull && !slow {
		return
	}
	// After an error the next iteration tries again.
	successor, err := c.repl.HandOver(now)
	if err == nil && slow {
		c.diskSpeed.slowerCount = 0
		logger.SlowDisk.Log(c.cfg.Logger, "successor", c.memberName(successor), "term", c.leaderTerm)
	}
}

const (
	// minSlowSyncs is how many syncs in a row must be slow. A single slow sync may be a pause of the whole process.
	minSlowSyncs = 2
	// slowDiskHandoverDelay is how long a node leads before it hands over because of a slow disk. It bounds how often the
	// leader changes when every disk is slow.
	slowDiskHandoverDelay = 3 * time.Second
)

// diskSpeed compares the speed of this node's disk with that of the other voters. A sync is slow when it takes longer
// than a heartbeat interval. A disk that hangs altogether keeps a new term or vote of this node from its journal.
type diskSpeed struct {
	// slowIndex is the last entry of the newest slow sync that is not compared yet; 0 when there is none.
	slowIndex uint64
	// slowerCount is the number of consecutive slow syncs that took longer than those of the others.
	slowerCount int
}

func (d *diskSpeed) recordSync(index uint64, slow bool) {
	d.slowIndex = 0
	if slow {
		d.slowIndex = index
	} else {
		d.slowerCount = 0
	}
}

// compareDiskSpeed determines, after the replies that arrived during a slow sync are handled, whether a majority stored
// the entries before this node did. Only a disk that is slower than the others is a reason to hand leadership over.
// Without queues nothing is sent before the sync, so there is nothing to compare.
func (c *Controller) compareDiskSpeed() {
	if c.diskSpeed.slowIndex == 0 {
		return
	}
	if c.repl.WaitsForOwnDisk(c.diskSpeed.slowIndex) {
		c.diskSpeed.slowerCount++
	} else {
		c.diskSpeed.slowerCount = 0
	}
	c.diskSpeed.slowIndex = 0
}

// reloadAfterDiskFull drops what could not be written by restoring the state from disk. Only entries that
// sendBeforeSync sent can have reached another node; a later leader may commit those.
func (c *Controller) reloadAfterDiskFull() error {
	now := c.cfg.Clock.Now()
	c.diskBackoffUntil = now + diskFullBackoff
	contents, err := c.reloadStore()
	if err != nil {
		return err
	}
	snapshot := contents.Restored.Snapshot.GetIndex()
	if snapshot > c.applied {
		// The leader's snapshot was stored, but not the journal that follows it.
		restored, err := cell.Restore(contents.State)
		if err != nil {
			return err
		}
		c.cell, c.applied, c.lastSnapshot = restored, snapshot, snapshot
	}
	c.stopLeading()
	c.disk.next = syncBatch{}
	c.repl = c.newReplicator(contents.Restored, now)
	c.repl.MarkApplied(c.applied)
	c.setDiskFull(true)
	c.failUnwritten()
	return nil
}

// reloadStore reads the data folder. It blocks the control goroutine while the disk refuses every write, because a node
// without its data folder must not take part in consensus.
func (c *Controller) reloadStore() (*store.Contents, error) {
	for {
		contents, err := c.cfg.Store.Reload()
		if !errors.Is(err, journal.ErrDiskFull) {
			return contents, err
		}
		c.sleep(reloadRetryInterval)
	}
}

// failUnwritten completes every proposal after a full disk. A proposal that is neither in the journal nor sent before
// the sync was not accepted; a later leader may still commit the others.
func (c *Controller) failUnwritten() {
	for index, w := range c.waiters {
		delete(c.waiters, index)
		if index > c.repl.LastIndex() && c.cfg.Queues == nil {
			w.done(&wire.Result{Reason: reason.DiskFull.String(), Detail: "the leader's disk is full"})
		} else {
			w.done(leadershipLost())
		}
	}
}

// snapshotIfDue stores a snapshot and truncates the journal once the journal reaches SnapshotBytes. On a full disk it
// tries again after diskFullBackoff.
func (c *Controller) snapshotIfDue() error {
	now := c.cfg.Clock.Now()
	if c.disk.running == nil {
		c.journalBytes = c.cfg.Store.JournalBytes()
	}
	if c.journalBytes < c.cfg.SnapshotBytes || c.applied <= c.lastSnapshot || now < c.snapshotRetryAt {
		return nil
	}
	if reloaded, err := c.drainSync(); reloaded || err != nil {
		return err
	}
	err := c.takeSnapshot()
	if errors.Is(err, journal.ErrDiskFull) {
		c.snapshotRetryAt = now + diskFullBackoff
		c.setDiskFull(true)
		return nil
	}
	if errors.Is(err, syscall.EMFILE) {
		// The journal is complete without the snapshot, and files become free as connections are closed.
		c.snapshotRetryAt = now + diskFullBackoff
		logger.SnapshotPostponed.Log(c.cfg.Logger, "error", err.Error())
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
	c.repl.Compact(meta, c.applied-min(c.applied, retainedEntries))
	if err := c.cfg.Store.ReplaceJournal(meta, c.repl.HardState(), c.repl.Entries(c.applied+1)); err != nil {
		return err
	}
	c.lastSnapshot, c.journalBytes = c.applied, c.cfg.Store.JournalBytes()
	logger.SnapshotStored.Log(c.cfg.Logger, "index", meta.GetIndex(), "bytes", len(state))
	return nil
}
