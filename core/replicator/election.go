package replicator

import (
	"time"

	"flamingodrift.example/core/wire"
)

// Tick handles timeouts. It must be called several times per heartbeat interval.
func (r *Replicator) Tick(now time.Duration) {
	if r.role == leader {
		r.tickLeader(now)
		return
	}
	if now >= r.electionDeadline {
		r.resetElectionTimeout(now)
		if r.isVoter(r.cfg.ID) {
			r.startPreVote(now)
		}
		return
	}
	if now < r.votesRequestedAt+r.cfg.Heartbeat {
		return
	}
	// The request is repeated every heartbeat interval, because a voter that started later, or heard from the leader
	// later, may have ignored the previous one and may vote now.
	switch r.role {
	case preCandidate:
		r.requestVotes(&wire.VoteRequest{PreVote: true}, r.term+1, now)
	case candidate:
		r.requestVotes(&wire.VoteRequest{}, r.term, now)
	default:
	}
}

// tickLeader steps down if no majority has answered messages of the last ElectionMax, ends a handover that has timed
// out, and sends heartbeats that are due.
func (r *Replicator) tickLeader(now time.Duration) {
	acked, ok := r.quorumAckTime(now)
	if !ok {
		acked = r.leaderSince
	}
	if now-max(acked, r.leaderSince) > r.cfg.ElectionMax {
		r.becomeFollower(now, r.term, "")
		return
	}
	if r.successor != "" && now >= r.handoverDeadline {
		r.successor = ""
	}
	if now-r.lastHeartbeat >= r.cfg.Heartbeat {
		r.broadcastHeartbeat(now)
	}
	if now-r.answersCountedAt >= r.cfg.Heartbeat {
		r.answersCountedAt = now
		for _, p := range r.peers {
			p.missedHeartbeats++
		}
	}
}

// startPreVote asks the voters whether an election would succeed. It does not raise the term, so a node that returns
// from a partition does not depose a healthy leader.
func (r *Replicator) startPreVote(now time.Duration) {
	r.role = preCandidate
	r.leader = ""
	r.votes = map[string]bool{r.cfg.ID: true}
	r.requestVotes(&wire.VoteRequest{PreVote: true}, r.term+1, now)
	r.countVotes(now)
}

// startElection raises the term and asks for votes. handover marks an election that the former leader asked for.
func (r *Replicator) startElection(now time.Duration, handover bool) {
	r.role = candidate
	r.term++
	r.vote = r.cfg.ID
	r.hardStateDirty = true
	r.votes = map[string]bool{r.cfg.ID: true}
	r.resetElectionTimeout(now)
	r.requestVotes(&wire.VoteRequest{Handover: handover}, r.term, now)
	r.countVotes(now)
}

func (r *Replicator) requestVotes(request *wire.VoteRequest, term uint64, now time.Duration) {
	r.votesRequestedAt = now
	request.LastIndex, request.LastTerm = r.log.lastIndex(), r.log.lastTerm()
	for _, m := range r.Membership().GetMembers() {
		if !m.GetVoter() || m.GetId() == r.cfg.ID {
			continue
		}
		r.send(&wire.PeerMessage{
			To: m.GetId(), Term: term,
			Body: &wire.PeerMessage_VoteRequest{VoteRequest: request},
		})
	}
}

// countVotes starts the election after a majority of pre-votes, or takes leadership after a majority of votes.
func (r *Replicator) countVotes(now time.Duration) {
	voters, granted := 0, 0
	for _, m := range r.Membership().GetMembers() {
		if !m.GetVoter() {
			continue
		}
		voters++
		if r.votes[m.GetId()] {
			granted++
		}
	}
	if granted < voters/2+1 {
		return
	}
	if r.role == preCandidate {
		r.startElection(now, false)
	} else {
		r.becomeLeader(now)
	}
}

// becomeLeader takes leadership and appends an empty entry of the new term, because entries of earlier terms are
// committed only through a later one of the current term.
func (r *Replicator) becomeLeader(now time.Duration) {
	r.role = leader
	r.leader = r.cfg.ID
	r.leaderSince, r.successor = now, ""
	r.peers = map[string]*progress{}
	r.appendNew(wire.EntryKind_ENTRY_KIND_EMPTY, nil)
	r.termStartIndex = r.log.lastIndex()
	r.broadcastHeartbeat(now)
}

func (r *Replicator) becomeFollower(now time.Duration, term uint64, leaderID string) {
	if term > r.term {
		r.term, r.vote = term, ""
		r.hardStateDirty = true
	}
	r.role = follower
	r.leader = leaderID
	r.votes, r.successor = nil, ""
	r.resetElectionTimeout(now)
}

// boundByLease reports whether this node must not vote because a leader lease may rest on its latest reply.
func (r *Replicator) boundByLease(now time.Duration) bool {
	if r.role == leader {
		return now < r.leaseEnd(now)
	}
	return r.hadLeaderContact && now-r.lastLeaderContact < r.cfg.ElectionMin
}

func (r *Replicator) stepVoteRequest(now time.Duration, msg *wire.PeerMessage, request *wire.VoteRequest) {
	if r.boundByLease(now) && !r.leaseReleased(msg, request) {
		// The request is ignored, including its term: a higher term would depose the leader.
		return
	}
	if msg.GetTerm() < r.term {
		r.sendVoteReply(msg, request, false, r.term)
		return
	}
	current := request.GetLastTerm() > r.log.lastTerm() ||
		(request.GetLastTerm() == r.log.lastTerm() && request.GetLastIndex() >= r.log.lastIndex())
	if request.GetPreVote() {
		// Only a grant carries the requested term. A refusal that carried it would raise the term of the requesting
		// node.
		if current && msg.GetTerm() > r.term {
			r.sendVoteReply(msg, request, true, msg.GetTerm())
		} else {
			r.sendVoteReply(msg, request, false, r.term)
		}
		return
	}
	if msg.GetTerm() > r.term {
		r.becomeFollower(now, msg.GetTerm(), "")
	}
	granted := current && (r.vote == "" || r.vote == msg.GetFrom()) && r.role == follower
	if granted && r.vote == "" {
		r.vote = msg.GetFrom()
		r.hardStateDirty = true
		r.resetElectionTimeout(now)
	}
	r.sendVoteReply(msg, request, granted, r.term)
}

func (r *Replicator) sendVoteReply(msg *wire.PeerMessage, request *wire.VoteRequest, granted bool, term uint64) {
	reply := &wire.VoteReply{PreVote: request.GetPreVote(), Granted: granted}
	r.send(&wire.PeerMessage{
		To: msg.GetFrom(), Term: term,
		Body: &wire.PeerMessage_VoteReply{VoteReply: reply},
	})
}

func (r *Replicator) stepVoteReply(now time.Duration, msg *wire.PeerMessage, reply *wire.VoteReply) {
	switch {
	case reply.GetPreVote() && reply.GetGranted():
		if r.role != preCandidate || msg.GetTerm() != r.term+1 {
			return
		}
	case msg.GetTerm() > r.term:
		r.becomeFollower(now, msg.GetTerm(), "")
		return
	case reply.GetPreVote() || r.role != candidate || msg.GetTerm() != r.term || !reply.GetGranted():
		return
	}
	r.votes[msg.GetFrom()] = true
	r.countVotes(now)
}
