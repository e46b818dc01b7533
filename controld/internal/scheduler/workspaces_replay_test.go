package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"flamingodrift.example/core/wire"
)

// workspacesLoad is nine tenths of the processors of 350 workers, which 20 workspaces ask for. The largest sends about a
// third of the load.
func workspacesLoad() load {
	l := largeLoad()
	l.length, l.retries = 28*time.Second, 4
	l.kinds[0].perSecond = 5
	l.kinds[1].perSecond = 13.2
	l.kinds[2].perSecond, l.kinds[2].tasks, l.kinds[2].allowance = 105, 3, 300*time.Millisecond
	const count, skew = 20, 1.2
	sum, total := 0.0, 0.0
	for i := range count {
		sum += math.Pow(float64(i+1), -skew)
	}
	for _, k := range l.kinds {
		total += k.perSecond
	}
	for i := range count {
		share := math.Pow(float64(i+1), -skew) / sum
		l.workspaceShares = append(l.workspaceShares, share)
		l.workspaces = append(l.workspaces, &wire.Workspace{
			Name: fmt.Sprintf("t%02d", i), Weight: weightMargin * share * total,
		})
	}
	return l
}

// weightMargin is the weight of a workspace relative to its usual load, which varies.
const weightMargin = 1.0

// withHot adds a workspace that sends nine times its usual load for 7 s, during which another leader takes over.
func withHot(l load, workspace int, kind string) load {
	l.hot = hotWorkspace{
		name: l.workspaces[workspace].GetName(), share: l.workspaceShares[workspace], kind: kind,
		from: 8 * time.Second, until: 15 * time.Second, factor: 9,
	}
	l.handover = 11 * time.Second
	return l
}

// workspaceResult is what the jobs of one or more workspaces got.
type workspaceResult struct {
	jobs, accepted, refused, inTime, late, worthless int
	possible, earned                                 float64
}

func (r *replay) workspaceResult(kind int, includes func(*replayJob) bool) workspaceResult {
	var s workspaceResult
	for _, j := range r.all {
		if kind >= 0 && j.kind != kind || !includes(j) {
			continue
		}
		s.jobs++
		s.possible += j.value
		switch {
		case !j.accepted:
			s.refused++
			continue
		case j.done && j.took <= j.objective:
			s.inTime++
			s.earned += j.value
		case j.done && j.took <= overdueFactor*j.objective:
			s.late++
			s.earned += 0.2 * j.value
		default:
			s.worthless++
		}
		s.accepted++
	}
	return s
}

func (s workspaceResult) String() string {
	return fmt.Sprintf("%d jobs: %d in time, %d late, %d worthless, %d refused for good; value %.3f", s.jobs, s.inTime, s.late,
		s.worthless, s.refused, s.earned/max(s.possible, 1e-9))
}

// add adds the results of another replay.
func (s *workspaceResult) add(o workspaceResult) {
	s.jobs, s.accepted, s.refused = s.jobs+o.jobs, s.accepted+o.accepted, s.refused+o.refused
	s.inTime, s.late, s.worthless = s.inTime+o.inTime, s.late+o.late, s.worthless+o.worthless
	s.possible, s.earned = s.possible+o.possible, s.earned+o.earned
}

// resultOf sums up the jobs of a kind, or of all kinds if it is negative, of one workspace or of all others.
func resultOf(replays []*replay, kind int, workspace string, others bool) workspaceResult {
	var s workspaceResult
	for _, r := range replays {
		s.add(r.workspaceResult(kind, func(j *replayJob) bool { return (j.workspace == workspace) != others }))
	}
	return s
}

func TestWorkspaceReplay(t *testing.T) {
	usual := workspacesLoad()
	usual.handover = 11 * time.Second
	base := runReplays(usual, replaySeeds)
	tests := []struct {
		name string
		load load
	}{
		{"the largest workspace is hot", withHot(workspacesLoad(), 0, "")},
		{"a small workspace is hot", withHot(workspacesLoad(), 3, "")},
		{"a burst of the short kind", withHot(workspacesLoad(), 0, "short")},
		{"a burst of gangs", withHot(workspacesLoad(), 0, "gangs")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			replays := runReplays(test.load, replaySeeds)
			for i := -1; i < len(usual.kinds); i++ {
				name := "all"
				if i >= 0 {
					name = usual.kinds[i].name
				}
				hot := test.load.hot.name
				t.Logf("%-6s others usual %v", name, resultOf(base, i, hot, true))
				t.Logf("%-6s others       %v", name, resultOf(replays, i, hot, true))
				t.Logf("%-6s hot usual    %v", name, resultOf(base, i, hot, false))
				t.Logf("%-6s hot          %v", name, resultOf(replays, i, hot, false))
			}
		})
	}
}
