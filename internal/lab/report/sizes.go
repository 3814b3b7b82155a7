package report

import (
	"fmt"
	"io"
	"strings"

	"gonum.org/v1/gonum/stat"

	"woaddyke/internal/lab/audit"
)

// Sized is the result of one of several sizes.
type Sized struct {
	Workers int
	*Results
}

// slope is what a figure is at no workers, and what it grows by for each thousand, by least squares over the sizes that are not void.
func slope(of []Sized, name string) (at0, perThousand float64, ok bool) {
	var x, y []float64
	for _, s := range of {
		if v, has := s.Figures[name]; has && s.Void == "" {
			x, y = append(x, float64(s.Workers)/1000), append(y, v)
		}
	}
	if len(x) < 2 || x[0] == x[len(x)-1] {
		return 0, 0, false
	}
	at0, perThousand = stat.LinearRegression(x, y, nil, false)
	return at0, perThousand, true
}

// Slopes prints the figures of several sizes side by side.
func Slopes(out io.Writer, of []Sized) {
	names := append([]string(nil), rows...)
	names = append(names, "starts_ps", "cpu_us_per_op", "ready_p90_ms", "lab_lag_ms")
	for _, c := range of[len(of)-1].Categories {
		names = append(names, "start_p99_ms."+c.Name)
	}
	var head strings.Builder
	for _, s := range of {
		n := fmt.Sprint(s.Workers)
		if s.Void != "" {
			n += " void"
		}
		fmt.Fprintf(&head, " %11s", n)
	}
	fmt.Fprintf(out, "  %-22s%s %11s %11s\n", "workers", head.String(), "at none", "per 1,000")
	for _, name := range names {
		fmt.Fprintf(out, "  %-22s", name)
		for _, s := range of {
			if v, ok := s.Figures[name]; ok {
				fmt.Fprintf(out, " %11.4g", v)
			} else {
				fmt.Fprintf(out, " %11s", "-")
			}
		}
		if a, b, ok := slope(of, name); ok {
			fmt.Fprintf(out, " %11.4g %11.4g", a, b)
		}
		fmt.Fprintln(out)
	}
}

// Joint is the verdict on all sizes, with the figures of the last one.
func Joint(of []Sized) *Results {
	r := *of[len(of)-1].Results
	r.Audit, r.Unmet, r.Void = audit.Judgement{Whole: true}, nil, ""
	for _, s := range of {
		r.Audit.Ops += s.Audit.Ops
		r.Audit.Answers += s.Audit.Answers
		r.Audit.Breaches = append(r.Audit.Breaches, s.Audit.Breaches...)
		r.Unmet = append(r.Unmet, s.Unmet...)
		if s.Void != "" && r.Void == "" {
			r.Void = s.Name + ": " + s.Void
		}
	}
	return &r
}
