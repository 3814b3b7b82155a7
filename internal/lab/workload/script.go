// Package workload draws from an experiment's seed all that is left to chance before it is played: when ops are
// due and what they ask for, how clients behave, which worker is how quick, and what troubles come when. The same
// file and seed give the same script, whatever the program under test does with it.
package workload

import (
	"bufio"
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/ledger"
)

// Wish is one thing that a client wants done; each of its tries is an op.
type Wish struct {
	Due       ledger.Time
	Category  int
	Client    int
	Scheduler int // from 0, where the first try goes
	Work      float64
	Slots     float64
	Hint      float64     // ms, 0 for none
	LeaveAt   ledger.Time // after it was sent, 0 for one that stays
	Trickles  bool
	Stalls    bool
	AsksAgain bool
	Honours   bool
	Seed      uint64 // for its waits
}

// Turn is one turn of a trouble.
type Turn struct {
	At      ledger.Time
	Kind    string
	On      bool
	Targets []int // of workers or schedulers, from 0
	Size    float64
	For     ledger.Time
	Zone    string
	Fault   int // which turns belong together
	To      []int
	Way     string
	Refuses bool
}

// Worker is one worker as built.
type Worker struct {
	Name  string
	Kind  int
	Zone  string
	Cell  int
	Speed float64
	Seed  uint64
}

// Script is all of it, in order of time.
type Script struct {
	Wishes  []Wish
	Turns   []Turn
	Workers []Worker
}

// mostWishes bounds what a script may hold.
const mostWishes = 5_000_000

// Of draws an experiment's script.
func Of(e *experiment.Experiment) (*Script, error) {
	s := &Script{}
	s.workers(e, source(e.Seed, "workers"))
	s.faults(e, source(e.Seed, "faults"))
	s.chaos(e, source(e.Seed, "chaos"))
	slices.SortStableFunc(s.Turns, func(a, b Turn) int { return cmp.Compare(a.At, b.At) })
	if err := s.wishes(e, source(e.Seed, "wishes")); err != nil {
		return nil, err
	}
	return s, nil
}

// source keeps draws apart: one more worker must not change when ops come.
func source(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	io.WriteString(h, name)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func (s *Script) workers(e *experiment.Experiment, r *rand.Rand) {
	n := 0
	cells, inCell := map[string]int{}, map[string]int{}
	next := 0
	for k, w := range e.Workers {
		for range w.Count {
			zone := e.Zones[n%len(e.Zones)]
			// No two zones share a cell.
			if _, ok := cells[zone]; !ok || inCell[zone] >= w.CellSize {
				cells[zone], inCell[zone] = next, 0
				next++
			}
			inCell[zone]++
			s.Workers = append(s.Workers, Worker{Name: fmt.Sprintf("w%03d", n), Kind: k, Zone: zone, Cell: cells[zone],
				Speed: w.Speed * (1 + w.SpeedSpread*(2*r.Float64()-1)), Seed: r.Uint64()})
			n++
		}
	}
}

// pick draws an index by weight.
func pick(r *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := r.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// Draw draws an amount of work.
func Draw(r *rand.Rand, dist string, mean, cv float64) float64 {
	switch dist {
	case "fixed":
		return mean
	case "lognormal":
		v := math.Log(1 + cv*cv)
		return mean * math.Exp(math.Sqrt(v)*r.NormFloat64()-v/2)
	case "pareto":
		a := 1 + math.Sqrt(1+1/(cv*cv)) // the shape that has this coefficient of variation
		return mean * (a - 1) / a * math.Pow(1-r.Float64(), -1/a)
	}
	return mean * r.ExpFloat64()
}

// factor is what the steps and bursts make of the rate at a moment.
func factor(e *experiment.Experiment, at float64) float64 {
	f := 1.0
	steps := e.Arrivals.Steps
	for i, s := range steps {
		if at < s[0] {
			break
		}
		f = s[1]
		if e.Arrivals.Ramp && i+1 < len(steps) {
			next := steps[i+1]
			f += (next[1] - s[1]) * min((at-s[0])/(next[0]-s[0]), 1)
		}
	}
	for _, x := range e.Faults {
		if x.Kind == "burst" && at >= x.At && at < x.At+x.For {
			f *= x.Size
		}
	}
	return f
}

func (s *Script) wishes(e *experiment.Experiment, r *rand.Rand) error {
	shares := make([]float64, len(e.Categories))
	for i, c := range e.Categories {
		shares[i] = c.Share
	}
	if e.Arrivals.Kind == "trace" {
		return s.trace(e, r)
	}
	most := 0.0
	for at := 0.0; at < e.Seconds; at += 0.01 {
		most = max(most, factor(e, at))
	}
	if n := most * e.Arrivals.Rate * e.Seconds; n > mostWishes {
		return fmt.Errorf("arrivals: about %.0f ops; %d at most", n, mostWishes)
	}
	if most == 0 {
		return nil
	}
	for at := 0.0; ; {
		gap := 1.0
		if e.Arrivals.Kind == "poisson" {
			gap = r.ExpFloat64()
		}
		if e.Arrivals.Kind == "even" {
			f := factor(e, at)
			if f <= 0 {
				at += 0.01
				if at >= e.Seconds {
					return nil
				}
				continue
			}
			at += gap / (e.Arrivals.Rate * f)
		} else {
			at += gap / (e.Arrivals.Rate * most)
		}
		if at >= e.Seconds {
			return nil
		}
		if e.Arrivals.Kind == "poisson" && r.Float64()*most >= factor(e, at) { // thinning
			continue
		}
		s.Wishes = append(s.Wishes, wish(e, r, at, pick(r, shares)))
	}
}

func wish(e *experiment.Experiment, r *rand.Rand, at float64, category int) Wish {
	c, cl := &e.Categories[category], &e.Clients
	w := Wish{Due: experiment.S(at), Category: category, Seed: r.Uint64()}
	w.Work = min(max(Draw(r, c.Dist, c.WorkMS, c.CV), 0.01), c.Heaviest*c.WorkMS)
	w.Slots = []float64{1, 2, 4}[pick(r, c.Slots)]
	if c.HintSpread > 0 {
		w.Hint = w.Work * math.Pow(1+c.HintSpread, 2*r.Float64()-1)
	}
	if w.Client = r.IntN(cl.Count); len(cl.Shares) > 0 {
		w.Client = pick(r, cl.Shares)
	}
	if len(e.Schedulers.Shares) > 0 {
		w.Scheduler = pick(r, e.Schedulers.Shares)
	} else {
		w.Scheduler = r.IntN(e.Schedulers.Count)
	}
	// Each chance is drawn whatever the file says: a quirk that is switched on changes nothing else of the day.
	leave, trickle, stall, again, honour := r.Float64(), r.Float64(), r.Float64(), r.Float64(), r.Float64()
	if leave < cl.Leave {
		w.LeaveAt = max(experiment.MS(cl.Impatient*(0.5+leave/cl.Leave)), 1)
	}
	w.Trickles, w.Stalls, w.AsksAgain, w.Honours = trickle < cl.Trickle, stall < cl.Stall, again < cl.AskAgain, honour < cl.Honour
	return w
}

// trace reads when ops are due from a file: a line for each, its moment in ms and its category.
func (s *Script) trace(e *experiment.Experiment, r *rand.Rand) error {
	path := e.Arrivals.Trace
	if !filepath.IsAbs(path) {
		path = filepath.Join(e.Dir, path)
	}
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("arrivals.trace: %w", err)
	}
	defer f.Close()
	names := map[string]int{}
	for i, c := range e.Categories {
		names[c.Name] = i
	}
	in := bufio.NewScanner(f)
	last := 0.0
	for n := 1; in.Scan(); n++ {
		line := strings.TrimSpace(in.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		fields := strings.Fields(line)
		if len(fields) != 2 {
			return fmt.Errorf("%s:%d: a moment in ms and a category are wanted", path, n)
		}
		at, err := strconv.ParseFloat(fields[0], 64)
		c, ok := names[fields[1]]
		switch {
		case err != nil || math.IsNaN(at) || at < last || at > 3_600_000:
			return fmt.Errorf("%s:%d: %q is no moment in order", path, n, fields[0])
		case !ok:
			return fmt.Errorf("%s:%d: no category %q", path, n, fields[1])
		case len(s.Wishes) >= mostWishes:
			return fmt.Errorf("%s:%d: more than %d ops", path, n, mostWishes)
		}
		last = at
		s.Wishes = append(s.Wishes, wish(e, r, at/1000, c))
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("arrivals.trace: %w", err)
	}
	return nil
}

// targets are the workers or schedulers that a fault hits.
func (s *Script) targets(e *experiment.Experiment, r *rand.Rand, f *experiment.Fault) []int {
	if len(f.Indices) > 0 {
		return slices.Clone(f.Indices)
	}
	all := len(s.Workers)
	if experiment.OfSchedulers(f.Kind) {
		all = e.Schedulers.Count
	}
	var in []int
	for i := range all {
		if f.Zone == "" || experiment.OfSchedulers(f.Kind) || e.In(f.Zone, s.Workers[i].Zone) {
			in = append(in, i)
		}
	}
	if f.Part == 0 {
		return in
	}
	r.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
	in = in[:min(len(in), max(1, int(math.Round(f.Part*float64(len(in))))))]
	slices.Sort(in)
	return in
}

func (s *Script) faults(e *experiment.Experiment, r *rand.Rand) {
	for i := range e.Faults {
		f := &e.Faults[i]
		s.add(e, r, f, i)
	}
}

// add puts the turns of a fault into the script.
func (s *Script) add(e *experiment.Experiment, r *rand.Rand, f *experiment.Fault, n int) {
	t := Turn{At: experiment.S(f.At), Kind: f.Kind, On: true, Targets: s.targets(e, r, f), Size: f.Size, For: experiment.S(f.For),
		Zone: f.Zone, Fault: n, To: f.To, Way: f.Way, Refuses: f.Refuses}
	switch f.Kind {
	case "mesh-flap":
		every := max(f.EveryS, 0.05)
		if f.EveryS == 0 {
			every = 0.7
		}
		on := true
		for at := f.At; at < f.At+f.For; at += every {
			one := t
			one.At, one.Kind, one.On = experiment.S(at), "mesh-cut", on
			s.Turns, on = append(s.Turns, one), !on
		}
		t.At, t.Kind, t.On = experiment.S(f.At+f.For), "mesh-cut", false
		s.Turns = append(s.Turns, t)
		return
	case "pauses", "scheduler-pauses": // stands still for size ms, every so often
		kind := "hang"
		if f.Kind == "scheduler-pauses" {
			kind = "scheduler-stop"
		}
		every := f.EveryS
		if every == 0 {
			every = 1
		}
		for at := f.At; at < f.At+max(f.For, 0.001); at += every * (0.5 + r.Float64()) {
			on, off := t, t
			on.At, on.Kind = experiment.S(at), kind
			off.At, off.Kind, off.On = experiment.S(at)+experiment.MS(f.Size), kind, false
			s.Turns = append(s.Turns, on, off)
		}
		return
	case "replace": // one after another within the span
		for k, w := range t.Targets {
			one := t
			one.Targets, one.Kind = []int{w}, "drain"
			one.At += ledger.Time(float64(t.For) * float64(k) / float64(len(t.Targets)))
			one.For = 10_000
			s.Turns = append(s.Turns, one)
		}
		return
	case "settings-change":
		for k := 0; float64(k)*f.EveryS < max(f.For, f.EveryS); k++ {
			one := t
			one.At, one.Size = experiment.S(f.At+float64(k)*f.EveryS), float64(k+1)
			s.Turns = append(s.Turns, one)
		}
		return
	case "restarts":
		for k, w := range t.Targets {
			on := t
			on.Targets, on.Kind = []int{w}, "kill"
			on.At += ledger.Time(float64(t.For) * float64(k) / float64(len(t.Targets)))
			off := on
			off.At, off.On = on.At+experiment.MS(f.Size), false
			s.Turns = append(s.Turns, on, off)
		}
		return
	case "shrink":
		for k, w := range t.Targets {
			one := t
			one.Targets, one.Kind = []int{w}, "drain"
			one.At += ledger.Time(float64(t.For) * float64(k) / float64(len(t.Targets)))
			one.For = -1
			s.Turns = append(s.Turns, one)
		}
		return
	}
	s.Turns = append(s.Turns, t)
	if f.For > 0 {
		t.At, t.On = t.At+experiment.S(f.For), false
		s.Turns = append(s.Turns, t)
	}
}

// chaos draws faults by chance.
func (s *Script) chaos(e *experiment.Experiment, r *rand.Rand) {
	c := &e.Chaos
	if len(c.Kinds) == 0 {
		return
	}
	between := func(row []float64) float64 { return row[0] + (row[1]-row[0])*r.Float64() }
	n := len(e.Faults)
	for at := c.EveryS * r.ExpFloat64(); at < e.Seconds; at += c.EveryS * r.ExpFloat64() {
		f := experiment.Fault{Kind: c.Kinds[r.IntN(len(c.Kinds))], At: at, For: between(c.ForS), Part: between(c.Part), Size: between(c.Size)}
		switch f.Kind {
		case "taken", "mute", "fails", "unfit":
			f.Size = min(f.Size/10, 0.9)
		case "pauses", "stale":
			f.Size *= 100
		case "cut":
			f.Zone, f.Part = e.Zones[r.IntN(len(e.Zones))], 0
		}
		s.add(e, r, &f, n)
		n++
	}
}

// Hash names a script: two that have the same are the same.
func (s *Script) Hash() string {
	h := fnv.New128a()
	put := func(v ...any) {
		for _, x := range v {
			if text, ok := x.(string); ok {
				io.WriteString(h, text)
				x = uint8(0)
			}
			binary.Write(h, binary.LittleEndian, x)
		}
	}
	for _, w := range s.Workers {
		put(w.Name, int64(w.Kind), w.Zone, int64(w.Cell), w.Speed, w.Seed)
	}
	for _, w := range s.Wishes {
		put(int64(w.Due), int64(w.Category), int64(w.Client), int64(w.Scheduler), w.Work, w.Slots, w.Hint, int64(w.LeaveAt),
			w.Trickles, w.Stalls, w.AsksAgain, w.Honours, w.Seed)
	}
	for _, t := range s.Turns {
		put(int64(t.At), t.Kind, t.On, t.Size, int64(t.For), t.Zone, int64(t.Fault))
		for _, i := range append(slices.Clone(t.Targets), t.To...) {
			put(int64(i))
		}
		if t.Way != "" && t.Way != "both" {
			put(t.Way)
		}
	}
	return fmt.Sprintf("%x", h.Sum(nil))
}
