package catalog

import "cmp"

// Era counts how often the store has come back from a copy that lacks its last records.
// Offsets of these are given out again. Zero means that the era is unknown, as in what
// comes from hosts of the former version.
type Era int64

// Offset is the number of a record in a topic of the store. It names a record only
// together with the era in which the store gave it out.
type Offset int64

// Start requests the newest record of every key. It is before every record.
const Start Offset = -1

// Position is a place in a topic: what is known up to it is what the store held before
// Offset in Era.
type Position struct {
	Era    Era
	Offset Offset
}

// Before reports whether the state at p is older than that at q. Any state of an earlier
// era is older, at a higher offset too: the store no longer holds it.
func (p Position) Before(q Position) bool {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset)) < 0
}
