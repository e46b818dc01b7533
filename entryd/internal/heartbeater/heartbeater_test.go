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

// harness is a heartbeater with a fake leader and a simulated clock. onCall runs while a heartbeat is in flight.
type harness struct {
	now         time.Duration
	heartbeater *heartbeater.Heartbeater
	dispatcher  *dispatcher.Dispatcher
	collector   *collector.Collector
	beats       []*wire.BeatRequest
	reply       *wire.BeatReply
	onCall      func()
}

func (h *harness) Now() time.Duration { return h.now }

func (h *harness) Call(_ context.Context, request *wire.Request) (*wire.Reply, error) {
	h.beats = append(h.beats, request.GetBeat())
	if h.onCall != nil {
		h.onCall()
	}
	if h.reply == nil {
		return nil, errors.New("no leader")
	}
	return &wire.Reply{Body: &wire.Reply_Beat{Beat: h.reply}}, nil
}

func newHarness() *harness {
	h := &harness{now: time.Hour}
	h.dispatcher = dispatcher.New(dispatcher.Config{Clock: h})
	h.collector = collector.New(collector.Config{
		AnnounceInterval: time.Second, Clock: h, OnLeaving: h.dispatcher.MarkLeaving,
	})
	h.heartbeater = heartbeater.New(heartbeater.Config{
		Name: "e1", Boot: "1", BeatInterval: time.Second, ConfigValidity: 5 * time.Second, Clock: h, Leader: h,
		Dispatcher: h.dispatcher, Collector: h.collector, Logger: slog.New(slog.DiscardHandler),
	})
	return h
}

// beat sends a heartbeat, which gets the reply, or an error if that is nil.
func (h *harness) beat(reply *wire.BeatReply) *wire.BeatRequest {
	h.reply = reply
	h.heartbeater.Beat(context.Background())
	return h.beats[len(h.beats)-1]
}

func (h *harness) refusalReason() reason.Reason { return h.heartbeater.RefusalReason(h.now) }

func (h *harness) announce(t *testing.T, body string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	h.collector.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
	require.Equal(t, http.StatusOK, recorder.Code, recorder.Body.String())
}

func configReply(revision uint64) *wire.BeatReply {
	return &wire.BeatReply{
		Session: 1, ConfigRevision: revision, LeaseMs: 3_000,
		Config: &wire.Config{Revision: revision, Services: []*wire.Service{{Name: "chairbook"}}},
	}
}

func ownershipReply(session, version uint64, names ...string) *wire.BeatReply {
	reply := configReply(1)
	reply.Session, reply.OwnershipVersion, reply.OwnershipChanged = session, version, true
	for _, name := range names {
		reply.Owned = append(reply.Owned, &wire.Ownership{Epoch: 7, Target: &wire.TargetState{
			Target: name, Service: "chairbook", Address: "10.0.0.1:1", Slots: 8, Connections: 64, Boot: "b1",
		}})
	}
	return reply
}

// Guards against accepting requests with a configuration whose last confirmation is older than ConfigValidity.
func TestRequestsAreRefusedWhenBeatsAreNotAnswered(t *testing.T) {
	h := newHarness()
	require.Equal(t, reason.NotCurrent, h.refusalReason())
	h.beat(configReply(1))
	require.Equal(t, reason.None, h.refusalReason())
	for range 4 {
		h.now += time.Second
		h.beat(nil)
		require.Equal(t, reason.None, h.refusalReason())
	}
	h.now += time.Second
	require.Equal(t, reason.NotCurrent, h.refusalReason(), "without a heartbeat in between")
	h.beat(configReply(1))
	require.Equal(t, reason.None, h.refusalReason())
}

// Guards against applying an earlier configuration, or counting it as a confirmation, after a change of leader.
func TestLowerRevisionIsNeverApplied(t *testing.T) {
	h := newHarness()
	h.beat(configReply(3))
	h.now += 4 * time.Second
	lower := configReply(2)
	lower.Session = 2
	h.beat(lower)
	require.EqualValues(t, 3, h.heartbeater.State().Config.GetRevision())
	h.now += time.Second
	require.Equal(t, reason.NotCurrent, h.refusalReason())
	require.EqualValues(t, 3, h.beat(configReply(4)).GetConfigRevision())
	require.EqualValues(t, 4, h.heartbeater.State().Config.GetRevision())
	require.Equal(t, reason.None, h.refusalReason())
}

// Guards against counting the configuration as current because of a revision that was announced but not received.
func TestAnnouncedRevisionIsNotCurrent(t *testing.T) {
	h := newHarness()
	h.beat(&wire.BeatReply{Session: 1, ConfigRevision: 5})
	require.Equal(t, reason.NotCurrent, h.refusalReason())
}

// Guards against a lease or confirmation that is counted from the arrival of the reply: the process may have been
// paused since it sent the heartbeat.
func TestLeaseAndValidityCountFromSending(t *testing.T) {
	h := newHarness()
	h.onCall = func() { h.now += 4 * time.Second }
	h.beat(ownershipReply(1, 1, "t1"))
	require.True(t, h.dispatcher.LeaseExpired(h.now), "3 s after sending have passed")
	require.Equal(t, reason.None, h.refusalReason())
	h.now += time.Second
	require.Equal(t, reason.NotCurrent, h.refusalReason())
	slot, _ := h.dispatcher.Acquire("chairbook", h.now)
	require.Nil(t, slot)
}

// Guards against using targets that the previous leader may have granted to another process since the lease ended.
func TestOwnershipIsResetWhenTheLeaseEndedBeforeTheReply(t *testing.T) {
	h := newHarness()
	h.beat(ownershipReply(1, 1, "t1"))
	h.beat(ownershipReply(1, 1, "t1"))
	h.beat(&wire.BeatReply{Session: 2, SendFull: true, ConfigRevision: 1})
	h.now += 2 * time.Second
	h.onCall = func() { h.now += 2 * time.Second }
	full := h.beat(ownershipReply(2, 1<<33, "t1"))
	require.True(t, full.GetFull())
	require.Len(t, full.GetOwned(), 1)
	require.NotNil(t, full.GetOwned()[0].GetState())
	require.False(t, full.GetOwned()[0].GetEnded(), "the lease had not ended when the heartbeat was built")
	h.onCall = nil
	slot, _ := h.dispatcher.Acquire("chairbook", h.now)
	require.Nil(t, slot)
	next := h.beat(ownershipReply(2, 1<<33+1, "t1"))
	require.Empty(t, next.GetOwned())
	require.Zero(t, next.GetOwnershipVersion())
	slot, _ = h.dispatcher.Acquire("chairbook", h.now)
	require.NotNil(t, slot, "granted anew")
}

// Guards against losing targets with a change of leader while the lease is still valid.
func TestTargetsAreKeptOverAChangeOfLeader(t *testing.T) {
	h := newHarness()
	h.beat(ownershipReply(1, 1, "t1"))
	h.beat(ownershipReply(1, 1, "t1"))
	h.now += time.Second
	h.beat(&wire.BeatReply{Session: 2, SendFull: true, ConfigRevision: 1})
	slot, _ := h.dispatcher.Acquire("chairbook", h.now)
	require.NotNil(t, slot)
	h.beat(ownershipReply(2, 1<<33, "t1"))
	next := h.beat(ownershipReply(2, 1<<33, "t1"))
	require.EqualValues(t, 2, next.GetSession())
	require.False(t, next.GetFull())
	require.Len(t, next.GetOwned(), 1)
}

// Guards against listing all owned targets in every heartbeat, and against leaving out a change that the leader waits
// for.
func TestOwnedTargetsAreListedWhenTheyChange(t *testing.T) {
	h := newHarness()
	h.beat(ownershipReply(1, 1, "t1"))
	h.beat(ownershipReply(1, 1, "t1"))
	require.Len(t, h.beat(ownershipReply(1, 1, "t1")).GetOwned(), 1)
	steady := h.beat(ownershipReply(1, 1, "t1"))
	require.Empty(t, steady.GetOwned())
	require.True(t, steady.GetOwnedUnchanged())

	slot, _ := h.dispatcher.Acquire("chairbook", h.now)
	require.NotNil(t, slot)
	h.beat(ownershipReply(1, 2))
	released := h.beat(nil)
	require.False(t, released.GetOwnedUnchanged())
	require.True(t, released.GetOwned()[0].GetEnded())
	require.Len(t, h.beat(ownershipReply(1, 2)).GetOwned(), 1, "the last heartbeat was not answered")
	require.True(t, h.beat(ownershipReply(1, 2)).GetOwnedUnchanged())
	slot.Release()
	ended := h.beat(ownershipReply(1, 2))
	require.False(t, ended.GetOwnedUnchanged())
	require.Empty(t, ended.GetOwned())
}

// Guards against requests to a target that has announced to this process that it leaves, even when the leader's copy is
// older.
func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	h := newHarness()
	h.beat(ownershipReply(1, 1, "t1"))
	h.beat(ownershipReply(1, 1, "t1"))
	slot, _ := h.dispatcher.Acquire("chairbook", h.now)
	require.NotNil(t, slot)
	const body = `{"target":"t1","service":"chairbook","address":"10.0.0.1:1","slots":8,"connections":64,"boot":"b1","leaving":true}`
	h.announce(t, body)
	slot, _ = h.dispatcher.Acquire("chairbook", h.now)
	require.Nil(t, slot)
	h.beat(ownershipReply(1, 2, "t1"))
	slot, _ = h.dispatcher.Acquire("chairbook", h.now)
	require.Nil(t, slot)
	require.Zero(t, h.heartbeater.State().Peers)
}

// Guards against announcements that are lost with an unanswered heartbeat, sent in full each second because the number
// of busy slots changed, or sent after they have expired.
func TestAnnouncementsAreCarriedByBeats(t *testing.T) {
	h := newHarness()
	announce := func(busy string) {
		h.announce(t, `{"target":"t1","service":"chairbook","address":"10.0.0.1:1","slots":8,"boot":"b1","busy":`+busy+`}`)
	}
	announce("0")
	require.Len(t, h.beat(nil).GetTargets(), 1)
	h.now += time.Second
	again := h.beat(ownershipReply(1, 1))
	require.Len(t, again.GetTargets(), 1)
	require.EqualValues(t, 1_000, again.GetTargets()[0].GetAgeMs())
	announce("5")
	watched := ownershipReply(1, 1)
	watched.WatchedTargets = []string{"t1"}
	renewed := h.beat(watched)
	require.Equal(t, []string{"t1"}, renewed.GetRenewed())
	require.Empty(t, renewed.GetTargets())
	announce("6")
	require.EqualValues(t, 6, h.beat(ownershipReply(1, 1)).GetTargets()[0].GetBusy())
	require.Empty(t, h.beat(ownershipReply(1, 1)).GetRenewed())
	announce("7")
	h.now += 10 * time.Second
	old := h.beat(ownershipReply(1, 1))
	require.Empty(t, old.GetRenewed())
	require.Empty(t, old.GetTargets())
}

// Guards against a shutdown after which the targets stay unused until the lease ends.
func TestLastBeatReleasesTheTargets(t *testing.T) {
	h := newHarness()
	h.beat(ownershipReply(1, 1, "t1"))
	h.beat(ownershipReply(1, 1, "t1"))
	require.NoError(t, h.heartbeater.SendLastBeat(context.Background()))
	last := h.beats[len(h.beats)-1]
	require.True(t, last.GetEnded())
	require.Empty(t, last.GetOwned())
	slot, _ := h.dispatcher.Acquire("chairbook", h.now)
	require.Nil(t, slot)
}
