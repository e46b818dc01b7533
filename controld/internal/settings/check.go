package settings

import (
	"fmt"
	"net/netip"

	"flamingodrift.example/core/loader"
)

// check collects the problems of a settings file.
type check struct {
	problems []loader.Problem
}

func (c *check) fail(path, value, allowed string) {
	c.problems = append(c.problems, loader.Problem{Path: path, Value: value, Allowed: allowed})
}

func (c *check) text(path, value string) {
	if value == "" || len(value) > maxTextBytes {
		c.fail(path, value, fmt.Sprintf("1 to %d bytes", maxTextBytes))
	}
}

// token never shows the value.
func (c *check) token(path, value string) {
	if len(value) < minTokenBytes || len(value) > maxTextBytes {
		c.fail(path, loader.Hidden, fmt.Sprintf("%d to %d bytes", minTokenBytes, maxTextBytes))
	}
}

func (c *check) address(path, value string) {
	if parsed, err := netip.ParseAddrPort(value); err != nil || parsed.Port() == 0 {
		c.fail(path, value, "IP number and port")
	}
}

// reachable checks an address that other hosts connect to.
func (c *check) reachable(path, value string) {
	if parsed, err := netip.ParseAddrPort(value); err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		c.fail(path, value, "IP number and port that other hosts can reach")
	}
}

func (c *check) list(path string, values []string) {
	seen := map[string]bool{}
	for i, value := range values {
		at := fmt.Sprintf("%s[%d]", path, i)
		if seen[value] {
			c.fail(at, value, "an address that is listed once")
			continue
		}
		seen[value] = true
		c.reachable(at, value)
	}
}
