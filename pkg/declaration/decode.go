package declaration

import (
	"encoding"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Checker is implemented by types that validate themselves after they have been
// decoded from a text. A field that failed to decode has its zero value and has
// already been reported.
type Checker interface {
	Check(r *Reporter)
}

// Reporter collects the problems of one decoded object.
type Reporter struct {
	src    *Source
	path   Path
	value  *hujson.Value
	faulty map[string]bool
}

// Report adds a problem at the named field, or at the object itself if the name
// is empty or the field is not in the text. Only the first problem of a field is
// kept.
func (r *Reporter) Report(field, format string, args ...any) {
	if r.faulty[field] {
		return
	}
	r.faulty[field] = true
	at, path := r.value, r.path
	if field != "" {
		path = path.Member(field)
		if c := child(r.value, Step{Name: field}); c != nil {
			at = c
		}
	}
	r.src.reportAt(at.StartOffset, path.String(), format, args...)
}

// Decode decodes the text into the struct that v points to. Fields are matched by
// their Go names. A field without omitempty or omitzero in its json tag is
// required; one tagged since:"n" is known from rule version n on. All problems
// are reported to s, and the valid parts are stored nevertheless.
func (s *Source) Decode(v any) {
	if s.root.Value == nil {
		return
	}
	d := decoder{src: s}
	d.value(&s.root, reflect.ValueOf(v).Elem(), nil)
}

type decoder struct{ src *Source }

func (d decoder) report(v *hujson.Value, path Path, format string, args ...any) {
	d.src.reportAt(v.StartOffset, path.String(), format, args...)
}

// value decodes v into out and reports whether it found no problem.
func (d decoder) value(v *hujson.Value, out reflect.Value, path Path) bool {
	if u, ok := out.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return d.text(v, u, path)
	}
	switch out.Kind() {
	case reflect.Pointer:
		p := reflect.New(out.Type().Elem())
		out.Set(p)
		return d.value(v, p.Elem(), path)
	case reflect.Struct:
		return d.structure(v, out, path)
	case reflect.Slice:
		return d.slice(v, out, path)
	case reflect.Map:
		return d.dictionary(v, out, path)
	default:
		return d.scalar(v, out, path)
	}
}

func (d decoder) structure(v *hujson.Value, out reflect.Value, path Path) bool {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.report(v, path, "must be an object {...}, is %s", describe(v))
		return false
	}
	r := &Reporter{src: d.src, path: path, value: v, faulty: map[string]bool{}}
	known := fieldsOf(out.Type(), d.src.Rule)
	seen := map[string]bool{}
	good := true
	for i := range obj.Members {
		m := &obj.Members[i]
		name := memberName(m)
		f := known[name]
		switch {
		case seen[name]:
			d.report(&m.Name, path.Member(name), "stands twice in one object; keep one")
		case f == nil:
			d.report(&m.Name, path.Member(name), "%s", unknownField(name, known))
		case f.since > max(d.src.Rule, FirstRule):
			d.report(&m.Name, path.Member(name), "is known from rule %d on; rule %d is in force", f.since, max(d.src.Rule, FirstRule))
		case !d.value(&m.Value, out.Field(f.index), path.Member(name)):
			r.faulty[name] = !composite(&m.Value, out.Field(f.index))
			good = false
		}
		seen[name] = true
	}
	for name, f := range known {
		if f.required && !seen[name] {
			r.Report(name, "is missing; it must be %s", expected(f.typ))
		}
	}
	if c, ok := out.Addr().Interface().(Checker); ok {
		c.Check(r)
	}
	return good && len(r.faulty) == 0
}

// composite reports whether v is an object or array and of the right kind for
// out. Its problem then lies in a part of it, and the rest is worth checking.
func composite(v *hujson.Value, out reflect.Value) bool {
	switch v.Value.(type) {
	case *hujson.Object:
		return out.Kind() == reflect.Struct || out.Kind() == reflect.Map || out.Kind() == reflect.Pointer
	case *hujson.Array:
		return out.Kind() == reflect.Slice
	default:
		return false
	}
}

// fieldInfo describes how a struct field is decoded.
type fieldInfo struct {
	index    int
	typ      reflect.Type
	required bool
	since    int
}

func fieldsOf(t reflect.Type, rule int) map[string]*fieldInfo {
	out := map[string]*fieldInfo{}
	for i := range t.NumField() {
		f := t.Field(i)
		tag := f.Tag.Get("json")
		if !f.IsExported() || tag == "-" {
			continue
		}
		since, _ := strconv.Atoi(f.Tag.Get("since"))
		required := !strings.Contains(tag, "omitempty") && !strings.Contains(tag, "omitzero")
		out[f.Name] = &fieldInfo{index: i, typ: f.Type, required: required, since: since}
	}
	return out
}

func unknownField(name string, known map[string]*fieldInfo) string {
	names := make([]string, 0, len(known))
	for n := range known {
		names = append(names, n)
	}
	if near := nearest(name, names); near != "" {
		return fmt.Sprintf("unknown field; did you mean %q?", near)
	}
	return "unknown field; known are " + joinNames(names)
}

func (d decoder) slice(v *hujson.Value, out reflect.Value, path Path) bool {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.report(v, path, "must be an array [...], is %s", describe(v))
		return false
	}
	good := true
	out.Set(reflect.MakeSlice(out.Type(), len(arr.Elements), len(arr.Elements)))
	for i := range arr.Elements {
		if !d.value(&arr.Elements[i], out.Index(i), append(path[:len(path):len(path)], Step{Index: i})) {
			good = false
		}
	}
	return good
}

func (d decoder) dictionary(v *hujson.Value, out reflect.Value, path Path) bool {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.report(v, path, "must be an object {...}, is %s", describe(v))
		return false
	}
	good := true
	out.Set(reflect.MakeMap(out.Type()))
	for i := range obj.Members {
		m := &obj.Members[i]
		key := reflect.ValueOf(memberName(m))
		if out.MapIndex(key).IsValid() {
			d.report(&m.Name, path.Member(key.String()), "stands twice in one object; keep one")
			good = false
			continue
		}
		elem := reflect.New(out.Type().Elem()).Elem()
		if !d.value(&m.Value, elem, path.Member(key.String())) {
			good = false
		}
		out.SetMapIndex(key, elem)
	}
	return good
}

func (d decoder) scalar(v *hujson.Value, out reflect.Value, path Path) bool {
	lit, _ := v.Value.(hujson.Literal)
	switch {
	case out.Kind() == reflect.String && lit.Kind() == '"':
		out.SetString(lit.String())
		return true
	case out.Kind() == reflect.Bool && (lit.Kind() == 't' || lit.Kind() == 'f'):
		out.SetBool(lit.Bool())
		return true
	case out.CanInt() && lit.Kind() == '0':
		n, err := strconv.ParseInt(string(lit), 10, out.Type().Bits())
		out.SetInt(n)
		if err == nil {
			return true
		}
	case out.CanFloat() && lit.Kind() == '0':
		x, err := strconv.ParseFloat(string(lit), 64)
		if err == nil {
			out.SetFloat(x)
			return true
		}
	}
	out.SetZero()
	d.report(v, path, "must be %s, is %s", expected(out.Type()), describe(v))
	return false
}

func (d decoder) text(v *hujson.Value, u encoding.TextUnmarshaler, path Path) bool {
	lit, _ := v.Value.(hujson.Literal)
	if lit.Kind() == '"' && u.UnmarshalText([]byte(lit.String())) == nil && complete(u) {
		return true
	}
	reflect.ValueOf(u).Elem().SetZero()
	d.report(v, path, "must be %s, is %s", expected(reflect.TypeOf(u).Elem()), describe(v))
	return false
}

// complete reports whether u holds a usable value. It rejects an address that is
// invalid or has port zero.
func complete(u encoding.TextUnmarshaler) bool {
	if ap, ok := u.(*netip.AddrPort); ok {
		return ap.IsValid() && ap.Port() != 0
	}
	return true
}

// expected describes a value of type t for messages.
func expected(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[netip.AddrPort]():
		return `an IP number with port such as "10.0.0.1:8080"`
	case reflect.TypeFor[Duration]():
		return `a duration such as "1.5s"`
	}
	switch t.Kind() {
	case reflect.Pointer:
		return expected(t.Elem())
	case reflect.Struct, reflect.Map:
		return "an object {...}"
	case reflect.Slice:
		return "an array [...]"
	case reflect.String:
		return `a string "..."`
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		panic(fmt.Sprintf("declaration: no description for type %v", t))
	}
}

// maxValueBytes bounds the part of an invalid value that a message quotes.
const maxValueBytes = 40

func describe(v *hujson.Value) string {
	switch c := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		text := string(c)
		if len(text) > maxValueBytes {
			text = strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
		}
		return text
	default:
		panic(fmt.Sprintf("declaration: unexpected value %T", c))
	}
}
