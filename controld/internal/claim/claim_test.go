package claim_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingodrift.example/controld/internal/claim"
	"flamingodrift.example/core/wire"
)

const (
	granted       = wire.ClaimState_CLAIM_STATE_GRANTED
	running       = wire.ClaimState_CLAIM_STATE_RUNNING
	answered      = wire.ClaimState_CLAIM_STATE_ANSWERED
	unknown       = wire.ClaimState_CLAIM_STATE_UNKNOWN
	keyReused     = wire.ClaimState_CLAIM_STATE_KEY_REUSED
	full          = wire.ClaimState_CLAIM_STATE_FULL
	withdrawn     = wire.ClaimState_CLAIM_STATE_WITHDRAWN
	notSent       = wire.ClaimState_CLAIM_STATE_UNSPECIFIED
	smallBody     = 100
	oversizedBody = claim.MaxAnswerBytes + 1
	largerBody    = 4_000
)

func open(caller, key, body, entry, id string) *wire.ClaimRequest {
	return &wire.ClaimRequest{Caller: caller, Key: key, Digest: []byte(body), Entry: entry, Boot: "1", ClaimId: id}
}

func settle(r *wire.ClaimRequest, state wire.ClaimState, bodyBytes int) *wire.SettleRequest {
	s := &wire.SettleRequest{Caller: r.GetCaller(), Key: r.GetKey(), ClaimId: r.GetClaimId(), State: state}
	if state == answered {
		s.Answer = &wire.Answer{Status: 200, Body: make([]byte, bodyBytes)}
	}
	return s
}

// Guards against running a request twice, for each way in which a caller or an entry process can repeat it.
func TestRepeatedRequestIsNotGranted(t *testing.T) {
	first := open("kapana", "k1", "body", "e1", "c1")
	cases := []struct {
		name   string
		settle *wire.SettleRequest
		orphan bool
		second *wire.ClaimRequest
		want   wire.ClaimState
	}{
		{"resent while running", nil, false, open("kapana", "k1", "body", "e2", "c2"), running},
		{"claim reply lost and claim repeated", nil, false, first, granted},
		{
			"resent after the answer", settle(first, answered, smallBody), false,
			open("kapana", "k1", "body", "e2", "c2"), answered,
		},
		{
			"resent after an unknown outcome", settle(first, unknown, 0), false,
			open("kapana", "k1", "body", "e2", "c2"), unknown,
		},
		{
			"resent after the entry process was lost", nil, true,
			open("kapana", "k1", "body", "e2", "c2"), unknown,
		},
		{"other body", nil, false, open("kapana", "k1", "other", "e2", "c2"), keyReused},
		{"other caller", nil, false, open("fraser", "k1", "body", "e2", "c2"), granted},
		{
			"withdrawn and sent again", settle(first, notSent, 0), false,
			open("kapana", "k1", "body", "e2", "c2"), granted,
		},
		{"copy of a withdrawn claim", settle(first, notSent, 0), false, first, withdrawn},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := claim.New()
			require.Equal(t, granted, table.Open(first, 0).GetState())
			if c.settle != nil {
				table.Settle(c.settle)
			}
			if c.orphan {
				require.Equal(t, 1, table.Orphan("e1", "1"))
			}
			require.Equal(t, c.want, table.Open(c.second, 1).GetState())
		})
	}
}

// Guards against a claim that stays running forever because a delayed copy of it arrives after its withdrawal.
func TestClaimWithdrawnBeforeItArrives(t *testing.T) {
	table := claim.New()
	first := open("kapana", "k1", "body", "e1", "c1")
	table.Settle(settle(first, notSent, 0))
	table = claim.Restore(table.State())
	require.Equal(t, withdrawn, table.Open(first, 0).GetState())
	require.Empty(t, table.Holders())
	require.Equal(t, granted, table.Open(open("kapana", "k1", "body", "e1", "c2"), 0).GetState())
}

// Guards against dropping a late answer, and against replacing an earlier answer by it.
func TestLateAnswerReplacesUnknownOutcome(t *testing.T) {
	table := claim.New()
	first := open("kapana", "k1", "body", "e1", "c1")
	table.Open(first, 0)
	table.Orphan("e1", "1")
	table.Settle(settle(first, notSent, 0))
	require.Equal(t, unknown, table.Open(open("kapana", "k1", "body", "e2", "c2"), 0).GetState(),
		"an orphaned claim is not withdrawn")
	table.Settle(settle(first, answered, smallBody))
	table.Settle(settle(first, answered, smallBody+1))
	reply := table.Open(open("kapana", "k1", "body", "e2", "c3"), 0)
	require.Equal(t, answered, reply.GetState())
	require.Len(t, reply.GetAnswer().GetBody(), smallBody)
}

// Guards against evicting a claim before its retention ends, and against a table that stays full after claims expire.
func TestFullTableRefusesUntilClaimsExpire(t *testing.T) {
	table := claim.New()
	for i := range claim.MaxClaims {
		r := open("kapana", fmt.Sprint(i), "body", "e1", fmt.Sprint(i))
		require.Equal(t, granted, table.Open(r, int64(i)).GetState())
		table.Settle(settle(r, answered, 0))
	}
	require.Equal(t, full, table.Open(open("kapana", "new", "body", "e1", "new"), 0).GetState())
	require.Equal(t, answered, table.Open(open("kapana", "0", "body", "e2", "again"), 0).GetState())
	retained := claim.Retention.Milliseconds()
	require.Zero(t, table.Expired(10, retained-1))
	require.Equal(t, 1, table.Expire(10, retained))
	require.Equal(t, granted, table.Open(open("kapana", "new", "body", "e1", "new"), retained).GetState())
}

// Guards against answers that exceed the memory limit, and against dropping a claim together with its answer.
func TestAnswersAreBounded(t *testing.T) {
	table := claim.New()
	large := open("kapana", "large", "body", "e1", "large")
	table.Open(large, 0)
	table.Settle(settle(large, answered, oversizedBody))
	reply := table.Open(open("kapana", "large", "body", "e2", "again"), 0)
	require.Equal(t, answered, reply.GetState())
	require.True(t, reply.GetAnswer().GetDropped())
	count := claim.MaxTotalAnswerBytes/largerBody + 10
	for i := range count {
		r := open("kapana", fmt.Sprint(i), "body", "e1", fmt.Sprint(i))
		table.Open(r, 0)
		table.Settle(settle(r, answered, largerBody))
	}
	kept := 0
	for _, s := range table.State() {
		kept += len(s.GetAnswer().GetBody())
	}
	require.LessOrEqual(t, kept, claim.MaxTotalAnswerBytes)
	require.True(t, table.Open(open("kapana", "0", "body", "e2", "x"), 0).GetAnswer().GetDropped())
	require.False(t, table.Open(open("kapana", fmt.Sprint(count-1), "body", "e2", "y"), 0).GetAnswer().GetDropped())
}

// Guards against granting a key twice, in any order of claims, repetitions, settlements, losses of entry processes and
// snapshots.
func TestClaimsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := claim.New()
		type key struct{ caller, key string }
		type sent struct {
			request *wire.ClaimRequest
			// mayRun is set while the entry process holds the grant and has not withdrawn the claim.
			mayRun, withdrawn bool
		}
		var requests []*sent
		final := map[key]wire.ClaimState{}
		rt.Repeat(map[string]func(*rapid.T){
			"claim": func(rt *rapid.T) {
				id := fmt.Sprint("c", len(requests))
				r := open(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "caller"),
					rapid.SampledFrom([]string{"1", "2"}).Draw(rt, "key"),
					rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "body"),
					rapid.SampledFrom([]string{"e1", "e2"}).Draw(rt, "entry"), id)
				requests = append(requests, &sent{request: r, mayRun: table.Open(r, 0).GetState() == granted})
			},
			"repeat": func(rt *rapid.T) {
				if len(requests) == 0 {
					return
				}
				s := rapid.SampledFrom(requests).Draw(rt, "sent")
				state := table.Open(s.request, 0).GetState()
				require.False(rt, state == granted && s.withdrawn, "a withdrawn claim is granted again")
			},
			"settle": func(rt *rapid.T) {
				if len(requests) == 0 {
					return
				}
				s := rapid.SampledFrom(requests).Draw(rt, "sent")
				state := rapid.SampledFrom([]wire.ClaimState{notSent, answered, unknown}).Draw(rt, "state")
				if !s.mayRun && state != notSent || s.withdrawn && state != notSent {
					return
				}
				k := key{s.request.GetCaller(), s.request.GetKey()}
				if final[k] == answered && state == notSent {
					return
				}
				table.Settle(settle(s.request, state, 1))
				if state == notSent {
					s.mayRun, s.withdrawn = false, true
				} else if final[k] != answered {
					final[k] = state
				}
			},
			"entry lost": func(rt *rapid.T) {
				entry := rapid.SampledFrom([]string{"e1", "e2"}).Draw(rt, "entry")
				table.Orphan(entry, "1")
				for _, h := range table.Holders() {
					require.NotEqual(rt, entry, h.Entry)
				}
			},
			"snapshot": func(*rapid.T) { table = claim.Restore(table.State()) },
			"": func(rt *rapid.T) {
				holders := map[key]int{}
				for _, s := range requests {
					k := key{s.request.GetCaller(), s.request.GetKey()}
					if s.mayRun {
						holders[k]++
					}
				}
				for k, n := range holders {
					require.LessOrEqual(rt, n, 1, "two entry processes may send the request with key %v", k)
				}
				for _, e := range table.State() {
					k := key{e.GetRequest().GetCaller(), e.GetRequest().GetKey()}
					if final[k] == answered {
						require.Equal(rt, answered, e.GetState())
					}
				}
			},
		})
	})
}
