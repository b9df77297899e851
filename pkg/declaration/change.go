package declaration

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
)

// Rule versions of the fold over the Config stream. A new rule takes force by
// a record on the stream, at the same offset for every host.
const (
	// FirstRule is in force on a new stream.
	FirstRule = 1
	// LatestRule is the newest that this release knows. Rule 2 brought
	// Target.Region.
	LatestRule = 2
)

// Text is the text of a section as its owners wrote it, comments included. In
// a record it stands as a JSON string.
type Text []byte

// MarshalJSON writes t as a string.
func (t Text) MarshalJSON() ([]byte, error) { return json.Marshal(string(t)) }

// UnmarshalJSON reads a string.
func (t *Text) UnmarshalJSON(src []byte) error {
	var s string
	if err := json.Unmarshal(src, &s); err != nil {
		return err
	}
	*t = Text(s)
	return nil
}

// Change is a proposed new text of one section, as it stands on the Config
// stream.
type Change struct {
	// RuleVersion is the version of the fold's rules that the author knew; zero
	// is the first.
	RuleVersion int
	Section     string
	// Base is the revision of the section that the author's text was made from:
	// the offset of the change that made it, or what Revision said of a section
	// that did not exist.
	Base    int64
	Author  string
	Text    Text
	Removed bool `json:",omitempty"`
	// Signature is an ed25519 signature by one of the section's keys over
	// SignedBytes.
	Signature []byte `json:",omitempty"`
}

// signedPart is what a signature covers.
type signedPart struct {
	RuleVersion int
	Section     string
	Base        int64
	ChangeID    string
	Author      string
	Removed     bool
	TextSHA256  [sha256.Size]byte
}

// SignedBytes returns what a signature of c covers when c is published as
// changeID: section, base, ID, author and the digest of the text.
func (c *Change) SignedBytes(changeID string) []byte {
	part := signedPart{c.RuleVersion, c.Section, c.Base, changeID, c.Author, c.Removed, sha256.Sum256(c.Text)}
	out, err := json.Marshal(part)
	if err != nil {
		panic(fmt.Sprintf("declaration: signed part: %v", err))
	}
	return append([]byte("berylswitch change\n"), out...)
}

// Sign signs c as it will be published under changeID.
func (c *Change) Sign(changeID string, key ed25519.PrivateKey) {
	c.Signature = ed25519.Sign(key, c.SignedBytes(changeID))
}

// SignedByOne reports whether one of keys, as Section.Keys has them, signed c.
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

// errKey says what a public key looks like.
var errKey = errors.New("must be an ed25519 public key: 32 bytes in base64")

// ParseKey reads an ed25519 public key in base64.
func ParseKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, errKey
	}
	return ed25519.PublicKey(key), nil
}

// VerdictKind says what became of a change.
type VerdictKind string

// The kinds of verdicts.
const (
	// Accepted means that the change is in force from its offset on.
	Accepted VerdictKind = "Accepted"
	// Overtaken means that the section had another revision than the change's
	// base.
	Overtaken VerdictKind = "Overtaken"
	// Invalid means that the change breaks a rule.
	Invalid VerdictKind = "Invalid"
)

// Verdict is the fold's word on a change. It is the same at every host.
type Verdict struct {
	ChangeID string
	Section  string
	// Offset is that of the first record with the change.
	Offset int64
	Kind   VerdictKind
	// Revision is the section's revision after the verdict.
	Revision int64
	// By is the author of that revision and ByChange its change ID; they are set
	// when the change was overtaken.
	By       string `json:",omitempty"`
	ByChange string `json:",omitempty"`
	// Reasons say why the change is invalid, at most MaxReasons of them.
	Reasons []string `json:",omitempty"`
}

// MaxReasons bounds the reasons of a verdict.
const MaxReasons = 8
