package replicator

import (
	"slices"
	"time"

	"flamingodrift.example/core/wire"
)

// Step handles a message from another node.
func (r *Replicator) Step(now time.Duration, msg *wire.PeerMessage) {
	switch body := msg.GetBody().(type) {
	case *wire.PeerMessage_VoteRequest:
		r.stepVoteRequest(now, msg, body.VoteRequest)
	case *wire.PeerMessage_VoteReply:
		r.stepVoteReply(now, msg, body.VoteReply)
	case *wire.PeerMessage_AppendRequest:
		if r.acceptLeader(now, msg) {
			r.stepAppend(msg, body.AppendRequest)
		}
	case *wire.PeerMessage_AppendReply:
		if p := r.acceptReply(now, msg, body.AppendReply.GetSentAtNs()); p != nil {
			r.stepAppendReply(now, msg, p, body.AppendReply)
		}
	case *wire.PeerMessage_TakeOver:
		r.stepTakeOver(now, msg)
	case *wire.PeerMessage_SnapshotChunk:
		if r.acceptLeader(now, msg) {
			r.stepSnapshot(msg, body.SnapshotChunk)
		}
	case *wire.PeerMessage_SnapshotAck:
		if p := r.acceptReply(now, msg, body.SnapshotAck.GetSentAtNs()); p != nil {
			r.stepSnapshotAck(now, msg, p, body.SnapshotAck)
		}
	}
}

// acceptLeader makes this node a follower of the sender and reports whether the message is to be handled. It rejects
// messages of earlier terms.
func (r *Replicator) acceptLeader(now time.Duration, msg *wire.PeerMessage) bool {
	if msg.GetTerm() < r.term {
		// The reply carries the newer term, which makes a former leader that returns from a partition step down.
		r.send(&wire.PeerMessage{
			To:   msg.GetFrom(),
			Body: &wire.PeerMessage_AppendReply{AppendReply: &wire.AppendReply{}},
		})
		return false
	}
	if msg.GetTerm() > r.term || r.role != follower || r.leader != msg.GetFrom() {
		r.becomeFollower(now, msg.GetTerm(), msg.GetFrom())
	}
	r.hadLeaderContact, r.lastLeaderContact = true, now
	r.heardLeader, r.heardLeaderAt = true, now
	r.resetElectionTimeout(now)
	return true
}

// acceptReply records when the answered message was sent and returns the sender's progress. It returns nil unless the
// reply belongs to the term in which this node leads and comes from a member.
func (r *Replicator) acceptReply(now time.Duration, msg *wire.PeerMessage, sentAt int64) *progress {
	if msg.GetTerm() > r.term {
		r.becomeFollower(now, msg.GetTerm(), "")
		return nil
	}
	if r.role != leader || msg.GetTerm() < r.term {
		return nil
	}
	p := r.peers[msg.GetFrom()]
	if p == nil {
		return nil
	}
	if at := time.Duration(sentAt); !p.acked || at > p.ackedSentAt {
		p.acked, p.ackedSentAt = true, at
	}
	p.missedHeartbeats = 0
	return p
}

// progressOf returns the progress of a member and creates it on first use.
func (r *Replicator) progressOf(id string, now time.Duration) *progress {
	p := r.peers[id]
	if p == nil {
		// The first message checks the follower's log at the entry before this term's first one.
		p = &progress{next: r.termStartIndex, addedAt: now}
		r.peers[id] = p
	}
	return p
}

// broadcastHeartbeat sends every member its next message: entries, a snapshot chunk, or an append without entries while
// an earlier message is in flight.
func (r *Replicator) broadcastHeartbeat(now time.Duration) {
	r.lastHeartbeat = now
	for _, m := range r.Membership().GetMembers() {
		if m.GetId() == r.cfg.ID {
			continue
		}
		p := r.progressOf(m.GetId(), now)
		if p.inFlight && now-p.sentAt >= 2*r.cfg.Heartbeat {
			// The message or its reply is taken as lost.
			p.inFlight = false
			p.next = max(p.match+1, min(p.next, r.log.lastIndex()+1))
		}
		if p.inFlight {
			r.sendAppend(now, m.GetId(), p, nil)
			continue
		}
		r.sendNext(now, m.GetId(), p)
	}
}

// replicate sends new entries to the members that have no message in flight. The others get them after their next
// reply.
func (r *Replicator) replicate(now time.Duration) {
	for _, m := range r.Membership().GetMembers() {
		if m.GetId() == r.cfg.ID {
			continue
		}
		if p := r.progressOf(m.GetId(), now); !p.inFlight && p.next <= r.log.lastIndex() {
			r.sendNext(now, m.GetId(), p)
		}
	}
}

// sendNext sends a member the entries from p.next on, or a snapshot chunk if those entries were compacted.
func (r *Replicator) sendNext(now time.Duration, id string, p *progress) {
	if p.next <= r.log.base {
		r.sendSnapshot(now, id, p)
		return
	}
	entries := r.log.boundedFrom(p.next)
	if len(entries) > 0 {
		p.inFlight, p.sentAt, p.lastInFlight = true, now, entries[len(entries)-1].GetIndex()
	}
	r.sendAppend(now, id, p, entries)
}

// sendAppend sends entries that start at p.next. Without entries the message is a heartbeat.
func (r *Replicator) sendAppend(now time.Duration, id string, p *progress, entries []*wire.Entry) {
	prev := p.next - 1
	if entries == nil {
		// A heartbeat may overtake entries in flight, so it must not look like a gap to the follower.
		prev = p.match
	}
	prevTerm, ok := r.log.termAt(prev)
	if !ok {
		prev, prevTerm = 0, 0
	}
	r.send(&wire.PeerMessage{To: id, Body: &wire.PeerMessage_AppendRequest{AppendRequest: &wire.AppendRequest{
		PrevIndex: prev, PrevTerm: prevTerm, Entries: entries, Commit: r.commit, SentAtNs: int64(now),
	}}})
}

func (r *Replicator) stepAppend(msg *wire.PeerMessage, request *wire.AppendRequest) {
	reply := &wire.AppendReply{SentAtNs: request.GetSentAtNs(), DiskFull: r.diskFull, Leaving: r.leaving}
	defer func() {
		r.send(&wire.PeerMessage{
			To:   msg.GetFrom(),
			Body: &wire.PeerMessage_AppendReply{AppendReply: reply},
		})
	}()
	prev := request.GetPrevIndex()
	if prev < r.log.base {
		// Entries up to the base are committed, so they are the same in both logs.
		reply.Accepted = true
		reply.MatchIndex = r.log.base
		if len(request.GetEntries()) == 0 ||
			request.GetEntries()[len(request.GetEntries())-1].GetIndex() <= r.log.base {
			return
		}
		prev = r.log.base
	} else if term, ok := r.log.termAt(prev); !ok || term != request.GetPrevTerm() {
		reply.HintIndex = r.conflictHint(prev)
		return
	}
	match := prev
	for _, entry := range request.GetEntries() {
		if entry.GetIndex() <= prev {
			continue
		}
		match = entry.GetIndex()
		if term, ok := r.log.termAt(match); ok && term == entry.GetTerm() {
			continue
		}
		r.appendToLog(entry)
		r.addRecord(entry)
	}
	r.commit = max(r.commit, min(request.GetCommit(), match))
	reply.Accepted = true
	reply.MatchIndex = match
}

// conflictHint returns the last index at which this log may match the leader's, given that it does not match at prev.
// It skips the whole conflicting term.
func (r *Replicator) conflictHint(prev uint64) uint64 {
	if prev > r.log.lastIndex() {
		return r.log.lastIndex()
	}
	term, _ := r.log.termAt(prev)
	hint := prev - 1
	for hint > r.log.base {
		t, ok := r.log.termAt(hint)
		if !ok || t != term {
			break
		}
		hint--
	}
	return hint
}

func (r *Replicator) stepAppendReply(now time.Duration, msg *wire.PeerMessage, p *progress, reply *wire.AppendReply) {
	p.diskFull, p.leaving = reply.GetDiskFull(), reply.GetLeaving()
	if !reply.GetAccepted() {
		p.inFlight = false
		p.next = max(p.match+1, min(reply.GetHintIndex()+1, r.log.lastIndex()+1))
		r.sendNext(now, msg.GetFrom(), p)
		return
	}
	if reply.GetMatchIndex() > p.match {
		p.match = reply.GetMatchIndex()
		r.advanceCommit(now)
	}
	p.next = max(p.next, p.match+1)
	if p.match >= p.lastInFlight {
		// A reply to an earlier heartbeat does not acknowledge the entries in flight.
		p.inFlight = false
	}
	if r.role == leader && !p.inFlight && p.next <= r.log.lastIndex() {
		r.sendNext(now, msg.GetFrom(), p)
	}
	r.finishHandover(now)
}

// advanceCommit raises the commit index to the last entry that a majority of voters has synced, provided that this
// leader created it: entries of earlier terms are committed only through a later entry of the current term.
func (r *Replicator) advanceCommit(now time.Duration) {
	var matches []uint64
	for _, m := range r.Membership().GetMembers() {
		switch {
		case !m.GetVoter():
		case m.GetId() == r.cfg.ID:
			matches = append(matches, r.persisted)
		default:
			matches = append(matches, r.progressOf(m.GetId(), now).match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-(len(matches)/2+1)]
	if term, ok := r.log.termAt(index); !ok || term != r.term || index <= r.commit {
		return
	}
	r.commit = index
	r.stepDownIfRemoved(now)
	r.finishHandover(now)
	if r.role == leader {
		// Sending the commit index at once keeps the state of followers one message behind instead of one heartbeat.
		r.broadcastHeartbeat(now)
	}
}

// stepDownIfRemoved steps down once a membership in which this node does not vote is committed.
func (r *Replicator) stepDownIfRemoved(now time.Duration) {
	newest := r.memberships[len(r.memberships)-1]
	if newest.index <= r.commit && !r.isVoter(r.cfg.ID) {
		r.becomeFollower(now, r.term, "")
	}
}
