package planner

import (
	"container/heap"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
)

// team is the usage of a team in a round. The team with the smallest weighted dominant share places the next task.
type team struct {
	name   string
	weight float64
	used   resource.Vector
	quota  resource.Vector
	// share is the dominant share: the largest fraction that the team uses of any resource of the usable workers.
	share float64
}

func (t *team) weightedShare() float64 { return t.share / t.weight }

func (r *round) team(name string) *team {
	t := r.teams[name]
	if t == nil {
		settings := r.cell.Team(name)
		t = &team{name: name, weight: float64(max(settings.GetWeight(), 1)), quota: resource.New(settings.GetQuota())}
		r.teams[name] = t
		r.totalWeight += t.weight
		r.addUsage(t, r.cell.Usage(name))
	}
	return t
}

func (r *round) addUsage(t *team, more resource.Vector) {
	t.used = t.used.Add(more)
	t.share = t.used.Share(r.workers.capacity)
}

// loadTeams adds each team that uses resources or has waiting jobs. The fair shares are relative to their total weight.
func (r *round) loadTeams() {
	for name := range r.cell.UsageByTeam() {
		r.team(name)
	}
	for level := range cell.Levels {
		for name := range r.cell.WaitingByTeam(level) {
			r.team(name)
		}
	}
}

// fairShare returns the fraction of the cell to which a team is entitled.
func (r *round) fairShare(t *team) float64 { return t.weight / r.totalWeight }

// cursor iterates over the waiting jobs of one team and level in order of arrival.
type cursor struct {
	team  *team
	jobs  []*job.Job
	index int
	cand  *candidate
	// byArrival orders the cursors by the arrival of their next jobs instead of by shares.
	byArrival bool
}

// sortKey returns the team's weighted share, or the arrival of its next job.
func (c *cursor) sortKey() float64 {
	if c.byArrival && c.index < len(c.jobs) {
		return float64(c.jobs[c.index].Order())
	}
	return c.team.weightedShare()
}

// cursors is a min-heap by sortKey; ties are broken by the team's name.
type cursors []*cursor

func (h cursors) Len() int      { return len(h) }
func (h cursors) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h cursors) Less(a, b int) bool {
	if keyA, keyB := h[a].sortKey(), h[b].sortKey(); keyA != keyB {
		return keyA < keyB
	}
	return h[a].team.name < h[b].team.name
}

// Push implements heap.Interface.
func (h *cursors) Push(item any) { *h = append(*h, item.(*cursor)) }

// Pop implements heap.Interface.
func (h *cursors) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// placeLevel places the waiting tasks of a level one at a time, always from the team that has the smallest weighted
// share at that moment.
func (r *round) placeLevel(level int) {
	h := cursors{}
	for name, jobs := range r.cell.WaitingByTeam(level) {
		h = append(h, &cursor{team: r.team(name), jobs: jobs, byArrival: r.planner.cfg.ArrivalOrder})
	}
	heap.Init(&h)
	for h.Len() > 0 && len(r.decisions.Placements) < maxPlacements {
		top := h[0]
		placed := r.advanceCursor(top, level)
		switch {
		case top.index == len(top.jobs):
			heap.Pop(&h)
		case placed || top.byArrival:
			heap.Fix(&h, 0)
		}
	}
}

// advanceCursor places the next task of a cursor's job, or records why the job waits and moves to the next job. It
// reports whether anything was placed.
func (r *round) advanceCursor(cur *cursor, level int) bool {
	if cur.cand == nil {
		cur.cand = r.newCandidate(cur.jobs[cur.index], cur.team, level)
	}
	before := len(r.decisions.Placements)
	if cur.cand == nil || !r.placeNext(cur.cand) {
		cur.index, cur.cand = cur.index+1, nil
	}
	return len(r.decisions.Placements) > before
}
