// Package change stores the results of operators' changes, so that a repeated change gets its first result.
package change

import (
	"bytes"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// MaxChanges bounds the stored changes; the oldest is dropped first. At 1,500 changes a day a change id is kept for
// more than two days.
const MaxChanges = 4096

type entry struct {
	change *wire.Change
	result *wire.Result
}

// Log holds the latest changes. Only the goroutine that applies the replicated log may use it.
type Log struct {
	entries map[string]*entry
	order   []string
}

// New returns an empty Log.
func New() *Log { return &Log{entries: map[string]*entry{}} }

// Find returns the result of an earlier change with the same id, or a refusal if that change had other contents or
// another operator. It returns nil for a new id.
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

// Add stores the result of a change.
func (l *Log) Add(change *wire.Change, result *wire.Result) {
	if len(l.order) >= MaxChanges {
		delete(l.entries, l.order[0])
		// Reslicing, as copying the list on each change would dominate the cost of cancelling many jobs at once.
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
