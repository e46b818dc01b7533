// Package spreader estimates how waiting work spreads over groups of workers when each part of it can use some of the
// groups only. It does no I/O and reads no clock.
package spreader

import (
	"cmp"
	"slices"
)

// Work is an amount of work that the groups with the given indexes can do.
type Work struct {
	Groups []int
	Amount float64
}

// Spreader holds the load of each group. The level of a group is its load divided by its capacity.
type Spreader struct {
	capacity, load []float64
}

// New returns a Spreader for groups with the given capacities and loads.
func New(capacity, load []float64) *Spreader {
	return &Spreader{capacity: capacity, load: slices.Clone(load)}
}

// Load returns the load of a group.
func (s *Spreader) Load(group int) float64 { return s.load[group] }

// SpreadAll adds work to the groups. Work that fewer groups can do goes first, so that the rest avoids these groups where
// it can.
func (s *Spreader) SpreadAll(work []Work) {
	slices.SortStableFunc(work, func(a, b Work) int {
		return cmp.Compare(s.sum(a.Groups), s.sum(b.Groups))
	})
	for _, w := range work {
		s.Spread(w)
	}
}

func (s *Spreader) sum(groups []int) float64 {
	sum := 0.0
	for _, g := range groups {
		sum += s.capacity[g]
	}
	return sum
}

// Spread adds work to the groups with the lowest levels, so that their levels become equal. It returns that level and the
// groups that got a part.
func (s *Spreader) Spread(w Work) (level float64, used []int) {
	order := make([]int, 0, len(w.Groups))
	for _, g := range w.Groups {
		if s.capacity[g] > 0 {
			order = append(order, g)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(s.load[a]/s.capacity[a], s.load[b]/s.capacity[b])
	})
	load, capacity := w.Amount, 0.0
	for i, g := range order {
		if i > 0 && load/capacity <= s.load[g]/s.capacity[g] {
			break
		}
		load, capacity = load+s.load[g], capacity+s.capacity[g]
		used = order[:i+1]
	}
	if capacity == 0 {
		return 0, nil
	}
	level = load / capacity
	for _, g := range used {
		s.load[g] = level * s.capacity[g]
	}
	return level, used
}
