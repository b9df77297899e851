package experiment

import "time"

// Experiment is a load at a site.
type Experiment struct {
	Site *Site
	Load *Load
}

// warmup is the time after the first arrival that isn't measured.
const warmup = 4 * time.Second

// Experiments returns every experiment by its load's name.
func Experiments(seed uint64) []Experiment {
	swing := func(name string, crest float64) Load {
		return Load{Name: name, Seed: seed, Base: crest / 3, Crest: crest, MeasureFrom: warmup, CrestFrom: 10 * time.Second, CrestTo: 20 * time.Second, End: 30 * time.Second, Skew: true}
	}
	crest, crest2, crest3, below := swing("crest", 1.35), swing("crest2", 2), swing("crest3", 3), swing("below", 0.85)
	noLong := below
	noLong.Name, noLong.NoLong = "below-nolong", true
	steady := Load{Name: "unslowed", Seed: seed, Base: 0.2, Crest: 0.6, MeasureFrom: warmup, CrestFrom: 10 * time.Second, CrestTo: 30 * time.Second, End: 36 * time.Second, Skew: true}
	slowed := steady
	slowed.Name = "slowed"
	slowed.Slowdowns = []Slowdown{
		{Target: "engine-04", Factor: 10, From: 12 * time.Second, To: 32 * time.Second},
		{Target: "engine-10", Factor: 10, From: 12 * time.Second, To: 32 * time.Second},
	}
	var out []Experiment
	for _, l := range []Load{crest, crest2, crest3, below, noLong, steady, slowed} {
		for _, s := range []*Site{SharedTable(), Forbund()} {
			if l.Skew {
				s.Skew()
			}
			out = append(out, Experiment{Site: s, Load: &l})
		}
	}
	return out
}
