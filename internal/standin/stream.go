package standin

import (
	"sort"
	"time"

	"berylswitch.example/berylswitch/internal/clock"
	"berylswitch.example/berylswitch/internal/platform"
)

// stream is one stream of the log service. The Log's mutex guards it.
type stream struct {
	records []platform.Record
	oldest  platform.Offset // offset of records[0]
	// changed is closed and replaced by each append.
	changed chan struct{}
}

func (s *stream) next() platform.Offset { return s.oldest + platform.Offset(len(s.records)) }

// visible returns the records that a reader with these faults sees. If more will
// become visible by the passage of time alone, it also returns a channel that
// fires when to read again.
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
	recheck, _ := clock.Timer(s.records[n].At.Sub(until))
	return s.records[:n], recheck
}

// stream returns the named stream and creates it if needed. The caller holds l.mu.
func (l *Log) stream(name string) *stream {
	l.init()
	if l.streams[name] == nil {
		l.streams[name] = &stream{oldest: 1, changed: make(chan struct{})}
	}
	return l.streams[name]
}

// trim drops the records of s that exceed MaxRecords or Retention. The caller
// holds l.mu.
func (l *Log) trim(s *stream) {
	drop := 0
	if l.MaxRecords > 0 {
		drop = max(0, len(s.records)-l.MaxRecords)
	}
	if l.Retention > 0 {
		limit := time.Now().Add(-l.Retention)
		expired := sort.Search(len(s.records), func(i int) bool { return s.records[i].At.After(limit) })
		drop = max(drop, expired)
	}
	s.records = s.records[drop:]
	s.oldest += platform.Offset(drop)
}
