package declaration

// View is an index of a valid document for lookups by name. It is immutable.
type View struct {
	Pipelines  map[string]*Pipeline
	Workspaces map[string]*Workspace
	Pools      map[string]*Pool
	Targets    map[string]*Target
}

// NewView indexes d by name. It expects a document without problems. If several
// objects share a name, the last wins, in the order of the sections' names.
func NewView(d *Document) *View {
	v := &View{
		Pipelines:  map[string]*Pipeline{},
		Workspaces: map[string]*Workspace{},
		Pools:      map[string]*Pool{},
		Targets:    map[string]*Target{},
	}
	for _, name := range d.names() {
		s := d.Sections[name]
		v.add(&s)
	}
	return v
}

func (v *View) add(s *Section) {
	for i := range s.Pipelines {
		v.Pipelines[s.Pipelines[i].Name] = &s.Pipelines[i]
	}
	for i := range s.Workspaces {
		v.Workspaces[s.Workspaces[i].Name] = &s.Workspaces[i]
	}
	for i := range s.Pools {
		v.Pools[s.Pools[i].Name] = &s.Pools[i]
	}
	for i := range s.Targets {
		v.Targets[s.Targets[i].Name] = &s.Targets[i]
	}
}

// NonIdempotent reports whether p has a stage that must not be repeated.
func (v *View) NonIdempotent(p *Pipeline) bool {
	for _, s := range p.Stages {
		if pool := v.Pools[s.Pool]; pool != nil && pool.NonIdempotent {
			return true
		}
	}
	return false
}
