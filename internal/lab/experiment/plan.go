// Package experiment holds what an experiment file says: the fleet, its schedulers, links, clients and faults. A file is
// TOML and read strictly: what is not known or makes no sense is one line with its place and the reason.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"woaddyke/internal/lab/ledger"
)

// Experiment is one file.
type Experiment struct {
	Name    string   `toml:"name"`
	Base    string   `toml:"base"` // another file, read before this one; lists given here stand in place of its own
	Seed    uint64   `toml:"seed"`
	Seconds float64  `toml:"seconds"` // of arrivals
	Settle  float64  `toml:"settle_s"`
	Zones   []string `toml:"zones"`
	// Regions are groups of zones; a link or a trouble may name one in place of a zone.
	Regions []Region `toml:"regions"`
	// Sizes are played one after another, each with that share of the workers and of the arrivals.
	Sizes []float64 `toml:"sizes"`
	// Expect are promises beyond the rules: a figure's name and what bounds it.
	Expect     []Expect   `toml:"expect"`
	Rules      Rules      `toml:"rules"`
	Schedulers Schedulers `toml:"schedulers"`
	Discovery  Discovery  `toml:"discovery"`
	Workers    []Workers  `toml:"workers"`
	Categories []Category `toml:"categories"`
	Arrivals   Arrivals   `toml:"arrivals"`
	Clients    Clients    `toml:"clients"`
	Links      []Link     `toml:"links"`
	Members    Members    `toml:"members"`
	Copies     Copies     `toml:"copies"`
	Faults     []Fault    `toml:"faults"`
	Chaos      Chaos      `toml:"chaos"`

	Dir string `toml:"-"` // of the file: what it names is looked for there
}

// Region is some zones.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// In tells whether a zone is the one named, or in the region of that name; no name is any.
func (e *Experiment) In(name, zone string) bool {
	if name == "" || name == zone {
		return true
	}
	for _, r := range e.Regions {
		if r.Name == name {
			return slices.Contains(r.Zones, zone)
		}
	}
	return false
}

// Expect bounds a figure of the results.
type Expect struct {
	Figure string   `toml:"figure"`
	Least  *float64 `toml:"least"`
	Most   *float64 `toml:"most"`
}

// Rules are the figures of the rules.
type Rules struct {
	SlackMS        float64 `toml:"slack_ms"`
	DrainGraceMS   float64 `toml:"drain_grace_ms"`
	OverloadFactor float64 `toml:"overload_factor"`
	TipAfterMS     float64 `toml:"tip_after_ms"`
	ColdFrom       float64 `toml:"cold_from"`
	WarmAfterMS    float64 `toml:"warm_after_ms"`
}

// Schedulers are the processes under test and what they are told.
type Schedulers struct {
	Count            int       `toml:"count"`
	Cores            float64   `toml:"cores"`
	MemoryMB         int       `toml:"memory_mb"`
	Sockets          int       `toml:"sockets"`
	MaxPushes        int       `toml:"max_pushes"`
	ConnectTimeoutMS float64   `toml:"connect_timeout_ms"`
	KeepaliveMS      float64   `toml:"keepalive_ms"`
	MaxRetryAfterMS  float64   `toml:"max_retry_after_ms"`
	Cancel           bool      `toml:"cancel"`
	Probes           bool      `toml:"probes"`
	StepMS           float64   `toml:"step_ms"`
	CrossPrice       float64   `toml:"cross_price"`
	Shares           []float64 `toml:"shares"` // of arrivals; equal where there are none
	Args             []string  `toml:"args"`   // after `serve`
	Log              string    `toml:"log"`
}

// Discovery is how the list of workers is told.
type Discovery struct {
	LateMS []float64 `toml:"late_ms"` // least and most
}

// Workers are some of one kind.
type Workers struct {
	Kind          string  `toml:"kind"`
	Count         int     `toml:"count"`
	Cores         float64 `toml:"cores"`
	Speed         float64 `toml:"speed"`
	SpeedSpread   float64 `toml:"speed_spread"` // a speed is drawn from 1-spread to 1+spread times this
	Slots         float64 `toml:"slots"`
	Memory        float64 `toml:"memory"`
	Queue         int     `toml:"queue"`
	CellSize      int     `toml:"cell_size"`
	ReportEveryMS float64 `toml:"report_every_ms"`
	ProgressMS    float64 `toml:"progress_ms"`
	ConnWorkMS    float64 `toml:"conn_work_ms"`
	ProbeWorkMS   float64 `toml:"probe_work_ms"`
	Connections   int     `toml:"connections"`
	ErrorRate     float64 `toml:"error_rate"`
	CancelDrops   bool    `toml:"cancel_drops"`
	// Hollow has one listener for each worker, and not one for each worker and scheduler: fleets of thousands.
	Hollow bool `toml:"hollow"`
}

// Category is one category of ops.
type Category struct {
	Name        string    `toml:"name"`
	Effect      string    `toml:"effect"`
	Scope       string    `toml:"scope"`
	WindowMS    float64   `toml:"window_ms"`
	Benefit     float64   `toml:"benefit"`
	LateBenefit float64   `toml:"late_benefit"`
	Share       float64   `toml:"share"`
	WorkMS      float64   `toml:"work_ms"`
	Dist        string    `toml:"dist"` // fixed, exponential, lognormal or pareto
	CV          float64   `toml:"cv"`
	Heaviest    float64   `toml:"heaviest"` // no op has more work than so many times the mean
	TargetMS    float64   `toml:"target_ms"`
	Stretch     float64   `toml:"stretch"`
	TTLMS       float64   `toml:"ttl_ms"`
	Slots       []float64 `toml:"slots"`  // chances of 1, 2, 4 slots
	Memory      float64   `toml:"memory"` // that a job needs beside its slots, in the unit of the workers' own
	BodyBytes   int       `toml:"body_bytes"`
	HintSpread  float64   `toml:"hint_spread"` // a hint is off by this factor at most; 0 for no hints
}

// Arrivals are when ops are due.
type Arrivals struct {
	Kind  string      `toml:"kind"`  // poisson, even, trace
	Rate  float64     `toml:"rate"`  // ops a second
	Steps [][]float64 `toml:"steps"` // [at_s, factor]: the rate is this factor from then on
	Ramp  bool        `toml:"ramp"`  // between two steps the factor goes evenly from one to the next
	Trace string      `toml:"trace"` // a file with lines "at_ms category"
}

// Clients are how they behave.
type Clients struct {
	Count     int       `toml:"count"`
	Shares    []float64 `toml:"shares"`
	Retries   int       `toml:"retries"`
	WaitMS    float64   `toml:"wait_ms"`
	Backoff   string    `toml:"backoff"` // none, fixed or exponential
	Honour    float64   `toml:"honour"`  // chance that a Retry-After is kept
	Leave     float64   `toml:"leave"`   // chance that a client leaves
	Trickle   float64   `toml:"trickle"` // chance that it sends byte by byte
	Stall     float64   `toml:"stall"`   // chance that it stops in the middle for a while
	AskAgain  float64   `toml:"ask_again"`
	Pipeline  float64   `toml:"pipeline"`     // chance that it sends behind a request whose answer it still awaits
	Impatient float64   `toml:"impatient_ms"` // those who leave do so after this
	SameID    bool      `toml:"same_id"`      // an at-most-once op that got no final answer is asked for again under its id, elsewhere
	AtOnce    float64   `toml:"at_once"`      // chance that it is asked for at two schedulers at one moment
	GoOn      bool      `toml:"go_on"`        // after SIGTERM new connections come for a while, and open ones are used to the end
}

// Link is what lies between two parties.
type Link struct {
	Between    string  `toml:"between"` // clients, workers or discovery: and the schedulers
	From       string  `toml:"from"`    // zone of the one, empty for any
	To         string  `toml:"to"`
	DelayMS    float64 `toml:"delay_ms"`
	JitterMS   float64 `toml:"jitter_ms"`
	RateKBps   float64 `toml:"rate_kbps"` // 1,000 bytes a second
	Stall      float64 `toml:"stall"`     // chance that a piece is held up, as a lost packet is
	StallMS    float64 `toml:"stall_ms"`
	ResetFirst float64 `toml:"reset_before"` // chance that an exchange breaks before its last byte
	ResetAfter float64 `toml:"reset_after"`  // chance that it breaks after that
	Mute       float64 `toml:"mute"`         // chance that a connection falls silent both ways
}

// Members has schedulers be members of one cluster, with a link between every ordered pair of them.
type Members struct {
	On       bool    `toml:"on"`
	Workers  bool    `toml:"workers"`   // a drain that one was told of binds the others
	Words    bool    `toml:"words"`     // words between schedulers go by the view
	Operator string  `toml:"operator"`  // further lines of the operator's table
	PauseMS  float64 `toml:"pause_ms"`  // one that stands still up to so long must not be called gone
	DetectMS float64 `toml:"detect_ms"` // one that is no more must be gone in all views within this
	SettleMS float64 `toml:"settle_ms"` // and views that can be must be the same after this
	GraceMS  float64 `toml:"grace_ms"`  // a word that one is gone may rest on what was so long ago
	Loss     float64 `toml:"loss"`      // of datagrams, on each link
	Dup      float64 `toml:"dup"`
	Reorder  float64 `toml:"reorder"`
	DelayMS  float64 `toml:"delay_ms"`
	JitterMS float64 `toml:"jitter_ms"`
	RateKBps float64 `toml:"rate_kbps"`
	Hollow   int     `toml:"hollow"` // further members, which share one process and have no clients
}

// Copies has the fates of at-most-once ops stand at some of the schedulers, the first ones.
type Copies struct {
	On       bool   `toml:"on"`
	Keepers  int    `toml:"keepers"`
	Operator string `toml:"operator"` // further lines of the operator's table
	Agreed   bool   `toml:"agreed"`   // keepers change by agreement, and their records last
}

// Fault is one trouble.
type Fault struct {
	Kind    string  `toml:"kind"`
	At      float64 `toml:"at_s"`
	For     float64 `toml:"for_s"`
	Part    float64 `toml:"part"`    // share of the workers or schedulers it hits
	Indices []int   `toml:"indices"` // or these, from 0
	Zone    string  `toml:"zone"`
	Size    float64 `toml:"size"`
	EveryS  float64 `toml:"every_s"` // for pauses, restarts and the like
	To      []int   `toml:"to"`      // mesh-: the other ends of the links, from 0; all others where there are none
	Way     string  `toml:"way"`     // mesh-: both, out (from those hit) or in
	Refuses bool    `toml:"refuses"` // mesh-: streams are reset, and not only silent
}

// Chaos draws faults by chance from the seed.
type Chaos struct {
	Kinds  []string  `toml:"kinds"`
	EveryS float64   `toml:"every_s"` // in the mean
	ForS   []float64 `toml:"for_s"`
	Part   []float64 `toml:"part"`
	Size   []float64 `toml:"size"`
}

// kinds of faults, and whether they need a size.
var kinds = map[string]struct {
	size, schedulers bool
	least, most      float64 // of the size
}{
	"slow":       {size: true, least: 1, most: 1000},
	"hang":       {},
	"pauses":     {size: true, least: 1, most: 60_000}, // ms each
	"taken":      {size: true, least: 0, most: 0.99},   // share of the cores
	"mute":       {size: true, least: 0, most: 1},
	"fails":      {size: true, least: 0, most: 1},
	"unfit":      {size: true, least: 0, most: 1},
	"lies":       {},
	"stale":      {size: true, least: 0, most: 60_000}, // ms
	"refuses":    {},
	"kill":       {},                                   // the worker's process; it is back after for_s, cold
	"drain":      {},                                   // told, drained and gone; a successor comes cold after for_s
	"drain-told": {},                                   // discovery tells that they drain, and they know nothing of it; gone after for_s, with a cold successor
	"vanish":     {},                                   // the machine says nothing more: connections stay open and silent
	"replace":    {},                                   // a rolling deploy: each is drained and followed by a cold one within for_s
	"shrink":     {},                                   // drained for good
	"cut":        {},                                   // a zone's links are silent
	"restarts":   {size: true, least: 1, most: 60_000}, // killed one after another within for_s, each back after so many ms, cold

	"region-cut": {}, // nothing passes between a region and the others

	"discovery-silent": {}, "discovery-broken": {}, "discovery-moved": {},

	"scheduler-kill": {schedulers: true}, "scheduler-term": {schedulers: true}, "scheduler-stop": {schedulers: true},
	"scheduler-reload": {schedulers: true}, "scheduler-stale": {schedulers: true},

	"mesh-cut":   {schedulers: true},                                     // links between those hit and the others pass nothing
	"mesh-flap":  {schedulers: true},                                     // the same, on and off every every_s
	"mesh-loss":  {schedulers: true, size: true, least: 0, most: 1},      // chance that a datagram is lost
	"mesh-delay": {schedulers: true, size: true, least: 0, most: 60_000}, // ms, and as much jitter

	"scheduler-pauses":   {schedulers: true, size: true, least: 1, most: 60_000}, // ms each, every every_s
	"scheduler-blind":    {schedulers: true},                                     // its discovery says nothing
	"scheduler-starve":   {schedulers: true, size: true, least: 0, most: 0.99},   // share of the time for which it stands still
	"scheduler-takeover": {schedulers: true},                                     // a second process takes its place
	"scheduler-hups":     {schedulers: true},                                     // several SIGHUPs within a few ms
	"scheduler-hup-term": {schedulers: true},                                     // SIGTERM right behind a SIGHUP; it is back after for_s
	"scheduler-terms":    {schedulers: true},                                     // SIGTERM again and again until it has ended; it is back after for_s
	"takeover-hups":      {schedulers: true},                                     // SIGHUPs while a second process takes its place
	"scheduler-crowd":    {schedulers: true},                                     // idle clients fill its descriptors, silent or with half a request, also at its console
	"scheduler-twin":     {schedulers: true},                                     // it is stopped, and a second process has its name elsewhere; after for_s it wakes up
	"scheduler-stranger": {schedulers: true},                                     // a member of another cluster knocks at it

	// Those of the soak, which brings what they need: see play.Shims.
	"scheduler-clock": {size: true, schedulers: true, least: -day, most: day}, // its wall clock is so many seconds ahead from then on
	"scheduler-calls": {size: true, schedulers: true, least: 1, most: 1e6},    // one in so many of its system calls on sockets fails
	"scheduler-late":  {size: true, schedulers: true, least: 0, most: 60_000}, // its connections come up so many ms late at most
	"scheduler-disk":  {schedulers: true},                                     // its writes and syncs of files fail

	"settings-change": {schedulers: true}, // every every_s, until for_s is over, one value of their settings is another

	"keepers-change": {schedulers: true}, // staff ask for those hit as keepers, at those of `to` or at any, until they stand or for_s is over

	"burst": {size: true, least: 0, most: 1000},
}

// KindsOf are the names of all faults, in order.
func KindsOf() []string {
	var names []string
	for k := range kinds {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// OfSchedulers tells whether a fault hits schedulers.
func OfSchedulers(kind string) bool { return kinds[kind].schedulers }

// Read reads an experiment from a file.
func Read(path string) (*Experiment, error) {
	e := defaults()
	if err := e.read(path, 0); err != nil {
		return nil, err
	}
	if err := e.fill(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	e.Dir = filepath.Dir(path)
	return e, nil
}

const mostBases = 4 // a file's base may have one too; a circle must end

// read reads a file over what is known, its base first.
func (e *Experiment) read(path string, depth int) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var base struct {
		Base string `toml:"base"`
	}
	// What else is wrong with the file is found below, with its place.
	if toml.Unmarshal(text, &base) == nil && base.Base != "" {
		if depth >= mostBases {
			return fmt.Errorf("%s: base: more than %d files deep", path, mostBases)
		}
		if !filepath.IsAbs(base.Base) {
			base.Base = filepath.Join(filepath.Dir(path), base.Base)
		}
		if err := e.read(base.Base, depth+1); err != nil {
			return err
		}
	}
	e.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if err := e.over(text); err != nil {
		return fmt.Errorf("%s:%w", path, err)
	}
	return nil
}

// over reads a text over what is known.
func (e *Experiment) over(text []byte) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(e); err != nil {
		return place(err)
	}
	return nil
}

// defaults are what a file need not say.
func defaults() *Experiment {
	return &Experiment{Seed: 1, Seconds: 10, Settle: 2, Zones: []string{"east", "west"},
		Rules: Rules{SlackMS: 50, DrainGraceMS: 2500, OverloadFactor: 2.5, TipAfterMS: 1500, ColdFrom: 0.3, WarmAfterMS: 8600},
		Schedulers: Schedulers{Count: 2, Cores: 1, MemoryMB: 192, Sockets: 1024, MaxPushes: 6, ConnectTimeoutMS: 200,
			KeepaliveMS: 10_000, MaxRetryAfterMS: 2000, Cancel: true, Probes: true, StepMS: 5, CrossPrice: 0.01, Log: "info"},
		Discovery: Discovery{LateMS: []float64{200, 1000}},
		Clients:   Clients{Count: 8, Backoff: "exponential", WaitMS: 100, Honour: 1, Impatient: 300},
		Arrivals:  Arrivals{Kind: "poisson", Rate: 50},
		Copies:    Copies{Keepers: 3},
		Members:   Members{PauseMS: 2000, DetectMS: 6000, SettleMS: 10_000, GraceMS: 8000},
	}
}

// Parse reads an experiment from its text, which has no base.
func Parse(text []byte) (*Experiment, error) {
	e := defaults()
	if err := e.over(text); err != nil {
		return nil, err
	}
	if err := e.fill(); err != nil {
		return nil, fmt.Errorf(" %w", err)
	}
	return e, nil
}

// place puts a decoder's error into one line with its place.
func place(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, col := strict.Errors[0].Position()
		return fmt.Errorf("%d:%d: no such key: %s", row, col, strings.Join(strict.Errors[0].Key(), "."))
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		row, col := bad.Position()
		return fmt.Errorf("%d:%d: %s", row, col, strings.TrimPrefix(bad.Error(), "toml: "))
	}
	return fmt.Errorf(" %w", err)
}

// number checks that a value lies in bounds.
func number(name string, v, least, most float64) error {
	if math.IsNaN(v) || v < least || v > most {
		return fmt.Errorf("%s = %g lies outside %g to %g", name, v, least, most)
	}
	return nil
}

// first is the first error of several.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func oneOf(name, v string, of ...string) error {
	if slices.Contains(of, v) {
		return nil
	}
	return fmt.Errorf("%s = %q is none of %s", name, v, strings.Join(of, ", "))
}

// Bounds on what a file may ask of the machine.
const (
	mostWorkers    = 16_384 // over twice of the 6,300 that docs/CAPACITY.md asks for
	mostSchedulers = 400    // each is a process
	mostMembers    = 480    // real and hollow ones: the addresses of a play
	mostRate       = 200_000
	mostSeconds    = 3600
	day            = 86_400_000 // ms
)

// fill puts in what is left out and checks the rest.
func (e *Experiment) fill() error {
	s, r, c := &e.Schedulers, &e.Rules, &e.Clients
	if err := first(
		number("seconds", e.Seconds, 0.1, mostSeconds), number("settle_s", e.Settle, 0, mostSeconds),
		number("rules.slack_ms", r.SlackMS, 0, day), number("rules.drain_grace_ms", r.DrainGraceMS, 0, day),
		number("rules.overload_factor", r.OverloadFactor, 0.1, 1000), number("rules.tip_after_ms", r.TipAfterMS, 0, day),
		number("rules.cold_from", r.ColdFrom, 0.01, 1), number("rules.warm_after_ms", r.WarmAfterMS, 0, day),
		number("schedulers.count", float64(s.Count), 1, mostSchedulers), number("schedulers.cores", s.Cores, 0.05, 64),
		number("schedulers.memory_mb", float64(s.MemoryMB), 32, 1<<20),
		number("schedulers.sockets", float64(s.Sockets), 64, 1<<20),
		number("schedulers.max_pushes", float64(s.MaxPushes), 1, 100),
		number("schedulers.connect_timeout_ms", s.ConnectTimeoutMS, 1, day),
		number("schedulers.keepalive_ms", s.KeepaliveMS, 1, day),
		number("schedulers.max_retry_after_ms", s.MaxRetryAfterMS, 0, day),
		number("schedulers.step_ms", s.StepMS, 0.1, day),
		oneOf("schedulers.log", s.Log, "debug", "info", "warn", "error"),
		number("clients.count", float64(c.Count), 1, 100_000), number("clients.retries", float64(c.Retries), 0, 100),
		number("clients.wait_ms", c.WaitMS, 0, day), number("clients.honour", c.Honour, 0, 1),
		number("clients.leave", c.Leave, 0, 1), number("clients.trickle", c.Trickle, 0, 1),
		number("clients.stall", c.Stall, 0, 1), number("clients.ask_again", c.AskAgain, 0, 1), number("clients.pipeline", c.Pipeline, 0, 1), number("clients.at_once", c.AtOnce, 0, 1),
		oneOf("clients.backoff", c.Backoff, "none", "fixed", "exponential"),
		oneOf("arrivals.kind", e.Arrivals.Kind, "poisson", "even", "trace"),
		number("arrivals.rate", e.Arrivals.Rate, 0, mostRate),
	); err != nil {
		return err
	}
	if k := e.Copies.Keepers; e.Copies.On && (!e.Members.On || k < 1 || k%2 == 0 || k > s.Count) {
		return fmt.Errorf("copies.keepers = %d: an odd number of the schedulers is wanted, and members.on", k)
	}
	m := &e.Members
	if err := first(number("members.pause_ms", m.PauseMS, 0, day), number("members.detect_ms", m.DetectMS, 1, day),
		number("members.settle_ms", m.SettleMS, 1, day), number("members.grace_ms", m.GraceMS, 1, day), number("members.loss", m.Loss, 0, 1),
		number("members.dup", m.Dup, 0, 1), number("members.reorder", m.Reorder, 0, 1), number("members.delay_ms", m.DelayMS, 0, day),
		number("members.jitter_ms", m.JitterMS, 0, day), number("members.rate_kbps", m.RateKBps, 0, 1e9)); err != nil {
		return err
	}
	for i, r := range e.Regions {
		for _, z := range r.Zones {
			if !slices.Contains(e.Zones, z) {
				return fmt.Errorf("regions[%d].zones: %q is no zone", i, z)
			}
		}
		if r.Name == "" || slices.Contains(e.Zones, r.Name) || len(r.Zones) == 0 {
			return fmt.Errorf("regions[%d].name = %q: a name that is no zone's is wanted, and zones", i, r.Name)
		}
	}
	for i, f := range e.Sizes {
		if err := number(fmt.Sprintf("sizes[%d]", i), f, 0.001, 10); err != nil {
			return err
		}
		if e.Arrivals.Kind == "trace" {
			return errors.New("sizes: a trace has its own rate")
		}
	}
	if m.Hollow != 0 && (!m.On || m.Hollow < 0 || m.Hollow+s.Count > mostMembers) {
		return fmt.Errorf("members.hollow = %d: members.on is wanted, and %d members at most with the schedulers", m.Hollow, mostMembers)
	}
	if len(e.Zones) == 0 {
		return errors.New("zones: there must be one")
	}
	if l := e.Discovery.LateMS; len(l) != 2 || l[0] < 0 || l[1] < l[0] || l[1] > day {
		return fmt.Errorf("discovery.late_ms = %v: least and most are wanted", l)
	}
	if len(s.Shares) > 0 && len(s.Shares) != s.Count {
		return fmt.Errorf("schedulers.shares: %d for %d schedulers", len(s.Shares), s.Count)
	}
	return first(e.fillWorkers(), e.fillCategories(), e.fillLinks(), e.fillFaults(), e.fillSteps())
}

func orElse[T int | float64](v *T, otherwise T) {
	if *v == 0 {
		*v = otherwise
	}
}

func (e *Experiment) fillWorkers() error {
	all := 0
	for i := range e.Workers {
		w := &e.Workers[i]
		at := fmt.Sprintf("workers[%d].", i)
		orElse(&w.Cores, 4)
		orElse(&w.Speed, 1)
		orElse(&w.Slots, w.Cores)
		orElse(&w.Queue, int(7*w.Cores))
		orElse(&w.CellSize, 3)
		orElse(&w.ReportEveryMS, 50)
		orElse(&w.Connections, 3000)
		if w.Kind == "" {
			w.Kind = fmt.Sprintf("kind%d", i)
		}
		if err := first(number(at+"count", float64(w.Count), 1, mostWorkers), number(at+"cores", w.Cores, 0.1, 1024),
			number(at+"speed", w.Speed, 0.001, 1000), number(at+"speed_spread", w.SpeedSpread, 0, 0.95),
			number(at+"slots", w.Slots, 1, 4096), number(at+"queue", float64(w.Queue), 0, 1e6),
			number(at+"cell_size", float64(w.CellSize), 1, 1e6), number(at+"report_every_ms", w.ReportEveryMS, 0, day),
			number(at+"progress_ms", w.ProgressMS, 0, day), number(at+"conn_work_ms", w.ConnWorkMS, 0, 1000),
			number(at+"probe_work_ms", w.ProbeWorkMS, 0, 1000), number(at+"error_rate", w.ErrorRate, 0, 1),
			number(at+"connections", float64(w.Connections), 1, 1e6), number(at+"memory", w.Memory, 0, 1e9)); err != nil {
			return err
		}
		all += w.Count
	}
	if all == 0 || all > mostWorkers {
		return fmt.Errorf("workers: %d; there must be 1 to %d", all, mostWorkers)
	}
	return nil
}

func (e *Experiment) fillCategories() error {
	shares := 0.0
	seen := map[string]bool{}
	for i := range e.Categories {
		c := &e.Categories[i]
		at := fmt.Sprintf("categories[%d].", i)
		orElse(&c.Benefit, 1)
		orElse(&c.Share, 1)
		orElse(&c.WorkMS, 50)
		orElse(&c.TTLMS, 5000)
		orElse(&c.TargetMS, 300)
		orElse(&c.Stretch, 2)
		orElse(&c.CV, 1)
		orElse(&c.Heaviest, 8) // far heavier ones could not end within any TTL that suits the rest
		if c.Dist == "" {
			c.Dist = "exponential"
		}
		if c.Effect == "" {
			c.Effect = ledger.Redeliverable
		}
		if c.Effect == ledger.Deduplicated {
			orElse(&c.WindowMS, 7500)
			if c.Scope == "" {
				c.Scope = "zone"
			}
		}
		if len(c.Slots) == 0 {
			c.Slots = []float64{1}
		}
		if err := first(oneOf(at+"effect", c.Effect, ledger.Redeliverable, ledger.Deduplicated, ledger.AtMostOnce),
			oneOf(at+"dist", c.Dist, "fixed", "exponential", "lognormal", "pareto"),
			number(at+"window_ms", c.WindowMS, 0, day), number(at+"benefit", c.Benefit, 0, 1e6),
			number(at+"late_benefit", c.LateBenefit, 0, 1), number(at+"share", c.Share, 0, 1e6),
			number(at+"work_ms", c.WorkMS, 0.01, day), number(at+"cv", c.CV, 0.01, 20),
			number(at+"heaviest", c.Heaviest, 1, 1000),
			number(at+"target_ms", c.TargetMS, 1, day), number(at+"stretch", c.Stretch, 0, 1000),
			number(at+"ttl_ms", c.TTLMS, 20, day), number(at+"body_bytes", float64(c.BodyBytes), 0, 64<<10),
			number(at+"hint_spread", c.HintSpread, 0, 100), number(at+"memory", c.Memory, 0, 1e9)); err != nil {
			return err
		}
		if c.Effect == ledger.Deduplicated {
			if err := oneOf(at+"scope", c.Scope, "all", "zone", "cell"); err != nil {
				return err
			}
		} else if c.Scope != "" {
			return fmt.Errorf("%sscope goes with effect = %q only", at, ledger.Deduplicated)
		}
		if c.Name == "" || seen[c.Name] {
			return fmt.Errorf("%sname = %q: each category has a name of its own", at, c.Name)
		}
		if len(c.Slots) > 3 {
			return fmt.Errorf("%sslots: chances of 1, 2 and 4 slots are wanted", at)
		}
		seen[c.Name] = true
		shares += c.Share
	}
	if len(e.Categories) == 0 || shares <= 0 {
		return errors.New("categories: there must be one with a share")
	}
	return nil
}

func (e *Experiment) fillLinks() error {
	for i, l := range e.Links {
		at := fmt.Sprintf("links[%d].", i)
		if err := first(oneOf(at+"between", l.Between, "clients", "workers", "discovery"),
			number(at+"delay_ms", l.DelayMS, 0, day), number(at+"jitter_ms", l.JitterMS, 0, day),
			number(at+"rate_kbps", l.RateKBps, 0, 1e9), number(at+"stall", l.Stall, 0, 1),
			number(at+"stall_ms", l.StallMS, 0, day), number(at+"reset_before", l.ResetFirst, 0, 1),
			number(at+"reset_after", l.ResetAfter, 0, 1), number(at+"mute", l.Mute, 0, 1),
			e.zone(at+"from", l.From), e.zone(at+"to", l.To)); err != nil {
			return err
		}
	}
	return nil
}

func (e *Experiment) zone(name, z string) error {
	if z == "" || slices.Contains(e.Zones, z) || slices.ContainsFunc(e.Regions, func(r Region) bool { return r.Name == z }) {
		return nil
	}
	return fmt.Errorf("%s = %q is no zone", name, z)
}

func (e *Experiment) fillFaults() error {
	for i := range e.Faults {
		f := &e.Faults[i]
		at := fmt.Sprintf("faults[%d].", i)
		k, ok := kinds[f.Kind]
		if !ok {
			return fmt.Errorf("%skind = %q is none of %s", at, f.Kind, strings.Join(KindsOf(), ", "))
		}
		if len(f.Indices) == 0 && f.Part == 0 && f.Zone == "" {
			f.Part = 1
		}
		if err := first(number(at+"at_s", f.At, 0, mostSeconds), number(at+"for_s", f.For, 0, mostSeconds),
			number(at+"part", f.Part, 0, 1), number(at+"every_s", f.EveryS, 0, mostSeconds), e.zone(at+"zone", f.Zone)); err != nil {
			return err
		}
		if k.size {
			if err := number(at+"size", f.Size, k.least, k.most); err != nil {
				return err
			}
		}
		limit := 0
		for _, w := range e.Workers {
			limit += w.Count
		}
		if k.schedulers {
			limit = e.Schedulers.Count
		}
		for _, n := range f.Indices {
			if n < 0 || n >= limit {
				return fmt.Errorf("%sindices: %d is none of 0 to %d", at, n, limit-1)
			}
		}
		for _, n := range f.To {
			if n < 0 || n >= e.Schedulers.Count {
				return fmt.Errorf("%sto: %d is none of 0 to %d", at, n, e.Schedulers.Count-1)
			}
		}
		if f.Way == "" {
			f.Way = "both"
		}
		if err := oneOf(at+"way", f.Way, "both", "out", "in"); err != nil {
			return err
		}
		if !e.Members.On && (strings.HasPrefix(f.Kind, "mesh-") || f.Kind == "scheduler-takeover" || f.Kind == "takeover-hups" || f.Kind == "scheduler-twin" || f.Kind == "scheduler-stranger") {
			return fmt.Errorf("%skind = %q: members.on is not set", at, f.Kind)
		}
		if f.Kind == "settings-change" && (!e.Members.On || f.EveryS <= 0) {
			return fmt.Errorf("%skind = %q: members.on is wanted, and every_s", at, f.Kind)
		}
		if f.Kind == "keepers-change" && (!e.Copies.Agreed || len(f.Indices)%2 == 0) {
			return fmt.Errorf("%skind = %q: an odd number of indices is wanted, and copies.agreed", at, f.Kind)
		}
		if f.Kind == "region-cut" && !slices.ContainsFunc(e.Regions, func(r Region) bool { return r.Name == f.Zone }) {
			return fmt.Errorf("%szone = %q: a region is wanted", at, f.Zone)
		}
		if f.Kind == "cut" && f.Zone == "" {
			return fmt.Errorf("%szone is wanted", at)
		}
	}
	c := &e.Chaos
	for _, k := range c.Kinds {
		if _, ok := kinds[k]; !ok {
			return fmt.Errorf("chaos.kinds: %q is none of %s", k, strings.Join(KindsOf(), ", "))
		}
	}
	if len(c.Kinds) == 0 {
		return nil
	}
	for _, row := range []struct {
		name      string
		v         *[]float64
		otherwise []float64
	}{{"for_s", &c.ForS, []float64{1, 4}}, {"part", &c.Part, []float64{0.1, 0.4}}, {"size", &c.Size, []float64{2, 8}}} {
		if len(*row.v) == 0 {
			*row.v = row.otherwise
		}
		if v := *row.v; len(v) != 2 || v[0] < 0 || v[1] < v[0] {
			return fmt.Errorf("chaos.%s = %v: least and most are wanted", row.name, v)
		}
	}
	return number("chaos.every_s", c.EveryS, 0.1, mostSeconds)
}

func (e *Experiment) fillSteps() error {
	last := -1.0
	for i, s := range e.Arrivals.Steps {
		if len(s) != 2 || s[0] <= last || s[1] < 0 || s[1] > 1000 {
			return fmt.Errorf("arrivals.steps[%d] = %v: [at_s, factor] in order of time is wanted", i, s)
		}
		last = s[0]
	}
	if e.Arrivals.Kind == "trace" && e.Arrivals.Trace == "" {
		return errors.New("arrivals.trace: a file is wanted")
	}
	if e.Arrivals.Kind != "trace" && e.Arrivals.Rate <= 0 {
		return errors.New("arrivals.rate: ops a second are wanted")
	}
	for i, x := range e.Expect {
		if x.Figure == "" || x.Least == nil && x.Most == nil {
			return fmt.Errorf("expect[%d]: a figure and least or most are wanted", i)
		}
	}
	return nil
}

// WorkerCount is how many workers there are.
func (e *Experiment) WorkerCount() (n int) {
	for _, w := range e.Workers {
		n += w.Count
	}
	return n
}

// Sized is the same experiment with that share of its workers and arrivals.
func (e *Experiment) Sized(share float64) (*Experiment, error) {
	s := *e
	s.Sizes, s.Workers, s.Faults = nil, slices.Clone(e.Workers), slices.Clone(e.Faults)
	s.Name = fmt.Sprintf("%s-%g", e.Name, share)
	s.Arrivals.Rate *= share
	for i := range s.Workers {
		s.Workers[i].Count = max(int(math.Round(float64(e.Workers[i].Count)*share)), 1)
	}
	if err := s.fill(); err != nil { // a trouble may name a worker that is not there
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	return &s, nil
}

// MS is a number of milliseconds in the ledger's unit, rounded down.
func MS(ms float64) ledger.Time { return ledger.Time(math.Floor(ms*10 + 1e-6)) }

// S is a number of seconds in the ledger's unit.
func S(s float64) ledger.Time { return MS(1000 * s) }

// Judged are the rules as the audit takes them.
func (e *Experiment) Judged() *ledger.Rules {
	r := &ledger.Rules{Slack: MS(e.Rules.SlackMS), DrainGrace: MS(e.Rules.DrainGraceMS), OverloadFactor: e.Rules.OverloadFactor,
		TipAfter: MS(e.Rules.TipAfterMS), ColdFrom: e.Rules.ColdFrom, WarmAfter: MS(e.Rules.WarmAfterMS),
		Categories: map[string]ledger.Category{}}
	longest, shares := 0.0, 0.0
	for _, c := range e.Categories {
		wide, chances := 0.0, 0.0
		for k, chance := range c.Slots { // of 1, 2 and 4 slots
			wide, chances = wide+chance*float64(int(1)<<k), chances+chance
		}
		r.MeanWork, shares = r.MeanWork+c.Share*c.WorkMS*wide/chances, shares+c.Share
		r.Categories[c.Name] = ledger.Category{Effect: c.Effect, Scope: c.Scope, Window: MS(c.WindowMS)}
		longest = max(longest, c.TTLMS)
	}
	r.MeanWork /= shares
	r.KillAfter = MS(min(longest, 3000) + 700)
	return r
}

// Longest is the longest TTL of all categories.
func (e *Experiment) Longest() time.Duration {
	longest := 0.0
	for _, c := range e.Categories {
		longest = max(longest, c.TTLMS)
	}
	return time.Duration(longest * float64(time.Millisecond))
}
