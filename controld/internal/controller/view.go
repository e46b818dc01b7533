package controller

import (
	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/controld/internal/registrar"
	"flamingodrift.example/core/wire"
)

// View gives a reader on the control thread access to the control state. It must not be kept.
type View struct {
	Cell       *cell.Cell
	Planner    *planner.Planner
	Registrar  *registrar.Registrar
	Membership *wire.Membership
	LeaderName string
	DiskFull   bool
}

func (c *Controller) view() View {
	return View{
		Cell: c.cell, Planner: c.plan, Registrar: c.reg, Membership: c.repl.Membership(),
		LeaderName: c.cfg.Member.GetName(), DiskFull: c.diskFull,
	}
}
