package main

import (
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"flamingodrift.example/entryd/internal/limiter"
	"flamingodrift.example/entryd/internal/settings"

	"flamingodrift.example/core/bytelimiter"
	"flamingodrift.example/core/httpguard"
	"flamingodrift.example/core/loader"
	"flamingodrift.example/core/refusalrecorder"
)

const (
	// maxHeaderBytes bounds the headers of one request; the standard library allows 1 MiB.
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
	// hardLimitDivisor gives the part of max_connections by which open connections may exceed it. Up to there, connections
	// are closed after their answer; beyond, those that wait for their client are closed at once.
	hardLimitDivisor = 4
	// smallBytes is the size of a body, and smallFrameBytes that of a message, up to which it may use the last part of its
	// budget.
	smallBytes      = 16 << 10
	smallFrameBytes = 64 << 10
)

// newHTTP returns the HTTP server for callers, workers, targets and operators.
func newHTTP(cfg *settings.Settings, limit *limiter.Limiter, refusals *refusalrecorder.Recorder) *khttp.Server {
	guard := httpguard.New(httpguard.Config{
		Budget:         bytelimiter.New(bytelimiter.Config{Bytes: int64(cfg.BodyBudgetMB) << 20, SmallBytes: smallBytes}),
		HeaderTimeout:  loader.Milliseconds(cfg.HeaderTimeoutMs),
		BodyTimeout:    loader.Milliseconds(cfg.BodyTimeoutMs),
		MaxHeaderBytes: maxHeaderBytes, ResponseTimeout: loader.Milliseconds(cfg.ResponseTimeoutMs),
		IdleTimeout: idleTimeout, Recorder: refusals,
	})
	server := guard.Server("http", cfg.HTTPAddress, cfg.MaxConnections+cfg.MaxConnections/hardLimitDivisor, limit.Wrap)
	httpguard.AlsoTrack(server, limit.Track)
	return server
}
