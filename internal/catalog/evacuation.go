package catalog

import (
	"maps"

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

// applyEvacuations applies the evacuations of a read of the operators' topic, or of a
// peer's reply. The state is replaced only by one at a later position of the topic, so
// that neither a peer that lags behind nor a record that is read again starts or ends an
// evacuation. The first state of an era has to be a whole one.
func (f *Follower) applyEvacuations(update TableUpdate, source Source) {
	f.mu.Lock()
	former, position := f.evacuations, f.tablePosition
	first := former == nil
	if !first && !position.Before(update.position()) || !update.Full && (first || update.Era != position.Era) {
		f.mu.Unlock()
		return
	}
	f.observeEra("operators", position, update.position(), source.Name)
	next := nextEvacuations(former, position, update)
	f.evacuations, f.tablePosition = next, update.position()
	changed := first || !maps.Equal(former, next)
	if changed {
		f.notifyPutBack(former, next)
		f.evacuationsChanged = f.tablePosition
		f.publish()
		f.notifyWaiters()
	}
	f.mu.Unlock()
	if changed {
		f.logEvacuations(former, next, update, source)
		f.notifyChange()
	}
}

// topicPosition returns the position up to which the operators' topic is known.
func (f *Follower) topicPosition() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tablePosition
}

// notifyPutBack calls OnPutBack for the failure domains that are in former but not in
// next; f.mu is held.
func (f *Follower) notifyPutBack(former, next map[string]Position) {
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
func nextEvacuations(former map[string]Position, position Position, update TableUpdate) map[string]Position {
	next := map[string]Position{}
	if !update.Full {
		maps.Copy(next, former)
	}
	for _, c := range update.Evacuations {
		at := Position{update.Era, c.Offset}
		switch {
		case !update.Full && at.Before(position):
		case c.Evacuated:
			next[c.Domain] = at
		default:
			delete(next, c.Domain)
		}
	}
	return next
}

// logEvacuations logs which evacuations began and ended. A full read doesn't show the
// offset at which an evacuation ended; the offset of the last record read is logged then.
func (f *Follower) logEvacuations(former, next map[string]Position, update TableUpdate, source Source) {
	for domain, at := range next {
		if _, known := former[domain]; !known {
			f.Log.Info("failure domain evacuated", zap.String("Domain", domain), zap.Int64("Offset", int64(at.Offset)), zap.String("Source", source.Name))
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
	for domain, at := range f.evacuations {
		out = append(out, EvacuationChange{Domain: domain, Evacuated: true, Offset: at.Offset})
	}
	return out
}
