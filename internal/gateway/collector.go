package gateway

import "runtime/debug"

// Settings of the garbage collector: the live heap is a few megabytes, and at
// the language's default it would be collected many times a second.
const (
	collectorPercent = 400
	// heapShare is the part of the process's memory that the heap may grow to
	// before collections become frequent again.
	heapShare  = 0.5
	bytesPerMB = 1e6
)

// TuneCollector sets up the garbage collector of a process that may use so
// many megabytes.
func TuneCollector(memoryMB float64) {
	debug.SetGCPercent(collectorPercent)
	debug.SetMemoryLimit(int64(heapShare * bytesPerMB * memoryMB))
}
