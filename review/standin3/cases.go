package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Queues and the service of the small deployment, with the figures of Kapana Chairshare's routes.
var (
	pool    = service{Name: "chairbook", Health: "/health", MaxConns: 64, Protocol: "h1"}
	settle  = route{Name: "r-settle", Host: "nony24.example", Prefix: "/settle/", Type: "unsafe", TimeoutMs: 3000, TargetMs: 1000, Priority: 1, Service: pool.Name, Attempts: 2, Stretch: 2.2}
	recon   = route{Name: "r-recon", Host: "ficu95.example", Prefix: "/recon/", Type: "unsafe", TimeoutMs: 3000, TargetMs: 3000, Priority: 2, Service: pool.Name, Attempts: 4, Stretch: 4}
	confirm = route{Name: "r-confirm", Host: "nony24.example", Prefix: "/confirm/", Type: "unsafe", TimeoutMs: 3000, TargetMs: 250, Priority: 0, Service: pool.Name, Attempts: 3, Stretch: 1.5}
	routes  = []route{settle, recon, confirm}
)

const (
	runnerCPU   = 32_000
	runnerMemMB = 131_072
	// greyTime is how long runners fail all that they start.
	greyTime = 6 * time.Second
)

// begin starts the runners and sends the first configuration; the traffic begins 10 s after the machines.
func (s *scene) begin(labels [][]string) error {
	for i, l := range labels {
		if _, err := s.world.addRunner(s.ctx, s.cell, i, pool.Name, l, runnerCPU, runnerMemMB); err != nil {
			return err
		}
	}
	if err := s.cell.configure(1, routes, []service{pool}); err != nil {
		return err
	}
	time.Sleep(max(0, 10*time.Second-time.Since(s.rec.began)))
	s.rec.log("client", "traffic begins")
	return nil
}

// setGrey makes runners fail all that they start, or sound again.
func (s *scene) setGrey(runners []*runner, grey bool) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	for _, r := range runners {
		r.grey = grey
		s.rec.log("platform", "%s fails all that it starts: %v", r.id, grey)
	}
}

// endOfTraffic waits for the answers to all submissions and for finish_s, and then checks the jobs for a time.
func (s *scene) endOfTraffic(length time.Duration) (bool, error) {
	s.client.calls.Wait()
	s.rec.log("client", "traffic has ended")
	time.Sleep(finishMs * time.Millisecond)
	s.rec.log("check", "finish_s is over; the jobs are asked for")
	ch := &checker{cl: s.client, routes: routes}
	ch.watch(length)
	accepted, ended := 0, 0
	s.world.mu.Lock()
	for _, j := range s.world.jobs {
		if !j.accepted.IsZero() {
			accepted++
		}
		if !j.endedAt.IsZero() {
			ended++
		}
	}
	s.world.mu.Unlock()
	s.rec.log("check", "%d jobs accepted, %d of them have ended; %d were left lying; %d calls for a state had no answer",
		accepted, ended, len(ch.found), ch.unanswered)
	if accepted == 0 {
		return false, fmt.Errorf("no job was accepted")
	}
	return len(ch.found) > 0, nil
}

// every calls a function at a rate for a time.
func every(interval, length time.Duration, do func(i int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	until := time.Now().Add(length)
	for i := 0; time.Now().Before(until); i++ {
		do(i)
		<-ticker.C
	}
}

// labels returns the labels of count runners: the kind and the rack. The last others are of kind b.
func labels(count, others int) [][]string {
	var all [][]string
	for i := range count {
		kind := "a"
		if i >= count-others {
			kind = "b"
		}
		all = append(all, []string{kind, fmt.Sprintf("r1-%d", i/8)})
	}
	return all
}

var (
	small = step{Count: 2, CPU: 2800, MemMB: 8000, Estimate: 640}
	batch = step{Count: 1, CPU: 2000, MemMB: 7200, Estimate: 2700, Label: "b"}
)

// excludedWorkers: two of 24 runners fail all that they start for 6 s. Jobs that need the label of these two are handed in
// meanwhile. Each of their tasks fails once on each of the two, with half of its attempts left. Then the runners are sound
// again.
func excludedWorkers(s *scene) (bool, error) {
	if err := s.begin(labels(24, 2)); err != nil {
		return false, err
	}
	grey := s.world.runners[22:]
	if s.trouble {
		s.setGrey(grey, true)
	}
	began := time.Now()
	every(500*time.Millisecond, greyTime, func(i int) {
		s.client.submit(confirm, spec{Name: "confirm", WorkMs: 640}, small)
		if i < 3 {
			s.client.submit(recon, spec{Name: "recon-b", WorkMs: 2700}, batch)
		}
	})
	time.Sleep(max(0, greyTime-time.Since(began)))
	if s.trouble {
		s.setGrey(grey, false)
	}
	// Jobs of the same kind that come afterwards show that the runners are sound and used.
	every(time.Second, 4*time.Second, func(i int) {
		s.client.submit(confirm, spec{Name: "confirm", WorkMs: 640}, small)
		s.client.submit(recon, spec{Name: "recon-b-after", WorkMs: 2700}, batch)
	})
	return s.endOfTraffic(30 * time.Second)
}

// unprovenWorkers: all runners fail all that they start for 6 s. The traffic is jobs whose tasks work only together, before,
// meanwhile and afterwards.
func unprovenWorkers(s *scene) (bool, error) {
	if err := s.begin(labels(6, 0)); err != nil {
		return false, err
	}
	together := step{Count: 4, CPU: 9000, MemMB: 26000, Estimate: 1000, Gang: true}
	submit := func(name string) func(int) {
		return func(int) { s.client.submit(settle, spec{Name: name, WorkMs: 1000}, together) }
	}
	every(500*time.Millisecond, 4*time.Second, submit("settle-before"))
	if s.trouble {
		s.setGrey(s.world.runners, true)
	}
	every(500*time.Millisecond, greyTime, submit("settle-meanwhile"))
	if s.trouble {
		s.setGrey(s.world.runners, false)
	}
	every(500*time.Millisecond, 4*time.Second, submit("settle-after"))
	return s.endOfTraffic(30 * time.Second)
}

// Bounds of the deployment.
const (
	configApply = 2 * time.Second
	visible     = 3 * time.Second
	cancelTime  = 3 * time.Second
	stopTimeout = 900 * time.Millisecond
)

// addedQueue: the operator adds a queue whose path prefix does not end with a slash. Jobs are handed in to it, asked for, and
// one of them is cancelled.
func addedQueue(s *scene) (bool, error) {
	if err := s.begin(labels(6, 0)); err != nil {
		return false, err
	}
	queue := confirm
	if s.trouble {
		queue.Name, queue.Prefix = "r-walkin", "/walkin-"
		if err := s.cell.configure(2, append(slices.Clone(routes), queue), []service{pool}); err != nil {
			return false, err
		}
	}
	time.Sleep(configApply + time.Second)
	var jobs []*job
	every(200*time.Millisecond, 4*time.Second, func(int) {
		jobs = append(jobs, s.client.submit(queue, spec{Name: "confirm", WorkMs: 640}, small))
	})
	canceled := s.client.submit(queue, spec{Name: "confirm-canceled", WorkMs: 15_000}, small)
	s.client.calls.Wait()
	if !s.isAccepted(append(jobs, canceled)) {
		return false, fmt.Errorf("a job was not accepted")
	}
	time.Sleep(visible + time.Second)
	lost := 0
	for _, j := range jobs {
		status, state := s.client.state(queue, j)
		s.rec.log("client", "GET %s%s: %d %s", queue.Prefix, j.id, status, state)
		if status == http.StatusGone {
			lost++
		}
	}
	s.rec.log("check", "LOST: %d of %d accepted jobs that nobody has cancelled were answered with 410", lost, len(jobs))
	status, _, _ := s.client.call(http.MethodDelete, queue, canceled.id, nil, 0)
	s.rec.log("client", "DELETE %s%s: %d", queue.Prefix, canceled.id, status)
	time.Sleep(cancelTime + stopTimeout + time.Second)
	s.world.mu.Lock()
	runsOn := s.world.isRunning(canceled)
	s.world.mu.Unlock()
	s.rec.log("check", "UNASKED: after cancel_ms, stop_timeout_ms and one second more the job runs on: %v", runsOn)
	status, body, _ := s.client.call(http.MethodGet, queue, "", nil, 0)
	s.rec.log("client", "GET %s: %d %s", queue.Prefix, status, body)
	return lost > 0, nil
}

func (s *scene) isAccepted(jobs []*job) bool {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return !slices.ContainsFunc(jobs, func(j *job) bool { return j.accepted.IsZero() })
}
