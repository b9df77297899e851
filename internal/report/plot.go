package report

import (
	"bytes"
	"html/template"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes and limits of the plots.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3.2 * vg.Inch
	barWidth   = 11 * vg.Millimeter / 2
	// plotLevels is the number of levels that a plot shows: those with the
	// highest burn rates.
	plotLevels = 6
	// minBurn is drawn for a burn rate of zero, which a logarithmic axis can't
	// show.
	minBurn = 0.01
)

// renderSVG draws p as an SVG element.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var buf bytes.Buffer
	if _, err := c.WriteTo(&buf); err != nil {
		return "", err
	}
	text := buf.String()
	if i := strings.Index(text, "<svg"); i > 0 {
		text = text[i:] // an XML prolog is not allowed inside an HTML page
	}
	return template.HTML(text), nil
}

// newPlot returns a plot with a legend at its upper right.
func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = y
	p.Legend.Top = true
	return p
}

func (l *LevelSummary) name() string { return l.Workspace + " / " + l.Pipeline }

// worstLevels returns the levels that the plots show.
func worstLevels(s *Summary) []LevelSummary { return s.Levels[:min(len(s.Levels), plotLevels)] }

// burnPlot draws the burn rate of each level by window as points, and the burn
// rates of the alerts as lines.
func burnPlot(s *Summary) (*plot.Plot, error) {
	p := newPlot("Burn rate by window", "burn rate")
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = minBurn, fastPageBurn*2
	var names []string
	for _, w := range windows {
		names = append(names, lengthText(w.length))
	}
	p.NominalX(names...)
	levels := worstLevels(s)
	for i := range levels {
		var points plotter.XYs
		for x, w := range levels[i].Windows {
			shift := (float64(i) - float64(len(levels)-1)/2) / float64(2*plotLevels)
			points = append(points, plotter.XY{X: float64(x) + shift, Y: max(w.Burn, minBurn)})
		}
		marks, err := plotter.NewScatter(points)
		if err != nil {
			return nil, err
		}
		marks.GlyphStyle = draw.GlyphStyle{Color: plotutil.Color(i), Shape: plotutil.Shape(i), Radius: vg.Points(4)}
		p.Add(marks)
		p.Legend.Add(levels[i].name(), marks)
	}
	for _, burn := range []float64{ticketBurn, slowPageBurn, fastPageBurn} {
		line, err := plotter.NewLine(plotter.XYs{{X: -0.5, Y: burn}, {X: float64(len(windows)) - 0.5, Y: burn}})
		if err != nil {
			return nil, err
		}
		line.Dashes = plotutil.Dashes(2)
		p.Add(line)
	}
	return p, nil
}

// attainedPlot draws the share of requests answered in time over the last hour.
func attainedPlot(s *Summary) (*plot.Plot, error) {
	p := newPlot("Answered in time over the last hour", "percent")
	p.X.Label.Text = "minutes ago"
	p.Y.Max = percent
	p.Y.Min = percent - 1
	for i, l := range worstLevels(s) {
		var points plotter.XYs
		for n, c := range l.Points {
			if c.Total == 0 {
				continue
			}
			ago := time.Duration(len(l.Points)-1-n) * windows[oneHour].bucket()
			points = append(points, plotter.XY{X: -ago.Minutes(), Y: percent * float64(c.Good) / float64(c.Total)})
		}
		if len(points) == 0 {
			continue
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, err
		}
		line.Color, marks.Color, marks.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(l.name(), line, marks)
	}
	p.X.Min, p.X.Max = -windows[oneHour].length.Minutes(), 0
	return p, nil
}

// costPlot draws the mean cost of each stage as bars, with retries and hedges on
// top.
func costPlot(s *Summary) (*plot.Plot, error) {
	p := newPlot("Cost of a request by stage", "ms of target time")
	var names []string
	var cost, extra plotter.Values
	for _, st := range s.Stages {
		names = append(names, st.Pipeline+"\n"+st.Stage)
		mean, wasted := st.EachCost, st.perRequest(st.Extra)
		cost = append(cost, milliseconds(mean-wasted))
		extra = append(extra, milliseconds(wasted))
	}
	if len(names) == 0 {
		return p, nil
	}
	p.NominalX(names...)
	wanted, err := plotter.NewBarChart(cost, barWidth)
	if err != nil {
		return nil, err
	}
	wanted.Color = plotutil.Color(2)
	wasted, err := plotter.NewBarChart(extra, barWidth)
	if err != nil {
		return nil, err
	}
	wasted.Color = plotutil.Color(0)
	wasted.StackOn(wanted)
	p.Add(wanted, wasted)
	p.Legend.Add("needed", wanted)
	p.Legend.Add("retries and hedges", wasted)
	return p, nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
