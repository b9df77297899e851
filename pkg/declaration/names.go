package declaration

import (
	"sort"
	"strings"
	"unicode"
	"unicode/utf8"
)

// maxNameRunes bounds the length of names.
const maxNameRunes = 64

// NameRule describes a valid name, for messages.
const NameRule = "must be 1 to 64 letters, digits, '-', '_' or '.', and start with a letter or digit"

// ValidName reports whether name conforms to NameRule. Names are used in URL
// paths and in the paths of problems.
func ValidName(name string) bool {
	if name == "" || utf8.RuneCountInString(name) > maxNameRunes {
		return false
	}
	for i, r := range name {
		plain := unicode.IsLetter(r) || unicode.IsDigit(r)
		if !plain && (i == 0 || !strings.ContainsRune("-_.", r)) {
			return false
		}
	}
	return true
}

// maxEditDistance is the largest edit distance at which a known name is suggested
// for an unknown one.
const maxEditDistance = 2

// minPrefix is the minimum length at which a known name is suggested for a longer
// one that starts with it.
const minPrefix = 4

// nearest returns the known name that is closest to name, or an empty string if
// none is close enough.
func nearest(name string, known []string) string {
	if len(name) > maxNameRunes {
		return ""
	}
	sort.Strings(known)
	best, bestDistance := "", maxEditDistance+1
	name = strings.ToLower(name)
	for _, k := range known {
		n := editDistance(name, strings.ToLower(k))
		if len(k) >= minPrefix && strings.HasPrefix(name, strings.ToLower(k)) {
			n = min(n, maxEditDistance)
		}
		if n < bestDistance && n < len(k) {
			best, bestDistance = k, n
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replace := diagonal
			if a[i] != b[j] {
				replace++
			}
			diagonal = row[j+1]
			row[j+1] = min(replace, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// maxListed bounds the number of names that a message lists.
const maxListed = 12

// joinNames sorts names and formats them for a message.
func joinNames(names []string) string {
	sort.Strings(names)
	if len(names) > maxListed {
		return strings.Join(names[:maxListed], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}
