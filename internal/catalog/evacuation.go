package catalog

import (
	"maps"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
)

// ErrEvacuated means that a request or piece was not sent, since the failure domain of
// its target is evacuated.
var ErrEvacuated = errs.New("failure domain of the target is evacuated")

// EvacuationChange is a record of the operators' topic that evacuates a failure domain
// or, unless Evacuated is set, puts it back into service.
type EvacuationChange struct {
	Domain    string
	Evacuated bool
	Offset    Offset
}

// IsEvacuated reports whether targets in domain get no new work.
func (s *Snapshot) IsEvacuated(domain string) bool {
	_, evacuated := s.Evacuated[domain]
	return evacuated
}

// CheckSend returns ErrEvacuated if nothing may be sent to t. Senders call it right
// before the first byte, since an evacuation may have begun after t was chosen.
func (s *Snapshot) CheckSend(t *Target) error {
	if s.IsEvacuated(t.Domain) {
		return ErrEvacuated
	}
	return nil
}

// restartMargin is the difference between the times of two reads of the store, on different
// hosts, from which on the later one is known to have begun after the earlier one had ended.
// A read takes up to 4.2 s, and the age in a peer's reply leaves out the delay of calls.
const restartMargin = 6 * time.Second

// applyEvacuations applies the evacuations of a read of the operators' topic, or of a
// peer's reply. The state is replaced only by one at a later position of the topic, so
// that neither a peer that lags behind nor a record that is read again starts or ends an
// evacuation. If the store has lost the topic's history, so that offsets have started
// over, a state at an earlier position replaces it. peerReadAt is the time at which a peer
// or its source read the state; it is zero for a read of the store.
func (f *Follower) applyEvacuations(update TableUpdate, source Source, peerReadAt time.Time) {
	f.mu.Lock()
	former, position := f.evacuations, f.tablePosition
	first, now := former == nil, f.Clock.Now()
	restarted := !first && f.hasStartedOver(update, peerReadAt)
	known := !first && !restarted && (update.Next <= position || f.isOfFormerHistory(peerReadAt))
	if update.Next == position || !known {
		f.recordTopicRead(peerReadAt, now)
	}
	if first && !update.Full || known {
		f.mu.Unlock()
		return
	}
	if restarted {
		f.startedOverAt = now
		f.Log.Warn("offsets of the operators' topic have started over", zap.Int64("Next", int64(update.Next)), zap.Int64("Former", int64(position)), zap.String("Source", source.Name))
	}
	next := nextEvacuations(former, position, update)
	f.evacuations, f.tablePosition = next, update.Next
	changed := first || !maps.Equal(former, next)
	if changed {
		f.notifyPutBack(former, next)
		f.evacuationsChanged = update.Next
		f.publish()
		f.notifyWaiters()
	}
	f.mu.Unlock()
	if changed {
		f.logEvacuations(former, next, update, source)
		f.notifyChange()
	}
}

// hasStartedOver reports whether update shows that the offsets of the operators' topic have
// started over: it holds the whole state at an earlier position than the known one,
// although it was read later. f.mu is held.
func (f *Follower) hasStartedOver(update TableUpdate, peerReadAt time.Time) bool {
	if !update.Full || update.Next >= f.tablePosition {
		return false
	}
	if peerReadAt.IsZero() {
		return update.Since == f.tablePosition
	}
	return peerReadAt.Sub(f.topicReadAt) > restartMargin
}

// isOfFormerHistory reports whether a peer's state may have been read before the offsets of
// the operators' topic started over. Positions before and after can't be compared. f.mu is
// held.
func (f *Follower) isOfFormerHistory(peerReadAt time.Time) bool {
	return !peerReadAt.IsZero() && !f.startedOverAt.IsZero() && peerReadAt.Sub(f.startedOverAt) < restartMargin
}

// recordTopicRead records that the known state was in force at peerReadAt or, if that is
// zero, is in force now; f.mu is held.
func (f *Follower) recordTopicRead(peerReadAt, now time.Time) {
	if peerReadAt.IsZero() {
		peerReadAt = now
	}
	if peerReadAt.After(f.topicReadAt) {
		f.topicReadAt = peerReadAt
	}
}

// topicPosition returns the position up to which the operators' topic is known.
func (f *Follower) topicPosition() Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tablePosition
}

// notifyPutBack calls OnPutBack for the failure domains that are in former but not in
// next; f.mu is held.
func (f *Follower) notifyPutBack(former, next map[string]Offset) {
	if f.OnPutBack == nil {
		return
	}
	for domain := range former {
		if _, still := next[domain]; !still {
			f.OnPutBack(f.Snapshot(), domain)
		}
	}
}

// nextEvacuations returns the evacuations in force after update, given those at
// position. It doesn't modify former, which snapshots hold.
func nextEvacuations(former map[string]Offset, position Offset, update TableUpdate) map[string]Offset {
	next := map[string]Offset{}
	if !update.Full {
		maps.Copy(next, former)
	}
	for _, c := range update.Evacuations {
		switch {
		case !update.Full && c.Offset < position:
		case c.Evacuated:
			next[c.Domain] = c.Offset
		default:
			delete(next, c.Domain)
		}
	}
	return next
}

// logEvacuations logs which evacuations began and ended. A full read doesn't show the
// offset at which an evacuation ended; the offset of the last record read is logged then.
func (f *Follower) logEvacuations(former, next map[string]Offset, update TableUpdate, source Source) {
	for domain, offset := range next {
		if _, known := former[domain]; !known {
			f.Log.Info("failure domain evacuated", zap.String("Domain", domain), zap.Int64("Offset", int64(offset)), zap.String("Source", source.Name))
		}
	}
	for domain := range former {
		if _, still := next[domain]; still {
			continue
		}
		offset := update.Next - 1
		for _, c := range update.Evacuations {
			if c.Domain == domain {
				offset = c.Offset
			}
		}
		f.Log.Info("failure domain put back into service", zap.String("Domain", domain), zap.Int64("Offset", int64(offset)), zap.String("Source", source.Name))
	}
}

// evacuationList returns the evacuations in force for a reply to a peer; f.mu is held.
func (f *Follower) evacuationList() []EvacuationChange {
	var out []EvacuationChange
	for domain, offset := range f.evacuations {
		out = append(out, EvacuationChange{Domain: domain, Evacuated: true, Offset: offset})
	}
	return out
}
