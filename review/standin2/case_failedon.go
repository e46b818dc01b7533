package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["failedon"] = playFailedOn }

// playFailedOn: one runner of the kind that a job requires fails all that it starts for some seconds, and is sound again.
func playFailedOn(c *cell, trouble bool) (verdict, error) {
	const (
		runners = 12
		greyFor = 5 * time.Second
	)
	if err := c.start(5, 2); err != nil {
		return couldNot, err
	}
	if err := c.awaitReady(); err != nil {
		return couldNot, err
	}
	var only *runner
	for n := range runners {
		kind := "a"
		if n == 0 {
			kind = "b"
		}
		r, err := c.addRunner(50+n, "chairbook", 32000, 131072, kind, fmt.Sprintf("r1-%d", n/8))
		if err != nil {
			return couldNot, err
		}
		if n == 0 {
			only = r
		}
	}
	recon := queue{
		name: "r-recon", host: "recon.example", prefix: "/recon/", service: "chairbook", priority: 2, attempts: 4,
		stretch: 4, allowanceMs: 3000,
	}
	if err := c.configure(1, []string{"chairbook"}, recon); err != nil {
		return couldNot, err
	}
	if err := c.awaitPlaced(recon, "00000000000000aa"); err != nil {
		return couldNot, err
	}
	if trouble {
		c.rec.line("runner %s, the only one of kind b, begins to fail all that it starts", only.id)
		only.mu.Lock()
		only.grey = true
		only.mu.Unlock()
	}
	body := []byte(`{"spec":"ms=600 cpu=2000","steps":[{"count":1,"cpu":2000,"mem_mb":7200,"est_runtime_ms":600,"requirements":"b"}]}`)
	var jobs []string
	for n := range 3 {
		id := fmt.Sprintf("1%015x", n)
		if status := c.submit(recon, id, body); status == http.StatusOK {
			jobs = append(jobs, id)
		}
	}
	c.rec.line("client: %d jobs that require kind b were accepted; the queue allows 4 attempts", len(jobs))
	time.Sleep(greyFor)
	only.mu.Lock()
	only.grey = false
	only.mu.Unlock()
	c.rec.line("runner %s is sound", only.id)
	time.Sleep(500 * time.Millisecond)
	last := "2000000000000000"
	if status := c.submit(recon, last, body); status == http.StatusOK {
		jobs = append(jobs, last)
	}
	c.rec.line("client: one more such job was accepted; end of the traffic")
	return c.judgeStuck(recon, jobs)
}
