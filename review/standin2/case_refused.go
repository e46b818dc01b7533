package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["refused"] = playRefused }

// recoveryTime is recovery_s.
const recoveryTime = 12 * time.Second

// traffic is a time of usual traffic.
type traffic struct {
	mu       sync.Mutex
	wait     sync.WaitGroup
	sent     int
	accepted []string
	refused  int
}

// served returns how many of the jobs are completed.
func (t *traffic) served(c *cell, q queue) (count int) {
	for _, id := range t.accepted {
		if state, _ := c.state(q, id, 20); state == "completed" {
			count++
		} else {
			c.rec.line("client: job %s is %s", id, state)
			c.rec.tell(id)
		}
	}
	return count
}

// send sends one job of the traffic.
func (t *traffic) send(c *cell, q queue, id string, body []byte) {
	t.sent++
	t.wait.Add(1)
	go func() {
		defer t.wait.Done()
		status := c.submit(q, id, body)
		t.mu.Lock()
		defer t.mu.Unlock()
		if status == http.StatusOK {
			t.accepted = append(t.accepted, id)
		} else {
			t.refused++
			c.rec.keep("refused", "client: job %s is rejected, at last with %d", id, status)
		}
	}()
}

// playRefused: in one spell of 3 s, one in 20 of the jobs can never be done. Then all processes are killed at once.
func playRefused(c *cell, trouble bool) (verdict, error) {
	const (
		perSecond  = 48
		calm       = 10 * perSecond
		spell      = 3 * perSecond
		hopelessIn = 20
	)
	// ONLY=poison and ONLY=crash play one of the two disruptions alone.
	poison, kill := trouble && os.Getenv("ONLY") != "crash", trouble && os.Getenv("ONLY") != "poison"
	if err := c.start(5, 2); err != nil {
		return couldNot, err
	}
	if err := c.awaitReady(); err != nil {
		return couldNot, err
	}
	for n := range 8 {
		r, err := c.addRunner(50+n, "chairbook", 32000, 131072, string("ab"[n%2]), fmt.Sprintf("r1-%d", n/8))
		if err != nil {
			return couldNot, err
		}
		r.quiet = true
	}
	confirm := queue{
		name: "r-confirm", host: "confirm.example", prefix: "/confirm/", service: "chairbook", priority: 0, attempts: 3,
		stretch: 1.5, allowanceMs: 250,
	}
	if err := c.configure(1, []string{"chairbook"}, confirm); err != nil {
		return couldNot, err
	}
	if err := c.awaitPlaced(confirm, "00000000000000aa"); err != nil {
		return couldNot, err
	}
	ordinary := []byte(`{"spec":"ms=640","steps":[{"count":2,"cpu":2800,"mem_mb":8000,"est_runtime_ms":640}]}`)
	hopeless := []byte(`{"spec":"ms=1600","steps":[{"count":12,"cpu":8400,"mem_mb":24000,"est_runtime_ms":1600,"requirements":"c"}]}`)
	before, during, after, never := &traffic{}, &traffic{}, &traffic{}, &traffic{}
	c.rec.line("clients: %d jobs a second", perSecond)
	for n := range calm + spell {
		switch {
		case n < calm:
			before.send(c, confirm, fmt.Sprintf("1%015x", n), ordinary)
		case poison && n%hopelessIn == 0:
			never.send(c, confirm, fmt.Sprintf("f%015x", n), hopeless)
		default:
			during.send(c, confirm, fmt.Sprintf("2%015x", n), ordinary)
		}
		time.Sleep(time.Second / perSecond)
	}
	never.wait.Wait()
	c.rec.line("clients: %d jobs that can never be done were accepted in 3 s, %d rejected", len(never.accepted), never.refused)
	if kill {
		c.rec.line("all processes are killed")
		for _, p := range c.procs {
			p.signal(syscall.SIGKILL)
		}
	}
	back := time.Now().Add(restartDelay)
	for n := 0; time.Since(back) < recoveryTime+10*time.Second; n++ {
		if time.Since(back) < recoveryTime {
			during.send(c, confirm, fmt.Sprintf("3%015x", n), ordinary)
		} else {
			after.send(c, confirm, fmt.Sprintf("4%015x", n), ordinary)
		}
		time.Sleep(time.Second / perSecond)
	}
	before.wait.Wait()
	during.wait.Wait()
	after.wait.Wait()
	c.rec.line("end of the traffic; before the spell %d of %d ordinary jobs were accepted, in between %d of %d, later than %v after the machines were back %d of %d",
		len(before.accepted), before.sent, len(during.accepted), during.sent, recoveryTime, len(after.accepted), after.sent)
	time.Sleep(finishTime)
	servedBefore, servedAfter := before.served(c, confirm), after.served(c, confirm)
	c.rec.tell("refused")
	running := 0
	for _, r := range c.runners {
		r.mu.Lock()
		running += len(r.running)
		r.mu.Unlock()
	}
	c.rec.line("served: %d of %d before the spell, %d of %d after recovery; %d tasks are at work on all runners",
		servedBefore, before.sent, servedAfter, after.sent, running)
	if 4*servedBefore < before.sent {
		return couldNot, fmt.Errorf("too little was served before")
	}
	if 4*servedAfter < after.sent {
		return broken, nil
	}
	return held, nil
}
