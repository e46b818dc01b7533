// Package heartbeater runs the one thread that owns an entry process's control state: the configuration, the leases on
// targets, and whether requests may be taken.
package heartbeater

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"flamingodrift.example/entryd/internal/collector"
	"flamingodrift.example/entryd/internal/dispatcher"

	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Clock reads the monotonic time that leases are measured with.
type Clock interface {
	Now() time.Duration
}

// Leader calls the leading controld process.
type Leader interface {
	Call(ctx context.Context, request *wire.Request) (*wire.Reply, error)
}

// Config holds what a Heartbeater needs.
type Config struct {
	Name, Boot, Address, FailureDomain string
	BeatInterval                       time.Duration
	// ConfigValidity is how long a configuration counts as current after it was confirmed.
	ConfigValidity time.Duration
	Clock          Clock
	Leader         Leader
	Dispatcher     *dispatcher.Dispatcher
	Collector      *collector.Collector
	Logger         *slog.Logger
}

// State is a published copy of the control state. It must not be changed.
type State struct {
	// CurrentUntil is when the configuration stops counting as current.
	CurrentUntil time.Duration
	Config       *wire.Config
	Services     map[string]*wire.Service
	// Peers lists the other entry processes; PeersVersion counts the replies that renewed it.
	Peers        []*wire.PeerLoad
	PeersVersion uint64
	Leaving      bool
}

// Heartbeater publishes the control state of an entry process.
type Heartbeater struct {
	cfg     Config
	state   atomic.Pointer[State]
	leaving atomic.Bool
	wake    chan struct{}

	// Owned by the control thread.
	config           *wire.Config
	currentUntil     time.Duration
	peers            []*wire.PeerLoad
	round            uint64
	ownershipVersion uint64
	session          uint64
	stampMs          uint64
	full             bool
	// listed is what the last answered beat said about targets.
	listed     *listing
	wasCurrent bool
}

// New returns a Heartbeater that is not current.
func New(cfg Config) *Heartbeater {
	s := &Heartbeater{cfg: cfg, config: &wire.Config{}, wake: make(chan struct{}, 1)}
	s.publish()
	return s
}

// State returns the latest published state.
func (s *Heartbeater) State() *State { return s.state.Load() }

// RefusalReason returns None when requests may be taken, or why not.
func (s *Heartbeater) RefusalReason(now time.Duration) reason.Reason {
	if now < s.State().CurrentUntil {
		return reason.None
	}
	return reason.NotCurrent
}

// Leave tells the leader, with the next beat, that this process gets no more targets and releases its own.
func (s *Heartbeater) Leave() {
	s.leaving.Store(true)
	s.BeatNow()
}

// BeatNow sends the next beat at once.
func (s *Heartbeater) BeatNow() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run sends beats until the context ends.
func (s *Heartbeater) Run(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.BeatInterval)
	defer ticker.Stop()
	for {
		s.Beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.wake:
		}
	}
}

// SendLastBeat sends the last beat, after Run has returned: no target is used any more, so the leader gives them to
// others without waiting for the lease. Requests must have ended. When no leader answers, the lease runs out.
func (s *Heartbeater) SendLastBeat(ctx context.Context) error {
	s.cfg.Dispatcher.ApplyGrant(dispatcher.Grant{Changed: true})
	request := s.request()
	request.Leaving, request.Ended = true, true
	_, err := s.cfg.Leader.Call(ctx, &wire.Request{Body: &wire.Request_Beat{Beat: request}})
	return err
}
