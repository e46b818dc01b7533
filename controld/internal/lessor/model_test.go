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

// simulatedEntry is an entry process with its requests. A request takes a slot and passes the lease check, and reaches
// the target at any later time. At most one request per target has passed the check and not yet reached the target.
type simulatedEntry struct {
	*fakeEntry
	leaseEnd      time.Duration
	used          map[string]int
	passed        map[string]bool
	announcements map[string]*wire.TargetState
	announcedAt   map[string]time.Duration
	delayed       []*wire.BeatRequest
}

// simulation holds a leader, the entry processes and the requests at the targets.
type simulation struct {
	now     time.Duration
	term    uint64
	boots   int
	lessor  *lessor.Lessor
	entries []*simulatedEntry
	// executing lists the requests at each target by the process that waits for the response, or nil if the process has
	// ended.
	executing map[string][]*simulatedEntry
}

func (s *simulation) newEntry(name string) *simulatedEntry {
	s.boots++
	return &simulatedEntry{
		fakeEntry: newFakeEntry(name, fmt.Sprintf("%04d", s.boots)), used: map[string]int{}, passed: map[string]bool{},
		announcements: map[string]*wire.TargetState{}, announcedAt: map[string]time.Duration{},
	}
}

func (s *simulation) buildBeat(e *simulatedEntry) *wire.BeatRequest {
	e.inProgress = map[string]uint64{}
	for target, n := range e.used {
		if _, owned := e.owned[target]; n > 0 && !owned {
			e.inProgress[target] = e.lastEpoch(target)
		}
	}
	for i := 1; e.full && i <= modelTargets; i++ {
		s.announce(e, fmt.Sprint("t", i))
	}
	var states []*wire.TargetState
	for name, state := range e.announcements {
		copied := announcement(name)
		copied.Slots, copied.Busy, copied.AgeMs = modelSlots, state.GetBusy(),
			uint32((s.now - e.announcedAt[name]).Milliseconds())
		states = append(states, copied)
	}
	e.announcements = map[string]*wire.TargetState{}
	return e.request(states...)
}

func (s *simulation) announce(e *simulatedEntry, name string) {
	e.announcements[name] = &wire.TargetState{Busy: uint32(len(s.executing[name]))}
	e.announcedAt[name] = s.now
}

var lastEpochs = map[*simulatedEntry]map[string]uint64{}

func (e *simulatedEntry) lastEpoch(target string) uint64 { return lastEpochs[e][target] }

// deliverBeat delivers a heartbeat. received says whether the process receives the reply.
func (s *simulation) deliverBeat(e *simulatedEntry, request *wire.BeatRequest, received bool) {
	sentAt := s.now
	reply := s.lessor.Beat(request, s.now)
	if !received {
		return
	}
	leaseEnded := s.now >= e.leaseEnd
	newSession := reply.GetSession() != e.session && !reply.GetSendFull()
	e.applyReply(reply)
	if newSession && leaseEnded {
		e.owned, e.version = map[string]*wire.Ownership{}, 0
	}
	if lastEpochs[e] == nil {
		lastEpochs[e] = map[string]uint64{}
	}
	for name, o := range e.owned {
		lastEpochs[e][name] = o.GetEpoch()
	}
	e.leaseEnd = max(e.leaseEnd, sentAt+time.Duration(reply.GetLeaseMs())*time.Millisecond)
}

func (s *simulation) passLeaseCheck(e *simulatedEntry, target string) {
	o := e.owned[target]
	if o == nil || s.now >= e.leaseEnd || e.passed[target] || e.used[target] >= modelSlots-int(o.GetReservedSlots()) {
		return
	}
	e.used[target]++
	e.passed[target] = true
}

func (s *simulation) reachTarget(e *simulatedEntry, target string) {
	if e.passed[target] {
		e.passed[target] = false
		s.executing[target] = append(s.executing[target], e)
	}
}

func (s *simulation) finishRequest(target string, at int) {
	list := s.executing[target]
	if len(list) == 0 {
		return
	}
	at %= len(list)
	if e := list[at]; e != nil {
		e.used[target]--
	}
	s.executing[target] = append(list[:at:at], list[at+1:]...)
}

// restart replaces a process. Its requests at the targets continue; those that have not reached a target never do.
func (s *simulation) restart(at int) {
	old := s.entries[at]
	for _, list := range s.executing {
		for i := range list {
			if list[i] == old {
				list[i] = nil
			}
		}
	}
	s.entries[at] = s.newEntry(old.name)
}

// TestTargetNeverGetsMoreRequestsThanSlots guards against more requests at a target than it has slots, over random
// sequences of paused, cut-off and restarted entry processes, lost replies, delayed heartbeats and changes of leader.
func TestTargetNeverGetsMoreRequestsThanSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &simulation{
			term: 1, lessor: newLessor(1, 0), executing: map[string][]*simulatedEntry{}, now: 4 * second,
		}
		for i := range 3 {
			s.entries = append(s.entries, s.newEntry(fmt.Sprint("e", i)))
		}
		lastEpochs = map[*simulatedEntry]map[string]uint64{}
		entry := rapid.IntRange(0, 2)
		target := rapid.Map(rapid.IntRange(1, modelTargets), func(i int) string { return fmt.Sprint("t", i) })
		pick := func(rt *rapid.T) *simulatedEntry { return s.entries[entry.Draw(rt, "process")] }
		rt.Repeat(map[string]func(*rapid.T){
			"advance": func(rt *rapid.T) {
				s.now += time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond
				s.lessor.ExpireEntries(s.now)
			},
			"announce": func(rt *rapid.T) { s.announce(pick(rt), target.Draw(rt, "target")) },
			"beat": func(rt *rapid.T) {
				e := pick(rt)
				s.deliverBeat(e, s.buildBeat(e), rapid.IntRange(0, 4).Draw(rt, "reply") > 0)
			},
			"round": func(rt *rapid.T) {
				s.now += second
				s.lessor.ExpireEntries(s.now)
				for _, e := range s.entries[rapid.IntRange(0, 2).Draw(rt, "cut off"):] {
					for i := range modelTargets {
						s.announce(e, fmt.Sprint("t", i+1))
					}
					s.deliverBeat(e, s.buildBeat(e), true)
				}
			},
			"delay": func(rt *rapid.T) {
				e := pick(rt)
				e.delayed = append(e.delayed, s.buildBeat(e))
			},
			"deliver delayed": func(rt *rapid.T) {
				if e := pick(rt); len(e.delayed) > 0 {
					s.deliverBeat(e, e.delayed[0], false)
					e.delayed = e.delayed[1:]
				}
			},
			"pass":  func(rt *rapid.T) { s.passLeaseCheck(pick(rt), target.Draw(rt, "target")) },
			"reach": func(rt *rapid.T) { s.reachTarget(pick(rt), target.Draw(rt, "target")) },
			"fill": func(rt *rapid.T) {
				e, name := pick(rt), target.Draw(rt, "target")
				for range modelSlots {
					s.passLeaseCheck(e, name)
					s.reachTarget(e, name)
				}
			},
			"finish": func(rt *rapid.T) {
				s.finishRequest(target.Draw(rt, "target"), rapid.IntRange(0, 7).Draw(rt, "at"))
			},
			"restart": func(rt *rapid.T) { s.restart(entry.Draw(rt, "process")) },
			"new leader": func(rt *rapid.T) {
				if rapid.IntRange(0, 5).Draw(rt, "rare") > 0 {
					return
				}
				s.now += second
				s.term++
				s.lessor = newLessor(s.term, s.now)
			},
			"": func(rt *rapid.T) {
				for name, list := range s.executing {
					require.LessOrEqual(rt, len(list), modelSlots, name)
				}
			},
		})
	})
}
