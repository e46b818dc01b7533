package controller

import (
	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/lessor"
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/controld/internal/scheduler"
	"flamingodrift.example/controld/internal/tally"
	"flamingodrift.example/core/wire"
)

// View gives a reader on the control thread access to the control state. It must not be kept.
type View struct {
	Cell       *cell.Cell
	Planner    *planner.Planner
	Registrar  *lessor.Lessor
	Membership *wire.Membership
	LeaderName string
	DiskFull   bool
	// Voters is how many voters the group should have.
	Voters int
	// SilentMembers holds the ids of members that have not been heard for some seconds.
	SilentMembers []string
	Tally         *tally.Tally
	// Scheduler is nil where no jobs are submitted to queues.
	Scheduler *scheduler.Scheduler
}

func (c *Controller) view() View {
	return View{
		Cell: c.cell, Planner: c.plan, Registrar: c.reg, Membership: c.repl.Membership(),
		LeaderName: c.cfg.Member.GetName(), DiskFull: c.diskFull,
		Voters: c.cfg.Voters, SilentMembers: c.silentMembers(c.cfg.Clock.Now()), Tally: c.tally, Scheduler: c.scheduler,
	}
}
