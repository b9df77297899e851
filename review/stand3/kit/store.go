package kit

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store, with keyed topics of one partition.
type Store struct {
	Addr string

	mu     sync.Mutex
	topics map[string][]storeRecord
	era    int
	// changed is closed at the next change.
	changed chan struct{}
	server  *http.Server
	// up is false while the store is away.
	up bool
	// life counts how often the store fell silent. What was asked in an earlier life gets no
	// answer any more.
	life int
}

type storeRecord struct {
	key   string
	value string // empty for a removal
}

// StoreCopy is a copy of all topics.
type StoreCopy map[string][]storeRecord

// NewStore starts a store.
func NewStore(r *Run) *Store {
	s := &Store{Addr: FreeAddr(r), topics: map[string][]storeRecord{}, era: 1, changed: make(chan struct{})}
	s.Start(r)
	r.Cleanup(s.Stop)
	return s
}

// Start makes the store accept connections.
func (s *Store) Start(r *Run) {
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		r.Cannot("store: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server, s.up = &http.Server{Handler: s}, true
	go s.server.Serve(l)
}

// Stop closes all connections and accepts no more.
func (s *Store) Stop() {
	s.mu.Lock()
	server := s.server
	s.up = false
	s.mu.Unlock()
	server.Close()
}

// Silence makes the store give no answer, as if its machine had lost its power. Connections
// stay open and silent.
func (s *Store) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = false
	s.life++
}

// Return ends a silence. Connections on which an answer was lost stay silent.
func (s *Store) Return() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = true
}

// lives reports whether a call of the given life may still be answered.
func (s *Store) lives(life int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up && s.life == life
}

// Copy returns a copy of what the store holds.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := StoreCopy{}
	for name, records := range s.topics {
		c[name] = append([]storeRecord(nil), records...)
	}
	return c
}

// Restore replaces what the store holds by a copy, and raises its era.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = map[string][]storeRecord{}
	for name, records := range c {
		s.topics[name] = append([]storeRecord(nil), records...)
	}
	s.era++
	s.wake()
}

// wake wakes waiting reads; s.mu is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put appends a record, unless the store is away. An empty value removes the key. It
// returns the offset of the record.
func (s *Store) Put(topic, key, value string) (offset int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return 0, false
	}
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	s.wake()
	return len(s.topics[topic]) - 1, true
}

// Newest returns the newest value of a key and its offset, or -1 if there is none.
func (s *Store) Newest(topic, key string) (value string, offset int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[topic]
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].key == key {
			return records[i].value, i
		}
	}
	return "", -1
}

// ServeHTTP serves the calls of the system.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	up, life := s.up, s.life
	s.mu.Unlock()
	if !up {
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/berylswitch/log-newest":
		s.serveNewest(w, q.Get("topic"), q.Get("after"))
	case "/berylswitch/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveRead(w, r, life, q.Get("topic"), from, time.Duration(wait)*time.Millisecond)
	case "/berylswitch/log-append":
		s.serveAppend(w, r, q.Get("topic"))
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[topic]
	last := map[string]int{}
	for i, r := range records {
		last[r.key] = i
	}
	items := []item{}
	for i, r := range records {
		if last[r.key] == i && r.value != "" && after == "" {
			items = append(items, item{r.key, base64.StdEncoding.EncodeToString([]byte(r.value)), i})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "end": len(records)})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, life int, topic string, from int, wait time.Duration) {
	until := time.Now().Add(wait)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		switch {
		case !s.lives(life):
			<-r.Context().Done()
			return
		case from < 0 || from > len(records):
			// A read from an offset that the store doesn't have.
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusGone)
			io.WriteString(w, `{"first":0}`)
			return
		case from < len(records) || !time.Now().Before(until):
			w.Write(encodeRecords(records, from))
			return
		}
		woken := make(chan struct{})
		timer := time.AfterFunc(time.Until(until), func() { close(woken) })
		select {
		case <-changed:
		case <-woken:
		case <-r.Context().Done():
		}
		timer.Stop()
		if r.Context().Err() != nil {
			return
		}
	}
}

func encodeRecords(records []storeRecord, from int) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, r := range records[from:] {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(r.key)+len(r.value)))
		b = append(b, byte(len(r.key)))
		b = append(b, r.key+r.value...)
	}
	return b
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	const lengthBytes = 4
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < lengthBytes+1 || len(body) < lengthBytes+1+int(body[lengthBytes]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	record := body[lengthBytes:]
	n := 1 + int(record[0])
	offset, ok := s.Put(topic, string(record[1:n]), string(record[n:]))
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": offset + 1})
}
