package cell

import (
	"fmt"
	"sort"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/change"
	"flamingodrift.example/controld/internal/claim"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/worker"
	"flamingodrift.example/core/wire"
)

// Snapshot encodes the whole cell. Equal cells have equal encodings.
func (c *Cell) Snapshot() ([]byte, error) {
	state := &wire.CellState{
		Revision: c.revision, Config: c.config, SheetNumber: c.sheetNumber, SheetDigest: c.sheetDigest,
		Claims: c.claims.State(), Changes: c.changes.State(), History: c.history,
		// The stored field NextAttempt has always held the number of the latest attempt.
		NextAttempt: c.latestAttempt, NextOrder: c.nextOrder, Batch: c.batch.State(),
	}
	for _, j := range c.jobs {
		state.Jobs = append(state.Jobs, j.Record())
	}
	sort.Slice(state.Jobs, func(a, b int) bool { return state.Jobs[a].GetOrder() < state.Jobs[b].GetOrder() })
	for _, w := range c.workers {
		state.Workers = append(state.Workers, w.State())
	}
	sort.Slice(state.Workers, func(a, b int) bool {
		return state.Workers[a].GetWorker() < state.Workers[b].GetWorker()
	})
	for hash, day := range c.finished {
		state.FinishedRuns = append(state.FinishedRuns,
			&wire.FinishedRun{IdHash: append([]byte(nil), hash[:]...), Day: day})
	}
	sort.Slice(state.FinishedRuns, func(a, b int) bool {
		return string(state.FinishedRuns[a].GetIdHash()) < string(state.FinishedRuns[b].GetIdHash())
	})
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(state)
	if err != nil {
		return nil, fmt.Errorf("encode cell: %w", err)
	}
	return data, nil
}

// Restore decodes a cell from a snapshot.
func Restore(data []byte) (*Cell, error) {
	state := &wire.CellState{}
	if err := proto.Unmarshal(data, state); err != nil {
		return nil, fmt.Errorf("decode cell: %w", err)
	}
	c := New()
	c.revision = state.GetRevision()
	c.setConfig(state.GetConfig())
	c.sheetNumber, c.sheetDigest = state.GetSheetNumber(), state.GetSheetDigest()
	c.claims, c.changes = claim.Restore(state.GetClaims()), change.Restore(state.GetChanges())
	c.history = state.GetHistory()
	c.batch = batch.Restore(state.GetBatch())
	c.latestAttempt, c.nextOrder = state.GetNextAttempt(), state.GetNextOrder()
	for _, s := range state.GetWorkers() {
		c.workers[s.GetWorker()] = worker.Restore(s)
		c.index.updateWorker(c.workers[s.GetWorker()])
	}
	for _, s := range state.GetJobs() {
		c.restoreJob(s)
	}
	for _, run := range state.GetFinishedRuns() {
		if len(run.GetIdHash()) != len(runHash{}) {
			return nil, fmt.Errorf("hash of a finished run has %d bytes, want %d", len(run.GetIdHash()), len(runHash{}))
		}
		c.finished[runHash(run.GetIdHash())] = run.GetDay()
	}
	return c, nil
}

func (c *Cell) restoreJob(s *wire.JobState) {
	j := job.Restore(s)
	c.jobs[j.ID()] = j
	c.reindex(j)
	for _, t := range j.Tasks() {
		if !t.Active() {
			continue
		}
		c.index.addActive(t)
		if w := c.workers[t.Worker()]; w != nil {
			w.RestoreTask(t.ID(), t.Attempt(), t.Placed())
			c.index.updateWorker(w)
		}
		c.addUsage(j, t.Placed())
	}
}
