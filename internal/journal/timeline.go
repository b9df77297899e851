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

// contextBefore is the time before a request's first line from which on lines
// about its targets and hosts are included.
const contextBefore = 10 * time.Second

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one line of a process's log.
type Line struct {
	At      time.Time
	Level   string
	Message string
	Host    string
	// Fields holds all other fields.
	Fields map[string]any
}

// Timeline holds the log lines that concern one request.
type Timeline struct {
	RequestID string
	// Lines are the lines of the request itself, sorted by time.
	Lines []Line
	// Context holds lines about the targets and hosts that took part, from
	// contextBefore the first line to the last line, sorted by time.
	Context []Line
	// Missing describes logs that the lines point at but that were not among those
	// given.
	Missing []string

	searched coverage
}

// ReadLines reads the log lines of r. Text before the first brace of a line is
// ignored, because log collectors add prefixes. Lines that are not log lines are
// skipped and counted.
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
	d.UseNumber() // float64 would lose digits of times in milliseconds
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

// popString removes a field and returns its value if it is a string.
func popString(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	delete(fields, name)
	return s
}

// NewTimeline returns the timeline of the request id.
func NewTimeline(id string, lines []Line) *Timeline {
	t := &Timeline{RequestID: id, searched: newCoverage(lines)}
	parties := map[string]bool{}
	for _, l := range lines {
		if !l.isOfRequest(id) {
			continue
		}
		t.Lines = append(t.Lines, l)
		parties[l.Host] = true
		for _, name := range []string{"Target", "Holder"} {
			if party, ok := l.Fields[name].(string); ok && party != "" {
				parties[party] = true
			}
		}
	}
	sortLines(t.Lines)
	if len(t.Lines) == 0 {
		return t
	}
	t.Missing = missingLogs(t.Lines, lines)
	from, to := t.Lines[0].At.Add(-contextBefore), t.Lines[len(t.Lines)-1].At
	for _, l := range lines {
		if _, of := l.Fields["RequestID"]; !of && !l.At.Before(from) && !l.At.After(to) && l.concerns(parties) {
			t.Context = append(t.Context, l)
		}
	}
	sortLines(t.Context)
	return t
}

// isOfRequest reports whether l belongs to the request id, or to a stage call
// whose first piece is of that request.
func (l *Line) isOfRequest(id string) bool {
	return l.Fields["RequestID"] == id || l.Fields["FirstRequestID"] == id
}

// concerns reports whether l is about one of the parties: about a target of the
// request or, if the line names no target, logged by a host that took part.
func (l *Line) concerns(parties map[string]bool) bool {
	if target, ok := l.Fields["Target"].(string); ok {
		return parties[target]
	}
	return parties[l.Host]
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].At.Before(lines[k].At) })
}

// Unknown returns an error that says where the request was looked for if no line
// belongs to it.
func (t *Timeline) Unknown() error {
	if len(t.Lines) > 0 {
		return nil
	}
	return fmt.Errorf("request %s is unknown in %v; another host may have served it", t.RequestID, t.searched)
}

// WriteText writes the timeline as text, with times relative to the first line.
func (t *Timeline) WriteText(w io.Writer) error {
	if err := t.Unknown(); err != nil {
		_, err := fmt.Fprintln(w, err)
		return err
	}
	start := t.Lines[0].At
	var b strings.Builder
	fmt.Fprintf(&b, "request %s, from %s\n", t.RequestID, start.Format(time.RFC3339Nano))
	for _, l := range t.Lines {
		l.write(&b, start)
	}
	if len(t.Context) > 0 {
		fmt.Fprintf(&b, "meanwhile, and in the %v before\n", contextBefore)
		for _, l := range t.Context {
			l.write(&b, start)
		}
	}
	for _, m := range t.Missing {
		fmt.Fprintf(&b, "not in these logs: %s\n", m)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// WriteJSON writes the timeline as indented JSON.
func (t *Timeline) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(t)
}

// write appends l to b, with its time relative to start.
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
