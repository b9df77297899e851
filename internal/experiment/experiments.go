package experiment

import "time"

// Experiment is a load run against a site.
type Experiment struct {
	Site *Site
	Load *Load
}

// warmup is the time after the first arrival that is not measured.
const warmup = 4 * time.Second

// Experiments returns every experiment: each load against each site.
func Experiments(seed uint64) []Experiment {
	peakLoad := func(name string, peak float64) Load {
		return Load{Name: name, Seed: seed, BaseRate: peak / 3, PeakRate: peak, MeasureFrom: warmup, PeakFrom: 10 * time.Second, PeakTo: 20 * time.Second, End: 30 * time.Second, Skew: true}
	}
	peak, peak2, peak3, below := peakLoad("crest", 1.35), peakLoad("crest2", 2), peakLoad("crest3", 3), peakLoad("below", 0.85)
	noLong := below
	noLong.Name, noLong.NoLong = "below-nolong", true
	unslowed := Load{Name: "unslowed", Seed: seed, BaseRate: 0.2, PeakRate: 0.6, MeasureFrom: warmup, PeakFrom: 10 * time.Second, PeakTo: 30 * time.Second, End: 36 * time.Second, Skew: true}
	slowed := unslowed
	slowed.Name = "slowed"
	slowed.Slowdowns = []Slowdown{
		{Target: "engine-04", Factor: 10, From: 12 * time.Second, To: 32 * time.Second},
		{Target: "engine-10", Factor: 10, From: 12 * time.Second, To: 32 * time.Second},
	}
	var out []Experiment
	for _, l := range append([]Load{peak, peak2, peak3, below, noLong, unslowed, slowed}, faultLoads(peak)...) {
		for _, s := range []*Site{SharedTable(), Forbund()} {
			if l.Skew {
				s.Skew()
			}
			out = append(out, Experiment{Site: s, Load: &l})
		}
	}
	return out
}

// faultLoads returns variants of the peak load with faults of hosts or links, a
// flooding workspace, slowed targets and retries, or hidden long jobs.
func faultLoads(peak Load) []Load {
	with := func(name string, change func(*Load)) Load {
		l := peak
		l.Name = name
		change(&l)
		return l
	}
	return []Load{
		with("holder-killed", func(l *Load) {
			l.Events = []Event{{At: 14 * time.Second, Kind: KillHost, Pool: "engine"}}
		}),
		with("holder-frozen", func(l *Load) {
			l.Events = []Event{{At: 13 * time.Second, Kind: FreezeHost, Pool: "engine"}, {At: 16 * time.Second, Kind: ThawHost, Pool: "engine"}}
		}),
		with("host-cut", func(l *Load) {
			l.Events = []Event{{At: 13 * time.Second, Kind: CutHost, Host: "host-1"}, {At: 18 * time.Second, Kind: HealHost, Host: "host-1"}}
		}),
		with("hosts-parted", func(l *Load) {
			l.Events = []Event{{At: 12 * time.Second, Kind: PartitionHosts}, {At: 20 * time.Second, Kind: HealPartition}}
		}),
		with("flood", func(l *Load) {
			l.PeakRate, l.BaseRate, l.Skew = 0.6, 0.4, false
			l.FloodWorkspace, l.FloodFactor = "last", 20
		}),
		with("metastable", func(l *Load) {
			l.PeakRate, l.BaseRate, l.MaxRetries, l.End = 3, 0.5, 20, 40*time.Second
			l.Slowdowns = []Slowdown{
				{Target: "engine-04", Factor: 10, From: 10 * time.Second, To: 20 * time.Second},
				{Target: "engine-10", Factor: 10, From: 10 * time.Second, To: 20 * time.Second},
			}
		}),
		with("misjudged", func(l *Load) {
			l.PeakRate, l.BaseRate, l.HiddenLongShare = 0.85, 0.85/3, 0.5
		}),
	}
}
