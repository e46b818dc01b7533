package heartbeater

import (
	"context"
	"time"

	"flamingodrift.example/entryd/internal/dispatcher"

	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

func (s *Heartbeater) request() *wire.BeatRequest {
	return &wire.BeatRequest{
		Entry: s.cfg.Name, Boot: s.cfg.Boot, Address: s.cfg.Address, FailureDomain: s.cfg.FailureDomain,
		ConfigRevision: s.config.GetRevision(), OwnershipVersion: s.ownershipVersion, Leaving: s.leaving.Load(),
		Session: s.session, StampMs: s.stampMs, Full: s.full,
		Owned: s.cfg.Dispatcher.Owned(s.full), Loads: s.cfg.Dispatcher.Loads(),
	}
}

// Beat sends one beat and takes over the reply. Only the control thread calls it.
func (s *Heartbeater) Beat(ctx context.Context) {
	// The lease and the confirmation count from before the beat was built.
	sentAt := s.cfg.Clock.Now()
	request := s.request()
	listed := &listing{owned: request.GetOwned(), version: request.GetOwnershipVersion(), session: request.GetSession()}
	if !s.full && listed.same(s.listed) {
		request.Owned, request.OwnedUnchanged = nil, true
	}
	restore := s.cfg.Collector.Collect(request)
	ctx, cancel := context.WithTimeout(ctx, max(s.cfg.BeatInterval, time.Second))
	defer cancel()
	reply, err := s.cfg.Leader.Call(ctx, &wire.Request{Body: &wire.Request_Beat{Beat: request}})
	if err != nil || reply.GetBeat() == nil {
		restore()
		s.publish()
		return
	}
	s.takeConfig(reply.GetBeat(), sentAt)
	if reply.GetBeat().GetSendFull() {
		restore()
		s.full = true
		s.BeatNow()
	} else {
		s.listed = listed
		s.takeGrant(reply.GetBeat(), sentAt)
	}
	s.publish()
}

func (s *Heartbeater) takeConfig(reply *wire.BeatReply, sentAt time.Duration) {
	// A lower revision can only come from a node that has not caught up; it is never taken over.
	if config := reply.GetConfig(); config.GetRevision() > s.config.GetRevision() {
		s.config = config
		logger.ConfigReceived.Log(s.cfg.Logger, "revision", config.GetRevision())
	}
	if s.config.GetRevision() == reply.GetConfigRevision() {
		s.currentUntil = max(s.currentUntil, sentAt+s.cfg.ConfigValidity)
	}
}

func (s *Heartbeater) takeGrant(reply *wire.BeatReply, sentAt time.Duration) {
	grant := dispatcher.Grant{
		Until:   sentAt + time.Duration(reply.GetLeaseMs())*time.Millisecond,
		Changed: reply.GetOwnershipChanged(), Owned: reply.GetOwned(),
	}
	version := s.ownershipVersion
	if grant.Changed {
		version = reply.GetOwnershipVersion()
	}
	if reply.GetSession() != s.session && s.cfg.Dispatcher.LeaseExpired(s.cfg.Clock.Now()) {
		// A new leader returned what this process claimed, but the earlier leader may have given it to another one
		// since the lease ended. Without the claim, the leader decides anew.
		grant.Changed, grant.Owned, version = true, nil, 0
		s.BeatNow()
	}
	s.cfg.Dispatcher.ApplyGrant(grant)
	s.ownershipVersion, s.session, s.stampMs, s.full = version, reply.GetSession(), reply.GetStampMs(), false
	s.peers = reply.GetPeers()
	s.round++
	s.cfg.Collector.ApplyReply(reply.GetUnknownTargets(), reply.GetWatchedTargets())
}

func (s *Heartbeater) publish() {
	state := &State{
		CurrentUntil: s.currentUntil, Config: s.config, Peers: s.peers, PeersVersion: s.round, Leaving: s.leaving.Load(),
		Services: make(map[string]*wire.Service, len(s.config.GetServices())),
	}
	for _, service := range s.config.GetServices() {
		state.Services[service.GetName()] = service
	}
	s.state.Store(state)
	current := s.cfg.Clock.Now() < s.currentUntil
	switch {
	case current && !s.wasCurrent:
		logger.BecameCurrent.Log(s.cfg.Logger, "revision", s.config.GetRevision())
	case !current && s.wasCurrent:
		logger.BecameOutdated.Log(s.cfg.Logger, "revision", s.config.GetRevision())
	}
	s.wasCurrent = current
}
