// Package workeragent implements a stand-in worker of the platform. It does not check the orders that it gets: it
// starts every task that it is ordered to start, and the oracle detects double starts and exceeded capacity.
package workeragent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"flamingodrift.example/standin/internal/oracle"
	"flamingodrift.example/standin/internal/targetserver"
)

// Config describes a worker.
type Config struct {
	Name          string
	Rack          string
	FailureDomain string
	// IP is the address on which the worker's targets listen.
	IP       string
	Capacity oracle.Resources
	// EntryAddress returns the address of an entry process for the next poll.
	EntryAddress func() string
	Oracle       *oracle.Oracle
	// PollInterval is the interval of polls and of the announcements of the worker's targets.
	PollInterval time.Duration
	// PollTimeout is how long the worker waits for the reply to a poll.
	PollTimeout time.Duration
	// DrainTime is how long a stopping target continues to serve.
	DrainTime time.Duration
}

// Worker polls the entry processes and runs tasks until it is stopped.
type Worker struct {
	cfg    Config
	client *http.Client

	mu          sync.Mutex
	boot        string
	poll        uint64
	session     uint64
	leaseUntil  time.Time
	tasks       map[string]*task
	partitioned bool
	failing     bool

	cancel context.CancelFunc
	done   chan struct{}
}

type task struct {
	attempt uint64
	phase   string
	detail  string
	cancel  context.CancelFunc
}

type taskStatus struct {
	Task    string `json:"task"`
	Attempt uint64 `json:"attempt"`
	Phase   string `json:"phase"`
	Detail  string `json:"detail"`
}

type order struct {
	Kind      string           `json:"kind"`
	Task      string           `json:"task"`
	Attempt   uint64           `json:"attempt"`
	Resources oracle.Resources `json:"resources"`
	Command   string           `json:"command"`
	Service   string           `json:"service"`
}

type reply struct {
	LeaseMs uint32  `json:"lease_ms"`
	Session uint64  `json:"session"`
	Refused string  `json:"refused"`
	Orders  []order `json:"orders"`
}

// Start starts a worker.
func Start(cfg Config) *Worker {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{
		cfg: cfg, client: &http.Client{Timeout: cfg.PollTimeout}, tasks: map[string]*task{}, cancel: cancel,
		done: make(chan struct{}),
	}
	w.newBoot()
	cfg.Oracle.SetCapacity(cfg.Name, cfg.Capacity)
	go w.run(ctx)
	return w
}

// newBoot gives the worker a new boot, the id of its incarnation, as after a restart.
func (w *Worker) newBoot() {
	w.boot = fmt.Sprintf("%016x", time.Now().UnixNano())
	w.poll, w.session = 0, 0
}

func (w *Worker) run(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(w.cfg.PollInterval)
	defer ticker.Stop()
	for {
		w.checkLease()
		w.sendPoll(ctx)
		select {
		case <-ctx.Done():
			w.mu.Lock()
			w.stopAllTasks()
			w.mu.Unlock()
			return
		case <-ticker.C:
		}
	}
}

// checkLease ends all tasks when the lease has expired; the worker then continues as a new incarnation.
func (w *Worker) checkLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.tasks) > 0 && time.Now().After(w.leaseUntil) {
		w.stopAllTasks()
		w.newBoot()
	}
}

// stopAllTasks stops and drops all tasks, without draining their targets. The caller holds w.mu.
func (w *Worker) stopAllTasks() {
	for id, t := range w.tasks {
		if t.phase == "running" {
			t.phase = "stopped"
			t.cancel()
			w.cfg.Oracle.RecordEnd(w.cfg.Name, id, t.attempt)
		}
	}
	w.tasks = map[string]*task{}
}

func (w *Worker) sendPoll(ctx context.Context) {
	w.mu.Lock()
	if w.partitioned {
		w.mu.Unlock()
		return
	}
	w.poll++
	statuses := []taskStatus{}
	for id, t := range w.tasks {
		statuses = append(statuses, taskStatus{id, t.attempt, t.phase, t.detail})
	}
	body, err := json.Marshal(map[string]any{
		"worker": w.cfg.Name, "boot": w.boot, "poll": w.poll, "session": w.session, "capacity": w.cfg.Capacity,
		"rack": w.cfg.Rack, "failure_domain": w.cfg.FailureDomain, "tasks": statuses,
	})
	w.mu.Unlock()
	if err != nil {
		return
	}
	sentAt := time.Now()
	r, err := w.post(ctx, body)
	if err != nil {
		return
	}
	w.applyReply(r, sentAt)
}

func (w *Worker) post(ctx context.Context, body []byte) (*reply, error) {
	url := "http://" + w.cfg.EntryAddress() + "/platform/v1/workers/poll"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(response.Status)
	}
	r := &reply{}
	if err := json.NewDecoder(response.Body).Decode(r); err != nil {
		return nil, err
	}
	return r, nil
}

// applyReply renews the lease and carries out the orders of a reply. The lease runs from when the poll was sent.
func (w *Worker) applyReply(r *reply, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Refused == "lease_ended" {
		w.stopAllTasks()
		w.newBoot()
		return
	}
	if r.Refused != "" {
		return
	}
	w.session = r.Session
	w.leaseUntil = sentAt.Add(time.Duration(r.LeaseMs) * time.Millisecond)
	for _, o := range r.Orders {
		t := w.tasks[o.Task]
		switch {
		case o.Kind == "start":
			w.start(o)
		case t == nil || t.attempt != o.Attempt:
		case o.Kind == "stop":
			t.cancel()
		case o.Kind == "forget":
			delete(w.tasks, o.Task)
		}
	}
}

// start starts a task. Its command is "sleep DURATION", "fail", or "serve SLOTS".
func (w *Worker) start(o order) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &task{attempt: o.Attempt, phase: "running", cancel: cancel}
	w.tasks[o.Task] = t
	w.cfg.Oracle.RecordStart(w.cfg.Name, o.Task, o.Attempt, o.Resources)
	failing := w.failing
	go func() {
		phase, detail := w.execute(ctx, o, failing)
		w.mu.Lock()
		defer w.mu.Unlock()
		if t.phase == "running" {
			t.phase, t.detail = phase, detail
			w.cfg.Oracle.RecordEnd(w.cfg.Name, o.Task, o.Attempt)
		}
	}()
}

func (w *Worker) execute(ctx context.Context, o order, failing bool) (phase, detail string) {
	command, argument, _ := strings.Cut(o.Command, " ")
	if failing {
		return "failed", "this worker fails every task"
	}
	switch command {
	case "fail":
		return "failed", "the command fails"
	case "serve":
		return w.serveTask(ctx, o, argument)
	default:
		duration, err := time.ParseDuration(argument)
		if err != nil {
			return "failed", err.Error()
		}
		select {
		case <-ctx.Done():
			return "stopped", "stopped"
		case <-time.After(duration):
			return "succeeded", ""
		}
	}
}

// serveTask runs a target until the task is stopped. Only a stop order drains the target; when all tasks end at once it
// is killed.
func (w *Worker) serveTask(ctx context.Context, o order, argument string) (phase, detail string) {
	slots := 8
	if _, err := fmt.Sscanf(argument, "%d", &slots); argument != "" && err != nil {
		return "failed", err.Error()
	}
	t, err := targetserver.Start(targetserver.Config{
		Name: fmt.Sprintf("%s.%d", strings.ReplaceAll(o.Task, "/", "."), o.Attempt), Service: o.Service, IP: w.cfg.IP,
		Slots: slots, Connections: 64, EntryAddress: w.cfg.EntryAddress,
		Oracle: w.cfg.Oracle, AnnounceInterval: w.cfg.PollInterval,
	})
	if err != nil {
		return "failed", err.Error()
	}
	<-ctx.Done()
	w.mu.Lock()
	graceful := w.tasks[o.Task] != nil && w.tasks[o.Task].phase == "running"
	w.mu.Unlock()
	if !graceful {
		t.Kill()
		return "stopped", "killed"
	}
	if err := t.Shutdown(w.cfg.DrainTime); err != nil {
		return "stopped", err.Error()
	}
	return "stopped", "drained"
}

// SetPartitioned starts or ends a partition, during which the worker does not poll.
func (w *Worker) SetPartitioned(partitioned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned = partitioned
}

// SetFailing sets whether tasks that start from now on fail.
func (w *Worker) SetFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = failing
}

// Stop stops the worker and all its tasks.
func (w *Worker) Stop() {
	w.cancel()
	<-w.done
}
