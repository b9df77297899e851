package crash

import (
	"slices"
	"time"
)

// Limits of a partTable.
const (
	// maxPartCrashes is the number of crashes from which on a part of a prompt is
	// blocked.
	maxPartCrashes = 3
	// commonCauseTime is the time within which the crashes of several targets count
	// as one: what ends them together is no request.
	commonCauseTime = 250 * time.Millisecond
	// incidentLifetime is how long a crash counts against the parts.
	incidentLifetime = 10 * time.Minute
	// trialInterval is the time without an incident, and since the last trial, after
	// which a request with a blocked part is sent on trial.
	trialInterval = 30 * time.Second
	// maxIncidents and maxIncidentParts bound the incidents that are kept and the
	// parts of each, maxReportParts those of one request.
	maxIncidents     = 128
	maxIncidentParts = 512
	maxReportParts   = 128
)

// maxPartBytes bounds the names of parts, which callers choose.
const maxPartBytes = 128

// trackable returns the parts whose crashes are counted: the last ones of a prompt
// that has very many.
func trackable(parts []string) []string {
	var out []string
	for _, p := range parts[max(0, len(parts)-maxReportParts):] {
		if len(p) <= maxPartBytes {
			out = append(out, p)
		}
	}
	return out
}

// Incident names the crash of one incarnation of a target.
type Incident struct {
	Target string
	// Born is the start of the incarnation in Unix milliseconds.
	Born int64
}

// PartCrash is the news that a target crashed before it had begun to answer a
// request with the given parts in its prompt.
type PartCrash struct {
	Incident Incident
	Parts    []string
}

// PartBegin is the news that a target has begun to answer a request with the given
// parts in its prompt, so that these parts did not cause the given incidents.
type PartBegin struct {
	Parts     []string
	Incidents []Incident
}

// partTable records which parts of prompts may have crashed targets. One part may
// crash each target that begins to answer a request with it, while no two of these
// requests are alike and sound requests share all their other parts.
//
// Each incident suspects the parts of all requests that the target had not begun to
// answer. A part that gets an answer anywhere is cleared of all known incidents, so
// that a part in frequent use is soon cleared, and the one that causes crashes never.
// A request is blocked for a part with maxPartCrashes incidents, not counting those
// that a part explains which the request doesn't have and which is suspected at least
// as often; maxPartCrashes will do if the request's part was ever cleared. So the sound
// requests that share a part with those that crash targets are sent, and their answers
// clear that part. Trials clear parts that were blocked while targets crashed for
// another reason.
type partTable struct {
	incidents []*partIncident // oldest first
	// trials holds the time of each part's last trial.
	trials map[string]time.Time
}

// partIncident is an incident with the parts that it suspects.
type partIncident struct {
	Incident
	// at is the time of the first report by the clock of the host that made it; zero
	// while only an answer is known. learntAt is the time at which this host learnt of
	// the incident.
	at, learntAt time.Time
	// suspects holds each part that was reported; false if it was cleared, which may
	// be known first.
	suspects map[string]bool
}

// recordCrash adds the parts of c to its incident, which happened at the time at. It
// reports whether any of them was new.
func (t *partTable) recordCrash(c *PartCrash, at, now time.Time) bool {
	i := t.findOrAdd(c.Incident, now)
	if i.at.IsZero() || at.Before(i.at) {
		i.at = at
		t.sort()
	}
	changed := false
	for _, p := range c.Parts {
		if _, known := i.suspects[p]; !known && len(i.suspects) < maxIncidentParts {
			i.suspects[p] = true
			changed = true
		}
	}
	return changed
}

// recordBegin clears the parts of b of its incidents, and reports whether any of them
// wasn't before.
func (t *partTable) recordBegin(b *PartBegin, now time.Time) bool {
	changed := false
	for _, in := range b.Incidents {
		i := t.findOrAdd(in, now)
		for _, p := range b.Parts {
			suspected, known := i.suspects[p]
			if known && !suspected || !known && len(i.suspects) >= maxIncidentParts {
				continue
			}
			i.suspects[p] = false
			changed = true
		}
	}
	return changed
}

// findOrAdd returns the incident in. It drops expired incidents, and the oldest if
// there are too many.
func (t *partTable) findOrAdd(in Incident, now time.Time) *partIncident {
	t.incidents = slices.DeleteFunc(t.incidents, func(i *partIncident) bool { return i.expired(now) })
	for _, i := range t.incidents {
		if i.Incident == in {
			return i
		}
	}
	if len(t.incidents) >= maxIncidents {
		t.incidents = t.incidents[1:]
	}
	i := &partIncident{Incident: in, learntAt: now, suspects: map[string]bool{}}
	t.incidents = append(t.incidents, i)
	return i
}

func (t *partTable) sort() {
	slices.SortStableFunc(t.incidents, func(a, b *partIncident) int { return a.at.Compare(b.at) })
}

func (i *partIncident) expired(now time.Time) bool { return now.Sub(i.learntAt) > incidentLifetime }

// against returns the incidents in which part is suspected, oldest first.
func (t *partTable) against(part string, now time.Time) []*partIncident {
	var out []*partIncident
	for _, i := range t.incidents {
		if i.suspects[part] && !i.expired(now) {
			out = append(out, i)
		}
	}
	return out
}

// begun returns the news that a request with parts is being answered, or nil if that
// clears nothing.
func (t *partTable) begun(parts []string, now time.Time) *PartBegin {
	var b PartBegin
	for _, p := range parts {
		own := t.against(p, now)
		if len(own) == 0 {
			continue
		}
		b.Parts = append(b.Parts, p)
		for _, i := range own {
			if !slices.Contains(b.Incidents, i.Incident) {
				b.Incidents = append(b.Incidents, i.Incident)
			}
		}
	}
	if len(b.Parts) == 0 {
		return nil
	}
	return &b
}

// blocked returns the part for which a request with parts must not be sent, or the
// empty string: of several one that was never cleared, the one that is suspected most
// often, or else the last.
func (t *partTable) blocked(parts []string, now time.Time) string {
	if len(t.incidents) == 0 {
		return ""
	}
	counts := t.suspicions(now)
	worst, worstCleared := "", true
	for _, p := range parts {
		if counts[p] < maxPartCrashes || t.unexplained(p, parts, counts, now) < maxPartCrashes {
			continue
		}
		cleared := t.wasCleared(p)
		if cleared == worstCleared && counts[p] >= counts[worst] || !cleared && worstCleared {
			worst, worstCleared = p, cleared
		}
	}
	return worst
}

// suspicions returns the number of incidents in which each part is suspected.
func (t *partTable) suspicions(now time.Time) map[string]int {
	counts := map[string]int{}
	for _, i := range t.incidents {
		for p, suspected := range i.suspects {
			if suspected && !i.expired(now) {
				counts[p]++
			}
		}
	}
	return counts
}

// unexplained returns the number of incidents of part that no other part explains
// which is not among parts. Those within commonCauseTime count as one.
func (t *partTable) unexplained(part string, parts []string, counts map[string]int, now time.Time) int {
	enough := counts[part]
	if t.wasCleared(part) {
		enough = maxPartCrashes
	}
	n := 0
	var last time.Time
	for _, i := range t.against(part, now) {
		if i.suspectsOther(parts, counts, enough) || n > 0 && i.at.Sub(last) < commonCauseTime {
			continue
		}
		n++
		last = i.at
	}
	return n
}

// wasCleared reports whether part was cleared of any incident.
func (t *partTable) wasCleared(part string) bool {
	return slices.ContainsFunc(t.incidents, func(i *partIncident) bool {
		suspected, known := i.suspects[part]
		return known && !suspected
	})
}

// suspectsOther reports whether i suspects a part that is not among parts and has at
// least enough incidents.
func (i *partIncident) suspectsOther(parts []string, counts map[string]int, enough int) bool {
	for other, suspected := range i.suspects {
		if suspected && counts[other] >= enough && !slices.Contains(parts, other) {
			return true
		}
	}
	return false
}

// takeTrial reports whether a request with the blocked part may be sent on trial.
func (t *partTable) takeTrial(part string, now time.Time) bool {
	last := t.trials[part]
	for _, i := range t.against(part, now) {
		if i.learntAt.After(last) {
			last = i.learntAt
		}
	}
	if now.Sub(last) < trialInterval {
		return false
	}
	for p, at := range t.trials {
		if now.Sub(at) > incidentLifetime {
			delete(t.trials, p)
		}
	}
	if t.trials == nil {
		t.trials = map[string]time.Time{}
	}
	t.trials[part] = now
	return true
}
