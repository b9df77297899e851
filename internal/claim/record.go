package claim

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/result"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// RuleVersion is the newest version of the fold's rules that this code knows.
const RuleVersion = 1

// The kinds of records on a Claims stream.
const (
	// ClaimKind carries a Request.
	ClaimKind = "Claim"
	// ReleaseKind carries the Request that is given up.
	ReleaseKind = "Release"
	// OutcomeKind carries an OutcomeRecord.
	OutcomeKind = "Outcome"
	// RuleKind carries a Rule.
	RuleKind = "Rule"
)

// OutcomeRecord is the end of the claim of an attempt.
type OutcomeRecord struct {
	Workspace string
	Key       string
	AttemptID string
	Outcome   Outcome
}

// Rule puts a version of the fold's rules in force from its own offset on.
type Rule struct {
	Version int
}

// newEntry returns the entry of one kind for an attempt. Its ID is the same
// for each copy, so that the fold can drop the second.
func newEntry(kind, attempt string, v any) (platform.Entry, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return platform.Entry{}, err
	}
	return platform.Entry{ID: kind + ":" + attempt, Kind: kind, Data: data}, nil
}

// partitionOf returns the number, below count, of the partition that a key
// belongs to.
func partitionOf(workspace, key string, count int) int {
	return int(xxhash.Sum64String(workspace+"\x00"+canonicalKey(key)) % uint64(count))
}

// streamName returns the stream of a partition.
func streamName(partition int) string {
	return fmt.Sprintf("%s%02d", platform.ClaimsPrefix, partition)
}

// keyTime returns the time that a UUIDv7 carries. It reports false for
// anything else.
func keyTime(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// canonical returns the one spelling of a key, since a UUID can be written in
// several.
func canonicalKey(key string) string {
	u, err := uuid.Parse(key)
	if err != nil {
		return strings.ToLower(key)
	}
	return u.String()
}

// checkKey judges the time of a key at now: nil for a key within its window.
func checkKey(key string, now time.Time) *result.Error {
	made, ok := keyTime(key)
	if !ok {
		return result.NotRun(result.KeyMalformed, "the idempotency key is no UUIDv7")
	}
	if made.After(now.Add(MaxSkew)) {
		return result.NotRun(result.KeyMalformed, "the idempotency key's time %s lies in the future", made.UTC().Format(time.RFC3339))
	}
	if now.After(made.Add(Window)) {
		return result.Failed(result.KeyExpired, "the idempotency key is older than %s", Window)
	}
	return nil
}

// identity is a digest that stands for a longer name in a Table.
type shortHash [16]byte

func hashNames(parts ...string) shortHash {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return shortHash(sum[:len(shortHash{})])
}
