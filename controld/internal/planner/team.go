package planner

import (
	"container/heap"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
)

// team is what a round knows of a team: its weighted dominant share decides whose job goes next.
type team struct {
	name   string
	weight float64
	used   resource.Vector
	quota  resource.Vector
	// share is the largest fraction of the usable capacity that the team takes of any resource.
	share float64
}

func (t *team) weighted() float64 { return t.share / t.weight }

func (r *round) team(name string) *team {
	t := r.teams[name]
	if t == nil {
		settings := r.c.Team(name)
		t = &team{name: name, weight: float64(max(settings.GetWeight(), 1)), quota: resource.New(settings.GetQuota())}
		r.teams[name] = t
		r.weights += t.weight
		r.teamUses(t, r.c.Usage(name))
	}
	return t
}

func (r *round) teamUses(t *team, more resource.Vector) {
	t.used = t.used.Add(more)
	t.share = t.used.Share(r.w.capacity)
}

// sumTeams takes in every team that uses something or waits; their weights share the cell.
func (r *round) sumTeams() {
	for name := range r.c.UsageByTeam() {
		r.team(name)
	}
	for level := range cell.Levels {
		for name := range r.c.WaitingByTeam(level) {
			r.team(name)
		}
	}
}

// fair returns the part of the cell that a team may claim.
func (r *round) fair(t *team) float64 { return t.weight / r.weights }

// cursor walks through the waiting jobs of one team and level in order of arrival.
type cursor struct {
	team *team
	jobs []*job.Job
	at   int
	x    *candidate
	// byArrival orders by arrival instead of shares.
	byArrival bool
}

// key orders cursors: the team's weighted share, or the arrival of its next job.
func (c *cursor) key() float64 {
	if c.byArrival && c.at < len(c.jobs) {
		return float64(c.jobs[c.at].Order())
	}
	return c.team.weighted()
}

// cursors is a heap: the team with the smallest weighted share is on top, and names break ties.
type cursors []*cursor

func (h cursors) Len() int      { return len(h) }
func (h cursors) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h cursors) Less(a, b int) bool {
	if x, y := h[a].key(), h[b].key(); x != y {
		return x < y
	}
	return h[a].team.name < h[b].team.name
}

// Push implements heap.Interface.
func (h *cursors) Push(x any) { *h = append(*h, x.(*cursor)) }

// Pop implements heap.Interface.
func (h *cursors) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// placeLevel places tasks one at a time, each of the team that has the least for its weight at that moment.
func (r *round) placeLevel(level int) {
	h := cursors{}
	for name, jobs := range r.c.WaitingByTeam(level) {
		h = append(h, &cursor{team: r.team(name), jobs: jobs, byArrival: r.p.cfg.ArrivalOrder})
	}
	heap.Init(&h)
	for h.Len() > 0 && len(r.d.Placements) < maxPlacements {
		top := h[0]
		placed := r.step(top, level)
		switch {
		case top.at == len(top.jobs):
			heap.Pop(&h)
		case placed || top.byArrival:
			heap.Fix(&h, 0)
		}
	}
}

// step places the next task of a cursor, or notes why its job waits and moves on. It reports whether anything was placed.
func (r *round) step(cur *cursor, level int) bool {
	if cur.x == nil {
		cur.x = r.open(cur.jobs[cur.at], cur.team, level)
	}
	before := len(r.d.Placements)
	if cur.x == nil || !r.advance(cur.x) {
		cur.at, cur.x = cur.at+1, nil
	}
	return len(r.d.Placements) > before
}
