package controller

import (
	"time"

	"flamingodrift.example/core/reason"
)

// countRefusal counts a refusal in the metrics and, on the leader, for its answer to "status".
func (c *Controller) countRefusal(r reason.Reason) {
	c.cfg.Meter.Refused(r)
	if c.leading {
		c.tally.Refused(r)
	}
}

// memberSilenceThreshold is how long a member may be silent before it is reported to operators. It is well below
// nameSilenceTimeouts election timeouts: an operator who restarts hosts one by one must see that a member is missing
// before stopping the next host.
const memberSilenceThreshold = 2 * time.Second

// silentMembers returns the ids of the other members that have been silent for at least memberSilenceThreshold.
func (c *Controller) silentMembers(now time.Duration) []string {
	var silent []string
	for _, m := range c.repl.Membership().GetMembers() {
		if m.GetId() != c.repl.ID() && c.repl.Silence(m.GetId(), now) >= memberSilenceThreshold {
			silent = append(silent, m.GetId())
		}
	}
	return silent
}
