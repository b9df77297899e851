package declaration

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
)

// Rule versions of the fold over the Config stream. A record on the stream puts
// a new version into force, at the same offset on every host.
const (
	// FirstRule is the version in force on a new stream.
	FirstRule = 1
	// LatestRule is the newest version that this release knows. Rule 2 added
	// Target.Region.
	LatestRule = 2
)

// Text is the text of a section as its owners wrote it, comments included. In
// a record it is encoded as a JSON string.
type Text []byte

// MarshalJSON encodes t as a string.
func (t Text) MarshalJSON() ([]byte, error) { return json.Marshal(string(t)) }

// UnmarshalJSON decodes a string.
func (t *Text) UnmarshalJSON(src []byte) error {
	var s string
	if err := json.Unmarshal(src, &s); err != nil {
		return err
	}
	*t = Text(s)
	return nil
}

// Change is a proposed new text of one section, as recorded on the Config
// stream.
type Change struct {
	// RuleVersion is the version of the fold's rules that the change was made
	// for; zero means the first.
	RuleVersion int
	Section     string
	// Base is the revision of the section that the author started from: the
	// offset of the change that created it, or what Revision returned for a
	// section that did not exist.
	Base    int64
	Author  string
	Text    Text
	Removed bool `json:",omitempty"`
	// Signature is an ed25519 signature by one of the section's keys over
	// SignedBytes.
	Signature []byte `json:",omitempty"`
}

// signedPart holds the data that a signature covers.
type signedPart struct {
	RuleVersion int
	Section     string
	Base        int64
	ChangeID    string
	Author      string
	Removed     bool
	TextSHA256  [sha256.Size]byte
}

// SignedBytes returns the bytes that a signature of c covers if c is published
// as changeID. They contain the rule version, section, base, ID, author, removal
// and the digest of the text.
func (c *Change) SignedBytes(changeID string) []byte {
	part := signedPart{c.RuleVersion, c.Section, c.Base, changeID, c.Author, c.Removed, sha256.Sum256(c.Text)}
	out, err := json.Marshal(part)
	if err != nil {
		panic(fmt.Sprintf("declaration: signed part: %v", err))
	}
	return append([]byte("berylswitch change\n"), out...)
}

// Sign signs c for publication as changeID.
func (c *Change) Sign(changeID string, key ed25519.PrivateKey) {
	c.Signature = ed25519.Sign(key, c.SignedBytes(changeID))
}

// SignedByAny reports whether c is signed by any of keys, which have the format
// of Section.Keys.
func (c *Change) SignedByAny(changeID string, keys []string) bool {
	message := c.SignedBytes(changeID)
	for _, text := range keys {
		key, err := ParseKey(text)
		if err == nil && ed25519.Verify(key, message, c.Signature) {
			return true
		}
	}
	return false
}

// errKey describes the format of a public key.
var errKey = errors.New("must be an ed25519 public key: 32 bytes in base64")

// ParseKey parses an ed25519 public key in base64.
func ParseKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, errKey
	}
	return ed25519.PublicKey(key), nil
}

// VerdictKind is the result of judging a change.
type VerdictKind string

// The kinds of verdicts.
const (
	// Accepted means that the change is in force from its offset on.
	Accepted VerdictKind = "Accepted"
	// Overtaken means that the section's revision differed from the change's
	// base.
	Overtaken VerdictKind = "Overtaken"
	// Invalid means that the change violates a rule.
	Invalid VerdictKind = "Invalid"
)

// Verdict is the fold's decision on a change. It is the same on every host.
type Verdict struct {
	ChangeID string
	Section  string
	// Offset is the offset of the first record with the change.
	Offset int64
	Kind   VerdictKind
	// Revision is the section's revision after the verdict.
	Revision int64
	// By is the author of that revision and ByChange its change ID. They are set
	// if the change was overtaken.
	By       string `json:",omitempty"`
	ByChange string `json:",omitempty"`
	// Reasons explain why the change is invalid; there are at most MaxReasons.
	Reasons []string `json:",omitempty"`
}

// MaxReasons bounds the reasons of a verdict.
const MaxReasons = 8
