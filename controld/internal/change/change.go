// Package change remembers operators' changes, so that a change that is sent again gets its first answer.
package change

import (
	"bytes"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// MaxChanges bounds the remembered changes; the oldest is forgotten first. At 1,500 changes a day a change id is
// remembered for more than two days.
const MaxChanges = 4096

type entry struct {
	change *wire.Change
	result *wire.Result
}

// Log remembers the latest changes. It is owned by the thread that applies the log.
type Log struct {
	entries map[string]*entry
	order   []string
}

// New returns an empty Log.
func New() *Log { return &Log{entries: map[string]*entry{}} }

// Find returns the first result of a change with this id, or a refusal when the id was used for another content. It
// returns nil for a new id.
func (l *Log) Find(change *wire.Change) *wire.Result {
	e := l.entries[change.GetId()]
	switch {
	case e == nil:
		return nil
	case !bytes.Equal(e.change.GetDigest(), change.GetDigest()) || e.change.GetOperator() != change.GetOperator():
		return &wire.Result{
			Reason: reason.ChangeIDReused.String(),
			Detail: "this change id was used for another change",
		}
	default:
		return e.result
	}
}

// Add remembers the result of a change.
func (l *Log) Add(change *wire.Change, result *wire.Result) {
	if len(l.order) >= MaxChanges {
		delete(l.entries, l.order[0])
		// A copy of the whole list for each change would dominate a wave of cancellations.
		l.order = l.order[1:]
	}
	l.entries[change.GetId()] = &entry{change: change, result: result}
	l.order = append(l.order, change.GetId())
}

// State returns the changes for a snapshot, the oldest first.
func (l *Log) State() []*wire.ChangeEntry {
	states := make([]*wire.ChangeEntry, 0, len(l.order))
	for _, id := range l.order {
		e := l.entries[id]
		states = append(states, &wire.ChangeEntry{Change: e.change, Result: e.result})
	}
	return states
}

// Restore returns a Log from a snapshot.
func Restore(states []*wire.ChangeEntry) *Log {
	l := New()
	for _, s := range states {
		l.Add(s.GetChange(), s.GetResult())
	}
	return l
}
