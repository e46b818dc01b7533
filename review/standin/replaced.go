package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { scenarios["replaced"] = replaced }

const (
	catchUp     = 4 * time.Second
	recoverTime = 12 * time.Second
	finishTime  = 14 * time.Second
)

// wipe takes a machine's power and its disk.
func (c *cell) wipe(p *process) error {
	c.kill(p)
	c.rec.logf("platform", "the disk of %s is lost", p.name)
	return os.RemoveAll(filepath.Join(c.folder, p.name))
}

// replaced: a machine of the core is replaced as planned. Once its successor has had its time to catch up, two other
// machines lose their disks.
func replaced(s *scenario) error {
	room := amounts{CPU: 32000, MemMB: 131072}
	if err := s.boot(4, room, route{"r-one", "/one/", 0, 3000}); err != nil {
		return err
	}
	var jobs []string
	for range 20 {
		id := newID()
		if accepted(s.clients.submit("/one/", id, jobBody(500, step{Count: 1, CPU: 1000, MemMB: 100, EstMs: 500}))) {
			jobs = append(jobs, id)
		}
	}
	if len(jobs) < 20 {
		return fmt.Errorf("%w: only %d of 20 jobs are accepted", errSetup, len(jobs))
	}
	if s.trouble {
		old := s.cell.core[4]
		successor := &process{name: "core-6", role: "control", ip: s.cell.ip(16)}
		if err := s.cell.start(successor, false); err != nil {
			return err
		}
		s.cell.core = append(s.cell.core, successor)
		time.Sleep(catchUp + 2*time.Second)
		s.cell.signal(old, syscall.SIGTERM)
		select {
		case <-old.exited:
		case <-time.After(6 * time.Second):
			s.cell.kill(old)
		}
		s.rec.logf("platform", "%s is removed for good", old.name)
		if err := os.RemoveAll(filepath.Join(s.cell.folder, old.name)); err != nil {
			return err
		}
		// The successor has run for longer than catch_up_s both since its start and since the end of the other one.
		time.Sleep(catchUp + 1500*time.Millisecond)
		if err := s.ops.configure(configBody(2, s.fleet.service, route{"r-one", "/one/", 0, 2900}), 4*time.Second); err != nil {
			return fmt.Errorf("%w: %w", errSetup, err)
		}
		for _, p := range s.cell.core[:2] {
			if err := s.cell.wipe(p); err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
		for _, p := range s.cell.core[:2] {
			if err := s.cell.start(p, false); err != nil {
				return err
			}
		}
	}
	// The machines are back.
	time.Sleep(recoverTime)
	served, asked := 0, 0
	for began := time.Now(); time.Since(began) < finishTime; time.Sleep(250 * time.Millisecond) {
		asked++
		if accepted(s.clients.submit("/one/", newID(), jobBody(500, step{Count: 1, CPU: 1000, MemMB: 100, EstMs: 500}))) {
			served++
		}
	}
	if 4*served < asked {
		s.rec.broken("RECOVER", "%d of %d jobs handed in later than 12 s after the machines are back are accepted", served, asked)
	}
	known := map[string]bool{}
	for range 4 {
		for _, id := range jobs {
			if state := s.clients.state("/one/", id); state == "completed" || state == "running" || state == "queued" {
				known[id] = true
			}
		}
	}
	if len(known) < len(jobs) {
		s.rec.broken("LOST", "%d of %d accepted jobs aren't known or get no answer, 26 s after the machines are back",
			len(jobs)-len(known), len(jobs))
	}
	status := 0
	for _, to := range s.cell.controls() {
		if got, _ := send(s.ops.client, "GET", "http://"+to+"/-/config", "", nil); got == 200 {
			status = got
		}
	}
	if status != 200 {
		s.rec.broken("LOST", "no daemon returns the configuration that was acknowledged")
	}
	return nil
}
