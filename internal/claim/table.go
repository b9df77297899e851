package claim

import (
	"encoding/json"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/result"
)

// Table is the fold of one Claims stream. It is not safe for concurrent use. The
// zero value is the state before the first record.
//
// Claims that are too late by the log's clock have no effect: those after the
// window of their key, and those after their own Until plus MaxSkew. A Table
// that starts at any offset older than Window plus twice MaxSkew therefore
// agrees with one that read the whole stream on every key that can still be
// claimed, and older state can be dropped.
type Table struct {
	entries map[shortHash]*entry
	// expiring lists the entries in buckets by the end of their window.
	expiring map[time.Time][]shortHash
	// latestAt is the latest time of a record by the log's clock. It alone decides
	// whether a claim was late, so that all hosts agree. watermark is the latest
	// time that the log's clock is known to have passed; a key that has expired by
	// it stays expired.
	latestAt, watermark time.Time
	tombstoneCount      int
	rule                int
	answers             answerCache
}

// expiryBucket is the time span of one bucket of expiring entries.
const expiryBucket = time.Minute

// entry is the state of one key.
type entry struct {
	owner   shortHash // the attempt with the first claim; zero if released
	digest  shortHash
	until   time.Time
	outcome *outcome
	// tombstones are the attempts that can no longer become the owner, although a
	// copy of their claim may still arrive.
	tombstones []tombstone
}

// outcome is the result of a claim; its answer is in Table.answers or in the
// record at offset.
type outcome struct {
	Outcome
	offset platform.Offset
}

type tombstone struct {
	attempt shortHash
	until   time.Time
}

// Applied is the effect of a record.
type Applied struct {
	// ID is the record's ID.
	ID string
	// Verdict is the verdict on a claim. It is nil for other kinds of records.
	Verdict Verdict
}

// Len returns the number of keys and tombstones in the table.
func (t *Table) Len() int { return len(t.entries) + t.tombstoneCount }

// RuleKnown reports whether this code supports the rules in force. If it doesn't,
// the verdicts of the table must not be used.
func (t *Table) RuleKnown() bool { return t.rule <= RuleVersion }

// Advance raises the watermark, a time that the log's clock has passed, and
// removes the keys whose window has ended.
func (t *Table) Advance(watermark time.Time) {
	if !watermark.After(t.watermark) {
		return
	}
	t.watermark = watermark
	for end, ids := range t.expiring {
		if watermark.Before(end) {
			continue
		}
		for _, id := range ids {
			t.forget(id)
		}
		delete(t.expiring, end)
	}
}

func (t *Table) forget(id shortHash) {
	if e := t.entries[id]; e != nil {
		t.tombstoneCount -= len(e.tombstones)
		delete(t.entries, id)
		t.answers.remove(id)
	}
}

// Apply folds the next record of the stream.
func (t *Table) Apply(r *platform.Record) Applied {
	if r.At.After(t.latestAt) {
		t.latestAt = r.At
	}
	t.Advance(t.latestAt)
	a := Applied{ID: r.ID}
	switch r.Kind {
	case ClaimKind:
		var c Request
		if json.Unmarshal(r.Data, &c) == nil {
			a.Verdict = t.applyClaim(&c)
		}
	case ReleaseKind:
		var c Request
		if json.Unmarshal(r.Data, &c) == nil {
			t.applyRelease(&c)
		}
	case OutcomeKind:
		var o OutcomeRecord
		if json.Unmarshal(r.Data, &o) == nil {
			t.applyOutcome(&o, r.Offset)
		}
	case RuleKind:
		var rule Rule
		if json.Unmarshal(r.Data, &rule) == nil {
			t.rule = max(t.rule, rule.Version)
		}
	}
	return a
}

// applyClaim folds a claim. The first attempt to claim a free key owns it.
func (t *Table) applyClaim(c *Request) Verdict {
	if late := t.checkClaimTime(c); late != nil {
		return Refused{late}
	}
	id, attempt := hashNames(c.Workspace, canonicalKey(c.Key)), hashNames(c.AttemptID)
	e := t.getOrCreate(id, c.Key)
	t.pruneTombstones(e)
	switch {
	case e.owner == attempt:
		return t.verdictForOwner(id, e)
	case e.hasTombstone(attempt):
		return t.verdictForOther(id, e, c)
	case e.owner == shortHash{}:
		e.owner, e.digest, e.until = attempt, hashNames(c.Digest), c.Until
		return First{}
	default:
		t.addTombstone(e, attempt, c.Until)
		return t.verdictForOther(id, e, c)
	}
}

// checkClaimTime checks the times of a claim against the log's clock alone.
func (t *Table) checkClaimTime(c *Request) *result.Error {
	if err := checkKey(c.Key, t.watermark); err != nil {
		return err
	}
	if t.latestAt.After(c.Until.Add(MaxSkew)) {
		return result.NotRun(result.LogUnavailable, "the claim reached the log after its deadline")
	}
	if c.Until.After(t.latestAt.Add(MaxHold + MaxSkew)) {
		return result.NotRun(result.BadRequest, "a claim can't be held for more than %s", MaxHold)
	}
	return nil
}

// getOrCreate returns the entry of a key within its window.
func (t *Table) getOrCreate(id shortHash, key string) *entry {
	if e := t.entries[id]; e != nil {
		return e
	}
	if t.entries == nil {
		t.entries = map[shortHash]*entry{}
		t.expiring = map[time.Time][]shortHash{}
	}
	e := &entry{}
	t.entries[id] = e
	made, _ := keyTime(key)
	end := made.Add(Window + MaxSkew).Truncate(expiryBucket).Add(expiryBucket)
	t.expiring[end] = append(t.expiring[end], id)
	return e
}

// verdictForOwner returns the verdict on a further copy of the first claim.
func (t *Table) verdictForOwner(id shortHash, e *entry) Verdict {
	if e.outcome != nil {
		return Repeat{t.storedOutcome(id, e)}
	}
	return First{}
}

// verdictForOther returns the verdict on an attempt that doesn't own the key.
func (t *Table) verdictForOther(id shortHash, e *entry, c *Request) Verdict {
	switch {
	case e.owner == shortHash{}:
		return Refused{inProgress("another attempt with this key was released; retry the request")}
	case e.digest != hashNames(c.Digest):
		return Refused{result.NotRun(result.KeyReused, "the idempotency key was used with another body")}
	case e.outcome != nil:
		return Repeat{t.storedOutcome(id, e)}
	case t.watermark.After(e.until.Add(MaxSkew)):
		return Refused{result.Failed(result.OutcomeUnknown, "the attempt that claimed this key ended without an outcome")}
	default:
		return Refused{inProgress("the first attempt with this key is still running")}
	}
}

// inProgressRetryAfter is the retry delay for a key whose first attempt is still
// running.
const inProgressRetryAfter = time.Second

func inProgress(message string) *result.Error {
	e := result.Failed(result.InProgress, "%s", message)
	e.RetryAfter = inProgressRetryAfter
	return e
}

// applyRelease frees a key that an attempt claimed, and prevents a copy of the
// claim that arrives later from taking the key again.
func (t *Table) applyRelease(c *Request) {
	if checkKey(c.Key, t.watermark) != nil {
		return
	}
	attempt := hashNames(c.AttemptID)
	e := t.getOrCreate(hashNames(c.Workspace, canonicalKey(c.Key)), c.Key)
	t.pruneTombstones(e)
	if e.owner == attempt && e.outcome != nil {
		return
	}
	if e.owner == attempt {
		e.owner, e.digest, e.until = shortHash{}, shortHash{}, time.Time{}
	}
	if !e.hasTombstone(attempt) {
		t.addTombstone(e, attempt, c.Until)
	}
}

// applyOutcome stores the outcome of the attempt that owns the key.
func (t *Table) applyOutcome(o *OutcomeRecord, at platform.Offset) {
	id := hashNames(o.Workspace, canonicalKey(o.Key))
	e := t.entries[id]
	if e == nil || e.owner != hashNames(o.AttemptID) || e.outcome != nil {
		return
	}
	kept := o.Outcome
	t.answers.put(id, kept.Answer)
	kept.Answer = nil
	e.outcome = &outcome{Outcome: kept, offset: at}
}

// storedOutcome returns the outcome of e, with its answer if that is in memory.
func (t *Table) storedOutcome(id shortHash, e *entry) Outcome {
	o := e.outcome.Outcome
	o.Answer = t.answers.get(id)
	return o
}

// Find returns the verdict on c if the table determines it already; nil means
// that the claim has to be appended to the log.
func (t *Table) Find(c *Request) Verdict {
	id, attempt := hashNames(c.Workspace, canonicalKey(c.Key)), hashNames(c.AttemptID)
	e := t.entries[id]
	switch {
	case e == nil:
		return nil
	case e.owner == attempt:
		return t.verdictForOwner(id, e)
	case e.owner != shortHash{} || e.hasTombstone(attempt):
		return t.verdictForOther(id, e, c)
	}
	return nil
}

// OutcomeAt returns the offset of the record with the answer for c if the answer
// is no longer in memory, or else zero.
func (t *Table) OutcomeAt(c *Request) platform.Offset {
	id := hashNames(c.Workspace, canonicalKey(c.Key))
	e := t.entries[id]
	if e == nil || e.outcome == nil || !e.outcome.Stored || t.answers.has(id) {
		return 0
	}
	return e.outcome.offset
}

func (e *entry) hasTombstone(attempt shortHash) bool {
	for _, m := range e.tombstones {
		if m.attempt == attempt {
			return true
		}
	}
	return false
}

func (t *Table) addTombstone(e *entry, attempt shortHash, until time.Time) {
	e.tombstones = append(e.tombstones, tombstone{attempt, until})
	t.tombstoneCount++
}

// pruneTombstones removes the tombstones of attempts whose claims would be too
// late anyway.
func (t *Table) pruneTombstones(e *entry) {
	kept := e.tombstones[:0]
	for _, m := range e.tombstones {
		if !t.latestAt.After(m.until.Add(MaxSkew)) {
			kept = append(kept, m)
		}
	}
	t.tombstoneCount -= len(e.tombstones) - len(kept)
	e.tombstones = kept
}
