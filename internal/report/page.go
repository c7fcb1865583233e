package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Kinds of errors.
const (
	KindDraw  = "draw"  // a chart failed to render
	KindWrite = "write" // the page failed to render or to be written
)

// Error reports the operation of package report that failed and why.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("report: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 6 * vg.Centimeter
)

var (
	blue       = color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}
	amber      = color.RGBA{R: 0xff, G: 0x7f, B: 0x0e, A: 0xff}
	red        = color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff}
	faultShade = color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0x20}
)

// series is a line of a chart, with one point for each window.
type series struct {
	name  string
	color color.Color
	value func(*Window) float64
}

// chart is a chart that the page shows for each run.
type chart struct {
	title     string
	series    []series
	yMax      float64         // upper limit of the y axis; 0 fits the data
	appliesTo func(*Run) bool // nil applies to all runs
}

var charts = []chart{
	{"share of requests served", []series{
		{"served", blue, func(w *Window) float64 { return w.share(w.Served + w.Late) }},
		{"in time", amber, func(w *Window) float64 { return w.share(w.Served) }},
	}, 1, nil},
	{"refused and failed requests", []series{
		{"refused", amber, func(w *Window) float64 { return float64(w.Refused) }},
		{"failed", red, func(w *Window) float64 { return float64(w.Failed) }},
	}, 0, nil},
	{"latency, ms", []series{
		{"median", blue, func(w *Window) float64 { return w.P50 }},
		{"99th percentile", amber, func(w *Window) float64 { return w.P99 }},
	}, 0, nil},
	{"busiest host over the mean", []series{
		{"busiest over mean", blue, func(w *Window) float64 { return w.BusiestOverMean }},
	}, 0, func(r *Run) bool {
		for i := range r.Windows {
			if r.Windows[i].BusiestOverMean > 0 {
				return true
			}
		}
		return false
	}},
}

// WriteServed renders the share of requests that were served in a run as an SVG document,
// with faults shaded.
func WriteServed(w io.Writer, r *Run) error {
	c := charts[0]
	c.title = r.Name + ": " + c.title
	svg, err := c.render(r)
	if err != nil {
		return err
	}
	if _, err := w.Write(svg); err != nil {
		return &Error{c.title, KindWrite, err}
	}
	return nil
}

// draw renders the chart of a run as an SVG element.
func (c *chart) draw(r *Run) (template.HTML, error) {
	b, err := c.render(r)
	if err != nil {
		return "", err
	}
	_, svg, _ := strings.Cut(string(b), "<svg") // the XML declaration is not allowed inside HTML
	return template.HTML("<svg" + svg), nil     // #nosec: rendered by the library from numbers and escaped names
}

// render renders the chart of a run as an SVG document, with faults shaded.
func (c *chart) render(r *Run) ([]byte, error) {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = "seconds"
	p.Y.Min = 0
	if len(r.Windows) > 0 {
		p.X.Min, p.X.Max = r.Windows[0].From, r.Windows[len(r.Windows)-1].From
	}
	if err := c.addSeries(p, r); err != nil {
		return nil, &Error{c.title, KindDraw, err}
	}
	if c.yMax > 0 {
		p.Y.Max = c.yMax
	}
	if err := addFaults(p, r); err != nil {
		return nil, &Error{c.title, KindDraw, err}
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return nil, &Error{c.title, KindDraw, err}
	}
	return b.Bytes(), nil
}

func (c *chart) addSeries(p *plot.Plot, r *Run) error {
	for _, s := range c.series {
		points := make(plotter.XYs, len(r.Windows))
		for i := range r.Windows {
			points[i] = plotter.XY{X: r.Windows[i].From, Y: s.value(&r.Windows[i])}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = s.color
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return nil
}

// addFaults shades the duration of each fault; planned events are not shaded.
func addFaults(p *plot.Plot, r *Run) error {
	for _, e := range r.Events {
		if e.Planned {
			continue
		}
		from, to := max(e.From, p.X.Min), min(max(e.To, e.From), p.X.Max)
		if from > p.X.Max {
			continue
		}
		area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: p.Y.Min}, {X: from, Y: p.Y.Max}, {X: to, Y: p.Y.Max}, {X: to, Y: p.Y.Min}})
		if err != nil {
			return err
		}
		area.Color, area.LineStyle.Width = faultShade, 0
		p.Add(area)
	}
	return nil
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>skylarkturn: runs</title><style>
body { font-family: sans-serif; margin: 1.5em; color: #222 }
.runs { display: flex; flex-wrap: wrap; gap: 2em; align-items: flex-start }
table { border-collapse: collapse; font-size: 85% }
td, th { padding: 0.15em 0.8em 0.15em 0; text-align: left; vertical-align: top }
td.number { text-align: right }
.fault { color: #b01010 }
svg { max-width: 100%; height: auto }
</style></head><body>
<h1>Runs</h1>
<p>Shaded: faults. Planned work is in the tables only.</p>
<div class="runs">{{range .}}<section><h2>{{.Run.Name}}</h2>
<table>{{range .Run.Metrics}}<tr><td>{{.Name}}</td><td class="number">{{.Value}}</td></tr>{{end}}</table>
{{range .Charts}}<div>{{.}}</div>{{end}}
<h3>Counts</h3><table>{{range .Run.Counts}}<tr><td>{{.Name}}</td><td class="number">{{.Value}}</td></tr>{{end}}</table>
<h3>What happened</h3><table><tr><th>from, s</th><th>to, s</th><th>what</th></tr>
{{range .Run.Events}}<tr{{if not .Planned}} class="fault"{{end}}><td class="number">{{printf "%.1f" .From}}</td><td class="number">{{printf "%.1f" .To}}</td><td>{{.Description}}</td></tr>{{end}}</table>
</section>{{end}}</div></body></html>
`))

// runCharts is a run with its charts as SVG.
type runCharts struct {
	Run    *Run
	Charts []template.HTML
}

// Write renders the runs side by side, in the given order, as an HTML page.
func Write(w io.Writer, runs []Run) error {
	rendered := make([]runCharts, len(runs))
	for i := range runs {
		rendered[i].Run = &runs[i]
		for j := range charts {
			c := &charts[j]
			if c.appliesTo != nil && !c.appliesTo(&runs[i]) {
				continue
			}
			svg, err := c.draw(&runs[i])
			if err != nil {
				return err
			}
			rendered[i].Charts = append(rendered[i].Charts, svg)
		}
	}
	if err := page.Execute(w, rendered); err != nil {
		return &Error{"write page", KindWrite, err}
	}
	return nil
}
