package lessor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingodrift.example/controld/internal/lessor"
	"flamingodrift.example/core/wire"
)

const (
	modelSlots   = 3
	modelTargets = 2
)

// runningProcess is a process with its requests. A request takes a slot and passes the lease check, then reaches the
// target at any later time: at most one for each target is in between.
type runningProcess struct {
	*process
	until   time.Duration
	used    map[string]int
	passed  map[string]bool
	heard   map[string]*wire.TargetState
	heardAt map[string]time.Duration
	delayed []*wire.BeatRequest
}

type world struct {
	now       time.Duration
	term      uint64
	boots     int
	leader    *lessor.Lessor
	processes []*runningProcess
	// executing counts requests at each target, with the process that waits for each, or nil when it has ended.
	executing map[string][]*runningProcess
}

func (w *world) start(name string) *runningProcess {
	w.boots++
	return &runningProcess{
		process: newProcess(name, fmt.Sprintf("%04d", w.boots)), used: map[string]int{}, passed: map[string]bool{},
		heard: map[string]*wire.TargetState{}, heardAt: map[string]time.Duration{},
	}
}

func (w *world) build(p *runningProcess) *wire.BeatRequest {
	p.inProgress = map[string]uint64{}
	for target, n := range p.used {
		if _, owned := p.owned[target]; n > 0 && !owned {
			p.inProgress[target] = p.lastEpoch(target)
		}
	}
	for i := 1; p.full && i <= modelTargets; i++ {
		w.announce(p, fmt.Sprint("t", i))
	}
	var states []*wire.TargetState
	for name, state := range p.heard {
		copied := announced(name)
		copied.Slots, copied.Busy, copied.AgeMs = modelSlots, state.GetBusy(), uint32((w.now - p.heardAt[name]).Milliseconds())
		states = append(states, copied)
	}
	p.heard = map[string]*wire.TargetState{}
	return p.request(states...)
}

func (w *world) announce(p *runningProcess, name string) {
	p.heard[name] = &wire.TargetState{Busy: uint32(len(w.executing[name]))}
	p.heardAt[name] = w.now
}

var epochs = map[*runningProcess]map[string]uint64{}

func (p *runningProcess) lastEpoch(target string) uint64 { return epochs[p][target] }

// exchange delivers a beat; reply tells whether the process receives the reply.
func (w *world) exchange(p *runningProcess, request *wire.BeatRequest, received bool) {
	sentAt := w.now
	reply := w.leader.Beat(request, w.now)
	if !received {
		return
	}
	lapsed := w.now >= p.until
	adopting := reply.GetSession() != p.session && !reply.GetSendFull()
	p.take(reply)
	if adopting && lapsed {
		p.owned, p.version = map[string]*wire.Ownership{}, 0
	}
	if epochs[p] == nil {
		epochs[p] = map[string]uint64{}
	}
	for name, o := range p.owned {
		epochs[p][name] = o.GetEpoch()
	}
	p.until = max(p.until, sentAt+time.Duration(reply.GetLeaseMs())*time.Millisecond)
}

func (w *world) pass(p *runningProcess, target string) {
	o := p.owned[target]
	if o == nil || w.now >= p.until || p.passed[target] || p.used[target] >= modelSlots-int(o.GetReservedSlots()) {
		return
	}
	p.used[target]++
	p.passed[target] = true
}

func (w *world) reach(p *runningProcess, target string) {
	if p.passed[target] {
		p.passed[target] = false
		w.executing[target] = append(w.executing[target], p)
	}
}

func (w *world) finish(target string, at int) {
	list := w.executing[target]
	if len(list) == 0 {
		return
	}
	at %= len(list)
	if p := list[at]; p != nil {
		p.used[target]--
	}
	w.executing[target] = append(list[:at:at], list[at+1:]...)
}

// restart replaces a process. Its requests go on at the targets; one that has not reached its target never does.
func (w *world) restart(at int) {
	old := w.processes[at]
	for _, list := range w.executing {
		for i := range list {
			if list[i] == old {
				list[i] = nil
			}
		}
	}
	w.processes[at] = w.start(old.name)
}

// Guards against more requests at a target than it has slots: with paused, cut-off and restarted entry processes, lost
// replies, delayed beats and changes of leader, in any order.
func TestTargetNeverGetsMoreRequestsThanSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{term: 1, leader: leader(1, 0), executing: map[string][]*runningProcess{}, now: 4 * second}
		for i := range 3 {
			w.processes = append(w.processes, w.start(fmt.Sprint("e", i)))
		}
		epochs = map[*runningProcess]map[string]uint64{}
		process := rapid.IntRange(0, 2)
		target := rapid.Map(rapid.IntRange(1, modelTargets), func(i int) string { return fmt.Sprint("t", i) })
		pick := func(rt *rapid.T) *runningProcess { return w.processes[process.Draw(rt, "process")] }
		rt.Repeat(map[string]func(*rapid.T){
			"advance": func(rt *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond
				w.leader.ExpireEntries(w.now)
			},
			"announce": func(rt *rapid.T) { w.announce(pick(rt), target.Draw(rt, "target")) },
			"beat": func(rt *rapid.T) {
				p := pick(rt)
				w.exchange(p, w.build(p), rapid.IntRange(0, 4).Draw(rt, "reply") > 0)
			},
			"round": func(rt *rapid.T) {
				w.now += second
				w.leader.ExpireEntries(w.now)
				for _, p := range w.processes[rapid.IntRange(0, 2).Draw(rt, "cut off"):] {
					for i := range modelTargets {
						w.announce(p, fmt.Sprint("t", i+1))
					}
					w.exchange(p, w.build(p), true)
				}
			},
			"delay": func(rt *rapid.T) {
				p := pick(rt)
				p.delayed = append(p.delayed, w.build(p))
			},
			"deliver delayed": func(rt *rapid.T) {
				if p := pick(rt); len(p.delayed) > 0 {
					w.exchange(p, p.delayed[0], false)
					p.delayed = p.delayed[1:]
				}
			},
			"pass":  func(rt *rapid.T) { w.pass(pick(rt), target.Draw(rt, "target")) },
			"reach": func(rt *rapid.T) { w.reach(pick(rt), target.Draw(rt, "target")) },
			"fill": func(rt *rapid.T) {
				p, name := pick(rt), target.Draw(rt, "target")
				for range modelSlots {
					w.pass(p, name)
					w.reach(p, name)
				}
			},
			"finish":  func(rt *rapid.T) { w.finish(target.Draw(rt, "target"), rapid.IntRange(0, 7).Draw(rt, "at")) },
			"restart": func(rt *rapid.T) { w.restart(process.Draw(rt, "process")) },
			"new leader": func(rt *rapid.T) {
				if rapid.IntRange(0, 5).Draw(rt, "rare") > 0 {
					return
				}
				w.now += second
				w.term++
				w.leader = leader(w.term, w.now)
			},
			"": func(rt *rapid.T) {
				for name, list := range w.executing {
					require.LessOrEqual(rt, len(list), modelSlots, name)
				}
			},
		})
	})
}
