package scheduler

import (
	"slices"
	"time"

	"flamingodrift.example/controld/internal/matcher"
	"flamingodrift.example/controld/internal/resource"
)

// roomFinder tells whether a worker of a set has room for a task. It keeps, for each group, the free capacities of the
// usable workers of which none is larger than another in each resource.
type roomFinder struct {
	free map[*matcher.Group][]resource.Vector
}

func (sc *Scheduler) newRoomFinder(now time.Duration) *roomFinder {
	f := &roomFinder{free: map[*matcher.Group][]resource.Vector{}}
	for _, s := range sc.sessions {
		if s.group != nil && sc.usable(s, now) {
			f.add(s.group, s.incarnation.Free())
		}
	}
	return f
}

func (f *roomFinder) add(g *matcher.Group, free resource.Vector) {
	if slices.ContainsFunc(f.free[g], free.FitsIn) {
		return
	}
	f.free[g] = append(slices.DeleteFunc(f.free[g], func(v resource.Vector) bool { return v.FitsIn(free) }), free)
}

func (f *roomFinder) hasRoom(set *matcher.Set, need resource.Vector) bool {
	return slices.ContainsFunc(set.Groups(), func(g *matcher.Group) bool {
		return slices.ContainsFunc(f.free[g], need.FitsIn)
	})
}
