// Package settings defines the settings file of controld.
package settings

import (
	"fmt"

	"flamingodrift.example/core/checker"
	"flamingodrift.example/core/loader"
)

// Settings is the settings file.
type Settings struct {
	// Name identifies the host in the cell. A new data folder under the same name replaces the old member.
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// Address is the listen address for sessions with other processes of the cell.
	Address string `json:"address"`
	// AdvertiseAddress is the address under which other processes reach Address; it defaults to Address.
	AdvertiseAddress string `json:"advertise_address"`
	// HealthAddress is the listen address for /healthz, /readyz and /metrics.
	HealthAddress string `json:"health_address"`
	DataFolder    string `json:"data_folder"`
	// Peers holds the addresses of all controld processes of the cell.
	Peers []string `json:"peers"`
	// Voters is the intended number of voters of the consensus group.
	Voters int `json:"voters"`
	// CellToken is the secret that the processes of the cell share.
	CellToken      string `json:"cell_token" secret:"true"`
	HeartbeatMs    int    `json:"heartbeat_ms"`
	ElectionMinMs  int    `json:"election_min_ms"`
	ElectionMaxMs  int    `json:"election_max_ms"`
	WorkerLeaseMs  int    `json:"worker_lease_ms"`
	PollTimeoutMs  int    `json:"poll_timeout_ms"`
	EntryLeaseMs   int    `json:"entry_lease_ms"`
	TargetSilentMs int    `json:"target_silent_ms"`
	// Seeds holds addresses on the hosts of other controld processes, for deployments that cannot list all peers. The
	// controld processes of those hosts are assumed to have the port of AdvertiseAddress.
	Seeds []string `json:"seeds"`
	// FirstStart is set only when the whole cell starts for the first time. The process on the host of the first seed then
	// bootstraps the consensus group.
	FirstStart bool `json:"first_start"`
	// Queues holds the settings for submitted jobs. An empty Queues.Address disables queues.
	Queues Queues `json:"queues"`
	// MemoryLimitMB is the soft memory limit of the Go runtime.
	MemoryLimitMB int `json:"memory_limit_mb"`
	// MaxConnections limits the open connections of Queues.Address. At the limit, those that have waited longest for their client
	// are closed.
	MaxConnections int `json:"max_connections"`
	// MaxSideConnections limits the open connections of HealthAddress.
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

// Queues holds the settings for submitted jobs.
type Queues struct {
	// Address is the listen address for operators' configurations and workers' reports.
	Address string `json:"address"`
	// ConsentAddress is the address of the service that decides which workers may run a step; empty without such a
	// service.
	ConsentAddress string `json:"consent_address"`
	// LongestLeaseMs is the longest lease that workers accept.
	LongestLeaseMs int `json:"longest_lease_ms"`
	// ReportIntervalMs is how often workers report themselves.
	ReportIntervalMs int `json:"report_interval_ms"`
	// CapacityGraceMs is how long after a worker's capacity has shrunk new runs may still exceed it.
	CapacityGraceMs int `json:"capacity_grace_ms"`
	// MaxLostDisks is how many disks may be lost at the same time without losing acknowledged data.
	MaxLostDisks int `json:"lost_disks"`
	// LearnRunTimes makes the scheduler expect the run times that the queue's ended runs tell instead of the declared ones.
	LearnRunTimes bool `json:"learn_run_times"`
}

func (s *Settings) numbers() []checker.Number {
	return []checker.Number{
		{Path: "voters", Value: &s.Voters, Default: 5, Min: 1, Max: 9},
		{Path: "heartbeat_ms", Value: &s.HeartbeatMs, Default: 200, Min: 10, Max: 5_000},
		{Path: "election_min_ms", Value: &s.ElectionMinMs, Default: 1_000, Min: 50, Max: 30_000},
		{Path: "election_max_ms", Value: &s.ElectionMaxMs, Default: 2_000, Min: 60, Max: 60_000},
		{Path: "worker_lease_ms", Value: &s.WorkerLeaseMs, Default: 10_000, Min: 200, Max: 600_000},
		{Path: "poll_timeout_ms", Value: &s.PollTimeoutMs, Default: 2_000, Min: 50, Max: 60_000},
		{Path: "entry_lease_ms", Value: &s.EntryLeaseMs, Default: 3_000, Min: 100, Max: 13_000},
		{Path: "target_silent_ms", Value: &s.TargetSilentMs, Default: 4_000, Min: 100, Max: 60_000},
		{Path: "memory_limit_mb", Value: &s.MemoryLimitMB, Default: 28, Min: 16, Max: 4_096},
		{Path: "max_connections", Value: &s.MaxConnections, Default: 1_536, Min: 16, Max: 65_536},
		{Path: "max_side_connections", Value: &s.MaxSideConnections, Default: 64, Min: 8, Max: 4_096},
		{Path: "max_sessions", Value: &s.MaxSessions, Default: 512, Min: 16, Max: 4_096},
		{Path: "header_timeout_ms", Value: &s.HeaderTimeoutMs, Default: 5_000, Min: 100, Max: 60_000},
		{Path: "body_timeout_ms", Value: &s.BodyTimeoutMs, Default: 20_000, Min: 100, Max: 600_000},
		{Path: "response_timeout_ms", Value: &s.ResponseTimeoutMs, Default: 20_000, Min: 100, Max: 600_000},
	}
}

// budgets returns the settings whose defaults depend on MemoryLimitMB.
func (s *Settings) budgets() []checker.Number {
	return []checker.Number{
		// A configuration of 16 MiB takes 16 MiB, as much again while it is decoded, and is large: it may use three quarters.
		{Path: "body_budget_mb", Value: &s.BodyBudgetMB, Default: max(64, s.MemoryLimitMB/2), Min: 1, Max: 4_096},
		// A message of 9 MiB takes twice its size, of three quarters.
		{Path: "frame_budget_mb", Value: &s.FrameBudgetMB, Default: max(32, s.MemoryLimitMB/4), Min: 1, Max: 4_096},
	}
}

// Check fills in defaults and returns all problems.
func (s *Settings) Check() []loader.Problem {
	c := checker.New()
	c.Numbers(s.numbers())
	c.Numbers(s.budgets())
	c.Text("name", s.Name)
	c.Text("failure_domain", s.FailureDomain)
	c.Text("data_folder", s.DataFolder)
	c.Token("cell_token", s.CellToken)
	if s.AdvertiseAddress == "" {
		s.AdvertiseAddress = s.Address
	}
	c.ListenAddress("address", s.Address)
	c.RemoteAddress("advertise_address", s.AdvertiseAddress)
	c.ListenAddress("health_address", s.HealthAddress)
	c.RemoteAddresses("peers", s.Peers)
	c.RemoteAddresses("seeds", s.Seeds)
	if s.Queues.Address != "" {
		c.RemoteAddress("queues.address", s.Queues.Address)
		c.Numbers([]checker.Number{
			{Path: "queues.longest_lease_ms", Value: &s.Queues.LongestLeaseMs, Default: 10_000, Min: 1_000, Max: 600_000},
			{Path: "queues.report_interval_ms", Value: &s.Queues.ReportIntervalMs, Default: 1_500, Min: 100, Max: 60_000},
			{Path: "queues.capacity_grace_ms", Value: &s.Queues.CapacityGraceMs, Default: 3_000, Min: 1_000, Max: 600_000},
		})
	}
	if s.ElectionMaxMs <= s.ElectionMinMs || s.ElectionMinMs < 3*s.HeartbeatMs {
		c.AddProblem("election_min_ms", fmt.Sprint(s.ElectionMinMs), "at least 3 times heartbeat_ms and below election_max_ms")
	}
	return c.Problems()
}
