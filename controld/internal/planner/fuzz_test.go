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

// Guards against any sequence of events that breaks an invariant of placement, gives an untrue reason, or makes a cell
// depend on more than its commands.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t, rapid.SampledFrom([]string{"waiting", "packing"}).Draw(t, "profile"), drawTeams(t)...)
		m := &machine{f: f, twin: cell.New()}
		m.replay()
		t.Repeat(map[string]func(*rapid.T){
			"sheet":   m.sheet,
			"config":  m.config,
			"cancel":  m.cancel,
			"drain":   m.drain,
			"join":    m.join,
			"lose":    m.lose,
			"start":   m.start,
			"end":     m.end,
			"stopped": func(*rapid.T) { f.endStopping() },
			"round":   m.round,
			"restore": m.restore,
			"":        m.check,
		})
	})
}

// machine drives a fixture; twin gets the same commands.
type machine struct {
	f    *fixture
	twin *cell.Cell
	seen int
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
		of(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")))
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

func (m *machine) sheet(t *rapid.T) {
	key := fmt.Sprintf("j%d", rapid.IntRange(0, 11).Draw(t, "key"))
	m.f.rows = slices.DeleteFunc(slices.Clone(m.f.rows), func(s *wire.JobSpec) bool { return s.GetKey() == key })
	if rapid.IntRange(0, 4).Draw(t, "listed") > 0 {
		m.f.rows = append(m.f.rows, drawRow(t, key))
	}
	m.f.applySheet()
}

func (m *machine) config(t *rapid.T) {
	m.f.configure(rapid.SampledFrom([]string{"waiting", "packing"}).Draw(t, "profile"), drawTeams(t)...)
}

func (m *machine) cancel(t *rapid.T) {
	m.f.cancel(fmt.Sprintf("j%d", rapid.IntRange(0, 11).Draw(t, "key")))
}

func (m *machine) name(t *rapid.T) string {
	return fmt.Sprintf("w%d", rapid.IntRange(0, 9).Draw(t, "worker"))
}

func (m *machine) drain(t *rapid.T) { m.f.drain(m.name(t), rapid.Bool().Draw(t, "drain")) }

func (m *machine) join(t *rapid.T) {
	name := m.name(t)
	part := int(name[1]-'0') / 2
	m.f.event(&wire.WorkerEvent{Worker: name, Body: &wire.WorkerEvent_Seen{Seen: &wire.WorkerSeen{
		Boot: fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "boot")), Capacity: size(int64(rapid.SampledFrom([]int{4, 8}).Draw(t, "capacity"))),
		Rack: fmt.Sprint(part), FailureDomain: fmt.Sprint(part / 2),
	}}})
}

func (m *machine) lose(t *rapid.T) {
	if name := m.name(t); m.f.c.Worker(name) != nil {
		m.f.lose(name)
	}
}

func (m *machine) task(t *rapid.T) *job.Task {
	ids := make([]string, 0, 16)
	for id := range m.f.activeTasks() {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	return m.f.c.Task(rapid.SampledFrom(ids).Draw(t, "task"))
}

func (m *machine) start(t *rapid.T) {
	if task := m.task(t); task != nil {
		m.f.report(task.ID(), wire.TaskPhase_TASK_PHASE_RUNNING)
	}
}

func (m *machine) end(t *rapid.T) {
	if task := m.task(t); task != nil {
		m.f.report(task.ID(), wire.TaskPhase(rapid.IntRange(2, 3).Draw(t, "phase")))
	}
}

// round applies one round of decisions and confirms each reason against the state that results.
func (m *machine) round(t *rapid.T) {
	pass := time.Duration(rapid.SampledFrom([]int{1, 2, 20, 120}).Draw(t, "seconds")) * time.Second
	d := m.f.round(pass)
	if len(d.GetWorkerHolds()) > 0 || len(d.GetJobHolds()) > 0 {
		return
	}
	touched := map[string]bool{}
	for _, p := range d.GetPlacements() {
		task := m.f.c.Task(p.GetTask())
		if !task.Active() || task.Worker() != p.GetWorker() {
			t.Fatalf("placement of %s on %s was not taken", p.GetTask(), p.GetWorker())
		}
		touched[task.Job().ID()] = true
	}
	for id := range touched {
		m.checkPlaced(t, m.f.c.Job(id))
	}
	for id, j := range m.f.c.WaitingJobs() {
		if why := m.refute(j, m.f.why(id)); why != "" {
			t.Fatalf("%s waits with reason %s, but %s", id, m.f.why(id), why)
		}
	}
}

func (m *machine) checkPlaced(t *rapid.T, j *job.Job) {
	if j.Spec().GetKind() == wire.JobKind_JOB_KIND_ALL_AT_ONCE && j.Waiting() > 0 {
		t.Fatalf("%s was placed in part", j.ID())
	}
	team := j.Spec().GetTeam()
	if !m.f.c.WithinQuota(team, resource.Vector{}) {
		t.Fatalf("team %s was placed over its quota", team)
	}
}

// restore continues from a snapshot, which must decide alike.
func (m *machine) restore(t *rapid.T) {
	data, err := m.f.c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := cell.Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	a := planner.New(planner.Config{}).Decide(m.f.c, m.f.now)
	b := planner.New(planner.Config{}).Decide(restored, m.f.now)
	if !proto.Equal(a, b) {
		t.Fatalf("the restored cell decides %v, not %v", b, a)
	}
	m.f.c = restored
}

// replay gives the twin each command as it was applied.
func (m *machine) replay() {
	for ; m.seen < len(m.f.log); m.seen++ {
		m.twin.Apply(m.f.log[m.seen])
	}
}

func (m *machine) check(t *rapid.T) {
	m.replay()
	a, _ := m.f.c.Snapshot()
	b, _ := m.twin.Snapshot()
	if string(a) != string(b) {
		t.Fatal("the same commands gave two snapshots")
	}
	used := map[string]resource.Vector{}
	attempts := map[uint64]string{}
	for _, j := range m.f.c.Jobs() {
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
	for name, w := range m.f.c.Workers() {
		if w.Used() != used[name] {
			t.Fatalf("worker %s counts %v, its tasks take %v", name, w.Used(), used[name])
		}
	}
}
