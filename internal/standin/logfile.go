package standin

import (
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"os"

	"berylswitch.example/berylswitch/internal/platform"
)

// savedRecord is one line of Log.File, in JSON.
type savedRecord struct {
	Stream string
	Record platform.Record
}

// save appends records to the file. The caller holds l.mu.
func (l *Log) save(stream string, records []platform.Record) error {
	if l.File == "" {
		return nil
	}
	if l.file == nil {
		f, err := os.OpenFile(l.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		l.file = f
	}
	for _, r := range records {
		line, err := json.Marshal(savedRecord{stream, r})
		if err != nil {
			return err
		}
		if _, err := l.file.Write(append(line, '\n')); err != nil {
			return err
		}
	}
	return nil
}

// Load restores the records from the file; a missing file means an empty log. A
// last line that was cut short when the process ended is dropped: its append was
// never acknowledged.
func (l *Log) Load() error {
	if l.File == "" {
		return nil
	}
	f, err := os.Open(l.File)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	dec := json.NewDecoder(f)
	for {
		var saved savedRecord
		err := dec.Decode(&saved)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		s := l.stream(saved.Stream)
		s.records = append(s.records, saved.Record)
	}
}
