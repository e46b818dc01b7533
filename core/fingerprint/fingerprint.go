// Package fingerprint compares workers' reports without sending them.
package fingerprint

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"

	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

// Report returns a 64-bit hash of all that a report says, except its poll number, its session and the usage, which
// change with every poll. Two builds of the program may hash the same report differently; it is then sent in full.
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
