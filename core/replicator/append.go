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

// acceptLeader follows the sender of a leader's message unless its term has passed.
func (r *Replicator) acceptLeader(now time.Duration, msg *wire.PeerMessage) bool {
	if msg.GetTerm() < r.term {
		// The reply carries the newer term, so a leader that returns from a partition steps down.
		r.send(&wire.PeerMessage{
			To:   msg.GetFrom(),
			Body: &wire.PeerMessage_AppendReply{AppendReply: &wire.AppendReply{}},
		})
		return false
	}
	if msg.GetTerm() > r.term || r.role != follower || r.leader != msg.GetFrom() {
		r.becomeFollower(now, msg.GetTerm(), msg.GetFrom())
	}
	r.heardLeader, r.lastHeard = true, now
	r.resetElection(now)
	return true
}

// acceptReply returns the sender's progress if the reply belongs to this leader's term.
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
	if at := time.Duration(sentAt); !p.acked || at > p.ackedSend {
		p.acked, p.ackedSend = true, at
	}
	return p
}

func (r *Replicator) peer(id string) *progress {
	p := r.peers[id]
	if p == nil {
		// The first message checks the follower's log just before this term's first entry.
		p = &progress{next: r.termStart}
		r.peers[id] = p
	}
	return p
}

func (r *Replicator) heartbeat(now time.Duration) {
	r.lastHeartbeat = now
	for _, m := range r.Membership().GetMembers() {
		if m.GetId() == r.cfg.ID {
			continue
		}
		p := r.peer(m.GetId())
		if p.inFlight && now-p.sentAt >= 2*r.cfg.Heartbeat {
			// The message or its reply was lost.
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

// replicate sends new entries to the members that have no message in flight; the others get them with their next reply.
func (r *Replicator) replicate(now time.Duration) {
	for _, m := range r.Membership().GetMembers() {
		if m.GetId() == r.cfg.ID {
			continue
		}
		if p := r.peer(m.GetId()); !p.inFlight && p.next <= r.log.lastIndex() {
			r.sendNext(now, m.GetId(), p)
		}
	}
}

func (r *Replicator) sendNext(now time.Duration, id string, p *progress) {
	if p.next <= r.log.base {
		r.sendSnapshot(now, id, p)
		return
	}
	entries := r.log.batch(p.next)
	if len(entries) > 0 {
		p.inFlight, p.sentAt, p.sentTo = true, now, entries[len(entries)-1].GetIndex()
	}
	r.sendAppend(now, id, p, entries)
}

// sendAppend sends entries from p.next on, or a heartbeat.
func (r *Replicator) sendAppend(now time.Duration, id string, p *progress, entries []*wire.Entry) {
	prev := p.next - 1
	if entries == nil {
		// A heartbeat past a message in flight must not look like a gap to the follower.
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
	reply := &wire.AppendReply{SentAtNs: request.GetSentAtNs(), DiskFull: r.diskFull}
	defer func() {
		r.send(&wire.PeerMessage{
			To:   msg.GetFrom(),
			Body: &wire.PeerMessage_AppendReply{AppendReply: reply},
		})
	}()
	prev := request.GetPrevIndex()
	if prev < r.log.base {
		// The entries up to the base are committed and therefore equal.
		reply.Accepted = true
		reply.MatchIndex = r.log.base
		if len(request.GetEntries()) == 0 || request.GetEntries()[len(request.GetEntries())-1].GetIndex() <= r.log.base {
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
		r.record(entry)
	}
	r.commit = max(r.commit, min(request.GetCommit(), match))
	reply.Accepted = true
	reply.MatchIndex = match
}

// conflictHint returns the last index that may agree with the leader's log.
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
	p.diskFull = reply.GetDiskFull()
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
	if p.match >= p.sentTo {
		// An answer to an earlier heartbeat says nothing about the entries in flight.
		p.inFlight = false
	}
	if r.role == leader && !p.inFlight && p.next <= r.log.lastIndex() {
		r.sendNext(now, msg.GetFrom(), p)
	}
	r.finishHandover(now)
}

// advanceCommit commits the newest entry of this term that a majority of voters has synced.
func (r *Replicator) advanceCommit(now time.Duration) {
	var matches []uint64
	for _, m := range r.Membership().GetMembers() {
		switch {
		case !m.GetVoter():
		case m.GetId() == r.cfg.ID:
			matches = append(matches, r.persisted)
		default:
			matches = append(matches, r.peer(m.GetId()).match)
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
		// Followers learn the commit at once, so that their copies lag by one message and not by one heartbeat.
		r.heartbeat(now)
	}
}

func (r *Replicator) stepDownIfRemoved(now time.Duration) {
	newest := r.memberships[len(r.memberships)-1]
	if newest.index <= r.commit && !r.isVoter(r.cfg.ID) {
		r.becomeFollower(now, r.term, "")
	}
}
