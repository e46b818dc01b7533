package dispatcher

import (
	"net/http"
	"sort"
	"time"

	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

const (
	// failureWeight is the factor by which a failure lowers a target's health; a success raises it by recoveryStep.
	failureWeight = 0.5
	recoveryStep  = 0.1
	// onlyProbes is the weight below which a target gets nothing but probes.
	onlyProbes = 0.1
	// probeWeight is the weight below which an idle target gets a probe in each interval. A target of low weight looks
	// fuller than the others while few slots are in use, so without probes it would not be chosen again.
	probeWeight      = 0.95
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 30 * time.Second
	// latencyShare is the weight of a new sample in a target's mean answer time.
	latencyShare = 0.2
	// slowFactor is how many times the usual answer time of its service a target may take, and slowMargin how much
	// longer it must take at least, before it counts as slow.
	slowFactor = 2
	slowMargin = 20 * time.Millisecond
)

// health is what is known of how well a target answers.
type health struct {
	score         float64
	latency       time.Duration
	slowness      float64
	probeInterval time.Duration
	probeAt       time.Duration
}

func newHealth() health { return health{score: 1, slowness: 1} }

// weight returns the share of requests that the target's health allows, from 0 to 1.
func (h *health) weight() float64 {
	if w := h.score * h.slowness; w >= onlyProbes {
		return w
	}
	return 0
}

func (t *target) probeDue(now time.Duration) bool {
	return t.score*t.slowness < probeWeight && t.used == 0 && now >= t.probeAt
}

// chosen sets the time of the next probe: the lower the weight, the later.
func (h *health) chosen(now time.Duration) {
	interval := time.Duration(float64(minProbeInterval) / max(h.score*h.slowness, onlyProbes))
	h.probeAt = now + max(h.probeInterval, interval)
}

func (h *health) succeeded() {
	h.score = min(h.score+recoveryStep, 1)
	h.probeInterval = 0
}

func (h *health) failed(now time.Duration) {
	h.score *= failureWeight
	h.probeInterval = min(max(2*h.probeInterval, minProbeInterval), maxProbeInterval)
	h.probeAt = now + h.probeInterval
}

func (h *health) sample(took time.Duration) {
	if h.latency == 0 {
		h.latency = took
		return
	}
	h.latency += time.Duration(latencyShare * float64(took-h.latency))
}

// note adjusts the target's health after an exchange that took a time. Only the target's own failures count: when the
// caller gave up, the time it waited counts as an answer time if it is longer than usual.
func (d *Dispatcher) note(t *target, failure *Failure, answer *wire.Answer, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	switch {
	case failure == nil && answer.GetStatus() < http.StatusInternalServerError:
		t.succeeded()
		t.sample(took)
	case failure == nil:
		d.markFailed(t, now)
	case failure.Reason == reason.DeadlineExceeded:
		if took <= t.latency || t.latency == 0 && took < slowMargin {
			return
		}
		t.sample(took)
	case failure.Reason == reason.AnswerBroken || failure.Reason == reason.TargetUnreachable:
		d.markFailed(t, now)
		return
	default:
		return
	}
	d.compare(t.service)
}

// markFailed logs the failure that first lowers the share of a target, and no later one.
func (d *Dispatcher) markFailed(t *target, now time.Duration) {
	before := t.score
	t.failed(now)
	if before >= probeWeight && t.score < probeWeight {
		logger.TargetUnhealthy.Log(d.cfg.Logger, "target", t.name, "service", t.service)
	}
}

// compare sets how slow each target of a service is in comparison with the others.
func (d *Dispatcher) compare(service string) {
	var latencies []time.Duration
	for _, t := range d.services[service] {
		if t.latency > 0 {
			latencies = append(latencies, t.latency)
		}
	}
	if len(latencies) < 2 {
		return
	}
	sort.Slice(latencies, func(a, b int) bool { return latencies[a] < latencies[b] })
	usual := latencies[(len(latencies)-1)/2]
	for _, t := range d.services[service] {
		t.slowness = 1
		if t.latency > slowFactor*usual && t.latency > usual+slowMargin {
			t.slowness = float64(slowFactor*usual) / float64(t.latency)
		}
	}
}
