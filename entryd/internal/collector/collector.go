// Package collector collects the announcements of targets until the next beat carries them to the leader.
package collector

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

const (
	maxBodyBytes = 16 << 10
	maxNameBytes = 128
	maxSlots     = 4_096
	maxTargets   = 4_096
)

// Clock reads monotonic time.
type Clock interface {
	Now() time.Duration
}

// Config holds what a Collector needs.
type Config struct {
	// AnnounceInterval is how often targets are asked to announce themselves.
	AnnounceInterval time.Duration
	Clock            Clock
	// OnLeaving is called at once when a target announces that it leaves.
	OnLeaving func(target, boot string)
}

// Collector is safe for concurrent use.
type Collector struct {
	cfg Config

	mu      sync.Mutex
	known   map[string]*heard
	changed map[string]bool
	renewed map[string]bool
	// watched lists targets whose busy slots the leader needs.
	watched map[string]bool
}

// heard is the newest announcement of a target and when it arrived.
type heard struct {
	state *wire.TargetState
	at    time.Duration
}

// maxAge is how old an announcement may be to be passed on; an older one proves nothing about the target any more.
const maxAge = 4 * time.Second

// New returns an empty Collector.
func New(cfg Config) *Collector {
	return &Collector{cfg: cfg, known: map[string]*heard{}, changed: map[string]bool{}, renewed: map[string]bool{}}
}

// announcement is the body of POST /platform/v1/targets/announce.
type announcement struct {
	Target      string `json:"target"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
	Busy        uint32 `json:"busy"`
	Leaving     bool   `json:"leaving"`
	Boot        string `json:"boot"`
}

func (a *announcement) check() error {
	for _, name := range []string{a.Target, a.Service, a.Boot} {
		if name == "" || len(name) > maxNameBytes {
			return fmt.Errorf("target, service and boot must have 1 to %d bytes", maxNameBytes)
		}
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return errors.New("address must be an IP number and a port")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return fmt.Errorf("slots must be 1 to %d", maxSlots)
	}
	return nil
}

// ServeHTTP takes an announcement.
func (r *Collector) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	a := &announcement{}
	err := json.NewDecoder(io.LimitReader(request.Body, maxBodyBytes)).Decode(a)
	if err == nil {
		err = a.check()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !r.take(a) {
		http.Error(w, "too many targets", http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The target has gone if this fails; it announces itself again.
	_ = json.NewEncoder(w).Encode(map[string]int64{"renew_ms": r.cfg.AnnounceInterval.Milliseconds()})
}

func (r *Collector) take(a *announcement) bool {
	state := &wire.TargetState{
		Target: a.Target, Service: a.Service, Address: a.Address, Slots: a.Slots, Connections: a.Connections,
		Busy: a.Busy, Leaving: a.Leaving, Boot: a.Boot,
	}
	if a.Leaving {
		r.cfg.OnLeaving(a.Target, a.Boot)
	}
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.known[a.Target]
	if old == nil && len(r.known) >= maxTargets && !r.removeOld(now) {
		return false
	}
	r.known[a.Target] = &heard{state: state, at: now}
	if old != nil && sameButBusy(old.state, state) {
		r.renewed[a.Target] = true
	} else {
		r.changed[a.Target] = true
	}
	return true
}

// sameButBusy ignores the number of busy slots, which changes with each announcement and matters only for targets that
// the leader watches.
func sameButBusy(old, state *wire.TargetState) bool {
	compared := proto.Clone(old).(*wire.TargetState)
	compared.Busy = state.GetBusy()
	return proto.Equal(compared, state)
}

// removeOld forgets targets that have not announced themselves here for long and reports whether there were any.
func (r *Collector) removeOld(now time.Duration) bool {
	removed := false
	for name, h := range r.known {
		if now-h.at > maxAge {
			delete(r.known, name)
			removed = true
		}
	}
	return removed
}

// Collect adds the announcements since the last beat, or all recent ones for a full beat, to a beat. It returns a
// function that puts them back if the beat is not answered.
func (r *Collector) Collect(beat *wire.BeatRequest) (restore func()) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, renewed := r.changed, r.renewed
	r.changed, r.renewed = map[string]bool{}, map[string]bool{}
	for name, h := range r.known {
		age := now - h.at
		switch {
		case age > maxAge:
		case beat.GetFull() || changed[name] || renewed[name] && r.watched[name]:
			state := proto.Clone(h.state).(*wire.TargetState)
			state.AgeMs = uint32(age.Milliseconds())
			beat.Targets = append(beat.Targets, state)
		case renewed[name]:
			beat.Renewed = append(beat.Renewed, name)
		}
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for name := range changed {
			r.changed[name] = true
		}
		for name := range renewed {
			r.renewed[name] = true
		}
	}
}

// ApplyReply takes what the leader asks for: the full announcements of targets that it does not know, in the next beat,
// and the targets whose busy slots it needs in each beat.
func (r *Collector) ApplyReply(unknown, watched []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range unknown {
		if r.known[name] != nil {
			r.changed[name] = true
		}
	}
	r.watched = make(map[string]bool, len(watched))
	for _, name := range watched {
		r.watched[name] = true
	}
}
