// Package replicator implements the consensus state machine that orders commands over the voters of a cell.
//
// It does no I/O, starts no goroutines and reads no clock: messages, ticks and the present time go in, and Ready returns
// what must be synced, sent and applied.
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
	maxAppendEntries = 512
	maxAppendBytes   = 1 << 20
	snapshotChunk    = 64 << 10
)

var (
	// ErrNotLeader is returned when this node does not lead or its leader lease has ended.
	ErrNotLeader = errors.New("not the leader")
	// ErrMembershipPending is returned while an earlier membership change is not committed.
	ErrMembershipPending = errors.New("an earlier membership change is not committed")
	// ErrMembershipStep is returned for a change of more than one voter at a time.
	ErrMembershipStep = errors.New("a membership change may add or remove one voter at a time")
	// ErrRemovedMember is returned for a change that brings back an id that was removed.
	ErrRemovedMember = errors.New("a removed member id cannot be added again")
	// ErrDuplicateMember is returned for a change that lists an id twice.
	ErrDuplicateMember = errors.New("a member id is listed twice")
	// ErrNoSuccessor is returned when no voter could take over leadership.
	ErrNoSuccessor = errors.New("no voter is able to take over leadership")
	// ErrNoVoters is returned for a change that leaves no voter.
	ErrNoVoters = errors.New("a membership needs a voter")
)

// SnapshotReader reads the latest stored snapshot, for followers whose next entry was compacted away.
type SnapshotReader interface {
	// ReadChunk returns up to size bytes of the state at offset and whether they are the last ones.
	ReadChunk(meta *wire.SnapshotMeta, offset uint64, size int) (data []byte, last bool, err error)
}

// Config holds the fixed parameters of a Replicator.
type Config struct {
	// ID is the identity of this node's data folder.
	ID string
	// Heartbeat is the interval of a leader's heartbeats.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the random election timeout. A follower that heard from a leader within
	// ElectionMin grants no vote.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// DriftPercent bounds how much faster one host's clock may run than another's.
	DriftPercent int
	Rand         *rand.Rand
	Snapshots    SnapshotReader
}

// RestoredState is what a node read from its data folder.
type RestoredState struct {
	HardState *wire.HardState
	// Snapshot is nil when no snapshot was taken.
	Snapshot *wire.SnapshotMeta
	// Entries follow the snapshot without a gap.
	Entries []*wire.Entry
	// Bootstrap is the membership before any entry; nil for a node that joins.
	Bootstrap *wire.Membership
}

// Ready is the work that a Replicator asks its host to do, in this order: store Install with Tail, sync Records, call
// MarkPersisted, send Messages, apply Committed.
type Ready struct {
	// Tail are the entries after Install that stay in the log.
	Tail      []*wire.Entry
	Install   *wire.Snapshot
	Records   []*wire.JournalRecord
	Messages  []*wire.PeerMessage
	Committed []*wire.Entry
}

// Empty reports whether there is nothing to do.
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

// progress is what a leader knows about another member.
type progress struct {
	next, match uint64
	inFlight    bool
	sentAt      time.Duration
	// sentTo is the index of the last entry in flight.
	sentTo uint64
	// ackedSend is the leader's clock when it sent the newest message that this member answered.
	ackedSend      time.Duration
	acked          bool
	snapshotOffset uint64
	snapshotIndex  uint64
	diskFull       bool
}

type membershipAt struct {
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

	// snapshot is the newest stored snapshot; the log may still hold entries before it for followers that lag a little.
	snapshot    *wire.SnapshotMeta
	memberships []membershipAt
	peers       map[string]*progress
	votes       map[string]bool

	electionDeadline time.Duration
	// askedVotesAt is when this node last asked for votes.
	askedVotesAt  time.Duration
	lastHeard     time.Duration
	heardLeader   bool
	lastHeartbeat time.Duration
	leaderSince   time.Duration
	termStart     uint64
	// successor is the voter to which this leader hands over; empty when it does not.
	successor     string
	handoverUntil time.Duration
	diskFull      bool

	incoming      []byte
	incomingMeta  *wire.SnapshotMeta
	incomingTerm  uint64
	pendingReady  Ready
	hardStateDirt bool
}

// New returns a follower with the restored state. The node grants no vote before ElectionMin has passed, because it may
// have promised a leader its lease just before it stopped.
func New(cfg Config, restored RestoredState, now time.Duration) *Replicator {
	r := &Replicator{cfg: cfg, peers: map[string]*progress{}, heardLeader: true, lastHeard: now}
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
	r.memberships = []membershipAt{{index: r.log.base, membership: base}}
	for _, entry := range restored.Entries {
		r.appendToLog(entry)
	}
	r.persisted = r.log.lastIndex()
	r.resetElection(now)
	return r
}

// ID returns the node's identity.
func (r *Replicator) ID() string { return r.cfg.ID }

// Term returns the current term.
func (r *Replicator) Term() uint64 { return r.term }

// LeaderID returns the node that this one believes to lead; empty when unknown.
func (r *Replicator) LeaderID() string { return r.leader }

// Commit returns the index of the last committed entry that this node knows.
func (r *Replicator) Commit() uint64 { return r.commit }

// LastIndex returns the index of the last entry of the log.
func (r *Replicator) LastIndex() uint64 { return r.log.lastIndex() }

// FirstIndex returns the index of the first entry that is still in the log.
func (r *Replicator) FirstIndex() uint64 { return r.log.base + 1 }

// Applied returns the index of the last entry handed out for applying.
func (r *Replicator) Applied() uint64 { return r.applied }

// Membership returns the newest membership in the log, committed or not.
func (r *Replicator) Membership() *wire.Membership {
	return r.memberships[len(r.memberships)-1].membership
}

// MembershipAt returns the membership in force at an index, for a snapshot there.
func (r *Replicator) MembershipAt(index uint64) *wire.Membership {
	for i := len(r.memberships) - 1; i > 0; i-- {
		if r.memberships[i].index <= index {
			return r.memberships[i].membership
		}
	}
	return r.memberships[0].membership
}

// TermAt returns the term of an entry in the log, and whether it is there.
func (r *Replicator) TermAt(index uint64) (uint64, bool) { return r.log.termAt(index) }

// Entries returns the log from an index on, for rewriting the journal.
func (r *Replicator) Entries(from uint64) []*wire.Entry { return r.log.from(from) }

// HardState returns the term and the vote.
func (r *Replicator) HardState() *wire.HardState {
	return &wire.HardState{Term: r.term, Vote: r.vote}
}

// IsLeader reports whether this node leads in its own view; Lease says whether it may decide.
func (r *Replicator) IsLeader() bool { return r.role == leader }

// SinceLeaderContact returns how long this node has not heard from a leader, counted from its start at the earliest; 0
// on a leader.
func (r *Replicator) SinceLeaderContact(now time.Duration) time.Duration {
	if r.role == leader {
		return 0
	}
	return now - r.lastHeard
}

// MatchIndex returns how far a member's log is known to agree, and when it last answered. It is meaningful on a leader.
func (r *Replicator) MatchIndex(id string) (match uint64, ackedSend time.Duration, acked bool) {
	p := r.peers[id]
	if p == nil {
		return 0, 0, false
	}
	return p.match, p.ackedSend, p.acked
}

// HasLease reports whether this node leads, has committed an entry of its own term, and holds the leader lease: a
// majority answered messages that it sent within the last ElectionMin less the clock drift.
func (r *Replicator) HasLease(now time.Duration) bool {
	if r.role != leader || r.commit < r.termStart {
		return false
	}
	return now < r.leaseUntil(now)
}

func (r *Replicator) leaseUntil(now time.Duration) time.Duration {
	term := r.cfg.ElectionMin * time.Duration(100-r.cfg.DriftPercent) / 100
	acked, ok := r.quorumAck(now)
	if !ok {
		return 0
	}
	return acked + term
}

// quorumAck returns the newest time such that a majority of voters answered a message sent then or later.
func (r *Replicator) quorumAck(now time.Duration) (time.Duration, bool) {
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
			times = append(times, p.ackedSend)
		}
	}
	quorum := voters/2 + 1
	if voters == 0 || len(times) < quorum {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-quorum], true
}

// acceptsProposals is false while leadership is handed over, so that the successor can catch up.
func (r *Replicator) acceptsProposals(now time.Duration) bool {
	return r.successor == "" && r.HasLease(now)
}

// Propose appends commands to the log of a leader that holds its lease and returns the index and the term of the first.
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
	if r.hardStateDirt {
		record := &wire.JournalRecord{Body: &wire.JournalRecord_HardState{HardState: r.HardState()}}
		ready.Records = append([]*wire.JournalRecord{record}, ready.Records...)
		r.hardStateDirt = false
	}
	if r.commit > r.applied {
		upTo := min(r.commit, r.log.lastIndex())
		ready.Committed = r.log.slice(r.applied+1, upTo)
		r.applied = upTo
	}
	return ready
}

// MarkPersisted tells that everything returned by Ready so far is synced.
func (r *Replicator) MarkPersisted(now time.Duration) {
	r.persisted = r.log.lastIndex()
	if r.role == leader {
		r.advanceCommit(now)
	}
}

// MarkApplied tells that the host has applied the entries up to an index, which are not handed out again.
func (r *Replicator) MarkApplied(index uint64) {
	r.applied = max(r.applied, index)
	r.commit = max(r.commit, index)
}

// Compact takes note of a newly stored snapshot and drops the entries up to and including an index that it covers.
func (r *Replicator) Compact(snapshot *wire.SnapshotMeta, index uint64) {
	r.snapshot = snapshot
	index = min(index, snapshot.GetIndex())
	if index <= r.log.base {
		return
	}
	membership := r.MembershipAt(index)
	r.log.compact(index)
	kept := []membershipAt{{index: index, membership: membership}}
	for _, m := range r.memberships {
		if m.index > index {
			kept = append(kept, m)
		}
	}
	r.memberships = kept
}

func (r *Replicator) appendNew(kind wire.EntryKind, data []byte) {
	entry := &wire.Entry{Index: r.log.lastIndex() + 1, Term: r.term, Kind: kind, Data: data}
	r.appendToLog(entry)
	r.record(entry)
}

func (r *Replicator) record(entry *wire.Entry) {
	record := &wire.JournalRecord{Body: &wire.JournalRecord_Entry{Entry: entry}}
	r.pendingReady.Records = append(r.pendingReady.Records, record)
}

// appendToLog adds an entry, replacing a conflicting suffix, and keeps the membership history in step.
func (r *Replicator) appendToLog(entry *wire.Entry) {
	if entry.GetIndex() <= r.log.lastIndex() {
		if entry.GetIndex() <= r.commit {
			// No leader sends a different committed entry; going on would change what was already applied.
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
		// The entry was checked by CRC on disk and by the leader that encoded it.
		panic("membership entry does not decode: " + err.Error())
	}
	r.memberships = append(r.memberships, membershipAt{index: entry.GetIndex(), membership: membership})
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

func (r *Replicator) resetElection(now time.Duration) {
	spread := r.cfg.ElectionMax - r.cfg.ElectionMin
	r.electionDeadline = now + r.cfg.ElectionMin
	if spread > 0 {
		r.electionDeadline += time.Duration(r.cfg.Rand.Int64N(int64(spread)))
	}
}
