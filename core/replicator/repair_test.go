package replicator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

// replace destroys a node with its disk and adds one with an empty disk and a new id.
func (n *network) replace(old *simNode) *simNode {
	n.stop(old)
	old.lost = true
	replacement := n.create()
	n.start(replacement)
	return replacement
}

// runWithRepairs runs the network while the leader repairs the membership.
func (n *network) runWithRepairs(d time.Duration) {
	for ; d > 0; d -= simHeartbeat {
		n.repairMembership()
		n.run(min(d, simHeartbeat))
	}
}

// repairMembership makes the leader propose one membership change: remove a lost node, add a new one as a non-voter, or
// promote a non-voter that has caught up.
func (n *network) repairMembership() {
	leader := n.leaseHolder()
	if leader == nil || !n.isRunning(leader) {
		return
	}
	next := proto.Clone(leader.repl.Membership()).(*wire.Membership)
	if !n.applyRepair(leader, next) {
		return
	}
	// The proposal fails while an earlier change is not committed.
	_, _, _ = leader.repl.ProposeMembership(n.clock(leader), next)
	n.processReady(leader)
}

// applyRepair changes next by one step and reports whether a change is needed.
func (n *network) applyRepair(leader *simNode, next *wire.Membership) bool {
	listed := map[string]bool{}
	for i, m := range next.GetMembers() {
		listed[m.GetId()] = true
		if n.find(m.GetId()).lost {
			next.Members = append(next.Members[:i:i], next.Members[i+1:]...)
			return true
		}
		if match, _, _ := leader.repl.MatchIndex(m.GetId()); !m.GetVoter() && match > 0 &&
			match+4 >= leader.repl.LastIndex() {
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

// repaired reports whether every node that is not lost is a voter with all committed entries, so that the group can
// survive another loss.
func (n *network) repaired() bool {
	leader := n.leaseHolder()
	if leader == nil {
		return false
	}
	voters := 0
	for _, m := range leader.repl.Membership().GetMembers() {
		node := n.find(m.GetId())
		if !m.GetVoter() || node.lost || node.down || node.applied < n.oracle.maxApplied {
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
