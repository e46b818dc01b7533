// Package claim keeps the idempotency keys of non-idempotent requests, so that each such request runs at most once.
package claim

import (
	"bytes"
	"container/list"
	"time"

	"flamingodrift.example/core/wire"
)

// Bounds of a Table. They are part of the replicated state: all nodes must use the same.
const (
	MaxClaims      = 20_000
	MaxAnswerBytes = 4 << 10
	// MaxKeptBytes bounds all kept answers together, because a daemon has 32 MB.
	MaxKeptBytes = 4 << 20
	Retention    = 24 * time.Hour
	// MaxWithdrawn bounds the claim ids that were given back and are remembered.
	MaxWithdrawn = 4_096
)

type key struct {
	caller, key string
}

type entry struct {
	request *wire.ClaimRequest
	state   wire.ClaimState
	answer  *wire.Answer
	since   int64
	age     *list.Element
}

// Table holds the claims of one cell. It is owned by the thread that applies the log.
type Table struct {
	entries map[key]*entry
	// ages holds the entries from the oldest to the newest.
	ages      *list.List
	keptBytes int
	running   map[string]int
	withdrawn *withdrawals
}

// New returns an empty Table.
func New() *Table {
	return &Table{entries: map[key]*entry{}, ages: list.New(), running: map[string]int{}, withdrawn: newWithdrawals()}
}

// Open claims a key, or says what became of an earlier request with it. Opening again with the same claim id repeats
// the first reply.
func (b *Table) Open(request *wire.ClaimRequest, nowUnixMs int64) *wire.ClaimReply {
	if b.withdrawn.has(request.GetClaimId()) {
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_WITHDRAWN}
	}
	k := key{request.GetCaller(), request.GetKey()}
	if e := b.entries[k]; e != nil {
		return e.reply(request)
	}
	if len(b.entries) >= MaxClaims {
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_FULL}
	}
	e := &entry{request: request, state: wire.ClaimState_CLAIM_STATE_RUNNING, since: nowUnixMs}
	b.insert(k, e)
	return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_GRANTED}
}

func (b *Table) insert(k key, e *entry) {
	b.entries[k] = e
	e.age = b.ages.PushBack(e)
	b.countRunning(e, 1)
}

func (b *Table) countRunning(e *entry, by int) {
	if e.state != wire.ClaimState_CLAIM_STATE_RUNNING {
		return
	}
	owner := holder(e.request.GetEntry(), e.request.GetBoot())
	b.running[owner] += by
	if b.running[owner] == 0 {
		delete(b.running, owner)
	}
}

func holder(entryName, boot string) string { return entryName + "\x00" + boot }

func (e *entry) reply(request *wire.ClaimRequest) *wire.ClaimReply {
	if !bytes.Equal(e.request.GetDigest(), request.GetDigest()) {
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_KEY_REUSED}
	}
	if e.state == wire.ClaimState_CLAIM_STATE_RUNNING && e.request.GetClaimId() == request.GetClaimId() {
		return &wire.ClaimReply{State: wire.ClaimState_CLAIM_STATE_GRANTED}
	}
	return &wire.ClaimReply{State: e.state, Answer: e.answer}
}

// Settle records how a claimed request ended. A request that was provably not sent gives its key back, and its claim id
// is never granted any more: the entry process repeats a claim whose reply was lost, so a copy may arrive later. A late
// answer replaces an unknown outcome.
func (b *Table) Settle(settle *wire.SettleRequest) {
	if settle.GetState() == wire.ClaimState_CLAIM_STATE_UNSPECIFIED {
		b.withdrawn.add(settle.GetClaimId())
	}
	k := key{settle.GetCaller(), settle.GetKey()}
	e := b.entries[k]
	if e == nil || e.request.GetClaimId() != settle.GetClaimId() {
		return
	}
	switch settle.GetState() {
	case wire.ClaimState_CLAIM_STATE_UNSPECIFIED:
		if e.state == wire.ClaimState_CLAIM_STATE_RUNNING {
			b.remove(k, e)
		}
	case wire.ClaimState_CLAIM_STATE_UNKNOWN:
		if e.state == wire.ClaimState_CLAIM_STATE_RUNNING {
			b.setState(e, wire.ClaimState_CLAIM_STATE_UNKNOWN)
		}
	case wire.ClaimState_CLAIM_STATE_ANSWERED:
		if e.state != wire.ClaimState_CLAIM_STATE_ANSWERED {
			b.setState(e, wire.ClaimState_CLAIM_STATE_ANSWERED)
			b.keep(e, settle.GetAnswer())
		}
	default:
	}
}

func (b *Table) setState(e *entry, state wire.ClaimState) {
	b.countRunning(e, -1)
	e.state = state
}

// keep stores an answer within the bounds; the oldest answers give way, their claims stay.
func (b *Table) keep(e *entry, answer *wire.Answer) {
	if answerBytes(answer) > MaxAnswerBytes {
		answer = &wire.Answer{Status: answer.GetStatus(), Dropped: true}
	}
	e.answer = answer
	b.keptBytes += answerBytes(answer)
	for at := b.ages.Front(); at != nil && b.keptBytes > MaxKeptBytes; at = at.Next() {
		old := at.Value.(*entry)
		if old.answer == nil || old.answer.GetDropped() {
			continue
		}
		b.keptBytes -= answerBytes(old.answer)
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

func (b *Table) remove(k key, e *entry) {
	b.countRunning(e, -1)
	b.keptBytes -= answerBytes(e.answer)
	b.ages.Remove(e.age)
	delete(b.entries, k)
}

// Orphan turns the running claims of one boot of an entry process into unknown outcomes.
func (b *Table) Orphan(entryName, boot string) int {
	count := 0
	if b.running[holder(entryName, boot)] == 0 {
		return 0
	}
	for _, e := range b.entries {
		if e.state == wire.ClaimState_CLAIM_STATE_RUNNING && e.request.GetEntry() == entryName && e.request.GetBoot() == boot {
			b.setState(e, wire.ClaimState_CLAIM_STATE_UNKNOWN)
			count++
		}
	}
	return count
}

// Expire removes up to count claims, the oldest first, that are older than Retention at the given wall-clock time.
func (b *Table) Expire(count int, nowUnixMs int64) int {
	removed := 0
	for at := b.ages.Front(); at != nil && removed < count; {
		next := at.Next()
		e := at.Value.(*entry)
		if nowUnixMs-e.since < Retention.Milliseconds() {
			break
		}
		if e.state != wire.ClaimState_CLAIM_STATE_RUNNING {
			b.remove(key{e.request.GetCaller(), e.request.GetKey()}, e)
			removed++
		}
		at = next
	}
	return removed
}

// Expired reports how many of the oldest claims may be expired, up to limit.
func (b *Table) Expired(limit int, nowUnixMs int64) int {
	count := 0
	for at := b.ages.Front(); at != nil && count < limit; at = at.Next() {
		e := at.Value.(*entry)
		if nowUnixMs-e.since < Retention.Milliseconds() {
			break
		}
		if e.state != wire.ClaimState_CLAIM_STATE_RUNNING {
			count++
		}
	}
	return count
}

// Len returns the number of claims.
func (b *Table) Len() int { return len(b.entries) }

// Holder is one boot of an entry process that has running claims.
type Holder struct {
	Entry, Boot string
}

// Holders returns the boots of entry processes that have running claims.
func (b *Table) Holders() []Holder {
	seen := map[Holder]bool{}
	var holders []Holder
	for _, e := range b.entries {
		h := Holder{e.request.GetEntry(), e.request.GetBoot()}
		if e.state == wire.ClaimState_CLAIM_STATE_RUNNING && !seen[h] {
			seen[h] = true
			holders = append(holders, h)
		}
	}
	return holders
}

// State returns the claims, then the withdrawn claim ids, for a snapshot, each the oldest first.
func (b *Table) State() []*wire.ClaimEntry {
	states := make([]*wire.ClaimEntry, 0, b.ages.Len())
	for at := b.ages.Front(); at != nil; at = at.Next() {
		e := at.Value.(*entry)
		states = append(states, &wire.ClaimEntry{Request: e.request, State: e.state, Answer: e.answer, SinceUnixMs: e.since})
	}
	return append(states, b.withdrawn.state()...)
}

// Restore returns a Table from a snapshot.
func Restore(states []*wire.ClaimEntry) *Table {
	b := New()
	for _, s := range states {
		if s.GetState() == wire.ClaimState_CLAIM_STATE_WITHDRAWN {
			b.withdrawn.add(s.GetRequest().GetClaimId())
			continue
		}
		e := &entry{request: s.GetRequest(), state: s.GetState(), answer: s.GetAnswer(), since: s.GetSinceUnixMs()}
		b.insert(key{s.GetRequest().GetCaller(), s.GetRequest().GetKey()}, e)
		b.keptBytes += answerBytes(e.answer)
	}
	return b
}
