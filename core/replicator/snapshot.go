package replicator

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

// sendSnapshot sends the next chunk of the newest snapshot. It starts over when a newer snapshot was stored.
func (r *Replicator) sendSnapshot(now time.Duration, id string, p *progress) {
	meta := r.snapshot
	if p.snapshotIndex != meta.GetIndex() {
		p.snapshotIndex, p.snapshotOffset = meta.GetIndex(), 0
	}
	data, last, err := r.cfg.Snapshots.ReadChunk(meta, p.snapshotOffset, snapshotChunkBytes)
	if err != nil {
		// The next heartbeat retries the read. An append without entries renews the lease until then.
		r.sendAppend(now, id, p, nil)
		return
	}
	// With MaxUint64, a reply to a heartbeat does not clear inFlight; only the acknowledgement of the chunk does.
	p.inFlight, p.sentAt, p.lastInFlight = true, now, math.MaxUint64
	r.send(&wire.PeerMessage{To: id, Body: &wire.PeerMessage_SnapshotChunk{SnapshotChunk: &wire.SnapshotChunk{
		Meta: meta, Offset: p.snapshotOffset, Data: data, Last: last, SentAtNs: int64(now),
	}}})
}

// stepSnapshot collects the chunks of a snapshot in order and installs it after the last one. The acknowledgement
// carries the offset of the next chunk.
func (r *Replicator) stepSnapshot(msg *wire.PeerMessage, chunk *wire.SnapshotChunk) {
	ack := &wire.SnapshotAck{Index: chunk.GetMeta().GetIndex(), SentAtNs: chunk.GetSentAtNs()}
	defer func() {
		r.send(&wire.PeerMessage{To: msg.GetFrom(), Body: &wire.PeerMessage_SnapshotAck{SnapshotAck: ack}})
	}()
	if chunk.GetMeta().GetIndex() <= r.commit {
		ack.Installed = true
		r.incomingState, r.incomingMeta = nil, nil
		return
	}
	if chunk.GetOffset() == 0 {
		r.incomingState, r.incomingMeta, r.incomingTerm = nil, chunk.GetMeta(), msg.GetTerm()
	}
	// Chunks are joined only within a term, which has one leader: two leaders may encode the same state differently.
	sameSnapshot := r.incomingTerm == msg.GetTerm() && proto.Equal(r.incomingMeta, chunk.GetMeta())
	if !sameSnapshot || chunk.GetOffset() != uint64(len(r.incomingState)) {
		if sameSnapshot {
			ack.NextOffset = uint64(len(r.incomingState))
		}
		return
	}
	r.incomingState = append(r.incomingState, chunk.GetData()...)
	ack.NextOffset = uint64(len(r.incomingState))
	if !chunk.GetLast() {
		return
	}
	r.installSnapshot(&wire.Snapshot{Meta: chunk.GetMeta(), State: r.incomingState})
	ack.Installed = true
}

// installSnapshot replaces the log up to the snapshot. Later entries stay if the log matches the snapshot: this node
// has acknowledged them, so they may be committed on the strength of that acknowledgement.
func (r *Replicator) installSnapshot(snapshot *wire.Snapshot) {
	meta := snapshot.GetMeta()
	r.pendingReady.Install, r.pendingReady.Tail = snapshot, nil
	if term, ok := r.log.termAt(meta.GetIndex()); ok && term == meta.GetTerm() {
		r.pendingReady.Tail = slices.Clone(r.log.from(meta.GetIndex() + 1))
	}
	r.log.reset(meta.GetIndex(), meta.GetTerm())
	r.snapshot = meta
	r.memberships = []indexedMembership{{index: meta.GetIndex(), membership: meta.GetMembership()}}
	r.commit, r.applied, r.persisted = meta.GetIndex(), meta.GetIndex(), meta.GetIndex()
	r.incomingState, r.incomingMeta = nil, nil
	// The caller writes the tail together with the snapshot, so pending records are not needed.
	r.pendingReady.Records = nil
	for _, entry := range r.pendingReady.Tail {
		r.appendToLog(entry)
	}
	r.hardStateDirty = true
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
