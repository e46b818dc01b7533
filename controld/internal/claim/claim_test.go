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
	granted    = wire.ClaimState_CLAIM_STATE_GRANTED
	running    = wire.ClaimState_CLAIM_STATE_RUNNING
	answered   = wire.ClaimState_CLAIM_STATE_ANSWERED
	unknown    = wire.ClaimState_CLAIM_STATE_UNKNOWN
	keyReused  = wire.ClaimState_CLAIM_STATE_KEY_REUSED
	full       = wire.ClaimState_CLAIM_STATE_FULL
	withdrawn  = wire.ClaimState_CLAIM_STATE_WITHDRAWN
	notSent    = wire.ClaimState_CLAIM_STATE_UNSPECIFIED
	smallBody  = 100
	bodyAbove  = claim.MaxAnswerBytes + 1
	largerBody = 4_000
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

// Guards against a second run of a request in each way a caller or an entry process can repeat it.
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
		{"resent after the answer", settle(first, answered, smallBody), false, open("kapana", "k1", "body", "e2", "c2"), answered},
		{"resent after an unknown outcome", settle(first, unknown, 0), false, open("kapana", "k1", "body", "e2", "c2"), unknown},
		{"resent after the entry process died", nil, true, open("kapana", "k1", "body", "e2", "c2"), unknown},
		{"other body", nil, false, open("kapana", "k1", "other", "e2", "c2"), keyReused},
		{"other caller", nil, false, open("fraser", "k1", "body", "e2", "c2"), granted},
		{"given back and sent again", settle(first, notSent, 0), false, open("kapana", "k1", "body", "e2", "c2"), granted},
		{"copy of a claim that was given back", settle(first, notSent, 0), false, first, withdrawn},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := claim.New()
			require.Equal(t, granted, b.Open(first, 0).GetState())
			if c.settle != nil {
				b.Settle(c.settle)
			}
			if c.orphan {
				require.Equal(t, 1, b.Orphan("e1", "1"))
			}
			require.Equal(t, c.want, b.Open(c.second, 1).GetState())
		})
	}
}

// Guards against a claim that runs for ever because the entry process gave it back before a delayed copy arrived.
func TestClaimGivenBackBeforeItArrives(t *testing.T) {
	b := claim.New()
	first := open("kapana", "k1", "body", "e1", "c1")
	b.Settle(settle(first, notSent, 0))
	b = claim.Restore(b.State())
	require.Equal(t, withdrawn, b.Open(first, 0).GetState())
	require.Empty(t, b.Holders())
	require.Equal(t, granted, b.Open(open("kapana", "k1", "body", "e1", "c2"), 0).GetState())
}

// Guards against a late answer that is lost, or replaces an earlier one.
func TestLateAnswerReplacesUnknownOutcome(t *testing.T) {
	b := claim.New()
	first := open("kapana", "k1", "body", "e1", "c1")
	b.Open(first, 0)
	b.Orphan("e1", "1")
	b.Settle(settle(first, notSent, 0))
	require.Equal(t, unknown, b.Open(open("kapana", "k1", "body", "e2", "c2"), 0).GetState(), "an orphaned claim is not given back")
	b.Settle(settle(first, answered, smallBody))
	b.Settle(settle(first, answered, smallBody+1))
	reply := b.Open(open("kapana", "k1", "body", "e2", "c3"), 0)
	require.Equal(t, answered, reply.GetState())
	require.Len(t, reply.GetAnswer().GetBody(), smallBody)
}

// Guards against evicting a claim early, and against refusing claims for ever after the book was full once.
func TestFullBookRefusesUntilClaimsExpire(t *testing.T) {
	b := claim.New()
	for i := range claim.MaxClaims {
		r := open("kapana", fmt.Sprint(i), "body", "e1", fmt.Sprint(i))
		require.Equal(t, granted, b.Open(r, int64(i)).GetState())
		b.Settle(settle(r, answered, 0))
	}
	require.Equal(t, full, b.Open(open("kapana", "new", "body", "e1", "new"), 0).GetState())
	require.Equal(t, answered, b.Open(open("kapana", "0", "body", "e2", "again"), 0).GetState())
	retained := claim.Retention.Milliseconds()
	require.Zero(t, b.Expired(10, retained-1))
	require.Equal(t, 1, b.Expire(10, retained))
	require.Equal(t, granted, b.Open(open("kapana", "new", "body", "e1", "new"), retained).GetState())
}

// Guards against answers that exceed the memory bound, and against claims that are lost with their answers.
func TestAnswersAreBounded(t *testing.T) {
	b := claim.New()
	large := open("kapana", "large", "body", "e1", "large")
	b.Open(large, 0)
	b.Settle(settle(large, answered, bodyAbove))
	reply := b.Open(open("kapana", "large", "body", "e2", "again"), 0)
	require.Equal(t, answered, reply.GetState())
	require.True(t, reply.GetAnswer().GetDropped())
	count := claim.MaxKeptBytes/largerBody + 10
	for i := range count {
		r := open("kapana", fmt.Sprint(i), "body", "e1", fmt.Sprint(i))
		b.Open(r, 0)
		b.Settle(settle(r, answered, largerBody))
	}
	kept := 0
	for _, s := range b.State() {
		kept += len(s.GetAnswer().GetBody())
	}
	require.LessOrEqual(t, kept, claim.MaxKeptBytes)
	require.True(t, b.Open(open("kapana", "0", "body", "e2", "x"), 0).GetAnswer().GetDropped())
	require.False(t, b.Open(open("kapana", fmt.Sprint(count-1), "body", "e2", "y"), 0).GetAnswer().GetDropped())
}

// Guards against any order of claims, repetitions, ends, deaths and snapshots that grants a key twice.
func TestClaimsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := claim.New()
		type key struct{ caller, key string }
		type sent struct {
			request *wire.ClaimRequest
			// mayRun is set while the entry process holds the grant and has not given it back.
			mayRun, gaveBack bool
		}
		var sents []*sent
		final := map[key]wire.ClaimState{}
		rt.Repeat(map[string]func(*rapid.T){
			"claim": func(rt *rapid.T) {
				id := fmt.Sprint("c", len(sents))
				r := open(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "caller"), rapid.SampledFrom([]string{"1", "2"}).Draw(rt, "key"),
					rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "body"), rapid.SampledFrom([]string{"e1", "e2"}).Draw(rt, "entry"), id)
				sents = append(sents, &sent{request: r, mayRun: b.Open(r, 0).GetState() == granted})
			},
			"repeat": func(rt *rapid.T) {
				if len(sents) == 0 {
					return
				}
				s := rapid.SampledFrom(sents).Draw(rt, "sent")
				state := b.Open(s.request, 0).GetState()
				require.False(rt, state == granted && s.gaveBack, "a claim that was given back is granted again")
			},
			"settle": func(rt *rapid.T) {
				if len(sents) == 0 {
					return
				}
				s := rapid.SampledFrom(sents).Draw(rt, "sent")
				state := rapid.SampledFrom([]wire.ClaimState{notSent, answered, unknown}).Draw(rt, "state")
				if !s.mayRun && state != notSent || s.gaveBack && state != notSent {
					return
				}
				k := key{s.request.GetCaller(), s.request.GetKey()}
				if final[k] == answered && state == notSent {
					return
				}
				b.Settle(settle(s.request, state, 1))
				if state == notSent {
					s.mayRun, s.gaveBack = false, true
				} else if final[k] != answered {
					final[k] = state
				}
			},
			"die": func(rt *rapid.T) {
				entry := rapid.SampledFrom([]string{"e1", "e2"}).Draw(rt, "entry")
				b.Orphan(entry, "1")
				for _, h := range b.Holders() {
					require.NotEqual(rt, entry, h.Entry)
				}
			},
			"snapshot": func(*rapid.T) { b = claim.Restore(b.State()) },
			"": func(rt *rapid.T) {
				holders := map[key]int{}
				for _, s := range sents {
					k := key{s.request.GetCaller(), s.request.GetKey()}
					if s.mayRun {
						holders[k]++
					}
				}
				for k, n := range holders {
					require.LessOrEqual(rt, n, 1, "two entry processes may send the request with key %v", k)
				}
				for _, e := range b.State() {
					k := key{e.GetRequest().GetCaller(), e.GetRequest().GetKey()}
					if final[k] == answered {
						require.Equal(rt, answered, e.GetState())
					}
				}
			},
		})
	})
}
