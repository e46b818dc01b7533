package replicator

import (
	"time"

	"flamingodrift.example/core/wire"
)

// HandOver starts to give leadership to the voter that has most of the log, is reachable and has disk space. New
// proposals are refused until that voter has every entry; then this node steps down and asks it to start an election. It
// returns the voter's id, ErrNotLeader, or ErrNoSuccessor. The attempt ends without effect after ElectionMin.
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
		if !m.GetVoter() || p == nil || !p.acked || p.diskFull || now-p.ackedSend >= r.cfg.ElectionMin {
			continue
		}
		if best == "" || p.match > r.peers[best].match {
			best = m.GetId()
		}
	}
	if best == "" {
		return "", ErrNoSuccessor
	}
	r.successor, r.handoverUntil = best, now+r.cfg.ElectionMin
	r.finishHandover(now)
	return best, nil
}

// HandingOver reports whether this node leads and gives up leadership, so that it accepts no proposals.
func (r *Replicator) HandingOver() bool { return r.role == leader && r.successor != "" }

// WaitsForOwnDisk reports whether, of the voters that a commit of an entry needs, only this leader could still lack it:
// all others of a majority have stored it.
func (r *Replicator) WaitsForOwnDisk(index uint64) bool {
	voters, holders := 0, 0
	for _, m := range r.Membership().GetMembers() {
		if !m.GetVoter() {
			continue
		}
		voters++
		if p := r.peers[m.GetId()]; m.GetId() != r.cfg.ID && p != nil && p.match >= index {
			holders++
		}
	}
	return r.role == leader && holders > 0 && holders >= voters/2
}

// SetDiskFull says whether this node has space for more entries. A node without space is not chosen by HandOver.
func (r *Replicator) SetDiskFull(full bool) { r.diskFull = full }

// finishHandover steps down once the successor has the whole log and all of it is committed. The lease ends here, before
// the message that allows the election exists, and this node cannot lead the same term again.
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

// stepTakeOver starts an election without a pre-vote. The leader of this term has stepped down, so no promise is broken.
func (r *Replicator) stepTakeOver(now time.Duration, msg *wire.PeerMessage) {
	if msg.GetTerm() != r.term || r.role == leader || r.diskFull || !r.isVoter(r.cfg.ID) {
		return
	}
	r.startElection(now, true)
}

// promiseEnded reports whether a vote request shows that the leader to whom this node gave a promise has stepped down.
// The promise is to a leader of this node's term or of an earlier one. A handover to term t is only started by the
// leader of term t-1 after it stepped down, and that leader was elected after every earlier lease had ended.
func (r *Replicator) promiseEnded(msg *wire.PeerMessage, request *wire.VoteRequest) bool {
	return request.GetHandover() && msg.GetTerm() > r.term
}
