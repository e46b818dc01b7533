package heartbeater

import (
	"context"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"

	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

func (h *Heartbeater) newRequest() *wire.BeatRequest {
	return &wire.BeatRequest{
		Entry: h.cfg.Name, Boot: h.cfg.Boot, Address: h.cfg.Address, FailureDomain: h.cfg.FailureDomain,
		ConfigRevision: h.config.GetRevision(), OwnershipVersion: h.ownershipVersion, Leaving: h.leaving.Load(),
		Session: h.session, StampMs: h.stampMs, Full: h.full,
		Owned: h.cfg.Dispatcher.Owned(h.full), Loads: h.cfg.Dispatcher.Loads(),
	}
}

// Beat sends one heartbeat and applies the reply. Only the control goroutine calls it.
func (h *Heartbeater) Beat(ctx context.Context) {
	// The lease and the confirmation of the configuration are counted from a time before the heartbeat is built.
	sentAt := h.cfg.Clock.Now()
	request := h.newRequest()
	stated := &ownership{owned: request.GetOwned(), version: request.GetOwnershipVersion(), session: request.GetSession()}
	if !h.full && stated.equals(h.answeredOwnership) {
		request.Owned, request.OwnedUnchanged = nil, true
	}
	restore := h.cfg.Collector.Collect(request)
	ctx, cancel := context.WithTimeout(ctx, max(h.cfg.BeatInterval, time.Second))
	defer cancel()
	reply, err := h.cfg.Leader.Call(ctx, &wire.Request{Body: &wire.Request_Beat{Beat: request}})
	if err != nil || reply.GetBeat() == nil {
		restore()
		h.publish()
		return
	}
	h.applyConfig(reply.GetBeat(), sentAt)
	if reply.GetBeat().GetSendFull() {
		restore()
		h.full = true
		h.BeatNow()
	} else {
		h.answeredOwnership = stated
		h.applyGrant(reply.GetBeat(), sentAt)
	}
	h.publish()
}

// applyConfig applies a newer configuration, and extends the validity if the reply confirms the revision in use.
func (h *Heartbeater) applyConfig(reply *wire.BeatReply, sentAt time.Duration) {
	// A lower revision can only come from a node that has not caught up; it is never applied.
	if config := reply.GetConfig(); config.GetRevision() > h.config.GetRevision() {
		h.config = config
		logger.ConfigReceived.Log(h.cfg.Logger, "revision", config.GetRevision())
	}
	if h.config.GetRevision() == reply.GetConfigRevision() {
		h.currentUntil = max(h.currentUntil, sentAt+h.cfg.ConfigValidity)
	}
}

// applyGrant applies the lease, ownership and peers of a reply. sentAt is when its heartbeat was sent.
func (h *Heartbeater) applyGrant(reply *wire.BeatReply, sentAt time.Duration) {
	grant := dispatcher.Grant{
		Until:   sentAt + time.Duration(reply.GetLeaseMs())*time.Millisecond,
		Changed: reply.GetOwnershipChanged(), Owned: reply.GetOwned(),
	}
	version := h.ownershipVersion
	if grant.Changed {
		version = reply.GetOwnershipVersion()
	}
	if reply.GetSession() != h.session && h.cfg.Dispatcher.LeaseExpired(h.cfg.Clock.Now()) {
		// A new leader has confirmed the targets that this process listed as its own, but since the lease ended the
		// previous leader may have granted them to another entry process. Reset the ownership, so that the next heartbeat
		// lists none and the leader decides anew.
		grant.Changed, grant.Owned, version = true, nil, 0
		h.BeatNow()
	}
	h.cfg.Dispatcher.ApplyGrant(grant)
	h.ownershipVersion, h.session, h.stampMs, h.full = version, reply.GetSession(), reply.GetStampMs(), false
	h.peers = reply.GetPeers()
	h.peersVersion++
	h.cfg.Collector.ApplyReply(reply.GetUnknownTargets(), reply.GetWatchedTargets())
}

// publish stores a new State and logs whether the configuration became current or outdated.
func (h *Heartbeater) publish() {
	state := &State{
		CurrentUntil: h.currentUntil, Config: h.config, Peers: h.peers, PeersVersion: h.peersVersion,
		Leaving: h.leaving.Load(), Services: make(map[string]*wire.Service, len(h.config.GetServices())),
	}
	for _, service := range h.config.GetServices() {
		state.Services[service.GetName()] = service
	}
	h.state.Store(state)
	current := h.cfg.Clock.Now() < h.currentUntil
	switch {
	case current && !h.wasCurrent:
		logger.BecameCurrent.Log(h.cfg.Logger, "revision", h.config.GetRevision())
	case !current && h.wasCurrent:
		logger.BecameOutdated.Log(h.cfg.Logger, "revision", h.config.GetRevision())
	}
	h.wasCurrent = current
}
