package explainer

import (
	"fmt"
	"strings"

	"flamingodrift.example/controld/internal/tally"
	"flamingodrift.example/core/wire"
)

// Status summarizes the state of the cell. Problems come first, so that operators see them without asking for each.
type Status struct {
	InOrder      bool     `json:"in_order"`
	Problems     []string `json:"problems"`
	Sentences    []string `json:"sentences"`
	Leader       string   `json:"leader"`
	Revision     uint64   `json:"revision"`
	SheetNumber  uint64   `json:"sheet_number"`
	Jobs         int      `json:"jobs"`
	RunningTasks int      `json:"running_tasks"`
	// PlacedTasks counts the tasks with a worker that has not reported their start.
	PlacedTasks     int           `json:"placed_tasks"`
	WaitingTasks    int           `json:"waiting_tasks"`
	Workers         int           `json:"workers"`
	LostWorkers     int           `json:"lost_workers"`
	HeldWorkers     int           `json:"held_workers"`
	DrainingWorkers int           `json:"draining_workers"`
	EntryProcesses  int           `json:"entry_processes"`
	Targets         int           `json:"targets"`
	Claims          int           `json:"claims"`
	ControlVoters   int           `json:"control_voters"`
	DiskFull        bool          `json:"disk_full"`
	Refusals        []tally.Count `json:"refusals"`
	// RefusalsSinceUnixMs is when the leader began to count refusals.
	RefusalsSinceUnixMs int64 `json:"refusals_since_unix_ms"`
}

// Status returns a summary of the whole cell.
func (e *Explainer) Status() *Status {
	s := &Status{
		Leader: e.LeaderName, Revision: e.Cell.Revision(), SheetNumber: e.Cell.SheetNumber(),
		Jobs: len(e.Cell.Jobs()), Workers: len(e.Cell.Workers()), EntryProcesses: e.Lessor.EntryCount(),
		Targets: len(e.Lessor.Targets()), Claims: e.Cell.Claims().Len(), DiskFull: e.DiskFull,
		Refusals: e.Tally.Refusals(), RefusalsSinceUnixMs: e.Tally.SinceUnixMs(),
	}
	for _, j := range e.Cell.Jobs() {
		s.WaitingTasks += j.Waiting()
		for _, t := range j.Tasks() {
			switch t.State() {
			case wire.TaskState_TASK_STATE_RUNNING:
				s.RunningTasks++
			case wire.TaskState_TASK_STATE_PLACED:
				s.PlacedTasks++
			default:
			}
		}
	}
	for _, w := range e.Cell.Workers() {
		switch workerState(w) {
		case "lost":
			s.LostWorkers++
		case "held":
			s.HeldWorkers++
		case "draining":
			s.DrainingWorkers++
		}
	}
	for _, m := range e.Membership.GetMembers() {
		if m.GetVoter() {
			s.ControlVoters++
		}
	}
	s.Problems = e.problems(s)
	s.InOrder = len(s.Problems) == 0
	s.Sentences = e.statusSentences(s)
	return s
}

func (e *Explainer) statusSentences(s *Status) []string {
	first := "Everything is in order."
	if !s.InOrder {
		first = fmt.Sprintf("There %s %s:", isAre(len(s.Problems)), countNoun(len(s.Problems), "problem"))
	}
	lines := append([]string{first}, s.Problems...)
	sheet := fmt.Sprintf("Sheet %d is in force", s.SheetNumber)
	if s.SheetNumber == 0 {
		sheet = "No sheet is in force yet"
	}
	lines = append(lines,
		fmt.Sprintf("%s at revision %d; %s leads %s.",
			sheet, s.Revision, s.Leader, countNoun(s.ControlVoters, "control voter")),
		fmt.Sprintf("Tasks: %d running, %d placed and not yet started, %d waiting.",
			s.RunningTasks, s.PlacedTasks, s.WaitingTasks),
		fmt.Sprintf("There are %s, %s and %s.", countNoun(s.Workers-s.LostWorkers, "worker"),
			countProcesses(s.EntryProcesses), countNoun(s.Targets, "target")))
	if queues := e.queuesSentence(); queues != "" {
		lines = append(lines, queues)
	}
	if s.DrainingWorkers > 0 {
		lines = append(lines, fmt.Sprintf("%s %s drained by an operator.",
			countNoun(s.DrainingWorkers, "worker"), isAre(s.DrainingWorkers)))
	}
	if len(s.Refusals) == 0 {
		return append(lines, fmt.Sprintf("The leader has refused nothing since %s.", formatTime(s.RefusalsSinceUnixMs)))
	}
	var counts []string
	for _, c := range s.Refusals {
		counts = append(counts, fmt.Sprintf("%s %d", c.Reason, c.Count))
	}
	return append(lines, fmt.Sprintf("The leader has refused since %s: %s.",
		formatTime(s.RefusalsSinceUnixMs), strings.Join(counts, ", ")))
}

func countProcesses(n int) string {
	if n == 1 {
		return "1 entry process"
	}
	return fmt.Sprintf("%d entry processes", n)
}

func isAre(n int) string {
	if n == 1 {
		return "is"
	}
	return "are"
}
