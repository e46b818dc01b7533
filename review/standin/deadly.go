package main

import (
	"fmt"
	"time"
)

func init() { scenarios["deadly"] = deadly }

// deadly: a task crashes each runner that starts it, some seconds after its start.
func deadly(s *scenario) error {
	if err := s.boot(8, amounts{CPU: 32000, MemMB: 131072}, route{"r-one", "/one/", 0, 3000}); err != nil {
		return err
	}
	id := newID()
	task := id + ".0.0.0"
	crashes, startsAfter, seen := 0, 0, 0
	if got := s.clients.submit("/one/", id, jobBody(9000, step{Count: 1, CPU: 4000, MemMB: 1000, EstMs: 9000})); !accepted(got) {
		return fmt.Errorf("%w: the job is answered with %v", errSetup, got)
	}
	for began := time.Now(); s.trouble && time.Since(began) < 85*time.Second; time.Sleep(20 * time.Millisecond) {
		var victim *runner
		s.fleet.mu.Lock()
		if starts := s.fleet.starts[task]; starts > seen {
			seen = starts
			if crashes >= 3 {
				startsAfter++
			}
		}
		for _, r := range s.fleet.runners {
			if x := r.runs[task]; x != nil && time.Since(x.began) > deadlyAfter {
				victim = r
			}
		}
		s.fleet.mu.Unlock()
		if startsAfter >= 3 {
			s.rec.broken("BUDGET", "task %s is started for the third time after %d runners have crashed under it", task, crashes)
			return nil
		}
		if victim != nil {
			crashes++
			victim.crash(3 * time.Second)
		}
	}
	s.rec.logf("client", "job %s is %s after %d crashes", id, s.clients.state("/one/", id), crashes)
	return nil
}

const deadlyAfter = 4 * time.Second
