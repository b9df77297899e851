package placement

import (
	"slices"
	"time"
)

// This file indexes the parts of prompts by ID, so that a choice need not look for each
// part at each target.

// maxIndexedParts bounds the parts of a partIndex.
const maxIndexedParts = 1 << 15

// partIndex holds which targets have lately been sent which shared parts of prompts.
type partIndex struct {
	copies map[string][]partCopy
	// lookup is the number of the last look-up.
	lookup uint64
	// sweptAt is the time at which parts that have expired were last removed.
	sweptAt time.Time
}

// partCopy is a part at a target.
type partCopy struct {
	state  *targetState
	sentAt time.Time
}

// cachedPrefix is what a look-up has found at one target.
type cachedPrefix struct {
	lookup        uint64
	parts, tokens int
}

func newPartIndex() *partIndex { return &partIndex{copies: map[string][]partCopy{}} }

// find records, at each target that is assumed to have cached the first of parts, how
// many of them it has without a gap. The result is in force until the next look-up.
func (x *partIndex) find(parts []Part, now time.Time) {
	x.lookup++
	for i, p := range parts {
		found := false
		for _, c := range x.copies[p.ID] {
			prefix := &c.state.cached
			if now.Sub(c.sentAt) >= cachedPartLifetime {
				continue
			}
			if i == 0 {
				*prefix = cachedPrefix{lookup: x.lookup}
			}
			if prefix.lookup == x.lookup && prefix.parts == i {
				prefix.parts++
				prefix.tokens += p.Tokens
				found = true
			}
		}
		if !found {
			return
		}
	}
}

// tokens returns the tokens that the last look-up has found at s.
func (x *partIndex) tokens(s *targetState) int {
	if s.cached.lookup != x.lookup {
		return 0
	}
	return s.cached.tokens
}

// add records that parts are sent to s.
func (x *partIndex) add(parts []Part, s *targetState, now time.Time) {
	if now.Sub(x.sweptAt) >= cachedPartLifetime {
		x.sweep(now)
	}
	for _, p := range parts {
		copies := x.copies[p.ID]
		if i := slices.IndexFunc(copies, func(c partCopy) bool { return c.state == s }); i >= 0 {
			copies[i].sentAt = now
		} else if copies != nil || len(x.copies) < maxIndexedParts {
			x.copies[p.ID] = append(copies, partCopy{s, now})
		}
	}
}

// sweep removes what has expired, and with it the targets that are gone.
func (x *partIndex) sweep(now time.Time) {
	x.sweptAt = now
	for id, copies := range x.copies {
		copies = slices.DeleteFunc(copies, func(c partCopy) bool { return now.Sub(c.sentAt) >= cachedPartLifetime })
		if len(copies) == 0 {
			delete(x.copies, id)
		} else {
			x.copies[id] = copies
		}
	}
}
