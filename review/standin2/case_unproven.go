package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["unproven"] = playUnproven }

// playUnproven: all runners fail what they start for some seconds and are sound again; gangs wait.
func playUnproven(c *cell, trouble bool) (verdict, error) {
	const (
		runners = 8
		greyFor = 6500 * time.Millisecond
	)
	if err := c.start(5, 2); err != nil {
		return couldNot, err
	}
	if err := c.awaitReady(); err != nil {
		return couldNot, err
	}
	for n := range runners {
		if _, err := c.addRunner(50+n, "chairbook", 32000, 131072, string("ab"[n%2]), fmt.Sprintf("r1-%d", n/8)); err != nil {
			return couldNot, err
		}
	}
	settle := queue{
		name: "r-settle", host: "settle.example", prefix: "/settle/", service: "chairbook", priority: 1, attempts: 2,
		stretch: 2.2, allowanceMs: 1000,
	}
	if err := c.configure(1, []string{"chairbook"}, settle); err != nil {
		return couldNot, err
	}
	if err := c.awaitPlaced(settle, "00000000000000aa"); err != nil {
		return couldNot, err
	}
	body := []byte(`{"spec":"ms=1000 cpu=9000 gang=8","steps":[{"count":8,"cpu":9000,"mem_mb":26000,"est_runtime_ms":1000,"gang":true}]}`)
	var jobs []string
	set := func(grey bool) {
		for _, r := range c.runners {
			r.mu.Lock()
			r.grey = grey
			r.mu.Unlock()
		}
		c.rec.line("all runners fail what they start: %v", grey)
	}
	for n := range 40 {
		if trouble && n == 10 {
			set(true)
		}
		id := fmt.Sprintf("1%015x", n)
		status := c.submit(settle, id, body)
		if status == http.StatusOK {
			jobs = append(jobs, id)
		}
		time.Sleep(greyFor / 20)
		if trouble && n == 30 {
			set(false)
		}
	}
	c.rec.line("end of the traffic: %d gangs were accepted", len(jobs))
	return c.judgeStuck(settle, jobs)
}
