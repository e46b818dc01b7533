package replicator

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

func (r *Replicator) sendSnapshot(now time.Duration, id string, p *progress) {
	meta := r.snapshot
	if p.snapshotIndex != meta.GetIndex() {
		p.snapshotIndex, p.snapshotOffset = meta.GetIndex(), 0
	}
	data, last, err := r.cfg.Snapshots.ReadChunk(meta, p.snapshotOffset, snapshotChunk)
	if err != nil {
		// The next heartbeat tries again; meanwhile an empty append keeps the lease alive.
		r.sendAppend(now, id, p, nil)
		return
	}
	// Only an acknowledgement of the chunk ends its flight, not an answer to a heartbeat.
	p.inFlight, p.sentAt, p.sentTo = true, now, math.MaxUint64
	r.send(&wire.PeerMessage{To: id, Body: &wire.PeerMessage_SnapshotChunk{SnapshotChunk: &wire.SnapshotChunk{
		Meta: meta, Offset: p.snapshotOffset, Data: data, Last: last, SentAtNs: int64(now),
	}}})
}

func (r *Replicator) stepSnapshot(msg *wire.PeerMessage, chunk *wire.SnapshotChunk) {
	ack := &wire.SnapshotAck{Index: chunk.GetMeta().GetIndex(), SentAtNs: chunk.GetSentAtNs()}
	defer func() {
		r.send(&wire.PeerMessage{To: msg.GetFrom(), Body: &wire.PeerMessage_SnapshotAck{SnapshotAck: ack}})
	}()
	if chunk.GetMeta().GetIndex() <= r.commit {
		ack.Installed = true
		r.incoming, r.incomingMeta = nil, nil
		return
	}
	if chunk.GetOffset() == 0 {
		r.incoming, r.incomingMeta, r.incomingTerm = nil, chunk.GetMeta(), msg.GetTerm()
	}
	// Chunks of two leaders are never joined: a term has one leader, and two leaders may encode the same state differently.
	sameSnapshot := r.incomingTerm == msg.GetTerm() && proto.Equal(r.incomingMeta, chunk.GetMeta())
	if !sameSnapshot || chunk.GetOffset() != uint64(len(r.incoming)) {
		if sameSnapshot {
			ack.NextOffset = uint64(len(r.incoming))
		}
		return
	}
	r.incoming = append(r.incoming, chunk.GetData()...)
	ack.NextOffset = uint64(len(r.incoming))
	if !chunk.GetLast() {
		return
	}
	r.install(&wire.Snapshot{Meta: chunk.GetMeta(), State: r.incoming})
	ack.Installed = true
}

// install replaces the log up to the snapshot. Later entries stay if they agree with the snapshot: this node has
// acknowledged them, so they may be committed because of it.
func (r *Replicator) install(snapshot *wire.Snapshot) {
	meta := snapshot.GetMeta()
	r.pendingReady.Install, r.pendingReady.Tail = snapshot, nil
	if term, ok := r.log.termAt(meta.GetIndex()); ok && term == meta.GetTerm() {
		r.pendingReady.Tail = slices.Clone(r.log.from(meta.GetIndex() + 1))
	}
	r.log.reset(meta.GetIndex(), meta.GetTerm())
	r.snapshot = meta
	r.memberships = []membershipAt{{index: meta.GetIndex(), membership: meta.GetMembership()}}
	r.commit, r.applied, r.persisted = meta.GetIndex(), meta.GetIndex(), meta.GetIndex()
	r.incoming, r.incomingMeta = nil, nil
	// The host writes the tail together with the snapshot.
	r.pendingReady.Records = nil
	for _, entry := range r.pendingReady.Tail {
		r.appendToLog(entry)
	}
	r.hardStateDirt = true
}

func (r *Replicator) stepSnapshotAck(now time.Duration, msg *wire.PeerMessage, p *progress, ack *wire.SnapshotAck) {
	if p.snapshotIndex != ack.GetIndex() {
		return
	}
	p.inFlight = false
	if ack.GetInstalled() {
		p.match = max(p.match, ack.GetIndex())
		p.next = p.match + 1
		p.snapshotIndex, p.snapshotOffset = 0, 0
	} else {
		p.snapshotOffset = ack.GetNextOffset()
	}
	r.sendNext(now, msg.GetFrom(), p)
}
