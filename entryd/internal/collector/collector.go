// Package collector collects announcements of targets until the next heartbeat carries them to the leader.
package collector

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/bodylimiter"
	"flamingodrift.example/core/wire"
)

const (
	maxBodyBytes = 16 << 10
	maxNameBytes = 128
	maxSlots     = 4_096
	maxTargets   = 4_096
)

// Clock reads the monotonic time.
type Clock interface {
	Now() time.Duration
}

// Config configures a Collector.
type Config struct {
	// AnnounceInterval is how often targets are asked to announce themselves.
	AnnounceInterval time.Duration
	Clock            Clock
	// OnLeaving is called at once when a target announces that it leaves.
	OnLeaving func(target, boot string)
}

// Collector keeps the newest announcement of each target. It is safe for concurrent use.
type Collector struct {
	cfg Config

	mu      sync.Mutex
	targets map[string]*record
	changed map[string]bool
	renewed map[string]bool
	// watched has the targets whose number of busy slots the leader needs in each heartbeat.
	watched map[string]bool
}

// record is the newest announcement of a target and its time of arrival.
type record struct {
	state      *wire.TargetState
	receivedAt time.Duration
}

// maxAnnouncementAge is the age up to which an announcement is sent to the leader; an older one is no proof that the
// target is still alive.
const maxAnnouncementAge = 4 * time.Second

// New returns an empty Collector.
func New(cfg Config) *Collector {
	return &Collector{cfg: cfg, targets: map[string]*record{}, changed: map[string]bool{}, renewed: map[string]bool{}}
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

// ServeHTTP accepts an announcement.
func (c *Collector) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	data, err := bodylimiter.ReadAll(w, request, maxBodyBytes)
	if status := bodylimiter.Status(w, err); status != 0 {
		http.Error(w, err.Error(), status)
		return
	}
	a := &announcement{}
	if err == nil {
		err = json.NewDecoder(bytes.NewReader(data)).Decode(a)
	}
	if err == nil {
		err = a.check()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !c.store(a) {
		http.Error(w, "too many targets", http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the target has disconnected; it will announce itself again.
	_ = json.NewEncoder(w).Encode(map[string]int64{"renew_ms": c.cfg.AnnounceInterval.Milliseconds()})
}

func (c *Collector) store(a *announcement) bool {
	state := &wire.TargetState{
		Target: a.Target, Service: a.Service, Address: a.Address, Slots: a.Slots, Connections: a.Connections,
		Busy: a.Busy, Leaving: a.Leaving, Boot: a.Boot,
	}
	if a.Leaving {
		c.cfg.OnLeaving(a.Target, a.Boot)
	}
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.targets[a.Target]
	if old == nil && len(c.targets) >= maxTargets && !c.evictExpired(now) {
		return false
	}
	c.targets[a.Target] = &record{state: state, receivedAt: now}
	if old != nil && equalExceptBusy(old.state, state) {
		c.renewed[a.Target] = true
	} else {
		c.changed[a.Target] = true
	}
	return true
}

// equalExceptBusy compares two announcements without the number of busy slots, which changes with each announcement and
// matters only for targets that the leader watches.
func equalExceptBusy(old, state *wire.TargetState) bool {
	compared := proto.Clone(old).(*wire.TargetState)
	compared.Busy = state.GetBusy()
	return proto.Equal(compared, state)
}

// evictExpired removes the targets whose newest announcement is older than maxAnnouncementAge and reports whether there
// were any.
func (c *Collector) evictExpired(now time.Duration) bool {
	removed := false
	for name, rec := range c.targets {
		if now-rec.receivedAt > maxAnnouncementAge {
			delete(c.targets, name)
			removed = true
		}
	}
	return removed
}

// Collect adds the announcements since the last heartbeat to a heartbeat, or all unexpired ones to a full heartbeat.
// The returned function marks them as unsent again; call it if the heartbeat is not answered.
func (c *Collector) Collect(beat *wire.BeatRequest) (restore func()) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	changed, renewed := c.changed, c.renewed
	c.changed, c.renewed = map[string]bool{}, map[string]bool{}
	for name, rec := range c.targets {
		age := now - rec.receivedAt
		switch {
		case age > maxAnnouncementAge:
		case beat.GetFull() || changed[name] || renewed[name] && c.watched[name]:
			state := proto.Clone(rec.state).(*wire.TargetState)
			state.AgeMs = uint32(age.Milliseconds())
			beat.Targets = append(beat.Targets, state)
		case renewed[name]:
			beat.Renewed = append(beat.Renewed, name)
		}
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for name := range changed {
			c.changed[name] = true
		}
		for name := range renewed {
			c.renewed[name] = true
		}
	}
}

// ApplyReply stores the leader's requests from a heartbeat's reply: unknown lists the targets whose full announcements
// it needs in the next heartbeat, watched those whose busy slots it needs in each heartbeat.
func (c *Collector) ApplyReply(unknown, watched []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range unknown {
		if c.targets[name] != nil {
			c.changed[name] = true
		}
	}
	c.watched = make(map[string]bool, len(watched))
	for _, name := range watched {
		c.watched[name] = true
	}
}
