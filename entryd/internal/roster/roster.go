// Package roster collects the announcements of targets until the next beat carries them to the leader.
package roster

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

const (
	maxBodyBytes = 16 << 10
	maxNameBytes = 128
	maxSlots     = 4_096
	maxTargets   = 4_096
)

// Roster is safe for concurrent use.
type Roster struct {
	renewMs int

	mu      sync.Mutex
	known   map[string]*wire.TargetState
	changed map[string]bool
	renewed map[string]bool
}

// New returns an empty Roster that asks targets to announce themselves every renewMs milliseconds.
func New(renewMs int) *Roster {
	return &Roster{
		renewMs: renewMs, known: map[string]*wire.TargetState{}, changed: map[string]bool{}, renewed: map[string]bool{},
	}
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
func (r *Roster) ServeHTTP(w http.ResponseWriter, request *http.Request) {
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
	_ = json.NewEncoder(w).Encode(map[string]int{"renew_ms": r.renewMs})
}

func (r *Roster) take(a *announcement) bool {
	state := &wire.TargetState{
		Target: a.Target, Service: a.Service, Address: a.Address, Slots: a.Slots, Connections: a.Connections,
		Busy: a.Busy, Leaving: a.Leaving, Boot: a.Boot,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.known[a.Target]
	if old == nil && len(r.known) >= maxTargets {
		return false
	}
	r.known[a.Target] = state
	if old != nil && proto.Equal(old, state) {
		r.renewed[a.Target] = true
	} else {
		r.changed[a.Target] = true
	}
	return true
}

// Collect adds the announcements since the last beat to a beat and returns a function that puts them back if the beat
// is not answered.
func (r *Roster) Collect(beat *wire.BeatRequest) (restore func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, renewed := r.changed, r.renewed
	r.changed, r.renewed = map[string]bool{}, map[string]bool{}
	for name := range changed {
		beat.Targets = append(beat.Targets, r.known[name])
		delete(renewed, name)
	}
	for name := range renewed {
		beat.Renewed = append(beat.Renewed, name)
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

// Resend includes the full announcements of targets that the leader does not know in the next beat.
func (r *Roster) Resend(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		if r.known[name] != nil {
			r.changed[name] = true
		}
	}
}

// Leaving reports whether a target announced here that it leaves.
func (r *Roster) Leaving(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[name].GetLeaving()
}
