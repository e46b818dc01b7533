package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["long"] = playLong }

// playLong: a gang takes far longer than it declares.
func playLong(c *cell, trouble bool) (verdict, error) {
	if err := c.start(5, 2); err != nil {
		return couldNot, err
	}
	if err := c.awaitReady(); err != nil {
		return couldNot, err
	}
	for n := range 8 {
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
	ms := 4000
	if trouble {
		ms = 300000
	}
	body := []byte(fmt.Sprintf(`{"spec":"ms=%d gang=8","steps":[{"count":8,"cpu":9000,"mem_mb":26000,"est_runtime_ms":4000,"gang":true}]}`, ms))
	id := "1000000000000000"
	if status := c.submit(settle, id, body); status != http.StatusOK {
		return couldNot, fmt.Errorf("the job got %d", status)
	}
	time.Sleep(20 * time.Second)
	return c.judgeStuck(settle, []string{id})
}
