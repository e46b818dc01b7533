package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

const (
	outcomeOK         = wire.QueueOutcome_QUEUE_OUTCOME_OK
	outcomeUnknownKey = wire.QueueOutcome_QUEUE_OUTCOME_UNKNOWN_KEY
	outcomeNoJob      = wire.QueueOutcome_QUEUE_OUTCOME_NO_JOB
	outcomeNoQueue    = wire.QueueOutcome_QUEUE_OUTCOME_NO_QUEUE
	outcomeTurnedAway = wire.QueueOutcome_QUEUE_OUTCOME_TURNED_AWAY
	outcomeInvalid    = wire.QueueOutcome_QUEUE_OUTCOME_INVALID
)

// workspacesCall configures the queues of configureCall, of which "open" is public, and two workspaces.
func workspacesCall(version uint64, keysOfA ...string) *wire.QueueCall {
	config := configureCall(version).GetConfigure()
	config.Queues = append(config.Queues, &wire.Queue{Name: "open", Host: "h", Prefix: "/open/", Pool: "p", Public: true})
	config.KeysRequired = true
	config.Workspaces = []*wire.Workspace{
		{Name: "a", Keys: keysOfA, MaxCpuMillis: 1500}, {Name: "b", Keys: []string{"kb"}},
	}
	return &wire.QueueCall{Body: &wire.QueueCall_Configure{Configure: config}}
}

// withKey returns a call with the key of a workspace and, if given, another path.
func withKey(call *wire.QueueCall, key, path string) *wire.QueueCall {
	for _, job := range []*wire.JobCall{call.GetSubmit(), call.GetState(), call.GetCancel(), call.GetCount()} {
		if job == nil {
			continue
		}
		if job.Key = key; path != "" {
			job.Path = path
		}
	}
	return call
}

func cancelCall(number int) *wire.QueueCall {
	return &wire.QueueCall{Body: &wire.QueueCall_Cancel{Cancel: stateCall(number).GetState()}}
}

func countCall() *wire.QueueCall {
	return &wire.QueueCall{Body: &wire.QueueCall_Count{Count: &wire.JobCall{Host: "h", Path: "/q/"}}}
}

// outcome sends a call to the leader and returns its outcome.
func (g *group) outcome(call *wire.QueueCall) wire.QueueOutcome {
	reply := g.call(g.awaitLeader(), call)
	g.runUntil(5*time.Second, "the call is not answered", func() bool { return *reply != nil })
	return (*reply).GetQueue().GetOutcome()
}

// TestKeyDecidesWhoMayCall guards against calls without a key in force, and against a workspace that reads or cancels the
// jobs of another.
func TestKeyDecidesWhoMayCall(t *testing.T) {
	f := newFakeFleet(t, 1, 0)
	g := newGroupWithQueues(t, 3, f.config())
	f.group = g
	g.callUntilOK(workspacesCall(1, "ka"))
	small := func(number int) *wire.QueueCall {
		call := submitCall(number)
		call.GetSubmit().GetJob().GetSteps()[0].CpuMillis = 500
		return call
	}
	tests := []struct {
		name string
		call *wire.QueueCall
		want wire.QueueOutcome
	}{
		{"submit without a key", withKey(small(1), "", ""), outcomeUnknownKey},
		{"submit with an unknown key", withKey(small(1), "kx", ""), outcomeUnknownKey},
		{"unknown queue", withKey(small(1), "kx", "/none/x"), outcomeNoQueue},
		{"submit", withKey(small(1), "ka", ""), outcomeOK},
		{"submit again", withKey(small(1), "ka", ""), outcomeOK},
		{"submit an id of another workspace", withKey(small(1), "kb", ""), outcomeInvalid},
		{"read", withKey(stateCall(1), "ka", ""), outcomeOK},
		{"read without a key", withKey(stateCall(1), "", ""), outcomeUnknownKey},
		{"read a job of another workspace", withKey(stateCall(1), "kb", ""), outcomeNoJob},
		{"cancel a job of another workspace", withKey(cancelCall(1), "kb", ""), outcomeNoJob},
		{"cancel without a key", withKey(cancelCall(1), "kx", ""), outcomeUnknownKey},
		{"read a job that does not exist", withKey(stateCall(9), "ka", ""), outcomeNoJob},
		{"read a path without an id and without a key", withKey(stateCall(9), "kx", "/q/none"), outcomeUnknownKey},
		{"read a path without an id", withKey(stateCall(9), "ka", "/q/none"), outcomeNoQueue},
		{"count", withKey(countCall(), "kb", ""), outcomeOK},
		{"count without a key", withKey(countCall(), "", ""), outcomeUnknownKey},
		{"public queue without a key", withKey(small(2), "", "/open/"+submitID(2)), outcomeOK},
		{"read from a public queue", withKey(stateCall(2), "", "/open/"+submitID(2)), outcomeOK},
		{"task above the limit", withKey(&wire.QueueCall{Body: &wire.QueueCall_Submit{Submit: &wire.JobCall{
			Host: "h", Path: "/q/" + submitID(3), Job: &wire.SubmittedJob{Steps: []*wire.JobStep{{Count: 1, CpuMillis: 1501}}},
		}}}, "ka", ""), outcomeTurnedAway},
		{"cancel", withKey(cancelCall(1), "ka", ""), outcomeOK},
		{"read after the end", withKey(stateCall(1), "kb", ""), outcomeNoJob},
	}
	for _, test := range tests {
		require.Equal(t, test.want, g.outcome(test.call), test.name)
	}
}

// TestRevokedKeyStaysRevoked guards against a key that works again after it was taken away: at the next leader, when the
// older configuration arrives again, and at a former leader that was frozen meanwhile.
func TestRevokedKeyStaysRevoked(t *testing.T) {
	f := newFakeFleet(t, 1, 0)
	g := newGroupWithQueues(t, 3, f.config())
	f.group = g
	g.callUntilOK(workspacesCall(1, "old"))
	former := g.awaitLeader()
	require.Equal(t, outcomeOK, g.outcome(withKey(countCall(), "old", "")))
	former.down = true
	g.runUntil(10*time.Second, "no other leader", func() bool { return g.leader() != nil && g.leader() != former })
	g.callUntilOK(workspacesCall(2, "new"))
	g.callUntilOK(workspacesCall(1, "old"))
	require.Equal(t, outcomeUnknownKey, g.outcome(withKey(countCall(), "old", "")))
	require.Equal(t, outcomeOK, g.outcome(withKey(countCall(), "new", "")))
	former.down = false
	reply := g.call(former, withKey(countCall(), "old", ""))
	for range 40 {
		g.run(testTick)
		require.NotEqual(t, outcomeOK, (*reply).GetQueue().GetOutcome())
	}
	for _, node := range g.others(g.leader()) {
		reply := g.call(node, withKey(countCall(), "old", ""))
		g.run(time.Second)
		require.NotEqual(t, outcomeOK, (*reply).GetQueue().GetOutcome())
	}
}
