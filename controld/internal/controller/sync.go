package controller

import (
	"errors"
	"time"

	"flamingodrift.example/core/journal"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

// syncBatch holds records for the journal, and the messages that may be sent only once these are synced.
type syncBatch struct {
	records  []*wire.JournalRecord
	messages []*wire.PeerMessage
	// lastIndex and lastTerm are those of the last entry of the log when the batch was filled.
	lastIndex, lastTerm uint64
	startedAt           time.Duration
}

func (b *syncBatch) hasHardState() bool {
	for _, record := range b.records {
		if record.GetHardState() != nil {
			return true
		}
	}
	return false
}

// diskSync is the state of the journal's syncs. One batch is synced at a time, outside the control goroutine; what
// comes up meanwhile forms the next batch.
type diskSync struct {
	// running is the batch that is being synced; nil if there is none.
	running *syncBatch
	next    syncBatch
	// done receives the result of the running sync.
	done chan error
}

// enqueue adds records and messages to the next batch. Messages that nothing holds back are sent at once.
func (c *Controller) enqueue(records []*wire.JournalRecord, messages []*wire.PeerMessage) {
	if c.disk.running == nil && len(c.disk.next.records) == 0 && len(records) == 0 {
		c.sendAll(messages)
		return
	}
	next := &c.disk.next
	next.records = append(next.records, records...)
	next.messages = append(next.messages, messages...)
	next.lastIndex = c.repl.LastIndex()
	next.lastTerm, _ = c.repl.TermAt(next.lastIndex)
}

// startSync starts to sync the next batch unless a sync is running. Without queues it waits for the sync: nothing may be
// sent before it, so that a change that did not fit on the disk is known not to be accepted.
func (c *Controller) startSync() {
	if c.disk.running != nil || len(c.disk.next.records) == 0 {
		return
	}
	batch := c.disk.next
	batch.startedAt = c.cfg.Clock.Now()
	c.disk.running, c.disk.next = &batch, syncBatch{}
	sync := func() { c.disk.done <- c.cfg.Store.Append(batch.records) }
	if c.cfg.Queues == nil {
		sync()
		return
	}
	c.asyncSync(sync)
}

// finishSync sends the messages of the batch whose sync has ended with err, and starts the next sync. It reports
// whether the state was read from the disk again because the disk is full.
func (c *Controller) finishSync(err error) (reloaded bool, _ error) {
	batch := c.disk.running
	c.disk.running = nil
	if errors.Is(err, journal.ErrDiskFull) {
		return true, c.reloadAfterDiskFull()
	}
	if err != nil {
		return false, err
	}
	now := c.cfg.Clock.Now()
	c.diskSpeed.recordSync(batch.lastIndex, now-batch.startedAt > c.cfg.Heartbeat)
	c.repl.MarkPersisted(batch.lastIndex, batch.lastTerm, now)
	c.sendAll(batch.messages)
	if len(c.disk.next.records) == 0 {
		c.sendAll(c.disk.next.messages)
		c.disk.next = syncBatch{}
	}
	c.startSync()
	return false, nil
}

// pollSync finishes the running sync if it has ended.
func (c *Controller) pollSync() (reloaded bool, _ error) {
	select {
	case err := <-c.disk.done:
		return c.finishSync(err)
	default:
		return false, nil
	}
}

// drainSync waits until all records are synced. The data folder may then be changed by the control goroutine.
func (c *Controller) drainSync() (reloaded bool, _ error) {
	for c.disk.running != nil {
		if reloaded, err := c.finishSync(<-c.disk.done); reloaded || err != nil {
			return reloaded, err
		}
	}
	return false, nil
}

// awaitRunningSync waits until no sync is running, so that the data folder can be closed. Nothing rests on its result
// any more.
func (c *Controller) awaitRunningSync() {
	if c.disk.running == nil {
		return
	}
	if err := <-c.disk.done; err != nil {
		logger.SyncFailed.Log(c.cfg.Logger, "error", err.Error())
	}
}
