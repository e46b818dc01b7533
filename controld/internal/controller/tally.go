package controller

import (
	"time"

	"flamingodrift.example/core/reason"
)

// countRefusal counts a refusal for the metrics and for the leader's answer to "status".
func (c *Controller) countRefusal(r reason.Reason) {
	c.cfg.Meter.Refused(r)
	if c.leads {
		c.tally.Refused(r)
	}
}

// silentAfter is how long a member may be unheard before operators are told. It is well below nameSilence: an operator
// who restarts hosts one by one must see a missing member before stopping the next.
const silentAfter = 2 * time.Second

// silentMembers returns the ids of the other members that have not been heard for silentAfter.
func (c *Controller) silentMembers(now time.Duration) []string {
	var silent []string
	for _, m := range c.repl.Membership().GetMembers() {
		if m.GetId() == c.repl.ID() {
			continue
		}
		_, heard, acked := c.repl.MatchIndex(m.GetId())
		if !acked {
			heard = c.seenAlive[m.GetId()]
		}
		if now-heard >= silentAfter {
			silent = append(silent, m.GetId())
		}
	}
	return silent
}
