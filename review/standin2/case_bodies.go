package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["bodies"] = playBodies }

const (
	// legalBytes is max_body_bytes of the configuration.
	legalBytes = 262144
	// answerTime is how long an accepted job is asked for. The clients wait 3 s for an answer.
	answerTime = 10 * time.Second
)

// largeBody returns a job whose body is just below the largest legal size: 64 steps of 60 small tasks, one after the
// other.
func largeBody() []byte {
	var steps []string
	for n := range 64 {
		after := ""
		if n > 0 {
			after = fmt.Sprintf(`,"depends_on":[%d]`, n-1)
		}
		steps = append(steps, fmt.Sprintf(`{"count":60,"cpu":1,"mem_mb":1,"est_runtime_ms":1,"data_rack":"%s"%s}`,
			strings.Repeat("r", 3900), after))
	}
	return []byte(`{"spec":"ms=1000","steps":[` + strings.Join(steps, ",") + `]}`)
}

// playBodies: a client that is not controlled sends many large bodies of legal size, whole.
func playBodies(c *cell, trouble bool) (verdict, error) {
	const (
		bodies = 900
		atOnce = 16
		// sendTime ends the traffic on a slow machine.
		sendTime = 65 * time.Second
	)
	c.limitMemory = true
	if err := c.start(5, 1); err != nil {
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
	var accepted []string
	for n := range 20 {
		id := fmt.Sprintf("1%015x", n)
		if status := c.submit(confirm, id, ordinary); status == http.StatusOK {
			c.rec.keep(id, "ordinary client: the job is accepted")
			accepted = append(accepted, id)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if len(accepted) < 20 {
		return couldNot, fmt.Errorf("only %d ordinary jobs were accepted", len(accepted))
	}
	c.rec.line("ordinary client: %d jobs were accepted", len(accepted))
	if trouble {
		body := largeBody()
		if len(body) > legalBytes {
			return couldNot, fmt.Errorf("the body has %d bytes", len(body))
		}
		c.rec.line("the client that is not controlled sends %d whole bodies of %d bytes, %d at a time", bodies, len(body), atOnce)
		began := time.Now()
		var next, taken, refused atomic.Int64
		var wait sync.WaitGroup
		for range atOnce {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for n := next.Add(1); n <= bodies && time.Since(began) < sendTime; n = next.Add(1) {
					status, _, _ := c.call(http.MethodPost, c.fronts()[0], confirm, fmt.Sprintf("e%015x", n), body)
					if status == http.StatusOK {
						taken.Add(1)
					} else {
						refused.Add(1)
					}
				}
			}()
		}
		wait.Wait()
		c.rec.line("it has got 200 %d times, and another answer or none %d times; end of the traffic", taken.Load(), refused.Load())
	}
	time.Sleep(finishTime)
	var unanswered atomic.Int64
	var wait sync.WaitGroup
	for _, id := range accepted {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for began := time.Now(); ; time.Sleep(200 * time.Millisecond) {
				state, status := c.state(confirm, id, 1)
				if state != "" {
					c.rec.line("ordinary client: job %s is %s", id, state)
					return
				}
				if time.Since(began) > answerTime {
					c.rec.line("ordinary client: job %s has got no state for %v, at last %d", id, answerTime, status)
					c.rec.tell(id)
					unanswered.Add(1)
					return
				}
			}
		}()
	}
	wait.Wait()
	ended := 0
	for _, p := range c.procs {
		p.mu.Lock()
		c.rec.line("%s ended %d times by itself, %d times for memory; at most %d of %d MB were seen",
			p.name, p.ends, p.overMemory, p.peakMB, p.memoryMB)
		if p.role == "control" && p.ends >= 3 {
			ended++
		}
		p.mu.Unlock()
	}
	c.rec.line("%d of %d accepted jobs get no answer; %d of 5 processes of the core ended three times or more",
		unanswered.Load(), len(accepted), ended)
	// Three is more than half of the five.
	if unanswered.Load() > 0 || ended >= 3 {
		return broken, nil
	}
	return held, nil
}
