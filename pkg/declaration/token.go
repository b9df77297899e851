package declaration

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// TokenDigest returns the digest of a token in the format of
// Workspace.TokenSHA256.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Admits reports whether token grants access to w. It compares digests in
// constant time. A workspace without a digest admits every token; a malformed
// digest admits none.
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
