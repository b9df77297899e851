package standin

import (
	"sort"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/platform"
)

// stream is one stream of the log service; the Log's mutex guards it.
type stream struct {
	records []platform.Record
	oldest  platform.Offset // offset of records[0]
	// changed is closed by the next append.
	changed chan struct{}
}

func (s *stream) next() platform.Offset { return s.oldest + platform.Offset(len(s.records)) }

// visible returns the records that a reader with these faults sees and, when
// waiting alone will show more, a channel that says when to look again.
func (s *stream) visible(f LogFaults) ([]platform.Record, <-chan struct{}) {
	until := time.Now()
	if f.StaleBy > 0 {
		until = until.Add(-f.StaleBy)
	}
	if f.StaleReads && f.setAt.Before(until) {
		until = f.setAt
	}
	n := sort.Search(len(s.records), func(i int) bool { return s.records[i].At.After(until) })
	if n == len(s.records) || f.StaleReads {
		return s.records[:n], nil
	}
	again, _ := clock.Timer(s.records[n].At.Sub(until))
	return s.records[:n], again
}

// stream returns the named stream; l.mu is held.
func (l *Log) stream(name string) *stream {
	l.init()
	if l.streams[name] == nil {
		l.streams[name] = &stream{oldest: 1, changed: make(chan struct{})}
	}
	return l.streams[name]
}

// trim drops the records of s that are past retention; l.mu is held.
func (l *Log) trim(s *stream) {
	drop := 0
	if l.MaxRecords > 0 {
		drop = max(0, len(s.records)-l.MaxRecords)
	}
	if l.Retention > 0 {
		limit := time.Now().Add(-l.Retention)
		old := sort.Search(len(s.records), func(i int) bool { return s.records[i].At.After(limit) })
		drop = max(drop, old)
	}
	s.records = s.records[drop:]
	s.oldest += platform.Offset(drop)
}
