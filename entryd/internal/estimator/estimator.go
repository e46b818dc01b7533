// Package estimator estimates the free slots of other entry processes between two beats.
package estimator

import (
	"sync"
	"time"

	"flamingodrift.example/entryd/internal/router"

	"flamingodrift.example/core/wire"
)

// AskInterval is how long a peer that seems full is left alone. Its slots may become free between two beats, but if
// every waiting request asked every peer, messages would grow with the overload.
const AskInterval = 100 * time.Millisecond

type place struct {
	address, service string
}

type estimate struct {
	free    int
	askedAt time.Duration
}

// Estimator holds for each peer and service the slots that the peer stated last, less the requests sent since. It is
// safe for concurrent use.
type Estimator struct {
	mu        sync.Mutex
	round     uint64
	peers     []string
	estimates map[place]*estimate
}

// New returns an empty Estimator.
func New() *Estimator { return &Estimator{estimates: map[place]*estimate{}} }

// Refresh takes the peers and loads of a beat, unless it has those of that round already.
func (b *Estimator) Refresh(round uint64, loads []*wire.PeerLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if round == b.round {
		return
	}
	old := b.estimates
	b.round, b.peers, b.estimates = round, nil, map[place]*estimate{}
	for _, p := range loads {
		b.peers = append(b.peers, p.GetAddress())
		for _, load := range p.GetLoads() {
			at := place{p.GetAddress(), load.GetService()}
			e := &estimate{free: int(load.GetFreeSlots())}
			if before := old[at]; before != nil {
				e.askedAt = before.askedAt
			}
			b.estimates[at] = e
		}
	}
}

// Pick returns the address of the peer that seems to have most free slots of a service and counts one as used. When all
// seem full, it returns the one that was not asked for longest, if that is AskInterval ago. A peer without targets of the
// service is never returned. now is the monotonic time.
func (b *Estimator) Pick(service string, now time.Duration) (address string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var estimates []*estimate
	var peers []router.Peer
	for _, address := range b.peers {
		if e := b.estimates[place{address, service}]; e != nil {
			peers = append(peers, router.Peer{Address: address, Free: e.free})
			estimates = append(estimates, e)
		}
	}
	at := router.ChoosePeer(peers)
	if at < 0 {
		at = longestUnasked(estimates, now)
	}
	if at < 0 {
		return "", false
	}
	estimates[at].free = max(estimates[at].free-1, 0)
	estimates[at].askedAt = now
	return peers[at].Address, true
}

func longestUnasked(estimates []*estimate, now time.Duration) int {
	best := -1
	for i, e := range estimates {
		if now-e.askedAt >= AskInterval && (best < 0 || e.askedAt < estimates[best].askedAt) {
			best = i
		}
	}
	return best
}

// SetFreeSlots takes the number of free slots that a peer stated in a reply; zero for one that cannot be reached.
func (b *Estimator) SetFreeSlots(address, service string, free int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.estimates[place{address, service}]; e != nil {
		e.free = free
	}
}
