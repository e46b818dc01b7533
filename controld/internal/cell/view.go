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

// Config returns the configuration in force. It must not be changed.
func (c *Cell) Config() *wire.Config { return c.config }

// SheetNumber returns the number of the sheet in force; 0 when there is none.
func (c *Cell) SheetNumber() uint64 { return c.sheetNumber }

// Jobs returns all jobs by id. The map must not be changed.
func (c *Cell) Jobs() map[string]*job.Job { return c.jobs }

// Job returns a job by its id; nil when there is none.
func (c *Cell) Job(id string) *job.Job { return c.jobs[id] }

// WaitingJobs returns the jobs with tasks that wait. The map must not be changed.
func (c *Cell) WaitingJobs() map[string]*job.Job { return c.waiting }

// Workers returns all workers by name. The map must not be changed.
func (c *Cell) Workers() map[string]*worker.Worker { return c.workers }

// Worker returns a worker by its name; nil when there is none.
func (c *Cell) Worker(name string) *worker.Worker { return c.workers[name] }

// Usage returns what a team's active tasks take.
func (c *Cell) Usage(team string) resource.Vector { return c.usage[team] }

// UsageByTeam returns what the active tasks of each team take. The map must not be changed.
func (c *Cell) UsageByTeam() map[string]resource.Vector { return c.usage }

// Team returns a team's settings; nil when the configuration does not name it.
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

// WithinQuota reports whether a team may take more on top of what its active tasks take.
func (c *Cell) WithinQuota(team string, more resource.Vector) bool {
	return c.usage[team].Add(more).Within(resource.New(c.Team(team).GetQuota()))
}

// NextAttempt returns the number that the next placement is above; attempts count up over the whole cell.
func (c *Cell) NextAttempt() uint64 { return c.nextAttempt }

// Claims returns the idempotency keys.
func (c *Cell) Claims() *claim.Table { return c.claims }

// History returns the accepted operator changes, the oldest first. The slice must not be changed.
func (c *Cell) History() []*wire.HistoryEntry { return c.history }

// RanBefore reports whether a run has finished and left the sheet.
func (c *Cell) RanBefore(id string) bool { return c.ranBefore(id) }
