// Package runtimeestimator learns from ended runs how long the tasks of a queue run. It is part of the replicated state,
// so that all its arithmetic uses integers: processors round floating-point numbers differently.
package runtimeestimator

import (
	"maps"
	"slices"

	"flamingodrift.example/core/wire"
)

const (
	// maxQueues bounds the memory. With more queues, a new one replaces the one with the fewest samples.
	maxQueues = 64
	// MaxRunTimeMs bounds the lengths that are recorded and expected: a day.
	MaxRunTimeMs = 24 * 60 * 60 * 1000
	// A range covers a quarter of an octave of declared run times, from 32 ms in the first to 35 minutes in the last. Range 0 holds
	// the tasks without one.
	rangeWidth = unit / 4
	lowestLog  = 5 * unit
	highestLog = 21*unit - 1
	rangeCount = (highestLog+1-lowestLog)/rangeWidth + 1
	// stepWeight is the weight of the samples of a step of up to stepWeight tasks together. The tasks of a step differ less
	// than steps, so that each counts for less the more there are.
	stepWeight = 16
	// maxWeight is the weight of a queue at which all its samples are halved in weight.
	maxWeight = 512 * stepWeight
	// minWeight is the weight of a queue from which its lengths are known. The mean of 8 steps with a log deviation of 0.5 is
	// off by a sixth.
	minWeight = 8 * stepWeight
	// priorWeight is the weight at which the mean of a range counts as much as the line through all ranges.
	priorWeight = 8 * stepWeight
	// priorSpread is the weight of the assumption that the run time is proportional to the declared one, as a sum of squared
	// distances of declared lengths. It corresponds to about four steps.
	priorSpread = 4 * stepWeight * unit * unit
	// A sample counts as at most clampDeviations standard deviations from the expectation, within the bounds of a factor of
	// 1.4 and one of 3. 3 % of runs that take seven times as long then move the expectation by less than 4 %.
	clampDeviations = 2
	minClamp        = unit / 2
	maxClamp        = unit * 1585 / 1000
	// firstClamp bounds the distance of the first samples of a queue to their declared lengths: a factor of 4, nearly
	// twice the log deviation of 0.9.
	firstClamp = 2 * unit
	// halfLogOfTwo is half the natural logarithm of 2, in thousandths: the logarithm of the mean of a log-normal distribution
	// exceeds the mean of the logarithms by half the variance.
	halfLogOfTwo = 347
)

// Estimator holds the statistics of the run times of each queue.
type Estimator struct {
	queues map[string]*statistics
}

// cell holds the samples of one range of declared run times: the sum of their weights, of their logarithms and of the
// squares of these.
type cell struct {
	weight, logSum, squareSum int64
}

// halve halves the weight, rounded down; the means stay the same.
func (c *cell) halve() {
	if c.weight == 0 {
		return
	}
	before := c.weight
	c.weight /= 2
	c.logSum, c.squareSum = c.logSum*c.weight/before, c.squareSum*c.weight/before
}

func (c *cell) mean() int64 { return c.logSum / c.weight }

// statistics holds the samples of a queue and the line through the means of its ranges.
type statistics struct {
	cells [rangeCount]cell
	// weight is that of all cells.
	weight int64
	// declared and actual are the means of the logarithms of the declared and actual lengths, slope that of the line, in
	// units of 1/unit, and variance the mean squared distance of a sample from the mean of its range.
	declared, actual, slope, variance int64
}

// New returns an Estimator without samples.
func New() *Estimator { return &Estimator{queues: map[string]*statistics{}} }

// Record adds the length of a run that ended successfully, on a worker of average speed, to a queue. A declared length of
// 0 stands for a task without one; tasks is how many lengths the step gives, 1 for a gang.
func (e *Estimator) Record(queue string, declaredMs, ranMs, tasks uint32) {
	s := e.queues[queue]
	if s == nil {
		s = e.add(queue)
	}
	log := logarithm(min(MaxRunTimeMs, max(1, ranMs)))
	switch {
	case s.weight >= minWeight:
		expected, limit := s.expectedLog(declaredMs), s.clamp()
		log = min(expected+limit, max(expected-limit, log))
	case declaredMs > 0:
		declared := logarithm(declaredMs)
		log = min(declared+firstClamp, max(declared-firstClamp, log))
	default:
	}
	log = max(0, log)
	c, weight := &s.cells[rangeOf(declaredMs)], int64(stepWeight/min(stepWeight, max(1, tasks)))
	c.weight += weight
	c.logSum += weight * log
	c.squareSum += weight * log * log
	if s.weight+weight >= maxWeight {
		for i := range s.cells {
			s.cells[i].halve()
		}
	}
	s.update()
}

// Expected returns the mean length of a run on a worker of average speed. It is unknown while the queue has too few
// samples.
func (e *Estimator) Expected(queue string, declaredMs uint32) (ms uint32, known bool) {
	s := e.queues[queue]
	if s == nil || s.weight < minWeight {
		return 0, false
	}
	return min(MaxRunTimeMs, power(s.expectedLog(declaredMs)+s.variance*halfLogOfTwo/1000/unit)), true
}

// add adds a queue, instead of the one with the fewest samples if there are too many.
func (e *Estimator) add(queue string) *statistics {
	if len(e.queues) >= maxQueues {
		least := ""
		for _, name := range slices.Sorted(maps.Keys(e.queues)) {
			if least == "" || e.queues[name].weight < e.queues[least].weight {
				least = name
			}
		}
		delete(e.queues, least)
	}
	s := &statistics{}
	e.queues[queue] = s
	return s
}

// declaredLog returns the logarithm of a declared length within the ranges.
func declaredLog(declaredMs uint32) int64 {
	return min(highestLog, max(lowestLog, logarithm(max(1, declaredMs))))
}

func rangeOf(declaredMs uint32) int {
	if declaredMs == 0 {
		return 0
	}
	return int((declaredLog(declaredMs)-lowestLog)/rangeWidth) + 1
}

// middle returns the logarithm of the declared length in the middle of a range.
func middle(number int) int64 { return lowestLog + int64(number-1)*rangeWidth + rangeWidth/2 }

// update computes the line through the means of the ranges, and the variance.
func (s *statistics) update() {
	s.weight, s.declared, s.actual, s.variance = 0, 0, 0, 0
	var ranged int64
	for number := range s.cells {
		c := &s.cells[number]
		if c.weight == 0 {
			continue
		}
		s.weight += c.weight
		s.actual += c.logSum
		s.variance += max(0, c.squareSum-c.weight*c.mean()*c.mean())
		if number > 0 {
			ranged += c.weight
			s.declared += c.weight * middle(number)
		}
	}
	if s.weight == 0 {
		return
	}
	s.actual, s.variance, s.declared = s.actual/s.weight, s.variance/s.weight, s.declared/max(1, ranged)
	covariance, spread := int64(priorSpread), int64(priorSpread)
	for number := 1; number < rangeCount; number++ {
		c := &s.cells[number]
		if c.weight == 0 {
			continue
		}
		distance := middle(number) - s.declared
		covariance += c.weight * distance * (c.mean() - s.actual)
		spread += c.weight * distance * distance
	}
	s.slope = min(unit, max(0, covariance*unit/spread))
}

// expectedLog returns the expected logarithm of the length of a run: that on the line through all ranges, moved towards the
// mean of the declared length's range by as much as that has samples.
func (s *statistics) expectedLog(declaredMs uint32) int64 {
	number, expected := rangeOf(declaredMs), s.actual
	if number > 0 {
		expected += s.slope * (declaredLog(declaredMs) - s.declared) / unit
	}
	if c := &s.cells[number]; c.weight > 0 {
		expected += (c.mean() - expected) * c.weight / (c.weight + priorWeight)
	}
	return expected
}

// clamp returns how far a sample may be from its expectation.
func (s *statistics) clamp() int64 {
	return min(maxClamp, max(minClamp, clampDeviations*squareRoot(s.variance)))
}

// squareRoot returns the square root of a number of at least 0, rounded down.
func squareRoot(n int64) int64 {
	if n < 2 {
		return n
	}
	root := n
	for next := (root + 1) / 2; next < root; next = (root + n/root) / 2 {
		root = next
	}
	return root
}

// State encodes the statistics for a snapshot.
func (e *Estimator) State() []*wire.RuntimeStatistics {
	states := make([]*wire.RuntimeStatistics, 0, len(e.queues))
	for _, name := range slices.Sorted(maps.Keys(e.queues)) {
		state := &wire.RuntimeStatistics{Queue: name}
		for number, c := range e.queues[name].cells {
			if c.weight > 0 {
				state.Cells = append(state.Cells, &wire.RuntimeCell{
					Range: uint32(number), Weight: uint64(c.weight), LogSum: c.logSum, LogSquareSum: c.squareSum,
				})
			}
		}
		states = append(states, state)
	}
	return states
}

// Restore decodes an Estimator from a snapshot. It ignores what is out of bounds, which another build may have written.
func Restore(states []*wire.RuntimeStatistics) *Estimator {
	e := New()
	for _, state := range states {
		if len(e.queues) >= maxQueues {
			break
		}
		s := &statistics{}
		for _, c := range state.GetCells() {
			if restored, ok := restoreCell(c); ok {
				s.cells[c.GetRange()] = restored
			}
		}
		s.update()
		e.queues[state.GetQueue()] = s
	}
	return e
}

func restoreCell(state *wire.RuntimeCell) (cell, bool) {
	c := cell{weight: int64(state.GetWeight()), logSum: state.GetLogSum(), squareSum: state.GetLogSquareSum()}
	ok := state.GetRange() < rangeCount && state.GetWeight() > 0 && state.GetWeight() < maxWeight &&
		c.logSum >= 0 && c.logSum <= c.weight*32*unit && c.squareSum >= 0 && c.squareSum <= c.weight*32*unit*32*unit
	return c, ok
}

// Queues returns the names of the queues with samples, in order.
func (e *Estimator) Queues() []string { return slices.Sorted(maps.Keys(e.queues)) }
