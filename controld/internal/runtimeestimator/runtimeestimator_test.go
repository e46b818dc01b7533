package runtimeestimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

// TestFixedPoint guards against wrong constants of the integer logarithm and power.
func TestFixedPoint(t *testing.T) {
	for _, n := range []uint32{1, 2, 3, 10, 639, 640, 1000, 4096, 86_400_000, math.MaxUint32} {
		require.InDelta(t, math.Log2(float64(n))*unit, float64(logarithm(n)), 2, n)
		require.InEpsilon(t, float64(n), float64(power(logarithm(n))), 0.002, n)
	}
	require.Equal(t, uint32(1), power(-5))
	require.Equal(t, uint32(math.MaxUint32), power(32*unit))
}

// TestSquareRoot guards against an endless or inexact iteration.
func TestSquareRoot(t *testing.T) {
	for n := range int64(2000) {
		root := squareRoot(n)
		require.LessOrEqual(t, root*root, n)
		require.Greater(t, (root+1)*(root+1), n)
	}
}

// draws gives declared and actual lengths in milliseconds.
type draws struct {
	rand *rand.Rand
	// mean is the median of the actual lengths, spread their log deviation and error that of the declared ones from them.
	mean, spread, error float64
	// tails is the share of the runs that take seven times as long.
	tails float64
}

func (d *draws) draw() (declared, actual uint32) {
	length := d.mean * math.Exp(d.spread*d.rand.NormFloat64())
	declared = uint32(max(1, length*math.Exp(d.error*d.rand.NormFloat64())))
	if d.rand.Float64() < d.tails {
		length *= 7
	}
	return declared, uint32(max(1, length))
}

// TestExpectation guards against expectations that are worse than declared lengths, that trust a declared length that says
// little or distrust one that says much, or that follow outliers.
func TestExpectation(t *testing.T) {
	tests := []struct {
		error, tails float64
		samples      int
		// low and high bound the expectation of a task that declares four times the mean of its queue.
		low, high float64
		// deviation bounds the log deviation of the actual lengths from the expected ones, tails aside.
		deviation float64
	}{
		{error: 0.2, samples: 2000, low: 2.9, high: 4.2, deviation: 0.22},
		{error: 0.2, tails: 0.03, samples: 2000, low: 2.9, high: 4.6, deviation: 0.25},
		{error: 0.9, samples: 2000, low: 1.1, high: 2, deviation: 0.48},
		{error: 0.9, tails: 0.03, samples: 2000, low: 1.1, high: 2.2, deviation: 0.5},
		{error: 0.9, tails: 0.03, samples: 60, low: 0.8, high: 3.2, deviation: 0.65},
		{error: 0.2, samples: 30, low: 2.3, high: 4.6, deviation: 0.35},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			for seed := range uint64(5) {
				d := &draws{rand: rand.New(rand.NewPCG(seed, 1)), mean: 1000, spread: 0.5, error: test.error, tails: test.tails}
				e := New()
				for range test.samples {
					declared, actual := d.draw()
					e.Record("q", declared, actual, 1)
				}
				expected, known := e.Expected("q", 4000)
				require.True(t, known)
				require.GreaterOrEqual(t, float64(expected), 1000*test.low)
				require.LessOrEqual(t, float64(expected), 1000*test.high)
				d.tails = 0
				var squares float64
				const trials = 2000
				for range trials {
					declared, actual := d.draw()
					expected, _ := e.Expected("q", declared)
					squares += math.Pow(math.Log(float64(expected)/float64(actual)), 2)
				}
				require.LessOrEqual(t, math.Sqrt(squares/trials), test.deviation)
			}
		})
	}
}

// TestUnknownWithFewSamples guards against replacing declared lengths by a few runs, also if these are many tasks of one
// step.
func TestUnknownWithFewSamples(t *testing.T) {
	e := New()
	_, known := e.Expected("q", 1000)
	require.False(t, known)
	for range 7 {
		e.Record("q", 1000, 3000, 1)
	}
	for range 15 {
		e.Record("q", 1000, 3000, 100)
	}
	_, known = e.Expected("q", 1000)
	require.False(t, known)
	e.Record("q", 1000, 3000, 1)
	ms, known := e.Expected("q", 1000)
	require.True(t, known)
	require.InEpsilon(t, 3000, float64(ms), 0.1)
	_, known = e.Expected("other", 1000)
	require.False(t, known, "queues are apart")
}

// TestWithoutDeclaredLength guards against an unknown expectation for tasks that declare no length.
func TestWithoutDeclaredLength(t *testing.T) {
	e := New()
	for range 20 {
		e.Record("q", 1000, 500, 1)
	}
	ms, known := e.Expected("q", 0)
	require.True(t, known)
	require.InEpsilon(t, 500, float64(ms), 0.1)
	for range 500 {
		e.Record("q", 0, 4000, 1)
	}
	ms, _ = e.Expected("q", 0)
	require.Greater(t, ms, uint32(2500), "the tasks without one have their own range")
}

// TestDecay guards against keeping what a queue was like for ever, and against weights without a bound.
func TestDecay(t *testing.T) {
	e := New()
	d := &draws{rand: rand.New(rand.NewPCG(1, 1)), mean: 1000, spread: 0.5, error: 0.9}
	for range 5000 {
		declared, actual := d.draw()
		e.Record("q", declared, actual, 1)
	}
	before, _ := e.Expected("q", 1000)
	for range 700 {
		declared, actual := d.draw()
		e.Record("q", declared, 3*actual, 1)
	}
	after, _ := e.Expected("q", 1000)
	require.InEpsilon(t, 3*float64(before), float64(after), 0.2)
	var weight uint64
	for _, c := range e.State()[0].GetCells() {
		weight += c.GetWeight()
	}
	require.Less(t, weight, uint64(maxWeight))
}

// TestHalvedWeightsKeepMeans guards against means that change when weights are rounded: half of 3 is 1.
func TestHalvedWeightsKeepMeans(t *testing.T) {
	for weight := range int64(40) {
		c := cell{weight: weight, logSum: 10_000 * weight, squareSum: 100_000_000 * weight}
		c.halve()
		require.Equal(t, cell{weight: weight / 2, logSum: 10_000 * (weight / 2), squareSum: 100_000_000 * (weight / 2)}, c)
	}
}

// TestBounds guards against values out of range, and against memory without a bound.
func TestBounds(t *testing.T) {
	e := New()
	for _, declared := range []uint32{0, 1, 31, 32, 1 << 20, 1 << 21, math.MaxUint32} {
		for _, ran := range []uint32{0, 1, math.MaxUint32} {
			for range 20 {
				e.Record("q", declared, ran, 1)
			}
		}
		ms, _ := e.Expected("q", declared)
		require.LessOrEqual(t, ms, uint32(MaxRunTimeMs))
		require.GreaterOrEqual(t, ms, uint32(1))
	}
	for i := range 3 * maxQueues {
		e.Record(fmt.Sprint(i), 1000, 1000, 1)
	}
	require.Len(t, e.Queues(), maxQueues)
	require.Contains(t, e.Queues(), "q", "the queue with the fewest samples makes room")
}

// TestFixedNumbers guards against arithmetic whose result depends on the processor: the expected numbers are the same
// everywhere.
func TestFixedNumbers(t *testing.T) {
	e := New()
	n := uint32(12345)
	for range 8000 {
		n = n*1664525 + 1013904223
		declared := 200 + n>>20
		n = n*1664525 + 1013904223
		e.Record("q", declared, declared/2+n>>19, 1+n%20)
	}
	var expected []uint32
	for _, declared := range []uint32{0, 50, 300, 1000, 2000, 4000, 100_000} {
		ms, known := e.Expected("q", declared)
		require.True(t, known)
		expected = append(expected, ms)
	}
	require.Equal(t, []uint32{5240, 2660, 3823, 4549, 4767, 6270, 11215}, expected)
	require.Len(t, e.State(), 1)
	var weight uint64
	var logs, squares int64
	for _, c := range e.State()[0].GetCells() {
		weight, logs, squares = weight+c.GetWeight(), logs+c.GetLogSum(), squares+c.GetLogSquareSum()
	}
	require.Equal(t, []int64{5171, 64311426, 803331053502}, []int64{int64(weight), logs, squares})
}

// TestRestore guards against a node that restores a snapshot and then computes other numbers than one that has applied all
// commands, and against a snapshot with values that overflow.
func TestRestore(t *testing.T) {
	e := New()
	d := &draws{rand: rand.New(rand.NewPCG(1, 1)), mean: 1000, spread: 0.5, error: 0.9}
	for range 300 {
		declared, actual := d.draw()
		e.Record("b", declared, actual, 3)
		e.Record("a", declared, actual, 1)
	}
	restored := Restore(e.State())
	require.Equal(t, e, restored)
	for range 300 {
		declared, actual := d.draw()
		e.Record("a", declared, actual, 1)
		restored.Record("a", declared, actual, 1)
	}
	require.Equal(t, e.State(), restored.State())
	broken := Restore([]*wire.RuntimeStatistics{{Queue: "q", Cells: []*wire.RuntimeCell{
		{Range: rangeCount, Weight: 500, LogSum: 1},
		{Range: 1, Weight: math.MaxUint64, LogSum: 1},
		{Range: 2, Weight: 200, LogSum: math.MaxInt64},
		{Range: 3, Weight: 200, LogSum: 1, LogSquareSum: -1},
	}}})
	_, known := broken.Expected("q", 1000)
	require.False(t, known)
}
