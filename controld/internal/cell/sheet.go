package cell

import (
	"bytes"
	"fmt"
	"sort"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Preview describes the effect of a sheet if it were applied now.
type Preview struct {
	// Start, Change and Stop list the ids of the jobs that would start, change and stop. Start and Change are in the
	// order of the sheet, Stop in order of id.
	Start  []string `json:"start"`
	Change []string `json:"change"`
	Stop   []string `json:"stop"`
	// AlreadyRun lists the runs that have finished or were cancelled by an operator. They will not run again.
	AlreadyRun []string `json:"already_run"`
	// Resume lists the jobs whose rows return to the sheet. Their unfinished tasks continue.
	Resume []string `json:"resume"`
	// UnknownTeams lists the teams of the sheet that the configuration does not contain.
	UnknownTeams []string `json:"unknown_teams"`
	// StoppedTasks counts the active tasks that would stop.
	StoppedTasks int `json:"stopped_tasks"`
	// ActiveTasks counts all tasks that may be running now.
	ActiveTasks int `json:"active_tasks"`
}

// NeedsConfirmation reports whether the sheet stops so many tasks that it may be a truncated export.
func (p *Preview) NeedsConfirmation() bool {
	return p.StoppedTasks*100 > p.ActiveTasks*MaxStopPercent
}

// Preview compares a sheet with the current jobs.
func (c *Cell) Preview(specs []*wire.JobSpec) *Preview {
	p := &Preview{
		Start: []string{}, Change: []string{}, Stop: []string{},
		AlreadyRun: []string{}, Resume: []string{}, UnknownTeams: []string{},
	}
	teams := map[string]bool{}
	listed := make(map[string]bool, len(specs))
	for _, spec := range specs {
		id := job.ID(spec)
		listed[id] = true
		teams[spec.GetTeam()] = true
		j := c.jobs[id]
		switch {
		case j == nil && c.ranBefore(id):
			p.AlreadyRun = append(p.AlreadyRun, id)
		case j == nil:
			p.Start = append(p.Start, id)
		case isFinal(j):
			p.AlreadyRun = append(p.AlreadyRun, id)
		case j.Removed():
			p.Resume = append(p.Resume, id)
			p.StoppedTasks += surplusTasks(j, spec)
		case !proto.Equal(j.Spec(), spec):
			p.Change = append(p.Change, id)
			p.StoppedTasks += surplusTasks(j, spec)
		}
	}
	for id, j := range c.jobs {
		p.ActiveTasks += j.Active()
		if listed[id] || j.Removed() || j.Finished() {
			continue
		}
		p.Stop = append(p.Stop, id)
		if j.Spec().GetKind() == wire.JobKind_JOB_KIND_SERVICE {
			p.StoppedTasks += j.Active()
		}
	}
	sort.Strings(p.Stop)
	for team := range teams {
		if c.UnknownTeam(team) {
			p.UnknownTeams = append(p.UnknownTeams, team)
		}
	}
	sort.Strings(p.UnknownTeams)
	return p
}

// UnknownTeam reports whether a configuration with teams is in force that does not contain the given team. Jobs of an
// unknown team have no quota.
func (c *Cell) UnknownTeam(name string) bool {
	return len(c.config.GetTeams()) > 0 && c.Team(name) == nil
}

// surplusTasks counts the active tasks of a job that a changed row no longer requests.
func surplusTasks(j *job.Job, spec *wire.JobSpec) int {
	count := 0
	for _, t := range j.Tasks() {
		if t.Active() && t.Index() >= spec.GetTasks() {
			count++
		}
	}
	return count
}

func (c *Cell) ranBefore(id string) bool {
	_, ok := c.finished[hashRun(id)]
	return ok
}

// CheckSheet returns a refusal if a sheet cannot be applied because of its number, and nil otherwise. same is true if
// the sheet is already in force.
func (c *Cell) CheckSheet(number uint64, digest []byte) (same bool, refusal *wire.Result) {
	switch {
	case number < c.sheetNumber:
		return false, refuse(reason.SheetOlder, "sheet %d is in force, which is newer than %d", c.sheetNumber, number)
	case number > c.sheetNumber:
		return false, nil
	case bytes.Equal(digest, c.sheetDigest):
		return true, nil
	default:
		return false, refuse(reason.SheetNumberReused, "sheet %d is in force with another content", number)
	}
}

func (c *Cell) applySheet(s *wire.ApplySheet, now int64) *wire.Result {
	if _, refusal := c.CheckSheet(s.GetNumber(), s.GetDigest()); refusal != nil {
		return refusal
	}
	preview := c.Preview(s.GetJobs())
	if preview.NeedsConfirmation() && int(s.GetConfirmedStops()) != preview.StoppedTasks {
		return refuse(reason.StopsUnconfirmed,
			"the sheet stops %d of %d active tasks; check the export and confirm that number (confirm_stops)",
			preview.StoppedTasks, preview.ActiveTasks)
	}
	if limit := c.checkLimits(s.GetJobs()); limit != nil {
		return limit
	}
	c.replaceJobs(s.GetJobs(), preview, now)
	c.sheetNumber, c.sheetDigest = s.GetNumber(), s.GetDigest()
	return &wire.Result{Detail: fmt.Sprintf("sheet %d: %d started, %d changed, %d resumed, %d removed, %d already run",
		s.GetNumber(), len(preview.Start), len(preview.Change), len(preview.Resume), len(preview.Stop),
		len(preview.AlreadyRun))}
}

// checkLimits refuses a sheet with which the cell would exceed its limits. Jobs and tasks of earlier sheets that still
// run count too.
func (c *Cell) checkLimits(specs []*wire.JobSpec) *wire.Result {
	tasks, jobs := 0, len(specs)
	listed := make(map[string]bool, len(specs))
	for _, spec := range specs {
		id := job.ID(spec)
		listed[id] = true
		tasks += int(spec.GetTasks())
		if j := c.jobs[id]; j != nil {
			tasks += surplusTasks(j, spec)
		}
	}
	for id, j := range c.jobs {
		if !listed[id] && j.Active() > 0 {
			tasks += j.Active()
			jobs++
		}
	}
	if tasks > c.limits.Tasks {
		return refuse(reason.LimitReached,
			"at most %d tasks, with those that still run for earlier sheets; this would make %d", c.limits.Tasks, tasks)
	}
	if jobs > c.limits.Jobs {
		return refuse(reason.LimitReached,
			"at most %d jobs, with those that still run for earlier sheets; this would make %d", c.limits.Jobs, jobs)
	}
	return nil
}

// activeUsage returns the resources of a job's active tasks.
func activeUsage(j *job.Job) resource.Vector {
	var sum resource.Vector
	for _, t := range j.Tasks() {
		if t.Active() {
			sum = sum.Add(t.Placed())
		}
	}
	return sum
}

func (c *Cell) replaceJobs(specs []*wire.JobSpec, preview *Preview, now int64) {
	listed := make(map[string]bool, len(specs))
	for _, spec := range specs {
		id := job.ID(spec)
		listed[id] = true
		j := c.jobs[id]
		switch {
		case j == nil && c.ranBefore(id):
			// The run is listed again, so its retention period starts anew.
			c.finished[hashRun(id)] = now / dayMs
			continue
		case j == nil:
			c.nextOrder++
			j = job.New(spec, c.nextOrder, now)
			c.jobs[id] = j
		case isFinal(j):
			continue
		default:
			// The row may name another team, which the active tasks count against from now on.
			c.addUsage(j, resource.Vector{}.Sub(activeUsage(j)))
			j.Update(spec, now)
			c.addUsage(j, activeUsage(j))
		}
		c.reindex(j)
	}
	for _, id := range preview.Stop {
		j := c.jobs[id]
		j.Remove(now)
		c.reindex(j)
	}
	c.removeEndedJobs(listed, now)
}

// removeEndedJobs removes jobs that have ended and left the sheet. The hashes of runs are kept, so that the runs do not
// start again. A run that was cut short is kept for CutShortRunRetentionDays, because a truncated export may have
// dropped its row by mistake, unless the cell contains more than MaxJobs.
func (c *Cell) removeEndedJobs(listed map[string]bool, now int64) {
	full := len(c.jobs) > MaxJobs
	for id, j := range c.jobs {
		if listed[id] || !j.Finished() ||
			!full && cutShort(j) && now-endedAt(j) <= CutShortRunRetentionDays*dayMs {
			continue
		}
		if isRun(j.Spec()) && (j.EverPlaced() || cancelledByOperator(j)) {
			c.finished[hashRun(id)] = now / dayMs
		}
		delete(c.jobs, id)
		delete(c.waiting, id)
		c.index.removeJob(j)
	}
	for hash, day := range c.finished {
		if now/dayMs-day > FinishedRunRetentionDays {
			delete(c.finished, hash)
		}
	}
}
