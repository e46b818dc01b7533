// Package fingerprint hashes worker reports, so that an unchanged report need not be sent again.
package fingerprint

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

// Report returns a 64-bit hash of a report. The poll number, the session and the usage are left out, as they change
// with every poll. Two builds of the program may compute different hashes of the same report; it is then sent in full.
func Report(report *wire.WorkerReport) (uint64, error) {
	stable := proto.Clone(report).(*wire.WorkerReport)
	stable.Poll, stable.Session = 0, 0
	for _, status := range stable.GetTasks() {
		status.Usage = nil
	}
	// A worker may list its tasks in any order.
	slices.SortFunc(stable.GetTasks(), func(a, b *wire.TaskStatus) int {
		return cmp.Or(cmp.Compare(a.GetTask(), b.GetTask()), cmp.Compare(a.GetAttempt(), b.GetAttempt()))
	})
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(stable)
	if err != nil {
		return 0, fmt.Errorf("encode report: %w", err)
	}
	h := fnv.New64a()
	_, _ = h.Write(data)
	return h.Sum64(), nil
}
