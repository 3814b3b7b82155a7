package simulation

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

func quantile(all []Time, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return float64(all[min(int(q*float64(len(all))), len(all)-1)]) / float64(Second)
}

// TestFigures tells what detection, return and talk cost at several sizes: SIZES=5,20,100 for these; 5,000 take over 16 GB.
// It is no part of CI.
func TestFigures(t *testing.T) {
	var sizes []int
	for _, text := range strings.Split(os.Getenv("SIZES"), ",") {
		if n, err := strconv.Atoi(text); err == nil {
			sizes = append(sizes, n)
		}
	}
	if len(sizes) == 0 {
		t.Skip("SIZES is not set")
	}
	for _, n := range sizes {
		plays := max(1, min(20, 2000/n))
		var detected, healed []Time
		calm, spans := 0.0, 0.0
		for seed := range plays {
			s := New(n, uint64(seed+1))
			s.Config.MaxMembers = 2 * n
			s.Conditions = LinkConditions{Delay: 5, Jitter: 10}
			for i := range n {
				s.At(Time(s.rand.IntN(20_000)), func() { s.Start(i) })
			}
			s.Run(20 * Second)
			bytes := s.Bytes
			s.Run(30 * Second)
			calm += float64(s.Bytes-bytes) / float64(n) / 10
			spans++
			s.Kill(n - 1)
			s.Run(s.Now() + 10*Second)
			detected = append(detected, s.Detected...)
			if n > 300 {
				continue
			}
			var a, b []int
			for i := range n - 1 {
				if i%2 == 0 {
					a = append(a, i)
				} else {
					b = append(b, i)
				}
			}
			for _, long := range []Time{10 * Second, 600 * Second} {
				if long > 10*Second && n > 20 {
					continue
				}
				s.Partition(a, b, true)
				s.Run(s.Now() + long)
				s.Partition(a, b, false)
				from := s.Now()
				for len(s.Disagreements()) > 0 && s.Now()-from < 60*Second {
					s.Run(s.Now() + 100*Millisecond)
				}
				healed = append(healed, s.Now()-from)
			}
		}
		t.Logf("%d members, %d plays: an end known to each after p50 %.2f, p99 %.2f, worst %.2f s (%d words); views one again p50 %.1f, p99 %.1f s; %.0f bytes/s a member",
			n, plays, quantile(detected, 0.5), quantile(detected, 0.99), quantile(detected, 1), len(detected), quantile(healed, 0.5),
			quantile(healed, 0.99), calm/spans)
	}
}
