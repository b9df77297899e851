package crash

import (
	"slices"
	"time"
)

// Limits of a suspectTable.
const (
	// maxCrashes is the number of crashes from which on a suspect is blocked.
	maxCrashes = 3
	// commonCauseTime is the time within which the crashes of several targets count
	// as one: what ends them together is no request.
	commonCauseTime = 250 * time.Millisecond
	// incidentLifetime is how long a crash counts against its suspects.
	incidentLifetime = time.Hour
	// trialInterval is the time without an incident, and since the last trial, after
	// which a blocked request is sent on trial. It doubles with each trial that crashed
	// its target; maxFailedTrials are allowed.
	trialInterval   = 30 * time.Second
	maxFailedTrials = 3
	// maxIncidents and maxIncidentSuspects bound the incidents that are kept and the
	// suspects of each.
	maxIncidents        = 128
	maxIncidentSuspects = 512
)

// suspectTable records what may have crashed targets. One request may crash each target
// that runs it, at any host. Or one part of prompts may crash each target that begins
// to answer a request with it, while no two of these requests are alike. Sound requests
// that run beside either, and are alike themselves or share all parts but one with it,
// must not be taken for the cause.
//
// Each incident, that is, the crash of one incarnation of a target, suspects what it
// may have been running, once, however many sends it broke. A part that gets an answer
// anywhere, or a request that is answered completely, is cleared of all known incidents,
// so that what is in frequent use is soon cleared, and the cause never. A request is
// blocked for a suspect of at least maxCrashes incidents, not counting those that
// another suspect explains. Trials clear what was blocked while targets crashed for
// another reason.
type suspectTable struct {
	incidents []*incident // oldest first
	// trials holds the time of each suspect's last trial.
	trials map[Suspect]time.Time
}

// incident is an Incident with its suspects.
type incident struct {
	Incident
	// at is the time of the first report by the clock of the host that made it; zero
	// while only a clearing is known. learntAt is the time at which this host learnt
	// of the incident.
	at, learntAt time.Time
	// suspects holds each suspect that was reported; false if it was cleared, which
	// may be known first.
	suspects map[Suspect]bool
}

// recordCrash adds the suspects of c to its incident, which happened at the time at.
// It reports whether any of them was new.
func (t *suspectTable) recordCrash(c *Crash, at, now time.Time) bool {
	i := t.findOrAdd(c.Incident, now)
	if i.at.IsZero() || at.Before(i.at) {
		i.at = at
		t.sort()
	}
	changed := false
	for _, s := range c.Suspects {
		if _, known := i.suspects[s]; !known && len(i.suspects) < maxIncidentSuspects {
			i.suspects[s] = true
			changed = true
		}
	}
	return changed
}

// recordClearing clears the suspects of c of its incidents, and reports whether any of
// them wasn't before.
func (t *suspectTable) recordClearing(c *Clearing, now time.Time) bool {
	changed := false
	for _, in := range c.Incidents {
		i := t.findOrAdd(in, now)
		for _, s := range c.Suspects {
			suspected, known := i.suspects[s]
			if known && !suspected || !known && len(i.suspects) >= maxIncidentSuspects {
				continue
			}
			i.suspects[s] = false
			changed = true
		}
	}
	return changed
}

// findOrAdd returns the incident in. It drops expired incidents, and the oldest if
// there are too many.
func (t *suspectTable) findOrAdd(in Incident, now time.Time) *incident {
	t.incidents = slices.DeleteFunc(t.incidents, func(i *incident) bool { return i.expired(now) })
	for _, i := range t.incidents {
		if i.Incident == in {
			return i
		}
	}
	if len(t.incidents) >= maxIncidents {
		t.incidents = t.incidents[1:]
	}
	i := &incident{Incident: in, learntAt: now, suspects: map[Suspect]bool{}}
	t.incidents = append(t.incidents, i)
	return i
}

func (t *suspectTable) sort() {
	slices.SortStableFunc(t.incidents, func(a, b *incident) int { return a.at.Compare(b.at) })
}

func (i *incident) expired(now time.Time) bool { return now.Sub(i.learntAt) > incidentLifetime }

// against returns the incidents of s, oldest first.
func (t *suspectTable) against(s Suspect, now time.Time) []*incident {
	var out []*incident
	for _, i := range t.incidents {
		if i.suspects[s] && !i.expired(now) {
			out = append(out, i)
		}
	}
	return out
}

// clearing returns the news that suspects are cleared of all that is known of them, or
// nil if there is nothing.
func (t *suspectTable) clearing(suspects []Suspect, now time.Time) *Clearing {
	var c Clearing
	for _, s := range suspects {
		own := t.against(s, now)
		if len(own) == 0 {
			continue
		}
		c.Suspects = append(c.Suspects, s)
		for _, i := range own {
			if !slices.Contains(c.Incidents, i.Incident) {
				c.Incidents = append(c.Incidents, i.Incident)
			}
		}
	}
	if len(c.Suspects) == 0 {
		return nil
	}
	return &c
}

// blocked returns that of candidates for which a request that brings the suspects own
// must not be sent, or the zero Suspect: of several one that was never cleared, the one
// with the most incidents, or else the last.
func (t *suspectTable) blocked(candidates, own []Suspect, now time.Time) Suspect {
	// Nearly all requests end here; to count all suspects would take far longer.
	if !slices.ContainsFunc(candidates, func(s Suspect) bool { return t.hasIncidents(s, maxCrashes, now) }) {
		return Suspect{}
	}
	counts := t.counts(now)
	var worst Suspect
	worstCleared := true
	for _, s := range candidates {
		if counts[s] < maxCrashes || t.unexplained(s, own, counts, now) < maxCrashes {
			continue
		}
		cleared := t.wasCleared(s)
		if cleared == worstCleared && counts[s] >= counts[worst] || !cleared && worstCleared {
			worst, worstCleared = s, cleared
		}
	}
	return worst
}

// hasIncidents reports whether s has at least n incidents.
func (t *suspectTable) hasIncidents(s Suspect, n int, now time.Time) bool {
	for _, i := range t.incidents {
		if i.suspects[s] && !i.expired(now) {
			n--
		}
		if n == 0 {
			return true
		}
	}
	return false
}

// counts returns the number of incidents of each suspect.
func (t *suspectTable) counts(now time.Time) map[Suspect]int {
	counts := map[Suspect]int{}
	for _, i := range t.incidents {
		for s, suspected := range i.suspects {
			if suspected && !i.expired(now) {
				counts[s]++
			}
		}
	}
	return counts
}

// unexplained returns the number of incidents of s, which is one of own, that no other
// suspect explains. Those within commonCauseTime count as one.
func (t *suspectTable) unexplained(s Suspect, own []Suspect, counts map[Suspect]int, now time.Time) int {
	// explains reports whether other is at least as likely the cause as s. An answer
	// that cleared s speaks for the other. Without one, only a part does: many requests
	// have it, so that it would have been answered, while a request may be alone.
	explains := func(other Suspect) bool { return other.Part != "" && counts[other] >= counts[s] }
	if t.wasCleared(s) {
		explains = func(other Suspect) bool { return counts[other] >= maxCrashes }
	}
	n := 0
	var last time.Time
	for _, i := range t.against(s, now) {
		if i.suspectsOther(own, explains) || n > 0 && i.at.Sub(last) < commonCauseTime {
			continue
		}
		n++
		last = i.at
	}
	return n
}

// wasCleared reports whether s was cleared of any incident.
func (t *suspectTable) wasCleared(s Suspect) bool {
	return slices.ContainsFunc(t.incidents, func(i *incident) bool {
		suspected, known := i.suspects[s]
		return known && !suspected
	})
}

// suspectsOther reports whether i has a suspect that is not among own and explains it.
func (i *incident) suspectsOther(own []Suspect, explains func(Suspect) bool) bool {
	for other, suspected := range i.suspects {
		if suspected && explains(other) && !slices.Contains(own, other) {
			return true
		}
	}
	return false
}

// takeTrial reports whether a request with the blocked suspect s may be sent on trial.
func (t *suspectTable) takeTrial(s Suspect, now time.Time) bool {
	own := t.against(s, now)
	failed := failedTrials(own)
	last := t.trials[s]
	for _, i := range own {
		if i.learntAt.After(last) {
			last = i.learntAt
		}
	}
	if failed >= maxFailedTrials || now.Sub(last) < trialInterval<<failed {
		return false
	}
	for s, at := range t.trials {
		if now.Sub(at) > incidentLifetime {
			delete(t.trials, s)
		}
	}
	if t.trials == nil {
		t.trials = map[Suspect]time.Time{}
	}
	t.trials[s] = now
	return true
}

// failedTrials returns how many of a suspect's incidents, oldest first, trials must have
// caused: nothing else is sent once the suspect is blocked. Incidents, unlike the times
// of trials, are known to all hosts and survive their restart.
func failedTrials(own []*incident) int {
	if len(own) < maxCrashes {
		return 0
	}
	blockedAt := own[maxCrashes-1].at
	n := 0
	for _, i := range own[maxCrashes:] {
		if i.at.Sub(blockedAt) >= trialInterval {
			n++
		}
	}
	return n
}
