// Package htmlreport writes the results of a run as a self-contained HTML page.
package htmlreport

import (
	"bytes"
	"cmp"
	"embed"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"os"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"woaddyke/internal/lab/ledger"
	"woaddyke/internal/lab/report"
)

//go:embed page.html
var files embed.FS

// Write writes the page of a run to a file.
func Write(path string, r *report.Results) error {
	b, err := Render(r)
	if err != nil {
		return fmt.Errorf("page: %w", err)
	}
	return os.WriteFile(path, b, 0o644)
}

// chart is a plot as SVG, with its title.
type chart struct {
	Title string
	SVG   template.HTML
}

// Render returns the page of a run.
func Render(r *report.Results) ([]byte, error) {
	t, err := template.New("page.html").Funcs(template.FuncMap{
		"figure": func(name string) string { return fmt.Sprintf("%.4g", r.Figures[name]) },
		"ms":     func(m map[string]float64, q string) string { return fmt.Sprintf("%.1f", m[q]) },
		"at":     func(t ledger.Time) string { return fmt.Sprintf("%.1f", float64(t)/10_000) },
	}).ParseFS(files, "page.html")
	if err != nil {
		return nil, err
	}
	var charts []chart
	for _, newChart := range []func(*report.Results) (*plot.Plot, error){latencies, answers, queues, memory, descriptors, cpu, members} {
		p, err := newChart(r)
		if err != nil {
			return nil, err
		}
		if p == nil {
			continue
		}
		addFaultLines(p, r.Faults)
		svg, err := renderSVG(p)
		if err != nil {
			return nil, err
		}
		charts = append(charts, chart{p.Title.Text, svg})
	}
	var b bytes.Buffer
	err = t.Execute(&b, map[string]any{"R": r, "Pictures": charts})
	return b.Bytes(), err
}

// renderSVG draws a plot as SVG that can be embedded in the page.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(22*vg.Centimeter, 7*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	// The XML declaration before the element is only for separate SVG files.
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = "s", y
	p.Legend.Top = true
	return p
}

func seconds(t ledger.Time) float64 { return float64(t) / 10_000 }

// addLine adds a line to a plot, with an entry in the legend if it has a name.
func addLine(p *plot.Plot, colorIndex int, name string, xy plotter.XYs) error {
	if len(xy) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color = plotutil.Color(colorIndex)
	p.Add(l)
	if name != "" {
		p.Legend.Add(name, l)
	}
	return nil
}

// addFaultLines adds a vertical line at each begin and end of a fault.
func addFaultLines(p *plot.Plot, faults []report.Fault) {
	maxY := p.Y.Max
	if math.IsInf(maxY, 0) {
		return
	}
	for _, f := range faults {
		l, err := plotter.NewLine(plotter.XYs{{X: seconds(f.At), Y: p.Y.Min}, {X: seconds(f.At), Y: maxY}})
		if err != nil {
			continue
		}
		l.Color, l.Dashes = color.Gray{170}, []vg.Length{3, 3}
		p.Add(l)
	}
}

func latencies(r *report.Results) (*plot.Plot, error) {
	if len(r.Slices) == 0 {
		return nil, nil
	}
	p := newPlot("Latency of what was acked, by the moment at which it was due", "ms")
	for n, of := range []struct {
		name string
		y    func(report.Slice) float64
	}{{"p50", func(s report.Slice) float64 { return s.P50 }}, {"p99", func(s report.Slice) float64 { return s.P99 }},
		{"longest", func(s report.Slice) float64 { return s.Longest }}} {
		var xy plotter.XYs
		for _, s := range r.Slices {
			if s.Acked > 0 {
				xy = append(xy, plotter.XY{X: seconds(s.At), Y: of.y(s)})
			}
		}
		if err := addLine(p, n, of.name, xy); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func answers(r *report.Results) (*plot.Plot, error) {
	if len(r.Slices) == 0 {
		return nil, nil
	}
	p := newPlot("Last answers, by the moment at which ops were due", "ops in 0.25 s")
	for n, of := range []struct {
		name string
		y    func(report.Slice) int
	}{{"acked", func(s report.Slice) int { return s.Acked }}, {"nacked", func(s report.Slice) int { return s.Nacked }},
		{"dead-lettered", func(s report.Slice) int { return s.Dead }}, {"none", func(s report.Slice) int { return s.Other }}} {
		var xy plotter.XYs
		for _, s := range r.Slices {
			xy = append(xy, plotter.XY{X: seconds(s.At), Y: float64(of.y(s))})
		}
		if err := addLine(p, n, of.name, xy); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// maxWorkerLines is the maximum number of workers with a line each. For more workers, the mean and the
// longest queue are drawn.
const maxWorkerLines = 24

func queues(r *report.Results) (*plot.Plot, error) {
	if len(r.Queues) == 0 {
		return nil, nil
	}
	p := newPlot("Jobs held by each worker", "jobs")
	if n := len(r.Queues[0].Jobs); n <= maxWorkerLines {
		for w := range n {
			var xy plotter.XYs
			for _, q := range r.Queues {
				xy = append(xy, plotter.XY{X: seconds(q.At), Y: float64(q.Jobs[w])})
			}
			if err := addLine(p, w, "", xy); err != nil {
				return nil, err
			}
		}
		return p, nil
	}
	var mean, longest plotter.XYs
	for _, q := range r.Queues {
		sum, maxJobs := 0, 0
		for _, jobs := range q.Jobs {
			sum, maxJobs = sum+jobs, max(maxJobs, jobs)
		}
		mean = append(mean, plotter.XY{X: seconds(q.At), Y: float64(sum) / float64(len(q.Jobs))})
		longest = append(longest, plotter.XY{X: seconds(q.At), Y: float64(maxJobs)})
	}
	if err := addLine(p, 0, "mean", mean); err != nil {
		return nil, err
	}
	return p, addLine(p, 1, "longest", longest)
}

// plotUse draws a usage figure for each scheduler.
func plotUse(r *report.Results, title, unit string, y func(i int) (float64, bool)) (*plot.Plot, error) {
	if len(r.Uses) == 0 {
		return nil, nil
	}
	p := newPlot(title, unit)
	points := map[int]plotter.XYs{}
	maxScheduler := 0
	for i, u := range r.Uses {
		if v, ok := y(i); ok {
			points[u.Scheduler] = append(points[u.Scheduler], plotter.XY{X: seconds(u.At), Y: v})
		}
		maxScheduler = max(maxScheduler, u.Scheduler)
	}
	for n := 1; n <= maxScheduler; n++ {
		if err := addLine(p, n, fmt.Sprintf("n%d", n), points[n]); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func memory(r *report.Results) (*plot.Plot, error) {
	return plotUse(r, "Memory of each scheduler", "MB", func(i int) (float64, bool) { return float64(r.Uses[i].Resident) / (1 << 20), true })
}

func descriptors(r *report.Results) (*plot.Plot, error) {
	return plotUse(r, "Descriptors of each scheduler", "open", func(i int) (float64, bool) { return float64(r.Uses[i].Files), true })
}

func cpu(r *report.Results) (*plot.Plot, error) {
	last := map[int]int{}
	return plotUse(r, "CPU of each scheduler", "cores", func(i int) (float64, bool) {
		u := r.Uses[i]
		previous, ok := last[u.Scheduler]
		last[u.Scheduler] = i
		if !ok || r.Uses[previous].CPU > u.CPU || r.Uses[previous].At >= u.At {
			return 0, false
		}
		return (u.CPU - r.Uses[previous].CPU) / seconds(u.At-r.Uses[previous].At), true
	})
}

// maxPairRows is the maximum number of pairs of schedulers that are drawn.
const maxPairRows = 150

// members draws the schedulers' views of one another, a row for each pair. The line is thin while the
// recorded state is "here", and thick in other states.
func members(r *report.Results) (*plot.Plot, error) {
	if len(r.Spans) == 0 {
		return nil, nil
	}
	p := newPlot("What each member held of each other: a row a pair, by who holds it", "pair")
	rows := map[[2]int]int{}
	var pairs [][2]int
	for _, s := range r.Spans {
		if k := [2]int{s.By, s.Of}; rows[k] == 0 {
			rows[k] = 1
			pairs = append(pairs, k)
		}
	}
	slices.SortFunc(pairs, func(a, b [2]int) int { return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1])) })
	for i, k := range pairs {
		rows[k] = i + 1
	}
	colors := map[string]color.Color{"here": color.RGBA{160, 200, 160, 255}, "doubted": color.RGBA{240, 170, 0, 255},
		"gone": color.RGBA{200, 0, 0, 255}, "left": color.RGBA{90, 90, 200, 255}}
	inLegend := map[string]bool{}
	for _, s := range r.Spans {
		row := float64(rows[[2]int{s.By, s.Of}])
		if row > maxPairRows {
			continue
		}
		l, err := plotter.NewLine(plotter.XYs{{X: seconds(s.From), Y: row}, {X: max(seconds(s.Until), seconds(s.From)+0.02), Y: row}})
		if err != nil {
			return nil, err
		}
		if l.Color, l.Width = colors[s.State], vg.Points(1); s.State != "here" {
			l.Width = vg.Points(2)
		}
		if p.Add(l); !inLegend[s.State] {
			inLegend[s.State] = true
			p.Legend.Add(s.State, l)
		}
	}
	return p, nil
}
