package explainer

// Change is one entry of the history.
type Change struct {
	Revision uint64 `json:"revision"`
	AtUnixMs int64  `json:"at_unix_ms"`
	Operator string `json:"operator"`
	Text     string `json:"text"`
}

// History lists the changes that were accepted, the newest first.
func (e *Explainer) History() []*Change {
	history := e.Cell.History()
	changes := make([]*Change, 0, len(history))
	for i := len(history) - 1; i >= 0; i-- {
		h := history[i]
		changes = append(changes, &Change{
			Revision: h.GetRevision(), AtUnixMs: h.GetAtUnixMs(), Operator: h.GetOperator(), Text: h.GetText(),
		})
	}
	return changes
}
