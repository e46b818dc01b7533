package replicator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

// A node that is cut off only from the leader must not be elected, because the leader's lease binds the other voters.
// The oracle fails the test if two nodes hold a lease at the same time.
func TestNodeSeparatedFromLeaderIsNotElected(t *testing.T) {
	for seed := range uint64(10) {
		n := newNetwork(t, 30+seed, 5)
		leader := n.awaitLeaseHolder()
		term := leader.repl.Term()
		separated := otherThan(n, leader)
		n.blocked[link{leader.id, separated.id}], n.blocked[link{separated.id, leader.id}] = true, true
		n.run(10 * time.Second)
		require.Equal(t, leader, n.leaseHolder())
		require.Equal(t, term, leader.repl.Term())
	}
}

// While one node is cut off only from the leader and another voter restarts repeatedly, two nodes must not hold a lease
// at the same time, which the oracle checks. A restart loses the record of the leader that the voter last heard, and
// must still not let it vote during that leader's lease.
func TestRestartsDoNotShortenLease(t *testing.T) {
	for seed := range uint64(20) {
		n := newNetwork(t, 50+seed, 3)
		leader := n.awaitLeaseHolder()
		separated := otherThan(n, leader)
		voter := otherThan(n, leader, separated)
		n.blocked[link{leader.id, separated.id}], n.blocked[link{separated.id, leader.id}] = true, true
		for range 30 {
			n.run(simHeartbeat + simTick)
			n.stop(voter)
			n.start(voter)
		}
		n.run(10 * time.Second)
		require.NotNil(t, n.leaseHolder())
	}
}

// The lease must count from the sending of a message, not from its reply. By the bound of the clock drift, it must be
// shorter than the time for which the voters grant no vote.
func TestLeaseStartsAtSendAndAllowsForDrift(t *testing.T) {
	r, now := newLeader(t)
	sent := now
	r.Step(sent+900*time.Millisecond, appendReply(sent))
	lease := simElectionMin * 99 / 100
	require.True(t, r.HasLease(sent+lease-1))
	require.False(t, r.HasLease(sent+lease))
	r.Step(sent+950*time.Millisecond, appendReply(sent-time.Millisecond))
	require.True(t, r.HasLease(sent+lease-1), "an older answer does not shorten the lease")
}

// newLeader returns the leader of three voters in term 1, whose first entry is sent but not committed, and the current
// time.
func newLeader(t *testing.T) (*Replicator, time.Duration) {
	t.Helper()
	n := newNetwork(t, 11, 0)
	cfg := n.config(n.create())
	cfg.ID = "a"
	members := &wire.Membership{Members: []*wire.Member{
		{Id: "a", Voter: true}, {Id: "b", Voter: true}, {Id: "c", Voter: true},
	}}
	now := 2 * simElectionMax
	r := New(cfg, RestoredState{Bootstrap: members}, 0)
	r.Tick(now)
	for _, pre := range []bool{true, false} {
		r.Step(now, &wire.PeerMessage{From: "b", To: "a", Term: 1, Body: &wire.PeerMessage_VoteReply{
			VoteReply: &wire.VoteReply{PreVote: pre, Granted: true},
		}})
	}
	require.True(t, r.IsLeader())
	r.Ready()
	markAllPersisted(r, now)
	return r, now
}

// markAllPersisted marks the whole log as synced.
func markAllPersisted(r *Replicator, now time.Duration) {
	term, _ := r.TermAt(r.LastIndex())
	r.MarkPersisted(r.LastIndex(), term, now)
}

func appendReply(sent time.Duration) *wire.PeerMessage {
	return &wire.PeerMessage{From: "b", To: "a", Term: 1, Body: &wire.PeerMessage_AppendReply{
		AppendReply: &wire.AppendReply{Accepted: true, MatchIndex: 1, SentAtNs: int64(sent)},
	}}
}

// A leader must not count its own copy of an entry before the entry is synced.
func TestLeaderCommitsOnlyWhatItSynced(t *testing.T) {
	r, now := newLeader(t)
	r.Step(now, appendReply(now))
	require.Len(t, r.Ready().Committed, 1)
	_, _, err := r.Propose(now, []byte("x"))
	require.NoError(t, err)
	reply := appendReply(now)
	reply.GetAppendReply().MatchIndex = 2
	require.NotEmpty(t, r.Ready().Records)
	r.Step(now, reply)
	require.Empty(t, r.Ready().Committed)
	markAllPersisted(r, now)
	require.Len(t, r.Ready().Committed, 1)
}

// A vote that is cast after its term was stored must be stored as well, else a restarted node can vote twice in the
// term.
func TestVoteIsPersistedBeforeItIsSent(t *testing.T) {
	r := followerWithEntries(t, 1, 1)
	now := 2 * simElectionMax
	request := &wire.PeerMessage{From: "b", To: "a", Term: 7, Body: &wire.PeerMessage_VoteRequest{
		VoteRequest: &wire.VoteRequest{},
	}}
	r.Step(now, request)
	require.Len(t, r.Ready().Records, 1, "the new term")
	upToDate := proto.Clone(request).(*wire.PeerMessage)
	upToDate.From, upToDate.GetVoteRequest().LastIndex, upToDate.GetVoteRequest().LastTerm = "c", 1, 1
	r.Step(now, upToDate)
	ready := r.Ready()
	require.True(t, ready.Messages[0].GetVoteReply().GetGranted())
	require.Equal(t, "c", ready.Records[0].GetHardState().GetVote())
}

// Entries of an earlier term must not be committed by counting copies, because a later leader could still replace them.
// They are committed together with the first entry of the leader's own term.
func TestEarlierTermsCommitOnlyWithCurrentTerm(t *testing.T) {
	r := followerWithEntries(t, 3, 1)
	now := 2 * simElectionMax
	r.Tick(now)
	for _, pre := range []bool{true, false} {
		r.Step(now, &wire.PeerMessage{From: "b", To: "a", Term: 2, Body: &wire.PeerMessage_VoteReply{
			VoteReply: &wire.VoteReply{PreVote: pre, Granted: true},
		}})
	}
	r.Ready()
	markAllPersisted(r, now)
	for _, step := range []struct{ match, commit uint64 }{{3, 0}, {4, 4}} {
		reply := appendReply(now)
		reply.Term, reply.GetAppendReply().MatchIndex = 2, step.match
		r.Step(now, reply)
		require.Equal(t, step.commit, r.Commit())
	}
}

// A reply to a heartbeat that was sent before the newest entry must not make the leader send that entry again.
func TestEntryInFlightIsNotSentAgain(t *testing.T) {
	r, now := newLeader(t)
	r.Step(now, appendReply(now))
	r.Ready()
	_, _, err := r.Propose(now, []byte("x"))
	require.NoError(t, err)
	require.NotEmpty(t, r.Ready().Messages)
	r.Step(now, appendReply(now))
	for _, msg := range r.Ready().Messages {
		require.Empty(t, msg.GetAppendRequest().GetEntries())
	}
}

// A sync that ends after its entries were replaced must not count for the entries that replaced them: a leader would
// count a copy that is not on its disk.
func TestSyncOfReplacedEntryDoesNotCount(t *testing.T) {
	r := followerWithEntries(t, 1, 1)
	now := simElectionMin
	appendEntry := func(term uint64) {
		r.Step(now, &wire.PeerMessage{From: "b", To: "a", Term: term, Body: &wire.PeerMessage_AppendRequest{
			AppendRequest: &wire.AppendRequest{
				PrevIndex: 1, PrevTerm: 1, Entries: []*wire.Entry{{Index: 2, Term: term, Kind: wire.EntryKind_ENTRY_KIND_COMMAND}},
			},
		}})
		r.Ready()
	}
	appendEntry(2)
	appendEntry(3)
	r.MarkPersisted(2, 2, now)
	require.EqualValues(t, 1, r.persisted)
	r.MarkPersisted(2, 3, now)
	require.EqualValues(t, 2, r.persisted)
}

// Guards against the silence of a member that this leader has just added counting from before it was added: the member was
// removed before it could answer.
func TestSilenceBeginsWhenTheMemberIsAdded(t *testing.T) {
	r, now := newLeader(t)
	now += simHeartbeat
	r.Step(now, appendReply(now))
	next := proto.Clone(r.Membership()).(*wire.Membership)
	next.Members = append(next.Members, &wire.Member{Id: "d"})
	_, _, err := r.ProposeMembership(now, next)
	require.NoError(t, err)
	added := now
	now += simHeartbeat
	require.Equal(t, simHeartbeat, r.Silence("d", now))
	require.Equal(t, 2*simHeartbeat, r.Silence("c", now), "it has not answered since the term began")
	reply := appendReply(added)
	reply.From = "d"
	r.Step(now+simHeartbeat, reply)
	require.Equal(t, 2*simHeartbeat, r.Silence("d", now+simHeartbeat), "since the answered message was sent")
	require.Zero(t, r.Silence("unknown", now))
}
