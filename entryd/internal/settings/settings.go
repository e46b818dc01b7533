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
	CellToken string     `json:"cell_token" secret:"true"`
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
	Token string `json:"token" secret:"true"`
}

// Bounds of texts in bytes.
const (
	maxTextBytes  = 128
	minTokenBytes = 16
)

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
	c := &check{}
	for _, n := range s.numbers() {
		if *n.value == 0 {
			*n.value = n.standard
		}
		if *n.value < n.lowest || *n.value > n.highest {
			c.fail(n.path, fmt.Sprint(*n.value), fmt.Sprintf("%d to %d", n.lowest, n.highest))
		}
	}
	if s.CurrencyMs <= s.BeatMs {
		c.fail("currency_ms", fmt.Sprint(s.CurrencyMs), "above beat_ms")
	}
	c.text("name", s.Name)
	c.text("failure_domain", s.FailureDomain)
	c.token("cell_token", s.CellToken)
	if s.AdvertiseAddress == "" {
		s.AdvertiseAddress = s.Address
	}
	c.address("address", s.Address)
	c.reachable("advertise_address", s.AdvertiseAddress)
	c.address("http_address", s.HTTPAddress)
	c.list("controls", s.Controls)
	if len(s.Controls) == 0 {
		c.fail("controls", "", "at least one address")
	}
	s.checkOperators(c)
	return c.problems
}

// checkOperators refuses equal tokens: the history must name the operator who made a change.
func (s *Settings) checkOperators(c *check) {
	names, tokens := map[string]bool{}, map[string]bool{}
	for i, o := range s.Operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.text(path+".name", o.Name)
		c.token(path+".token", o.Token)
		if names[o.Name] {
			c.fail(path+".name", o.Name, "a name that is used once")
		}
		if tokens[o.Token] {
			c.fail(path+".token", loader.Hidden, "a token that is used once")
		}
		names[o.Name], tokens[o.Token] = true, true
	}
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
