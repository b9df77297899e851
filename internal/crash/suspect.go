package crash

import (
	"slices"
	"strings"
)

// Bounds of what one request reports.
const (
	maxReportParts = 128
	// maxPartBytes bounds the names of parts, which callers choose.
	maxPartBytes = 128
)

// Suspect is what may crash targets: either one request that is sent again and again,
// or a part that prompts of many requests have in common.
type Suspect struct {
	// Digest identifies the request by the hash of what it asks for; empty for a part.
	Digest string `json:",omitempty"`
	Part   string `json:",omitempty"`
}

// The names of suspects consist of one of these prefixes and a digest or a part.
const (
	digestPrefix = "Digest/"
	partPrefix   = "Part/"
)

// String returns the name of s, by which the archive keeps it.
func (s Suspect) String() string {
	if s.Digest != "" {
		return digestPrefix + s.Digest
	}
	return partPrefix + s.Part
}

// suspectOf is the inverse of Suspect.String.
func suspectOf(name string) Suspect {
	if digest, ok := strings.CutPrefix(name, digestPrefix); ok {
		return Suspect{Digest: digest}
	}
	return Suspect{Part: strings.TrimPrefix(name, partPrefix)}
}

// trackable returns those of suspects whose crashes are counted: not the first parts
// of a prompt that has very many.
func trackable(suspects []Suspect) []Suspect {
	var out []Suspect
	parts := 0
	for _, s := range slices.Backward(suspects) {
		if s.Part != "" {
			parts++
		}
		if parts <= maxReportParts && len(s.Part) <= maxPartBytes {
			out = append(out, s)
		}
	}
	slices.Reverse(out)
	return out
}

// Incident names the crash of one incarnation of a target.
type Incident struct {
	Target string
	// Born is the start of the incarnation in Unix milliseconds.
	Born int64
}

// Crash is the news that a target crashed while it ran a request that brings the given
// suspects.
type Crash struct {
	Incident Incident
	Suspects []Suspect
}

// Clearing is the news that a target lives on after what the given suspects were
// suspected of, so that these did not cause the given incidents.
type Clearing struct {
	Suspects  []Suspect
	Incidents []Incident
}
