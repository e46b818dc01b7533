package main

import (
	"sync"
	"time"
)

func init() { scenarios["pending"] = pending }

// pending: one runner of ten leaves the starts that it is sent without an answer, while its health check and all else is
// good.
func pending(s *scenario) error {
	room := amounts{CPU: 32000, MemMB: 131072}
	if err := s.boot(10, room, route{"r-one", "/one/", 0, 3000}); err != nil {
		return err
	}
	grey := s.fleet.runners[4]
	if s.trouble {
		began := time.Now()
		grey.onStart = func(string, int) (bool, time.Duration) { return time.Since(began) < 6500*time.Millisecond, -1 }
	}
	var mu sync.Mutex
	acceptedAt := map[string]time.Time{}
	for range 20 {
		id := newID()
		if accepted(s.clients.submit("/one/", id, jobBody(500, step{Count: 1, CPU: 4000, MemMB: 1000, EstMs: 500}))) {
			mu.Lock()
			acceptedAt[id] = time.Now()
			mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
	}
	for began := time.Now(); time.Since(began) < 8*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, front := range s.cell.fronts() {
			asked := time.Now()
			got := s.clients.pending(front, "/one/")
			s.fleet.mu.Lock()
			waiting := 0
			for id, at := range acceptedAt {
				if asked.Sub(at) > 5*time.Second && !s.fleet.started[id] {
					waiting++
				}
			}
			s.fleet.mu.Unlock()
			if got >= 0 && 2*got < waiting {
				s.rec.broken("MIXED", "%s gives %d as pending; %d jobs accepted over 5 s before have not begun", front, got, waiting)
			}
		}
	}
	return nil
}
