// Package steward runs the one thread that owns an entry process's control state: the configuration, the leases on
// targets, and whether requests may be taken.
package steward

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"
	"flamingodrift.example/entryd/internal/roster"

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

// Config holds what a Steward needs.
type Config struct {
	Name, Boot, Address, FailureDomain string
	Beat                               time.Duration
	// Currency is how long a configuration counts as current after it was confirmed.
	Currency   time.Duration
	Clock      Clock
	Leader     Leader
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
	// Peers lists the other entry processes; Round counts the replies that renewed it.
	Peers   []*wire.PeerLoad
	Round   uint64
	Leaving bool
}

// Steward publishes the control state of an entry process.
type Steward struct {
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

// New returns a Steward that is not current.
func New(cfg Config) *Steward {
	s := &Steward{cfg: cfg, config: &wire.Config{}, wake: make(chan struct{}, 1)}
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

// Leave tells the leader, with the next beat, that this process gets no more targets and releases its own.
func (s *Steward) Leave() {
	s.leaving.Store(true)
	s.BeatNow()
}

// BeatNow sends the next beat at once.
func (s *Steward) BeatNow() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run sends beats until the context ends.
func (s *Steward) Run(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.Beat)
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

// End sends the last beat, after Run has returned: no target is used any more, so the leader gives them to others
// without waiting for the lease. Requests must have ended. When no leader answers, the lease runs out.
func (s *Steward) End(ctx context.Context) error {
	s.cfg.Dispatcher.Take(dispatcher.Grant{Changed: true})
	request := s.request()
	request.Leaving, request.Ended = true, true
	_, err := s.cfg.Leader.Call(ctx, &wire.Request{Body: &wire.Request_Beat{Beat: request}})
	return err
}
