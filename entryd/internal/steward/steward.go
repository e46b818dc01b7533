// Package steward runs the one thread that owns an entry process's control state: the configuration, the leases on
// targets, and whether requests may be taken.
package steward

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"
	"flamingodrift.example/entryd/internal/locator"
	"flamingodrift.example/entryd/internal/roster"

	"flamingodrift.example/core/clock"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Config holds what a Steward needs.
type Config struct {
	Name, Boot, Address, FailureDomain string
	Beat                               time.Duration
	// Currency is how long a configuration counts as current after it was confirmed.
	Currency   time.Duration
	Clock      clock.Clock
	Locator    *locator.Locator
	Dispatcher *dispatcher.Dispatcher
	Roster     *roster.Roster
	Logger     *slog.Logger
}

// State is a published copy of the control state. It must not be changed.
type State struct {
	// CurrentUntil is when the configuration stops counting as current.
	CurrentUntil time.Duration
	Config       *wire.Config
	Services     map[string]*wire.Service
	Peers        []*wire.PeerLoad
	Leaving      bool
}

// Steward publishes the control state of an entry process.
type Steward struct {
	cfg     Config
	state   atomic.Pointer[State]
	leaving atomic.Bool
	hurry   chan struct{}

	// Owned by the control thread.
	config           *wire.Config
	currentUntil     time.Duration
	peers            []*wire.PeerLoad
	ownershipVersion uint64
	wasCurrent       bool
}

// New returns a Steward that is not current.
func New(cfg Config) *Steward {
	s := &Steward{cfg: cfg, config: &wire.Config{}, hurry: make(chan struct{}, 1)}
	s.publish()
	return s
}

// State returns the latest published state.
func (s *Steward) State() *State { return s.state.Load() }

// Current returns None when requests may be taken, or why not.
func (s *Steward) Current(now time.Duration) reason.Reason {
	if now < s.State().CurrentUntil {
		return reason.None
	}
	return reason.NotCurrent
}

// Leave tells the leader, with the next beat, that this process gets no more targets and lets go of its own.
func (s *Steward) Leave() {
	s.leaving.Store(true)
	s.Hurry()
}

// Hurry sends the next beat at once.
func (s *Steward) Hurry() {
	select {
	case s.hurry <- struct{}{}:
	default:
	}
}

// Run sends beats until the context ends.
func (s *Steward) Run(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.Beat)
	defer ticker.Stop()
	for {
		s.beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.hurry:
		}
	}
}

func (s *Steward) beat(ctx context.Context) {
	request := &wire.BeatRequest{
		Entry: s.cfg.Name, Boot: s.cfg.Boot, Address: s.cfg.Address, FailureDomain: s.cfg.FailureDomain,
		ConfigRevision: s.config.GetRevision(), OwnershipVersion: s.ownershipVersion, Leaving: s.leaving.Load(),
		Owned: s.cfg.Dispatcher.Owned(), Loads: s.cfg.Dispatcher.Loads(),
	}
	restore := s.cfg.Roster.Collect(request)
	ctx, cancel := context.WithTimeout(ctx, max(s.cfg.Beat, time.Second))
	defer cancel()
	// The lease and the confirmation count from before the beat was sent.
	sentAt := s.cfg.Clock.Now()
	reply, err := s.cfg.Locator.Call(ctx, &wire.Request{Body: &wire.Request_Beat{Beat: request}})
	if err != nil || reply.GetBeat() == nil {
		restore()
		s.publish()
		return
	}
	s.take(reply.GetBeat(), sentAt)
	s.publish()
}

func (s *Steward) take(reply *wire.BeatReply, sentAt time.Duration) {
	// A lower revision can only come from a node that has not caught up; it is never taken over.
	if config := reply.GetConfig(); config.GetRevision() > s.config.GetRevision() {
		s.config = config
		logger.ConfigReceived.Log(s.cfg.Logger, "revision", config.GetRevision())
	}
	if s.config.GetRevision() == reply.GetConfigRevision() {
		s.currentUntil = sentAt + s.cfg.Currency
	}
	s.cfg.Dispatcher.Renew(sentAt + time.Duration(reply.GetLeaseMs())*time.Millisecond)
	if reply.GetOwnershipChanged() {
		s.cfg.Dispatcher.Update(reply.GetOwned())
		s.ownershipVersion = reply.GetOwnershipVersion()
	}
	s.peers = reply.GetPeers()
	s.cfg.Roster.Resend(reply.GetUnknownTargets())
}

func (s *Steward) publish() {
	state := &State{
		CurrentUntil: s.currentUntil, Config: s.config, Peers: s.peers, Leaving: s.leaving.Load(),
		Services: make(map[string]*wire.Service, len(s.config.GetServices())),
	}
	for _, service := range s.config.GetServices() {
		state.Services[service.GetName()] = service
	}
	s.state.Store(state)
	current := s.cfg.Clock.Now() < s.currentUntil
	switch {
	case current && !s.wasCurrent:
		logger.BecameCurrent.Log(s.cfg.Logger, "revision", s.config.GetRevision())
	case !current && s.wasCurrent:
		logger.BecameOutdated.Log(s.cfg.Logger, "revision", s.config.GetRevision())
	}
	s.wasCurrent = current
}
