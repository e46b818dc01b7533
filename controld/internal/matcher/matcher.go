// Package matcher tells which workers could run a task if they were idle. Placement, admission and the explanation of
// waits share its answer. It does no I/O and reads no clock.
package matcher

import (
	"fmt"
	"slices"
	"strings"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
)

// Worker describes a worker that takes new runs, or will once it is heard.
type Worker struct {
	Name, Pool string
	Labels     []string
	Capacity   resource.Vector
}

// Equal reports whether two workers have the same name and can run the same tasks.
func (w Worker) Equal(o Worker) bool {
	return w.Name == o.Name && w.Pool == o.Pool && w.Capacity == o.Capacity && slices.Equal(w.Labels, o.Labels)
}

// Requirement is what the tasks of a step require of workers.
type Requirement struct {
	Pool string
	// Label must be among the labels of the worker; empty for none.
	Label string
	// Need is the resources of one task.
	Need resource.Vector
	// Together is the number of tasks that must run at the same time. MostPerWorker limits those on one worker; 0 means
	// no limit.
	Together, MostPerWorker int
}

// Group is the workers of a pool with the same labels and capacity.
type Group struct {
	index    int
	pool     string
	labels   []string
	capacity resource.Vector
	workers  []string
}

// Index returns the position of the group among the groups of the Matcher.
func (g *Group) Index() int { return g.index }

// Workers returns the names of the workers.
func (g *Group) Workers() []string { return g.workers }

// Capacity returns the capacity of each worker.
func (g *Group) Capacity() resource.Vector { return g.capacity }

// Set is a set of groups. Matches with the same groups share their Set.
type Set struct {
	groups []*Group
	// has says by index whether a group is in the set.
	has []bool
	// cpu is the capacity of all its workers together, in thousandths of a core.
	cpu     int64
	workers int
	// isPool is set if the set holds all workers of the pool.
	isPool bool
}

// Groups returns the groups of the set.
func (s *Set) Groups() []*Group { return s.groups }

// CPU returns the processors of all workers of the set, in thousandths.
func (s *Set) CPU() int64 { return s.cpu }

// Workers returns the number of workers of the set.
func (s *Set) Workers() int { return s.workers }

// IsPool reports whether the set holds all workers of the pool.
func (s *Set) IsPool() bool { return s.isPool }

// Has reports whether a group is in the set. It returns false for nil.
func (s *Set) Has(g *Group) bool { return g != nil && g.index < len(s.has) && s.has[g.index] }

// Match is the answer for one requirement.
type Match struct {
	set     *Set
	missing reason.Reason
	detail  string
}

// Possible reports whether the workers could run the tasks if they were idle.
func (m *Match) Possible() bool { return m.missing == reason.None }

// Set returns the workers that could run a task; it has no groups if the match is not possible.
func (m *Match) Set() *Set { return m.set }

// Missing returns why no workers could run the tasks, with a sentence that names what is missing. It returns
// reason.None if some could.
func (m *Match) Missing() (why reason.Reason, detail string) { return m.missing, m.detail }

// maxMatches bounds the number of matches that are kept.
const maxMatches = 4096

// Matcher matches requirements with a fixed list of workers.
type Matcher struct {
	groups  []*Group
	groupOf map[string]*Group
	matches map[Requirement]*Match
	sets    map[string]*Set
	none    *Set
}

// New returns a Matcher for a list of workers.
func New(workers []Worker) *Matcher {
	m := &Matcher{
		groupOf: make(map[string]*Group, len(workers)), matches: map[Requirement]*Match{}, sets: map[string]*Set{},
		none: &Set{},
	}
	groups := map[groupKey]*Group{}
	for _, w := range workers {
		labels := slices.Sorted(slices.Values(w.Labels))
		key := groupKey{pool: w.Pool, labels: strings.Join(labels, "\x00"), capacity: w.Capacity}
		g := groups[key]
		if g == nil {
			g = &Group{index: len(m.groups), pool: w.Pool, labels: labels, capacity: w.Capacity}
			groups[key] = g
			m.groups = append(m.groups, g)
		}
		g.workers = append(g.workers, w.Name)
		m.groupOf[w.Name] = g
	}
	return m
}

// groupKey holds what the workers of a group have in common.
type groupKey struct {
	pool, labels string
	capacity     resource.Vector
}

// Groups returns all groups.
func (m *Matcher) Groups() []*Group { return m.groups }

// GroupOf returns the group of a worker by name; nil for an unknown worker.
func (m *Matcher) GroupOf(worker string) *Group { return m.groupOf[worker] }

// Match returns the workers that could run the tasks of a requirement.
func (m *Matcher) Match(r Requirement) *Match {
	if match := m.matches[r]; match != nil {
		return match
	}
	if len(m.matches) >= maxMatches {
		clear(m.matches)
	}
	match := m.match(r)
	m.matches[r] = match
	return match
}

func (m *Matcher) match(r Requirement) *Match {
	var pool, labeled, fitting []*Group
	for _, g := range m.groups {
		if g.pool != r.Pool {
			continue
		}
		pool = append(pool, g)
		if r.Label != "" && !slices.Contains(g.labels, r.Label) {
			continue
		}
		labeled = append(labeled, g)
		if r.Need.FitsIn(g.capacity) {
			fitting = append(fitting, g)
		}
	}
	switch copies := copiesIn(fitting, r); {
	case len(pool) == 0:
		return m.impossible(reason.NoWorkers, fmt.Sprintf("Pool %s has no worker that takes new runs.", r.Pool))
	case len(labeled) == 0:
		return m.impossible(reason.NoMatchingWorker, fmt.Sprintf("No worker of pool %s has the label %s.", r.Pool, r.Label))
	case len(fitting) == 0:
		return m.impossible(reason.ExceedsLargestWorker, "Each task needs "+amounts(r.Need)+"; "+largestPhrase(labeled, r.Label))
	case copies < int64(r.Together):
		return m.impossible(reason.ExceedsCell,
			fmt.Sprintf("All %d tasks must start at once; all workers that could run them have room for %d.", r.Together, copies))
	}
	return &Match{set: m.set(fitting, len(fitting) == len(pool))}
}

func (m *Matcher) impossible(why reason.Reason, detail string) *Match {
	return &Match{set: m.none, missing: why, detail: detail}
}

// set returns the Set of a list of groups, which is in the order of their indexes.
func (m *Matcher) set(groups []*Group, isPool bool) *Set {
	var key strings.Builder
	for _, g := range groups {
		fmt.Fprintf(&key, "%d ", g.index)
	}
	s := m.sets[key.String()]
	if s == nil {
		s = &Set{groups: groups, isPool: isPool, workers: countWorkers(groups)}
		s.has = make([]bool, len(m.groups))
		for _, g := range groups {
			s.has[g.index] = true
			s.cpu += g.capacity.CPU() * int64(len(g.workers))
		}
		m.sets[key.String()] = s
	}
	return s
}

// copiesIn returns how many tasks of a requirement fit on groups of idle workers.
func copiesIn(groups []*Group, r Requirement) int64 {
	var sum int64
	for _, g := range groups {
		sum += int64(len(g.workers)) * CopiesOn(r, g.capacity)
	}
	return sum
}

// CopiesOn returns how many tasks of a requirement fit on one idle worker.
func CopiesOn(r Requirement, capacity resource.Vector) int64 {
	copies := r.Need.CopiesIn(capacity)
	if r.MostPerWorker > 0 {
		copies = min(copies, int64(r.MostPerWorker))
	}
	return copies
}

func countWorkers(groups []*Group) int {
	count := 0
	for _, g := range groups {
		count += len(g.workers)
	}
	return count
}

// amounts formats the resources of a task.
func amounts(v resource.Vector) string {
	text := fmt.Sprintf("%.1f processors and %d MB", float64(v.CPU())/1000, v.Memory())
	if v.Accelerators() > 0 {
		text += fmt.Sprintf(" and %d accelerators", v.Accelerators())
	}
	return text
}

// largestPhrase names the largest amount of each resource on any of the workers.
func largestPhrase(groups []*Group, label string) string {
	var largest resource.Vector
	for _, g := range groups {
		largest = largest.Max(g.capacity)
	}
	which := "any worker"
	if label != "" {
		which += " with the label " + label
	}
	return fmt.Sprintf("%s has at most %s.", which, amounts(largest))
}
