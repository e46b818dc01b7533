// Package consentserver makes consent calls for the leader. Each process that runs it is a helper of the leader. There
// are many of them, because the external consent service handles the calls of each host one at a time.
package consentserver

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"flamingodrift.example/core/clock"
	"flamingodrift.example/core/executor"
	"flamingodrift.example/core/locator"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/wire"
)

// beatInterval is the interval of heartbeats to the leader, which tolerates three lost ones before it stops
// sending calls here.
const (
	beatInterval = 800 * time.Millisecond
	beatTimeout  = 700 * time.Millisecond
	leaveTimeout = 200 * time.Millisecond
)

// Config holds what a Server needs.
type Config struct {
	Name string
	// Address is the address at which leaders reach this process.
	Address   string
	Consenter executor.Consenter
	Leader    *locator.Locator
	Logger    *slog.Logger
}

// Server answers the leader's consent calls.
type Server struct {
	cfg Config
	// lastReply is when a leader last replied, in nanoseconds of the host's clock; 0 when the last heartbeat failed.
	lastReply atomic.Int64
}

// New returns a Server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Handle makes one call to the external service. A failed call is not repeated here.
func (s *Server) Handle(ctx context.Context, call *wire.ConsentCall) *wire.Reply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	reply := &wire.ConsentReply{}
	consent, err := s.cfg.Consenter.Ask(ctx, call.GetJob(), int(call.GetStep()), call.GetWorkers())
	if err != nil {
		logger.ConsentFailed.Log(s.cfg.Logger, "job", call.GetJob(), "step", call.GetStep(), "helper", s.cfg.Name,
			"busy", false, "error", err.Error())
		return &wire.Reply{Body: &wire.Reply_Consent{Consent: reply}}
	}
	reply.Answered, reply.Busy = true, consent.Busy
	for _, t := range consent.Tickets {
		reply.Tickets = append(reply.Tickets, &wire.Ticket{Worker: t.Worker, Ticket: t.Ticket})
	}
	return &wire.Reply{Body: &wire.Reply_Consent{Consent: reply}}
}

// Run sends heartbeats to the leader until the context ends, and a last one that announces the end of this process. It
// also updates the locator's list of control processes from the replies.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		s.beat(ctx, beatTimeout, false)
		select {
		case <-ctx.Done():
			s.beat(context.Background(), leaveTimeout, true)
			return
		case <-ticker.C:
		}
	}
}

// LeaderRepliedWithin reports whether a leader replied to a heartbeat within the given time before now.
func (s *Server) LeaderRepliedWithin(now, within time.Duration) bool {
	last := time.Duration(s.lastReply.Load())
	return last > 0 && now-last <= within
}

func (s *Server) beat(ctx context.Context, timeout time.Duration, leaving bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call := &wire.QueueCall{Body: &wire.QueueCall_Helper{Helper: &wire.HelperBeat{
		Name: s.cfg.Name, Address: s.cfg.Address, Leaving: leaving,
	}}}
	reply, err := s.cfg.Leader.Call(ctx, &wire.Request{Body: &wire.Request_Queue{Queue: call}})
	if err != nil {
		// The next heartbeat is the retry. A leader that receives no heartbeats uses other helpers.
		if s.lastReply.Swap(0) != 0 {
			logger.LeaderMissing.Log(s.cfg.Logger, "error", err.Error())
		}
		return
	}
	if s.lastReply.Swap(int64(clock.New().Now())) == 0 {
		logger.LeaderFound.Log(s.cfg.Logger, "controls", len(reply.GetQueue().GetControls()))
	}
	s.cfg.Leader.SetControls(reply.GetQueue().GetControls())
}
