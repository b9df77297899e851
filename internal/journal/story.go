package journal

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// contextBefore is how long before a request's first line the state of its
// targets and hosts is told.
const contextBefore = 10 * time.Second

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Line is one line of a process's log.
type Line struct {
	At      time.Time
	Level   string
	Message string
	Host    string
	// Fields are all other fields.
	Fields map[string]any
}

// Story is what logs tell of one request.
type Timeline struct {
	RequestID string
	// Lines are those of the request itself, in the order of time.
	Lines []Line
	// Context are lines on the targets and hosts that took part, from a while
	// before the first line on.
	Context []Line
}

// ReadLines reads the log lines of r. Text before the first brace of a line is
// left out, as collectors put it there; what is no log line is counted.
func ReadLines(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		l, ok := parseLine(s.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, s.Err()
}

func parseLine(b []byte) (Line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	d := json.NewDecoder(bytes.NewReader(b[i:]))
	d.UseNumber() // times in milliseconds would lose digits
	if d.Decode(&fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields}
	l.Level = popString(fields, "level")
	l.Message = popString(fields, "msg")
	l.Host = popString(fields, "Host")
	at, err := time.Parse(time.RFC3339Nano, popString(fields, "ts"))
	l.At = at
	return l, err == nil && l.Message != ""
}

// take removes a text field and returns it.
func popString(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	delete(fields, name)
	return s
}

// Tell returns the story of the request id.
func NewTimeline(id string, lines []Line) *Timeline {
	s := &Timeline{RequestID: id}
	parties := map[string]bool{}
	for _, l := range lines {
		if !l.isOfRequest(id) {
			continue
		}
		s.Lines = append(s.Lines, l)
		parties[l.Host] = true
		for _, name := range []string{"Target", "Holder"} {
			if party, ok := l.Fields[name].(string); ok && party != "" {
				parties[party] = true
			}
		}
	}
	sortLines(s.Lines)
	if len(s.Lines) == 0 {
		return s
	}
	from, to := s.Lines[0].At.Add(-contextBefore), s.Lines[len(s.Lines)-1].At
	for _, l := range lines {
		if _, of := l.Fields["RequestID"]; !of && !l.At.Before(from) && !l.At.After(to) && l.concerns(parties) {
			s.Context = append(s.Context, l)
		}
	}
	sortLines(s.Context)
	return s
}

// names reports whether l is of the request id.
func (l *Line) isOfRequest(id string) bool {
	return l.Fields["RequestID"] == id || l.Fields["FirstRequestID"] == id
}

// concerns reports whether l is on one of the parties: a target of the request,
// or what a host that served it believes.
func (l *Line) concerns(parties map[string]bool) bool {
	if target, ok := l.Fields["Target"].(string); ok {
		return parties[target]
	}
	return parties[l.Host]
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].At.Before(lines[k].At) })
}

// WriteText writes the story for people.
func (s *Timeline) WriteText(w io.Writer) error {
	if len(s.Lines) == 0 {
		_, err := fmt.Fprintf(w, "no line of request %s\n", s.RequestID)
		return err
	}
	start := s.Lines[0].At
	var b strings.Builder
	fmt.Fprintf(&b, "request %s, from %s\n", s.RequestID, start.Format(time.RFC3339Nano))
	for _, l := range s.Lines {
		l.write(&b, start)
	}
	if len(s.Context) > 0 {
		fmt.Fprintf(&b, "meanwhile, and in the %v before\n", contextBefore)
		for _, l := range s.Context {
			l.write(&b, start)
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// WriteJSON writes the story for programs.
func (s *Timeline) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(s)
}

// write appends l with its time after start.
func (l *Line) write(b *strings.Builder, start time.Time) {
	fmt.Fprintf(b, "%+12.3fms  %-16s %s", float64(l.At.Sub(start))/float64(time.Millisecond), l.Host, l.Message)
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "RequestID" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(b, " %s=%v", name, l.Fields[name])
	}
	b.WriteByte('\n')
}
