// Package htmlreport holds a run's results as one page that needs nothing beside it.
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

// Write writes a run's page.
func Write(path string, r *report.Results) error {
	b, err := Of(r)
	if err != nil {
		return fmt.Errorf("page: %w", err)
	}
	return os.WriteFile(path, b, 0o644)
}

// picture is a plot with its title.
type picture struct {
	Title string
	SVG   template.HTML
}

// Of is a run's page.
func Of(r *report.Results) ([]byte, error) {
	t, err := template.New("page.html").Funcs(template.FuncMap{
		"figure": func(name string) string { return fmt.Sprintf("%.4g", r.Figures[name]) },
		"ms":     func(m map[string]float64, q string) string { return fmt.Sprintf("%.1f", m[q]) },
		"at":     func(t ledger.Time) string { return fmt.Sprintf("%.1f", float64(t)/10_000) },
	}).ParseFS(files, "page.html")
	if err != nil {
		return nil, err
	}
	var pictures []picture
	for _, draw := range []func(*report.Results) (*plot.Plot, error){latencies, answers, queues, memory, descriptors, cpu, members} {
		p, err := draw(r)
		if err != nil {
			return nil, err
		}
		if p == nil {
			continue
		}
		mark(p, r.Faults)
		svg, err := render(p)
		if err != nil {
			return nil, err
		}
		pictures = append(pictures, picture{p.Title.Text, svg})
	}
	var b bytes.Buffer
	err = t.Execute(&b, map[string]any{"R": r, "Pictures": pictures})
	return b.Bytes(), err
}

// render draws a plot as SVG that can stand in a page.
func render(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(22*vg.Centimeter, 7*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	// What stands before the picture is for files of their own.
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil
}

func empty(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = "s", y
	p.Legend.Top = true
	return p
}

func seconds(t ledger.Time) float64 { return float64(t) / 10_000 }

// line adds a named line.
func line(p *plot.Plot, n int, name string, xy plotter.XYs) error {
	if len(xy) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color = plotutil.Color(n)
	p.Add(l)
	if name != "" {
		p.Legend.Add(name, l)
	}
	return nil
}

// mark puts an upright line where a trouble begins or ends.
func mark(p *plot.Plot, faults []report.Fault) {
	top := p.Y.Max
	if math.IsInf(top, 0) {
		return
	}
	for _, f := range faults {
		l, err := plotter.NewLine(plotter.XYs{{X: seconds(f.At), Y: p.Y.Min}, {X: seconds(f.At), Y: top}})
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
	p := empty("Latency of what was acked, by the moment at which it was due", "ms")
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
		if err := line(p, n, of.name, xy); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func answers(r *report.Results) (*plot.Plot, error) {
	if len(r.Slices) == 0 {
		return nil, nil
	}
	p := empty("Last answers, by the moment at which ops were due", "ops in 0.25 s")
	for n, of := range []struct {
		name string
		y    func(report.Slice) int
	}{{"acked", func(s report.Slice) int { return s.Acked }}, {"nacked", func(s report.Slice) int { return s.Nacked }},
		{"dead-lettered", func(s report.Slice) int { return s.Dead }}, {"none", func(s report.Slice) int { return s.Other }}} {
		var xy plotter.XYs
		for _, s := range r.Slices {
			xy = append(xy, plotter.XY{X: seconds(s.At), Y: float64(of.y(s))})
		}
		if err := line(p, n, of.name, xy); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// mostLines bounds how many workers are drawn; of more, the busiest and the mean tell.
const mostLines = 24

func queues(r *report.Results) (*plot.Plot, error) {
	if len(r.Queues) == 0 {
		return nil, nil
	}
	p := empty("Jobs held by each worker", "jobs")
	if n := len(r.Queues[0].Held); n <= mostLines {
		for w := range n {
			var xy plotter.XYs
			for _, q := range r.Queues {
				xy = append(xy, plotter.XY{X: seconds(q.At), Y: float64(q.Held[w])})
			}
			if err := line(p, w, "", xy); err != nil {
				return nil, err
			}
		}
		return p, nil
	}
	var mean, most plotter.XYs
	for _, q := range r.Queues {
		sum, top := 0, 0
		for _, h := range q.Held {
			sum, top = sum+h, max(top, h)
		}
		mean = append(mean, plotter.XY{X: seconds(q.At), Y: float64(sum) / float64(len(q.Held))})
		most = append(most, plotter.XY{X: seconds(q.At), Y: float64(top)})
	}
	if err := line(p, 0, "mean", mean); err != nil {
		return nil, err
	}
	return p, line(p, 1, "longest", most)
}

// used draws a figure of each scheduler's use.
func used(r *report.Results, title, unit string, y func(i int) (float64, bool)) (*plot.Plot, error) {
	if len(r.Uses) == 0 {
		return nil, nil
	}
	p := empty(title, unit)
	of := map[int]plotter.XYs{}
	most := 0
	for i, u := range r.Uses {
		if v, ok := y(i); ok {
			of[u.Scheduler] = append(of[u.Scheduler], plotter.XY{X: seconds(u.At), Y: v})
		}
		most = max(most, u.Scheduler)
	}
	for n := 1; n <= most; n++ {
		if err := line(p, n, fmt.Sprintf("n%d", n), of[n]); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func memory(r *report.Results) (*plot.Plot, error) {
	return used(r, "Memory of each scheduler", "MB", func(i int) (float64, bool) { return float64(r.Uses[i].Resident) / (1 << 20), true })
}

func descriptors(r *report.Results) (*plot.Plot, error) {
	return used(r, "Descriptors of each scheduler", "open", func(i int) (float64, bool) { return float64(r.Uses[i].Files), true })
}

func cpu(r *report.Results) (*plot.Plot, error) {
	last := map[int]int{}
	return used(r, "CPU of each scheduler", "cores", func(i int) (float64, bool) {
		u := r.Uses[i]
		k, ok := last[u.Scheduler]
		last[u.Scheduler] = i
		if !ok || r.Uses[k].CPU > u.CPU || r.Uses[k].At >= u.At {
			return 0, false
		}
		return (u.CPU - r.Uses[k].CPU) / seconds(u.At-r.Uses[k].At), true
	})
}

// mostPairs bounds how many pairs of schedulers are drawn.
const mostPairs = 150

// members draws what each scheduler held of each other: a row a pair, thin where the other is held to be here.
func members(r *report.Results) (*plot.Plot, error) {
	if len(r.Spans) == 0 {
		return nil, nil
	}
	p := empty("What each member held of each other: a row a pair, by who holds it", "pair")
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
	named := map[string]bool{}
	for _, s := range r.Spans {
		row := float64(rows[[2]int{s.By, s.Of}])
		if row > mostPairs {
			continue
		}
		l, err := plotter.NewLine(plotter.XYs{{X: seconds(s.From), Y: row}, {X: max(seconds(s.Until), seconds(s.From)+0.02), Y: row}})
		if err != nil {
			return nil, err
		}
		if l.Color, l.Width = colors[s.State], vg.Points(1); s.State != "here" {
			l.Width = vg.Points(2)
		}
		if p.Add(l); !named[s.State] {
			named[s.State] = true
			p.Legend.Add(s.State, l)
		}
	}
	return p, nil
}
