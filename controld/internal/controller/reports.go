package controller

import (
	"fmt"
	"time"

	"flamingodrift.example/controld/internal/job"
	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/controld/internal/worker"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// checkpointTimeout is how long a stop waits for a checkpoint. With rounds each 100 ms and the polls for the checkpoint,
// the stop and the start it leaves room for an urgent start within 3.1 s.
const checkpointTimeout = time.Second

// maxCheckpointMarks is the number of marks from which those of ended attempts are looked for.
const maxCheckpointMarks = 1_000

// handleReports renews worker leases, notes what changed, and hands out orders for committed decisions.
func (c *Controller) handleReports(e reportsEvent, now time.Duration) {
	reply := &wire.WorkerOrders{}
	for _, report := range c.reg.Expand(e.reports, reply, now) {
		reply.Workers = append(reply.Workers, c.handleReport(report, now))
	}
	c.reg.Compact(e.reports, reply)
	e.reply(&wire.Reply{Body: &wire.Reply_WorkerOrders{WorkerOrders: reply}})
}

func (c *Controller) handleReport(report *wire.WorkerReport, now time.Duration) *wire.WorkerOrder {
	order := &wire.WorkerOrder{Worker: report.GetWorker(), Poll: report.GetPoll()}
	w := c.cell.Worker(report.GetWorker())
	if w != nil && w.Lost() && w.Boot() == report.GetBoot() {
		order.Refused = reason.LeaseEnded.String()
		c.countRefusal(reason.LeaseEnded)
		return order
	}
	result := c.reg.Poll(report, now)
	if result.Refused {
		logger.PollRefused.Log(c.cfg.Logger, "worker", report.GetWorker(), "poll", report.GetPoll())
		c.countRefusal(reason.StalePoll)
		order.Refused = reason.StalePoll.String()
		return order
	}
	order.LeaseMs = uint32(c.reg.WorkerLease().Milliseconds())
	order.Session = c.reg.Session()
	if !registered(w, report) {
		c.note(&wire.WorkerEvent{Worker: report.GetWorker(), Body: &wire.WorkerEvent_Seen{Seen: &wire.WorkerSeen{
			Boot: report.GetBoot(), Capacity: report.GetCapacity(), Rack: report.GetRack(),
			FailureDomain: report.GetFailureDomain(),
		}}})
		return order
	}
	order.Orders = c.ordersFor(w, report, result.Confirmed, now)
	return order
}

func registered(w *worker.Worker, report *wire.WorkerReport) bool {
	return w != nil && !w.Lost() && w.Boot() == report.GetBoot() && w.Rack() == report.GetRack() &&
		w.FailureDomain() == report.GetFailureDomain() && w.Capacity() == resource.New(report.GetCapacity())
}

// note queues a worker event for the log, unless the same one is on its way.
func (c *Controller) note(event *wire.WorkerEvent) {
	mark := eventMark(event)
	if c.pending[mark] {
		return
	}
	c.pending[mark] = true
	c.workerBatch = append(c.workerBatch, event)
}

func eventMark(event *wire.WorkerEvent) string {
	switch body := event.GetBody().(type) {
	case *wire.WorkerEvent_Seen:
		return "seen " + event.GetWorker() + " " + body.Seen.GetBoot()
	case *wire.WorkerEvent_Task:
		return fmt.Sprintf("task %s %d %d", body.Task.GetTask(), body.Task.GetAttempt(), body.Task.GetPhase())
	default:
		return "lost " + event.GetWorker()
	}
}

// ordersFor compares what the worker holds with what the cell has placed there.
func (c *Controller) ordersFor(w *worker.Worker, report *wire.WorkerReport, confirmed bool, now time.Duration) []*wire.Order {
	var orders []*wire.Order
	listed := make(map[string]bool, len(report.GetTasks()))
	for _, status := range report.GetTasks() {
		listed[status.GetTask()] = true
		if order := c.orderForListed(w, status, now); order != nil {
			orders = append(orders, order)
		}
	}
	for id, attempt := range w.Tasks() {
		if listed[id] {
			continue
		}
		t := c.cell.Task(id)
		switch {
		case !t.Stopping() && t.State() == wire.TaskState_TASK_STATE_PLACED:
			orders = append(orders, startOrder(t))
		case confirmed:
			// The worker received an answer of this leader and still does not hold the task, so it never will.
			c.noteEnd(w, id, attempt, wire.TaskPhase_TASK_PHASE_STOPPED, "the worker does not hold the task")
		}
	}
	return orders
}

func (c *Controller) noteEnd(w *worker.Worker, task string, attempt uint64, phase wire.TaskPhase, detail string) {
	c.note(&wire.WorkerEvent{Worker: w.Name(), Body: &wire.WorkerEvent_Task{Task: &wire.TaskStatus{
		Task: task, Attempt: attempt, Phase: phase, Detail: detail,
	}}})
}

func (c *Controller) orderForListed(w *worker.Worker, status *wire.TaskStatus, now time.Duration) *wire.Order {
	current, held := w.Tasks()[status.GetTask()]
	ended := status.GetPhase() != wire.TaskPhase_TASK_PHASE_RUNNING
	if !held || current != status.GetAttempt() {
		kind := wire.OrderKind_ORDER_KIND_STOP
		if ended {
			kind = wire.OrderKind_ORDER_KIND_FORGET
		}
		return &wire.Order{Kind: kind, Task: status.GetTask(), Attempt: status.GetAttempt()}
	}
	t := c.cell.Task(status.GetTask())
	switch {
	case ended:
		delete(c.checkpoints, status.GetAttempt())
		c.noteEnd(w, status.GetTask(), status.GetAttempt(), status.GetPhase(), status.GetDetail())
	case t.Stopping():
		return c.stopOrder(t, status, now)
	case t.State() == wire.TaskState_TASK_STATE_PLACED:
		c.note(&wire.WorkerEvent{Worker: w.Name(), Body: &wire.WorkerEvent_Task{Task: &wire.TaskStatus{
			Task: t.ID(), Attempt: t.Attempt(), Phase: wire.TaskPhase_TASK_PHASE_RUNNING,
		}}})
	}
	return c.usageOrder(t, status, now)
}

// stopOrder asks for a checkpoint first where the decision says so, and for the stop once the checkpoint is reported or
// its time is over.
func (c *Controller) stopOrder(t *job.Task, status *wire.TaskStatus, now time.Duration) *wire.Order {
	order := &wire.Order{Kind: wire.OrderKind_ORDER_KIND_STOP, Task: t.ID(), Attempt: t.Attempt()}
	if !t.CheckpointFirst() || status.GetCheckpointed() {
		delete(c.checkpoints, t.Attempt())
		return order
	}
	asked, known := c.checkpoints[t.Attempt()]
	if !known {
		asked = now
		c.forgetCheckpoints(now)
		c.checkpoints[t.Attempt()] = now
	}
	if now-asked < checkpointTimeout {
		order.Kind = wire.OrderKind_ORDER_KIND_CHECKPOINT
	}
	return order
}

// forgetCheckpoints drops the marks of attempts that ended with their worker, which nobody reports.
func (c *Controller) forgetCheckpoints(now time.Duration) {
	if len(c.checkpoints) < maxCheckpointMarks {
		return
	}
	for attempt, asked := range c.checkpoints {
		if now-asked > time.Minute {
			delete(c.checkpoints, attempt)
		}
	}
}

// usageOrder passes reported usage on to the planner and throttles an attempt that takes more memory than it was placed
// with.
func (c *Controller) usageOrder(t *job.Task, status *wire.TaskStatus, now time.Duration) *wire.Order {
	if status.GetUsage() == nil {
		return nil
	}
	c.plan.Observe(c.cell, t.ID(), t.Attempt(), resource.New(status.GetUsage()), now)
	if !c.plan.Throttled(t.ID(), t.Attempt()) {
		return nil
	}
	return &wire.Order{
		Kind: wire.OrderKind_ORDER_KIND_THROTTLE, Task: t.ID(), Attempt: t.Attempt(), Resources: t.Placed().Message(),
	}
}

func startOrder(t *job.Task) *wire.Order {
	order := &wire.Order{
		Kind: wire.OrderKind_ORDER_KIND_START, Task: t.ID(), Attempt: t.Attempt(),
		Resources: t.Placed().Message(), Command: t.Job().Spec().GetCommand(),
	}
	if t.Job().Spec().GetKind() == wire.JobKind_JOB_KIND_SERVICE {
		order.Service = t.Job().Spec().GetKey()
	}
	return order
}
