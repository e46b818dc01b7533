package controller

import (
	"errors"
	"slices"
	"time"

	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

// ErrRemoved is returned by Run when this node was removed from the consensus group.
var ErrRemoved = errors.New("this node was removed from the consensus group")

// checkRemoved returns ErrRemoved when this node was removed. A removed node cannot rejoin under the same id.
func (c *Controller) checkRemoved() error {
	if !c.removed && !c.repl.Removed(c.repl.ID()) {
		return nil
	}
	logger.RemovedFromGroup.Log(c.cfg.Logger, "node_id", c.repl.ID())
	return ErrRemoved
}

// readyToStop prepares a planned stop and reports whether the control goroutine may end. A leader first hands
// leadership over and continues until it hears from its successor, so that the request to take over has left this host.
// A voter continues until a spare node, if there is one, has taken its place: the host may never come back.
func (c *Controller) readyToStop(now time.Duration) bool {
	if c.stopDeadline == 0 {
		c.stopDeadline = now + c.cfg.ElectionMax
		c.repl.SetLeaving()
	}
	if now >= c.stopDeadline {
		return true
	}
	if !c.repl.IsLeader() {
		awaitsSuccessor := c.handedOver && c.repl.LeaderID() == ""
		return !awaitsSuccessor && !c.hasSpareForOwnPlace()
	}
	if _, err := c.repl.HandOver(now); err != nil {
		return true
	}
	c.handedOver = true
	return false
}

// hasSpareForOwnPlace reports whether this node is a voter while another member is not.
func (c *Controller) hasSpareForOwnPlace() bool {
	return c.findMember(c.repl.ID()).GetVoter() && slices.ContainsFunc(c.repl.Membership().GetMembers(),
		func(m *wire.Member) bool { return !m.GetVoter() })
}
