package section

import (
	"encoding/json"
	"fmt"
	"strings"

	"berylswitch.example/berylswitch/internal/platform"
	"berylswitch.example/berylswitch/pkg/declaration"
)

// variant is a section text whose validity the oracle knows without parsing it.
type variant struct {
	declares  []string // pools
	refersTo  string   // the pool that a target refers to
	region    bool     // uses a field that rule 2 introduced
	malformed bool     // is not a valid section
	removed   bool
}

var variants = []variant{
	{declares: []string{"P1"}},
	{declares: []string{"P2"}},
	{declares: []string{"P1", "P2"}},
	{refersTo: "P1"},
	{declares: []string{"P3"}, refersTo: "P2"},
	{declares: []string{"P4"}, refersTo: "P4", region: true},
	{malformed: true},
	{removed: true},
}

// text returns the text of v for a section.
func (v *variant) text(section string) string {
	var b strings.Builder
	b.WriteString("{")
	for i, p := range v.declares {
		if i == 0 {
			b.WriteString(`"Pools": [`)
		}
		fmt.Fprintf(&b, `{"Name": %q},`, p)
	}
	if len(v.declares) > 0 {
		b.WriteString("],")
	}
	if v.refersTo != "" {
		region := ""
		if v.region {
			region = `, "Region": "North"`
		}
		fmt.Fprintf(&b, `"Targets": [{"Name": "t-%s", "Pool": %q, "Addr": "10.0.0.1:80", "Domain": "A", "Slots": 1%s}]`, section, v.refersTo, region)
	}
	if v.malformed {
		b.WriteString(`"Pool": `)
	}
	return b.String() + "}"
}

// oracle judges the records of the stream independently of the fold, by the
// rules as operators know them.
type oracle struct {
	variants map[string]int // by change ID
	rule     int
	inForce  map[string]string // change ID by section
	revision map[string]int64
	verdicts map[string]declaration.VerdictKind
}

func newOracle(variants map[string]int) *oracle {
	return &oracle{variants: variants, rule: 1, inForce: map[string]string{}, revision: map[string]int64{}, verdicts: map[string]declaration.VerdictKind{}}
}

func (o *oracle) apply(r *platform.Record) {
	switch r.Kind {
	case RuleKind:
		o.rule = 2 // the only rule version that the steps publish
	case ChangeKind:
		if o.verdicts[r.ID] == "" {
			o.verdicts[r.ID] = o.judge(r)
		}
	}
}

func (o *oracle) judge(r *platform.Record) declaration.VerdictKind {
	var c declaration.Change
	if err := json.Unmarshal(r.Data, &c); err != nil {
		panic(err)
	}
	if c.Base != o.revision[c.Section] {
		return declaration.Overtaken
	}
	v := variants[o.variants[r.ID]]
	if v.malformed || (v.region && o.rule < 2) || (v.removed && o.inForce[c.Section] == "") {
		return declaration.Invalid
	}
	before, existed := o.inForce[c.Section]
	o.inForce[c.Section] = r.ID
	if v.removed {
		delete(o.inForce, c.Section)
	}
	if !o.consistent() {
		delete(o.inForce, c.Section)
		if existed {
			o.inForce[c.Section] = before
		}
		return declaration.Invalid
	}
	o.revision[c.Section] = int64(r.Offset)
	return declaration.Accepted
}

// consistent reports whether the sections in force are valid together.
func (o *oracle) consistent() bool {
	declared := map[string]bool{}
	for _, id := range o.inForce {
		for _, p := range variants[o.variants[id]].declares {
			if declared[p] {
				return false
			}
			declared[p] = true
		}
	}
	for _, id := range o.inForce {
		if p := variants[o.variants[id]].refersTo; p != "" && !declared[p] {
			return false
		}
	}
	return true
}
