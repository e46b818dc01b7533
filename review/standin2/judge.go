package main

import (
	"strings"
	"time"
)

const (
	// finishTime is finish_s of the deployment: how long after the end of the traffic the jobs are asked for.
	finishTime = 14 * time.Second
	// idleTime is how long nothing of a job may run while its turn has come and there is room for it.
	idleTime = 3 * time.Second
)

// judgeStuck asks for accepted jobs finish_s after the end of the traffic, and watches for 3 s whether anything of those
// that have not ended runs.
func (c *cell) judgeStuck(q queue, jobs []string) (verdict, error) {
	time.Sleep(finishTime)
	open := map[string]string{}
	for _, id := range jobs {
		state, status := c.state(q, id, 20)
		if state != "completed" {
			c.rec.line("client: job %s is %d %s", id, status, state)
			c.rec.tell(id)
		}
		if state == "queued" || state == "running" {
			open[id] = state
		}
	}
	c.rec.line("client: %v after the end of the traffic %d of %d accepted jobs are queued or running", finishTime, len(open), len(jobs))
	stuck := c.stuck(open, idleTime)
	for id := range stuck {
		if state, _ := c.state(q, id, 20); state != "queued" && state != "running" {
			delete(stuck, id)
		}
	}
	running, used, room := 0, 0, 0
	for _, r := range c.runners {
		r.mu.Lock()
		if !r.dead {
			running += len(r.running)
			room += r.capacity["cpu"]
			for _, w := range r.running {
				used += w.cpu
			}
		}
		r.mu.Unlock()
	}
	c.rec.line("for %v nothing of %d accepted jobs has run; %d tasks are at work on all runners, on %d of %d thousandths of a core",
		idleTime, len(stuck), running, used, room)
	if len(stuck) > 0 && 2*used < room {
		return broken, nil
	}
	return held, nil
}

// stuck returns the jobs of which nothing runs for some time.
func (c *cell) stuck(jobs map[string]string, length time.Duration) map[string]bool {
	stuck := map[string]bool{}
	for id := range jobs {
		stuck[id] = true
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, r := range c.runners {
			r.mu.Lock()
			for task := range r.running {
				delete(stuck, strings.SplitN(task, ".", 2)[0])
			}
			r.mu.Unlock()
		}
	}
	return stuck
}
