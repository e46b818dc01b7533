package replicator

import (
	"time"

	"flamingodrift.example/core/wire"
)

// Tick advances timeouts. The host calls it several times per heartbeat interval.
func (r *Replicator) Tick(now time.Duration) {
	if r.role == leader {
		r.tickLeader(now)
		return
	}
	if now >= r.electionDeadline {
		r.resetElection(now)
		if r.isVoter(r.cfg.ID) {
			r.startPreVote(now)
		}
		return
	}
	if now < r.askedVotesAt+r.cfg.Heartbeat {
		return
	}
	// A voter that started a little later, or heard from the leader last, becomes free to answer meanwhile.
	switch r.role {
	case preCandidate:
		r.requestVotes(&wire.VoteRequest{PreVote: true}, r.term+1, now)
	case candidate:
		r.requestVotes(&wire.VoteRequest{}, r.term, now)
	default:
	}
}

func (r *Replicator) tickLeader(now time.Duration) {
	acked, ok := r.quorumAck(now)
	if !ok {
		acked = r.leaderSince
	}
	if now-max(acked, r.leaderSince) > r.cfg.ElectionMax {
		r.becomeFollower(now, r.term, "")
		return
	}
	if r.successor != "" && now >= r.handoverUntil {
		r.successor = ""
	}
	if now-r.lastHeartbeat >= r.cfg.Heartbeat {
		r.heartbeat(now)
	}
}

// startPreVote asks whether an election would succeed, without raising the term, so that a node that returns from a
// partition does not unseat a healthy leader.
func (r *Replicator) startPreVote(now time.Duration) {
	r.role = preCandidate
	r.leader = ""
	r.votes = map[string]bool{r.cfg.ID: true}
	r.requestVotes(&wire.VoteRequest{PreVote: true}, r.term+1, now)
	r.countVotes(now)
}

func (r *Replicator) startElection(now time.Duration, handover bool) {
	r.role = candidate
	r.term++
	r.vote = r.cfg.ID
	r.hardStateDirt = true
	r.votes = map[string]bool{r.cfg.ID: true}
	r.resetElection(now)
	r.requestVotes(&wire.VoteRequest{Handover: handover}, r.term, now)
	r.countVotes(now)
}

func (r *Replicator) requestVotes(request *wire.VoteRequest, term uint64, now time.Duration) {
	r.askedVotesAt = now
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

func (r *Replicator) becomeLeader(now time.Duration) {
	r.role = leader
	r.leader = r.cfg.ID
	r.leaderSince, r.successor = now, ""
	r.peers = map[string]*progress{}
	r.appendNew(wire.EntryKind_ENTRY_KIND_EMPTY, nil)
	r.termStart = r.log.lastIndex()
	r.heartbeat(now)
}

func (r *Replicator) becomeFollower(now time.Duration, term uint64, leaderID string) {
	if term > r.term {
		r.term, r.vote = term, ""
		r.hardStateDirt = true
	}
	r.role = follower
	r.leader = leaderID
	r.votes, r.successor = nil, ""
	r.resetElection(now)
}

// leaderPromised reports whether this node may not vote, because a leader counts on its answer.
func (r *Replicator) leaderPromised(now time.Duration) bool {
	if r.role == leader {
		return now < r.leaseUntil(now)
	}
	return r.heardLeader && now-r.lastHeard < r.cfg.ElectionMin
}

func (r *Replicator) stepVoteRequest(now time.Duration, msg *wire.PeerMessage, request *wire.VoteRequest) {
	if r.leaderPromised(now) && !r.promiseEnded(msg, request) {
		// Without an answer a candidate with a higher term cannot raise this node's term either.
		return
	}
	if msg.GetTerm() < r.term {
		r.answerVote(msg, request, false, r.term)
		return
	}
	current := request.GetLastTerm() > r.log.lastTerm() ||
		(request.GetLastTerm() == r.log.lastTerm() && request.GetLastIndex() >= r.log.lastIndex())
	if request.GetPreVote() {
		// Only a grant carries the requested term: a refusal with that term would raise the term of the node that asked.
		if current && msg.GetTerm() > r.term {
			r.answerVote(msg, request, true, msg.GetTerm())
		} else {
			r.answerVote(msg, request, false, r.term)
		}
		return
	}
	if msg.GetTerm() > r.term {
		r.becomeFollower(now, msg.GetTerm(), "")
	}
	granted := current && (r.vote == "" || r.vote == msg.GetFrom()) && r.role == follower
	if granted && r.vote == "" {
		r.vote = msg.GetFrom()
		r.hardStateDirt = true
		r.resetElection(now)
	}
	r.answerVote(msg, request, granted, r.term)
}

func (r *Replicator) answerVote(msg *wire.PeerMessage, request *wire.VoteRequest, granted bool, term uint64) {
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
