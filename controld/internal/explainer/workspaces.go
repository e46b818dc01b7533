package explainer

import (
	"fmt"

	"flamingodrift.example/core/wire"
)

// Workspace is one entry of the list of workspaces. Limits of 0 mean no limit.
type Workspace struct {
	Workspace string  `json:"workspace"`
	Weight    float64 `json:"weight"`
	// WaitingJobs counts the jobs that have no run yet, RunningJobs those that have begun and not ended.
	WaitingJobs   int   `json:"waiting_jobs"`
	RunningJobs   int   `json:"running_jobs"`
	RunningTasks  int   `json:"running_tasks"`
	UsedCPUMillis int64 `json:"used_cpu_millis"`
	MaxCPUMillis  int64 `json:"max_cpu_millis"`
	UsedMemoryMB  int64 `json:"used_memory_mb"`
	MaxMemoryMB   int64 `json:"max_memory_mb"`
	// Keys is the number of keys in force.
	Keys     int    `json:"keys"`
	Sentence string `json:"sentence"`
}

// Workspaces lists the workspaces of the queue configuration, and removed ones that still have jobs, by name.
func (e *Explainer) Workspaces() []*Workspace {
	b := e.Cell.Batch()
	list, byName := []*Workspace{}, map[string]*Workspace{}
	for _, name := range b.Workspaces() {
		settings, used := b.Workspace(name), b.WorkspaceUsed(name)
		w := &Workspace{
			Workspace: name, Weight: settings.GetWeight(), UsedCPUMillis: used.CPU(), MaxCPUMillis: settings.GetMaxCpuMillis(),
			UsedMemoryMB: used.Memory(), MaxMemoryMB: settings.GetMaxMemoryMb(),
		}
		for _, key := range settings.GetKeys() {
			if owner, inForce := b.WorkspaceOfKey(key); inForce && owner == name {
				w.Keys++
			}
		}
		list, byName[name] = append(list, w), w
	}
	for _, j := range b.Active() {
		w := byName[j.Workspace()]
		if w == nil {
			continue
		}
		w.RunningTasks += j.ActiveRuns()
		switch {
		case j.Ended():
		case j.Phase() == wire.JobPhase_JOB_PHASE_QUEUED:
			w.WaitingJobs++
		default:
			w.RunningJobs++
		}
	}
	for _, w := range list {
		w.Sentence = workspaceSentence(w)
	}
	return list
}

func workspaceSentence(w *Workspace) string {
	if w.Keys == 0 {
		return "It has no key in force, so nobody can call for it."
	}
	full := func(used, limit int64) bool { return limit > 0 && used*100 >= limit*95 }
	if full(w.UsedCPUMillis, w.MaxCPUMillis) || full(w.UsedMemoryMB, w.MaxMemoryMB) {
		return fmt.Sprintf("It uses at least 95%% of its limit; %s for a first start.", countPhrase(w.WaitingJobs, "job waits", "jobs wait"))
	}
	return ""
}
