package host

import (
	"os"
	"runtime/debug"
)

// Settings of the garbage collector of a process that serves. A host's live
// heap is small and its requests are short, so at the language's default most
// of a collection's work is spent on a few megabytes, many times a second.
const (
	collectorPercent = 400
	// softMemoryBytes makes collections more frequent again as the heap grows
	// towards it.
	softMemoryBytes = 1 << 30
)

// TuneCollector sets up the garbage collector of this process. The environment
// variables GOGC and GOMEMLIMIT go before it.
func TuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(softMemoryBytes)
	}
}
