package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is the platform's store: topics of one partition whose records have keys. It keeps
// all records for as long as a case runs.
type store struct {
	addr   string
	server *http.Server

	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
}

// storeRecord is one record as it was appended.
type storeRecord struct {
	raw        []byte
	key, value []byte
}

func newStore(l net.Listener) *store {
	s := &store{addr: l.Addr().String(), topics: map[string][]storeRecord{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /berylswitch/log-append", s.handleAppend)
	mux.HandleFunc("GET /berylswitch/log-read", s.handleRead)
	mux.HandleFunc("GET /berylswitch/log-newest", s.handleNewest)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s
}

// put appends a record with a key, as the operator and the workers do; no value removes the
// key.
func (s *store) put(topic, key string, value any) error {
	raw := append([]byte{byte(len(key))}, key...)
	if value != nil {
		encoded, err := json.Marshal(value)
		if err != nil {
			return err
		}
		raw = append(raw, encoded...)
	}
	s.add(topic, raw)
	return nil
}

// add appends raw records and returns the offset of the first one and the end.
func (s *store) add(topic string, records ...[]byte) (offset, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset = len(s.topics[topic])
	for _, raw := range records {
		r := storeRecord{raw: raw}
		if len(raw) > int(raw[0]) {
			r.key, r.value = raw[1:1+int(raw[0])], raw[1+int(raw[0]):]
		}
		s.topics[topic] = append(s.topics[topic], r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(s.topics[topic])
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 {
			http.Error(w, "bad record", http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	offset, end := s.add(r.URL.Query().Get("topic"), records...)
	writeJSON(w, map[string]int{"offset": offset, "end": end})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil {
		http.Error(w, "bad offset", http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("waitMs"))
	if err != nil {
		wait = 0
	}
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		left := time.Until(until)
		if len(records) > from || left <= 0 {
			writeRecords(w, records, from)
			return
		}
		expired := make(chan struct{})
		timer := time.AfterFunc(left, func() { close(expired) })
		select {
		case <-changed:
		case <-expired:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// writeRecords writes the end, the first offset and the records from an offset on.
func writeRecords(w io.Writer, records []storeRecord, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r.raw)))
		out = append(out, r.raw...)
	}
	w.Write(out)
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	newest := map[string]item{}
	for i, rec := range records {
		if len(rec.value) == 0 {
			delete(newest, string(rec.key))
			continue
		}
		newest[string(rec.key)] = item{string(rec.key), base64.StdEncoding.EncodeToString(rec.value), i}
	}
	items := []item{}
	for _, it := range newest {
		items = append(items, it)
	}
	sort.Slice(items, func(i, k int) bool { return items[i].Key < items[k].Key })
	writeJSON(w, map[string]any{"items": items, "truncated": false, "end": len(records)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
