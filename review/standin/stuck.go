package main

import (
	"fmt"
	"strings"
	"time"
)

func init() {
	scenarios["avoided"] = avoided
	scenarios["unproven"] = unproven
	scenarios["whole-runner"] = wholeRunner
}

// idleCheck checks the rule LOST for a job at the end of the traffic: from finishTime after it on, the job must not
// have nothing running for three seconds while there is room for it twice over and most of the room is free.
func (s *scenario) idleCheck(id string, eligible func(*runner) bool, need int64) {
	time.Sleep(finishTime)
	idleSince := time.Time{}
	for began := time.Now(); time.Since(began) < 12*time.Second; time.Sleep(50 * time.Millisecond) {
		state := s.clients.state("/one/", id)
		s.fleet.mu.Lock()
		running, free, used, capacity := false, int64(0), int64(0), int64(0)
		for _, r := range s.fleet.runners {
			for task := range r.runs {
				running = running || strings.HasPrefix(task, id)
			}
			used, capacity = used+r.used(), capacity+r.room.CPU
			if eligible(r) && r.up && r.state == "ready" {
				free += r.room.CPU - r.used()
			}
		}
		s.fleet.mu.Unlock()
		if state != "queued" && state != "running" || running || free < 2*need || 2*used >= capacity {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if time.Since(idleSince) > 10*time.Second {
			s.rec.broken("LOST", "job %s is %s and has had nothing running for 10 s, 24 s after the end of the traffic; %d of %d in use",
				id, state, used, capacity)
			return
		}
	}
}

// avoided: a task fails twice, with four attempts, on the two runners that have the label that it requires.
func avoided(s *scenario) error {
	s.labels = func(i int) []string { return []string{[]string{"a", "b"}[i%2], "r1-1"} }
	if err := s.boot(4, amounts{CPU: 32000, MemMB: 131072}, route{"r-one", "/one/", 0, 3000}); err != nil {
		return err
	}
	fails := 0
	if s.trouble {
		fails = 2
	}
	id := newID()
	body := failingJobBody(500, fails, step{Count: 1, CPU: 4000, MemMB: 1000, EstMs: 500, Needs: "b"})
	if got := s.clients.submit("/one/", id, body); !accepted(got) {
		return fmt.Errorf("%w: the job is answered with %v", errSetup, got)
	}
	s.idleCheck(id, func(r *runner) bool { return r.labels[0] == "b" }, 4000)
	if state := s.clients.state("/one/", id); state != "completed" {
		s.rec.logf("client", "job %s is %s at the end", id, state)
	}
	return nil
}

// unproven: jobs that can never be done fail on all runners; a gang that comes after them never starts.
func unproven(s *scenario) error {
	if err := s.boot(4, amounts{CPU: 32000, MemMB: 131072}, route{"r-one", "/one/", 0, 3000}); err != nil {
		return err
	}
	for range 114 {
		s.clients.submit("/one/", newID(), jobBody(100, step{Count: 1, CPU: 1000, MemMB: 100, EstMs: 100}))
	}
	time.Sleep(time.Second)
	if s.trouble {
		for range 6 {
			s.clients.submit("/one/", newID(), failingJobBody(100, 100, step{Count: 4, CPU: 1000, MemMB: 100, EstMs: 100}))
		}
		time.Sleep(10 * time.Second)
	}
	id := newID()
	got := s.clients.submit("/one/", id, jobBody(500, step{Count: 4, CPU: 4000, MemMB: 1000, EstMs: 500, Gang: true}))
	if !accepted(got) {
		return fmt.Errorf("%w: the job is answered with %v", errSetup, got)
	}
	s.idleCheck(id, func(*runner) bool { return true }, 16000)
	s.rec.logf("client", "job %s is %s at the end", id, s.clients.state("/one/", id))
	return nil
}

// wholeRunner: a task needs 30 of the 32 cores of a runner, in a queue that isn't the most urgent one.
func wholeRunner(s *scenario) error {
	if err := s.boot(8, amounts{CPU: 32000, MemMB: 131072}, route{"r-one", "/one/", 1, 3000}); err != nil {
		return err
	}
	cpu := int64(28000)
	if s.trouble {
		cpu = 30000
	}
	id := newID()
	body := jobBody(2000, step{Count: 1, CPU: cpu, MemMB: 1000, EstMs: 2000})
	if got := s.clients.submit("/one/", id, body); !accepted(got) {
		return fmt.Errorf("%w: the job is answered with %v", errSetup, got)
	}
	s.idleCheck(id, func(*runner) bool { return true }, cpu)
	s.rec.logf("client", "job %s is %s at the end", id, s.clients.state("/one/", id))
	return nil
}
