package declaration

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// Problem is one fault in a document or a settings file. Line and Column count
// from one; columns count characters, not bytes.
type Problem struct {
	File   string
	Line   int
	Column int
	// Path is the path of the invalid value, such as "Targets[3].Addr".
	Path string
	// Message describes the fault and what would be valid.
	Message string
}

// String formats p as file:line:column: path: message.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Path, p.Message)
}

// Problems is an error that holds all faults found.
type Problems []Problem

// Error lists the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// sorted orders ps by file, line and column.
func (ps Problems) sorted() Problems {
	sort.SliceStable(ps, func(i, j int) bool {
		a, b := ps[i], ps[j]
		switch {
		case a.File != b.File:
			return a.File < b.File
		case a.Line != b.Line:
			return a.Line < b.Line
		case a.Column != b.Column:
			return a.Column < b.Column
		default:
			return a.Path < b.Path
		}
	})
	return ps
}

// Limits of a text and of its problems.
const (
	// MaxTextBytes bounds the size of the text of one file or section.
	MaxTextBytes = 2 << 20
	// maxNesting bounds the nesting depth of objects and arrays.
	maxNesting = 16
	// maxProblems bounds the problems that are kept per text.
	maxProblems = 200
)

// Source is a parsed text of JSON with comments that keeps the positions of its
// values. It collects the problems found in it.
type Source struct {
	File string
	// Rule is the rule version whose fields are known; zero means the first.
	Rule int

	text     []byte
	root     hujson.Value
	lines    []int // offset of the first byte of each line
	problems Problems
}

// ReadSource reads and parses a file. The error means that the file can't be
// read or is larger than MaxTextBytes; faults of the text are in the problems of
// the Source.
func ReadSource(file string) (*Source, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	// The name may mean another file if it is opened again, and the size of a pipe or of a
	// file that grows is not known beforehand.
	text, err := io.ReadAll(io.LimitReader(f, MaxTextBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > MaxTextBytes {
		return nil, fmt.Errorf("%s: larger than the limit of %d bytes", file, MaxTextBytes)
	}
	return ParseSource(file, text), nil
}

// ParseSource parses text. File is used only in messages.
func ParseSource(file string, text []byte) *Source {
	s := &Source{File: file, text: text, lines: []int{0}}
	for i, b := range text {
		if b == '\n' {
			s.lines = append(s.lines, i+1)
		}
	}
	if at, fault := s.checkBounds(); fault != "" {
		s.reportAt(at, "", "%s", fault)
		return s
	}
	// The parser requires a newline after a line comment, so append one.
	root, err := hujson.Parse(append(text[:len(text):len(text)], '\n'))
	if err != nil {
		s.reportSyntax(err)
		return s
	}
	s.root = root
	return s
}

// Problems returns the problems found so far, in the order of the text.
func (s *Source) Problems() Problems { return s.problems.sorted() }

// Valid reports whether no problem has been found so far.
func (s *Source) Valid() bool { return len(s.problems) == 0 }

// checkBounds rejects a text that is too large or nested too deeply for the
// recursive parser, or is not UTF-8. It returns the offset and the fault.
func (s *Source) checkBounds() (int, string) {
	if len(s.text) > MaxTextBytes {
		return 0, fmt.Sprintf("the text has %d bytes, the limit is %d", len(s.text), MaxTextBytes)
	}
	if !utf8.Valid(s.text) {
		return 0, "the text must be UTF-8"
	}
	depth := 0
	for i := 0; i < len(s.text); i++ {
		switch s.text[i] {
		case '"', '/':
			i = skipToken(s.text, i)
		case '{', '[':
			depth++
			if depth > maxNesting {
				return i, fmt.Sprintf("objects and arrays are nested deeper than %d", maxNesting)
			}
		case '}', ']':
			depth--
		}
	}
	return 0, ""
}

// skipToken returns the offset of the last byte of the string or comment that
// starts at i.
func skipToken(text []byte, i int) int {
	rest := string(text[i:min(i+2, len(text))])
	switch {
	case rest == "//":
		return skipPast(text, i, "\n")
	case rest == "/*":
		return skipPast(text, i+2, "*/")
	case text[i] != '"':
		return i
	}
	for j := i + 1; j < len(text); j++ {
		switch text[j] {
		case '\\':
			j++
		case '"':
			return j
		}
	}
	return len(text)
}

func skipPast(text []byte, i int, end string) int {
	if i > len(text) {
		return len(text)
	}
	n := bytes.Index(text[i:], []byte(end))
	if n < 0 {
		return len(text)
	}
	return i + n + len(end) - 1
}

// position converts a byte offset to a line and column.
func (s *Source) position(offset int) (line, column int) {
	offset = min(offset, len(s.text))
	line = sort.SearchInts(s.lines, offset+1)
	start := s.lines[line-1]
	return line, 1 + utf8.RuneCount(s.text[start:offset])
}

func (s *Source) reportAt(offset int, path, format string, args ...any) {
	if len(s.problems) >= maxProblems {
		return
	}
	line, column := s.position(offset)
	s.problems = append(s.problems, Problem{File: s.File, Line: line, Column: column, Path: path, Message: fmt.Sprintf(format, args...)})
}

// maxSyntaxMessage bounds the bytes that are kept of the parser's message.
const maxSyntaxMessage = 160

// reportSyntax adds the parser's message as a problem. It converts the position
// in the message, whose column counts bytes, to that of the problem.
func (s *Source) reportSyntax(err error) {
	var line, column int
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &line, &column); n != 2 {
		line, column = 1, 1
	}
	if _, rest, ok := strings.Cut(text, ": "); ok {
		text = rest
	}
	if len(text) > maxSyntaxMessage {
		text = strings.ToValidUTF8(text[:maxSyntaxMessage], "") + "..."
	}
	at := len(s.text)
	if line <= len(s.lines) {
		at = s.lines[line-1] + column - 1
	}
	s.reportAt(at, "", "not JSON with comments: %s", text)
}

// Path is the path from the root of a text to a value.
type Path []Step

// Step is a member name or, if Name is empty, an array index.
type Step struct {
	Name  string
	Index int
}

// At returns the path of element i of the array in member name of p's value.
func (p Path) At(name string, i int) Path {
	return append(p[:len(p):len(p)], Step{Name: name}, Step{Index: i})
}

// Member returns the path of the member name of p's value.
func (p Path) Member(name string) Path {
	return append(p[:len(p):len(p)], Step{Name: name})
}

// String formats p, for example as "Pipelines[0].Stages[1].Pool".
func (p Path) String() string {
	var b strings.Builder
	for i, s := range p {
		switch {
		case s.Name == "":
			fmt.Fprintf(&b, "[%d]", s.Index)
		case i > 0:
			b.WriteString("." + s.Name)
		default:
			b.WriteString(s.Name)
		}
	}
	return b.String()
}

// Report adds a problem at the value at path, or at the nearest enclosing value
// that is in the text.
func (s *Source) Report(path Path, format string, args ...any) {
	s.reportAt(s.locate(path), path.String(), format, args...)
}

func (s *Source) locate(path Path) int {
	v := &s.root
	for _, step := range path {
		next := child(v, step)
		if next == nil {
			break
		}
		v = next
	}
	return v.StartOffset
}

func child(v *hujson.Value, step Step) *hujson.Value {
	switch c := v.Value.(type) {
	case *hujson.Object:
		for i := range c.Members {
			if step.Name != "" && memberName(&c.Members[i]) == step.Name {
				return &c.Members[i].Value
			}
		}
	case *hujson.Array:
		if step.Name == "" && step.Index < len(c.Elements) {
			return &c.Elements[step.Index]
		}
	}
	return nil
}

func memberName(m *hujson.ObjectMember) string {
	lit, _ := m.Name.Value.(hujson.Literal)
	return lit.String()
}
