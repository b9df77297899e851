package main

import (
	"context"
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

// Topics that the platform and its workers write, and the key of the configuration.
const (
	configTopic  = "keyed.op"
	configKey    = "config"
	workersTopic = "keyed.servers"
)

// Store is a stand-in for the platform's store: topics with one partition whose
// records have keys.
type Store struct {
	listener net.Listener

	mu     sync.Mutex
	topics map[string][]storeRecord
	// changed is closed at the next append.
	changed chan struct{}
}

type storeRecord struct {
	key   string
	value []byte
}

// NewStore starts a store on a free port of ip.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, topics: map[string][]storeRecord{}, changed: make(chan struct{})}
	go http.Serve(l, s)
	return s, nil
}

// Addr returns the address of the store.
func (s *Store) Addr() string { return s.listener.Addr().String() }

// Put appends a record. Without a value it deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], storeRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

// PutJSON appends a record with v as its value.
func (s *Store) PutJSON(topic, key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.Put(topic, key, b)
}

// ServeHTTP answers the calls of the system.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/berylswitch/log-newest":
		s.serveNewest(w, q.Get("topic"))
	case "/berylswitch/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		waitMS, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveRead(w, r, q.Get("topic"), from, time.Duration(waitMS)*time.Millisecond)
	case "/berylswitch/log-append":
		s.serveAppend(w, r, q.Get("topic"))
	default:
		http.NotFound(w, r)
	}
}

// serveNewest answers with the newest record of each key.
func (s *Store) serveNewest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	newest := map[string]int{}
	for i, r := range records {
		newest[r.key] = i
	}
	items := []item{}
	for i, r := range records {
		if newest[r.key] == i && len(r.value) > 0 {
			items = append(items, item{r.key, base64.StdEncoding.EncodeToString(r.value), i})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "end": len(records)})
}

// serveRead answers with the records from an offset on, once there are any or the
// wait is over.
func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, topic string, from int, wait time.Duration) {
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(records) || ctx.Err() != nil {
			w.Write(encodeRecords(records, from))
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// encodeRecords encodes the end, the first kept offset and the records from an
// offset on.
func encodeRecords(records []storeRecord, from int) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, r := range records[min(from, len(records)):] {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(r.key)+len(r.value)))
		b = append(b, byte(len(r.key)))
		b = append(b, r.key...)
		b = append(b, r.value...)
	}
	return b
}

// serveAppend appends the records of a call. The first two topics belong to the
// operator and the workers.
func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	if topic == configTopic || topic == workersTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	offset := len(s.topics[topic])
	s.mu.Unlock()
	for len(body) >= 5 {
		n := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+n]
		key := record[1 : 1+int(record[0])]
		s.Put(topic, string(key), record[1+len(key):])
		body = body[4+n:]
	}
	s.mu.Lock()
	end := len(s.topics[topic])
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": end})
}
