package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as in the settings of the site files.
const (
	heartbeatMs    = 1500
	holdMaxMs      = 10000
	settleWindowMs = 3000
	drainMs        = 2000
	stopMs         = 200
	gangTimeoutMs  = 3000
	capacityGrace  = (settleWindowMs + heartbeatMs) * time.Millisecond
)

type amounts struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// run is one run of a task on a runner.
type run struct {
	task     string
	number   int
	cpu      int64
	began    time.Time
	work     time.Duration
	fails    bool
	stopping bool
	// gang is how many members the run has; together is since when all have been present.
	gang     int
	together time.Time
	endsAt   time.Time
}

type end struct {
	number int
	task   string
	run    int
	how    string
}

// fleet holds the stand-in runners and what they have in common.
type fleet struct {
	mu      sync.Mutex
	cell    *cell
	rec     *record
	service string
	runners []*runner
	client  *http.Client
	started map[string]bool // jobs of which a task has started
	starts  map[string]int  // starts of a task
}

// runner is a stand-in for a runner: one process of the platform that carries out orders. It does what PROTOCOL.md says
// under "Running tasks" and "Service discovery".
type runner struct {
	fleet   *fleet
	id      string
	address string
	server  *http.Server
	born    int64
	began   time.Time
	up      bool
	state   string
	drainBy time.Time
	seq     int
	token   uint64
	lease   time.Time
	runs    map[string]*run
	tomb    map[string]int // highest run of a task that was stopped or has ended here
	ends    []end
	lastEnd int
	room    amounts
	labels  []string
	// shrunkAt and before say since when the room is smaller and what it was.
	shrunkAt time.Time
	before   amounts
	control  string
	// calls, if set, sends the runner's calls to the control daemons.
	calls *http.Client
	// onStart, if set, is asked for each start order before it is carried out. It reports whether the order gets no
	// answer, and after which time it is carried out (never, if negative).
	onStart func(task string, number int) (silent bool, after time.Duration)
}

func newFleet(c *cell, rec *record, count int, room amounts, labels func(int) []string) (*fleet, error) {
	f := &fleet{
		cell: c, rec: rec, service: "svc", client: &http.Client{Timeout: time.Second},
		started: map[string]bool{}, starts: map[string]int{},
	}
	for i := range count {
		r := &runner{
			fleet: f, id: fmt.Sprintf("i-%04d", i+1), address: fmt.Sprintf("%s:%d", c.ip(101+i), runnerPort), room: room,
			labels: []string{"a", fmt.Sprintf("r1-%d", i/8+1)}, calls: f.client,
		}
		if labels != nil {
			r.labels = labels(i)
		}
		if err := r.boot(); err != nil {
			return nil, err
		}
		f.runners = append(f.runners, r)
	}
	go f.tick()
	return f, nil
}

// boot begins a new life of the runner, which knows nothing of earlier ones.
func (r *runner) boot() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	f := r.fleet
	f.mu.Lock()
	r.began = time.Now()
	r.born, r.up, r.state, r.seq, r.token, r.lease = r.began.UnixMilli(), true, "ready", 0, 0, r.began
	r.runs, r.tomb, r.ends, r.lastEnd = map[string]*run{}, map[string]int{}, nil, 0
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", r.handle(r.start))
	mux.HandleFunc("POST /-/run-stop", r.handle(r.stop))
	mux.HandleFunc("POST /-/hold", r.handle(r.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.server = &http.Server{Handler: mux}
	server, born := r.server, r.born
	f.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go r.beat(born)
	return nil
}

// halt ends the process of the runner, and with it all that runs there.
func (r *runner) halt(why string) {
	f := r.fleet
	f.mu.Lock()
	for task, x := range r.runs {
		f.rec.logf(r.id, "%s run %d is cut: %s", task, x.number, why)
	}
	r.runs, r.up = map[string]*run{}, false
	server := r.server
	f.mu.Unlock()
	f.rec.logf(r.id, "%s", why)
	_ = server.Close()
}

func (r *runner) clock(now time.Time) int64 { return now.Sub(r.began).Milliseconds() + 480000 }

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"until_ms"`
	Token      uint64 `json:"fencing_token"`
	AckCursor  int    `json:"ack_cursor"`
	WaitMs     int64  `json:"wait_ms"`
	Checkpoint string `json:"checkpoint"`
}

// spec is what the clients of these scripts write into the spec of a job.
type spec struct {
	CPU    int64 `json:"cpu"`
	WorkMs int64 `json:"work_ms"`
	// Fails is how many runs of each task end failed before one succeeds.
	Fails int `json:"fails,omitempty"`
	// Gang is how many tasks work only together; 0 for tasks on their own.
	Gang int `json:"gang,omitempty"`
}

func (r *runner) handle(do func(http.ResponseWriter, order)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var o order
		if json.NewDecoder(q.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if to := q.Header.Get("X-Target-Instance"); to != "" && to != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		do(w, o)
	}
}

func (r *runner) respond(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = r.clock(time.Now())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// extend extends the lease of all that runs here. A longer one is shortened to the longest.
func (r *runner) extend(untilMs int64, now time.Time) {
	at := now.Add(time.Duration(min(untilMs-r.clock(now), holdMaxMs)) * time.Millisecond)
	if at.After(r.lease) {
		r.lease = at
	}
}

func (r *runner) start(w http.ResponseWriter, o order) {
	if r.onStart != nil {
		if silent, after := r.onStart(o.Task, o.Run); silent {
			r.fleet.rec.logf(r.id, "start of %s run %d gets no answer", o.Task, o.Run)
			if after >= 0 {
				time.AfterFunc(after, func() { r.carryOutStart(o, true) })
			}
			time.Sleep(2 * time.Second)
			panic(http.ErrAbortHandler)
		}
	}
	status, reason := r.carryOutStart(o, false)
	body := map[string]any{}
	if reason != "" {
		body["reason"] = reason
	}
	r.respond(w, status, body)
}

func (r *runner) carryOutStart(o order, late bool) (status int, reason string) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !r.up {
		return 503, ""
	}
	if o.Token < r.token {
		f.rec.logf(r.id, "refuses start of %s run %d: fence", o.Task, o.Run)
		return 409, "fence"
	}
	r.token = o.Token
	if x := r.runs[o.Task]; x != nil && x.number == o.Run {
		return 200, ""
	}
	if o.Run <= r.tomb[o.Task] {
		r.extend(o.UntilMs, now)
		return 409, "old"
	}
	if o.UntilMs <= r.clock(now) {
		f.rec.logf(r.id, "refuses start of %s run %d: late", o.Task, o.Run)
		return 409, "late"
	}
	var s spec
	if json.Unmarshal([]byte(o.Spec), &s) != nil {
		f.rec.broken("UNASKED", "%s is told to start %s with the spec %q", r.id, o.Task, o.Spec)
		return 400, ""
	}
	r.extend(o.UntilMs, now)
	f.started[strings.SplitN(o.Task, ".", 2)[0]] = true
	f.starts[o.Task]++
	r.runs[o.Task] = &run{
		task: o.Task, number: o.Run, cpu: s.CPU, began: now, work: time.Duration(s.WorkMs) * time.Millisecond,
		fails: f.starts[o.Task] <= s.Fails, gang: s.Gang,
	}
	word := ""
	if late {
		word = " (carried out late)"
	}
	f.rec.logf(r.id, "starts %s run %d%s, %d of %d in use", o.Task, o.Run, word, r.used(), r.room.CPU)
	f.checkStart(r, o, now)
	return 200, ""
}

func (r *runner) used() int64 {
	var sum int64
	for _, x := range r.runs {
		sum += x.cpu
	}
	return sum
}

// checkStart checks the rules LIMIT and TWICE for a start.
func (f *fleet) checkStart(r *runner, o order, now time.Time) {
	room := r.room.CPU
	if !r.shrunkAt.IsZero() && now.Sub(r.shrunkAt) <= capacityGrace {
		room = max(room, r.before.CPU)
	}
	if used := r.used(); used > room {
		f.rec.broken("LIMIT", "a start of %s brings %s to %d of %d, which is its capacity for %.1f s", o.Task, r.id, used,
			room, now.Sub(r.shrunkAt).Seconds())
	}
	for _, other := range f.runners {
		if x := other.runs[o.Task]; other != r && other.up && x != nil {
			f.rec.broken("TWICE", "%s run %d starts on %s while run %d is at work on %s, which is up", o.Task, o.Run, r.id,
				x.number, other.id)
		}
	}
}

func (r *runner) stop(w http.ResponseWriter, o order) {
	f := r.fleet
	f.mu.Lock()
	if o.Token < r.token {
		f.mu.Unlock()
		r.respond(w, 409, map[string]any{"reason": "fence"})
		return
	}
	r.token = o.Token
	r.tomb[o.Task] = max(r.tomb[o.Task], o.Run)
	if x := r.runs[o.Task]; x != nil && x.number == o.Run && !x.stopping {
		x.stopping, x.endsAt = true, time.Now().Add(stopMs*time.Millisecond)
		f.rec.logf(r.id, "is told to stop %s run %d", o.Task, o.Run)
	}
	f.mu.Unlock()
	r.respond(w, 200, map[string]any{})
}

func (r *runner) hold(w http.ResponseWriter, o order) {
	f := r.fleet
	f.mu.Lock()
	if o.Token < r.token {
		f.mu.Unlock()
		r.respond(w, 409, map[string]any{"reason": "fence"})
		return
	}
	r.token = o.Token
	if o.UntilMs > 0 {
		r.extend(o.UntilMs, time.Now())
	}
	for len(r.ends) > 0 && r.ends[0].number <= o.AckCursor {
		r.ends = r.ends[1:]
	}
	for deadline := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond); len(r.ends) == 0 &&
		time.Now().Before(deadline) && r.up; {
		f.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range r.runs {
		percent := 100 * time.Since(x.began) / max(x.work, 1)
		running = append(running, []any{x.task, x.number, "", min(int(percent), 99), 0})
	}
	for _, e := range r.ends[:min(len(r.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	born := r.born
	f.mu.Unlock()
	r.respond(w, 200, map[string]any{"running": running, "finished": finished, "born": born})
}

// tick ends the runs that are over.
func (f *fleet) tick() {
	for range time.Tick(5 * time.Millisecond) {
		f.mu.Lock()
		now := time.Now()
		for _, r := range f.runners {
			for task, x := range r.runs {
				switch {
				case now.After(r.lease):
					r.endRun(task, x, "lapsed")
				case x.stopping && now.After(x.endsAt):
					r.endRun(task, x, "stopped")
				case x.stopping:
				case x.gang > 0:
					f.tickMember(r, task, x, now)
				case now.Sub(x.began) >= x.work && x.fails:
					r.endRun(task, x, "failed")
				case now.Sub(x.began) >= x.work:
					r.endRun(task, x, "done")
				}
			}
		}
		f.mu.Unlock()
	}
}

// tickMember ends a member of a gang that is done, that has lost another member, or that has waited too long.
func (f *fleet) tickMember(r *runner, task string, x *run, now time.Time) {
	step := task[:strings.LastIndex(task, ".")]
	present := 0
	for _, other := range f.runners {
		for name, y := range other.runs {
			if y.number == x.number && name[:strings.LastIndex(name, ".")] == step {
				present++
			}
		}
	}
	switch {
	case present >= x.gang && x.together.IsZero():
		x.together = now
	case x.together.IsZero() && now.Sub(x.began) > gangTimeoutMs*time.Millisecond:
		r.endRun(task, x, "alone")
	case x.together.IsZero():
	case now.Sub(x.together) >= x.work:
		r.endRun(task, x, "done")
	case present < x.gang:
		r.endRun(task, x, "broken")
	}
}

func (r *runner) endRun(task string, x *run, how string) {
	delete(r.runs, task)
	r.tomb[task] = max(r.tomb[task], x.number)
	r.lastEnd++
	r.ends = append(r.ends, end{r.lastEnd, task, x.number, how})
	r.fleet.rec.logf(r.id, "%s run %d ends %s", task, x.number, how)
}

// shrink makes the room of a runner smaller from now on. The next heartbeat shows it.
func (r *runner) shrink(room amounts) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	r.before, r.room, r.shrunkAt = r.room, room, time.Now()
	f.rec.logf(r.id, "capacity shrinks from %d to %d", r.before.CPU, room.CPU)
}

// beat sends heartbeats, about each heartbeatMs, until the life that began at born is over.
func (r *runner) beat(born int64) {
	for {
		if !r.sendBeat(born) {
			return
		}
		time.Sleep(time.Duration(heartbeatMs-100+rand.IntN(200)) * time.Millisecond)
	}
}

// sendBeat sends a heartbeat until a daemon acknowledges it: after a failure the next daemon is called, with an
// increasing pause. It returns false when this life of the runner is over.
func (r *runner) sendBeat(born int64) bool {
	for attempt := 0; ; attempt++ {
		f := r.fleet
		f.mu.Lock()
		if !r.up || r.born != born {
			f.mu.Unlock()
			return false
		}
		r.seq++
		body := map[string]any{
			"service": f.service, "address": r.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": r.state,
			"cold_remaining_ms": 0, "capacity": r.room, "labels": r.labels, "clock_ms": r.clock(time.Now()),
			"seq": r.seq, "born": born,
		}
		if r.state == "draining" {
			body["drain_remaining_ms"] = max(0, time.Until(r.drainBy).Milliseconds())
		}
		to, state := r.control, r.state
		f.mu.Unlock()
		if to == "" || attempt > 0 {
			controls := f.cell.controls()
			to = controls[rand.IntN(len(controls))]
		}
		status, answer := r.call("PUT", to, body)
		if status == 200 {
			var reply struct {
				Address string `json:"heartbeat_address"`
			}
			_ = json.Unmarshal(answer, &reply)
			f.mu.Lock()
			r.control = reply.Address
			f.mu.Unlock()
			if state == "draining" {
				f.rec.logf(r.id, "draining is acknowledged by %s", to)
			}
			return true
		}
		time.Sleep(min(200*time.Millisecond<<min(attempt, 3), 1500*time.Millisecond))
	}
}

func (r *runner) call(method, to string, body map[string]any) (int, []byte) {
	return send(r.calls, method, "http://"+to+"/-/instances/"+r.id, "", body)
}

// leave ends the runner as planned: it drains, serves on for drainMs and a little longer, says that it leaves, and ends.
func (r *runner) leave(extra time.Duration) {
	f := r.fleet
	f.mu.Lock()
	r.state, r.drainBy = "draining", time.Now().Add(drainMs*time.Millisecond+extra)
	born := r.born
	f.mu.Unlock()
	f.rec.logf(r.id, "reports draining")
	r.sendBeat(born)
	time.Sleep(drainMs*time.Millisecond + extra)
	for attempt := 0; attempt < 5; attempt++ {
		controls := f.cell.controls()
		to := controls[rand.IntN(len(controls))]
		f.rec.logf(r.id, "sends DELETE to %s", to)
		status, _ := r.call("DELETE", to, map[string]any{"born": born})
		f.rec.logf(r.id, "DELETE is answered with %d (0: no response)", status)
		if status/100 == 2 {
			break
		}
	}
	r.halt("the runner ends")
}
