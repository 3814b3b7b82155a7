// Package workload draws all random choices of an experiment from its seed before the run: when requests
// arrive and what they need, how clients behave, how fast each worker is, and when faults begin and end. The
// same file and seed give the same workload, whatever the program under test does.
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

// Request is one request of a client. The first attempt and each retry of the client is an op.
type Request struct {
	ArrivalTime       ledger.Time // when the first attempt is sent
	Category          int
	Client            int
	Scheduler         int     // from 0, receives the first attempt
	Work              float64 // ms
	Slots             float64
	Hint              float64     // the client's estimate of the work in ms, 0 for none
	DisconnectAfter   ledger.Time // time from sending the request to the client's disconnect, 0 for none
	Trickles          bool        // the client sends byte by byte
	Stalls            bool        // the client pauses in the middle of the request
	SendsDuplicate    bool        // the client sends a duplicate
	HonoursRetryAfter bool        // the client waits as Retry-After says
	Seed              uint64      // for the client's backoff
}

// FaultEvent begins or ends a fault.
type FaultEvent struct {
	At           ledger.Time
	Kind         string
	Begins       bool
	Targets      []int // indices of workers or schedulers, from 0
	Magnitude    float64
	Duration     ledger.Time
	Zone         string
	FaultID      int   // the same for all events of a fault
	To           []int // indices of the schedulers at the other ends of the links, empty for all
	Direction    string
	ResetStreams bool
}

// Worker holds the drawn properties of a worker.
type Worker struct {
	Name  string
	Kind  int
	Zone  string
	Cell  int
	Speed float64
	Seed  uint64
}

// Workload holds all random choices of a run. Requests and fault events are in order of time.
type Workload struct {
	Requests    []Request
	FaultEvents []FaultEvent
	Workers     []Worker
}

// maxRequests bounds the requests of a workload.
const maxRequests = 5_000_000

// Generate draws the workload of an experiment.
func Generate(e *experiment.Experiment) (*Workload, error) {
	s := &Workload{}
	s.addWorkers(e, newRand(e.Seed, "workers"))
	s.addFaults(e, newRand(e.Seed, "faults"))
	s.addRandomFaults(e, newRand(e.Seed, "chaos"))
	slices.SortStableFunc(s.FaultEvents, func(a, b FaultEvent) int { return cmp.Compare(a.At, b.At) })
	if err := s.addRequests(e, newRand(e.Seed, "wishes")); err != nil {
		return nil, err
	}
	return s, nil
}

// newRand returns a random source for one kind of choice. Separate sources keep the draws independent: an
// additional worker must not change the arrivals.
func newRand(seed uint64, purpose string) *rand.Rand {
	h := fnv.New64a()
	io.WriteString(h, purpose)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func (s *Workload) addWorkers(e *experiment.Experiment, r *rand.Rand) {
	n := 0
	cells, cellWorkers := map[string]int{}, map[string]int{}
	nextCell := 0
	for k, w := range e.Workers {
		for range w.Count {
			zone := e.Zones[n%len(e.Zones)]
			// No two zones share a cell.
			if _, ok := cells[zone]; !ok || cellWorkers[zone] >= w.CellSize {
				cells[zone], cellWorkers[zone] = nextCell, 0
				nextCell++
			}
			cellWorkers[zone]++
			s.Workers = append(s.Workers, Worker{Name: fmt.Sprintf("w%03d", n), Kind: k, Zone: zone, Cell: cells[zone],
				Speed: w.Speed * (1 + w.SpeedSpread*(2*r.Float64()-1)), Seed: r.Uint64()})
			n++
		}
	}
}

// pickWeighted draws an index with a probability in proportion to its weight.
func pickWeighted(r *rand.Rand, weights []float64) int {
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

// DrawWork draws an amount of work from a distribution with a mean and a coefficient of variation.
func DrawWork(r *rand.Rand, dist string, mean, cv float64) float64 {
	switch dist {
	case "fixed":
		return mean
	case "lognormal":
		v := math.Log(1 + cv*cv)
		return mean * math.Exp(math.Sqrt(v)*r.NormFloat64()-v/2)
	case "pareto":
		a := 1 + math.Sqrt(1+1/(cv*cv)) // the shape with this coefficient of variation
		return mean * (a - 1) / a * math.Pow(1-r.Float64(), -1/a)
	}
	return mean * r.ExpFloat64()
}

// rateFactor returns the factor by which steps and bursts change the arrival rate at a time in seconds.
func rateFactor(e *experiment.Experiment, at float64) float64 {
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
	for _, burst := range e.Faults {
		if burst.Kind == "burst" && at >= burst.StartS && at < burst.StartS+burst.DurationS {
			f *= burst.Magnitude
		}
	}
	return f
}

func (s *Workload) addRequests(e *experiment.Experiment, r *rand.Rand) error {
	shares := make([]float64, len(e.Categories))
	for i, c := range e.Categories {
		shares[i] = c.Share
	}
	if e.Arrivals.Kind == "trace" {
		return s.addTraceRequests(e, r)
	}
	maxFactor := 0.0
	for at := 0.0; at < e.Seconds; at += 0.01 {
		maxFactor = max(maxFactor, rateFactor(e, at))
	}
	if n := maxFactor * e.Arrivals.Rate * e.Seconds; n > maxRequests {
		return fmt.Errorf("arrivals: about %.0f ops; at most %d are allowed", n, maxRequests)
	}
	if maxFactor == 0 {
		return nil
	}
	for at := 0.0; ; {
		gap := 1.0
		if e.Arrivals.Kind == "poisson" {
			gap = r.ExpFloat64()
		}
		if e.Arrivals.Kind == "even" {
			f := rateFactor(e, at)
			if f <= 0 {
				at += 0.01
				if at >= e.Seconds {
					return nil
				}
				continue
			}
			at += gap / (e.Arrivals.Rate * f)
		} else {
			at += gap / (e.Arrivals.Rate * maxFactor)
		}
		if at >= e.Seconds {
			return nil
		}
		if e.Arrivals.Kind == "poisson" && r.Float64()*maxFactor >= rateFactor(e, at) { // thinning
			continue
		}
		s.Requests = append(s.Requests, newRequest(e, r, at, pickWeighted(r, shares)))
	}
}

// newRequest draws a request that arrives at a time in seconds.
func newRequest(e *experiment.Experiment, r *rand.Rand, at float64, category int) Request {
	c, cl := &e.Categories[category], &e.Clients
	w := Request{ArrivalTime: experiment.FromSeconds(at), Category: category, Seed: r.Uint64()}
	w.Work = min(max(DrawWork(r, c.Dist, c.WorkMS, c.CV), 0.01), c.MaxWorkFactor*c.WorkMS)
	w.Slots = []float64{1, 2, 4}[pickWeighted(r, c.Slots)]
	if c.HintSpread > 0 {
		w.Hint = w.Work * math.Pow(1+c.HintSpread, 2*r.Float64()-1)
	}
	if w.Client = r.IntN(cl.Count); len(cl.Shares) > 0 {
		w.Client = pickWeighted(r, cl.Shares)
	}
	if len(e.Schedulers.Shares) > 0 {
		w.Scheduler = pickWeighted(r, e.Schedulers.Shares)
	} else {
		w.Scheduler = r.IntN(e.Schedulers.Count)
	}
	// All chances are drawn even if the file disables them, so that enabling one changes no other draw.
	disconnect, trickle, stall, duplicate, honour := r.Float64(), r.Float64(), r.Float64(), r.Float64(), r.Float64()
	if disconnect < cl.DisconnectChance {
		w.DisconnectAfter = max(experiment.FromMilliseconds(cl.DisconnectAfterMS*(0.5+disconnect/cl.DisconnectChance)), 1)
	}
	w.Trickles, w.Stalls, w.SendsDuplicate, w.HonoursRetryAfter = trickle < cl.TrickleChance, stall < cl.StallChance,
		duplicate < cl.DuplicateChance, honour < cl.HonourRetryAfter
	return w
}

// addTraceRequests reads the arrivals from a trace file. Each line holds a time in ms and a category.
func (s *Workload) addTraceRequests(e *experiment.Experiment, r *rand.Rand) error {
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
			return fmt.Errorf("%s:%d: %q: want a time in ms and a category", path, n, line)
		}
		at, err := strconv.ParseFloat(fields[0], 64)
		c, ok := names[fields[1]]
		switch {
		case err != nil || math.IsNaN(at) || at < last || at > 3_600_000:
			return fmt.Errorf("%s:%d: %q is not a time in ms from the previous one to 3600000", path, n, fields[0])
		case !ok:
			return fmt.Errorf("%s:%d: category %q does not exist", path, n, fields[1])
		case len(s.Requests) >= maxRequests:
			return fmt.Errorf("%s:%d: more than %d requests", path, n, maxRequests)
		}
		last = at
		s.Requests = append(s.Requests, newRequest(e, r, at/1000, c))
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("arrivals.trace: %w", err)
	}
	return nil
}

// faultTargets returns the indices of the workers or schedulers that a fault hits.
func (s *Workload) faultTargets(e *experiment.Experiment, r *rand.Rand, f *experiment.Fault) []int {
	if len(f.Indices) > 0 {
		return slices.Clone(f.Indices)
	}
	count := len(s.Workers)
	if experiment.TargetsSchedulers(f.Kind) {
		count = e.Schedulers.Count
	}
	var targets []int
	for i := range count {
		if f.Zone == "" || experiment.TargetsSchedulers(f.Kind) || e.ZoneMatches(f.Zone, s.Workers[i].Zone) {
			targets = append(targets, i)
		}
	}
	if f.Fraction == 0 {
		return targets
	}
	r.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	targets = targets[:min(len(targets), max(1, int(math.Round(f.Fraction*float64(len(targets))))))]
	slices.Sort(targets)
	return targets
}

func (s *Workload) addFaults(e *experiment.Experiment, r *rand.Rand) {
	for i := range e.Faults {
		f := &e.Faults[i]
		s.addFault(e, r, f, i)
	}
}

// addFault adds the events of a fault. All of them have the same id.
func (s *Workload) addFault(e *experiment.Experiment, r *rand.Rand, f *experiment.Fault, id int) {
	t := FaultEvent{At: experiment.FromSeconds(f.StartS), Kind: f.Kind, Begins: true, Targets: s.faultTargets(e, r, f),
		Magnitude: f.Magnitude, Duration: experiment.FromSeconds(f.DurationS), Zone: f.Zone,
		FaultID: id, To: f.To, Direction: f.Direction, ResetStreams: f.ResetStreams}
	switch f.Kind {
	case "mesh-flap":
		interval := max(f.EveryS, 0.05)
		if f.EveryS == 0 {
			interval = 0.7
		}
		begins := true
		for at := f.StartS; at < f.StartS+f.DurationS; at += interval {
			event := t
			event.At, event.Kind, event.Begins = experiment.FromSeconds(at), "mesh-cut", begins
			s.FaultEvents, begins = append(s.FaultEvents, event), !begins
		}
		t.At, t.Kind, t.Begins = experiment.FromSeconds(f.StartS+f.DurationS), "mesh-cut", false
		s.FaultEvents = append(s.FaultEvents, t)
		return
	case "pauses", "scheduler-pauses": // pauses of size ms at intervals of about every_s
		kind := "hang"
		if f.Kind == "scheduler-pauses" {
			kind = "scheduler-stop"
		}
		interval := f.EveryS
		if interval == 0 {
			interval = 1
		}
		for at := f.StartS; at < f.StartS+max(f.DurationS, 0.001); at += interval * (0.5 + r.Float64()) {
			begin, end := t, t
			begin.At, begin.Kind = experiment.FromSeconds(at), kind
			end.At, end.Kind, end.Begins = experiment.FromSeconds(at)+experiment.FromMilliseconds(f.Magnitude), kind, false
			s.FaultEvents = append(s.FaultEvents, begin, end)
		}
		return
	case "replace": // workers are replaced one after another within for_s
		for k, w := range t.Targets {
			event := t
			event.Targets, event.Kind = []int{w}, "drain"
			event.At += ledger.Time(float64(t.Duration) * float64(k) / float64(len(t.Targets)))
			event.Duration = 10_000 // the successor starts after 1 s
			s.FaultEvents = append(s.FaultEvents, event)
		}
		return
	case "settings-change":
		for k := 0; float64(k)*f.EveryS < max(f.DurationS, f.EveryS); k++ {
			event := t
			event.At, event.Magnitude = experiment.FromSeconds(f.StartS+float64(k)*f.EveryS), float64(k+1)
			s.FaultEvents = append(s.FaultEvents, event)
		}
		return
	case "restarts":
		for k, w := range t.Targets {
			begin := t
			begin.Targets, begin.Kind = []int{w}, "kill"
			begin.At += ledger.Time(float64(t.Duration) * float64(k) / float64(len(t.Targets)))
			end := begin
			end.At, end.Begins = begin.At+experiment.FromMilliseconds(f.Magnitude), false
			s.FaultEvents = append(s.FaultEvents, begin, end)
		}
		return
	case "shrink":
		for k, w := range t.Targets {
			event := t
			event.Targets, event.Kind = []int{w}, "drain"
			event.At += ledger.Time(float64(t.Duration) * float64(k) / float64(len(t.Targets)))
			event.Duration = -1 // no successor
			s.FaultEvents = append(s.FaultEvents, event)
		}
		return
	}
	s.FaultEvents = append(s.FaultEvents, t)
	if f.DurationS > 0 {
		t.At, t.Begins = t.At+experiment.FromSeconds(f.DurationS), false
		s.FaultEvents = append(s.FaultEvents, t)
	}
}

// addRandomFaults draws faults as the chaos table says.
func (s *Workload) addRandomFaults(e *experiment.Experiment, r *rand.Rand) {
	c := &e.Chaos
	if len(c.Kinds) == 0 {
		return
	}
	uniform := func(bounds []float64) float64 { return bounds[0] + (bounds[1]-bounds[0])*r.Float64() }
	id := len(e.Faults)
	for at := c.EveryS * r.ExpFloat64(); at < e.Seconds; at += c.EveryS * r.ExpFloat64() {
		f := experiment.Fault{Kind: c.Kinds[r.IntN(len(c.Kinds))], StartS: at, DurationS: uniform(c.DurationS),
			Fraction: uniform(c.Fraction), Magnitude: uniform(c.Magnitude)}
		switch f.Kind {
		case "taken", "mute", "fails", "unfit":
			f.Magnitude = min(f.Magnitude/10, 0.9)
		case "pauses", "stale":
			f.Magnitude *= 100
		case "cut":
			f.Zone, f.Fraction = e.Zones[r.IntN(len(e.Zones))], 0
		}
		s.addFault(e, r, &f, id)
		id++
	}
}

// Hash returns a hash of the whole workload. Equal hashes mean equal workloads.
func (s *Workload) Hash() string {
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
	for _, w := range s.Requests {
		put(int64(w.ArrivalTime), int64(w.Category), int64(w.Client), int64(w.Scheduler), w.Work, w.Slots, w.Hint, int64(w.DisconnectAfter),
			w.Trickles, w.Stalls, w.SendsDuplicate, w.HonoursRetryAfter, w.Seed)
	}
	for _, t := range s.FaultEvents {
		put(int64(t.At), t.Kind, t.Begins, t.Magnitude, int64(t.Duration), t.Zone, int64(t.FaultID))
		for _, i := range append(slices.Clone(t.Targets), t.To...) {
			put(int64(i))
		}
		if t.Direction != "" && t.Direction != "both" {
			put(t.Direction)
		}
	}
	return fmt.Sprintf("%x", h.Sum(nil))
}
