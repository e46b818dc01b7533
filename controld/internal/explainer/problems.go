package explainer

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"flamingodrift.example/controld/internal/claim"
	"flamingodrift.example/core/wire"
)

// maxNamesInSentence bounds the names listed in one sentence.
const maxNamesInSentence = 5

// problems lists the conditions that need an operator's attention, the most urgent first.
func (e *Explainer) problems(s *Status) []string {
	problems := []string{}
	add := func(names []string, one, many string) {
		switch len(names) {
		case 0:
		case 1:
			problems = append(problems, fmt.Sprintf(one, names[0]))
		default:
			problems = append(problems, fmt.Sprintf("%d ", len(names))+fmt.Sprintf(many, joinNames(names)))
		}
	}
	if e.DiskFull {
		problems = append(problems, "The leader's disk is full: changes are refused until there is space.")
	}
	if s.ControlVoters < e.Voters {
		problems = append(problems, fmt.Sprintf("Control voters are missing, %d of %d: replace the lost hosts.",
			e.Voters-s.ControlVoters, e.Voters))
	}
	add(e.silentControlNames(), "Control member %s is silent.", "control members are silent: %s.")
	var silent []string
	for _, entry := range e.Tally.SilentEntries() {
		silent = append(silent, entry.Name)
	}
	add(silent, "Entry process %s does not report.", "entry processes do not report: %s.")
	problems = append(problems, e.queueProblems()...)
	if s.Workers > 0 && s.Workers == s.LostWorkers+s.HeldWorkers+s.DrainingWorkers {
		problems = append(problems, "No worker takes new tasks.")
	}
	if s.Workers == 0 && s.WaitingTasks > 0 {
		problems = append(problems, "Tasks wait, and no worker has ever registered.")
	}
	add(e.workersInState("lost"), "Worker %s is lost: its lease ran out.", "workers are lost, their leases ran out: %s.")
	add(e.workersInState("held"), "Worker %s is set aside because tasks fail there.",
		"workers are set aside because tasks fail there: %s.")
	add(e.servicesWithoutTarget(), "Service %s has no target: its callers are refused.",
		"services have no target, their callers are refused: %s.")
	add(e.unknownTeams(), "Team %s is in the sheet and not in the configuration: its jobs have no quota.",
		"teams are in the sheet and not in the configuration, their jobs have no quota: %s.")
	never, held, crashing, failed := e.jobProblems()
	add(never, "Job %[1]s can never run; flamingoctl why %[1]s says why.", "jobs can never run: %s.")
	add(held, "Job %s is held because its tasks failed on several workers.",
		"jobs are held because their tasks failed on several workers: %s.")
	add(crashing, "Job %s is held because workers crashed just after they had started one of its tasks.",
		"jobs are held because workers crashed just after they had started their tasks: %s.")
	add(failed, "Job %s has tasks that failed and will not run again.",
		"jobs have tasks that failed and will not run again: %s.")
	if s.Claims*10 >= claim.MaxClaims*9 {
		problems = append(problems, fmt.Sprintf("%d of %d idempotency keys are in use; at the limit new ones are refused.",
			s.Claims, claim.MaxClaims))
	}
	return problems
}

// silentControlNames returns the names of the control members in SilentMembers.
func (e *Explainer) silentControlNames() []string {
	var names []string
	for _, m := range e.Membership.GetMembers() {
		if slices.Contains(e.SilentMembers, m.GetId()) {
			names = append(names, m.GetName())
		}
	}
	return names
}

// joinNames lists the first maxNamesInSentence names and counts the rest.
func joinNames(names []string) string {
	if len(names) <= maxNamesInSentence {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamesInSentence], ", "), len(names)-maxNamesInSentence)
}

// workersInState returns the sorted names of the workers in the given state.
func (e *Explainer) workersInState(state string) []string {
	var names []string
	for name, w := range e.Cell.Workers() {
		if workerState(w) == state {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// servicesWithoutTarget returns the configured services that have no target, or only targets that are leaving.
func (e *Explainer) servicesWithoutTarget() []string {
	served := map[string]bool{}
	for _, t := range e.Lessor.Targets() {
		served[t.Service] = served[t.Service] || !t.Leaving
	}
	var names []string
	for _, service := range e.Cell.Config().GetServices() {
		if !served[service.GetName()] {
			names = append(names, service.GetName())
		}
	}
	return names
}

// unknownTeams returns the teams that the sheet names and the configuration does not.
func (e *Explainer) unknownTeams() []string {
	teams := map[string]bool{}
	for _, j := range e.Cell.Jobs() {
		if !j.Removed() {
			teams[j.Spec().GetTeam()] = true
		}
	}
	var names []string
	for team := range teams {
		if e.Cell.UnknownTeam(team) {
			names = append(names, team)
		}
	}
	sort.Strings(names)
	return names
}

// jobProblems returns the ids of jobs that can never run, of held jobs, and of jobs with tasks that failed and will not
// run again.
func (e *Explainer) jobProblems() (never, held, crashing, failed []string) {
	for _, j := range e.jobs() {
		if w, ok := e.Planner.WaitStatus(j.ID()); ok && j.Waiting() > 0 && neverRuns(w.Reason) {
			never = append(never, j.ID())
		}
		switch {
		case !j.Held() || j.Finished():
		case j.CrashingTask() != nil:
			crashing = append(crashing, j.ID())
		default:
			held = append(held, j.ID())
		}
		for _, t := range j.Tasks() {
			if t.State() == wire.TaskState_TASK_STATE_FAILED {
				failed = append(failed, j.ID())
				break
			}
		}
	}
	return never, held, crashing, failed
}
