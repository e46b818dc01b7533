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
		c.AddProblem("seeds", "", "at least one address")
	}
	operator.Check(c, s.Operators)
	if s.ConsentAddress != "" {
		c.RemoteAddress("consent_address", s.ConsentAddress)
	}
	return c.Problems()
}
