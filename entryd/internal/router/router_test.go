package router_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/entryd/internal/router"
)

// Guards against choosing a full, unhealthy or more loaded target over a better one, and against requests that wait
// although all targets are equally unhealthy.
func TestChoose(t *testing.T) {
	cases := []struct {
		name       string
		candidates []router.Candidate
		want       int
	}{
		{"none", nil, -1},
		{"full", []router.Candidate{{Used: 8, Limit: 8, Weight: 1}}, -1},
		{"least used", []router.Candidate{{Used: 3, Limit: 8, Weight: 1}, {Used: 2, Limit: 8, Weight: 1}}, 1},
		{"least used in proportion", []router.Candidate{{Used: 1, Limit: 2, Weight: 1}, {Used: 2, Limit: 8, Weight: 1}}, 1},
		{"low weight", []router.Candidate{{Used: 0, Limit: 8, Weight: 0.2}, {Used: 3, Limit: 8, Weight: 1}}, 1},
		{"low weight is better than none", []router.Candidate{{Used: 0, Limit: 8, Weight: 0.2}, {Used: 8, Limit: 8, Weight: 1}}, 0},
		{"probe first", []router.Candidate{{Used: 0, Limit: 8, Weight: 1}, {Used: 0, Limit: 8, Probe: true}}, 1},
		{"no probe without a slot", []router.Candidate{{Used: 0, Limit: 8, Weight: 1}, {Used: 0, Limit: 0, Probe: true}}, 0},
		{"zero weight is not chosen while another is full", []router.Candidate{{Used: 8, Limit: 8, Weight: 1}, {Used: 0, Limit: 8}}, -1},
		{"all weights zero", []router.Candidate{{Used: 1, Limit: 8}, {Used: 0, Limit: 8}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, router.Choose(c.candidates)) })
	}
}
