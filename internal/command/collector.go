package command

import (
	"os"
	"runtime/debug"
)

// gcPercent is the heap growth, in percent, that triggers a collection. A host's
// live heap is small and its requests are short, so at Go's default most of a
// collection's work is spent on a few megabytes, many times a second.
const gcPercent = 400

// TuneCollector sets up the garbage collector of a server process. Collections
// become more frequent again as the heap grows towards softMemoryBytes. The
// environment variables GOGC and GOMEMLIMIT take precedence.
func TuneCollector(softMemoryBytes int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(softMemoryBytes)
	}
}
