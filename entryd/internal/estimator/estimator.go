// Package estimator estimates the free slots of other entry processes between two heartbeats.
package estimator

import (
	"sync"
	"time"

	"flamingodrift.example/entryd/internal/router"

	"flamingodrift.example/core/wire"
)

// AskInterval is the minimum time between two requests to a peer that seems full. Its slots may become free between two
// heartbeats, but if every waiting request asked every peer, messages would grow with the overload.
const AskInterval = 100 * time.Millisecond

// peerService identifies a service at a peer.
type peerService struct {
	address, service string
}

// estimate is the estimated number of free slots, and when the peer was last picked.
type estimate struct {
	free     int
	pickedAt time.Duration
}

// Estimator keeps, for each peer and service, the number of free slots that the peer last stated, less the requests
// sent since. It is safe for concurrent use.
type Estimator struct {
	mu           sync.Mutex
	peersVersion uint64
	peers        []string
	estimates    map[peerService]*estimate
}

// New returns an empty Estimator.
func New() *Estimator { return &Estimator{estimates: map[peerService]*estimate{}} }

// Refresh replaces all peers and estimates with the loads of a heartbeat's reply, unless that version has been applied
// already.
func (e *Estimator) Refresh(peersVersion uint64, loads []*wire.PeerLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if peersVersion == e.peersVersion {
		return
	}
	old := e.estimates
	e.peersVersion, e.peers, e.estimates = peersVersion, nil, map[peerService]*estimate{}
	for _, peer := range loads {
		e.peers = append(e.peers, peer.GetAddress())
		for _, load := range peer.GetLoads() {
			key := peerService{peer.GetAddress(), load.GetService()}
			est := &estimate{free: int(load.GetFreeSlots())}
			if previous := old[key]; previous != nil {
				est.pickedAt = previous.pickedAt
			}
			e.estimates[key] = est
		}
	}
}

// Pick returns the address of the peer with the highest estimate of free slots for a service and counts one slot as
// used. When all seem full, it returns the least recently picked peer, if that was at least AskInterval ago. It never
// returns a peer without targets of the service. now is the monotonic time.
func (e *Estimator) Pick(service string, now time.Duration) (address string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var estimates []*estimate
	var peers []router.Peer
	for _, address := range e.peers {
		if est := e.estimates[peerService{address, service}]; est != nil {
			peers = append(peers, router.Peer{Address: address, Free: est.free})
			estimates = append(estimates, est)
		}
	}
	index := router.ChoosePeer(peers)
	if index < 0 {
		index = leastRecentlyPicked(estimates, now)
	}
	if index < 0 {
		return "", false
	}
	estimates[index].free = max(estimates[index].free-1, 0)
	estimates[index].pickedAt = now
	return peers[index].Address, true
}

func leastRecentlyPicked(estimates []*estimate, now time.Duration) int {
	best := -1
	for i, est := range estimates {
		if now-est.pickedAt >= AskInterval && (best < 0 || est.pickedAt < estimates[best].pickedAt) {
			best = i
		}
	}
	return best
}

// SetFreeSlots stores the number of free slots that a peer stated in a reply; use zero for an unreachable peer.
func (e *Estimator) SetFreeSlots(address, service string, free int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if est := e.estimates[peerService{address, service}]; est != nil {
		est.free = free
	}
}
