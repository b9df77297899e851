package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// learnMany learns 400 outputs around median tokens, with a spread of a factor of 1.4, and
// hints as hint returns them.
func learnMany(p *outputPredictor, w Work, median float64, hint func(rng *rand.Rand, output float64) float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		output := median * math.Exp(0.34*rng.NormFloat64())
		w.LengthHint = int(hint(rng, output))
		p.learn(p.predict(&w), output)
	}
}

// TestHints compares the median and the prediction error with a hint of 300 tokens after
// outputs of about 100, by the quality of the hints so far. It guards against hints that
// keep their weight though they are noise, and against ones that lose it though they are
// right.
func TestHints(t *testing.T) {
	for _, c := range []struct {
		name                 string
		hint                 func(rng *rand.Rand, output float64) float64
		leastMedian, most    float64
		leastSigma, mostSigm float64
	}{
		{"exact", func(_ *rand.Rand, output float64) float64 { return output }, 250, 310, 0.05, 0.12},
		{"three times the output", func(_ *rand.Rand, output float64) float64 { return 3 * output }, 85, 115, 0.05, 0.12},
		{"right at the median, often far off", func(rng *rand.Rand, output float64) float64 { return output * math.Exp(rng.NormFloat64()) }, 90, 150, 0.25, 0.4},
		{"noise", func(rng *rand.Rand, _ float64) float64 { return math.Exp(10 * rng.Float64()) }, 85, 115, 0.25, 0.4},
		{"none", func(*rand.Rand, float64) float64 { return 0 }, 85, 200, 0.2, 0.4},
	} {
		p, w := newOutputPredictor(), Work{Route: "r", Workspace: "w"}
		learnMany(p, w, 100, c.hint)
		w.LengthHint = 300
		e := p.predict(&w)
		if e.median < c.leastMedian || e.median > c.most {
			t.Errorf("%s: median %.0f, want %.0f to %.0f", c.name, e.median, c.leastMedian, c.most)
		}
		if e.sigma < c.leastSigma || e.sigma > c.mostSigm {
			t.Errorf("%s: prediction error %.2f, want %.2f to %.2f", c.name, e.sigma, c.leastSigma, c.mostSigm)
		}
	}
}

// TestAbsurdHints expects hints that are far from all that their class produces, or over
// the caller's own maximum, to predict what no hint does.
func TestAbsurdHints(t *testing.T) {
	p, w := newOutputPredictor(), Work{Route: "r", Workspace: "w"}
	learnMany(p, w, 100, func(_ *rand.Rand, output float64) float64 { return output })
	without := p.predict(&w)
	for _, c := range []struct{ hint, limit int }{{-1, 0}, {0, 0}, {1, 0}, {1 << 20, 0}, {math.MaxInt, 0}, {600, 500}} {
		w.LengthHint, w.MaxOutput = c.hint, c.limit
		got := p.predict(&w)
		if diff := cmp.Diff([]float64{without.median, without.sigma}, []float64{got.median, got.sigma}, cmpopts.EquateApprox(1e-9, 0)); diff != "" {
			t.Errorf("hint %d, maximum %d (-want +got):\n%s", c.hint, c.limit, diff)
		}
	}
}

// TestClasses expects a new workspace to get the prediction of its route, a new route that
// of all, and the classes to stay bounded however many names there are.
func TestClasses(t *testing.T) {
	noHint := func(*rand.Rand, float64) float64 { return 0 }
	p := newOutputPredictor()
	learnMany(p, Work{Route: "short", Workspace: "w"}, 20, noHint)
	learnMany(p, Work{Route: "long", Workspace: "w"}, 500, noHint)
	for _, c := range []struct {
		w           Work
		least, most float64
	}{
		{Work{Route: "short", Workspace: "w"}, 15, 25},
		{Work{Route: "short", Workspace: "other"}, 15, 25},
		{Work{Route: "long", Workspace: "other"}, 400, 600},
		{Work{Route: "other"}, 20, 600},
	} {
		if got := p.predict(&c.w).median; got < c.least || got > c.most {
			t.Errorf("%s/%s: median %.0f, want %.0f to %.0f", c.w.Route, c.w.Workspace, got, c.least, c.most)
		}
	}
	for i := range 2 * maxOutputClasses {
		w := Work{Route: "r", Workspace: string(rune(i))}
		p.learn(p.predict(&w), 1)
	}
	if len(p.classes) > maxOutputClasses {
		t.Errorf("%d classes are kept", len(p.classes))
	}
}

// TestLeft expects a request that outlives its prediction to count as going on, but not
// beyond the caller's maximum.
func TestLeft(t *testing.T) {
	e := outputEstimate{median: 100, sigma: 0.4, limit: 500}
	for _, c := range []struct{ seen, least, most float64 }{{0, 100, 120}, {50, 50, 70}, {200, 30, 50}, {490, 10, 10}, {600, 0, 0}} {
		if got := e.left(c.seen); got < c.least || got > c.most {
			t.Errorf("after %.0f tokens %.0f are left, want %.0f to %.0f", c.seen, got, c.least, c.most)
		}
	}
}
