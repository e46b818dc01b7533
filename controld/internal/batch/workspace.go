package batch

import (
	"fmt"
	"slices"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

// unlimited stands for an amount without a limit. It is above what any workspace can use, and sums of it do not overflow.
const unlimited = 1 << 50

// workspace holds the limit of a workspace and what its runs use.
type workspace struct {
	settings *wire.Workspace
	// used is the sum over all runs of the workspace that occupy resources on a worker.
	used resource.Vector
}

func (w *workspace) limit() resource.Vector {
	return limitOf(w.settings)
}

// limitOf returns the most that a workspace may use at a time.
func limitOf(w *wire.Workspace) resource.Vector {
	orUnlimited := func(amount int64) int64 {
		if amount == 0 {
			return unlimited
		}
		return amount
	}
	return resource.New(&wire.Resources{
		CpuMilli: orUnlimited(w.GetMaxCpuMillis()), MemoryMb: orUnlimited(w.GetMaxMemoryMb()),
		Accelerators: orUnlimited(w.GetMaxGpus()),
	})
}

// isLimited reports whether a workspace has a limit at all.
func isLimited(w *wire.Workspace) bool {
	return w.GetMaxCpuMillis() > 0 || w.GetMaxMemoryMb() > 0 || w.GetMaxGpus() > 0
}

// configureWorkspaces puts the workspaces and keys of a configuration into force. A workspace that it drops keeps its last
// settings as long as it has active jobs.
func (b *Batch) configureWorkspaces(config *wire.QueueConfig) {
	b.workspaceByKey = map[string]string{}
	inForce := map[string]bool{}
	for _, settings := range config.GetWorkspaces() {
		inForce[settings.GetName()] = true
		b.setWorkspace(settings)
		for _, key := range settings.GetKeys() {
			b.workspaceByKey[key] = settings.GetName()
		}
	}
	for _, j := range b.active {
		inForce[j.spec.GetWorkspace()] = true
	}
	for name := range b.workspaces {
		if !inForce[name] {
			delete(b.workspaces, name)
		}
	}
}

func (b *Batch) setWorkspace(settings *wire.Workspace) {
	if w := b.workspaces[settings.GetName()]; w != nil {
		w.settings = settings
		return
	}
	b.workspaces[settings.GetName()] = &workspace{settings: settings}
}

// KeysRequired reports whether calls to queues that are not public need the key of a workspace.
func (b *Batch) KeysRequired() bool { return b.config.GetKeysRequired() }

// WorkspaceOfKey returns the workspace whose key the configuration in force holds.
func (b *Batch) WorkspaceOfKey(key string) (name string, ok bool) {
	name, ok = b.workspaceByKey[key]
	return name, ok
}

// Workspace returns the settings of a workspace by name; nil when it is unknown.
func (b *Batch) Workspace(name string) *wire.Workspace {
	if w := b.workspaces[name]; w != nil {
		return w.settings
	}
	return nil
}

// Workspaces returns the names of the known workspaces in order, including those that the configuration in force has
// dropped and that still have jobs.
func (b *Batch) Workspaces() []string {
	names := make([]string, 0, len(b.workspaces))
	for name := range b.workspaces {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// WorkspaceUsed returns what the runs of a workspace use on all workers together.
func (b *Batch) WorkspaceUsed(name string) resource.Vector {
	if w := b.workspaces[name]; w != nil {
		return w.used
	}
	return resource.Vector{}
}

// WorkspaceFree returns what the runs of a workspace may use beyond what they use now. It returns false when the workspace
// has no limit. Amounts are negative after the limit was lowered.
func (b *Batch) WorkspaceFree(name string) (free resource.Vector, limited bool) {
	w := b.workspaces[name]
	if w == nil || !isLimited(w.settings) {
		return resource.Vector{}, false
	}
	return w.limit().Sub(w.used), true
}

// CheckWorkspaceLimit returns a sentence about the first step of a job that can never run within the limit of its
// workspace, or an empty string when there is none.
func (b *Batch) CheckWorkspaceLimit(job *wire.SubmittedJob) string {
	w := b.workspaces[job.GetWorkspace()]
	if w == nil || !isLimited(w.settings) {
		return ""
	}
	for number, step := range job.GetSteps() {
		need := Need(step)
		if step.GetGang() {
			need = need.Times(int64(step.GetCount()))
		}
		if !need.FitsIn(w.limit()) {
			return fmt.Sprintf("step %d needs %d millicores and %d MB at a time; its workspace may use %d and %d",
				number, need.CPU(), need.Memory(), w.settings.GetMaxCpuMillis(), w.settings.GetMaxMemoryMb())
		}
	}
	return ""
}

// workspaceAllows reports whether the limit of the task's workspace leaves enough for one more run of the task.
func (t *Task) workspaceAllows() bool {
	w := t.step.job.workspace
	return w == nil || t.step.need.FitsIn(w.limit().Sub(w.used))
}
