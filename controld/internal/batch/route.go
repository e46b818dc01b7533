package batch

import (
	"fmt"
	"strings"

	"flamingodrift.example/core/wire"
)

const (
	idLength     = 16
	maxSpecBytes = 4000
	maxSteps     = 64
	// MaxTasks bounds the tasks of one job.
	MaxTasks = 10_000
	// maxAmount bounds what a task may ask for, in the unit of each resource. No worker may report more, and sums over all
	// tasks must not overflow.
	maxAmount = 1 << 40
)

// Route returns the queue of the configuration in force that has the host and the longest matching path prefix, and the
// rest of the path.
func (b *Batch) Route(host, path string) (queue *wire.Queue, rest string, ok bool) {
	for _, q := range b.config.GetQueues() {
		if !strings.EqualFold(q.GetHost(), host) || !strings.HasPrefix(path, q.GetPrefix()) {
			continue
		}
		if queue == nil || len(q.GetPrefix()) > len(queue.GetPrefix()) {
			queue = q
		}
	}
	if queue == nil {
		return nil, "", false
	}
	return queue, path[len(queue.GetPrefix()):], true
}

// CheckJob returns a sentence about the first problem of a submitted job, or an empty string when it is valid.
func CheckJob(job *wire.SubmittedJob) string {
	if !isID(job.GetId()) {
		return "the job id must have 16 hexadecimal digits"
	}
	if len(job.GetSpec()) > maxSpecBytes {
		return fmt.Sprintf("the spec has more than %d bytes", maxSpecBytes)
	}
	if len(job.GetSteps()) == 0 || len(job.GetSteps()) > maxSteps {
		return fmt.Sprintf("a job has 1 to %d steps", maxSteps)
	}
	tasks := 0
	for number, step := range job.GetSteps() {
		tasks += int(step.GetCount())
		if step.GetCount() == 0 || tasks > MaxTasks {
			return fmt.Sprintf("step %d: a job has 1 to %d tasks", number, MaxTasks)
		}
		for _, before := range step.GetAfter() {
			if int(before) >= number {
				return fmt.Sprintf("step %d depends on step %d, which is not an earlier one", number, before)
			}
		}
		for _, amount := range []int64{step.GetCpuMillis(), step.GetMemoryMb(), step.GetGpus()} {
			if amount < 0 || amount > maxAmount {
				return fmt.Sprintf("step %d asks for an amount below 0 or above %d", number, int64(maxAmount))
			}
		}
	}
	return ""
}

func isID(id string) bool {
	if len(id) != idLength {
		return false
	}
	return strings.Trim(id, "0123456789abcdefABCDEF") == ""
}
