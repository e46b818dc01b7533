// Package explainer answers operators' questions about what runs, what waits and why, in whole sentences.
package explainer

import (
	"fmt"
	"sort"
	"time"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/controld/internal/registrar"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Explainer reads the control state of a leader. It must be used on the control thread and not be kept.
type Explainer struct {
	Cell       *cell.Cell
	Planner    *planner.Planner
	Registrar  *registrar.Registrar
	Membership *wire.Membership
	LeaderName string
	DiskFull   bool
	Now        time.Duration
}

// Status answers "is everything in order?".
type Status struct {
	Leader          string   `json:"leader"`
	Revision        uint64   `json:"revision"`
	SheetNumber     uint64   `json:"sheet_number"`
	Jobs            int      `json:"jobs"`
	RunningTasks    int      `json:"running_tasks"`
	WaitingTasks    int      `json:"waiting_tasks"`
	Workers         int      `json:"workers"`
	LostWorkers     int      `json:"lost_workers"`
	EntryProcesses  int      `json:"entry_processes"`
	Targets         int      `json:"targets"`
	Claims          int      `json:"claims"`
	ControlVoters   int      `json:"control_voters"`
	Sentences       []string `json:"sentences"`
	DiskFull        bool     `json:"disk_full"`
	HeldWorkers     int      `json:"held_workers"`
	DrainingWorkers int      `json:"draining_workers"`
}

// Status returns the state of the whole cell.
func (e *Explainer) Status() *Status {
	s := &Status{
		Leader: e.LeaderName, Revision: e.Cell.Revision(), SheetNumber: e.Cell.SheetNumber(),
		Jobs: len(e.Cell.Jobs()), Workers: len(e.Cell.Workers()), EntryProcesses: e.Registrar.EntryCount(),
		Targets: len(e.Registrar.Targets()), Claims: e.Cell.Claims().Len(), DiskFull: e.DiskFull,
	}
	for _, j := range e.Cell.Jobs() {
		s.RunningTasks += j.Active()
		s.WaitingTasks += j.Waiting()
	}
	for _, w := range e.Cell.Workers() {
		switch {
		case w.Lost():
			s.LostWorkers++
		case w.Held():
			s.HeldWorkers++
		case w.Draining():
			s.DrainingWorkers++
		}
	}
	for _, m := range e.Membership.GetMembers() {
		if m.GetVoter() {
			s.ControlVoters++
		}
	}
	s.Sentences = e.statusSentences(s)
	return s
}

func (e *Explainer) statusSentences(s *Status) []string {
	lines := []string{
		fmt.Sprintf("Sheet %d is in force at revision %d; %s leads %d control voters.",
			s.SheetNumber, s.Revision, s.Leader, s.ControlVoters),
		fmt.Sprintf("%d tasks run and %d tasks wait on %d workers.", s.RunningTasks, s.WaitingTasks, s.Workers-s.LostWorkers),
	}
	if s.LostWorkers > 0 {
		lines = append(lines, fmt.Sprintf("%d workers are lost: their leases ran out.", s.LostWorkers))
	}
	if s.HeldWorkers > 0 {
		lines = append(lines, fmt.Sprintf("%d workers are set aside because tasks fail there.", s.HeldWorkers))
	}
	if s.DiskFull {
		lines = append(lines, "The leader's disk is full: changes are refused until space returns.")
	}
	return lines
}

// Task is one line of a list.
type Task struct {
	Task        string `json:"task"`
	Team        string `json:"team"`
	Kind        string `json:"kind"`
	State       string `json:"state"`
	Worker      string `json:"worker,omitempty"`
	Reason      string `json:"reason,omitempty"`
	SinceUnixMs int64  `json:"since_unix_ms"`
	Sentence    string `json:"sentence"`
}

// List returns all tasks, or only those that wait.
func (e *Explainer) List(waitingOnly bool) []*Task {
	jobs := make([]*job.Job, 0, len(e.Cell.Jobs()))
	for _, j := range e.Cell.Jobs() {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Order() < jobs[b].Order() })
	tasks := []*Task{}
	for _, j := range jobs {
		for _, t := range j.Tasks() {
			if !waitingOnly || t.Waiting() {
				tasks = append(tasks, e.task(t))
			}
		}
	}
	return tasks
}

// Why explains the tasks of a job, by its key or its id. ok is false when there is no such job.
func (e *Explainer) Why(key string) (tasks []*Task, ok bool) {
	for _, task := range e.List(false) {
		t := e.Cell.Task(task.Task)
		if t.Job().ID() == key || t.Job().Spec().GetKey() == key || t.ID() == key {
			tasks = append(tasks, task)
		}
	}
	if len(tasks) == 0 && e.Cell.RanBefore(key) {
		return []*Task{{Task: key, State: "succeeded", Sentence: "This run has finished and left the sheet; it will not run again."}}, true
	}
	return tasks, len(tasks) > 0
}

func (e *Explainer) task(t *job.Task) *Task {
	why, sentence := e.explain(t)
	return &Task{
		Task: t.ID(), Team: t.Job().Spec().GetTeam(), Kind: kindName(t.Job().Spec().GetKind()), State: stateName(t),
		Worker: t.Worker(), Reason: why.String(), SinceUnixMs: t.SinceUnixMs(), Sentence: sentence,
	}
}

func (e *Explainer) explain(t *job.Task) (reason.Reason, string) {
	since := time.UnixMilli(t.SinceUnixMs()).UTC().Format(time.RFC3339)
	switch t.State() {
	case wire.TaskState_TASK_STATE_PLACED:
		return reason.None, fmt.Sprintf("It is placed on worker %s since %s and has not been reported as started.", t.Worker(), since)
	case wire.TaskState_TASK_STATE_RUNNING:
		if t.Stopping() {
			return reason.Reason(t.StopReason()), fmt.Sprintf("It runs on worker %s and is asked to stop: %s.", t.Worker(), t.StopReason())
		}
		return reason.None, fmt.Sprintf("It runs on worker %s since %s.", t.Worker(), since)
	case wire.TaskState_TASK_STATE_SUCCEEDED:
		return reason.None, fmt.Sprintf("It succeeded at %s.", since)
	case wire.TaskState_TASK_STATE_FAILED:
		return reason.None, fmt.Sprintf("It failed at %s and will not run again: %s.", since, t.Detail())
	case wire.TaskState_TASK_STATE_CANCELLED:
		return reason.Reason(t.Detail()), fmt.Sprintf("It was cancelled at %s: %s.", since, t.Detail())
	default:
		return e.explainWaiting(t, since)
	}
}

func (e *Explainer) explainWaiting(t *job.Task, since string) (reason.Reason, string) {
	w, ok := e.Planner.Waiting(t.Job().ID())
	if !ok {
		return reason.NotYetDecided, fmt.Sprintf("It waits since %s for the next round of decisions.", since)
	}
	text := sentences[w.Reason]
	if w.Detail != "" {
		text += " " + w.Detail
	}
	return w.Reason, fmt.Sprintf("It waits since %s. %s", since, text)
}

// sentences holds what each reason to wait means and what would release the task.
var sentences = map[reason.Reason]string{
	reason.NoCapacity:          "No worker has enough free processors, memory and accelerators; it starts when tasks end or workers join.",
	reason.QuotaReached:        "Its team has reached its quota; it starts when the team's other tasks end or the quota is raised.",
	reason.ExceedsLargest:      "It asks for more than any worker has, so it can never start; ask for less or add a larger worker.",
	reason.ExceedsQuota:        "It asks for more than its team's whole quota, so it can never start; ask for less or raise the quota.",
	reason.ExceedsCell:         "Its tasks together ask for more than all workers have, so they can never start at once.",
	reason.WaitsForAll:         "All its tasks start at once, and there is not room for all of them yet.",
	reason.BehindOthers:        "Work that is ahead of it takes the free room.",
	reason.BehindReservation:   "The free room is reserved for a larger job that has waited longer.",
	reason.SpreadUnsatisfied:   "Its tasks must be spread, and no worker with free room satisfies that.",
	reason.JobHeld:             "Its tasks failed on several workers; it is held until the row changes.",
	reason.StopInProgress:      "Its earlier tasks are still stopping.",
	reason.LeaseNotOver:        "Its earlier worker is silent and may still run it until the lease has run out.",
	reason.NoWorkers:           "No worker is available.",
	reason.RecoveryRateLimited: "Many tasks are placed anew after a failure, at a bounded rate.",
}

// Host is one line of the list of workers, control members and targets.
type Host struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	State         string `json:"state"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Rack          string `json:"rack,omitempty"`
	Address       string `json:"address,omitempty"`
	Tasks         int    `json:"tasks,omitempty"`
	Sentence      string `json:"sentence"`
}

// Hosts lists control members, workers and targets.
func (e *Explainer) Hosts() []*Host {
	hosts := []*Host{}
	for _, m := range e.Membership.GetMembers() {
		h := &Host{Name: m.GetName(), Role: "control", State: "non_voter", FailureDomain: m.GetFailureDomain(), Address: m.GetAddress()}
		if m.GetVoter() {
			h.State = "voter"
		}
		if m.GetName() == e.LeaderName {
			h.State = "leader"
		}
		hosts = append(hosts, h)
	}
	hosts = append(hosts, e.workers()...)
	for _, t := range e.Registrar.Targets() {
		h := &Host{Name: t.Name, Role: "target", State: "ready", Address: t.Address}
		if t.Leaving {
			h.State = "leaving"
		}
		h.Sentence = fmt.Sprintf("It serves %s with %d slots through %s.", t.Service, t.Slots, t.Owner)
		if t.Reserved > 0 {
			h.Sentence += fmt.Sprintf(" %d slots stay unused; former owners that have not confirmed: %v.", t.Reserved, t.FormerOwners)
		}
		hosts = append(hosts, h)
	}
	return hosts
}

func (e *Explainer) workers() []*Host {
	var hosts []*Host
	for _, w := range e.Cell.Workers() {
		h := &Host{
			Name: w.Name(), Role: "worker", State: "ready", FailureDomain: w.FailureDomain(), Rack: w.Rack(), Tasks: len(w.Tasks()),
		}
		used, capacity := w.Used(), w.Capacity()
		h.Sentence = fmt.Sprintf("%.1f of %.1f processors and %d of %d MB are taken.",
			float64(used.CPU())/1000, float64(capacity.CPU())/1000, used.Memory(), capacity.Memory())
		switch {
		case w.Lost():
			h.State = "lost"
		case w.Held():
			h.State, h.Sentence = "held", "Set aside: "+w.HoldReason()+"."
		case w.Draining():
			h.State = "draining"
		}
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(a, b int) bool { return hosts[a].Name < hosts[b].Name })
	return hosts
}

// Change is one line of the history.
type Change struct {
	Revision uint64 `json:"revision"`
	AtUnixMs int64  `json:"at_unix_ms"`
	Operator string `json:"operator"`
	Text     string `json:"text"`
}

// History lists the accepted changes, the newest first.
func (e *Explainer) History() []*Change {
	history := e.Cell.History()
	changes := make([]*Change, 0, len(history))
	for i := len(history) - 1; i >= 0; i-- {
		h := history[i]
		changes = append(changes, &Change{
			Revision: h.GetRevision(), AtUnixMs: h.GetAtUnixMs(), Operator: h.GetOperator(), Text: h.GetText(),
		})
	}
	return changes
}

func kindName(kind wire.JobKind) string {
	switch kind {
	case wire.JobKind_JOB_KIND_SERVICE:
		return "service"
	case wire.JobKind_JOB_KIND_ALL_AT_ONCE:
		return "all_at_once"
	default:
		return "batch"
	}
}

func stateName(t *job.Task) string {
	switch t.State() {
	case wire.TaskState_TASK_STATE_PLACED:
		return "placed"
	case wire.TaskState_TASK_STATE_RUNNING:
		if t.Stopping() {
			return "stopping"
		}
		return "running"
	case wire.TaskState_TASK_STATE_SUCCEEDED:
		return "succeeded"
	case wire.TaskState_TASK_STATE_FAILED:
		return "failed"
	case wire.TaskState_TASK_STATE_CANCELLED:
		return "cancelled"
	default:
		return "waiting"
	}
}
