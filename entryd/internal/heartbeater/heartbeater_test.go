package heartbeater_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/entryd/internal/collector"
	"flamingodrift.example/entryd/internal/dispatcher"
	"flamingodrift.example/entryd/internal/heartbeater"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// site is a heartbeater with a fake leader on a simulated clock. before runs while a beat is on its way.
type site struct {
	now         time.Duration
	heartbeater *heartbeater.Heartbeater
	dispatcher  *dispatcher.Dispatcher
	collector   *collector.Collector
	beats       []*wire.BeatRequest
	reply       *wire.BeatReply
	before      func()
}

func (s *site) Now() time.Duration { return s.now }

func (s *site) Call(_ context.Context, request *wire.Request) (*wire.Reply, error) {
	s.beats = append(s.beats, request.GetBeat())
	if s.before != nil {
		s.before()
	}
	if s.reply == nil {
		return nil, errors.New("no leader")
	}
	return &wire.Reply{Body: &wire.Reply_Beat{Beat: s.reply}}, nil
}

func newSite() *site {
	s := &site{now: time.Hour}
	s.dispatcher = dispatcher.New(dispatcher.Config{Clock: s})
	s.collector = collector.New(collector.Config{AnnounceInterval: time.Second, Clock: s, OnLeaving: s.dispatcher.MarkLeaving})
	s.heartbeater = heartbeater.New(heartbeater.Config{
		Name: "e1", Boot: "1", BeatInterval: time.Second, ConfigValidity: 5 * time.Second, Clock: s, Leader: s,
		Dispatcher: s.dispatcher, Collector: s.collector, Logger: slog.New(slog.DiscardHandler),
	})
	return s
}

// beat sends a beat that gets a reply, or none for nil.
func (s *site) beat(reply *wire.BeatReply) *wire.BeatRequest {
	s.reply = reply
	s.heartbeater.Beat(context.Background())
	return s.beats[len(s.beats)-1]
}

func (s *site) current() reason.Reason { return s.heartbeater.RefusalReason(s.now) }

func (s *site) announce(t *testing.T, body string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	s.collector.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
	require.Equal(t, http.StatusOK, recorder.Code, recorder.Body.String())
}

func configured(revision uint64) *wire.BeatReply {
	return &wire.BeatReply{
		Session: 1, ConfigRevision: revision, LeaseMs: 3_000,
		Config: &wire.Config{Revision: revision, Services: []*wire.Service{{Name: "chairbook"}}},
	}
}

func owning(session, version uint64, names ...string) *wire.BeatReply {
	reply := configured(1)
	reply.Session, reply.OwnershipVersion, reply.OwnershipChanged = session, version, true
	for _, name := range names {
		reply.Owned = append(reply.Owned, &wire.Ownership{Epoch: 7, Target: &wire.TargetState{
			Target: name, Service: "chairbook", Address: "10.0.0.1:1", Slots: 8, Connections: 64, Boot: "b1",
		}})
	}
	return reply
}

// Guards against serving with a configuration that nobody confirmed for longer than the limit.
func TestClosesWhenBeatsAreNotAnswered(t *testing.T) {
	s := newSite()
	require.Equal(t, reason.NotCurrent, s.current())
	s.beat(configured(1))
	require.Equal(t, reason.None, s.current())
	for range 4 {
		s.now += time.Second
		s.beat(nil)
		require.Equal(t, reason.None, s.current())
	}
	s.now += time.Second
	require.Equal(t, reason.NotCurrent, s.current(), "without a beat in between")
	s.beat(configured(1))
	require.Equal(t, reason.None, s.current())
}

// Guards against going back to an earlier configuration, or counting as current by one, after a change of leader.
func TestLowerRevisionIsNeverTaken(t *testing.T) {
	s := newSite()
	s.beat(configured(3))
	s.now += 4 * time.Second
	lower := configured(2)
	lower.Session = 2
	s.beat(lower)
	require.EqualValues(t, 3, s.heartbeater.State().Config.GetRevision())
	s.now += time.Second
	require.Equal(t, reason.NotCurrent, s.current())
	require.EqualValues(t, 3, s.beat(configured(4)).GetConfigRevision())
	require.EqualValues(t, 4, s.heartbeater.State().Config.GetRevision())
	require.Equal(t, reason.None, s.current())
}

// Guards against a revision that is announced but was not received counting as current.
func TestAnnouncedRevisionIsNotCurrent(t *testing.T) {
	s := newSite()
	s.beat(&wire.BeatReply{Session: 1, ConfigRevision: 5})
	require.Equal(t, reason.NotCurrent, s.current())
}

// Guards against a lease or confirmation that counts from the arrival of the reply: the process may have been paused
// since it sent the beat.
func TestLateReplyExtendsNothingBeyondItsSending(t *testing.T) {
	s := newSite()
	s.before = func() { s.now += 4 * time.Second }
	s.beat(owning(1, 1, "t1"))
	require.True(t, s.dispatcher.LeaseExpired(s.now), "3 s after sending have passed")
	require.Equal(t, reason.None, s.current())
	s.now += time.Second
	require.Equal(t, reason.NotCurrent, s.current())
	slot, _ := s.dispatcher.Acquire("chairbook", s.now)
	require.Nil(t, slot)
}

// Guards against using targets that an earlier leader may have given away since the lease ended.
func TestClaimIsDroppedWhenTheLeaseEndedBeforeTheReply(t *testing.T) {
	s := newSite()
	s.beat(owning(1, 1, "t1"))
	s.beat(owning(1, 1, "t1"))
	s.beat(&wire.BeatReply{Session: 2, SendFull: true, ConfigRevision: 1})
	s.now += 2 * time.Second
	s.before = func() { s.now += 2 * time.Second }
	full := s.beat(owning(2, 1<<33, "t1"))
	require.True(t, full.GetFull())
	require.Len(t, full.GetOwned(), 1)
	require.NotNil(t, full.GetOwned()[0].GetState())
	require.False(t, full.GetOwned()[0].GetEnded(), "the lease had not ended when the beat was built")
	s.before = nil
	slot, _ := s.dispatcher.Acquire("chairbook", s.now)
	require.Nil(t, slot)
	next := s.beat(owning(2, 1<<33+1, "t1"))
	require.Empty(t, next.GetOwned())
	require.Zero(t, next.GetOwnershipVersion())
	slot, _ = s.dispatcher.Acquire("chairbook", s.now)
	require.NotNil(t, slot, "granted anew")
}

// Guards against targets that are lost with a change of leader although the lease goes on.
func TestTargetsAreKeptOverAChangeOfLeader(t *testing.T) {
	s := newSite()
	s.beat(owning(1, 1, "t1"))
	s.beat(owning(1, 1, "t1"))
	s.now += time.Second
	s.beat(&wire.BeatReply{Session: 2, SendFull: true, ConfigRevision: 1})
	slot, _ := s.dispatcher.Acquire("chairbook", s.now)
	require.NotNil(t, slot)
	s.beat(owning(2, 1<<33, "t1"))
	next := s.beat(owning(2, 1<<33, "t1"))
	require.EqualValues(t, 2, next.GetSession())
	require.False(t, next.GetFull())
	require.Len(t, next.GetOwned(), 1)
}

// Guards against listing all targets in every beat, and against leaving out a change that the leader waits for.
func TestOwnedTargetsAreListedWhenTheyChange(t *testing.T) {
	s := newSite()
	s.beat(owning(1, 1, "t1"))
	s.beat(owning(1, 1, "t1"))
	require.Len(t, s.beat(owning(1, 1, "t1")).GetOwned(), 1)
	steady := s.beat(owning(1, 1, "t1"))
	require.Empty(t, steady.GetOwned())
	require.True(t, steady.GetOwnedUnchanged())

	slot, _ := s.dispatcher.Acquire("chairbook", s.now)
	require.NotNil(t, slot)
	s.beat(owning(1, 2))
	taken := s.beat(nil)
	require.False(t, taken.GetOwnedUnchanged())
	require.True(t, taken.GetOwned()[0].GetEnded())
	require.Len(t, s.beat(owning(1, 2)).GetOwned(), 1, "the last beat was not answered")
	require.True(t, s.beat(owning(1, 2)).GetOwnedUnchanged())
	slot.Release()
	ended := s.beat(owning(1, 2))
	require.False(t, ended.GetOwnedUnchanged())
	require.Empty(t, ended.GetOwned())
}

// Guards against requests to a target that just announced here that it leaves, also when the leader's copy is older.
func TestLeavingTargetGetsNothingAtOnce(t *testing.T) {
	s := newSite()
	s.beat(owning(1, 1, "t1"))
	s.beat(owning(1, 1, "t1"))
	slot, _ := s.dispatcher.Acquire("chairbook", s.now)
	require.NotNil(t, slot)
	const body = `{"target":"t1","service":"chairbook","address":"10.0.0.1:1","slots":8,"connections":64,"boot":"b1","leaving":true}`
	s.announce(t, body)
	slot, _ = s.dispatcher.Acquire("chairbook", s.now)
	require.Nil(t, slot)
	s.beat(owning(1, 2, "t1"))
	slot, _ = s.dispatcher.Acquire("chairbook", s.now)
	require.Nil(t, slot)
	require.Zero(t, s.heartbeater.State().Peers)
}

// Guards against announcements that are lost with an unanswered beat, repeated in full each second because the number of
// busy slots changed, or passed on when they prove nothing any more.
func TestAnnouncementsAreCarriedByBeats(t *testing.T) {
	s := newSite()
	announce := func(busy string) {
		s.announce(t, `{"target":"t1","service":"chairbook","address":"10.0.0.1:1","slots":8,"boot":"b1","busy":`+busy+`}`)
	}
	announce("0")
	require.Len(t, s.beat(nil).GetTargets(), 1)
	s.now += time.Second
	again := s.beat(owning(1, 1))
	require.Len(t, again.GetTargets(), 1)
	require.EqualValues(t, 1_000, again.GetTargets()[0].GetAgeMs())
	announce("5")
	watched := owning(1, 1)
	watched.WatchedTargets = []string{"t1"}
	renewed := s.beat(watched)
	require.Equal(t, []string{"t1"}, renewed.GetRenewed())
	require.Empty(t, renewed.GetTargets())
	announce("6")
	require.EqualValues(t, 6, s.beat(owning(1, 1)).GetTargets()[0].GetBusy())
	require.Empty(t, s.beat(owning(1, 1)).GetRenewed())
	announce("7")
	s.now += 10 * time.Second
	old := s.beat(owning(1, 1))
	require.Empty(t, old.GetRenewed())
	require.Empty(t, old.GetTargets())
}

// Guards against a shutdown that leaves the targets to the end of the lease.
func TestEndHandsTheTargetsBack(t *testing.T) {
	s := newSite()
	s.beat(owning(1, 1, "t1"))
	s.beat(owning(1, 1, "t1"))
	require.NoError(t, s.heartbeater.SendLastBeat(context.Background()))
	last := s.beats[len(s.beats)-1]
	require.True(t, last.GetEnded())
	require.Empty(t, last.GetOwned())
	slot, _ := s.dispatcher.Acquire("chairbook", s.now)
	require.Nil(t, slot)
}
