package cell

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// operation is an operator's change without its identity.
type operation struct {
	change *wire.Change
	// inForce says in words that the change would change nothing; empty when it would.
	inForce func() string
	apply   func() *wire.Result
}

// operationOf returns the operation of a command.
func (c *Cell) operationOf(command *wire.Command) operation {
	now := command.GetNowUnixMs()
	switch body := command.GetBody().(type) {
	case *wire.Command_Configure:
		return operation{
			change:  body.Configure.GetChange(),
			inForce: func() string { return c.configInForce(body.Configure.GetConfig()) },
			apply:   func() *wire.Result { return c.configure(body.Configure.GetConfig()) },
		}
	case *wire.Command_ApplySheet:
		return operation{
			change:  body.ApplySheet.GetChange(),
			inForce: func() string { return c.sheetInForce(body.ApplySheet) },
			apply:   func() *wire.Result { return c.applySheet(body.ApplySheet, now) },
		}
	case *wire.Command_CancelJob:
		return operation{
			change:  body.CancelJob.GetChange(),
			inForce: func() string { return c.cancelInForce(body.CancelJob.GetKey()) },
			apply:   func() *wire.Result { return c.cancel(body.CancelJob.GetKey(), now) },
		}
	case *wire.Command_DrainWorker:
		return operation{
			change:  body.DrainWorker.GetChange(),
			inForce: func() string { return c.drainInForce(body.DrainWorker) },
			apply:   func() *wire.Result { return c.drain(body.DrainWorker) },
		}
	default:
		return operation{}
	}
}

// operate applies an operator's change once, if it was made from the present revision. Every answer is remembered by the
// change's id, a refusal too, so that a change that is sent again gets its first answer. A change that would change
// nothing is answered with the present revision and does not raise it: it must not cause conflicts for others.
func (c *Cell) operate(op operation, now int64) *wire.Result {
	if known := c.changes.Find(op.change); known != nil {
		return known
	}
	result := c.decideOperation(op)
	c.changes.Add(op.change, result)
	if result.GetReason() != "" || result.GetRevision() == c.revision {
		return result
	}
	c.revision = result.GetRevision()
	c.history = append(c.history, &wire.HistoryEntry{
		Revision: c.revision, AtUnixMs: now, Operator: op.change.GetOperator(), Text: result.GetDetail(),
	})
	if len(c.history) > MaxHistory {
		// A copy of the whole list for each change would dominate a wave of cancellations.
		c.history = c.history[len(c.history)-MaxHistory:]
	}
	return result
}

func (c *Cell) decideOperation(op operation) *wire.Result {
	if expected := op.change.GetExpectedRevision(); expected != c.revision {
		conflict := refuse(reason.Conflict, "the revision is %d, not %d; since then: %s",
			c.revision, expected, c.changesSince(expected))
		conflict.Revision = c.revision
		return conflict
	}
	if detail := op.inForce(); detail != "" {
		return &wire.Result{Detail: detail, Revision: c.revision}
	}
	result := op.apply()
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

func (c *Cell) configInForce(config *wire.Config) string {
	next := proto.Clone(config).(*wire.Config)
	next.Revision = c.config.GetRevision()
	if c.config.GetRevision() == 0 || !proto.Equal(next, c.config) {
		return ""
	}
	return "this configuration was already in force"
}

func (c *Cell) sheetInForce(s *wire.ApplySheet) string {
	if same, refusal := c.CheckSheet(s.GetNumber(), s.GetDigest()); !same || refusal != nil {
		return ""
	}
	return fmt.Sprintf("sheet %d was already in force", s.GetNumber())
}

func (c *Cell) cancelInForce(key string) string {
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

func (c *Cell) drainInForce(d *wire.DrainWorker) string {
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
