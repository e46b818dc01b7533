package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["starved"] = playStarved }

// playStarved: in spells of 3 s, five in a hundred of the jobs can never be done, and wait. Then a runner crashes. The tasks
// that it ran have to run elsewhere.
func playStarved(c *cell, trouble bool) (verdict, error) {
	const (
		runners    = 8
		perSecond  = 48
		spells     = 14
		spell      = 3 * perSecond
		pause      = perSecond / 2
		hopelessIn = 20
	)
	// ONLY=poison and ONLY=crash play one of the two disruptions alone.
	poison, crash := trouble && os.Getenv("ONLY") != "crash", trouble && os.Getenv("ONLY") != "poison"
	if err := c.start(5, 2); err != nil {
		return couldNot, err
	}
	if err := c.awaitReady(); err != nil {
		return couldNot, err
	}
	var fleet []*runner
	for n := range runners {
		r, err := c.addRunner(50+n, "chairbook", 32000, 131072, string("ab"[n%2]), fmt.Sprintf("r1-%d", n/8))
		if err != nil {
			return couldNot, err
		}
		r.quiet = true
		fleet = append(fleet, r)
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
	ordinary := []byte(`{"spec":"ms=640 cpu=2800","steps":[{"count":2,"cpu":2800,"mem_mb":8000,"est_runtime_ms":640}]}`)
	hopeless := []byte(`{"spec":"ms=640 cpu=2800","steps":[{"count":2,"cpu":2800,"mem_mb":8000,"est_runtime_ms":640,"requirements":"c"}]}`)
	var mu sync.Mutex
	var wait sync.WaitGroup
	accepted, hopelessAccepted := []string{}, 0
	send := func(id string, body []byte) {
		defer wait.Done()
		if status := c.submit(confirm, id, body); status != http.StatusOK {
			c.rec.line("client: job %s got %d", id, status)
			return
		}
		c.rec.keep(id, "client: the job is accepted")
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(id, "f") {
			hopelessAccepted++
		} else {
			accepted = append(accepted, id)
		}
	}
	c.rec.line("clients: %d jobs a second; in %d spells of 3 s one in %d can never be done: %v", perSecond, spells, hopelessIn, poison)
	total := spells*(spell+pause) + 2*perSecond
	for n := range total {
		if crash && n == total-2*perSecond {
			c.rec.line("runner %s crashes and does not come back", fleet[0].id)
			fleet[0].stop()
		}
		wait.Add(1)
		inSpell := n < total-2*perSecond && n%(spell+pause) < spell
		if poison && inSpell && n%hopelessIn == 0 {
			go send(fmt.Sprintf("f%015x", n), hopeless)
		} else {
			go send(fmt.Sprintf("1%015x", n), ordinary)
		}
		time.Sleep(time.Second / perSecond)
	}
	wait.Wait()
	c.rec.line("end of the traffic: %d ordinary jobs were accepted, and %d that can never be done", len(accepted), hopelessAccepted)
	c.rec.line("runners: %d starts and ends of tasks so far", c.rec.events())
	if len(accepted) < total/2 || poison && hopelessAccepted < 85 {
		return couldNot, fmt.Errorf("too few jobs were accepted")
	}
	return c.judgeStuck(confirm, accepted)
}
