package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["renamed"] = playRenamed }

// visibleTime is visible_ms and two seconds.
const visibleTime = 5 * time.Second

// playRenamed: a configuration removes a route and adds one with the same host and prefix. Jobs wait meanwhile.
func playRenamed(c *cell, trouble bool) (verdict, error) {
	if err := c.start(5, 2); err != nil {
		return couldNot, err
	}
	if err := c.awaitReady(); err != nil {
		return couldNot, err
	}
	for n := range 4 {
		if _, err := c.addRunner(50+n, "chairbook", 32000, 131072, "a", "r1-0"); err != nil {
			return couldNot, err
		}
	}
	confirm := queue{
		name: "r-confirm", host: "confirm.example", prefix: "/confirm/", service: "chairbook", priority: 0, attempts: 3,
		stretch: 1.5, allowanceMs: 250,
	}
	recon := queue{
		name: "r-recon", host: "recon.example", prefix: "/recon/", service: "chairbook", priority: 2, attempts: 3,
		stretch: 4, allowanceMs: 3000,
	}
	if err := c.configure(1, []string{"chairbook"}, confirm, recon); err != nil {
		return couldNot, err
	}
	if err := c.awaitPlaced(confirm, "00000000000000aa"); err != nil {
		return couldNot, err
	}
	full := []byte(`{"spec":"ms=40000","steps":[{"count":4,"cpu":32000,"mem_mb":8000,"est_runtime_ms":2000}]}`)
	if status := c.submit(confirm, "00000000000000bb", full); status != http.StatusOK {
		return couldNot, fmt.Errorf("the large job got %d", status)
	}
	time.Sleep(500 * time.Millisecond)
	small := []byte(`{"spec":"ms=640","steps":[{"count":1,"cpu":2000,"mem_mb":1000,"est_runtime_ms":640}]}`)
	waiting := 0
	for n := range 12 {
		if status := c.submit(recon, fmt.Sprintf("1%015x", n), small); status == http.StatusOK {
			waiting++
		}
	}
	c.rec.line("client: %d jobs were accepted on %s; no runner has room for them", waiting, recon.prefix)
	if trouble {
		renamed := recon
		renamed.name = "r-recon-2"
		if err := c.configure(2, []string{"chairbook"}, confirm, renamed); err != nil {
			return couldNot, err
		}
	}
	time.Sleep(visibleTime + 500*time.Millisecond)
	result := held
	for _, front := range c.fronts() {
		status, answer, _ := c.call(http.MethodGet, front, recon, "", nil)
		begun := 0
		for n := range 12 {
			if state, _ := c.state(recon, fmt.Sprintf("1%015x", n), 5); state != "queued" {
				begun++
			}
		}
		text, _ := json.Marshal(answer)
		c.rec.line("client: GET %s gives %d %s; %d of %d accepted jobs are shown as queued", recon.prefix, status, text, waiting-begun, waiting)
		if pending, ok := answer["pending"].(float64); status == http.StatusOK && ok && begun == 0 && 2*pending < float64(waiting) {
			result = broken
		}
	}
	return result, nil
}
