package soaker

import (
	"bytes"
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	domains         = 3
	darkTime        = 600 * time.Millisecond
	minCutDelay     = 300 * time.Millisecond
	maxCutDelay     = 2 * time.Second
	domainCutTime   = 9 * time.Second
	restartInterval = 14 * time.Second
	// firstRestart leaves time for the load to fill the workers.
	firstRestart  = 3 * time.Second
	minFreeze     = time.Second
	maxFreeze     = 6 * time.Second
	maxOrderWait  = 2 * time.Second
	maxAfterOrder = 30 * time.Millisecond
	maxLeaderDown = 3 * time.Second
)

// leaderFaults are what happens to the leader.
var leaderFaults = []string{"none", "kill", "stop", "freeze"}

// injectRestarts restarts all workers of a failure domain under their ids and cuts them off soon after, again and again
// for the configured length, and disturbs the leader between crash and cut or when the cut ends. The fault of the leader
// depends on the seed alone.
func (s *Soaker) injectRestarts(ctx context.Context) {
	end := time.Now().Add(s.cfg.Length)
	pause(ctx, min(firstRestart, s.cfg.Length/4))
	fault := leaderFaults[s.cfg.Seed%uint64(len(leaderFaults))]
	for first := true; first || time.Until(end) > domainCutTime; first = false {
		began := time.Now()
		domain, closes, answersOnly := s.rand.IntN(domains), s.rand.IntN(4) == 0, s.rand.IntN(4) == 0
		onOrder, apart := s.rand.IntN(2) == 0, 1+s.rand.IntN(2)
		cutDelay := minCutDelay + time.Duration(s.rand.Int64N(int64(maxCutDelay-minCutDelay)))
		faultDelay := time.Duration(s.rand.Int64N(int64(darkTime + cutDelay)))
		if s.rand.IntN(4) == 0 {
			// The fault comes about when the workers are reachable again.
			faultDelay += domainCutTime
		}
		faultTime := time.Duration(s.rand.Int64N(int64(maxLeaderDown)))
		if fault == "freeze" {
			faultTime = minFreeze + time.Duration(s.rand.Int64N(int64(maxFreeze-minFreeze)))
		}
		s.recordFault("domain %d restarts, closes %v, is cut off %v later, answers only %v; leader: %s after %v, on order %v, for %v",
			domain, closes, cutDelay, answersOnly, fault, faultDelay, onOrder, faultTime)
		s.fleet.crashDomain(domain, closes)
		leaderDone := make(chan struct{})
		go func() {
			defer close(leaderDone)
			s.disturbLeader(ctx, fault, faultDelay, onOrder, faultTime)
		}()
		pause(ctx, darkTime)
		s.fleet.startDomain(domain)
		// Many orders are given before the restart is known.
		for range s.cfg.Workers / 2 {
			s.submit(ctx)
		}
		pause(ctx, cutDelay)
		state := linkCut
		if answersOnly {
			state = linkAnswersLost
		}
		s.fleet.setLinks(domain, state)
		pause(ctx, min(domainCutTime, max(time.Until(end), 0)))
		s.fleet.setLinks(domain, linkUp)
		<-leaderDone
		pause(ctx, min(time.Until(began.Add(time.Duration(apart)*restartInterval)), time.Until(end)))
	}
}

// disturbLeader kills, stops or freezes the leader after a delay or, with onOrder, when it has then ordered a start on a
// worker that has restarted.
func (s *Soaker) disturbLeader(ctx context.Context, fault string, delay time.Duration, onOrder bool, length time.Duration) {
	if fault == "none" {
		return
	}
	pause(ctx, delay)
	p := s.leader()
	if p == nil {
		return
	}
	if onOrder {
		select {
		case <-s.fleet.nextStart():
			pause(ctx, time.Duration(rand.Int64N(int64(maxAfterOrder))))
		case <-time.After(maxOrderWait):
		}
	}
	s.recordFault("%s %s", fault, p.name)
	switch fault {
	case "kill":
		p.kill()
		s.restart(ctx, p, length)
	case "stop":
		s.stopAndStart(ctx, p, length)
	case "freeze":
		p.signal(syscall.SIGSTOP)
		pause(ctx, length)
		p.signal(syscall.SIGCONT)
	}
}

// leader returns the control process that was the last to say in its log that it leads.
func (s *Soaker) leader() *process {
	var newest []byte
	var leader *process
	for _, p := range s.controls {
		log, err := os.ReadFile(filepath.Join(s.cfg.Folder, p.name+".log"))
		if err != nil {
			continue
		}
		at := bytes.LastIndex(log, []byte(`"event":"FD2001"`))
		if at < 0 || !p.alive() {
			continue
		}
		// Lines begin with the time in a format that sorts.
		line := log[bytes.LastIndexByte(log[:at], '\n')+1 : at]
		if bytes.Compare(line, newest) > 0 {
			newest, leader = line, p
		}
	}
	return leader
}

func domainName(domain int) string { return string(rune('a' + domain)) }

// crashDomain ends all workers of a failure domain without notice. Their peers notice it at once, if the connections are
// closed, or only when the workers are back.
func (f *fleet) crashDomain(domain int, closes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.domain != domain {
			continue
		}
		w.link.set(linkCut)
		w.reset(time.Now(), closes)
		w.dark = true
	}
}

// startDomain starts new incarnations of the workers of a failure domain that have crashed.
func (f *fleet) startDomain(domain int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.domain == domain {
			w.link.refuseWaiting()
			w.reset(time.Now(), false)
			w.dark, w.restarted = false, true
			w.link.set(linkUp)
		}
	}
}

func (f *fleet) setLinks(domain int, state linkState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.domain == domain {
			w.link.set(state)
		}
	}
}

// nextStart returns a channel that is closed when a worker that has restarted next begins a run.
func (f *fleet) nextStart() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onStart = make(chan struct{})
	return f.onStart
}
