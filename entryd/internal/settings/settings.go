// Package settings describes the settings file of entryd.
package settings

import (
	"fmt"

	"flamingodrift.example/core/checker"
	"flamingodrift.example/core/loader"
	"flamingodrift.example/core/operator"
)

// Settings is the settings file. Durations are in milliseconds.
type Settings struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// Address is the listen address for sessions of the cell's own processes.
	Address string `json:"address"`
	// AdvertiseAddress is the address under which other processes reach Address, if that differs.
	AdvertiseAddress string `json:"advertise_address"`
	// HTTPAddress is the listen address for callers, workers, targets and operators.
	HTTPAddress string `json:"http_address"`
	// Controls are the addresses of all controld processes of the cell.
	Controls  []string            `json:"controls"`
	CellToken string              `json:"cell_token" secret:"true"`
	Operators []operator.Operator `json:"operators"`
	BeatMs    int                 `json:"beat_ms"`
	// ConfigValidityMs is how long a configuration counts as current after its last confirmation.
	ConfigValidityMs int `json:"currency_ms"`
	PollBatchMs      int `json:"poll_batch_ms"`
	PollTimeoutMs    int `json:"poll_timeout_ms"`
	// DrainMs is how long requests are still accepted after SIGTERM, so that the load balancer can notice the shutdown.
	DrainMs int `json:"drain_ms"`
	StopMs  int `json:"stop_ms"`
	// MaxConnections bounds the open HTTP connections. Above it, requests are refused and their connections closed.
	MaxConnections int `json:"max_connections"`
	MemoryLimitMB  int `json:"memory_limit_mb"`
	// MaxSessions limits the sessions that other processes of the cell open.
	MaxSessions int `json:"max_sessions"`
	// BodyBudgetMB limits the memory of requests' bodies in progress, and FrameBudgetMB that of messages from processes of
	// the cell. Their defaults depend on MemoryLimitMB.
	BodyBudgetMB  int `json:"body_budget_mb"`
	FrameBudgetMB int `json:"frame_budget_mb"`
	// HeaderTimeoutMs, BodyTimeoutMs and ResponseTimeoutMs limit the time to receive headers, to receive a body or message,
	// and to send a response.
	HeaderTimeoutMs   int `json:"header_timeout_ms"`
	BodyTimeoutMs     int `json:"body_timeout_ms"`
	ResponseTimeoutMs int `json:"response_timeout_ms"`
}

func (s *Settings) numbers() []checker.Number {
	return []checker.Number{
		{Path: "beat_ms", Value: &s.BeatMs, Default: 1_000, Min: 20, Max: 5_000},
		{Path: "currency_ms", Value: &s.ConfigValidityMs, Default: 5_000, Min: 100, Max: 13_000},
		{Path: "poll_batch_ms", Value: &s.PollBatchMs, Default: 50, Min: 1, Max: 1_000},
		{Path: "poll_timeout_ms", Value: &s.PollTimeoutMs, Default: 1_800, Min: 50, Max: 60_000},
		{Path: "drain_ms", Value: &s.DrainMs, Default: 2_000, Min: 1, Max: 60_000},
		{Path: "stop_ms", Value: &s.StopMs, Default: 15_000, Min: 100, Max: 600_000},
		{Path: "max_connections", Value: &s.MaxConnections, Default: 1_024, Min: 16, Max: 65_536},
		{Path: "memory_limit_mb", Value: &s.MemoryLimitMB, Default: 28, Min: 16, Max: 4_096},
		{Path: "max_sessions", Value: &s.MaxSessions, Default: 256, Min: 16, Max: 4_096},
		{Path: "header_timeout_ms", Value: &s.HeaderTimeoutMs, Default: 10_000, Min: 100, Max: 60_000},
		{Path: "body_timeout_ms", Value: &s.BodyTimeoutMs, Default: 10_000, Min: 100, Max: 600_000},
		{Path: "response_timeout_ms", Value: &s.ResponseTimeoutMs, Default: 10_000, Min: 100, Max: 600_000},
	}
}

// budgets returns the settings whose defaults depend on MemoryLimitMB.
func (s *Settings) budgets() []checker.Number {
	return []checker.Number{
		// An operator's request of 8 MiB takes half as much again while it is received, of three quarters.
		{Path: "body_budget_mb", Value: &s.BodyBudgetMB, Default: max(24, s.MemoryLimitMB/2), Min: 1, Max: 4_096},
		// A message of 9 MiB takes twice its size, of three quarters.
		{Path: "frame_budget_mb", Value: &s.FrameBudgetMB, Default: max(32, s.MemoryLimitMB/4), Min: 1, Max: 4_096},
	}
}

// Check sets defaults and returns all problems.
func (s *Settings) Check() []loader.Problem {
	c := checker.New()
	c.Numbers(s.numbers())
	c.Numbers(s.budgets())
	if s.ConfigValidityMs <= s.BeatMs {
		c.AddProblem("currency_ms", fmt.Sprint(s.ConfigValidityMs), "above beat_ms")
	}
	c.Text("name", s.Name)
	c.Text("failure_domain", s.FailureDomain)
	c.Token("cell_token", s.CellToken)
	if s.AdvertiseAddress == "" {
		s.AdvertiseAddress = s.Address
	}
	c.ListenAddress("address", s.Address)
	c.RemoteAddress("advertise_address", s.AdvertiseAddress)
	c.ListenAddress("http_address", s.HTTPAddress)
	c.RemoteAddresses("controls", s.Controls)
	if len(s.Controls) == 0 {
		c.AddProblem("controls", "", "at least one address")
	}
	operator.Check(c, s.Operators)
	return c.Problems()
}
