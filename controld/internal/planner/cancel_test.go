package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

// BenchmarkCancel measures the cancellation of one job while half of the waiting jobs are cancelled.
func BenchmarkCancel(b *testing.B) {
	for _, queue := range []int{1_000, 10_000} {
		b.Run(fmt.Sprint(queue), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				f := newFixture(b, "waiting")
				rows := make([]*wire.JobSpec, 0, queue)
				for i := range queue {
					rows = append(rows, row(fmt.Sprintf("j%05d", i), 1, 1))
				}
				f.add(rows...)
				require.Len(b, f.cell.WaitingJobs(), queue)
				b.StartTimer()
				began := time.Now()
				for i := range queue / 2 {
					f.cancel(rows[2*i].GetKey())
				}
				b.ReportMetric(float64(time.Since(began).Nanoseconds())/float64(queue/2), "ns/cancel")
				require.Len(b, f.cell.WaitingJobs(), queue/2)
			}
		})
	}
}
