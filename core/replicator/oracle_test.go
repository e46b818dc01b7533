package replicator

import (
	"flamingodrift.example/core/wire"
)

// oracle checks the guarantees of the consensus group from the messages, leases and applied entries of the nodes.
type oracle struct {
	// leaders maps a term to its leader.
	leaders map[uint64]string
	maxTerm uint64
	// grants maps a term and a voter to the candidate that it voted for.
	grants map[uint64]map[string]string
	// historyHashes maps a committed index to the hash of the history up to it.
	historyHashes map[uint64]uint64
	// maxApplied is the highest index that any node has applied.
	maxApplied uint64
	// elections is the number of leaders seen, one for each term.
	elections int
}

func newOracle() oracle {
	return oracle{
		leaders: map[uint64]string{}, grants: map[uint64]map[string]string{}, historyHashes: map[uint64]uint64{},
	}
}

// checkHistory verifies that a node has applied the same entries in the same order as the others.
func (o *oracle) checkHistory(t testingT, node *simNode) {
	if known, ok := o.historyHashes[node.applied]; ok && known != node.historyHash {
		t.Fatalf("%s applied a different history up to index %d", node.id, node.applied)
	}
	o.historyHashes[node.applied] = node.historyHash
	o.maxApplied = max(o.maxApplied, node.applied)
}

// recordVote records the vote that a message grants, if any. Pre-votes do not count.
func (o *oracle) recordVote(msg *wire.PeerMessage) {
	reply := msg.GetVoteReply()
	if reply == nil || reply.GetPreVote() || !reply.GetGranted() {
		return
	}
	if o.grants[msg.GetTerm()] == nil {
		o.grants[msg.GetTerm()] = map[string]string{}
	}
	o.grants[msg.GetTerm()][msg.GetFrom()] = msg.GetTo()
}

// check verifies that at most one node holds the leader lease, and verifies every new leader.
func (o *oracle) check(n *network) {
	lease := ""
	for _, node := range n.nodes {
		if node.down {
			continue
		}
		if node.repl.HasLease(n.clock(node)) {
			if lease != "" {
				n.t.Fatalf("%s and %s hold the leader lease at %v", lease, node.id, n.now)
			}
			lease = node.id
		}
		if node.repl.IsLeader() && node.ledTerm != node.repl.Term() {
			node.ledTerm = node.repl.Term()
			o.checkElection(n, node)
		}
	}
}

// checkElection verifies that a new leader is the only one of its term, was elected by a majority of its voters, and
// has every committed entry.
func (o *oracle) checkElection(n *network, node *simNode) {
	term := node.repl.Term()
	if other, ok := o.leaders[term]; ok && other != node.id {
		n.t.Fatalf("%s and %s lead term %d", other, node.id, term)
	}
	o.leaders[term] = node.id
	o.elections++
	voters, votes := 0, 0
	for _, m := range node.repl.Membership().GetMembers() {
		if !m.GetVoter() {
			continue
		}
		voters++
		if m.GetId() == node.id || o.grants[term][m.GetId()] == node.id {
			votes++
		}
	}
	if votes <= voters/2 {
		n.t.Fatalf("%s leads term %d with %d votes of %d voters", node.id, term, votes, voters)
	}
	if term > o.maxTerm {
		o.maxTerm = term
		if node.repl.LastIndex() < o.maxApplied {
			n.t.Fatalf("%s leads term %d with entries up to %d, but %d is committed",
				node.id, term, node.repl.LastIndex(), o.maxApplied)
		}
	}
}
