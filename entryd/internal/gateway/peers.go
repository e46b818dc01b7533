package gateway

import (
	"sync"

	"flamingodrift.example/entryd/internal/router"

	"flamingodrift.example/entryd/internal/steward"
)

type peerService struct {
	address, service string
}

// peerBook estimates the free slots of peers between two beats: those they reported, less the requests sent since. With
// the reported number alone, every waiting request would ask every peer again and again.
type peerBook struct {
	mu    sync.Mutex
	round uint64
	free  map[peerService]int
}

func newPeerBook() *peerBook { return &peerBook{free: map[peerService]int{}} }

// take returns the peer with most free slots of a service and counts one as used.
func (b *peerBook) take(state *steward.State, service string) (address string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state.Round != b.round {
		b.refresh(state)
	}
	var peers []router.Peer
	for _, p := range state.Peers {
		peers = append(peers, router.Peer{Address: p.GetAddress(), Free: b.free[peerService{p.GetAddress(), service}]})
	}
	at := router.ChoosePeer(peers)
	if at < 0 {
		return "", false
	}
	b.free[peerService{peers[at].Address, service}]--
	return peers[at].Address, true
}

func (b *peerBook) refresh(state *steward.State) {
	b.round, b.free = state.Round, map[peerService]int{}
	for _, p := range state.Peers {
		for _, load := range p.GetLoads() {
			b.free[peerService{p.GetAddress(), load.GetService()}] = int(load.GetFreeSlots())
		}
	}
}

// learn takes the number of free slots that a peer stated in its reply.
func (b *peerBook) learn(address, service string, free int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free[peerService{address, service}] = free
}
