package controller

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

const (
	joinInterval = time.Second
	joinTimeout  = 900 * time.Millisecond
	// queueJoinInterval is shorter, so that a group with queues is complete before the first calls arrive.
	queueJoinInterval = 300 * time.Millisecond
	// removeAfter is how long a non-voter must be silent before it is removed. A removed node loses its data, so process
	// freezes and network partitions of a few seconds must be over by then.
	removeAfter = 7 * time.Second
	// nameSilenceTimeouts is how many times ElectionMax a member must be silent before a node with another data folder may
	// take its name: 10 s with the default settings.
	nameSilenceTimeouts = 5
	// maxPromotionLag is how many entries a non-voter may lag behind when it becomes a voter.
	maxPromotionLag = 16
)

func (c *Controller) handlePeer(message *wire.PeerMessage, now time.Duration) {
	if message.GetTo() != c.repl.ID() || now < c.diskBackoffUntil {
		return
	}
	c.repl.Step(now, message)
}

func (c *Controller) sendAll(messages []*wire.PeerMessage) {
	for _, message := range messages {
		if address := c.memberAddress(message.GetTo()); address != "" {
			c.cfg.Messenger.Send(address, &wire.Request{Body: &wire.Request_Peer{Peer: message}})
		}
	}
}

func (c *Controller) findMember(id string) *wire.Member {
	for _, m := range c.repl.Membership().GetMembers() {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

func (c *Controller) memberAddress(id string) string {
	if m := c.findMember(id); m != nil {
		return m.GetAddress()
	}
	return c.knownAddresses[id]
}

func (c *Controller) memberName(id string) string { return c.findMember(id).GetName() }

func (c *Controller) isMember() bool { return c.findMember(c.repl.ID()) != nil }

func (c *Controller) recordAddresses(membership *wire.Membership) {
	for _, m := range membership.GetMembers() {
		c.knownAddresses[m.GetId()] = m.GetAddress()
	}
}

// joinIfNeeded sends join requests to the peers in turn while this node is not a member. A member that hears from no
// leader does so too: it may have been removed, and then the others send nothing to it.
func (c *Controller) joinIfNeeded(now time.Duration) {
	interval := joinInterval
	if c.cfg.Queues != nil {
		interval = queueJoinInterval
	}
	if now-c.lastJoin < interval || len(c.cfg.Peers) == 0 {
		return
	}
	if c.isMember() && c.repl.SinceLeaderContact(now) < 2*c.cfg.ElectionMax {
		return
	}
	c.lastJoin = now
	address := c.cfg.Peers[c.nextPeer%len(c.cfg.Peers)]
	c.nextPeer++
	member := proto.Clone(c.cfg.Member).(*wire.Member)
	member.Id = c.repl.ID()
	c.async(func() { c.sendJoinRequest(address, member) })
}

func (c *Controller) sendJoinRequest(address string, member *wire.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	request := &wire.Request{Body: &wire.Request_Join{Join: &wire.JoinRequest{Member: member}}}
	reply, err := c.cfg.Messenger.Call(ctx, address, request)
	if err != nil {
		return
	}
	if refusal := reply.GetRefusal(); refusal != nil {
		if refusal.GetLeaderAddress() == "" || refusal.GetLeaderAddress() == address {
			if refusal.GetReason() == reason.NameInUse.String() {
				logger.JoinRefused.Log(c.cfg.Logger, "reason", refusal.GetReason(), "detail", refusal.GetDetail())
			}
			return
		}
		if reply, err = c.cfg.Messenger.Call(ctx, refusal.GetLeaderAddress(), request); err != nil {
			return
		}
	}
	if joined := reply.GetJoin(); joined != nil {
		select {
		case c.events <- joinedEvent{joined}:
		default:
		}
	}
}

// handleJoin adds a node as a non-voter. adjustMembership promotes it to a voter once it has caught up.
func (c *Controller) handleJoin(e joinEvent, now time.Duration) {
	if c.repl.Removed(e.member.GetId()) {
		e.reply(&wire.Reply{Body: &wire.Reply_Join{Join: &wire.JoinReply{Removed: true}}})
		return
	}
	accepted := &wire.Reply{Body: &wire.Reply_Join{Join: &wire.JoinReply{Membership: c.repl.Membership()}}}
	if c.findMember(e.member.GetId()) != nil {
		e.reply(accepted)
		return
	}
	for _, m := range c.repl.Membership().GetMembers() {
		// Two processes cannot listen on one address, so a member with the same address has lost its data folder.
		if m.GetName() == e.member.GetName() && m.GetAddress() != e.member.GetAddress() && c.keepsName(m.GetId(), now) {
			e.reply(refusalReply(&wire.Refusal{
				Reason: reason.NameInUse.String(), Detail: "member " + m.GetName() + " is alive with another data folder",
			}))
			return
		}
	}
	next := proto.Clone(c.repl.Membership()).(*wire.Membership)
	member := proto.Clone(e.member).(*wire.Member)
	member.Voter = false
	next.Members = append(next.Members, member)
	if _, _, err := c.repl.ProposeMembership(now, next); err != nil {
		e.reply(refusalReply(&wire.Refusal{Reason: reason.Conflict.String(), Detail: err.Error()}))
		return
	}
	e.reply(accepted)
}

// keepsName reports whether a member may be alive, so that a node at another address must not take its name. Where
// voters are replaced automatically, a name is as free as the place of a voter.
func (c *Controller) keepsName(id string, now time.Duration) bool {
	if c.cfg.Queues != nil {
		return !c.isAway(id)
	}
	return id == c.repl.ID() || c.repl.Silence(id, now) < nameSilenceTimeouts*c.cfg.ElectionMax
}

// isAway reports whether another node may take the place of a member: it is about to stop, or it has answered nothing
// for as long as the longest election timeout.
func (c *Controller) isAway(id string) bool {
	return id != c.repl.ID() &&
		(c.repl.IsLeaving(id) || c.repl.MissedHeartbeats(id) > int(c.cfg.ElectionMax/c.cfg.Heartbeat))
}

// adjustMembership removes members whose name was taken over by a node with a newer data folder, promotes non-voters
// that have caught up, and gives them the places of voters that are away. It proposes one change at a time.
//
// A voter whose place is taken stays a member with all its data and may become a voter again, so no proof is needed that
// its host is lost. Each second for which a lost host keeps its place is one in which the group tolerates fewer losses.
func (c *Controller) adjustMembership(now time.Duration) {
	members := c.repl.Membership().GetMembers()
	voters := 0
	for _, m := range members {
		if m.GetVoter() {
			voters++
		}
	}
	for i, m := range members {
		if m.GetVoter() || !c.caughtUp(m.GetId(), now) {
			continue
		}
		if old := c.predecessor(members[:i], m); old != nil {
			c.proposeMembership(now, withoutMember(members, old.GetId()))
			return
		}
		if voters < c.cfg.Voters {
			c.proposeMembership(now, withVoter(members, m.GetId(), true))
			return
		}
		if away := c.voterAway(members); away != nil {
			logger.MemberReplaced.Log(c.cfg.Logger, "voter", away.GetName(), "voter_id", away.GetId(),
				"leaving", c.repl.IsLeaving(away.GetId()), "silent_ms", c.repl.Silence(away.GetId(), now).Milliseconds(),
				"successor", m.GetName())
			c.proposeMembership(now, withVoter(members, away.GetId(), false))
			return
		}
	}
	if silent := c.silentNonVoter(members, now); silent != "" {
		c.proposeMembership(now, withoutMember(members, silent))
	}
}

// voterAway returns the voter that is away and has missed the most heartbeats; nil when there is none.
func (c *Controller) voterAway(members []*wire.Member) *wire.Member {
	if c.cfg.Queues == nil {
		return nil
	}
	var away *wire.Member
	for _, m := range members {
		if m.GetVoter() && c.isAway(m.GetId()) &&
			(away == nil || c.repl.MissedHeartbeats(m.GetId()) > c.repl.MissedHeartbeats(away.GetId())) {
			away = m
		}
	}
	return away
}

// silentNonVoter returns the id of a non-voter that has been silent for longer than removeAfter; empty when there is
// none.
func (c *Controller) silentNonVoter(members []*wire.Member, now time.Duration) string {
	if c.cfg.Queues == nil {
		return ""
	}
	for _, m := range members {
		if !m.GetVoter() && c.isAway(m.GetId()) && c.repl.Silence(m.GetId(), now) > removeAfter {
			return m.GetId()
		}
	}
	return ""
}

// caughtUp reports whether a member lags by at most maxPromotionLag entries, answered within ElectionMin, and is not
// about to stop.
func (c *Controller) caughtUp(id string, now time.Duration) bool {
	match, ackedSend, acked := c.repl.MatchIndex(id)
	return acked && now-ackedSend < c.cfg.ElectionMin && match > 0 && match+maxPromotionLag >= c.repl.LastIndex() &&
		!c.repl.IsLeaving(id)
}

// predecessor returns the earlier member that a member replaces under its name; nil when there is none. Where voters are
// replaced automatically, an earlier one at another address may be alive and is treated like any other.
func (c *Controller) predecessor(earlier []*wire.Member, m *wire.Member) *wire.Member {
	for _, old := range earlier {
		if old.GetName() == m.GetName() && (c.cfg.Queues == nil || old.GetAddress() == m.GetAddress()) {
			return old
		}
	}
	return nil
}

func withoutMember(members []*wire.Member, id string) *wire.Membership {
	next := &wire.Membership{}
	for _, m := range members {
		if m.GetId() != id {
			next.Members = append(next.Members, m)
		}
	}
	return next
}

func withVoter(members []*wire.Member, id string, voter bool) *wire.Membership {
	next := &wire.Membership{}
	for _, m := range members {
		m = proto.Clone(m).(*wire.Member)
		if m.GetId() == id {
			m.Voter = voter
		}
		next.Members = append(next.Members, m)
	}
	return next
}

func (c *Controller) proposeMembership(now time.Duration, next *wire.Membership) {
	// An error means that an earlier change is not committed yet; the next iteration tries again.
	_, _, _ = c.repl.ProposeMembership(now, next)
}
