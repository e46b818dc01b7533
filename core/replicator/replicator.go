// Package replicator implements Raft consensus for the control processes of a cell: a replicated log of commands, with
// pre-votes, leader leases, leadership handover, membership changes of one voter at a time, and snapshots.
//
// The package does no I/O, starts no goroutines and reads no clock. The caller passes in messages, ticks and the
// current time, and Ready returns what the caller must sync, send and apply.
package replicator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

const (
	maxAppendEntries   = 512
	maxAppendBytes     = 1 << 20
	snapshotChunkBytes = 64 << 10
)

var (
	// ErrNotLeader is returned when this node is not the leader, has no leader lease, or is handing over leadership.
	ErrNotLeader = errors.New("not the leader")
	// ErrMembershipPending is returned while an earlier membership change is not committed.
	ErrMembershipPending = errors.New("an earlier membership change is not committed")
	// ErrTooManyVoterChanges is returned for a membership change of more than one voter.
	ErrTooManyVoterChanges = errors.New("a membership change may add or remove one voter at a time")
	// ErrRemovedMember is returned for a membership change that adds a removed id again.
	ErrRemovedMember = errors.New("a removed member id cannot be added again")
	// ErrDuplicateMember is returned for a membership change that lists an id twice.
	ErrDuplicateMember = errors.New("a member id is listed twice")
	// ErrNoSuccessor is returned when no other voter is reachable and has disk space.
	ErrNoSuccessor = errors.New("no voter is able to take over leadership")
	// ErrNoVoters is returned for a membership change that leaves no voter.
	ErrNoVoters = errors.New("a membership needs a voter")
)

// SnapshotReader reads the latest stored snapshot, which is sent to followers whose next entry was compacted.
type SnapshotReader interface {
	// ReadChunk returns up to size bytes of the snapshot's state from offset on, and whether they end it.
	ReadChunk(meta *wire.SnapshotMeta, offset uint64, size int) (data []byte, last bool, err error)
}

// Config holds the fixed parameters of a Replicator.
type Config struct {
	// ID is the node id stored in this node's data folder.
	ID string
	// Heartbeat is the interval of a leader's heartbeats.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the random election timeout. A follower that heard from a leader within the
	// last ElectionMin grants no vote; leader leases rest on this.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// DriftPercent bounds how much faster one host's clock may run than another's.
	DriftPercent int
	// Rand is the source of random election timeouts.
	Rand      *rand.Rand
	Snapshots SnapshotReader
}

// RestoredState is the state that a node reads from its data folder at start.
type RestoredState struct {
	HardState *wire.HardState
	// Snapshot is nil if there is none.
	Snapshot *wire.SnapshotMeta
	// Entries directly follow the snapshot.
	Entries []*wire.Entry
	// Bootstrap is the initial membership of a new cell. It is nil on a node that joins an existing one.
	Bootstrap *wire.Membership
}

// Ready is the pending work of a Replicator. The caller must store Install together with Tail, then sync Records, call
// MarkPersisted and send Messages in this order. Until a sync has ended, the caller may call Ready again and sync and
// send its results after the earlier ones. It may apply Committed at any time, in order.
type Ready struct {
	// Tail holds the entries after Install that stay in the log.
	Tail []*wire.Entry
	// Install is a snapshot received from the leader; nil if there is none.
	Install   *wire.Snapshot
	Records   []*wire.JournalRecord
	Messages  []*wire.PeerMessage
	Committed []*wire.Entry
}

// Empty reports whether there is no pending work.
func (r Ready) Empty() bool {
	return r.Install == nil && len(r.Records) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// progress is the replication state of another member, as the leader knows it.
type progress struct {
	// next is the index of the next entry to send; match is the last index known to be stored by the member.
	next, match uint64
	inFlight    bool
	sentAt      time.Duration
	// lastInFlight is the index of the last entry in flight, or math.MaxUint64 for a snapshot chunk.
	lastInFlight uint64
	// ackedSentAt is the leader's time at which it sent the newest message that the member has answered.
	ackedSentAt time.Duration
	acked       bool
	// addedAt is when this leader began to send to the member: when its term began, or when it added the member.
	addedAt        time.Duration
	snapshotOffset uint64
	snapshotIndex  uint64
	diskFull       bool
	// leaving is set while the member says that it is about to stop.
	leaving bool
	// missedHeartbeats counts the heartbeat intervals since the member's last answer.
	missedHeartbeats int
}

// indexedMembership is a membership and the index of the log entry that set it.
type indexedMembership struct {
	index      uint64
	membership *wire.Membership
}

// Replicator is one node of the consensus group. It is not safe for concurrent use.
type Replicator struct {
	cfg Config

	role   role
	term   uint64
	vote   string
	leader string
	log    entryLog

	commit    uint64
	applied   uint64
	persisted uint64

	// snapshot is the newest stored snapshot. The log may still hold earlier entries, for followers that lag slightly.
	snapshot    *wire.SnapshotMeta
	memberships []indexedMembership
	peers       map[string]*progress
	votes       map[string]bool

	electionDeadline time.Duration
	// votesRequestedAt is the time of the last vote requests.
	votesRequestedAt  time.Duration
	lastLeaderContact time.Duration
	hadLeaderContact  bool
	// heardLeaderAt is when this node last heard from another node that leads; heardLeader is set once it has.
	heardLeaderAt time.Duration
	heardLeader   bool
	lastHeartbeat time.Duration
	// answersCountedAt is when the leader last counted the members that have not answered.
	answersCountedAt time.Duration
	leaderSince      time.Duration
	// termStartIndex is the index of the first entry that this leader appended in its term.
	termStartIndex uint64
	// successor is the voter to which this leader hands over leadership; empty if there is no handover.
	successor        string
	handoverDeadline time.Duration
	diskFull         bool
	leaving          bool

	incomingState  []byte
	incomingMeta   *wire.SnapshotMeta
	incomingTerm   uint64
	pendingReady   Ready
	hardStateDirty bool
}

// New returns a follower with the restored state. It grants no vote before ElectionMin has passed, because a leader
// lease may rest on a reply that this node sent just before it stopped.
func New(cfg Config, restored RestoredState, now time.Duration) *Replicator {
	r := &Replicator{cfg: cfg, peers: map[string]*progress{}, hadLeaderContact: true, lastLeaderContact: now}
	if hs := restored.HardState; hs != nil {
		r.term, r.vote = hs.GetTerm(), hs.GetVote()
	}
	base := &wire.Membership{}
	if restored.Bootstrap != nil {
		base = restored.Bootstrap
	}
	if meta := restored.Snapshot; meta != nil {
		r.log.reset(meta.GetIndex(), meta.GetTerm())
		r.snapshot = meta
		base = meta.GetMembership()
		r.commit, r.applied = meta.GetIndex(), meta.GetIndex()
	}
	r.memberships = []indexedMembership{{index: r.log.base, membership: base}}
	for _, entry := range restored.Entries {
		r.appendToLog(entry)
	}
	r.persisted = r.log.lastIndex()
	r.resetElectionTimeout(now)
	return r
}

// ID returns the node id.
func (r *Replicator) ID() string { return r.cfg.ID }

// Term returns the current term.
func (r *Replicator) Term() uint64 { return r.term }

// LeaderID returns the id of the leader known to this node; empty if there is none.
func (r *Replicator) LeaderID() string { return r.leader }

// Commit returns the index of the last entry known to be committed.
func (r *Replicator) Commit() uint64 { return r.commit }

// LastIndex returns the index of the last entry of the log.
func (r *Replicator) LastIndex() uint64 { return r.log.lastIndex() }

// FirstIndex returns the index of the first entry after the compacted ones.
func (r *Replicator) FirstIndex() uint64 { return r.log.base + 1 }

// Applied returns the index of the last entry that was returned for applying or marked as applied.
func (r *Replicator) Applied() uint64 { return r.applied }

// Membership returns the newest membership in the log, committed or not.
func (r *Replicator) Membership() *wire.Membership {
	return r.memberships[len(r.memberships)-1].membership
}

// MembershipAt returns the membership in force at index, as a snapshot at that index needs it.
func (r *Replicator) MembershipAt(index uint64) *wire.Membership {
	for i := len(r.memberships) - 1; i > 0; i-- {
		if r.memberships[i].index <= index {
			return r.memberships[i].membership
		}
	}
	return r.memberships[0].membership
}

// TermAt returns the term of the entry at index, and whether it is known.
func (r *Replicator) TermAt(index uint64) (uint64, bool) { return r.log.termAt(index) }

// Entries returns the entries of the log from an index on, as needed to rewrite the journal.
func (r *Replicator) Entries(from uint64) []*wire.Entry { return r.log.from(from) }

// HardState returns the term and the vote, which must survive a restart.
func (r *Replicator) HardState() *wire.HardState {
	return &wire.HardState{Term: r.term, Vote: r.vote}
}

// IsLeader reports whether this node believes that it leads. Another node may already lead a later term; HasLease
// excludes that.
func (r *Replicator) IsLeader() bool { return r.role == leader }

// SinceLeaderContact returns the time since this node last heard from a leader, or since its start if it has not heard
// from one. It is 0 on the leader.
func (r *Replicator) SinceLeaderContact(now time.Duration) time.Duration {
	if r.role == leader {
		return 0
	}
	return now - r.lastLeaderContact
}

// HeardLeaderAt returns when this node last heard from another node that leads, and whether it has since its start.
func (r *Replicator) HeardLeaderAt() (at time.Duration, heard bool) {
	return r.heardLeaderAt, r.heardLeader
}

// MatchIndex returns the last index known to be stored by a member, and when this node sent the newest message that the
// member answered. It is meaningful only on the leader.
func (r *Replicator) MatchIndex(id string) (match uint64, ackedSentAt time.Duration, acked bool) {
	p := r.peers[id]
	if p == nil {
		return 0, 0, false
	}
	return p.match, p.ackedSentAt, p.acked
}

// Silence returns for how long a member has answered nothing: since this node sent the newest message that the member has
// answered, or, before the first answer, since it began to send to the member. It is meaningful only on the leader.
func (r *Replicator) Silence(id string, now time.Duration) time.Duration {
	p := r.peers[id]
	switch {
	case p == nil:
		return 0
	case p.acked:
		return now - p.ackedSentAt
	default:
		return now - p.addedAt
	}
}

// MissedHeartbeats returns for how many heartbeat intervals in a row a member has answered nothing. Unlike the time
// since its last answer, the number does not grow while this node itself is suspended. It is meaningful only on the
// leader.
func (r *Replicator) MissedHeartbeats(id string) int {
	if p := r.peers[id]; p != nil {
		return p.missedHeartbeats
	}
	return 0
}

// IsLeaving reports whether a member said in its last answer that it is about to stop. It is meaningful only on the
// leader.
func (r *Replicator) IsLeaving(id string) bool {
	p := r.peers[id]
	return p != nil && p.leaving
}

// HasLease reports whether this node leads, has committed an entry of its own term, and holds the leader lease: a
// majority of voters answered messages that it sent within the last ElectionMin less the clock drift. While the lease
// lasts, no other node can be elected.
func (r *Replicator) HasLease(now time.Duration) bool { return now < r.LeaseEnd(now) }

// LeaseEnd returns when the lease of this leader ends unless it is extended. Without a lease, that is not after now.
func (r *Replicator) LeaseEnd(now time.Duration) time.Duration {
	if r.role != leader || r.commit < r.termStartIndex {
		return 0
	}
	return r.leaseEnd(now)
}

// leaseEnd returns the end of the lease. It counts from the sending of the messages that a majority answered.
func (r *Replicator) leaseEnd(now time.Duration) time.Duration {
	duration := r.cfg.ElectionMin * time.Duration(100-r.cfg.DriftPercent) / 100
	acked, ok := r.quorumAckTime(now)
	if !ok {
		return 0
	}
	return acked + duration
}

// quorumAckTime returns the latest time t such that a majority of voters answered a message sent at t or later. This
// node counts as a voter that answers now.
func (r *Replicator) quorumAckTime(now time.Duration) (time.Duration, bool) {
	var times []time.Duration
	voters := 0
	for _, m := range r.Membership().GetMembers() {
		if !m.GetVoter() {
			continue
		}
		voters++
		if m.GetId() == r.cfg.ID {
			times = append(times, now)
		} else if p := r.peers[m.GetId()]; p != nil && p.acked {
			times = append(times, p.ackedSentAt)
		}
	}
	quorum := voters/2 + 1
	if voters == 0 || len(times) < quorum {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-quorum], true
}

// acceptsProposals reports whether this node holds the lease and is not handing over leadership. New entries would keep
// the successor from catching up.
func (r *Replicator) acceptsProposals(now time.Duration) bool {
	return r.successor == "" && r.HasLease(now)
}

// Propose appends commands to the log and returns the index and the term of the first. It returns ErrNotLeader unless
// this node holds the leader lease and is not handing over leadership.
func (r *Replicator) Propose(now time.Duration, commands ...[]byte) (index, term uint64, err error) {
	if !r.acceptsProposals(now) {
		return 0, 0, ErrNotLeader
	}
	first := r.log.lastIndex() + 1
	for _, data := range commands {
		r.appendNew(wire.EntryKind_ENTRY_KIND_COMMAND, data)
	}
	r.replicate(now)
	return first, r.term, nil
}

// Ready returns and clears the pending work.
func (r *Replicator) Ready() Ready {
	ready := r.pendingReady
	r.pendingReady = Ready{}
	if r.hardStateDirty {
		record := &wire.JournalRecord{Body: &wire.JournalRecord_HardState{HardState: r.HardState()}}
		ready.Records = append([]*wire.JournalRecord{record}, ready.Records...)
		r.hardStateDirty = false
	}
	if r.commit > r.applied {
		upTo := min(r.commit, r.log.lastIndex())
		ready.Committed = r.log.slice(r.applied+1, upTo)
		r.applied = upTo
	}
	return ready
}

// MarkPersisted records that the entries up to the one with the given index and term, and every hard state returned by
// Ready before it, are synced. An entry that was replaced since then is ignored.
func (r *Replicator) MarkPersisted(index, term uint64, now time.Duration) {
	if current, ok := r.log.termAt(index); !ok || current != term {
		return
	}
	r.persisted = max(r.persisted, index)
	if r.role == leader {
		r.advanceCommit(now)
	}
}

// MarkApplied records that the entries up to index are applied. Ready does not return them again.
func (r *Replicator) MarkApplied(index uint64) {
	r.applied = max(r.applied, index)
	r.commit = max(r.commit, index)
}

// Compact records a newly stored snapshot and removes the entries up to and including index, at most those that the
// snapshot covers.
func (r *Replicator) Compact(snapshot *wire.SnapshotMeta, index uint64) {
	r.snapshot = snapshot
	index = min(index, snapshot.GetIndex())
	if index <= r.log.base {
		return
	}
	membership := r.MembershipAt(index)
	r.log.compact(index)
	kept := []indexedMembership{{index: index, membership: membership}}
	for _, m := range r.memberships {
		if m.index > index {
			kept = append(kept, m)
		}
	}
	r.memberships = kept
}

// appendNew creates the next entry of this leader's log.
func (r *Replicator) appendNew(kind wire.EntryKind, data []byte) {
	entry := &wire.Entry{Index: r.log.lastIndex() + 1, Term: r.term, Kind: kind, Data: data}
	r.appendToLog(entry)
	r.addRecord(entry)
}

// addRecord adds an entry to the records that the caller must sync.
func (r *Replicator) addRecord(entry *wire.Entry) {
	record := &wire.JournalRecord{Body: &wire.JournalRecord_Entry{Entry: entry}}
	r.pendingReady.Records = append(r.pendingReady.Records, record)
}

// appendToLog appends an entry, replaces a conflicting suffix of the log, and updates the list of memberships.
func (r *Replicator) appendToLog(entry *wire.Entry) {
	if entry.GetIndex() <= r.log.lastIndex() {
		if entry.GetIndex() <= r.commit {
			// A correct leader never replaces a committed entry; continuing would diverge from state already applied.
			panic(fmt.Sprintf("entry %d conflicts with the committed entry", entry.GetIndex()))
		}
		r.log.truncate(entry.GetIndex())
		r.persisted = min(r.persisted, entry.GetIndex()-1)
		for len(r.memberships) > 1 && r.memberships[len(r.memberships)-1].index >= entry.GetIndex() {
			r.memberships = r.memberships[:len(r.memberships)-1]
		}
	}
	r.log.append(entry)
	if entry.GetKind() != wire.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return
	}
	membership := &wire.Membership{}
	if err := proto.Unmarshal(entry.GetData(), membership); err != nil {
		// The leader encoded the entry and the journal verifies its checksum.
		panic("membership entry does not decode: " + err.Error())
	}
	r.memberships = append(r.memberships, indexedMembership{index: entry.GetIndex(), membership: membership})
}

func (r *Replicator) isVoter(id string) bool {
	for _, m := range r.Membership().GetMembers() {
		if m.GetId() == id {
			return m.GetVoter()
		}
	}
	return false
}

func (r *Replicator) send(msg *wire.PeerMessage) {
	msg.From = r.cfg.ID
	if msg.Term == 0 {
		msg.Term = r.term
	}
	r.pendingReady.Messages = append(r.pendingReady.Messages, msg)
}

func (r *Replicator) resetElectionTimeout(now time.Duration) {
	spread := r.cfg.ElectionMax - r.cfg.ElectionMin
	r.electionDeadline = now + r.cfg.ElectionMin
	if spread > 0 {
		r.electionDeadline += time.Duration(r.cfg.Rand.Int64N(int64(spread)))
	}
}
