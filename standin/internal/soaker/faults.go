package soaker

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"
)

// fault is one kind of fault. Faults of different groups are injected concurrently, so they overlap as well as follow
// one another.
type fault struct {
	name string
	// weight is the relative frequency.
	weight int
	inject func(s *Soaker, ctx context.Context, duration time.Duration, control, front, worker int)
}

// faults lists the kinds of faults with their relative frequencies.
var faults = []fault{
	{"kill control", 3, func(s *Soaker, ctx context.Context, duration time.Duration, control, _, _ int) {
		s.controls[control].kill()
		s.restart(ctx, s.controls[control], duration)
	}},
	{"freeze control", 3, func(s *Soaker, ctx context.Context, duration time.Duration, control, _, _ int) {
		s.controls[control].signal(syscall.SIGSTOP)
		pause(ctx, duration)
		s.controls[control].signal(syscall.SIGCONT)
	}},
	{"stop control", 2, func(s *Soaker, ctx context.Context, duration time.Duration, control, _, _ int) {
		s.stopAndStart(ctx, s.controls[control], duration)
	}},
	{"kill all controls", 1, func(s *Soaker, ctx context.Context, duration time.Duration, _, _, _ int) {
		for _, p := range s.controls {
			p.kill()
		}
		for _, p := range s.controls {
			s.restart(ctx, p, duration/time.Duration(len(s.controls)))
		}
	}},
	{"wipe disk", 1, func(s *Soaker, ctx context.Context, duration time.Duration, control, _, _ int) {
		s.controls[control].kill()
		if err := os.RemoveAll(s.controls[control].dataFolder()); err != nil {
			s.recordViolation("cannot remove a data folder: %v", err)
		}
		s.restart(ctx, s.controls[control], duration)
		// The cell tolerates a limited number of lost disks at a time, so the next loss waits until this control process
		// has copied its data again.
		pause(ctx, diskRepairTime)
	}},
	{"partition control", 2, func(s *Soaker, ctx context.Context, duration time.Duration, control, _, _ int) {
		s.partition(ctx, duration, control, true)
	}},
	{"partition control one way", 2, func(s *Soaker, ctx context.Context, duration time.Duration, control, _, _ int) {
		s.partition(ctx, duration, control, false)
	}},
	{"kill front", 2, func(s *Soaker, ctx context.Context, duration time.Duration, _, front, _ int) {
		s.fronts[front].kill()
		s.restart(ctx, s.fronts[front], duration)
	}},
	{"stop front", 2, func(s *Soaker, ctx context.Context, duration time.Duration, _, front, _ int) {
		s.stopAndStart(ctx, s.fronts[front], duration)
	}},
	{"send SIGHUP", 1, func(s *Soaker, _ context.Context, _ time.Duration, control, front, _ int) {
		s.controls[control].signal(syscall.SIGHUP)
		s.fronts[front].signal(syscall.SIGHUP)
	}},
	{"worker loses orders", 3, func(s *Soaker, ctx context.Context, duration time.Duration, _, _, worker int) {
		s.setOrderLoss(worker, 0.4)
		pause(ctx, duration)
		s.setOrderLoss(worker, 0)
	}},
	{"worker is silent", 2, func(s *Soaker, ctx context.Context, duration time.Duration, _, _, worker int) {
		s.setOrderLoss(worker, 1)
		pause(ctx, duration)
		s.setOrderLoss(worker, 0)
	}},
	{"worker restarts", 2, func(s *Soaker, _ context.Context, _ time.Duration, _, _, worker int) {
		s.fleet.restart(worker)
	}},
	{"worker restarts and is cut off", 2, func(s *Soaker, ctx context.Context, duration time.Duration, _, _, worker int) {
		s.fleet.restart(worker)
		pause(ctx, duration/4)
		s.setOrderLoss(worker, 1)
		pause(ctx, cutOffTime)
		s.setOrderLoss(worker, 0)
	}},
}

const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	minFaultInterval = 200 * time.Millisecond
	maxFaultInterval = 1500 * time.Millisecond
	diskRepairTime   = 6 * time.Second
	// cutOffTime is longer than the lease that a leader asks for.
	cutOffTime = 7 * time.Second
)

// injectFaults injects faults drawn from the seeded generator for the configured length, and then waits for those in
// progress.
func (s *Soaker) injectFaults(ctx context.Context) {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	inProgress := map[string]chan struct{}{}
	for end := time.Now().Add(s.cfg.Length); time.Now().Before(end); {
		draw := s.rand.IntN(total)
		chosen := faults[0]
		for _, f := range faults {
			if draw -= f.weight; draw < 0 {
				chosen = f
				break
			}
		}
		duration := minFaultDuration + time.Duration(s.rand.Int64N(int64(maxFaultDuration-minFaultDuration)))
		control, front, worker := s.rand.IntN(s.cfg.Controls), s.rand.IntN(s.cfg.Fronts), s.rand.IntN(s.cfg.Workers)
		interval := minFaultInterval + time.Duration(s.rand.Int64N(int64(maxFaultInterval-minFaultInterval)))
		// Faults of one group run one at a time; those of different groups overlap.
		group := faultGroup(chosen.name)
		if done := inProgress[group]; done != nil {
			<-done
		}
		done := make(chan struct{})
		inProgress[group] = done
		s.recordFault("%s for %v: control-%d, front-%d, worker %d", chosen.name, duration, control, front, worker)
		go func() {
			defer close(done)
			chosen.inject(s, ctx, duration, control, front, worker)
		}()
		pause(ctx, interval)
	}
	for _, done := range inProgress {
		<-done
	}
}

// faultGroup returns the group of a fault. Faults of one group must not overlap. The groups are faults of the process
// or data of control processes, partitions and SIGHUP, faults of fronts, and faults of workers.
func faultGroup(name string) string {
	switch name {
	case "kill front", "stop front":
		return "front"
	case "worker loses orders", "worker is silent", "worker restarts", "worker restarts and is cut off":
		return "worker"
	case "partition control", "partition control one way", "send SIGHUP":
		return "link"
	default:
		return "control"
	}
}

const (
	minConnDelay = 5 * time.Millisecond
	maxConnDelay = 150 * time.Millisecond
)

// disturbConnections resets or delays the connections to randomly chosen control processes, one after another, until
// the context ends. It runs concurrently with all other faults.
func (s *Soaker) disturbConnections(ctx context.Context) {
	for ctx.Err() == nil {
		control := s.connRand.IntN(s.cfg.Controls)
		duration := minFaultInterval + time.Duration(s.connRand.Int64N(int64(maxFaultInterval-minFaultInterval)))
		if reset := s.connRand.IntN(2) == 0; reset {
			s.recordFault("reset connections to control-%d", control)
			s.relays[control].Reset()
			pause(ctx, duration)
			continue
		}
		delay := minConnDelay + time.Duration(s.connRand.Int64N(int64(maxConnDelay-minConnDelay)))
		s.recordFault("delay connections to control-%d by %v for %v", control, delay, duration)
		s.relays[control].SetDelay(delay)
		pause(ctx, duration)
		s.relays[control].SetDelay(0)
	}
}

// recordFault adds a fault to the report.
func (s *Soaker) recordFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("%.3f s: ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...)
	s.report.Faults = append(s.report.Faults, text)
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func (s *Soaker) restart(ctx context.Context, p *process, after time.Duration) {
	pause(ctx, after)
	if err := p.start(); err != nil {
		s.recordViolation("cannot start %s: %v", p.name, err)
	}
}

func (s *Soaker) stopAndStart(ctx context.Context, p *process, after time.Duration) {
	if err := p.stop(stopTimeout); err != nil {
		s.recordViolation("%v", err)
		p.kill()
	}
	s.restart(ctx, p, after)
}

// partition blocks the traffic from a control process to the others, and with bothWays also the traffic to it.
func (s *Soaker) partition(ctx context.Context, duration time.Duration, control int, bothWays bool) {
	set := func(on bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for i := range s.cfg.Controls {
			s.partitions[[2]string{s.ip(control), s.ip(i)}] = on
			s.partitions[[2]string{s.ip(i), s.ip(control)}] = on && bothWays
		}
	}
	set(true)
	pause(ctx, duration)
	set(false)
}

// setOrderLoss sets the share of orders to a worker that get no answer.
func (s *Soaker) setOrderLoss(worker int, share float64) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.workers[worker].orderLoss = share
}

// heal ends all faults and starts the processes that have exited.
func (s *Soaker) heal() {
	s.mu.Lock()
	s.partitions = map[[2]string]bool{}
	s.mu.Unlock()
	for i := range s.fleet.workers {
		s.setOrderLoss(i, 0)
	}
	for _, p := range append(append([]*process(nil), s.controls...), s.fronts...) {
		p.signal(syscall.SIGCONT)
		if p.alive() {
			continue
		}
		if err := p.start(); err != nil {
			s.recordViolation("cannot start %s: %v", p.name, err)
		}
	}
}
