package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	scenarios["shrink"] = shrink
	scenarios["leave"] = leave
	scenarios["dropped-route"] = droppedRoute
}

// shrink: the capacity of runners shrinks while all machines with a disk are without power.
func shrink(s *scenario) error {
	room := amounts{CPU: 32000, MemMB: 131072}
	if err := s.boot(4, room, route{"r-one", "/one/", 0, 3000}); err != nil {
		return err
	}
	const tasks = 32
	for range tasks {
		s.clients.submit("/one/", newID(), jobBody(8000, step{Count: 1, CPU: 8000, MemMB: 1000, EstMs: 8000}))
	}
	if err := s.waitFor(5*time.Second, "the runners are not full", func() bool { return s.fleet.runCount() == 16 }); err != nil {
		return err
	}
	if s.trouble {
		for _, p := range s.cell.core {
			s.cell.kill(p)
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, r := range s.fleet.runners {
		r.shrink(amounts{CPU: 16000, MemMB: 131072})
	}
	time.Sleep(8 * time.Second)
	if s.trouble {
		for _, p := range s.cell.core {
			if err := s.cell.start(p, false); err != nil {
				return err
			}
		}
	}
	time.Sleep(25 * time.Second)
	return nil
}

// leave: the response to the DELETE of a runner that leaves is lost on its way.
func leave(s *scenario) error {
	room := amounts{CPU: 32000, MemMB: 131072}
	if err := s.boot(4, room, route{"r-one", "/one/", 0, 3000}); err != nil {
		return err
	}
	for range 8 {
		s.clients.submit("/one/", newID(), jobBody(12000, step{Count: 1, CPU: 8000, MemMB: 1000, EstMs: 12000}))
	}
	if err := s.waitFor(5*time.Second, "not all tasks run", func() bool { return s.fleet.runCount() == 8 }); err != nil {
		return err
	}
	leaving := s.fleet.runners[0]
	for _, r := range s.fleet.runners {
		if len(r.runs) > len(leaving.runs) {
			leaving = r
		}
	}
	if s.trouble {
		leaving.calls = &http.Client{Timeout: time.Second, Transport: &lossyTransport{lose: "DELETE"}}
	}
	leaving.leave(500 * time.Millisecond)
	time.Sleep(4 * time.Second)
	return nil
}

// lossyTransport loses the response to the first call of a method.
type lossyTransport struct {
	lose string
	lost atomic.Bool
}

func (t *lossyTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(q)
	if err != nil || q.Method != t.lose || t.lost.Swap(true) {
		return response, err
	}
	_ = response.Body.Close()
	<-q.Context().Done()
	return nil, context.DeadlineExceeded
}

// droppedRoute: the leader is killed while many jobs are handed in, and the operator drops their queue meanwhile. The
// machine comes back, and the operator adds the queue again, up to four times.
func droppedRoute(s *scenario) error {
	room := amounts{CPU: 32000, MemMB: 131072}
	keep, drop := route{"r-keep", "/keep/", 1, 3000}, route{"r-drop", "/drop/", 0, 3000}
	if err := s.boot(8, room, keep, drop); err != nil {
		return err
	}
	for round := range 4 {
		if err := s.dropOnce(2+2*round, keep); err != nil {
			return err
		}
		if s.rec.breakCount() > 0 {
			return nil
		}
		if err := s.ops.configure(configBody(3+2*round, s.fleet.service, keep, drop), 10*time.Second); err != nil {
			return errors.Join(errSetup, err)
		}
		time.Sleep(3 * time.Second)
	}
	return nil
}

func (s *scenario) dropOnce(version int, keep route) error {
	leader := s.cell.leader()
	if leader == nil {
		return fmt.Errorf("%w: there is no leader", errSetup)
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	answers := map[string][]int{}
	for range 200 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(rand.N(60 * time.Millisecond))
			id := newID()
			got := s.clients.submit("/drop/", id, jobBody(100, step{Count: 1, CPU: 100, MemMB: 10, EstMs: 100}))
			mu.Lock()
			answers[id] = got
			mu.Unlock()
		}()
	}
	time.Sleep(30 * time.Millisecond)
	if s.trouble {
		s.cell.kill(leader)
	}
	if err := s.ops.configure(configBody(version, s.fleet.service, keep), 10*time.Second); err != nil {
		return errors.Join(errSetup, err)
	}
	wait.Wait()
	if s.trouble {
		if err := s.cell.start(leader, false); err != nil {
			return err
		}
	}
	// Jobs whose first start waits for the lease of a runner have begun by then.
	time.Sleep(8 * time.Second)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for id, got := range answers {
		rejected := true
		for _, status := range got {
			rejected = rejected && (status == 404 || status == 429 || status == 503)
		}
		if rejected && s.fleet.started[id] {
			s.rec.broken("REFUSED", "a task of job %s starts, and all attempts to hand it in were rejected: %v", id, got)
		}
	}
	return nil
}
