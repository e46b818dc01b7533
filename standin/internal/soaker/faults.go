package soaker

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"
)

// fault is one kind of disruption. It runs beside others, so disruptions come in series and overlap.
type fault struct {
	name   string
	weight int
	inject func(s *Soaker, ctx context.Context, length time.Duration, control, front, worker int)
}

// faults are the kinds of disruption with how often they come.
var faults = []fault{
	{"kill control", 3, func(s *Soaker, ctx context.Context, length time.Duration, control, _, _ int) {
		s.controls[control].kill()
		s.restart(ctx, s.controls[control], length)
	}},
	{"freeze control", 3, func(s *Soaker, ctx context.Context, length time.Duration, control, _, _ int) {
		s.controls[control].signal(syscall.SIGSTOP)
		pause(ctx, length)
		s.controls[control].signal(syscall.SIGCONT)
	}},
	{"stop control", 2, func(s *Soaker, ctx context.Context, length time.Duration, control, _, _ int) {
		s.stopAndStart(ctx, s.controls[control], length)
	}},
	{"kill all controls", 1, func(s *Soaker, ctx context.Context, length time.Duration, _, _, _ int) {
		for _, p := range s.controls {
			p.kill()
		}
		for _, p := range s.controls {
			s.restart(ctx, p, length/time.Duration(len(s.controls)))
		}
	}},
	{"lose a disk", 1, func(s *Soaker, ctx context.Context, length time.Duration, control, _, _ int) {
		s.controls[control].kill()
		if err := os.RemoveAll(s.controls[control].dataFolder()); err != nil {
			s.violate("the soak cannot remove a data folder: %v", err)
		}
		s.restart(ctx, s.controls[control], length)
		// As many disks may be lost at once as the cell bears, so the next one waits until this one is copied.
		pause(ctx, diskRepair)
	}},
	{"cut control off", 2, func(s *Soaker, ctx context.Context, length time.Duration, control, _, _ int) {
		s.cut(ctx, length, control, true)
	}},
	{"cut control off one way", 2, func(s *Soaker, ctx context.Context, length time.Duration, control, _, _ int) {
		s.cut(ctx, length, control, false)
	}},
	{"kill front", 2, func(s *Soaker, ctx context.Context, length time.Duration, _, front, _ int) {
		s.fronts[front].kill()
		s.restart(ctx, s.fronts[front], length)
	}},
	{"stop front", 2, func(s *Soaker, ctx context.Context, length time.Duration, _, front, _ int) {
		s.stopAndStart(ctx, s.fronts[front], length)
	}},
	{"hang up", 1, func(s *Soaker, _ context.Context, _ time.Duration, control, front, _ int) {
		s.controls[control].signal(syscall.SIGHUP)
		s.fronts[front].signal(syscall.SIGHUP)
	}},
	{"worker loses orders", 3, func(s *Soaker, ctx context.Context, length time.Duration, _, _, worker int) {
		s.loseOrders(worker, 0.4)
		pause(ctx, length)
		s.loseOrders(worker, 0)
	}},
	{"worker is silent", 2, func(s *Soaker, ctx context.Context, length time.Duration, _, _, worker int) {
		s.loseOrders(worker, 1)
		pause(ctx, length)
		s.loseOrders(worker, 0)
	}},
	{"worker restarts", 2, func(s *Soaker, _ context.Context, _ time.Duration, _, _, worker int) {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		s.fleet.workers[worker].reset(time.Now())
	}},
}

const (
	shortestFault = 200 * time.Millisecond
	longestFault  = 4 * time.Second
	shortestPause = 200 * time.Millisecond
	longestPause  = 1500 * time.Millisecond
	diskRepair    = 6 * time.Second
)

// injectFaults draws faults from the seed until the soak's time is over, and waits for those under way. One fault at a
// time strikes a given process; faults of different processes overlap.
func (s *Soaker) injectFaults(ctx context.Context) {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	busy := map[string]chan struct{}{}
	for end := time.Now().Add(s.cfg.Length); time.Now().Before(end); {
		draw := s.rand.IntN(total)
		chosen := faults[0]
		for _, f := range faults {
			if draw -= f.weight; draw < 0 {
				chosen = f
				break
			}
		}
		length := shortestFault + time.Duration(s.rand.Int64N(int64(longestFault-shortestFault)))
		control, front, worker := s.rand.IntN(s.cfg.Controls), s.rand.IntN(s.cfg.Fronts), s.rand.IntN(s.cfg.Workers)
		rest := shortestPause + time.Duration(s.rand.Int64N(int64(longestPause-shortestPause)))
		// Faults that strike processes of one kind follow one another; those of other kinds overlap with them.
		kind := kindOf(chosen.name)
		if done := busy[kind]; done != nil {
			<-done
		}
		done := make(chan struct{})
		busy[kind] = done
		s.noteFault("%s for %v: control-%d, front-%d, worker %d", chosen.name, length, control, front, worker)
		go func() {
			defer close(done)
			chosen.inject(s, ctx, length, control, front, worker)
		}()
		pause(ctx, rest)
	}
	for _, done := range busy {
		<-done
	}
}

// kindOf groups the faults that must not overlap: all that touch the data or the life of a control process, cuts, fronts
// and workers.
func kindOf(name string) string {
	switch name {
	case "kill front", "stop front":
		return "front"
	case "worker loses orders", "worker is silent", "worker restarts":
		return "worker"
	case "cut control off", "cut control off one way", "hang up":
		return "link"
	default:
		return "control"
	}
}

const (
	shortestDelay = 5 * time.Millisecond
	longestDelay  = 150 * time.Millisecond
)

// harmConnections resets or delays the connections to one control process after the other until the context ends. It runs
// beside all other faults.
func (s *Soaker) harmConnections(ctx context.Context) {
	for ctx.Err() == nil {
		control := s.harms.IntN(s.cfg.Controls)
		length := shortestPause + time.Duration(s.harms.Int64N(int64(longestPause-shortestPause)))
		if reset := s.harms.IntN(2) == 0; reset {
			s.noteFault("reset connections to control-%d", control)
			s.relays[control].Reset()
			pause(ctx, length)
			continue
		}
		delay := shortestDelay + time.Duration(s.harms.Int64N(int64(longestDelay-shortestDelay)))
		s.noteFault("delay connections to control-%d by %v for %v", control, delay, length)
		s.relays[control].SetDelay(delay)
		pause(ctx, length)
		s.relays[control].SetDelay(0)
	}
}

// noteFault adds a fault to the report.
func (s *Soaker) noteFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("%.3f s: ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...)
	s.report.Faults = append(s.report.Faults, text)
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

func (s *Soaker) restart(ctx context.Context, p *process, after time.Duration) {
	pause(ctx, after)
	if err := p.start(); err != nil {
		s.violate("the soak cannot start %s: %v", p.name, err)
	}
}

func (s *Soaker) stopAndStart(ctx context.Context, p *process, after time.Duration) {
	if err := p.stop(stopLimit); err != nil {
		s.violate("%v", err)
		p.kill()
	}
	s.restart(ctx, p, after)
}

func (s *Soaker) cut(ctx context.Context, length time.Duration, control int, both bool) {
	set := func(on bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for i := range s.cfg.Controls {
			s.cuts[[2]string{s.ip(control), s.ip(i)}] = on
			s.cuts[[2]string{s.ip(i), s.ip(control)}] = on && both
		}
	}
	set(true)
	pause(ctx, length)
	set(false)
}

func (s *Soaker) loseOrders(worker int, share float64) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.workers[worker].lost = share
}

// heal starts whatever ended by itself and lifts all disruptions.
func (s *Soaker) heal() {
	s.mu.Lock()
	s.cuts = map[[2]string]bool{}
	s.mu.Unlock()
	for i := range s.fleet.workers {
		s.loseOrders(i, 0)
	}
	for _, p := range append(append([]*process(nil), s.controls...), s.fronts...) {
		p.signal(syscall.SIGCONT)
		if p.alive() {
			continue
		}
		if err := p.start(); err != nil {
			s.violate("the soak cannot start %s: %v", p.name, err)
		}
	}
}
