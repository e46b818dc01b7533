// Package consentserver makes calls for consent on behalf of the leader, so that they are spread over many hosts: the
// outside service takes the calls of one host one by one.
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

// beatInterval is how often a leader is told that this process helps; three of them may be lost before it stops asking.
const (
	beatInterval = 800 * time.Millisecond
	beatTimeout  = 700 * time.Millisecond
	leaveTimeout = 200 * time.Millisecond
)

// Config holds what a Server needs.
type Config struct {
	Name string
	// Address is where leaders reach this process.
	Address   string
	Consenter executor.Consenter
	Leader    *locator.Locator
	Logger    *slog.Logger
}

// Server answers the leader's questions.
type Server struct {
	cfg   Config
	heard atomic.Int64
}

// New returns a Server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Handle asks the outside service once.
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

// Run tells the leader of this process until the context ends, and keeps the locator's list of control processes fresh.
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

// HeardLeader reports whether a leader answered within the given time.
func (s *Server) HeardLeader(now, within time.Duration) bool {
	heard := time.Duration(s.heard.Load())
	return heard > 0 && now-heard <= within
}

func (s *Server) beat(ctx context.Context, timeout time.Duration, leaving bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call := &wire.QueueCall{Body: &wire.QueueCall_Helper{Helper: &wire.HelperBeat{
		Name: s.cfg.Name, Address: s.cfg.Address, Leaving: leaving,
	}}}
	reply, err := s.cfg.Leader.Call(ctx, &wire.Request{Body: &wire.Request_Queue{Queue: call}})
	if err != nil {
		// The next beat tries again; a leader that hears nothing asks other helpers.
		if s.heard.Swap(0) != 0 {
			logger.LeaderMissing.Log(s.cfg.Logger, "error", err.Error())
		}
		return
	}
	if s.heard.Swap(int64(clock.New().Now())) == 0 {
		logger.LeaderFound.Log(s.cfg.Logger, "controls", len(reply.GetQueue().GetControls()))
	}
	s.cfg.Leader.SetControls(reply.GetQueue().GetControls())
}
