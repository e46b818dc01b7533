package replicator

import (
	"flamingodrift.example/core/wire"
)

// oracle checks the promises of the consensus group against what the nodes do, without their internal state.
type oracle struct {
	leaders map[uint64]string
	maxTerm uint64
	// grants holds who granted a vote to whom in a term.
	grants map[uint64]map[string]string
	// chains holds the hash of the history up to each committed index.
	chains map[uint64]uint64
	// newest is the highest index that any node has applied.
	newest uint64
	// elections counts the terms that had a leader.
	elections int
}

func newOracle() oracle {
	return oracle{leaders: map[uint64]string{}, grants: map[uint64]map[string]string{}, chains: map[uint64]uint64{}}
}

// checkChain verifies that every node applies the same entries in the same order.
func (o *oracle) checkChain(t failer, node *simNode) {
	if known, ok := o.chains[node.applied]; ok && known != node.chain {
		t.Fatalf("%s applied a different history up to index %d", node.id, node.applied)
	}
	o.chains[node.applied] = node.chain
	o.newest = max(o.newest, node.applied)
}

// noteMessage records the votes that were really cast.
func (o *oracle) noteMessage(msg *wire.PeerMessage) {
	reply := msg.GetVoteReply()
	if reply == nil || reply.GetPreVote() || !reply.GetGranted() {
		return
	}
	if o.grants[msg.GetTerm()] == nil {
		o.grants[msg.GetTerm()] = map[string]string{}
	}
	o.grants[msg.GetTerm()][msg.GetFrom()] = msg.GetTo()
}

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

// checkElection verifies a new leader: the only one of its term, elected by a majority of its voters, and with every
// entry that was committed before.
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
		if node.repl.LastIndex() < o.newest {
			n.t.Fatalf("%s leads term %d with entries up to %d, but %d is committed",
				node.id, term, node.repl.LastIndex(), o.newest)
		}
	}
}
