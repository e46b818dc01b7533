// Package heartbeater sends an entry process's heartbeats to the leader. Its control goroutine is the only one that
// changes the control state: the configuration, the lease on targets, and whether requests may be accepted.
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

// Config configures a Heartbeater.
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

// State is an immutable snapshot of the control state.
type State struct {
	// CurrentUntil is the monotonic time at which the configuration stops counting as current.
	CurrentUntil time.Duration
	Config       *wire.Config
	Services     map[string]*wire.Service
	// Peers lists the other entry processes; PeersVersion is incremented with each reply that replaces it.
	Peers        []*wire.PeerLoad
	PeersVersion uint64
	Leaving      bool
}

// Heartbeater sends the heartbeats of an entry process and publishes its control state.
type Heartbeater struct {
	cfg     Config
	state   atomic.Pointer[State]
	leaving atomic.Bool
	wake    chan struct{}

	// The fields below are accessed by the control goroutine only.
	config           *wire.Config
	currentUntil     time.Duration
	peers            []*wire.PeerLoad
	peersVersion     uint64
	ownershipVersion uint64
	session          uint64
	stampMs          uint64
	full             bool
	// answeredOwnership is what the last answered heartbeat stated about owned targets.
	answeredOwnership *ownership
	wasCurrent        bool
}

// New returns a Heartbeater without a current configuration.
func New(cfg Config) *Heartbeater {
	h := &Heartbeater{cfg: cfg, config: &wire.Config{}, wake: make(chan struct{}, 1)}
	h.publish()
	return h
}

// State returns the latest published state.
func (h *Heartbeater) State() *State { return h.state.Load() }

// RefusalReason returns why requests must be refused, or None if they may be accepted.
func (h *Heartbeater) RefusalReason(now time.Duration) reason.Reason {
	if now < h.State().CurrentUntil {
		return reason.None
	}
	return reason.NotCurrent
}

// Leave tells the leader, in the next heartbeat, that this process wants no more targets and releases its own.
func (h *Heartbeater) Leave() {
	h.leaving.Store(true)
	h.BeatNow()
}

// BeatNow makes Run send the next heartbeat without waiting for the interval.
func (h *Heartbeater) BeatNow() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Run sends heartbeats until the context ends.
func (h *Heartbeater) Run(ctx context.Context) {
	ticker := time.NewTicker(h.cfg.BeatInterval)
	defer ticker.Stop()
	for {
		h.Beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.wake:
		}
	}
}

// SendLastBeat sends the final heartbeat. It releases all targets, so that the leader can grant them to other entry
// processes without waiting for the lease to end. Call it after Run has returned and all requests have ended. When no
// leader answers, the lease runs out.
func (h *Heartbeater) SendLastBeat(ctx context.Context) error {
	h.cfg.Dispatcher.ApplyGrant(dispatcher.Grant{Changed: true})
	request := h.newRequest()
	request.Leaving, request.Ended = true, true
	_, err := h.cfg.Leader.Call(ctx, &wire.Request{Body: &wire.Request_Beat{Beat: request}})
	return err
}
