package controller

import (
	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/lessor"
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/controld/internal/scheduler"
	"flamingodrift.example/controld/internal/tally"
	"flamingodrift.example/core/wire"
)

// View gives a function that Query runs on the control goroutine access to the control state. It must not be retained
// after that function returns.
type View struct {
	Cell       *cell.Cell
	Planner    *planner.Planner
	Lessor     *lessor.Lessor
	Membership *wire.Membership
	LeaderName string
	DiskFull   bool
	// Voters is the intended number of voters of the consensus group.
	Voters int
	// SilentMembers holds the ids of members that have been silent for at least memberSilenceThreshold.
	SilentMembers []string
	Tally         *tally.Tally
	// Scheduler is nil in a cell without queues.
	Scheduler *scheduler.Scheduler
}

func (c *Controller) view() View {
	return View{
		Cell: c.cell, Planner: c.planner, Lessor: c.lessor, Membership: c.repl.Membership(),
		LeaderName: c.cfg.Member.GetName(), DiskFull: c.diskFull,
		Voters: c.cfg.Voters, SilentMembers: c.silentMembers(c.cfg.Clock.Now()), Tally: c.tally, Scheduler: c.scheduler,
	}
}
