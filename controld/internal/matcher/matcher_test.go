package matcher

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingodrift.example/controld/internal/resource"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

func amount(cpu, memory, gpus int64) resource.Vector {
	return resource.New(&wire.Resources{CpuMilli: cpu, MemoryMb: memory, Accelerators: gpus})
}

// TestMatchAgainstEachWorker guards the grouping of workers: a match must name the workers, and no others, that a look at
// each of them finds, and it is possible exactly if they have room for all tasks that run at the same time.
func TestMatchAgainstEachWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		label := rapid.SampledFrom([]string{"", "a", "b", "r1-1", "missing"})
		size := rapid.Int64Range(0, 3)
		var workers []Worker
		for i := range rapid.IntRange(0, 12).Draw(t, "workers") {
			w := Worker{Name: fmt.Sprint("w", i), Pool: rapid.SampledFrom([]string{"p", "o"}).Draw(t, "pool")}
			w.Capacity = amount(size.Draw(t, "cpu"), size.Draw(t, "memory"), size.Draw(t, "gpus"))
			w.Labels = rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "r1-1"}), 0, 2).Draw(t, "labels")
			workers = append(workers, w)
		}
		r := Requirement{
			Pool: "p", Label: label.Draw(t, "label"), Together: rapid.IntRange(1, 6).Draw(t, "together"),
			MostPerWorker: rapid.IntRange(0, 2).Draw(t, "most"),
			Need:          amount(size.Draw(t, "need cpu"), size.Draw(t, "need memory"), size.Draw(t, "need gpus")),
		}
		var want []string
		copies, cpu, inPool := int64(0), int64(0), 0
		for _, w := range workers {
			if w.Pool == r.Pool {
				inPool++
			}
			if w.Pool == r.Pool && (r.Label == "" || slices.Contains(w.Labels, r.Label)) && r.Need.FitsIn(w.Capacity) {
				want, copies, cpu = append(want, w.Name), copies+CopiesOn(r, w.Capacity), cpu+w.Capacity.CPU()
			}
		}
		m := New(workers)
		match := m.Match(r)
		require.Same(t, match, m.Match(r))
		require.Equal(t, copies >= int64(r.Together), match.Possible())
		why, detail := match.Missing()
		require.Equal(t, match.Possible(), why == reason.None)
		require.Equal(t, match.Possible(), detail == "")
		if !match.Possible() {
			require.Empty(t, match.Set().Groups())
			return
		}
		var got []string
		for _, g := range match.Set().Groups() {
			got = append(got, g.Workers()...)
		}
		require.ElementsMatch(t, want, got)
		require.Equal(t, len(want), match.Set().Workers())
		require.Equal(t, cpu, match.Set().CPU())
		require.Equal(t, inPool == len(want), match.Set().IsPool())
		for _, w := range workers {
			require.Equal(t, slices.Contains(want, w.Name), match.Set().Has(m.GroupOf(w.Name)))
		}
	})
}

// TestMatchesAreBounded guards against memory that grows with each size of task that callers think of.
func TestMatchesAreBounded(t *testing.T) {
	m := New([]Worker{{Name: "w", Pool: "p", Capacity: amount(1, 1, 0)}})
	for i := range 3 * maxMatches {
		m.Match(Requirement{Pool: "p", Need: amount(int64(i), 0, 0), Together: 1})
	}
	require.LessOrEqual(t, len(m.matches), maxMatches)
	require.False(t, (&Set{}).Has(nil))
	require.False(t, m.Match(Requirement{Pool: "p", Need: amount(2, 0, 0), Together: 1}).Set().Has(m.GroupOf("w")))
}
