// Package settings describes the settings file of entryd.
package settings

import (
	"fmt"
	"net/netip"
	"time"

	"flamingodrift.example/core/loader"
)

// Settings is the settings file. Durations are in milliseconds.
type Settings struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// Address takes sessions of the cell's own processes.
	Address string `json:"address"`
	// AdvertiseAddress is where other processes reach Address, when that differs.
	AdvertiseAddress string `json:"advertise_address"`
	// HTTPAddress serves callers, workers, targets and operators.
	HTTPAddress string `json:"http_address"`
	// Controls are the addresses of all controld processes of the cell.
	Controls  []string   `json:"controls"`
	CellToken string     `json:"cell_token"`
	Operators []Operator `json:"operators"`
	BeatMs    int        `json:"beat_ms"`
	// CurrencyMs is how long a configuration counts as current after it was confirmed.
	CurrencyMs    int `json:"currency_ms"`
	PollBatchMs   int `json:"poll_batch_ms"`
	PollTimeoutMs int `json:"poll_timeout_ms"`
	// DrainMs is how long requests are still accepted after SIGTERM, until the balancer has noticed.
	DrainMs       int `json:"drain_ms"`
	StopMs        int `json:"stop_ms"`
	MemoryLimitMB int `json:"memory_limit_mb"`
}

// Operator may use the operators' API.
type Operator struct {
	Name  string `json:"name"`
	Token string `json:"token"`
}

const minTokenBytes = 16

type number struct {
	path            string
	value           *int
	standard        int
	lowest, highest int
}

func (s *Settings) numbers() []number {
	return []number{
		{"beat_ms", &s.BeatMs, 1_000, 20, 5_000},
		{"currency_ms", &s.CurrencyMs, 5_000, 100, 13_000},
		{"poll_batch_ms", &s.PollBatchMs, 50, 1, 1_000},
		{"poll_timeout_ms", &s.PollTimeoutMs, 1_800, 50, 60_000},
		{"drain_ms", &s.DrainMs, 2_000, 1, 60_000},
		{"stop_ms", &s.StopMs, 15_000, 100, 600_000},
		{"memory_limit_mb", &s.MemoryLimitMB, 28, 16, 4_096},
	}
}

// Check fills in defaults and returns every problem.
func (s *Settings) Check() []loader.Problem {
	var problems []loader.Problem
	fail := func(path, value, allowed string) {
		problems = append(problems, loader.Problem{Path: path, Value: value, Allowed: allowed})
	}
	for _, n := range s.numbers() {
		if *n.value == 0 {
			*n.value = n.standard
		}
		if *n.value < n.lowest || *n.value > n.highest {
			fail(n.path, fmt.Sprint(*n.value), fmt.Sprintf("%d to %d", n.lowest, n.highest))
		}
	}
	texts := []struct{ path, value string }{
		{"name", s.Name}, {"failure_domain", s.FailureDomain}, {"cell_token", s.CellToken},
	}
	for _, t := range texts {
		if t.value == "" || len(t.value) > 128 {
			fail(t.path, t.value, "1 to 128 bytes")
		}
	}
	if s.AdvertiseAddress == "" {
		s.AdvertiseAddress = s.Address
	}
	addresses := []struct{ path, value string }{{"address", s.Address}, {"advertise_address", s.AdvertiseAddress}, {"http_address", s.HTTPAddress}}
	for i, address := range s.Controls {
		addresses = append(addresses, struct{ path, value string }{fmt.Sprintf("controls[%d]", i), address})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			fail(a.path, a.value, "IP number and port")
		}
	}
	if len(s.Controls) == 0 {
		fail("controls", "", "at least one address")
	}
	for i, o := range s.Operators {
		if o.Name == "" || len(o.Token) < minTokenBytes {
			// The token is not shown.
			fail(fmt.Sprintf("operators[%d]", i), o.Name, fmt.Sprintf("a name, and a token of %d bytes or more", minTokenBytes))
		}
	}
	return problems
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
