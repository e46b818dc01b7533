package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runner is a sound runner as the pages describe it. The spec of a task says how long it works: "ms=640".
type runner struct {
	cell     *cell
	id       string
	address  string
	service  string
	capacity map[string]int
	labels   []string
	quiet    bool

	mu       sync.Mutex
	born     int64
	began    time.Time
	offset   time.Duration
	token    uint64
	leaseEnd time.Duration
	running  map[string]*work
	highest  map[string]int
	ended    []end
	number   int
	seq      int
	changed  chan struct{}
	dead     bool
	server   *http.Server
	beatAt   string
	// starts counts the tasks that were started.
	starts int
	// grey is set while the runner fails all that it starts; failAfter is how long a task works before it fails.
	grey bool
	// onStart is called for each start, with the runner locked.
	onStart func(r *runner, o runnerOrder)
}

type work struct {
	run    int
	since  time.Duration
	length time.Duration
	// how is how the run ends if nothing stops it.
	how string
	// cpu is what the task takes, as the spec says; 0 where it does not.
	cpu int
	// gang is what the run shares with the other members of its gang; nil for a task alone.
	gang *gang
}

// gang is one run of a gang, on all runners.
type gang struct {
	size    int
	members map[string]bool
	// began is when all members were present; broken is set once one has ended without success.
	began  time.Time
	broken bool
}

// gangWait is gang_timeout_ms.
const gangWait = 3 * time.Second

// joinGang adds a run to its gang, whose size the spec gives; nil for a task alone.
func (c *cell) joinGang(o runnerOrder) *gang {
	size := number(o.Spec, "gang=")
	if size < 2 {
		return nil
	}
	c.gangMu.Lock()
	defer c.gangMu.Unlock()
	key := fmt.Sprintf("%s %d", o.Task[:strings.LastIndexByte(o.Task, '.')], o.Run)
	if c.gangs == nil {
		c.gangs = map[string]*gang{}
	}
	g := c.gangs[key]
	if g == nil {
		g = &gang{size: size, members: map[string]bool{}}
		c.gangs[key] = g
	}
	g.members[o.Task] = true
	if len(g.members) == g.size && g.began.IsZero() {
		g.began = time.Now()
	}
	return g
}

// number returns the number after a name in a spec; 0 without one.
func number(spec, name string) int {
	value := 0
	if i := strings.Index(spec, name); i >= 0 {
		_, _ = fmt.Sscanf(spec[i+len(name):], "%d", &value)
	}
	return value
}

// gangEnd returns how a member of a gang ends now; empty while it does not.
func (r *runner) gangEnd(w *work) string {
	r.cell.gangMu.Lock()
	defer r.cell.gangMu.Unlock()
	switch {
	case w.gang.broken:
		return "broken"
	case w.gang.began.IsZero() && r.now()-w.since > gangWait:
		return "alone"
	case w.gang.began.IsZero() || time.Since(w.gang.began) < w.length:
		return ""
	default:
		return w.how
	}
}

type end struct {
	number int
	task   string
	run    int
	how    string
}

// addRunner starts a runner on a machine of its own.
func (c *cell) addRunner(n int, service string, cpu, memMB int, labels ...string) (*runner, error) {
	r := &runner{
		cell: c, id: fmt.Sprintf("i-%06d", n), address: fmt.Sprintf("%s:%d", c.ip(n), c.ports.control), service: service,
		capacity: map[string]int{"cpu": cpu, "mem_mb": memMB, "gpu": 0}, labels: labels, born: time.Now().UnixMilli(),
		began: time.Now(), offset: time.Duration(rand.IntN(1000)) * time.Second, running: map[string]*work{},
		highest: map[string]int{}, changed: make(chan struct{}),
	}
	return r, r.serve()
}

// restartRunner starts a crashed runner again, under the id that it had.
func (c *cell) restartRunner(old *runner) (*runner, error) {
	r := &runner{
		cell: c, id: old.id, address: old.address, service: old.service, capacity: old.capacity, labels: old.labels,
		quiet: old.quiet, born: time.Now().UnixMilli(), began: time.Now(),
		offset:  time.Duration(rand.IntN(1000)) * time.Second,
		running: map[string]*work{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	return r, r.serve()
}

// serve listens and begins to send heartbeats.
func (r *runner) serve() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	go r.beat()
	go r.tick()
	r.cell.mu.Lock()
	r.cell.runners = append(r.cell.runners, r)
	r.cell.mu.Unlock()
	return nil
}

// stop ends the runner without a word, as a crash does.
func (r *runner) stop() {
	r.mu.Lock()
	r.dead = true
	r.running = map[string]*work{}
	r.mu.Unlock()
	_ = r.server.Close()
}

func (r *runner) now() time.Duration { return r.offset + time.Since(r.began) }

func (r *runner) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// finish records the end of a run.
func (r *runner) finish(task string, w *work, how string) {
	delete(r.running, task)
	if w.gang != nil && how != "done" {
		r.cell.gangMu.Lock()
		w.gang.broken = true
		r.cell.gangMu.Unlock()
	}
	r.number++
	r.ended = append(r.ended, end{r.number, task, w.run, how})
	r.event(task, "runner %s: %s run %d ended %s", r.id, task, w.run, how)
	r.notify()
}

// event records what happens to a task, at once or, on a quiet runner, with the history of its job.
func (r *runner) event(task, format string, args ...any) {
	if !r.quiet {
		r.cell.rec.line(format, args...)
		return
	}
	r.cell.rec.keep(strings.SplitN(task, ".", 2)[0], format, args...)
}

// tick ends what is done, and everything when the lease is over.
func (r *runner) tick() {
	for {
		time.Sleep(5 * time.Millisecond)
		r.mu.Lock()
		if r.dead {
			r.mu.Unlock()
			return
		}
		now := r.now()
		for task, w := range r.running {
			switch {
			case now > r.leaseEnd:
				r.finish(task, w, "lapsed")
			case w.gang != nil:
				if how := r.gangEnd(w); how != "" {
					r.finish(task, w, how)
				}
			case now-w.since >= w.length:
				r.finish(task, w, w.how)
			}
		}
		r.mu.Unlock()
	}
}

type runnerOrder struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	UntilMs *int64 `json:"until_ms"`
	Token   uint64 `json:"fencing_token"`
	Cursor  int    `json:"ack_cursor"`
	WaitMs  int    `json:"wait_ms"`
}

// greyLength is how long a task works at most on a runner that fails all that it starts.
const greyLength = 200 * time.Millisecond

// holdMax is the longest lease that a runner grants.
const holdMax = 10 * time.Second

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(req.Body)
	var o runnerOrder
	if err != nil || json.Unmarshal(data, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if req.Header.Get("X-Target-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dead {
		panic(http.ErrAbortHandler)
	}
	if o.Token < r.token {
		r.reply(w, http.StatusConflict, "fence")
		return
	}
	r.token = o.Token
	switch req.URL.Path {
	case "/-/run-start":
		r.start(w, o)
	case "/-/run-stop":
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if at := r.running[o.Task]; at != nil && at.run == o.Run {
			r.finish(o.Task, at, "stopped")
		}
		r.reply(w, http.StatusOK, "")
	case "/-/hold":
		r.hold(w, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) extend(until *int64) {
	if until == nil {
		return
	}
	to := min(time.Duration(*until)*time.Millisecond, r.now()+holdMax)
	r.leaseEnd = max(r.leaseEnd, to)
}

func (r *runner) start(w http.ResponseWriter, o runnerOrder) {
	if at := r.running[o.Task]; at != nil && at.run == o.Run {
		r.reply(w, http.StatusOK, "")
		return
	}
	if o.Run <= r.highest[o.Task] {
		r.extend(o.UntilMs)
		r.reply(w, http.StatusConflict, "old")
		return
	}
	if o.UntilMs != nil && time.Duration(*o.UntilMs)*time.Millisecond < r.now() {
		r.reply(w, http.StatusConflict, "late")
		return
	}
	r.extend(o.UntilMs)
	length := time.Duration(number(o.Spec, "ms=")) * time.Millisecond
	r.highest[o.Task] = o.Run
	started := &work{run: o.Run, since: r.now(), length: length, how: "done", cpu: number(o.Spec, "cpu="), gang: r.cell.joinGang(o)}
	if r.grey {
		started.how, started.length = "failed", min(length, greyLength)
	}
	r.running[o.Task] = started
	r.starts++
	if r.onStart != nil {
		r.onStart(r, o)
	}
	r.event(o.Task, "runner %s: %s run %d started", r.id, o.Task, o.Run)
	r.reply(w, http.StatusOK, "")
}

func (r *runner) hold(w http.ResponseWriter, o runnerOrder) {
	r.extend(o.UntilMs)
	r.forget(o.Cursor)
	for deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); len(r.ended) == 0; {
		left := time.Until(deadline)
		if left <= 0 || r.dead {
			break
		}
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(left):
		}
		r.mu.Lock()
	}
	if r.dead {
		panic(http.ErrAbortHandler)
	}
	running, finished := []any{}, []any{}
	for task, at := range r.running {
		percent := min(99, int(100*(r.now()-at.since)/max(at.length, 1)))
		running = append(running, []any{task, at.run, "", percent, 1000})
	}
	for _, e := range r.ended[:min(len(r.ended), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := map[string]any{
		"clock_ms": r.now().Milliseconds(), "born": r.born, "running": running, "finished": finished,
	}
	writeJSON(w, http.StatusOK, body)
}

func (r *runner) forget(cursor int) {
	for len(r.ended) > 0 && r.ended[0].number <= cursor {
		r.ended = r.ended[1:]
	}
}

func (r *runner) reply(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": r.now().Milliseconds()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// beat sends the heartbeats.
func (r *runner) beat() {
	client := &http.Client{Timeout: time.Second}
	controls := r.cell.controls()
	for next := rand.IntN(len(controls)); ; {
		r.mu.Lock()
		if r.dead {
			r.mu.Unlock()
			return
		}
		r.seq++
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": r.capacity, "labels": r.labels, "clock_ms": r.now().Milliseconds(),
			"seq": r.seq, "born": r.born,
		})
		to := r.beatAt
		r.mu.Unlock()
		if to == "" {
			to = controls[next%len(controls)]
		}
		req, _ := http.NewRequest(http.MethodPut, "http://"+to+"/-/instances/"+r.id, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		answer := struct {
			Address string `json:"heartbeat_address"`
		}{}
		if err == nil {
			_ = json.NewDecoder(resp.Body).Decode(&answer)
			_ = resp.Body.Close()
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			next++
			r.beatAt = ""
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r.beatAt = answer.Address
		time.Sleep(1500 * time.Millisecond)
	}
}
