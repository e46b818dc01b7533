package controller

import (
	"slices"
	"time"

	"flamingodrift.example/controld/internal/worker"
)

const (
	// startWindow is how long a worker must have polled with a task for its crash to be no sign against the task.
	startWindow = time.Second
	// maxReported is the number of entries of reportedAt from which those of tasks that have survived are removed.
	maxReported = 1_000
)

// recordReported records that a worker has reported an attempt as running.
func (c *Controller) recordReported(attempt uint64, now time.Duration) {
	if _, known := c.reportedAt[attempt]; known {
		return
	}
	if len(c.reportedAt) >= maxReported {
		for other, at := range c.reportedAt {
			if now-at > time.Minute {
				delete(c.reportedAt, other)
			}
		}
	}
	c.reportedAt[attempt] = now
}

// suspects returns the tasks that may have crashed a worker that polls as another boot: those that its last poll, at
// lastPollAt, did not show to have survived their start. A running task that this leader did not see start is not among
// them.
func (c *Controller) suspects(w *worker.Worker, boot string, lastPollAt time.Duration) []string {
	if w == nil || w.Lost() || w.Boot() == boot {
		return nil
	}
	var suspects []string
	for id, attempt := range w.Tasks() {
		reported, known := c.reportedAt[attempt]
		if t := c.cell.Task(id); t.Starting() || known && lastPollAt-reported < startWindow {
			suspects = append(suspects, id)
		}
	}
	slices.Sort(suspects)
	return suspects
}
