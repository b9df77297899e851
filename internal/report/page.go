package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"

	"gonum.org/v1/plot"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent":  func(v float64) string { return fmt.Sprintf("%.4g %%", v*percent) },
	"burn":     func(v float64) string { return fmt.Sprintf("%.2f", v) },
	"rounded":  rounded,
	"length":   func(w window) string { return lengthText(w.length) },
	"stamp":    func(t time.Time) string { return t.UTC().Format(time.RFC3339) },
	"lastOver": func(l LevelSummary) Count { return l.Windows[threeDays].Count },
}).Parse(pageText))

// pageData is the data of the page template.
type pageData struct {
	*Summary
	Lengths []window
	Plots   []template.HTML
}

// WritePage writes s as a single HTML page with the plots embedded as SVG.
func WritePage(w io.Writer, s *Summary) error {
	data := pageData{Summary: s, Lengths: windows[:]}
	for _, draw := range []func(*Summary) (*plot.Plot, error){burnPlot, attainedPlot, costPlot} {
		p, err := draw(s)
		if err != nil {
			return err
		}
		text, err := renderSVG(p)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, text)
	}
	return page.Execute(w, data)
}
