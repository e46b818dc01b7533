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

// checkpointTimeout is how long a stop waits for a checkpoint. Together with planning rounds every 100 ms and one poll
// each for the checkpoint, the stop and the start, it allows an urgent task to start within 3.1 s.
const checkpointTimeout = time.Second

// maxCheckpointRequests is the number of recorded checkpoint requests from which stale ones are removed.
const maxCheckpointRequests = 1_000

// handleReports renews worker leases, records changes as worker events, and answers with orders for committed
// decisions.
func (c *Controller) handleReports(e reportsEvent, now time.Duration) {
	reply := &wire.WorkerOrders{}
	for _, report := range c.lessor.Expand(e.reports, reply, now) {
		reply.Workers = append(reply.Workers, c.handleReport(report, now))
	}
	c.lessor.Compact(e.reports, reply)
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
	silent, _, _ := c.lessor.WorkerSilence(report.GetWorker(), now)
	result := c.lessor.Poll(report, now)
	if result.Refused {
		logger.PollRefused.Log(c.cfg.Logger, "worker", report.GetWorker(), "poll", report.GetPoll())
		c.countRefusal(reason.StalePoll)
		order.Refused = reason.StalePoll.String()
		return order
	}
	order.LeaseMs = uint32(c.lessor.WorkerLease().Milliseconds())
	order.Session = c.lessor.Session()
	if !matchesRegistration(w, report) {
		c.queueWorkerEvent(&wire.WorkerEvent{Worker: report.GetWorker(), Body: &wire.WorkerEvent_Seen{Seen: &wire.WorkerSeen{
			Boot: report.GetBoot(), Capacity: report.GetCapacity(), Rack: report.GetRack(),
			FailureDomain: report.GetFailureDomain(), Suspects: c.suspects(w, report.GetBoot(), now-silent),
		}}})
		return order
	}
	order.Orders = c.ordersFor(w, report, result.Confirmed, now)
	return order
}

// matchesRegistration reports whether the cell knows the worker as the report describes it.
func matchesRegistration(w *worker.Worker, report *wire.WorkerReport) bool {
	return w != nil && !w.Lost() && w.Boot() == report.GetBoot() && w.Rack() == report.GetRack() &&
		w.FailureDomain() == report.GetFailureDomain() && w.Capacity() == resource.New(report.GetCapacity())
}

// queueWorkerEvent queues a worker event for the log, unless the same one is already in flight.
func (c *Controller) queueWorkerEvent(event *wire.WorkerEvent) {
	key := eventKey(event)
	if c.inFlight[key] {
		return
	}
	c.inFlight[key] = true
	c.workerEvents = append(c.workerEvents, event)
}

// eventKey returns the key of a worker event in inFlight.
func eventKey(event *wire.WorkerEvent) string {
	switch body := event.GetBody().(type) {
	case *wire.WorkerEvent_Seen:
		return "seen " + event.GetWorker() + " " + body.Seen.GetBoot()
	case *wire.WorkerEvent_Task:
		return fmt.Sprintf("task %s %d %d", body.Task.GetTask(), body.Task.GetAttempt(), body.Task.GetPhase())
	default:
		return "lost " + event.GetWorker()
	}
}

// ordersFor compares the tasks that the worker reports with those that the cell has placed on it, and returns the
// orders that make them agree.
func (c *Controller) ordersFor(
	w *worker.Worker, report *wire.WorkerReport, confirmed bool, now time.Duration,
) []*wire.Order {
	var orders []*wire.Order
	reported := make(map[string]bool, len(report.GetTasks()))
	for _, status := range report.GetTasks() {
		reported[status.GetTask()] = true
		if order := c.orderForReportedTask(w, status, now); order != nil {
			orders = append(orders, order)
		}
	}
	for id, attempt := range w.Tasks() {
		if reported[id] {
			continue
		}
		t := c.cell.Task(id)
		switch {
		case !t.Stopping() && t.State() == wire.TaskState_TASK_STATE_PLACED:
			orders = append(orders, startOrder(t))
		case confirmed:
			// The worker received a reply of this leader and still does not report the task, so it will never run it.
			c.recordTaskEnd(w, id, attempt, wire.TaskPhase_TASK_PHASE_STOPPED, "the worker does not hold the task")
		}
	}
	return orders
}

func (c *Controller) recordTaskEnd(w *worker.Worker, task string, attempt uint64, phase wire.TaskPhase, detail string) {
	c.queueWorkerEvent(&wire.WorkerEvent{Worker: w.Name(), Body: &wire.WorkerEvent_Task{Task: &wire.TaskStatus{
		Task: task, Attempt: attempt, Phase: phase, Detail: detail,
	}}})
}

func (c *Controller) orderForReportedTask(w *worker.Worker, status *wire.TaskStatus, now time.Duration) *wire.Order {
	current, placed := w.Tasks()[status.GetTask()]
	ended := status.GetPhase() != wire.TaskPhase_TASK_PHASE_RUNNING
	if !placed || current != status.GetAttempt() {
		kind := wire.OrderKind_ORDER_KIND_STOP
		if ended {
			kind = wire.OrderKind_ORDER_KIND_FORGET
		}
		return &wire.Order{Kind: kind, Task: status.GetTask(), Attempt: status.GetAttempt()}
	}
	t := c.cell.Task(status.GetTask())
	switch {
	case ended:
		delete(c.checkpointRequests, status.GetAttempt())
		c.recordTaskEnd(w, status.GetTask(), status.GetAttempt(), status.GetPhase(), status.GetDetail())
	case t.Stopping():
		return c.stopOrder(t, status, now)
	case t.State() == wire.TaskState_TASK_STATE_PLACED:
		c.recordReported(t.Attempt(), now)
		c.queueWorkerEvent(&wire.WorkerEvent{Worker: w.Name(), Body: &wire.WorkerEvent_Task{Task: &wire.TaskStatus{
			Task: t.ID(), Attempt: t.Attempt(), Phase: wire.TaskPhase_TASK_PHASE_RUNNING,
		}}})
	}
	return c.usageOrder(t, status, now)
}

// stopOrder requests a checkpoint first where the decision says so, and the stop once the checkpoint is reported or
// checkpointTimeout has passed.
func (c *Controller) stopOrder(t *job.Task, status *wire.TaskStatus, now time.Duration) *wire.Order {
	order := &wire.Order{Kind: wire.OrderKind_ORDER_KIND_STOP, Task: t.ID(), Attempt: t.Attempt()}
	if !t.CheckpointFirst() || status.GetCheckpointed() {
		delete(c.checkpointRequests, t.Attempt())
		return order
	}
	requestedAt, known := c.checkpointRequests[t.Attempt()]
	if !known {
		requestedAt = now
		c.dropStaleCheckpointRequests(now)
		c.checkpointRequests[t.Attempt()] = now
	}
	if now-requestedAt < checkpointTimeout {
		order.Kind = wire.OrderKind_ORDER_KIND_CHECKPOINT
	}
	return order
}

// dropStaleCheckpointRequests drops the requests of attempts that were lost with their worker, whose end is never
// reported.
func (c *Controller) dropStaleCheckpointRequests(now time.Duration) {
	if len(c.checkpointRequests) < maxCheckpointRequests {
		return
	}
	for attempt, requestedAt := range c.checkpointRequests {
		if now-requestedAt > time.Minute {
			delete(c.checkpointRequests, attempt)
		}
	}
}

// usageOrder passes reported usage to the planner and throttles an attempt that uses more memory than it was placed
// with.
func (c *Controller) usageOrder(t *job.Task, status *wire.TaskStatus, now time.Duration) *wire.Order {
	if status.GetUsage() == nil {
		return nil
	}
	c.planner.Observe(c.cell, t.ID(), t.Attempt(), resource.New(status.GetUsage()), now)
	if !c.planner.Throttled(t.ID(), t.Attempt()) {
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
