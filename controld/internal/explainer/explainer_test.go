package explainer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/lessor"
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/controld/internal/tally"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/sheet"
	"flamingodrift.example/core/wire"
)

// fakePlanner is a Planner with a fixed wait status per job.
type fakePlanner map[string]planner.WaitStatus

func (p fakePlanner) WaitStatus(id string) (planner.WaitStatus, bool) {
	status, ok := p[id]
	return status, ok
}

const nowUnixMs = 1_800_000_000_000

func apply(t *testing.T, c *cell.Cell, command *wire.Command) {
	command.NowUnixMs = nowUnixMs
	result := c.Apply(command)
	require.Empty(t, result.GetReason(), result.GetDetail())
}

func events(t *testing.T, c *cell.Cell, list ...*wire.WorkerEvent) {
	apply(t, c, &wire.Command{Body: &wire.Command_WorkerEvents{WorkerEvents: &wire.WorkerEvents{Events: list}}})
}

func applySheet(t *testing.T, c *cell.Cell, text string) {
	s, err := sheet.Parse([]byte(text))
	require.NoError(t, err)
	apply(t, c, &wire.Command{Body: &wire.Command_ApplySheet{ApplySheet: &wire.ApplySheet{
		Change: &wire.Change{Id: text, Operator: "anna", ExpectedRevision: c.Revision()},
		Number: s.Number(), Digest: s.Digest(), Jobs: s.Jobs(), ConfirmedStops: uint32(c.Preview(s.Jobs()).StoppedTasks),
	}}})
}

// fixture returns an Explainer of a cell with two workers, a running service, a batch job whose task failed once and
// waits, and a batch job that can never run.
func fixture(t *testing.T) *Explainer {
	c := cell.New()
	for _, name := range []string{"worker-1", "worker-2"} {
		events(t, c, &wire.WorkerEvent{Worker: name, Body: &wire.WorkerEvent_Seen{Seen: &wire.WorkerSeen{
			Boot: "1", Capacity: &wire.Resources{CpuMilli: 8000, MemoryMb: 4096}, Rack: "rack-1", FailureDomain: "khomas-a",
		}}})
	}
	applySheet(t, c, "sheet,1\nkey,team,kind,processors,memory_mb,command\nweb,t,service,1,64,x\nsettle,t,batch,1,64,x\nhuge,t,batch,99,64,x\n")
	apply(t, c, &wire.Command{Body: &wire.Command_Decisions{Decisions: &wire.Decisions{Placements: []*wire.Placement{
		{Task: "web/0", Worker: "worker-1"}, {Task: "settle@1/0", Worker: "worker-1"},
	}}}})
	for task, phase := range map[string]wire.TaskPhase{
		"web/0": wire.TaskPhase_TASK_PHASE_RUNNING, "settle@1/0": wire.TaskPhase_TASK_PHASE_FAILED,
	} {
		events(t, c, &wire.WorkerEvent{Worker: "worker-1", Body: &wire.WorkerEvent_Task{Task: &wire.TaskStatus{
			Task: task, Attempt: c.Task(task).Attempt(), Phase: phase, Detail: "exit status 7",
		}}})
	}
	return &Explainer{
		Cell: c, Planner: fakePlanner{
			"huge@1":   {Reason: reason.ExceedsLargestWorker, Since: time.Minute},
			"settle@1": {Reason: reason.NoCapacity, Since: 58 * time.Second},
		},
		Lessor: lessor.New(lessor.Config{}, 1, nil, nil, 0), Tally: tally.New(nowUnixMs),
		Membership: &wire.Membership{Members: []*wire.Member{
			{Id: "1", Name: "control-1", Voter: true}, {Id: "2", Name: "control-2", Voter: true},
		}},
		LeaderName: "control-1", Voters: 2, Now: time.Minute,
	}
}

// TestSentencesCoverEveryReason checks that each reason for waiting or stopping has an explanation. A reason without
// one would give answers that do not say what it means.
func TestSentencesCoverEveryReason(t *testing.T) {
	require.Len(t, waitSentences, len(reason.Waiting()))
	for _, r := range reason.Waiting() {
		require.Regexp(t, `^[A-Z].*\.$`, waitSentences[r], r)
	}
	require.Len(t, stopExplanations, len(reason.Stops()))
	for _, r := range reason.Stops() {
		require.NotEmpty(t, stopExplanations[r], r)
	}
}

// TestWhy checks the answer for each kind of name, and that an unknown name has none.
func TestWhy(t *testing.T) {
	e := fixture(t)
	for _, c := range []struct{ name, kind, text string }{
		{"web", "job", "It runs on worker worker-1 (rack rack-1, failure domain khomas-a) since 2027-01-15T08:00:00Z."},
		{"web/0", "task", "It runs on worker worker-1"},
		{"settle@1", "job", `It waits since 2027-01-15T08:00:00Z. No worker has enough free processors, memory and accelerators; ` +
			`it starts when tasks end or workers join. This has been the reason for 2s. It failed 1 time, lately on worker-1; ` +
			`the worker said at the last end: "exit status 7".`},
		{"huge", "job", "so it can never run; ask for less or add a larger worker."},
		{"worker-1", "worker", "1 task, 1.0 of 8.0 processors and 64 of 4096 MB are taken."},
		{"control-1", "control", "It leads"},
	} {
		answer := e.Why(c.name)
		require.NotNil(t, answer, c.name)
		require.Equal(t, c.kind, answer.Kind)
		text := ""
		for _, s := range answer.Sentences {
			text += s
		}
		for _, task := range answer.Tasks {
			text += task.Sentence
		}
		require.Contains(t, text, c.text)
	}
	require.Nil(t, e.Why("nobody"))

	applySheet(t, e.Cell, "sheet,2\nkey,team,kind,processors,memory_mb,command\nweb,t,service,1,64,x\nsettle,t,batch,1,64,x\nhuge,t,batch,99,64,x\n")
	apply(t, e.Cell, &wire.Command{Body: &wire.Command_CancelJob{CancelJob: &wire.CancelJob{
		Change: &wire.Change{Id: "c", ExpectedRevision: e.Cell.Revision()}, Key: "settle",
	}}})
	require.Contains(t, e.Why("settle").Tasks[0].Sentence, "an operator cancelled the job")
	applySheet(t, e.Cell, "sheet,3\nkey,team,kind,processors,memory_mb,command\nweb,t,service,1,64,x\n")
	for _, name := range []string{"settle", "settle@1"} {
		require.Equal(t, "finished_run", e.Why(name).Kind)
	}
}

// TestStatusNamesProblemsFirst checks that the status lists problems before anything else, the most urgent first.
// Otherwise operators would see a problem only by asking for it by name.
func TestStatusNamesProblemsFirst(t *testing.T) {
	e := fixture(t)
	status := e.Status()
	require.Equal(t, []string{"Job huge@1 can never run; flamingoctl why huge@1 says why."}, status.Problems)
	require.Equal(t, "There is 1 problem:", status.Sentences[0])

	e.Voters, e.DiskFull, e.SilentMembers = 3, true, []string{"2"}
	e.Tally.EntryReported("entry-2", true)
	e.Tally.EntryLost("entry-2", nowUnixMs)
	e.Tally.EntryReported("entry-1", false)
	e.Tally.EntryLost("entry-1", nowUnixMs)
	e.Tally.Refused(reason.Conflict)
	apply(t, e.Cell, &wire.Command{Body: &wire.Command_Configure{Configure: &wire.Configure{
		Change: &wire.Change{Id: "s", ExpectedRevision: e.Cell.Revision()},
		Config: &wire.Config{
			Profile: "waiting", Teams: []*wire.Team{{Name: "other"}}, Services: []*wire.Service{{Name: "chairbook"}},
		},
	}}})
	apply(t, e.Cell, &wire.Command{Body: &wire.Command_Decisions{Decisions: &wire.Decisions{
		WorkerHolds: []*wire.WorkerHold{{Worker: "worker-2", Held: true, Reason: "three jobs failed there"}},
		JobHolds:    []*wire.JobHold{{Key: "settle@1", Held: true, Reason: "failed on three workers"}},
	}}})
	events(t, e.Cell,
		&wire.WorkerEvent{Worker: "worker-1", Body: &wire.WorkerEvent_Lost{Lost: &wire.WorkerLost{Boot: "1"}}})
	status = e.Status()
	require.False(t, status.InOrder)
	require.Equal(t, []string{
		"The leader's disk is full: changes are refused until there is space.",
		"Control voters are missing, 1 of 3: replace the lost hosts.",
		"Control member control-2 is silent.",
		"Entry process entry-1 does not report.",
		"No worker takes new tasks.",
		"Worker worker-1 is lost: its lease ran out.",
		"Worker worker-2 is set aside because tasks fail there.",
		"Service chairbook has no target: its callers are refused.",
		"Team t is in the sheet and not in the configuration: its jobs have no quota.",
		"Job huge@1 can never run; flamingoctl why huge@1 says why.",
		"Job settle@1 is held because its tasks failed on several workers.",
	}, status.Problems)
	require.Equal(t, "There are 11 problems:", status.Sentences[0])
	require.Contains(t, status.Sentences[len(status.Sentences)-1], "conflict 1")
	e.Tally.EntryReported("entry-1", false)
	require.NotContains(t, e.Status().Problems, "Entry process entry-1 does not report.")
}

// TestWaitingGroupsTasksOfAJob checks that the list of waiting work has one entry per job, with the reason, instead of
// one per task: a job may have thousands of tasks that wait for the same reason.
func TestWaitingGroupsTasksOfAJob(t *testing.T) {
	e := fixture(t)
	waiting := e.Waiting()
	require.Len(t, waiting, 2)
	require.Equal(t, "settle@1", waiting[0].Job)
	require.EqualValues(t, 1, waiting[0].Failures)
	require.Equal(t, "exceeds_largest_worker", waiting[1].Reason)
	require.Contains(t, waiting[1].Sentence, "1 of 1 task waits since 2027-01-15T08:00:00Z.")
	for _, task := range e.List() {
		require.Empty(t, task.Sentence, "20,000 sentences would exceed the largest answer")
	}
}

// TestReplacedControlMember checks that a new control member is not shown as silent while the lost member that it
// replaces is still in the membership under the same name.
func TestReplacedControlMember(t *testing.T) {
	e := fixture(t)
	e.SilentMembers = []string{"2"}
	e.Membership.Members = append(e.Membership.Members, &wire.Member{Id: "3", Name: "control-2"})
	var states []string
	for _, h := range e.Hosts()[:3] {
		states = append(states, h.State)
	}
	require.Equal(t, []string{"leader", "silent", "non_voter"}, states)
}

// TestSilentWorker checks that answers about a task and its worker say so when the worker has not polled for some
// seconds, instead of stating that the task runs.
func TestSilentWorker(t *testing.T) {
	e := fixture(t)
	e.Lessor = lessor.New(lessor.Config{WorkerLease: 10 * time.Second, PollTimeout: 2 * time.Second}, 1,
		map[string]string{"worker-1": "1"}, nil, 0)
	e.Now = 2 * time.Second
	require.NotContains(t, e.taskSentence(e.Cell.Task("web/0")), "silent")
	e.Now = 5 * time.Second
	require.Contains(t, e.taskSentence(e.Cell.Task("web/0")),
		"The worker has been silent for 5s and may have stopped; if it stays silent, its tasks are placed again in 7s.")
	require.Contains(t, e.workerSentence(e.Cell.Worker("worker-1")), "silent for 5s")
}
