// Package soaker runs the daemons of a cell with queues as separate processes on loopback addresses, injects faults from
// outside them, and checks the promises to callers from what callers, operators and workers see.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"flamingodrift.example/core/wire"
	"flamingodrift.example/platform/callerclient"
	"flamingodrift.example/standin/internal/relay"
)

const (
	sessionPort = 7101
	relayPort   = 8101
	queuePort   = 7103
	callerPort  = 7201
	formLimit   = 30 * time.Second
	healLimit   = 60 * time.Second
	beatPause   = 500 * time.Millisecond
	jobPause    = 60 * time.Millisecond
	configPause = 700 * time.Millisecond
	// applyLimit is how long after its acknowledgement a configuration may still be read as an older one.
	applyLimit  = 2 * time.Second
	callTimeout = 2 * time.Second
	stopLimit   = 15 * time.Second
	mostTries   = 40
	// cancelShare is the inverse of the share of jobs that are canceled.
	cancelShare = 20
)

// Config describes a soak.
type Config struct {
	// Programs is the folder that holds the built programs.
	Programs string
	// Folder takes settings, data and logs.
	Folder string
	// Seed decides on the faults.
	Seed     uint64
	Length   time.Duration
	Controls int
	Fronts   int
	Workers  int
}

// Report is what a soak saw.
type Report struct {
	Accepted, Refused, Completed int
	Faults                       []string
	// Violations are broken promises; empty when all were kept.
	Violations []string
}

// Soaker runs one soak.
type Soaker struct {
	cfg  Config
	rand *rand.Rand
	// harms draws what happens to connections, so that the draws of other faults stay as they are.
	harms    *rand.Rand
	subnet   string
	began    time.Time
	controls []*process
	fronts   []*process
	relays   []*relay.Relay
	fleet    *fleet
	client   *callerclient.Client
	wait     sync.WaitGroup
	// submits counts jobs whose fate is not known yet.
	submits sync.WaitGroup

	mu       sync.Mutex
	cuts     map[[2]string]bool
	accepted map[string]bool
	refused  map[string]bool
	version  uint64
	// acked are versions with the times of their first acknowledgement.
	acked  map[uint64]time.Time
	report Report
}

// New returns a Soaker. Nothing runs yet.
func New(cfg Config) *Soaker {
	return &Soaker{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), harms: rand.New(rand.NewPCG(cfg.Seed, 3)), client: callerclient.New(), cuts: map[[2]string]bool{},
		accepted: map[string]bool{}, refused: map[string]bool{}, acked: map[uint64]time.Time{},
	}
}

// Run starts the cell, loads it and injects faults for the configured time, heals everything and checks that every
// accepted job completes. Errors are those of the soak itself.
func (s *Soaker) Run(ctx context.Context) (Report, error) {
	s.began = time.Now()
	if err := s.assemble(); err != nil {
		return s.report, err
	}
	defer s.end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.fleet.pulse(ctx)
	s.background(ctx, beatPause, s.beat)
	if !s.until(formLimit, func() bool { return s.configure(ctx) }) {
		return s.report, fmt.Errorf("the cell did not form within %v", formLimit)
	}
	loading, stopLoad := context.WithCancel(ctx)
	s.background(loading, jobPause, s.submit)
	s.background(loading, operatorPause, func(ctx context.Context) { s.askQueues(ctx) })
	s.background(loading, configPause, func(ctx context.Context) { s.configure(ctx); s.readConfig(ctx) })
	harm, endHarm := context.WithCancel(ctx)
	harmed := make(chan struct{})
	go func() {
		defer close(harmed)
		s.harmConnections(harm)
	}()
	s.injectFaults(ctx)
	endHarm()
	<-harmed
	stopLoad()
	s.heal()
	s.submits.Wait()
	s.settle(ctx)
	cancel()
	s.wait.Wait()
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.report.Violations = append(s.report.Violations, s.fleet.violations...)
	for id := range s.refused {
		if s.fleet.started[id] {
			s.violate("job %s was refused each time and has started", id)
		}
	}
	s.report.Accepted, s.report.Refused = len(s.accepted), len(s.refused)
	return s.report, nil
}

func (s *Soaker) assemble() error {
	var err error
	for range 100 {
		s.subnet = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		if s.fleet, err = newFleet(s.cfg.Seed, s.subnet, s.cfg.Workers); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	if err := s.fleet.serveConsent(s.consentAddress()); err != nil {
		return err
	}
	if err := os.WriteFile(s.tokenFile(), []byte(operatorToken), 0o600); err != nil {
		return fmt.Errorf("write the operator's token: %w", err)
	}
	var seeds []string
	for i := range min(3, s.cfg.Controls) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip(i), queuePort))
	}
	for i := range s.cfg.Controls {
		if err := s.addControl(i, seeds); err != nil {
			return err
		}
	}
	for i := range s.cfg.Fronts {
		ip := s.ip(40 + i)
		s.fronts = append(s.fronts, &process{
			name: fmt.Sprintf("front-%d", i), program: "frontd", programs: s.cfg.Programs, folder: s.cfg.Folder,
			settings: map[string]any{
				"name": fmt.Sprintf("front-%d", i), "address": fmt.Sprintf("%s:%d", ip, relayPort),
				"caller_address": s.front(i), "ready_address": ip + ":7202", "metrics_address": s.metrics(i), "seeds": seeds,
				"cell_token": "token-of-the-soak", "notice_ms": 300, "consent_address": s.consentAddress(),
				"operators": []any{map[string]any{"name": "soak", "token": operatorToken}},
			},
		})
	}
	for _, p := range append(append([]*process(nil), s.controls...), s.fronts...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range s.controls {
		// Only the first start forms the group.
		p.settings["first_start"] = false
	}
	return nil
}

func (s *Soaker) addControl(i int, seeds []string) error {
	ip := s.ip(i)
	p := &process{
		name: fmt.Sprintf("control-%d", i), program: "controld", programs: s.cfg.Programs, folder: s.cfg.Folder,
		settings: map[string]any{
			"name": fmt.Sprintf("control-%d", i), "failure_domain": "a", "address": fmt.Sprintf("%s:%d", ip, sessionPort),
			"advertise_address": fmt.Sprintf("%s:%d", ip, relayPort), "health_address": ip + ":7102",
			"seeds": seeds, "first_start": true, "cell_token": "token-of-the-soak", "heartbeat_ms": 100,
			"election_min_ms": 600, "election_max_ms": 1000, "voters": s.cfg.Controls, "memory_limit_mb": 64,
			"queues": map[string]any{
				"address": s.control(i), "consent_address": s.consentAddress(), "longest_lease_ms": longestHold.Milliseconds(),
				"lost_disks": (s.cfg.Controls - 1) / 2,
			},
		},
	}
	p.settings["data_folder"] = p.dataFolder()
	s.controls = append(s.controls, p)
	r, err := relay.Start(fmt.Sprintf("%s:%d", ip, relayPort), fmt.Sprintf("%s:%d", ip, sessionPort), s.isCut)
	if err != nil {
		return fmt.Errorf("start relay: %w", err)
	}
	s.relays = append(s.relays, r)
	return nil
}

func (s *Soaker) consentAddress() string { return s.subnet + ".90:8001" }

func (s *Soaker) ip(i int) string { return fmt.Sprintf("%s.%d", s.subnet, 11+i) }

func (s *Soaker) control(i int) string { return fmt.Sprintf("%s:%d", s.ip(i), queuePort) }

func (s *Soaker) front(i int) string { return fmt.Sprintf("%s:%d", s.ip(40+i), callerPort) }

// isCut reports whether bytes between two IP numbers are held back now.
func (s *Soaker) isCut(from, to string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts[[2]string{from, to}]
}

// end ends the processes that this soak started, by their ids.
func (s *Soaker) end() {
	for _, p := range append(append([]*process(nil), s.controls...), s.fronts...) {
		p.kill()
	}
	for _, r := range s.relays {
		_ = r.Close()
	}
	s.fleet.close()
}

func (s *Soaker) background(ctx context.Context, pause time.Duration, do func(context.Context)) {
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		ticker := time.NewTicker(pause)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				do(ctx)
			}
		}
	}()
}

func (s *Soaker) until(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

func (s *Soaker) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("%.3f s: ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...)
	s.report.Violations = append(s.report.Violations, text)
}

// beat lets each worker report itself at any control process until one acknowledges it.
func (s *Soaker) beat(ctx context.Context) {
	for _, w := range s.fleet.workers {
		for _, i := range rand.Perm(s.cfg.Controls) {
			call, cancel := context.WithTimeout(ctx, time.Second)
			status := s.client.Report(call, s.control(i), w.life())
			cancel()
			if status == 200 || ctx.Err() != nil {
				break
			}
		}
	}
}

const (
	queueHost   = "soak.example"
	queuePrefix = "/soak/"
)

// submit hands a job in and sends it again, at any front, until its fate is known.
func (s *Soaker) submit(ctx context.Context) {
	s.submits.Add(1)
	go func() {
		defer s.submits.Done()
		id := fmt.Sprintf("%016x", rand.Uint64())
		step := &wire.JobStep{Count: uint32(1 + rand.IntN(3)), CpuMillis: 1000, EstimateMs: 300, Gang: rand.IntN(4) == 0}
		onlyRefused := true
		for range mostTries {
			call, cancel := context.WithTimeout(context.Background(), callTimeout)
			status := s.client.Submit(call, s.front(rand.IntN(s.cfg.Fronts)), queueHost, queuePrefix, id, step)
			cancel()
			switch status {
			case 200:
				s.mu.Lock()
				s.accepted[id] = true
				s.mu.Unlock()
				if rand.IntN(cancelShare) == 0 {
					s.cancel(id)
				}
				return
			case 503, 429:
				if onlyRefused && ctx.Err() != nil {
					s.mu.Lock()
					s.refused[id] = true
					s.mu.Unlock()
					return
				}
			default:
				onlyRefused = false
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// cancel cancels an accepted job at any front until that is acknowledged.
func (s *Soaker) cancel(id string) {
	for range mostTries {
		call, cancel := context.WithTimeout(context.Background(), callTimeout)
		status := s.client.Cancel(call, s.front(rand.IntN(s.cfg.Fronts)), queueHost, queuePrefix, id)
		cancel()
		if status == 200 {
			s.fleet.mu.Lock()
			s.fleet.canceled[id] = time.Now()
			s.fleet.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// configure sends the next version to some control process and reports whether it was acknowledged.
func (s *Soaker) configure(ctx context.Context) bool {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status := s.client.Configure(call, s.control(rand.IntN(s.cfg.Controls)), version, &wire.Queue{
		Name: "soak", Host: queueHost, Prefix: queuePrefix, Pool: "pool", Attempts: 3, Stretch: 2, AllowanceMs: 60_000, TimeoutMs: 3000,
		Consent: &wire.ConsentPolicy{CallMs: 1, WorkerMs: 0.1, ValidMs: uint32(ticketLength.Milliseconds())},
	})
	if status != 200 {
		return false
	}
	s.mu.Lock()
	s.acked[version] = time.Now()
	s.mu.Unlock()
	return true
}

// readConfig checks that no process tells an older configuration than one acknowledged some time before.
func (s *Soaker) readConfig(ctx context.Context) {
	sent := time.Now()
	i := rand.IntN(s.cfg.Controls)
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, ok := s.client.Version(call, s.control(i))
	if !ok {
		return
	}
	s.mu.Lock()
	newest := uint64(0)
	for acked, at := range s.acked {
		if sent.Sub(at) > applyLimit {
			newest = max(newest, acked)
		}
	}
	s.mu.Unlock()
	if version < newest {
		s.violate("control-%d tells version %d after %d was acknowledged", i, version, newest)
	}
}

func (s *Soaker) wasCanceled(id string) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	_, ok := s.fleet.canceled[id]
	return ok
}

// settle waits for all accepted jobs and checks what is told in the end.
func (s *Soaker) settle(ctx context.Context) {
	s.mu.Lock()
	open := make(map[string]bool, len(s.accepted))
	for id := range s.accepted {
		open[id] = true
	}
	s.mu.Unlock()
	s.until(healLimit, func() bool {
		for id := range open {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			state, status := s.client.State(call, s.front(rand.IntN(s.cfg.Fronts)), queueHost, queuePrefix, id)
			cancel()
			switch {
			case state == "completed", state == "canceled" && s.wasCanceled(id):
				delete(open, id)
				s.report.Completed++
			case status == 410:
				s.violate("accepted job %s is not known", id)
				delete(open, id)
			}
		}
		return len(open) == 0
	})
	for id := range open {
		s.violate("accepted job %s is not completed", id)
	}
	if len(open) == 0 {
		s.checkQueuesEmpty(ctx)
	}
	s.readConfig(ctx)
}
