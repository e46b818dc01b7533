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

// silentMembers returns the names of the other members that have not been heard for some seconds.
func (c *Controller) silentMembers(now time.Duration) []string {
	var silent []string
	for _, m := range c.repl.Membership().GetMembers() {
		if !c.recentlyHeard(m.GetId(), now) {
			silent = append(silent, m.GetName())
		}
	}
	return silent
}
