// Package checker checks the values of a settings file and collects what is wrong with them.
package checker

import (
	"fmt"
	"net/netip"

	"flamingodrift.example/core/loader"
)

// Bounds of texts in bytes.
const (
	maxTextBytes  = 128
	minTokenBytes = 16
)

// Number describes a numeric setting.
type Number struct {
	// Path of the value in the file.
	Path  string
	Value *int
	// Default replaces a value that is not given.
	Default  int
	Min, Max int
}

// Checker collects the problems of one settings file.
type Checker struct {
	problems []loader.Problem
}

// New returns a Checker without problems.
func New() *Checker { return &Checker{} }

// Problems returns every problem found so far.
func (c *Checker) Problems() []loader.Problem { return c.problems }

// Fail adds a problem.
func (c *Checker) Fail(path, value, allowed string) {
	c.problems = append(c.problems, loader.Problem{Path: path, Value: value, Allowed: allowed})
}

// Numbers fills in defaults and checks bounds.
func (c *Checker) Numbers(numbers []Number) {
	for _, n := range numbers {
		if *n.Value == 0 {
			*n.Value = n.Default
		}
		if *n.Value < n.Min || *n.Value > n.Max {
			c.Fail(n.Path, fmt.Sprint(*n.Value), fmt.Sprintf("%d to %d", n.Min, n.Max))
		}
	}
}

// Text checks a text that must be given.
func (c *Checker) Text(path, value string) {
	if value == "" || len(value) > maxTextBytes {
		c.Fail(path, value, fmt.Sprintf("1 to %d bytes", maxTextBytes))
	}
}

// Token checks a secret and never shows its value.
func (c *Checker) Token(path, value string) {
	if len(value) < minTokenBytes || len(value) > maxTextBytes {
		c.Fail(path, loader.Redacted, fmt.Sprintf("%d to %d bytes", minTokenBytes, maxTextBytes))
	}
}

// ListenAddress checks an address to listen on.
func (c *Checker) ListenAddress(path, value string) {
	if parsed, err := netip.ParseAddrPort(value); err != nil || parsed.Port() == 0 {
		c.Fail(path, value, "IP number and port")
	}
}

// RemoteAddress checks an address that other hosts connect to.
func (c *Checker) RemoteAddress(path, value string) {
	if parsed, err := netip.ParseAddrPort(value); err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		c.Fail(path, value, "IP number and port that other hosts can reach")
	}
}

// RemoteAddresses checks addresses that other hosts connect to, each listed once.
func (c *Checker) RemoteAddresses(path string, values []string) {
	seen := map[string]bool{}
	for i, value := range values {
		at := fmt.Sprintf("%s[%d]", path, i)
		if seen[value] {
			c.Fail(at, value, "an address that is listed once")
			continue
		}
		seen[value] = true
		c.RemoteAddress(at, value)
	}
}
