package speedestimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// run records a run with an expected length of a second on a worker of a speed. Bias is by how much all lengths exceed
// what is expected.
func run(e *Estimator, r *rand.Rand, worker string, speed, bias, deviation float64) {
	actual := bias / speed * math.Exp(deviation*r.NormFloat64())
	if r.Float64() < 0.03 {
		actual *= 7
	}
	e.Record(worker, time.Second, time.Duration(actual*float64(time.Second)), deviation)
}

// TestFactors guards against speeds that are off, and against taking for the workers' speed that all lengths exceed what is
// expected, which the learned lengths would then follow without end.
func TestFactors(t *testing.T) {
	speeds := []float64{0.55, 0.8, 0.95, 1, 1.2}
	for _, bias := range []float64{0.5, 1, 2.5} {
		for _, deviation := range []float64{0.3, 0.5} {
			t.Run(fmt.Sprint(bias, deviation), func(t *testing.T) {
				r := rand.New(rand.NewPCG(1, 1))
				e := New()
				const workers = 50
				for i := range 40 * workers {
					run(e, r, fmt.Sprint(i%workers), speeds[i%len(speeds)], bias, deviation)
				}
				var squares, mean float64
				for _, s := range speeds {
					mean += math.Log(s) / float64(len(speeds))
				}
				for i := range workers {
					off := math.Log(e.Factor(fmt.Sprint(i))) - math.Log(speeds[i%len(speeds)]) + mean
					squares += off * off / workers
				}
				require.Less(t, math.Sqrt(squares), 0.2)
			})
		}
	}
}

// TestSlowedWorker guards against keeping a worker's former speed after it has become five times slower.
func TestSlowedWorker(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 1))
	e := New()
	for i := range 1000 {
		run(e, r, fmt.Sprint(i%20), 1, 1, 0.3)
	}
	require.InDelta(t, 1, e.Factor("3"), 0.3)
	for range 12 {
		run(e, r, "3", 0.2, 1, 0.3)
	}
	require.Less(t, e.Factor("3"), 0.4)
	require.InDelta(t, 1, e.Factor("4"), 0.3)
}

// TestUnknownWorker guards against preferring or avoiding workers without runs, and against invalid lengths.
func TestUnknownWorker(t *testing.T) {
	e := New()
	e.Record("a", 0, time.Second, 0.3)
	e.Record("a", time.Second, 0, 0.3)
	require.InDelta(t, 1, e.Factor("a"), 0)
	for range 100 {
		e.Record("b", time.Nanosecond, time.Hour, 0.3)
		e.Record("c", time.Hour, time.Nanosecond, 0.3)
	}
	require.GreaterOrEqual(t, e.Factor("b"), minFactor)
	require.LessOrEqual(t, e.Factor("c"), maxFactor)
}
