package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/wire"
)

// Guards against sequences of events that break an invariant of placement, lead to a wrong reason for waiting, or make
// the state of a cell depend on anything but its commands.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t, rapid.SampledFrom([]string{"waiting", "packing"}).Draw(t, "profile"), drawTeams(t)...)
		h := &harness{f: f, replica: cell.New()}
		h.replay()
		t.Repeat(map[string]func(*rapid.T){
			"sheet":   h.sheet,
			"config":  h.config,
			"cancel":  h.cancel,
			"drain":   h.drain,
			"join":    h.join,
			"lose":    h.lose,
			"start":   h.start,
			"end":     h.end,
			"stopped": func(*rapid.T) { f.endStopping() },
			"round":   h.round,
			"restore": h.restore,
			"":        h.check,
		})
	})
}

// harness holds the state of the property test; its methods are the events. The replica is a second cell that gets the
// same commands.
type harness struct {
	f        *fixture
	replica  *cell.Cell
	replayed int
}

func drawTeams(t *rapid.T) []*wire.Team {
	var teams []*wire.Team
	for _, name := range []string{"a", "b", "c"} {
		team := &wire.Team{Name: name, Weight: uint32(rapid.IntRange(0, 3).Draw(t, "weight"))}
		if rapid.Bool().Draw(t, "limited") {
			team.Quota = size(int64(rapid.IntRange(1, 30).Draw(t, "quota")))
		}
		teams = append(teams, team)
	}
	return teams
}

func drawRow(t *rapid.T, key string) *wire.JobSpec {
	s := row(key, uint32(rapid.IntRange(1, 6).Draw(t, "tasks")), int64(rapid.IntRange(1, 9).Draw(t, "size")),
		ofTeam(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")))
	s.Kind = wire.JobKind(rapid.IntRange(1, 3).Draw(t, "kind"))
	s.Urgency = wire.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency"))
	s.Spread = wire.Spread(rapid.IntRange(0, 2).Draw(t, "spread"))
	s.ExpectedRunMs = uint64(rapid.SampledFrom([]int{0, 10_000, 3_600_000}).Draw(t, "expected"))
	s.NeverRestart = rapid.IntRange(0, 4).Draw(t, "never") == 0
	if s.Kind == wire.JobKind_JOB_KIND_SERVICE {
		s.Run = ""
	}
	return s
}

func (h *harness) sheet(t *rapid.T) {
	key := fmt.Sprintf("j%d", rapid.IntRange(0, 11).Draw(t, "key"))
	h.f.rows = slices.DeleteFunc(slices.Clone(h.f.rows), func(s *wire.JobSpec) bool { return s.GetKey() == key })
	if rapid.IntRange(0, 4).Draw(t, "listed") > 0 {
		h.f.rows = append(h.f.rows, drawRow(t, key))
	}
	h.f.applySheet()
}

func (h *harness) config(t *rapid.T) {
	h.f.configure(rapid.SampledFrom([]string{"waiting", "packing"}).Draw(t, "profile"), drawTeams(t)...)
}

func (h *harness) cancel(t *rapid.T) {
	h.f.cancel(fmt.Sprintf("j%d", rapid.IntRange(0, 11).Draw(t, "key")))
}

func (h *harness) name(t *rapid.T) string {
	return fmt.Sprintf("w%d", rapid.IntRange(0, 9).Draw(t, "worker"))
}

func (h *harness) drain(t *rapid.T) { h.f.drain(h.name(t), rapid.Bool().Draw(t, "drain")) }

func (h *harness) join(t *rapid.T) {
	name := h.name(t)
	rack := int(name[1]-'0') / 2
	h.f.event(&wire.WorkerEvent{Worker: name, Body: &wire.WorkerEvent_Seen{Seen: &wire.WorkerSeen{
		Boot:     fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "boot")),
		Capacity: size(int64(rapid.SampledFrom([]int{4, 8}).Draw(t, "capacity"))),
		Rack:     fmt.Sprint(rack), FailureDomain: fmt.Sprint(rack / 2),
	}}})
}

func (h *harness) lose(t *rapid.T) {
	if name := h.name(t); h.f.cell.Worker(name) != nil {
		h.f.loseWorker(name)
	}
}

func (h *harness) task(t *rapid.T) *job.Task {
	ids := make([]string, 0, 16)
	for id := range h.f.activeTasks() {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	return h.f.cell.Task(rapid.SampledFrom(ids).Draw(t, "task"))
}

func (h *harness) start(t *rapid.T) {
	if task := h.task(t); task != nil {
		h.f.report(task.ID(), wire.TaskPhase_TASK_PHASE_RUNNING)
	}
}

func (h *harness) end(t *rapid.T) {
	if task := h.task(t); task != nil {
		h.f.report(task.ID(), wire.TaskPhase(rapid.IntRange(2, 3).Draw(t, "phase")))
	}
}

// round applies one round of decisions, and checks the placements and each reason for waiting against the resulting
// state.
func (h *harness) round(t *rapid.T) {
	elapsed := time.Duration(rapid.SampledFrom([]int{1, 2, 20, 120}).Draw(t, "seconds")) * time.Second
	d := h.f.round(elapsed)
	if len(d.GetWorkerHolds()) > 0 || len(d.GetJobHolds()) > 0 {
		return
	}
	touched := map[string]bool{}
	for _, p := range d.GetPlacements() {
		task := h.f.cell.Task(p.GetTask())
		if !task.Active() || task.Worker() != p.GetWorker() {
			t.Fatalf("placement of %s on %s was not applied", p.GetTask(), p.GetWorker())
		}
		touched[task.Job().ID()] = true
	}
	for id := range touched {
		h.checkPlaced(t, h.f.cell.Job(id))
	}
	for id, j := range h.f.cell.WaitingJobs() {
		if fault := h.refute(j, h.f.waitReason(id)); fault != "" {
			t.Fatalf("%s waits with reason %s, but %s", id, h.f.waitReason(id), fault)
		}
	}
}

func (h *harness) checkPlaced(t *rapid.T, j *job.Job) {
	if j.Spec().GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE && j.Waiting() > 0 {
		t.Fatalf("%s was placed in part", j.ID())
	}
	team := j.Spec().GetTeam()
	if !h.f.cell.WithinQuota(team, resource.Vector{}) {
		t.Fatalf("team %s was placed over its quota", team)
	}
}

// restore continues from a snapshot, on which a new planner must decide the same.
func (h *harness) restore(t *rapid.T) {
	data, err := h.f.cell.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := cell.Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	a := planner.New(planner.Config{}).Decide(h.f.cell, h.f.now)
	b := planner.New(planner.Config{}).Decide(restored, h.f.now)
	if !proto.Equal(a, b) {
		t.Fatalf("the restored cell decides %v, not %v", b, a)
	}
	h.f.cell = restored
}

// replay applies to the replica the commands that it has not had yet.
func (h *harness) replay() {
	for ; h.replayed < len(h.f.commands); h.replayed++ {
		h.replica.Apply(h.f.commands[h.replayed])
	}
}

func (h *harness) check(t *rapid.T) {
	h.replay()
	a, _ := h.f.cell.Snapshot()
	b, _ := h.replica.Snapshot()
	if string(a) != string(b) {
		t.Fatal("the same commands gave different snapshots")
	}
	used := map[string]resource.Vector{}
	attempts := map[uint64]string{}
	for _, j := range h.f.cell.Jobs() {
		for _, task := range j.Tasks() {
			if !task.Active() {
				continue
			}
			if other, twice := attempts[task.Attempt()]; twice {
				t.Fatalf("%s and %s share an attempt", other, task.ID())
			}
			attempts[task.Attempt()] = task.ID()
			used[task.Worker()] = used[task.Worker()].Add(task.Placed())
		}
	}
	for name, w := range h.f.cell.Workers() {
		if w.Used() != used[name] {
			t.Fatalf("worker %s counts %v, its tasks take %v", name, w.Used(), used[name])
		}
	}
}
