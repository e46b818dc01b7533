// Package checker validates the values of a settings file and collects the problems.
package checker

import (
	"fmt"
	"net/netip"

	"flamingodrift.example/core/loader"
)

// Length limits of text values and tokens.
const (
	maxTextBytes  = 128
	minTokenBytes = 16
)

// Number describes a numeric setting.
type Number struct {
	// Path is the path of the value in the file.
	Path  string
	Value *int
	// Default replaces a missing value or one of 0.
	Default  int
	Min, Max int
}

// Checker collects the problems of one settings file.
type Checker struct {
	problems []loader.Problem
}

// New returns a Checker without problems.
func New() *Checker { return &Checker{} }

// Problems returns the problems found so far.
func (c *Checker) Problems() []loader.Problem { return c.problems }

// AddProblem adds a problem.
func (c *Checker) AddProblem(path, value, allowed string) {
	c.problems = append(c.problems, loader.Problem{Path: path, Value: value, Allowed: allowed})
}

// Numbers fills in defaults and checks the bounds of the numbers.
func (c *Checker) Numbers(numbers []Number) {
	for _, n := range numbers {
		if *n.Value == 0 {
			*n.Value = n.Default
		}
		if *n.Value < n.Min || *n.Value > n.Max {
			c.AddProblem(n.Path, fmt.Sprint(*n.Value), fmt.Sprintf("%d to %d", n.Min, n.Max))
		}
	}
}

// Text checks the length of a required text.
func (c *Checker) Text(path, value string) {
	if value == "" || len(value) > maxTextBytes {
		c.AddProblem(path, value, fmt.Sprintf("1 to %d bytes", maxTextBytes))
	}
}

// Token checks the length of a token. The problem never contains the token's value.
func (c *Checker) Token(path, value string) {
	if len(value) < minTokenBytes || len(value) > maxTextBytes {
		c.AddProblem(path, loader.Redacted, fmt.Sprintf("%d to %d bytes", minTokenBytes, maxTextBytes))
	}
}

// ListenAddress checks an address that this process listens on.
func (c *Checker) ListenAddress(path, value string) {
	if parsed, err := netip.ParseAddrPort(value); err != nil || parsed.Port() == 0 {
		c.AddProblem(path, value, "IP number and port")
	}
}

// RemoteAddress checks the form of an address that other hosts connect to.
func (c *Checker) RemoteAddress(path, value string) {
	if parsed, err := netip.ParseAddrPort(value); err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		c.AddProblem(path, value, "IP number and port that other hosts can reach")
	}
}

// RemoteAddresses checks a list of addresses that other hosts connect to. It must not contain duplicates.
func (c *Checker) RemoteAddresses(path string, values []string) {
	seen := map[string]bool{}
	for i, value := range values {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		if seen[value] {
			c.AddProblem(elementPath, value, "an address that is listed once")
			continue
		}
		seen[value] = true
		c.RemoteAddress(elementPath, value)
	}
}
