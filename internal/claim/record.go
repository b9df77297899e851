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

// RuleVersion is the latest version of the fold's rules that this code supports.
const RuleVersion = 1

// The kinds of records on a Claims stream.
const (
	// ClaimKind carries a Request.
	ClaimKind = "Claim"
	// ReleaseKind carries the Request whose claim is released.
	ReleaseKind = "Release"
	// OutcomeKind carries an OutcomeRecord.
	OutcomeKind = "Outcome"
	// RuleKind carries a Rule.
	RuleKind = "Rule"
)

// OutcomeRecord is the outcome of a claimed attempt.
type OutcomeRecord struct {
	Workspace string
	Key       string
	AttemptID string
	Outcome   Outcome
}

// Rule puts a version of the fold's rules into force from its own offset on.
type Rule struct {
	Version int
}

// newEntry returns the log entry of a kind for an attempt. All copies of an entry
// have the same ID, so that the fold can drop duplicates.
func newEntry(kind, attempt string, v any) (platform.Entry, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return platform.Entry{}, err
	}
	return platform.Entry{ID: kind + ":" + attempt, Kind: kind, Data: data}, nil
}

// partitionOf returns the partition of a key, a number below count.
func partitionOf(workspace, key string, count int) int {
	return int(xxhash.Sum64String(workspace+"\x00"+canonicalKey(key)) % uint64(count))
}

// streamName returns the name of a partition's stream.
func streamName(partition int) string {
	return fmt.Sprintf("%s%02d", platform.ClaimsPrefix, partition)
}

// keyTime returns the timestamp in a UUIDv7. It reports false for any other key.
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

// canonicalKey returns the canonical form of a key, since a UUID has several
// spellings.
func canonicalKey(key string) string {
	u, err := uuid.Parse(key)
	if err != nil {
		return strings.ToLower(key)
	}
	return u.String()
}

// checkKey returns nil if the timestamp of key is within its window at now, or
// else the reason why the key is refused.
func checkKey(key string, now time.Time) *result.Error {
	made, ok := keyTime(key)
	if !ok {
		return result.NotRun(result.KeyMalformed, "the idempotency key is not a UUIDv7")
	}
	if made.After(now.Add(MaxSkew)) {
		return result.NotRun(result.KeyMalformed, "the idempotency key's time %s lies in the future", made.UTC().Format(time.RFC3339))
	}
	if now.After(made.Add(Window)) {
		return result.Failed(result.KeyExpired, "the idempotency key is older than %s", Window)
	}
	return nil
}

// shortHash is a truncated SHA-256 that replaces a longer name in a Table.
type shortHash [16]byte

func hashNames(parts ...string) shortHash {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return shortHash(sum[:len(shortHash{})])
}
