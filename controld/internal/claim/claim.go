// Package claim stores the idempotency keys of non-idempotent requests, so that each such request runs at most once.
package claim

import (
	"bytes"
	"container/list"
	"time"

	"flamingodrift.example/core/wire"
)

// Limits of a Table. Applying the log depends on them, so all nodes must use the same values.
const (
	MaxClaims      = 20_000
	MaxAnswerBytes = 4 << 10
	// MaxTotalAnswerBytes bounds the stored answers together, because a daemon may use 32 MB of memory.
	MaxTotalAnswerBytes = 4 << 20
	Retention           = 24 * time.Hour
	// MaxWithdrawn bounds the withdrawn claim ids that are stored.
	MaxWithdrawn = 4_096
)

type key struct {
	caller, key string
}

type entry struct {
	request     *wire.ClaimRequest
	state       wire.ClaimState
	answer      *wire.Answer
	sinceUnixMs int64
	element     *list.Element
}

// Table holds the claims of one cell. Only the goroutine that applies the log may use it.
type Table struct {
	entries map[key]*entry
	// byAge lists the entries from the oldest to the newest.
	byAge            *list.List
	totalAnswerBytes int
	// runningByHolder counts the running claims by holderKey.
	runningByHolder map[string]int
	withdrawn       *withdrawals
}

// New returns an empty Table.
func New() *Table {
	return &Table{
		entries: map[key]*entry{}, byAge: list.New(), runningByHolder: map[string]int{}, withdrawn: newWithdrawals(),
	}
}

// Open claims a key, or returns the state of an earlier request with the same key. Repeating it with the same claim id
// returns the same reply while the claim is running.
func (t *Table) Open(request *wire.ClaimRequest, nowUnixMs int64) *wire.ClaimReply {
	if t.withdrawn.has(request.GetClaimId()) {
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_WITHDRAWN}
	}
	k := key{request.GetCaller(), request.GetKey()}
	if e := t.entries[k]; e != nil {
		return e.reply(request)
	}
	if len(t.entries) >= MaxClaims {
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_FULL}
	}
	e := &entry{request: request, state: wire.ClaimState_CLAIM_STATE_RUNNING, sinceUnixMs: nowUnixMs}
	t.insert(k, e)
	return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_GRANTED}
}

func (t *Table) insert(k key, e *entry) {
	t.entries[k] = e
	e.element = t.byAge.PushBack(e)
	t.countRunning(e, 1)
}

func (t *Table) countRunning(e *entry, by int) {
	if e.state != wire.ClaimState_CLAIM_STATE_RUNNING {
		return
	}
	holder := holderKey(e.request.GetEntry(), e.request.GetBoot())
	t.runningByHolder[holder] += by
	if t.runningByHolder[holder] == 0 {
		delete(t.runningByHolder, holder)
	}
}

func holderKey(entryName, boot string) string { return entryName + "\x00" + boot }

func (e *entry) reply(request *wire.ClaimRequest) *wire.ClaimReply {
	if !bytes.Equal(e.request.GetDigest(), request.GetDigest()) {
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_KEY_REUSED}
	}
	if e.state == wire.ClaimState_CLAIM_STATE_RUNNING && e.request.GetClaimId() == request.GetClaimId() {
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_GRANTED}
	}
	return &wire.ClaimReply{State: e.state, Answer: e.answer}
}

// Settle records the outcome of a claimed request. If the request was provably not sent, its claim is withdrawn: the
// key becomes free, and the claim id is not granted again, because the entry process repeats a claim whose reply was
// lost and a copy may arrive later. A late answer replaces an unknown outcome.
func (t *Table) Settle(settle *wire.SettleRequest) {
	if settle.GetState() == wire.ClaimState_CLAIM_STATE_UNSPECIFIED {
		t.withdrawn.add(settle.GetClaimId())
	}
	k := key{settle.GetCaller(), settle.GetKey()}
	e := t.entries[k]
	if e == nil || e.request.GetClaimId() != settle.GetClaimId() {
		return
	}
	switch settle.GetState() {
	case wire.ClaimState_CLAIM_STATE_UNSPECIFIED:
		if e.state == wire.ClaimState_CLAIM_STATE_RUNNING {
			t.remove(k, e)
		}
	case wire.ClaimState_CLAIM_STATE_UNKNOWN:
		if e.state == wire.ClaimState_CLAIM_STATE_RUNNING {
			t.setState(e, wire.ClaimState_CLAIM_STATE_UNKNOWN)
		}
	case wire.ClaimState_CLAIM_STATE_ANSWERED:
		if e.state != wire.ClaimState_CLAIM_STATE_ANSWERED {
			t.setState(e, wire.ClaimState_CLAIM_STATE_ANSWERED)
			t.storeAnswer(e, settle.GetAnswer())
		}
	default:
	}
}

func (t *Table) setState(e *entry, state wire.ClaimState) {
	t.countRunning(e, -1)
	e.state = state
}

// storeAnswer stores an answer within the limits. If needed, it drops the oldest answers, but not their claims.
func (t *Table) storeAnswer(e *entry, answer *wire.Answer) {
	if answerBytes(answer) > MaxAnswerBytes {
		answer = &wire.Answer{Status: answer.GetStatus(), Dropped: true}
	}
	e.answer = answer
	t.totalAnswerBytes += answerBytes(answer)
	for elem := t.byAge.Front(); elem != nil && t.totalAnswerBytes > MaxTotalAnswerBytes; elem = elem.Next() {
		old := elem.Value.(*entry)
		if old.answer == nil || old.answer.GetDropped() {
			continue
		}
		t.totalAnswerBytes -= answerBytes(old.answer)
		old.answer = &wire.Answer{Status: old.answer.GetStatus(), Dropped: true}
	}
}

func answerBytes(answer *wire.Answer) int {
	if answer.GetDropped() {
		return 0
	}
	size := len(answer.GetBody())
	for _, h := range answer.GetHeaders() {
		size += len(h.GetName()) + len(h.GetValue())
	}
	return size
}

func (t *Table) remove(k key, e *entry) {
	t.countRunning(e, -1)
	t.totalAnswerBytes -= answerBytes(e.answer)
	t.byAge.Remove(e.element)
	delete(t.entries, k)
}

// Orphan sets the running claims of one boot of an entry process to an unknown outcome, and returns their number.
func (t *Table) Orphan(entryName, boot string) int {
	count := 0
	if t.runningByHolder[holderKey(entryName, boot)] == 0 {
		return 0
	}
	for _, e := range t.entries {
		if e.state == wire.ClaimState_CLAIM_STATE_RUNNING &&
			e.request.GetEntry() == entryName && e.request.GetBoot() == boot {
			t.setState(e, wire.ClaimState_CLAIM_STATE_UNKNOWN)
			count++
		}
	}
	return count
}

// Expire removes up to count claims that have reached Retention at the given wall-clock time, the oldest first, and
// returns their number. Running claims do not expire.
func (t *Table) Expire(count int, nowUnixMs int64) int {
	removed := 0
	for elem := t.byAge.Front(); elem != nil && removed < count; {
		next := elem.Next()
		e := elem.Value.(*entry)
		if nowUnixMs-e.sinceUnixMs < Retention.Milliseconds() {
			break
		}
		if e.state != wire.ClaimState_CLAIM_STATE_RUNNING {
			t.remove(key{e.request.GetCaller(), e.request.GetKey()}, e)
			removed++
		}
		elem = next
	}
	return removed
}

// Expired returns how many claims Expire would remove, up to limit.
func (t *Table) Expired(limit int, nowUnixMs int64) int {
	count := 0
	for elem := t.byAge.Front(); elem != nil && count < limit; elem = elem.Next() {
		e := elem.Value.(*entry)
		if nowUnixMs-e.sinceUnixMs < Retention.Milliseconds() {
			break
		}
		if e.state != wire.ClaimState_CLAIM_STATE_RUNNING {
			count++
		}
	}
	return count
}

// Len returns the number of claims, running or ended.
func (t *Table) Len() int { return len(t.entries) }

// Holder is one boot of an entry process that has running claims.
type Holder struct {
	Entry, Boot string
}

// Holders returns the boots of entry processes that have running claims.
func (t *Table) Holders() []Holder {
	seen := map[Holder]bool{}
	var holders []Holder
	for _, e := range t.entries {
		h := Holder{e.request.GetEntry(), e.request.GetBoot()}
		if e.state == wire.ClaimState_CLAIM_STATE_RUNNING && !seen[h] {
			seen[h] = true
			holders = append(holders, h)
		}
	}
	return holders
}

// State returns the claims, followed by the withdrawn claim ids, for a snapshot. Both are in order of age, the oldest
// first.
func (t *Table) State() []*wire.ClaimEntry {
	states := make([]*wire.ClaimEntry, 0, t.byAge.Len())
	for elem := t.byAge.Front(); elem != nil; elem = elem.Next() {
		e := elem.Value.(*entry)
		states = append(states, &wire.ClaimEntry{
			Request: e.request, State: e.state, Answer: e.answer, SinceUnixMs: e.sinceUnixMs,
		})
	}
	return append(states, t.withdrawn.state()...)
}

// Restore returns a Table from a snapshot.
func Restore(states []*wire.ClaimEntry) *Table {
	t := New()
	for _, s := range states {
		if s.GetState() == wire.ClaimState_CLAIM_STATE_WITHDRAWN {
			t.withdrawn.add(s.GetRequest().GetClaimId())
			continue
		}
		e := &entry{
			request: s.GetRequest(), state: s.GetState(), answer: s.GetAnswer(), sinceUnixMs: s.GetSinceUnixMs(),
		}
		t.insert(key{s.GetRequest().GetCaller(), s.GetRequest().GetKey()}, e)
		t.totalAnswerBytes += answerBytes(e.answer)
	}
	return t
}
