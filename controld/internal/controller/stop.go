package controller

import (
	"errors"
	"time"

	"flamingodrift.example/core/logger"
)

// ErrRemoved is returned by Run when this node was removed from the group.
var ErrRemoved = errors.New("this node was removed from the consensus group")

// checkRemoved ends a node that was removed: its id never counts again.
func (c *Controller) checkRemoved() error {
	if !c.removed && !c.repl.Removed(c.repl.ID()) {
		return nil
	}
	logger.RemovedFromGroup.Log(c.cfg.Logger, "node_id", c.repl.ID())
	return ErrRemoved
}

// mayStop prepares a planned stop and reports whether the control thread may end. A leader hands over first and goes on
// until it hears from its successor, so that the request to take over has left this host.
func (c *Controller) mayStop(now time.Duration) bool {
	if c.stopBy == 0 {
		c.stopBy = now + c.cfg.ElectionMax
	}
	if now >= c.stopBy {
		return true
	}
	if !c.repl.IsLeader() {
		return !c.handedOver || c.repl.LeaderID() != ""
	}
	if _, err := c.repl.HandOver(now); err != nil {
		return true
	}
	c.handedOver = true
	return false
}
