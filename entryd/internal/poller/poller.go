// Package poller serves the polls of workers. It batches them, so that one message carries many to the leader.
package poller

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

	"flamingodrift.example/core/bodylimiter"
	"flamingodrift.example/core/wire"
)

const (
	maxBodyBytes = 256 << 10
	// objectMemory is what a task of a poll takes when it is decoded, with the growth of the list and as a message.
	objectMemory = 512
	maxNameBytes = 128
	// maxDetailBytes bounds the detail that a worker reports about a task.
	maxDetailBytes  = 256
	maxPendingPolls = 2_048
)

// Leader calls the leading controld process.
type Leader interface {
	Call(ctx context.Context, request *wire.Request) (*wire.Reply, error)
}

// Config configures a Poller.
type Config struct {
	Leader Leader
	Entry  string
	// BatchWindow is how long polls are collected before a batch is sent.
	BatchWindow time.Duration
	// Timeout bounds how long a worker waits for the answer to a poll.
	Timeout time.Duration
}

// Poller batches polls and remembers which reports the leader has. It is safe for concurrent use.
type Poller struct {
	cfg Config

	mu            sync.Mutex
	reports       []*wire.WorkerReport
	replies       []chan *wire.WorkerOrder
	registrations map[string]*registration
}

// New returns a Poller.
func New(cfg Config) *Poller { return &Poller{cfg: cfg, registrations: map[string]*registration{}} }

// resources is the JSON form of an amount of each resource.
type resources struct {
	Processors   float64 `json:"processors"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int64   `json:"accelerators"`
}

func (r resources) toWire() *wire.Resources {
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

// answer is the body of the answer to a poll.
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

// toWire checks the poll and returns it as a report to the leader.
func (p *poll) toWire() (*wire.WorkerReport, error) {
	for _, name := range []string{p.Worker, p.Boot, p.Rack, p.FailureDomain} {
		if name == "" || len(name) > maxNameBytes {
			return nil, fmt.Errorf("worker, boot, rack and failure_domain must have 1 to %d bytes", maxNameBytes)
		}
	}
	if p.Capacity.Processors < 0 || p.Capacity.MemoryMB < 0 || p.Capacity.Accelerators < 0 {
		return nil, errors.New("capacity must not be negative")
	}
	report := &wire.WorkerReport{
		Worker: p.Worker, Boot: p.Boot, Poll: p.Poll, Session: p.Session, Capacity: p.Capacity.toWire(),
		Rack: p.Rack, FailureDomain: p.FailureDomain,
	}
	for _, t := range p.Tasks {
		phase, ok := phases[t.Phase]
		if !ok {
			return nil, fmt.Errorf("phase %q is not allowed; allowed: running, succeeded, failed, stopped", t.Phase)
		}
		report.Tasks = append(report.Tasks, &wire.TaskStatus{
			Task: t.Task, Attempt: t.Attempt, Phase: phase, Detail: truncateDetail(t.Detail), Usage: t.Usage.toWire(),
			Checkpointed: t.Checkpointed,
		})
	}
	return report, nil
}

// truncateDetail bounds the detail of a task, because the leader replicates and stores it.
func truncateDetail(detail string) string {
	if len(detail) <= maxDetailBytes {
		return detail
	}
	return strings.ToValidUTF8(detail[:maxDetailBytes], "")
}

func toAnswer(o *wire.WorkerOrder) *answer {
	a := &answer{
		Poll: o.GetPoll(), LeaseMs: o.GetLeaseMs(), Session: o.GetSession(), Refused: o.GetRefused(), Orders: []order{},
	}
	for _, item := range o.GetOrders() {
		r := item.GetResources()
		a.Orders = append(a.Orders, order{
			Kind: orderKinds[item.GetKind()], Task: item.GetTask(), Attempt: item.GetAttempt(),
			Resources: resources{
				Processors: float64(r.GetCpuMilli()) / 1000, MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators(),
			},
			Command: item.GetCommand(), Service: item.GetService(),
		})
	}
	return a
}

// ServeHTTP accepts a worker's poll and answers with the leader's orders.
func (p *Poller) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	data, err := bodylimiter.ReadAll(w, request, maxBodyBytes)
	if status := bodylimiter.Status(w, err); status != 0 {
		http.Error(w, err.Error(), status)
		return
	}
	if !bodylimiter.Reserve(w, objectMemory*int64(bytes.Count(data, []byte("{")))) {
		http.Error(w, bodylimiter.ErrNoBudget.Error(), bodylimiter.Status(w, bodylimiter.ErrNoBudget))
		return
	}
	body := &poll{}
	if err == nil {
		err = json.NewDecoder(bytes.NewReader(data)).Decode(body)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	report, err := body.toWire()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := p.enqueue(report)
	if reply == nil {
		http.Error(w, "too many polls are waiting", http.StatusTooManyRequests)
		return
	}
	timer := time.NewTimer(p.cfg.Timeout)
	defer timer.Stop()
	select {
	case o := <-reply:
		if o == nil {
			http.Error(w, "no leader can be reached", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the worker has disconnected; its next poll states what it received.
		_ = json.NewEncoder(w).Encode(toAnswer(o))
	case <-timer.C:
		http.Error(w, "no leader answered in time", http.StatusServiceUnavailable)
	case <-request.Context().Done():
	}
}

// enqueue adds a report to the open batch and returns the channel for its answer, or nil if too many polls are pending.
// The first report of a batch starts its timer.
func (p *Poller) enqueue(report *wire.WorkerReport) chan *wire.WorkerOrder {
	reply := make(chan *wire.WorkerOrder, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.replies) >= maxPendingPolls {
		return nil
	}
	p.reports = append(p.reports, report)
	p.replies = append(p.replies, reply)
	if len(p.reports) == 1 {
		time.AfterFunc(p.cfg.BatchWindow, p.flush)
	}
	return reply
}

// flush sends the open batch.
func (p *Poller) flush() {
	p.mu.Lock()
	reports, replies := p.reports, p.replies
	p.reports, p.replies = nil, nil
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.Timeout)
	defer cancel()
	b := p.newBatch(reports, replies)
	b.send(ctx)
}
