package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["gang-crashes"] = gangCrashes }

// crash ends a runner without notice; a new life begins at its address after some time.
func (r *runner) crash(after time.Duration) {
	r.halt("the runner crashes")
	time.AfterFunc(after, func() {
		if err := r.boot(); err == nil {
			r.fleet.rec.logf(r.id, "is back")
		}
	})
}

// gangCrashes: runners crash one after another; each time the gang has a member there, another one.
func gangCrashes(s *scenario) error {
	const members = 6
	if err := s.boot(8, amounts{CPU: 32000, MemMB: 131072}, route{"r-one", "/one/", 1, 3000}); err != nil {
		return err
	}
	id := newID()
	body := jobBody(8000, step{Count: members, CPU: 18000, MemMB: 1000, EstMs: 8000, Gang: true})
	if got := s.clients.submit("/one/", id, body); !accepted(got) {
		return fmt.Errorf("%w: the job is answered with %v", errSetup, got)
	}
	hit := map[string]bool{}
	for number := 1; s.trouble && number <= 5; number++ {
		var victim *runner
		task := ""
		if err := s.waitFor(12*time.Second, "the gang doesn't run", func() bool {
			present := 0
			victim = nil
			for _, r := range s.fleet.runners {
				for name := range r.runs {
					if strings.HasPrefix(name, id) {
						present++
						if victim == nil && !hit[name] {
							victim, task = r, name
						}
					}
				}
			}
			return present == members && victim != nil
		}); err != nil {
			break
		}
		time.Sleep(crashDelay)
		hit[task] = true
		s.rec.logf("platform", "crashes %s, which has %s", victim.id, task)
		victim.crash(4500 * time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		if state := s.clients.state("/one/", id); state == "failed" {
			break
		}
	}
	for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(500 * time.Millisecond) {
		state := s.clients.state("/one/", id)
		s.rec.logf("client", "job %s is %s", id, state)
		if state == "completed" {
			return nil
		}
		if state == "failed" {
			s.rec.broken("LOST", "job %s is shown as failed; no run of it has ended failed, and no task has lost two runners", id)
			return nil
		}
	}
	return nil
}

var crashDelay = time.Second
