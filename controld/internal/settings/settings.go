// Package settings describes the settings file of controld.
package settings

import (
	"fmt"
	"net/netip"
	"time"

	"flamingodrift.example/core/loader"
)

// Settings is the settings file. Durations are in milliseconds.
type Settings struct {
	// Name identifies the host in the cell. A new data folder under the same name replaces the old one.
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// Address takes sessions of the cell's own processes.
	Address string `json:"address"`
	// AdvertiseAddress is where other processes reach Address, when that differs.
	AdvertiseAddress string `json:"advertise_address"`
	// HealthAddress serves /healthz, /readyz and /metrics.
	HealthAddress string `json:"health_address"`
	DataFolder    string `json:"data_folder"`
	// Peers are the addresses of all controld processes of the cell.
	Peers  []string `json:"peers"`
	Voters int      `json:"voters"`
	// CellToken is shared by the cell's own processes.
	CellToken      string `json:"cell_token" secret:"true"`
	HeartbeatMs    int    `json:"heartbeat_ms"`
	ElectionMinMs  int    `json:"election_min_ms"`
	ElectionMaxMs  int    `json:"election_max_ms"`
	WorkerLeaseMs  int    `json:"worker_lease_ms"`
	PollTimeoutMs  int    `json:"poll_timeout_ms"`
	EntryLeaseMs   int    `json:"entry_lease_ms"`
	TargetSilentMs int    `json:"target_silent_ms"`
	// MemoryLimitMB is the soft limit of the Go runtime's memory.
	MemoryLimitMB int `json:"memory_limit_mb"`
}

// number describes a numeric setting with its default and bounds.
type number struct {
	path            string
	value           *int
	standard        int
	lowest, highest int
}

func (s *Settings) numbers() []number {
	return []number{
		{"voters", &s.Voters, 5, 1, 9},
		{"heartbeat_ms", &s.HeartbeatMs, 200, 10, 5_000},
		{"election_min_ms", &s.ElectionMinMs, 1_000, 50, 30_000},
		{"election_max_ms", &s.ElectionMaxMs, 2_000, 60, 60_000},
		{"worker_lease_ms", &s.WorkerLeaseMs, 10_000, 200, 600_000},
		{"poll_timeout_ms", &s.PollTimeoutMs, 2_000, 50, 60_000},
		{"entry_lease_ms", &s.EntryLeaseMs, 3_000, 100, 13_000},
		{"target_silent_ms", &s.TargetSilentMs, 4_000, 100, 60_000},
		{"memory_limit_mb", &s.MemoryLimitMB, 28, 16, 4_096},
	}
}

// Bounds of texts in bytes.
const (
	maxTextBytes  = 128
	minTokenBytes = 16
)

// Check fills in defaults and returns every problem.
func (s *Settings) Check() []loader.Problem {
	c := &check{}
	for _, n := range s.numbers() {
		if *n.value == 0 {
			*n.value = n.standard
		}
		if *n.value < n.lowest || *n.value > n.highest {
			c.fail(n.path, fmt.Sprint(*n.value), fmt.Sprintf("%d to %d", n.lowest, n.highest))
		}
	}
	c.text("name", s.Name)
	c.text("failure_domain", s.FailureDomain)
	c.text("data_folder", s.DataFolder)
	c.token("cell_token", s.CellToken)
	if s.AdvertiseAddress == "" {
		s.AdvertiseAddress = s.Address
	}
	c.address("address", s.Address)
	c.reachable("advertise_address", s.AdvertiseAddress)
	c.address("health_address", s.HealthAddress)
	c.list("peers", s.Peers)
	if s.ElectionMaxMs <= s.ElectionMinMs || s.ElectionMinMs < 3*s.HeartbeatMs {
		c.fail("election_min_ms", fmt.Sprint(s.ElectionMinMs), "at least 3 times heartbeat_ms and below election_max_ms")
	}
	return c.problems
}

// Duration converts a setting in milliseconds.
func Duration(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// IP returns the IP number of an address, from which connections to other processes are made.
func IP(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return parsed.Addr().String()
}
