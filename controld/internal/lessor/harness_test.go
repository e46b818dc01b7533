package lessor_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"flamingodrift.example/controld/internal/lessor"
	"flamingodrift.example/core/wire"
)

const second = time.Second

func config() lessor.Config {
	return lessor.Config{
		WorkerLease: 10 * second, PollTimeout: 2 * second, EntryLease: 3 * second, TargetSilence: 4 * second,
		DriftPercent: 1,
	}
}

// newLessor returns the Lessor of a leader in a given term; no target has been served before term 1.
func newLessor(term uint64, now time.Duration) *lessor.Lessor {
	l := lessor.New(config(), term, nil, nil, now)
	if term == 1 {
		l.SetNeverServed()
	}
	return l
}

// announcement returns the announcement of an idle target.
func announcement(name string) *wire.TargetState {
	return &wire.TargetState{
		Target: name, Service: "chairbook", Address: "10.0.0.1:80", Slots: 8, Connections: 64, Boot: "b1",
	}
}

// fakeEntry implements the part of an entry process that the leader sees: it applies replies and reports the targets
// that it owns.
type fakeEntry struct {
	name, boot string
	version    uint64
	session    uint64
	stamp      uint64
	full       bool
	owned      map[string]*wire.Ownership
	// inProgress holds the epochs of targets that the process lost while requests were in progress.
	inProgress map[string]uint64
	// sent and answered are the content of the last heartbeat that was built and of the last one that was answered.
	sent, answered string
}

func newFakeEntry(name, boot string) *fakeEntry {
	return &fakeEntry{name: name, boot: boot, owned: map[string]*wire.Ownership{}, inProgress: map[string]uint64{}}
}

func (e *fakeEntry) request(targets ...*wire.TargetState) *wire.BeatRequest {
	request := &wire.BeatRequest{
		Entry: e.name, Boot: e.boot, OwnershipVersion: e.version, Session: e.session, Full: e.full, Targets: targets,
		StampMs: e.stamp,
	}
	for name, o := range e.owned {
		owned := &wire.OwnedTarget{
			Target: name, Epoch: o.GetEpoch(), FormerOwners: o.GetFormerOwners(), ReservedSlots: o.GetReservedSlots(),
		}
		if e.full {
			owned.State = o.GetTarget()
		}
		request.Owned = append(request.Owned, owned)
	}
	for name, epoch := range e.inProgress {
		request.Owned = append(request.Owned, &wire.OwnedTarget{Target: name, Epoch: epoch, Ended: true})
	}
	slices.SortFunc(request.Owned, func(a, b *wire.OwnedTarget) int {
		return strings.Compare(a.GetTarget(), b.GetTarget())
	})
	e.sent = fmt.Sprint(e.version, e.session, request.Owned)
	if !e.full && e.sent == e.answered {
		request.Owned, request.OwnedUnchanged = nil, true
	}
	return request
}

func (e *fakeEntry) applyReply(reply *wire.BeatReply) {
	e.full = reply.GetSendFull()
	if e.full {
		return
	}
	e.answered = e.sent
	e.session, e.stamp = reply.GetSession(), reply.GetStampMs()
	if reply.GetOwnershipChanged() {
		e.version = reply.GetOwnershipVersion()
		e.owned = map[string]*wire.Ownership{}
		for _, o := range reply.GetOwned() {
			e.owned[o.GetTarget().GetTarget()] = o
		}
	}
}

// beat exchanges heartbeats until the process owns what the leader grants, as the heartbeater does.
func (e *fakeEntry) beat(l *lessor.Lessor, now time.Duration, targets ...*wire.TargetState) {
	e.applyReply(l.Beat(e.request(targets...), now))
	if e.full {
		e.applyReply(l.Beat(e.request(targets...), now))
	}
}

// reserved returns the number of reserved slots of a target, or -1 if the process does not own it.
func (e *fakeEntry) reserved(target string) int {
	if o := e.owned[target]; o != nil {
		return int(o.GetReservedSlots())
	}
	return -1
}

// beatEverySecond sends a heartbeat of each process every second, with an announcement of the idle target t1.
func beatEverySecond(l *lessor.Lessor, from, to time.Duration, entries ...*fakeEntry) {
	for now := from; now <= to; now += second {
		l.ExpireEntries(now)
		for _, e := range entries {
			e.beat(l, now, announcement("t1"))
		}
	}
}
