// Package settings describes the settings file of frontd.
package settings

import (
	"flamingodrift.example/core/checker"
	"flamingodrift.example/core/loader"
	"flamingodrift.example/core/operator"
)

// Settings is the settings file. Durations are in milliseconds.
type Settings struct {
	// Name identifies the host in the cell.
	Name string `json:"name"`
	// Address takes sessions of the cell's own processes.
	Address string `json:"address"`
	// CallerAddress takes the requests of callers, and ReadyAddress the balancer's checks.
	CallerAddress string `json:"caller_address"`
	ReadyAddress  string `json:"ready_address"`
	// MetricsAddress serves /metrics and operators.
	MetricsAddress string `json:"metrics_address"`
	// Operators may ask what runs, what waits and why; without one nobody may.
	Operators []operator.Operator `json:"operators"`
	// Seeds are addresses on hosts of control processes; their own port is that of Address.
	Seeds []string `json:"seeds"`
	// CellToken is shared by the cell's own processes.
	CellToken string `json:"cell_token" secret:"true"`
	// ConsentAddress is that of the service which decides which workers may run a step; empty without one.
	ConsentAddress string `json:"consent_address"`
	// NoticeMs is how long requests are still taken after a stop was asked for, and StopMs how long those in progress may
	// take after that.
	NoticeMs int `json:"notice_ms"`
	StopMs   int `json:"stop_ms"`
	// MemoryLimitMB is the soft limit of the Go runtime's memory.
	MemoryLimitMB int `json:"memory_limit_mb"`
}

// Check fills in defaults and returns every problem.
func (s *Settings) Check() []loader.Problem {
	c := checker.New()
	c.Numbers([]checker.Number{
		{Path: "notice_ms", Value: &s.NoticeMs, Default: 2_500, Min: 1, Max: 60_000},
		{Path: "stop_ms", Value: &s.StopMs, Default: 2_500, Min: 1, Max: 60_000},
		{Path: "memory_limit_mb", Value: &s.MemoryLimitMB, Default: 48, Min: 16, Max: 4_096},
	})
	c.Text("name", s.Name)
	c.Token("cell_token", s.CellToken)
	c.RemoteAddress("address", s.Address)
	c.ListenAddress("caller_address", s.CallerAddress)
	c.ListenAddress("ready_address", s.ReadyAddress)
	c.ListenAddress("metrics_address", s.MetricsAddress)
	c.RemoteAddresses("seeds", s.Seeds)
	if len(s.Seeds) == 0 {
		c.Fail("seeds", "", "at least one address")
	}
	operator.Check(c, s.Operators)
	if s.ConsentAddress != "" {
		c.RemoteAddress("consent_address", s.ConsentAddress)
	}
	return c.Problems()
}
