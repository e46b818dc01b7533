package scheduler

import (
	"time"

	"flamingodrift.example/controld/internal/batch"
	"flamingodrift.example/controld/internal/ratetracker"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/controld/internal/shareranker"
	"flamingodrift.example/core/wire"
)

// workspaceShares is what the leader knows of the rates at which workspaces submit jobs. A new leader starts without it:
// the jobs that it takes over are within the rate of their workspace.
type workspaceShares struct {
	rates *ratetracker.Tracker
	// excess holds the accepted jobs beyond the rate of their workspace.
	excess map[*batch.Job]bool
	// admitted holds the admitted jobs whose commit is not known yet, by id.
	admitted map[string]admittedJob
}

// admittedJob is a job that was admitted and not yet applied.
type admittedJob struct {
	at     time.Duration
	excess bool
	queue  *wire.Queue
	job    *wire.SubmittedJob
}

// commitTimeout is how long after its admission a job counts as accepted without its commit being known.
const commitTimeout = 2 * time.Second

func newWorkspaceShares(now time.Duration) *workspaceShares {
	return &workspaceShares{
		rates: ratetracker.New(now), excess: map[*batch.Job]bool{}, admitted: map[string]admittedJob{},
	}
}

// applied records that an admitted job is in the log.
func (s *workspaceShares) applied(j *batch.Job) {
	if s.admitted[j.ID()].excess {
		s.excess[j] = true
	}
	delete(s.admitted, j.ID())
}

// removeUncommitted drops the admitted jobs that did not get into the log.
func (s *workspaceShares) removeUncommitted(now time.Duration) {
	for id, a := range s.admitted {
		if now-a.at > commitTimeout {
			delete(s.admitted, id)
		}
	}
}

// hasShares reports whether the configuration in force gives weights to workspaces. Without any, all callers are served
// alike.
func (sc *Scheduler) hasShares() bool {
	for _, w := range sc.batch.Config().GetWorkspaces() {
		if w.GetWeight() > 0 {
			return true
		}
	}
	return false
}

// isExcess reports whether a job was beyond the rate of its workspace when it was accepted.
func (sc *Scheduler) isExcess(j *batch.Job) bool { return sc.shares.excess[j] }

// exceedsRate reports whether a new job is beyond the rate of its workspace. Work without a workspace has no rate.
func (sc *Scheduler) exceedsRate(job *wire.SubmittedJob, now time.Duration) bool {
	workspace := sc.batch.Workspace(job.GetWorkspace())
	return workspace != nil &&
		sc.shares.rates.IsExcess(workspace.GetName(), job.GetId(), workspace.GetWeight(), now)
}

// shareRanks returns the ranks of the workspaces by the use of their shares, or nil without shares.
func (sc *Scheduler) shareRanks() *shareranker.Ranker {
	if !sc.hasShares() {
		return nil
	}
	var total, others resource.Vector
	for _, incarnation := range sc.batch.Incarnations() {
		total = total.Add(incarnation.Capacity())
		others = others.Add(incarnation.Capacity().Sub(incarnation.Free()))
	}
	weights := map[string]float64{}
	for _, w := range sc.batch.Config().GetWorkspaces() {
		weights[w.GetName()] = w.GetWeight()
	}
	ranks := shareranker.New(total, weights)
	for _, name := range sc.batch.Workspaces() {
		used := sc.batch.WorkspaceUsed(name)
		ranks.Add(name, used)
		others = others.Sub(used)
	}
	ranks.Add("", others)
	return ranks
}

// shareRank returns the rank of a job's workspace; 0 without shares.
func (r *round) shareRank(j *batch.Job) int {
	if r.ranks == nil {
		return 0
	}
	return r.ranks.Rank(j.Workspace())
}
