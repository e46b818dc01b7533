package replicator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

// replace loses a node with its disk for good and adds one with an empty disk and a new id.
func (n *network) replace(old *simNode) *simNode {
	n.stop(old)
	old.lost = true
	fresh := n.create()
	n.start(fresh)
	return fresh
}

// runAdministered advances simulated time while the leader repairs the membership.
func (n *network) runAdministered(d time.Duration) {
	for ; d > 0; d -= simHeartbeat {
		n.administer()
		n.run(min(d, simHeartbeat))
	}
}

// administer lets the leader bring the membership one step closer to the nodes that exist: remove a lost node, add a
// new one as a non-voter, promote a non-voter that has caught up.
func (n *network) administer() {
	leader := n.holder()
	if leader == nil || !n.runs(leader) {
		return
	}
	next := proto.Clone(leader.repl.Membership()).(*wire.Membership)
	if !n.amend(leader, next) {
		return
	}
	// An error means that an earlier change is not committed yet.
	_, _, _ = leader.repl.ProposeMembership(n.clock(leader), next)
	n.pump(leader)
}

func (n *network) amend(leader *simNode, next *wire.Membership) bool {
	listed := map[string]bool{}
	for i, m := range next.GetMembers() {
		listed[m.GetId()] = true
		if n.find(m.GetId()).lost {
			next.Members = append(next.Members[:i:i], next.Members[i+1:]...)
			return true
		}
		if match, _, _ := leader.repl.MatchIndex(m.GetId()); !m.GetVoter() && match > 0 && match+4 >= leader.repl.LastIndex() {
			m.Voter = true
			return true
		}
	}
	for _, node := range n.nodes {
		if !node.lost && !listed[node.id] {
			next.Members = append(next.Members, &wire.Member{Id: node.id})
			return true
		}
	}
	return false
}

// repaired reports whether every node that exists is a voter with all committed entries, so that another one may be
// lost.
func (n *network) repaired() bool {
	leader := n.holder()
	if leader == nil {
		return false
	}
	voters := 0
	for _, m := range leader.repl.Membership().GetMembers() {
		node := n.find(m.GetId())
		if !m.GetVoter() || node.lost || node.down || node.applied < n.oracle.newest {
			return false
		}
		voters++
	}
	existing := 0
	for _, node := range n.nodes {
		if !node.lost {
			existing++
		}
	}
	return voters == existing
}
