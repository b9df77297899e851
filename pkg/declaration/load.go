package declaration

import (
	"path/filepath"
	"sort"
	"strings"
)

// ParseSection decodes the text of one section under a rule version. File is the
// file name in the problems.
func ParseSection(file string, text []byte, rule int) (*Section, Problems) {
	src := ParseSource(file, text)
	src.Rule = rule
	s := &Section{}
	src.Decode(s)
	return s, src.Problems()
}

// SectionText is the text of one section and its position in a source.
type SectionText struct {
	Name string
	Text Text

	source *Source
	prefix Path // of the section in the source
}

// Files is a document read from files.
type Files struct {
	Document *Document
	// SectionTexts holds the text of each section by name.
	SectionTexts map[string]SectionText

	sources []*Source
}

// ReadFiles reads files that each hold either a whole document, with the member
// Sections, or one section, which is then named after the file. It decodes them
// under a rule version and returns all problems of the files and of the document
// that they form together. The error means that a file can't be read.
func ReadFiles(rule int, names ...string) (*Files, Problems, error) {
	f := &Files{Document: &Document{Sections: map[string]Section{}}, SectionTexts: map[string]SectionText{}}
	for _, name := range names {
		src, err := ReadSource(name)
		if err != nil {
			return nil, nil, err
		}
		src.Rule = rule
		f.add(src)
	}
	f.Document.Check(f.report)
	return f, f.problems(), nil
}

func (f *Files) add(src *Source) {
	f.sources = append(f.sources, src)
	if src.root.Value == nil {
		return
	}
	sections := child(&src.root, Step{Name: "Sections"})
	if sections == nil {
		var s Section
		src.Decode(&s)
		name := filepath.Base(src.File)
		f.addSection(SectionText{Name: strings.TrimSuffix(name, filepath.Ext(name)), Text: src.text, source: src}, s)
		return
	}
	var d Document
	src.Decode(&d)
	for _, name := range d.names() {
		path := Path(nil).Member("Sections").Member(name)
		v := child(sections, Step{Name: name})
		f.addSection(SectionText{Name: name, Text: src.text[v.StartOffset:v.EndOffset], source: src, prefix: path}, d.Sections[name])
	}
}

func (f *Files) addSection(p SectionText, s Section) {
	if first, ok := f.SectionTexts[p.Name]; ok {
		p.source.Report(p.prefix, "section %q is also in %s", p.Name, first.source.File)
		return
	}
	f.SectionTexts[p.Name] = p
	f.Document.Sections[p.Name] = s
}

// report adds a problem of the whole document to the source of its section,
// unless the source already has a problem at that path.
func (f *Files) report(section string, path Path, format string, args ...any) {
	p, ok := f.SectionTexts[section]
	if !ok {
		p.source = f.sources[0]
	}
	full := append(p.prefix[:len(p.prefix):len(p.prefix)], path...)
	for _, known := range p.source.problems {
		if known.Path == full.String() {
			return
		}
	}
	p.source.Report(full, format, args...)
}

func (f *Files) problems() Problems {
	var out Problems
	for _, s := range f.sources {
		out = append(out, s.problems...)
	}
	return out.sorted()
}

// Names returns the sorted names of the sections.
func (f *Files) Names() []string {
	out := make([]string, 0, len(f.SectionTexts))
	for name := range f.SectionTexts {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// ReadSection reads the text of one section from a file of a form that ReadFiles
// accepts. The problems are those of the file alone, since the section may refer
// to objects declared elsewhere.
func ReadSection(rule int, file, section string) (SectionText, Problems, error) {
	src, err := ReadSource(file)
	if err != nil {
		return SectionText{}, nil, err
	}
	src.Rule = rule
	f := &Files{Document: &Document{Sections: map[string]Section{}}, SectionTexts: map[string]SectionText{}}
	f.add(src)
	if child(&src.root, Step{Name: "Sections"}) == nil {
		return SectionText{Name: section, Text: src.text, source: src}, src.Problems(), nil
	}
	p, ok := f.SectionTexts[section]
	if !ok {
		src.Report(Path(nil).Member("Sections"), "no section %q; there are %s", section, joinNames(f.Names()))
	}
	return p, src.Problems(), nil
}
