// Package poller gathers the polls of workers, so that one message carries many of them to the leader.
package poller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"flamingodrift.example/core/wire"
)

const (
	maxBodyBytes = 256 << 10
	maxNameBytes = 128
	// maxDetailBytes bounds what a worker says about the end of a task.
	maxDetailBytes = 256
	maxWaiting     = 2_048
)

// Leader calls the leading controld process.
type Leader interface {
	Call(ctx context.Context, request *wire.Request) (*wire.Reply, error)
}

// Config holds what a Poller needs.
type Config struct {
	Leader Leader
	Entry  string
	// BatchWindow is how long polls are gathered.
	BatchWindow time.Duration
	// Timeout is how long a worker's poll may take.
	Timeout time.Duration
}

// Poller is safe for concurrent use.
type Poller struct {
	cfg Config

	mu      sync.Mutex
	reports []*wire.WorkerReport
	waiting []chan *wire.WorkerOrder
	known   map[string]*known
}

// New returns a Poller.
func New(cfg Config) *Poller { return &Poller{cfg: cfg, known: map[string]*known{}} }

// resources is the JSON form of an amount of each resource.
type resources struct {
	Processors   float64 `json:"processors"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int64   `json:"accelerators"`
}

func (r resources) message() *wire.Resources {
	return &wire.Resources{CpuMilli: int64(r.Processors*1000 + 0.5), MemoryMb: r.MemoryMB, Accelerators: r.Accelerators}
}

type taskStatus struct {
	Task         string    `json:"task"`
	Attempt      uint64    `json:"attempt"`
	Phase        string    `json:"phase"`
	Detail       string    `json:"detail"`
	Usage        resources `json:"usage"`
	Checkpointed bool      `json:"checkpointed"`
}

// poll is the body of POST /platform/v1/workers/poll.
type poll struct {
	Worker        string       `json:"worker"`
	Boot          string       `json:"boot"`
	Poll          uint64       `json:"poll"`
	Session       uint64       `json:"session"`
	Capacity      resources    `json:"capacity"`
	Rack          string       `json:"rack"`
	FailureDomain string       `json:"failure_domain"`
	Tasks         []taskStatus `json:"tasks"`
}

type order struct {
	Kind      string    `json:"kind"`
	Task      string    `json:"task"`
	Attempt   uint64    `json:"attempt"`
	Resources resources `json:"resources"`
	Command   string    `json:"command,omitempty"`
	Service   string    `json:"service,omitempty"`
}

// answer is the answer to a poll.
type answer struct {
	Poll    uint64  `json:"poll"`
	LeaseMs uint32  `json:"lease_ms"`
	Session uint64  `json:"session"`
	Refused string  `json:"refused,omitempty"`
	Orders  []order `json:"orders"`
}

var phases = map[string]wire.TaskPhase{
	"running":   wire.TaskPhase_TASK_PHASE_RUNNING,
	"succeeded": wire.TaskPhase_TASK_PHASE_SUCCEEDED,
	"failed":    wire.TaskPhase_TASK_PHASE_FAILED,
	"stopped":   wire.TaskPhase_TASK_PHASE_STOPPED,
}

var orderKinds = map[wire.OrderKind]string{
	wire.OrderKind_ORDER_KIND_START:      "start",
	wire.OrderKind_ORDER_KIND_STOP:       "stop",
	wire.OrderKind_ORDER_KIND_CHECKPOINT: "checkpoint",
	wire.OrderKind_ORDER_KIND_THROTTLE:   "throttle",
	wire.OrderKind_ORDER_KIND_FORGET:     "forget",
}

func (p *poll) report() (*wire.WorkerReport, error) {
	for _, name := range []string{p.Worker, p.Boot, p.Rack, p.FailureDomain} {
		if name == "" || len(name) > maxNameBytes {
			return nil, fmt.Errorf("worker, boot, rack and failure_domain must have 1 to %d bytes", maxNameBytes)
		}
	}
	if p.Capacity.Processors < 0 || p.Capacity.MemoryMB < 0 || p.Capacity.Accelerators < 0 {
		return nil, errors.New("capacity must not be negative")
	}
	report := &wire.WorkerReport{
		Worker: p.Worker, Boot: p.Boot, Poll: p.Poll, Session: p.Session, Capacity: p.Capacity.message(),
		Rack: p.Rack, FailureDomain: p.FailureDomain,
	}
	for _, t := range p.Tasks {
		phase, ok := phases[t.Phase]
		if !ok {
			return nil, fmt.Errorf("phase %q is not allowed; allowed: running, succeeded, failed, stopped", t.Phase)
		}
		report.Tasks = append(report.Tasks, &wire.TaskStatus{
			Task: t.Task, Attempt: t.Attempt, Phase: phase, Detail: clip(t.Detail), Usage: t.Usage.message(),
			Checkpointed: t.Checkpointed,
		})
	}
	return report, nil
}

// clip bounds what a worker says about a task, because it is replicated and kept.
func clip(detail string) string {
	if len(detail) <= maxDetailBytes {
		return detail
	}
	return strings.ToValidUTF8(detail[:maxDetailBytes], "")
}

func encode(o *wire.WorkerOrder) *answer {
	a := &answer{Poll: o.GetPoll(), LeaseMs: o.GetLeaseMs(), Session: o.GetSession(), Refused: o.GetRefused(), Orders: []order{}}
	for _, item := range o.GetOrders() {
		r := item.GetResources()
		a.Orders = append(a.Orders, order{
			Kind: orderKinds[item.GetKind()], Task: item.GetTask(), Attempt: item.GetAttempt(),
			Resources: resources{Processors: float64(r.GetCpuMilli()) / 1000, MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators()},
			Command:   item.GetCommand(), Service: item.GetService(),
		})
	}
	return a
}

// ServeHTTP takes a worker's poll and answers with the leader's orders.
func (p *Poller) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body := &poll{}
	if err := json.NewDecoder(io.LimitReader(request.Body, maxBodyBytes)).Decode(body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	report, err := body.report()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	turn := p.enqueue(report)
	if turn == nil {
		http.Error(w, "too many polls are waiting", http.StatusTooManyRequests)
		return
	}
	timer := time.NewTimer(p.cfg.Timeout)
	defer timer.Stop()
	select {
	case o := <-turn:
		if o == nil {
			http.Error(w, "no leader can be reached", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The worker has gone if this fails; its next poll tells what it received.
		_ = json.NewEncoder(w).Encode(encode(o))
	case <-timer.C:
		http.Error(w, "no leader answered in time", http.StatusServiceUnavailable)
	case <-request.Context().Done():
	}
}

// enqueue adds a report to the present batch; the first of a batch starts its timer.
func (p *Poller) enqueue(report *wire.WorkerReport) chan *wire.WorkerOrder {
	turn := make(chan *wire.WorkerOrder, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) >= maxWaiting {
		return nil
	}
	p.reports = append(p.reports, report)
	p.waiting = append(p.waiting, turn)
	if len(p.reports) == 1 {
		time.AfterFunc(p.cfg.BatchWindow, p.flush)
	}
	return turn
}

func (p *Poller) flush() {
	p.mu.Lock()
	reports, waiting := p.reports, p.waiting
	p.reports, p.waiting = nil, nil
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.Timeout)
	defer cancel()
	b := p.newBatch(reports, waiting)
	b.send(ctx)
}
