package lessor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/fingerprint"
	"flamingodrift.example/core/wire"
)

func report(poll uint64, tasks ...string) *wire.WorkerReport {
	w := &wire.WorkerReport{Worker: "w1", Boot: "1", Poll: poll, Session: 2}
	for _, task := range tasks {
		w.Tasks = append(w.Tasks, &wire.TaskStatus{Task: task, Usage: &wire.Resources{CpuMilli: int64(poll)}})
	}
	return w
}

func renewal(t *testing.T, handle uint32, session uint64, of *wire.WorkerReport) *wire.WorkerReports {
	t.Helper()
	hash, err := fingerprint.Report(of)
	require.NoError(t, err)
	return &wire.WorkerReports{
		RenewedHandles: []uint32{handle}, RenewedPolls: []uint64{of.GetPoll()}, RenewedPrints: []uint64{hash},
		Session: session,
	}
}

// TestRenewalMatchesNewestFullReport guards against conclusions from a renewal that does not equal the newest full
// report that this leader received.
func TestRenewalMatchesNewestFullReport(t *testing.T) {
	l := newLessor(2, 0)
	full := &wire.WorkerReports{Reports: []*wire.WorkerReport{report(1, "a", "b")}}
	reply := &wire.WorkerOrders{}
	require.Len(t, l.Expand(full, reply, 0), 1)
	reply.Workers = []*wire.WorkerOrder{{Worker: "w1"}}
	l.Compact(full, reply)
	handle := reply.GetWorkers()[0].GetHandle()
	require.NotZero(t, handle)

	cases := []struct {
		name  string
		batch *wire.WorkerReports
		known bool
	}{
		{"same but for usage", renewal(t, handle, 2, report(2, "a", "b")), true},
		{"a task is missing", renewal(t, handle, 2, report(3, "a")), false},
		{"other leader's session", renewal(t, handle, 1, report(4, "a", "b")), false},
		{"unknown handle", renewal(t, handle+1, 2, report(5, "a", "b")), false},
		{"lists of unequal length", &wire.WorkerReports{RenewedHandles: []uint32{handle}, Session: 2}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reply := &wire.WorkerOrders{}
			expanded := l.Expand(c.batch, reply, 0)
			if !c.known {
				require.Empty(t, expanded)
				require.Equal(t, c.batch.GetRenewedHandles(), reply.GetUnknownHandles())
				return
			}
			require.Len(t, expanded, 1)
			require.Equal(t, c.batch.GetRenewedPolls()[0], expanded[0].GetPoll())
			require.EqualValues(t, 2, expanded[0].GetSession())
			require.Len(t, expanded[0].GetTasks(), 2)
			require.Empty(t, reply.GetUnknownHandles())
			reply.Workers = []*wire.WorkerOrder{{Worker: "w1", LeaseMs: 1}}
			l.Compact(c.batch, reply)
			require.Empty(t, reply.GetWorkers(), "a renewal that only grants the lease has no entry in the reply")
		})
	}

	// A delayed full report does not replace a newer one, so a renewal that refers to it is unknown.
	newer := &wire.WorkerReports{Reports: []*wire.WorkerReport{report(10, "a")}}
	l.Expand(newer, &wire.WorkerOrders{}, 0)
	l.Expand(full, &wire.WorkerOrders{}, 0)
	require.Empty(t, l.Expand(renewal(t, handle, 2, report(11, "a", "b")), &wire.WorkerOrders{}, 0))
	require.Len(t, l.Expand(renewal(t, handle, 2, report(12, "a")), &wire.WorkerOrders{}, 0), 1)
}

// TestOldUsageIsAskedFor guards against usage that is never updated because every poll is a renewal, and against
// requesting it through each of many entry processes.
func TestOldUsageIsAskedFor(t *testing.T) {
	l := newLessor(2, 0)
	full := &wire.WorkerReports{Reports: []*wire.WorkerReport{report(1, "a")}}
	reply := &wire.WorkerOrders{Workers: []*wire.WorkerOrder{{}}}
	l.Expand(full, reply, 0)
	l.Compact(full, reply)
	handle := reply.GetWorkers()[0].GetHandle()
	cases := []struct {
		at      time.Duration
		unknown int
	}{{59 * time.Second, 0}, {60 * time.Second, 1}}
	for i, c := range cases {
		reply := &wire.WorkerOrders{}
		l.Expand(renewal(t, handle, 2, report(uint64(i+2), "a")), reply, c.at)
		require.Len(t, reply.GetUnknownHandles(), c.unknown, c.at)
	}
	l.Expand(&wire.WorkerReports{Reports: []*wire.WorkerReport{report(9, "a")}}, &wire.WorkerOrders{}, time.Minute)
	reply = &wire.WorkerOrders{}
	l.Expand(renewal(t, handle, 2, report(10, "a")), reply, time.Minute)
	require.Empty(t, reply.GetUnknownHandles(), "the full report reached another entry process")
}

// TestFingerprintIgnoresTaskOrder guards against a worker that never sends a renewal because it lists its tasks in
// another order with each poll.
func TestFingerprintIgnoresTaskOrder(t *testing.T) {
	one, err := fingerprint.Report(report(1, "a", "b"))
	require.NoError(t, err)
	other, err := fingerprint.Report(report(2, "b", "a"))
	require.NoError(t, err)
	require.Equal(t, one, other)
}
