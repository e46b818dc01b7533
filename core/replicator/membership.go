package replicator

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

// maxRemovedIDs bounds the removed ids in a membership, which take 36 bytes each in every snapshot chunk. The oldest
// ids are dropped. A node whose id was dropped can return only with its own data folder, which holds the votes that it
// cast, so its return is safe.
const maxRemovedIDs = 64

// ProposeMembership appends a membership that differs from the current one in at most one voter and returns its index
// and term. It sets the removed ids.
func (r *Replicator) ProposeMembership(now time.Duration, next *wire.Membership) (index, term uint64, err error) {
	if !r.acceptsProposals(now) {
		return 0, 0, ErrNotLeader
	}
	newest := r.memberships[len(r.memberships)-1]
	if newest.index > r.commit {
		return 0, 0, ErrMembershipPending
	}
	next = proto.Clone(next).(*wire.Membership)
	next.RemovedIds = removedIDs(newest.membership, next)
	if err := checkMembership(newest.membership, next); err != nil {
		return 0, 0, err
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, 0, err
	}
	r.appendNew(wire.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
	for id := range r.peers {
		if !hasMember(next, id) {
			delete(r.peers, id)
		}
	}
	r.replicate(now)
	return r.log.lastIndex(), r.term, nil
}

// Removed reports whether a committed membership lists the id as removed.
func (r *Replicator) Removed(id string) bool {
	newest := r.memberships[len(r.memberships)-1]
	return newest.index <= r.commit && slices.Contains(newest.membership.GetRemovedIds(), id)
}

func removedIDs(current, next *wire.Membership) []string {
	removed := slices.Clone(current.GetRemovedIds())
	for _, m := range current.GetMembers() {
		if !hasMember(next, m.GetId()) {
			removed = append(removed, m.GetId())
		}
	}
	return removed[max(0, len(removed)-maxRemovedIDs):]
}

// checkMembership returns an error unless next may follow the current membership.
func checkMembership(current, next *wire.Membership) error {
	seen, voters := map[string]bool{}, 0
	for _, m := range next.GetMembers() {
		if seen[m.GetId()] {
			return ErrDuplicateMember
		}
		seen[m.GetId()] = true
		if slices.Contains(current.GetRemovedIds(), m.GetId()) {
			return ErrRemovedMember
		}
		if m.GetVoter() {
			voters++
		}
	}
	if voters == 0 {
		return ErrNoVoters
	}
	if countVoterChanges(current, next) > 1 {
		return ErrTooManyVoterChanges
	}
	return nil
}

func hasMember(membership *wire.Membership, id string) bool {
	return slices.ContainsFunc(membership.GetMembers(), func(m *wire.Member) bool { return m.GetId() == id })
}

// countVoterChanges returns the number of ids that are voters in exactly one of two memberships.
func countVoterChanges(a, b *wire.Membership) int {
	voters := map[string]bool{}
	for _, m := range a.GetMembers() {
		if m.GetVoter() {
			voters[m.GetId()] = true
		}
	}
	changes := 0
	for _, m := range b.GetMembers() {
		switch {
		case !m.GetVoter():
		case voters[m.GetId()]:
			delete(voters, m.GetId())
		default:
			changes++
		}
	}
	return changes + len(voters)
}
