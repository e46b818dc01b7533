package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["headroom"] = playHeadroom }

// playHeadroom: a large job comes while each runner has one small task.
func playHeadroom(c *cell, trouble bool) (verdict, error) {
	const runners = 8
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
	if err := c.awaitPlaced(confirm, "00000000000000aa"); err != nil {
		return couldNot, err
	}
	small := []byte(`{"spec":"ms=60000 cpu=1000","steps":[{"count":1,"cpu":1000,"mem_mb":1000,"est_runtime_ms":60000}]}`)
	for n := range runners {
		if status := c.submit(confirm, fmt.Sprintf("2%015x", n), small); status != http.StatusOK {
			return couldNot, fmt.Errorf("a small job got %d", status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	cpu := 28000
	if trouble {
		cpu = 30000
	}
	large := []byte(fmt.Sprintf(`{"spec":"ms=2700 cpu=%d","steps":[{"count":1,"cpu":%d,"mem_mb":22000,"est_runtime_ms":2700}]}`, cpu, cpu))
	var jobs []string
	id := "1000000000000000"
	if status := c.submit(recon, id, large); status == http.StatusOK {
		jobs = append(jobs, id)
	}
	c.rec.line("client: a job of one task of %d thousandths of a core was accepted; end of the traffic", cpu)
	return c.judgeStuck(recon, jobs)
}
