package declaration

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// TokenDigest returns the digest of a token as Workspace.TokenSHA256 has it.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Admits reports whether token opens w. The time it takes does not depend on
// where token differs. A workspace without a digest admits every token; a
// digest that is malformed admits none.
func (w *Workspace) Admits(token string) bool {
	if w.TokenSHA256 == "" {
		return true
	}
	want, err := hex.DecodeString(w.TokenSHA256)
	if err != nil || len(want) != sha256.Size {
		return false
	}
	got := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(got[:], want) == 1
}
