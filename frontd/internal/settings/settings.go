// Package settings defines and checks frontd's settings file.
package settings

import (
	"flamingodrift.example/core/checker"
	"flamingodrift.example/core/loader"
	"flamingodrift.example/core/operator"
)

// Settings is the content of the settings file. Durations are in milliseconds.
type Settings struct {
	// Name identifies the host in the cell.
	Name string `json:"name"`
	// Address accepts sessions of the cell's own processes.
	Address string `json:"address"`
	// CallerAddress accepts the requests of callers, and ReadyAddress the readiness checks of the load balancer.
	CallerAddress string `json:"caller_address"`
	ReadyAddress  string `json:"ready_address"`
	// MetricsAddress serves /metrics and the operators' API.
	MetricsAddress string `json:"metrics_address"`
	// Operators are the users of the operators' API; when the list is empty, nobody may use it.
	Operators []operator.Operator `json:"operators"`
	// Seeds are addresses on the hosts of control processes. Only their hosts are used; the port is that of Address.
	Seeds []string `json:"seeds"`
	// CellToken is the secret that the cell's own processes share.
	CellToken string `json:"cell_token" secret:"true"`
	// ConsentAddress is the address of the service that decides which workers may run a step; empty if there is none.
	ConsentAddress string `json:"consent_address"`
	// NoticeMs is how long requests are still accepted after the process was told to stop, and StopMs how long those in
	// progress may take after that.
	NoticeMs int `json:"notice_ms"`
	StopMs   int `json:"stop_ms"`
	// MemoryLimitMB is the Go runtime's soft memory limit.
	MemoryLimitMB int `json:"memory_limit_mb"`
	// MaxJobBytes is the size of the largest job.
	MaxJobBytes int `json:"max_job_bytes"`
	// MaxConnections limits the open connections of CallerAddress. At the limit, those that have waited longest for their client
	// are closed.
	MaxConnections int `json:"max_connections"`
	// MaxSideConnections limits the open connections of ReadyAddress, and of MetricsAddress.
	MaxSideConnections int `json:"max_side_connections"`
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
		{Path: "notice_ms", Value: &s.NoticeMs, Default: 2_500, Min: 1, Max: 60_000},
		{Path: "stop_ms", Value: &s.StopMs, Default: 2_500, Min: 1, Max: 60_000},
		{Path: "memory_limit_mb", Value: &s.MemoryLimitMB, Default: 48, Min: 16, Max: 4_096},
		{Path: "max_job_bytes", Value: &s.MaxJobBytes, Default: 262_144, Min: 1_024, Max: 1_048_576},
		{Path: "max_connections", Value: &s.MaxConnections, Default: 2_560, Min: 16, Max: 65_536},
		{Path: "max_side_connections", Value: &s.MaxSideConnections, Default: 64, Min: 8, Max: 4_096},
		{Path: "max_sessions", Value: &s.MaxSessions, Default: 128, Min: 16, Max: 4_096},
		{Path: "header_timeout_ms", Value: &s.HeaderTimeoutMs, Default: 5_000, Min: 100, Max: 60_000},
		{Path: "body_timeout_ms", Value: &s.BodyTimeoutMs, Default: 10_000, Min: 100, Max: 600_000},
		{Path: "response_timeout_ms", Value: &s.ResponseTimeoutMs, Default: 10_000, Min: 100, Max: 600_000},
	}
}

// budgets returns the settings whose defaults depend on MemoryLimitMB.
func (s *Settings) budgets() []checker.Number {
	return []checker.Number{
		// 2,000 ordinary jobs of 10 KB at once take 20 MB. The rest of the limit is for connections and garbage.
		{Path: "body_budget_mb", Value: &s.BodyBudgetMB, Default: max(24, s.MemoryLimitMB*3/8), Min: 1, Max: 4_096},
		// Only calls for consent arrive here; they are small.
		{Path: "frame_budget_mb", Value: &s.FrameBudgetMB, Default: max(8, s.MemoryLimitMB/8), Min: 1, Max: 4_096},
	}
}

// Check fills in defaults and returns every problem.
func (s *Settings) Check() []loader.Problem {
	c := checker.New()
	c.Numbers(s.numbers())
	c.Numbers(s.budgets())
	c.Text("name", s.Name)
	c.Token("cell_token", s.CellToken)
	c.RemoteAddress("address", s.Address)
	c.ListenAddress("caller_address", s.CallerAddress)
	c.ListenAddress("ready_address", s.ReadyAddress)
	c.ListenAddress("metrics_address", s.MetricsAddress)
	c.RemoteAddresses("seeds", s.Seeds)
	if len(s.Seeds) == 0 {
		c.AddProblem("seeds", "", "at least one address")
	}
	operator.Check(c, s.Operators)
	if s.ConsentAddress != "" {
		c.RemoteAddress("consent_address", s.ConsentAddress)
	}
	return c.Problems()
}
