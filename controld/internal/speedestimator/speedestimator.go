// Package speedestimator learns from ended runs how fast each worker is compared with the average of all.
package speedestimator

import (
	"math"
	"time"
)

const (
	// initialVariance is that of the logarithms of the workers' speeds: 0.55 to 1.2 times the usual one.
	initialVariance = 0.09
	// driftVariance is by how much a speed may change from one run to the next. Workers become five times slower while they
	// run; with it, about ten runs tell.
	driftVariance = 0.0025
	// maxSurprise bounds the logarithm by which one run may differ from what is expected: a factor of 3. A few percent of
	// the runs take seven times as long whatever the worker.
	maxSurprise = 1.1
	// minMeanWeight is the weight of a new run in the moving average over all workers.
	minMeanWeight = 0.005
	minFactor     = 0.1
	maxFactor     = 3.0
)

// Estimator holds the speeds of all workers. Only the leader uses it, and it starts without knowledge, so that
// floating-point numbers do no harm.
type Estimator struct {
	workers map[string]*speed
	// mean is the moving average of the logarithms of expected divided by actual lengths over all runs, and runs their
	// number. Lengths that are expected too long or too short move it and no speed.
	mean float64
	runs int
}

// speed is the logarithm of the speed of a worker and the variance of that estimate.
type speed struct {
	log, variance float64
}

// New returns an Estimator that knows no worker.
func New() *Estimator { return &Estimator{workers: map[string]*speed{}} }

// Record adds a run. Deviation is that of the logarithm of the actual from the expected length on the same worker.
func (e *Estimator) Record(worker string, expected, actual time.Duration, deviation float64) {
	if expected <= 0 || actual <= 0 {
		return
	}
	ratio := math.Log(float64(expected) / float64(actual))
	s := e.workers[worker]
	if s == nil {
		s = &speed{variance: initialVariance}
		e.workers[worker] = s
	}
	surprise := min(maxSurprise, max(-maxSurprise, ratio-e.mean-s.log))
	e.runs++
	e.mean += max(minMeanWeight, 1/float64(e.runs+1)) * (surprise + s.log)
	s.variance = min(initialVariance, s.variance+driftVariance)
	gain := s.variance / (s.variance + deviation*deviation)
	s.log += gain * surprise
	s.variance *= 1 - gain
}

// Factor returns the speed of a worker; 1 is average.
func (e *Estimator) Factor(worker string) float64 {
	s := e.workers[worker]
	if s == nil {
		return 1
	}
	return min(maxFactor, max(minFactor, math.Exp(s.log)))
}
