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

// Reference is what the host and the path of a call refer to. All calls read their path through it, so that a queue and a
// job are the same for each of them.
type Reference struct {
	queue *wire.Queue
	rest  string
	job   *Job
}

// Queue returns the queue of the configuration in force that has the host and the longest matching path prefix; nil when
// there is none.
func (r Reference) Queue() *wire.Queue { return r.queue }

// Rest returns the part of the path after the prefix of the queue: a job's id, or nothing if the path is that of the queue.
func (r Reference) Rest() string { return r.rest }

// Job returns the job that was accepted under the path, whatever queues the configuration in force has; nil when there is
// none.
func (r Reference) Job() *Job { return r.job }

// IsQueue reports whether the path is that of a queue and not of a job.
func (r Reference) IsQueue() bool { return r.job == nil && r.queue != nil && r.rest == "" }

// NamesJob reports whether the path is that of a queue followed by a valid id.
func (r Reference) NamesJob() bool { return r.queue != nil && isID(r.rest) }

// Resolve returns what a path refers to.
func (b *Batch) Resolve(host, path string) Reference {
	r := Reference{job: b.jobAt(host, path)}
	for _, q := range b.config.GetQueues() {
		if !strings.EqualFold(q.GetHost(), host) || !strings.HasPrefix(path, q.GetPrefix()) {
			continue
		}
		if r.queue == nil || len(q.GetPrefix()) > len(r.queue.GetPrefix()) {
			r.queue, r.rest = q, path[len(q.GetPrefix()):]
		}
	}
	return r
}

// jobAt returns the job that was accepted under a path; nil when there is none. All ids have the same length, so the path
// tells its id without the queues.
func (b *Batch) jobAt(host, path string) *Job {
	if len(path) < idLength {
		return nil
	}
	prefix, id := path[:len(path)-idLength], path[len(path)-idLength:]
	if j := b.jobs[id]; j != nil && (!j.hasPath() || j.acceptedUnder(host, prefix)) {
		return j
	}
	return nil
}

// hasPath reports whether the path under which the job was accepted is known. Versions before the field did not store it.
func (j *Job) hasPath() bool { return j.spec.GetPrefix() != "" }

// acceptedUnder reports whether the job was accepted under a host and a path prefix.
func (j *Job) acceptedUnder(host, prefix string) bool {
	return j.spec.GetPrefix() == prefix && strings.EqualFold(j.spec.GetHost(), host)
}

// BelongsTo reports whether the job was accepted for a queue, or under its path when that was the path of another one.
func (j *Job) BelongsTo(queue *wire.Queue) bool {
	return j.queue.GetName() == queue.GetName() || j.hasPath() && j.acceptedUnder(queue.GetHost(), queue.GetPrefix())
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
