package report

import (
	"fmt"
	"io"
	"strings"

	"gonum.org/v1/gonum/stat"

	"woaddyke/internal/lab/audit"
)

// SizeResult is the result of a run at a number of workers.
type SizeResult struct {
	Workers int
	*Results
}

// slope fits a line to a figure by least squares over the sizes whose runs are not void. It returns the value
// at zero workers and the increase for each thousand workers.
func slope(results []SizeResult, name string) (atZero, perThousand float64, ok bool) {
	var x, y []float64
	for _, s := range results {
		if v, has := s.Figures[name]; has && s.Void == "" {
			x, y = append(x, float64(s.Workers)/1000), append(y, v)
		}
	}
	if len(x) < 2 || x[0] == x[len(x)-1] {
		return 0, 0, false
	}
	atZero, perThousand = stat.LinearRegression(x, y, nil, false)
	return atZero, perThousand, true
}

// PrintSizes prints the figures of several sizes side by side, with their slopes.
func PrintSizes(out io.Writer, results []SizeResult) {
	names := append([]string(nil), usageFigures...)
	names = append(names, "starts_ps", "cpu_us_per_op", "ready_p90_ms", "lab_lag_ms")
	for _, c := range results[len(results)-1].Categories {
		names = append(names, "start_p99_ms."+c.Name)
	}
	var head strings.Builder
	for _, s := range results {
		n := fmt.Sprint(s.Workers)
		if s.Void != "" {
			n += " void"
		}
		fmt.Fprintf(&head, " %11s", n)
	}
	fmt.Fprintf(out, "  %-22s%s %11s %11s\n", "workers", head.String(), "at none", "per 1,000")
	for _, name := range names {
		fmt.Fprintf(out, "  %-22s", name)
		for _, s := range results {
			if v, ok := s.Figures[name]; ok {
				fmt.Fprintf(out, " %11.4g", v)
			} else {
				fmt.Fprintf(out, " %11s", "-")
			}
		}
		if a, b, ok := slope(results, name); ok {
			fmt.Fprintf(out, " %11.4g %11.4g", a, b)
		}
		fmt.Fprintln(out)
	}
}

// CombineSizes returns the verdict on all sizes, with the figures of the last size.
func CombineSizes(results []SizeResult) *Results {
	r := *results[len(results)-1].Results
	r.Audit, r.Unmet, r.Void = audit.Judgement{Complete: true}, nil, ""
	for _, s := range results {
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
