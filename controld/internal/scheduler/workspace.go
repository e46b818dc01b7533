package scheduler

import (
	"fmt"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/resource"
)

// allowances returns, by workspace, what the runs of each workspace with a limit may still use.
func (sc *Scheduler) allowances() map[string]*resource.Vector {
	allowances := map[string]*resource.Vector{}
	for _, name := range sc.batch.Workspaces() {
		if free, limited := sc.batch.WorkspaceFree(name); limited {
			allowances[name] = &free
		}
	}
	return allowances
}

// allows reports whether the limit of its workspace leaves enough for one task of a step, or for all of a gang. A step that
// has to wait for the limit takes no place in the round and asks for no consent.
func (r *round) allows(step *batch.Step) bool {
	allowance := r.allowances[step.Job().Workspace()]
	return allowance == nil || startNeed(step).FitsIn(*allowance)
}

// startNeed returns what must be free at least for a step to start.
func startNeed(step *batch.Step) resource.Vector {
	if step.Spec().GetGang() {
		return step.Need().Times(int64(len(step.Tasks())))
	}
	return step.Need()
}

// limitWait returns a sentence when a step waits for the limit of its workspace, and an empty string otherwise.
func (sc *Scheduler) limitWait(step *batch.Step) string {
	name := step.Job().Workspace()
	free, limited := sc.batch.WorkspaceFree(name)
	if !limited || startNeed(step).FitsIn(free) {
		return ""
	}
	used, settings := sc.batch.WorkspaceUsed(name), sc.batch.Workspace(name)
	return fmt.Sprintf("Workspace %s uses %.1f of %.1f processors and %d of %d MB; 0 means no limit.", name,
		float64(used.CPU())/1000, float64(settings.GetMaxCpuMillis())/1000, used.Memory(), settings.GetMaxMemoryMb())
}
