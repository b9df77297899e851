package command

import (
	"os"
	"runtime/debug"
)

// collectorPercent is the growth of the heap at which it is collected. A
// host's live heap is small and its requests are short, so at the language's
// default most of a collection's work is spent on a few megabytes, many times a
// second.
const gcPercent = 400

// TuneCollector sets up the garbage collector of a process that serves.
// Collections become more frequent again as the heap grows towards
// softMemoryBytes. The environment variables GOGC and GOMEMLIMIT go before it.
func TuneCollector(softMemoryBytes int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(softMemoryBytes)
	}
}
