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
		WorkerLease: 10 * second, PollTimeout: 2 * second, EntryLease: 3 * second, TargetSilence: 4 * second, DriftPercent: 1,
	}
}

func leader(term uint64, now time.Duration) *lessor.Lessor {
	r := lessor.New(config(), term, nil, nil, now)
	if term == 1 {
		r.SetNeverServed()
	}
	return r
}

func announced(name string) *wire.TargetState {
	return &wire.TargetState{Target: name, Service: "chairbook", Address: "10.0.0.1:80", Slots: 8, Connections: 64, Boot: "b1"}
}

// process is the part of an entry process that matters to the leader: it takes over replies and reports what it holds.
type process struct {
	name, boot string
	version    uint64
	session    uint64
	stamp      uint64
	full       bool
	owned      map[string]*wire.Ownership
	// inProgress lists targets that were taken away while requests are in progress, with the epoch.
	inProgress map[string]uint64
	// sent and answered are what the last built and the last answered beat listed.
	sent, answered string
}

func newProcess(name, boot string) *process {
	return &process{name: name, boot: boot, owned: map[string]*wire.Ownership{}, inProgress: map[string]uint64{}}
}

func (p *process) request(targets ...*wire.TargetState) *wire.BeatRequest {
	request := &wire.BeatRequest{
		Entry: p.name, Boot: p.boot, OwnershipVersion: p.version, Session: p.session, Full: p.full, Targets: targets,
		StampMs: p.stamp,
	}
	for name, o := range p.owned {
		owned := &wire.OwnedTarget{Target: name, Epoch: o.GetEpoch(), FormerOwners: o.GetFormerOwners(), ReservedSlots: o.GetReservedSlots()}
		if p.full {
			owned.State = o.GetTarget()
		}
		request.Owned = append(request.Owned, owned)
	}
	for name, epoch := range p.inProgress {
		request.Owned = append(request.Owned, &wire.OwnedTarget{Target: name, Epoch: epoch, Ended: true})
	}
	slices.SortFunc(request.Owned, func(a, b *wire.OwnedTarget) int { return strings.Compare(a.GetTarget(), b.GetTarget()) })
	p.sent = fmt.Sprint(p.version, p.session, request.Owned)
	if !p.full && p.sent == p.answered {
		request.Owned, request.OwnedUnchanged = nil, true
	}
	return request
}

func (p *process) take(reply *wire.BeatReply) {
	p.full = reply.GetSendFull()
	if p.full {
		return
	}
	p.answered = p.sent
	p.session, p.stamp = reply.GetSession(), reply.GetStampMs()
	if reply.GetOwnershipChanged() {
		p.version = reply.GetOwnershipVersion()
		p.owned = map[string]*wire.Ownership{}
		for _, o := range reply.GetOwned() {
			p.owned[o.GetTarget().GetTarget()] = o
		}
	}
}

// beat exchanges beats until the process holds what the leader grants, as the heartbeater does.
func (p *process) beat(r *lessor.Lessor, now time.Duration, targets ...*wire.TargetState) {
	p.take(r.Beat(p.request(targets...), now))
	if p.full {
		p.take(r.Beat(p.request(targets...), now))
	}
}

func (p *process) reserved(target string) int {
	if o := p.owned[target]; o != nil {
		return int(o.GetReservedSlots())
	}
	return -1
}

// beats lets processes send beats each second, with an announcement of an idle target, from one time to another.
func beats(r *lessor.Lessor, from, to time.Duration, processes ...*process) {
	for now := from; now <= to; now += second {
		r.ExpireEntries(now)
		for _, p := range processes {
			p.beat(r, now, announced("t1"))
		}
	}
}
