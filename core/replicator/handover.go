package replicator

import (
	"time"

	"flamingodrift.example/core/wire"
)

// HandOver starts to transfer leadership to the voter with the most complete log among those that are reachable, have
// disk space and are not about to stop, and returns its id. It fails with ErrNotLeader or ErrNoSuccessor. Proposals are
// refused until the successor has every entry; then this node steps down and asks it to start an election. The attempt is
// abandoned after ElectionMin.
func (r *Replicator) HandOver(now time.Duration) (string, error) {
	if !r.HasLease(now) {
		return "", ErrNotLeader
	}
	if r.successor != "" {
		return r.successor, nil
	}
	best := ""
	for _, m := range r.Membership().GetMembers() {
		p := r.peers[m.GetId()]
		if !m.GetVoter() || p == nil || !p.acked || p.diskFull || p.leaving || now-p.ackedSentAt >= r.cfg.ElectionMin {
			continue
		}
		if best == "" || p.match > r.peers[best].match {
			best = m.GetId()
		}
	}
	if best == "" {
		return "", ErrNoSuccessor
	}
	r.successor, r.handoverDeadline = best, now+r.cfg.ElectionMin
	r.finishHandover(now)
	return best, nil
}

// HandingOver reports whether this leader is transferring leadership and therefore accepts no proposals.
func (r *Replicator) HandingOver() bool { return r.role == leader && r.successor != "" }

// WaitsForOwnDisk reports whether this node leads and enough other voters, at least one, have stored the entry at index
// to commit it once this node has synced it too.
func (r *Replicator) WaitsForOwnDisk(index uint64) bool {
	voters, stored := 0, 0
	for _, m := range r.Membership().GetMembers() {
		if !m.GetVoter() {
			continue
		}
		voters++
		if p := r.peers[m.GetId()]; m.GetId() != r.cfg.ID && p != nil && p.match >= index {
			stored++
		}
	}
	return r.role == leader && stored > 0 && stored >= voters/2
}

// SetDiskFull sets whether this node's disk is full. HandOver does not choose a node with a full disk.
func (r *Replicator) SetDiskFull(full bool) { r.diskFull = full }

// SetLeaving makes this node tell the leader that it is about to stop.
func (r *Replicator) SetLeaving() { r.leaving = true }

// finishHandover steps down and asks the successor to take over once it has the whole log and all of it is committed.
// The lease ends here, before the message that permits the election is created, and this node cannot lead the same term
// again.
func (r *Replicator) finishHandover(now time.Duration) {
	if r.role != leader || r.successor == "" {
		return
	}
	p := r.peers[r.successor]
	if p == nil || p.match < r.log.lastIndex() || r.commit < r.log.lastIndex() {
		return
	}
	successor := r.successor
	r.becomeFollower(now, r.term, "")
	r.send(&wire.PeerMessage{To: successor, Body: &wire.PeerMessage_TakeOver{TakeOver: &wire.TakeOver{}}})
}

// stepTakeOver starts an election without a pre-vote. The leader of this term has stepped down, so no lease is
// violated.
func (r *Replicator) stepTakeOver(now time.Duration, msg *wire.PeerMessage) {
	if msg.GetTerm() != r.term || r.role == leader || r.diskFull || r.leaving || !r.isVoter(r.cfg.ID) {
		return
	}
	r.startElection(now, true)
}

// leaseReleased reports whether a vote request shows that the leader whose lease binds this node has stepped down. That
// leader has this node's term or an earlier one. A handover to term t starts only after the leader of term t-1 has
// stepped down, and that leader was elected after every earlier lease had ended.
func (r *Replicator) leaseReleased(msg *wire.PeerMessage, request *wire.VoteRequest) bool {
	return request.GetHandover() && msg.GetTerm() > r.term
}
