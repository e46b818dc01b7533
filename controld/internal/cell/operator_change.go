package cell

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// operatorChange is an operator's change: its header, and functions that check and apply its content.
type operatorChange struct {
	change *wire.Change
	// unchanged returns a message if applying the change would have no effect, and an empty string otherwise.
	unchanged func() string
	apply     func() *wire.Result
}

// operatorChangeOf returns the operator's change that a command holds.
func (c *Cell) operatorChangeOf(command *wire.Command) operatorChange {
	now := command.GetNowUnixMs()
	switch body := command.GetBody().(type) {
	case *wire.Command_Configure:
		return operatorChange{
			change:    body.Configure.GetChange(),
			unchanged: func() string { return c.configUnchanged(body.Configure.GetConfig()) },
			apply:     func() *wire.Result { return c.configure(body.Configure.GetConfig()) },
		}
	case *wire.Command_ApplySheet:
		return operatorChange{
			change:    body.ApplySheet.GetChange(),
			unchanged: func() string { return c.sheetUnchanged(body.ApplySheet) },
			apply:     func() *wire.Result { return c.applySheet(body.ApplySheet, now) },
		}
	case *wire.Command_CancelJob:
		return operatorChange{
			change:    body.CancelJob.GetChange(),
			unchanged: func() string { return c.cancelUnchanged(body.CancelJob.GetKey()) },
			apply:     func() *wire.Result { return c.cancel(body.CancelJob.GetKey(), now) },
		}
	case *wire.Command_DrainWorker:
		return operatorChange{
			change:    body.DrainWorker.GetChange(),
			unchanged: func() string { return c.drainUnchanged(body.DrainWorker) },
			apply:     func() *wire.Result { return c.drain(body.DrainWorker) },
		}
	default:
		return operatorChange{}
	}
}

// applyChange applies an operator's change once, if it is based on the current revision. Every result, also a refusal,
// is stored under the change's id, so that a retried change gets the result of the first attempt. A change without
// effect returns the current revision and does not raise it, so that it causes no conflicts for others.
func (c *Cell) applyChange(oc operatorChange, now int64) *wire.Result {
	if known := c.changes.Find(oc.change); known != nil {
		return known
	}
	result := c.evaluateChange(oc)
	c.changes.Add(oc.change, result)
	if result.GetReason() != "" || result.GetRevision() == c.revision {
		return result
	}
	c.revision = result.GetRevision()
	c.history = append(c.history, &wire.HistoryEntry{
		Revision: c.revision, AtUnixMs: now, Operator: oc.change.GetOperator(), Text: result.GetDetail(),
	})
	if len(c.history) > MaxHistory {
		// Copying the whole list for each change would dominate the cost of many cancellations in a row.
		c.history = c.history[len(c.history)-MaxHistory:]
	}
	return result
}

func (c *Cell) evaluateChange(oc operatorChange) *wire.Result {
	if expected := oc.change.GetExpectedRevision(); expected != c.revision {
		conflict := refuse(reason.Conflict, "the revision is %d, not %d; since then: %s",
			c.revision, expected, c.changesSince(expected))
		conflict.Revision = c.revision
		return conflict
	}
	if detail := oc.unchanged(); detail != "" {
		return &wire.Result{Detail: detail, Revision: c.revision}
	}
	result := oc.apply()
	if result.GetReason() == "" {
		result.Revision = c.revision + 1
	}
	return result
}

func (c *Cell) changesSince(revision uint64) string {
	const shown = 5
	text, count := "", 0
	for i := len(c.history) - 1; i >= 0 && c.history[i].GetRevision() > revision; i-- {
		if count++; count <= shown {
			h := c.history[i]
			text += fmt.Sprintf("revision %d by %s: %s; ", h.GetRevision(), h.GetOperator(), h.GetText())
		}
	}
	if count > shown {
		text += fmt.Sprintf("and %d more; ", count-shown)
	}
	if text == "" {
		return "nothing; that revision does not exist"
	}
	return text[:len(text)-2]
}

func (c *Cell) configUnchanged(config *wire.Config) string {
	next := proto.Clone(config).(*wire.Config)
	next.Revision = c.config.GetRevision()
	if c.config.GetRevision() == 0 || !proto.Equal(next, c.config) {
		return ""
	}
	return "this configuration was already in force"
}

func (c *Cell) sheetUnchanged(s *wire.ApplySheet) string {
	if same, refusal := c.CheckSheet(s.GetNumber(), s.GetDigest()); !same || refusal != nil {
		return ""
	}
	return fmt.Sprintf("sheet %d was already in force", s.GetNumber())
}

func (c *Cell) cancelUnchanged(key string) string {
	found := false
	for id, j := range c.jobs {
		if id != key && j.Spec().GetKey() != key {
			continue
		}
		if !j.Finished() && !cancelledByOperator(j) {
			return ""
		}
		found = true
	}
	if !found {
		return ""
	}
	return fmt.Sprintf("job %s had already ended or been cancelled", key)
}

func (c *Cell) drainUnchanged(d *wire.DrainWorker) string {
	w := c.workers[d.GetWorker()]
	switch {
	case w == nil || w.Draining() != d.GetDrain():
		return ""
	case d.GetDrain():
		return fmt.Sprintf("worker %s was already draining", w.Name())
	default:
		return fmt.Sprintf("worker %s was not draining", w.Name())
	}
}
