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
	// failureFactor multiplies a target's health score on a failure; a success raises the score by recoveryStep.
	failureFactor = 0.5
	recoveryStep  = 0.1
	// probeOnlyBelow is the weight below which a target gets only probes.
	probeOnlyBelow = 0.1
	// idleProbeBelow is the weight below which an idle target gets a probe in each interval. While few slots are in
	// use, a target of low weight looks fuller than the others, so without probes it would not be chosen again.
	idleProbeBelow   = 0.95
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 30 * time.Second
	// latencySmoothing is the weight of a new sample in the moving average of a target's latency.
	latencySmoothing = 0.2
	// A target counts as slow if its latency exceeds slowFactor times the median of its service, and exceeds the median
	// by more than slowMargin.
	slowFactor = 2
	slowMargin = 20 * time.Millisecond
)

// health tracks the failures and latency of a target.
type health struct {
	score         float64
	latency       time.Duration
	latencyFactor float64
	probeInterval time.Duration
	probeAt       time.Duration
}

func newHealth() health { return health{score: 1, latencyFactor: 1} }

// weight returns the share of requests that the target's health allows, from 0 to 1.
func (h *health) weight() float64 {
	if w := h.score * h.latencyFactor; w >= probeOnlyBelow {
		return w
	}
	return 0
}

func (t *target) probeDue(now time.Duration) bool {
	return t.score*t.latencyFactor < idleProbeBelow && t.used == 0 && now >= t.probeAt
}

// scheduleProbe sets the time of the next probe. The lower the weight, the longer the interval.
func (h *health) scheduleProbe(now time.Duration) {
	interval := time.Duration(float64(minProbeInterval) / max(h.score*h.latencyFactor, probeOnlyBelow))
	h.probeAt = now + max(h.probeInterval, interval)
}

func (h *health) recordSuccess() {
	h.score = min(h.score+recoveryStep, 1)
	h.probeInterval = 0
}

func (h *health) recordFailure(now time.Duration) {
	h.score *= failureFactor
	h.probeInterval = min(max(2*h.probeInterval, minProbeInterval), maxProbeInterval)
	h.probeAt = now + h.probeInterval
}

func (h *health) addLatency(took time.Duration) {
	if h.latency == 0 {
		h.latency = took
		return
	}
	h.latency += time.Duration(latencySmoothing * float64(took-h.latency))
}

// recordResult updates the target's health after an exchange of the given duration. Only failures of the target count.
// If the caller gave up, the duration counts as a latency sample only when it exceeds the average or, without one,
// reaches slowMargin.
func (d *Dispatcher) recordResult(t *target, failure *Failure, answer *wire.Answer, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	switch {
	case failure == nil && answer.GetStatus() < http.StatusInternalServerError:
		t.recordSuccess()
		t.addLatency(took)
	case failure == nil:
		d.markFailed(t, now)
	case failure.Reason == reason.DeadlineExceeded:
		if took <= t.latency || t.latency == 0 && took < slowMargin {
			return
		}
		t.addLatency(took)
	case failure.Reason == reason.AnswerBroken || failure.Reason == reason.TargetUnreachable:
		d.markFailed(t, now)
		return
	default:
		return
	}
	d.updateLatencyFactors(t.service)
}

// markFailed records a failure. It logs only the failure that first lowers the target's share of requests.
func (d *Dispatcher) markFailed(t *target, now time.Duration) {
	before := t.score
	t.recordFailure(now)
	if before >= idleProbeBelow && t.score < idleProbeBelow {
		logger.TargetUnhealthy.Log(d.cfg.Logger, "target", t.name, "service", t.service)
	}
}

// updateLatencyFactors compares the latency of each target of a service with the median.
func (d *Dispatcher) updateLatencyFactors(service string) {
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
	median := latencies[(len(latencies)-1)/2]
	for _, t := range d.services[service] {
		t.latencyFactor = 1
		if t.latency > slowFactor*median && t.latency > median+slowMargin {
			t.latencyFactor = float64(slowFactor*median) / float64(t.latency)
		}
	}
}
