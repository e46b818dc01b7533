package cell

import (
	"strconv"
	"strings"

	"flamingodrift.example/controld/internal/claim"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/controld/internal/worker"
	"flamingodrift.example/core/wire"
)

func splitTaskID(id string) (jobID string, index int, ok bool) {
	at := strings.LastIndexByte(id, '/')
	if at < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(id[at+1:])
	return id[:at], index, err == nil && index >= 0
}

// Revision returns the number of accepted operator changes.
func (c *Cell) Revision() uint64 { return c.revision }

// Config returns the configuration in force. It must not be modified.
func (c *Cell) Config() *wire.Config { return c.config }

// SheetNumber returns the number of the sheet in force, or 0 if there is none.
func (c *Cell) SheetNumber() uint64 { return c.sheetNumber }

// Jobs returns all jobs by id. The map must not be modified.
func (c *Cell) Jobs() map[string]*job.Job { return c.jobs }

// Job returns the job with the given id, or nil if there is none.
func (c *Cell) Job(id string) *job.Job { return c.jobs[id] }

// WaitingJobs returns the jobs with waiting tasks by id. The map must not be modified.
func (c *Cell) WaitingJobs() map[string]*job.Job { return c.waiting }

// Workers returns all workers by name. The map must not be modified.
func (c *Cell) Workers() map[string]*worker.Worker { return c.workers }

// Worker returns the worker with the given name, or nil if there is none.
func (c *Cell) Worker(name string) *worker.Worker { return c.workers[name] }

// Usage returns the resources of a team's active tasks.
func (c *Cell) Usage(team string) resource.Vector { return c.usage[team] }

// UsageByTeam returns the resources of each team's active tasks. The map must not be modified.
func (c *Cell) UsageByTeam() map[string]resource.Vector { return c.usage }

// Team returns a team's settings, or nil if the configuration does not contain the team.
func (c *Cell) Team(name string) *wire.Team {
	return c.index.teams[name]
}

func (c *Cell) setConfig(config *wire.Config) {
	c.config = config
	c.index.teams = make(map[string]*wire.Team, len(config.GetTeams()))
	for _, t := range config.GetTeams() {
		c.index.teams[t.GetName()] = t
	}
}

// WithinQuota reports whether a team's quota allows more resources besides those of its active tasks.
func (c *Cell) WithinQuota(team string, more resource.Vector) bool {
	return c.usage[team].Add(more).Within(resource.New(c.Team(team).GetQuota()))
}

// LatestAttempt returns the number of the latest attempt; the next placement gets the number after it. Attempts are
// numbered across the whole cell.
func (c *Cell) LatestAttempt() uint64 { return c.latestAttempt }

// Claims returns the claims by idempotency key.
func (c *Cell) Claims() *claim.Table { return c.claims }

// History returns the latest MaxHistory accepted operator changes, oldest first. The slice must not be modified.
func (c *Cell) History() []*wire.HistoryEntry { return c.history }

// RanBefore reports whether a run has left the sheet, is no longer among the jobs, and is remembered as one that must
// not run again.
func (c *Cell) RanBefore(id string) bool { return c.ranBefore(id) }
