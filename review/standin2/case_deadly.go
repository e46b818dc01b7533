package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["deadly"] = playDeadly }

// playDeadly: a task crashes each runner that starts it, some seconds after its start; the runner is back after some
// seconds.
func playDeadly(c *cell, trouble bool) (verdict, error) {
	const (
		runners    = 12
		perSecond  = 48
		crashAfter = time.Second
		backAfter  = 2 * time.Second
	)
	if err := c.start(5, 2); err != nil {
		return couldNot, err
	}
	if err := c.awaitReady(); err != nil {
		return couldNot, err
	}
	var mu sync.Mutex
	crashes, startsAfter := 0, 0
	var onStart func(r *runner, o runnerOrder)
	onStart = func(r *runner, o runnerOrder) {
		if !strings.Contains(o.Spec, "deadly") {
			return
		}
		mu.Lock()
		if crashes >= 3 {
			startsAfter++
		}
		c.rec.line("runner %s starts the deadly task %s run %d, after %d crashes under it", r.id, o.Task, o.Run, crashes)
		mu.Unlock()
		go func() {
			time.Sleep(crashAfter)
			r.mu.Lock()
			at := r.running[o.Task]
			alive := !r.dead && at != nil && at.run == o.Run
			r.mu.Unlock()
			if !alive {
				return
			}
			mu.Lock()
			crashes++
			c.rec.line("runner %s crashes", r.id)
			mu.Unlock()
			r.stop()
			time.Sleep(backAfter)
			if back, err := c.restartRunner(r); err == nil {
				back.onStart = onStart
				c.rec.line("runner %s is back", r.id)
			}
		}()
	}
	for n := range runners {
		r, err := c.addRunner(50+n, "chairbook", 32000, 131072, string("ab"[n%2]), fmt.Sprintf("r1-%d", n/8))
		if err != nil {
			return couldNot, err
		}
		r.onStart, r.quiet = onStart, true
	}
	confirm := queue{
		name: "r-confirm", host: "confirm.example", prefix: "/confirm/", service: "chairbook", priority: 0, attempts: 3,
		stretch: 1.5, allowanceMs: 250,
	}
	recon := queue{
		name: "r-recon", host: "recon.example", prefix: "/recon/", service: "chairbook", priority: 2, attempts: 4,
		stretch: 4, allowanceMs: 3000,
	}
	if err := c.configure(1, []string{"chairbook"}, confirm, recon); err != nil {
		return couldNot, err
	}
	if err := c.awaitPlaced(recon, "00000000000000aa"); err != nil {
		return couldNot, err
	}
	ordinary := []byte(`{"spec":"ms=640","steps":[{"count":2,"cpu":2800,"mem_mb":8000,"est_runtime_ms":640}]}`)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for n := 0; ; n++ {
			select {
			case <-ended:
				return
			case <-time.After(time.Second / perSecond):
				go c.submit(confirm, fmt.Sprintf("3%015x", n), ordinary)
			}
		}
	}()
	time.Sleep(2 * time.Second)
	spec := "ms=6800"
	if trouble {
		spec = "deadly ms=6800"
	}
	body := []byte(fmt.Sprintf(`{"spec":"%s","steps":[{"count":1,"cpu":2000,"mem_mb":7200,"est_runtime_ms":6800}]}`, spec))
	id := "1000000000000000"
	if status := c.submit(recon, id, body); status != http.StatusOK {
		return couldNot, fmt.Errorf("the job got %d", status)
	}
	began := time.Now()
	for time.Since(began) < 90*time.Second {
		time.Sleep(500 * time.Millisecond)
		mu.Lock()
		over := startsAfter > 3
		mu.Unlock()
		if state, _ := c.state(recon, id, 1); state == "failed" || state == "completed" || over {
			c.rec.line("client: job %s is %s", id, state)
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	c.rec.line("%d runners have crashed under the task; it was started %d times after the third crash", crashes, startsAfter)
	if startsAfter >= 3 {
		return broken, nil
	}
	return held, nil
}
