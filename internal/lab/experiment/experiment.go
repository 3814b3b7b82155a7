// Package experiment reads experiment files. A file describes the workers, schedulers, links, clients and
// faults of a run in TOML. An unknown key or an invalid value gives an error of one line with the position
// and the reason.
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

// Experiment holds the contents of an experiment file.
type Experiment struct {
	Name    string   `toml:"name"`
	Base    string   `toml:"base"` // file that is read first; a list in this file replaces that of the base
	Seed    uint64   `toml:"seed"`
	Seconds float64  `toml:"seconds"` // time during which requests arrive
	Settle  float64  `toml:"settle_s"`
	Zones   []string `toml:"zones"`
	// Regions are groups of zones. A link or a fault may name a region instead of a zone.
	Regions []Region `toml:"regions"`
	// Sizes lists factors. The experiment runs once for each of them, with its worker counts and its arrival
	// rate multiplied by the factor.
	Sizes []float64 `toml:"sizes"`
	// Expectations lists bounds on figures, which are checked in addition to the rules.
	Expectations []Expectation `toml:"expect"`
	Rules        Rules         `toml:"rules"`
	Schedulers   Schedulers    `toml:"schedulers"`
	Discovery    Discovery     `toml:"discovery"`
	Workers      []Workers     `toml:"workers"`
	Categories   []Category    `toml:"categories"`
	Arrivals     Arrivals      `toml:"arrivals"`
	Clients      Clients       `toml:"clients"`
	Links        []Link        `toml:"links"`
	Members      Members       `toml:"members"`
	Replication  Replication   `toml:"copies"`
	Faults       []Fault       `toml:"faults"`
	Chaos        Chaos         `toml:"chaos"`

	Dir string `toml:"-"` // folder of the file; relative paths in the file start here
}

// Region is a named group of zones.
type Region struct {
	Name  string   `toml:"name"`
	Zones []string `toml:"zones"`
}

// ZoneMatches reports whether a zone has the given name or belongs to the region of that name. An empty name matches
// every zone.
func (e *Experiment) ZoneMatches(name, zone string) bool {
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

// Expectation holds the bounds of a figure of the results.
type Expectation struct {
	Figure string   `toml:"figure"`
	Min    *float64 `toml:"least"`
	Max    *float64 `toml:"most"`
}

// Rules holds the limits by which the audit judges a run.
type Rules struct {
	SlackMS        float64 `toml:"slack_ms"` // tolerance on each time limit, since sockets take time
	DrainGraceMS   float64 `toml:"drain_grace_ms"`
	OverloadFactor float64 `toml:"overload_factor"` // a cold worker's load limit as a multiple of its capacity
	TipAfterMS     float64 `toml:"tip_after_ms"`    // time after which an overloaded cold worker fails
	ColdFrom       float64 `toml:"cold_from"`       // share of its capacity that a worker has at its start
	WarmAfterMS    float64 `toml:"warm_after_ms"`   // time from the start of a worker to its full capacity
}

// Schedulers describes the processes under test and their configuration.
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
	Shares           []float64 `toml:"shares"` // shares of the arrivals; equal if empty
	Args             []string  `toml:"args"`   // further arguments of `serve`
	Log              string    `toml:"log"`
}

// Discovery describes the discovery emulators.
type Discovery struct {
	DelayMS []float64 `toml:"late_ms"` // minimum and maximum delay of an update of the endpoint list
}

// Workers describes a group of emulated workers of one kind.
type Workers struct {
	Kind  string  `toml:"kind"`
	Count int     `toml:"count"`
	Cores float64 `toml:"cores"`
	Speed float64 `toml:"speed"`
	// Each worker's speed is drawn from (1-speed_spread)*speed to (1+speed_spread)*speed.
	SpeedSpread   float64 `toml:"speed_spread"`
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
	// Hollow gives each worker one listener for all schedulers instead of one per scheduler, for fleets of
	// thousands of workers.
	Hollow bool `toml:"hollow"`
}

// Category describes a category of ops. The latency objective of an op is
// target_ms + stretch * work in ms / slots.
type Category struct {
	Name          string    `toml:"name"`
	Effect        string    `toml:"effect"`
	Scope         string    `toml:"scope"`
	WindowMS      float64   `toml:"window_ms"`
	Benefit       float64   `toml:"benefit"`
	LateBenefit   float64   `toml:"late_benefit"`
	Share         float64   `toml:"share"`
	WorkMS        float64   `toml:"work_ms"`
	Dist          string    `toml:"dist"` // fixed, exponential, lognormal or pareto
	CV            float64   `toml:"cv"`
	MaxWorkFactor float64   `toml:"heaviest"` // maximum work of an op as a multiple of the mean
	TargetMS      float64   `toml:"target_ms"`
	Stretch       float64   `toml:"stretch"`
	TTLMS         float64   `toml:"ttl_ms"`
	Slots         []float64 `toml:"slots"`  // weights of ops that need 1, 2 and 4 slots
	Memory        float64   `toml:"memory"` // memory per job, in the unit of the workers' memory
	BodyBytes     int       `toml:"body_bytes"`
	// Clients send a hint, an estimate of the work of an op. It is wrong by a factor of at most
	// 1+hint_spread; 0 for no hints.
	HintSpread float64 `toml:"hint_spread"`
}

// Arrivals describes when requests arrive.
type Arrivals struct {
	Kind  string      `toml:"kind"`  // poisson, even, trace
	Rate  float64     `toml:"rate"`  // requests per second
	Steps [][]float64 `toml:"steps"` // [at_s, factor]: the rate is multiplied by factor from at_s on
	Ramp  bool        `toml:"ramp"`  // the factor changes linearly between two steps
	Trace string      `toml:"trace"` // path of a file with lines "at_ms category"
}

// Clients describes the behaviour of the clients.
type Clients struct {
	Count            int       `toml:"count"`
	Shares           []float64 `toml:"shares"`
	Retries          int       `toml:"retries"`
	WaitMS           float64   `toml:"wait_ms"`
	Backoff          string    `toml:"backoff"` // none, fixed or exponential
	HonourRetryAfter float64   `toml:"honour"`  // chance that a client waits as Retry-After says
	DisconnectChance float64   `toml:"leave"`   // chance that a client disconnects after impatient_ms
	TrickleChance    float64   `toml:"trickle"` // chance that a client sends a request byte by byte
	StallChance      float64   `toml:"stall"`   // chance that a client pauses in the middle of a request
	DuplicateChance  float64   `toml:"ask_again"`
	// Chance that a client sends a request before the previous response on the connection.
	Pipeline          float64 `toml:"pipeline"`
	DisconnectAfterMS float64 `toml:"impatient_ms"` // mean time from sending a request to a disconnect
	// An at-most-once op without a final answer is retried at another scheduler under the same id.
	RetrySameID bool `toml:"same_id"`
	// Chance that an op under same_id is sent to two schedulers at the same time.
	ConcurrentChance float64 `toml:"at_once"`
	// After SIGTERM clients open new connections for a while and use open ones until the process exits.
	UseWhileTerminating bool `toml:"go_on"`
}

// Link describes the network conditions between the schedulers and another party.
type Link struct {
	Between     string  `toml:"between"` // clients, workers or discovery; the other end is a scheduler
	From        string  `toml:"from"`    // zone of that party, empty for any
	To          string  `toml:"to"`      // zone of the scheduler, empty for any
	DelayMS     float64 `toml:"delay_ms"`
	JitterMS    float64 `toml:"jitter_ms"`
	RateKBps    float64 `toml:"rate_kbps"` // 1,000 bytes per second
	Stall       float64 `toml:"stall"`     // chance that a segment is delayed, as by a lost packet
	StallMS     float64 `toml:"stall_ms"`
	ResetBefore float64 `toml:"reset_before"` // chance that an exchange is reset before its last byte
	ResetAfter  float64 `toml:"reset_after"`  // chance that an exchange is reset after its last byte
	// Chance that a connection transfers nothing. It is drawn separately for each direction.
	Mute float64 `toml:"mute"`
}

// Members makes the schedulers members of one cluster. Each ordered pair of schedulers has a link.
type Members struct {
	On           bool   `toml:"on"`
	ShareDrains  bool   `toml:"workers"`  // schedulers share the drains that they learn of
	PeerMessages bool   `toml:"words"`    // schedulers send peer reports to the members of their view
	Operator     string `toml:"operator"` // further lines of the [members] table of the operator's file
	// A member that is stopped for at most this time must not be declared gone.
	PauseMS  float64 `toml:"pause_ms"`
	DetectMS float64 `toml:"detect_ms"` // all views must mark an exited member as gone within this time
	SettleMS float64 `toml:"settle_ms"` // views of connected members must be equal after this time
	// A view must not declare a member gone that it could reach for longer than this.
	GraceMS  float64 `toml:"grace_ms"`
	Loss     float64 `toml:"loss"` // chance that a datagram is lost, on each link
	Dup      float64 `toml:"dup"`
	Reorder  float64 `toml:"reorder"`
	DelayMS  float64 `toml:"delay_ms"`
	JitterMS float64 `toml:"jitter_ms"`
	RateKBps float64 `toml:"rate_kbps"`
	// Number of further members, which share one process and have no clients.
	Hollow int `toml:"hollow"`
}

// Replication configures the replication of the outcomes of at-most-once ops. The first schedulers are the
// replicas.
type Replication struct {
	On       bool   `toml:"on"`
	Replicas int    `toml:"keepers"`
	Operator string `toml:"operator"` // further lines of the [copies] table of the operator's file
	// The replica set can change by consensus, and the replicas store their records on disk.
	ConsensusMembership bool `toml:"agreed"`
}

// Fault describes a fault that the lab injects. The meaning of Magnitude depends on the kind: see faultKinds.
type Fault struct {
	Kind      string  `toml:"kind"`
	StartS    float64 `toml:"at_s"`
	DurationS float64 `toml:"for_s"`
	Fraction  float64 `toml:"part"` // share of the workers or schedulers that the fault hits
	// Indices of the workers or schedulers that the fault hits, counted from 0. They replace Fraction.
	Indices   []int   `toml:"indices"`
	Zone      string  `toml:"zone"`
	Magnitude float64 `toml:"size"`
	EveryS    float64 `toml:"every_s"` // interval of a repeated fault
	// Mesh faults: indices of the schedulers at the other ends of the links; all other schedulers if empty.
	To           []int  `toml:"to"`
	Direction    string `toml:"way"`     // mesh faults: both, out (from the targets of the fault) or in (to them)
	ResetStreams bool   `toml:"refuses"` // mesh faults: resets streams instead of blocking them silently
}

// Chaos describes faults that are drawn from the seed. The keys for_s, part and size each
// hold a minimum and a maximum.
type Chaos struct {
	Kinds     []string  `toml:"kinds"`
	EveryS    float64   `toml:"every_s"` // mean interval
	DurationS []float64 `toml:"for_s"`
	Fraction  []float64 `toml:"part"`
	Magnitude []float64 `toml:"size"`
}

// faultKinds lists all kinds of faults, whether they need a size and whether they hit schedulers. The comment
// of a kind that needs a size says what the size means.
var faultKinds = map[string]struct {
	size, schedulers bool
	min, max         float64 // bounds of the size
}{
	// Jobs take this many times as long.
	"slow": {size: true, min: 1, max: 1000},
	// Accepts jobs and makes no progress.
	"hang": {},
	// Length of a pause in ms.
	"pauses": {size: true, min: 1, max: 60_000},
	// Share of the cores that another program uses.
	"taken": {size: true, min: 0, max: 0.99},
	// Chance that the worker sends nothing more about a push that it has accepted.
	"mute": {size: true, min: 0, max: 1},
	// Chance that a job fails.
	"fails": {size: true, min: 0, max: 1},
	// Chance that the worker rejects a valid op as unfit.
	"unfit": {size: true, min: 0, max: 1},
	// Load reports say that the worker is idle.
	"lies": {},
	// Additional age of the load reports in ms.
	"stale": {size: true, min: 0, max: 60_000},
	// Rejects all pushes.
	"refuses": {},
	// Ends the worker's process; it starts again, cold, after for_s.
	"kill": {},
	// The worker and discovery announce a drain. The worker exits when it is idle, and a cold successor
	// starts after for_s.
	"drain": {},
	// Only discovery announces a drain. The worker exits after for_s, and a cold successor starts.
	"drain-told": {},
	// The machine stops responding; connections stay open and silent.
	"vanish": {},
	// Rolling deploy: each worker is drained and replaced by a cold one within for_s.
	"replace": {},
	// Workers are drained one after another within for_s and have no successors.
	"shrink": {},
	// The links of the workers in a zone transfer nothing.
	"cut": {},
	// Workers are killed one after another within for_s. Each starts again, cold, after this many ms.
	"restarts": {size: true, min: 1, max: 60_000},

	// Links between a region and the other zones transfer nothing.
	"region-cut": {},

	// The discovery emulators send nothing, close and refuse all watches, or move to another address.
	"discovery-silent": {}, "discovery-broken": {}, "discovery-moved": {},

	"scheduler-kill": {schedulers: true}, "scheduler-term": {schedulers: true}, "scheduler-stop": {schedulers: true},
	"scheduler-reload": {schedulers: true}, "scheduler-stale": {schedulers: true},

	// Links between the schedulers that the fault hits and the others transfer nothing.
	"mesh-cut": {schedulers: true},
	// A mesh-cut begins and ends alternately, at intervals of every_s.
	"mesh-flap": {schedulers: true},
	// Chance that a datagram is lost.
	"mesh-loss": {schedulers: true, size: true, min: 0, max: 1},
	// Delay in ms, with jitter of the same size.
	"mesh-delay": {schedulers: true, size: true, min: 0, max: 60_000},

	// Length of a pause in ms. The pauses follow one another at intervals of about every_s.
	"scheduler-pauses": {schedulers: true, size: true, min: 1, max: 60_000},
	// The scheduler's discovery emulator sends nothing.
	"scheduler-blind": {schedulers: true},
	// Share of the time for which the process is stopped.
	"scheduler-starve": {schedulers: true, size: true, min: 0, max: 0.99},
	// A second process takes over, as in a hot restart.
	"scheduler-takeover": {schedulers: true},
	// Several SIGHUPs within a few ms.
	"scheduler-hups": {schedulers: true},
	// SIGTERM directly after a SIGHUP. The scheduler starts again after for_s.
	"scheduler-hup-term": {schedulers: true},
	// Repeated SIGTERM until the scheduler exits. It starts again after for_s.
	"scheduler-terms": {schedulers: true},
	// SIGHUPs while a second process takes over.
	"takeover-hups": {schedulers: true},
	// Idle connections to the scheduler and to its console use up its descriptors. Half of them send part
	// of a request.
	"scheduler-crowd": {schedulers: true},
	// The scheduler is stopped, and a second process runs under the same name at another address. The stopped
	// process resumes after for_s.
	"scheduler-twin": {schedulers: true},
	// A scheduler of another cluster has members of this cluster as its seeds.
	"scheduler-stranger": {schedulers: true},

	// Faults inside a scheduler's process. Only the soak test (package soak) can inject them.

	// The scheduler's wall clock is set ahead by this many seconds and keeps that offset.
	"scheduler-clock": {size: true, schedulers: true, min: -dayMS, max: dayMS},
	// One in this many of the scheduler's system calls on sockets fails.
	"scheduler-calls": {size: true, schedulers: true, min: 1, max: 1e6},
	// The scheduler's connections are established up to this many ms late.
	"scheduler-late": {size: true, schedulers: true, min: 0, max: 60_000},
	// The scheduler's file writes and syncs fail.
	"scheduler-disk": {schedulers: true},

	// Changes one value in the schedulers' settings at intervals of every_s until for_s is over.
	"settings-change": {schedulers: true},

	// Requests a replica set that consists of the targets, until that set is in force or for_s is over. The
	// requests go to the schedulers in `to`, or to all schedulers, in turn.
	"keepers-change": {schedulers: true},

	// Factor of the arrival rate.
	"burst": {size: true, min: 0, max: 1000},
}

// FaultKinds returns the names of all kinds of faults, sorted.
func FaultKinds() []string {
	var names []string
	for k := range faultKinds {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// TargetsSchedulers reports whether a kind of fault hits schedulers.
func TargetsSchedulers(kind string) bool { return faultKinds[kind].schedulers }

// Read reads an experiment from a file and its base files.
func Read(path string) (*Experiment, error) {
	e := defaults()
	if err := e.readFile(path, 0); err != nil {
		return nil, err
	}
	if err := e.normalize(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	e.Dir = filepath.Dir(path)
	return e, nil
}

const maxBaseDepth = 4 // of nested base files; stops the reading of a cycle of base files

// readFile reads the base of a file and then the file, whose values replace those of the base.
func (e *Experiment) readFile(path string, depth int) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var base struct {
		Base string `toml:"base"`
	}
	// An error of Unmarshal is ignored here, since decode reports it with its position.
	if toml.Unmarshal(text, &base) == nil && base.Base != "" {
		if depth >= maxBaseDepth {
			return fmt.Errorf("%s: base: files are nested more than %d deep", path, maxBaseDepth)
		}
		if !filepath.IsAbs(base.Base) {
			base.Base = filepath.Join(filepath.Dir(path), base.Base)
		}
		if err := e.readFile(base.Base, depth+1); err != nil {
			return err
		}
	}
	e.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	if err := e.decode(text); err != nil {
		return fmt.Errorf("%s:%w", path, err)
	}
	return nil
}

// decode sets the values that the text contains and leaves the others unchanged.
func (e *Experiment) decode(text []byte) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(e); err != nil {
		return withPosition(err)
	}
	return nil
}

// defaults returns an experiment with the default values.
func defaults() *Experiment {
	return &Experiment{Seed: 1, Seconds: 10, Settle: 2, Zones: []string{"east", "west"},
		Rules: Rules{SlackMS: 50, DrainGraceMS: 2500, OverloadFactor: 2.5, TipAfterMS: 1500, ColdFrom: 0.3, WarmAfterMS: 8600},
		Schedulers: Schedulers{Count: 2, Cores: 1, MemoryMB: 192, Sockets: 1024, MaxPushes: 6, ConnectTimeoutMS: 200,
			KeepaliveMS: 10_000, MaxRetryAfterMS: 2000, Cancel: true, Probes: true, StepMS: 5, CrossPrice: 0.01, Log: "info"},
		Discovery:   Discovery{DelayMS: []float64{200, 1000}},
		Clients:     Clients{Count: 8, Backoff: "exponential", WaitMS: 100, HonourRetryAfter: 1, DisconnectAfterMS: 300},
		Arrivals:    Arrivals{Kind: "poisson", Rate: 50},
		Replication: Replication{Replicas: 3},
		Members:     Members{PauseMS: 2000, DetectMS: 6000, SettleMS: 10_000, GraceMS: 8000},
	}
}

// Parse reads an experiment from a text. It ignores the key base.
func Parse(text []byte) (*Experiment, error) {
	e := defaults()
	if err := e.decode(text); err != nil {
		return nil, err
	}
	if err := e.normalize(); err != nil {
		return nil, fmt.Errorf(" %w", err)
	}
	return e, nil
}

// withPosition formats a decoder's error as one line that starts with the row and column.
func withPosition(err error) error {
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

// checkRange checks that a value is from lower to upper.
func checkRange(name string, v, lower, upper float64) error {
	if math.IsNaN(v) || v < lower || v > upper {
		return fmt.Errorf("%s = %g must be from %g to %g", name, v, lower, upper)
	}
	return nil
}

// firstError returns the first error that isn't nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkOneOf checks that a value is one of the allowed ones.
func checkOneOf(name, v string, allowed ...string) error {
	if slices.Contains(allowed, v) {
		return nil
	}
	return fmt.Errorf("%s = %q must be one of %s", name, v, strings.Join(allowed, ", "))
}

// Bounds on the resources that a file may request.
const (
	maxWorkers    = 16_384 // over twice the 6,300 that docs/CAPACITY.md requires
	maxSchedulers = 400    // each scheduler is a process
	maxMembers    = 480    // schedulers and hollow members; each has an IP address, and a run has 500
	maxRate       = 200_000
	maxSeconds    = 3600
	dayMS         = 86_400_000 // ms
)

// normalize sets defaults for missing values and checks all values.
func (e *Experiment) normalize() error {
	s, r, c := &e.Schedulers, &e.Rules, &e.Clients
	if err := firstError(
		checkRange("seconds", e.Seconds, 0.1, maxSeconds), checkRange("settle_s", e.Settle, 0, maxSeconds),
		checkRange("rules.slack_ms", r.SlackMS, 0, dayMS), checkRange("rules.drain_grace_ms", r.DrainGraceMS, 0, dayMS),
		checkRange("rules.overload_factor", r.OverloadFactor, 0.1, 1000), checkRange("rules.tip_after_ms", r.TipAfterMS, 0, dayMS),
		checkRange("rules.cold_from", r.ColdFrom, 0.01, 1), checkRange("rules.warm_after_ms", r.WarmAfterMS, 0, dayMS),
		checkRange("schedulers.count", float64(s.Count), 1, maxSchedulers), checkRange("schedulers.cores", s.Cores, 0.05, 64),
		checkRange("schedulers.memory_mb", float64(s.MemoryMB), 32, 1<<20),
		checkRange("schedulers.sockets", float64(s.Sockets), 64, 1<<20),
		checkRange("schedulers.max_pushes", float64(s.MaxPushes), 1, 100),
		checkRange("schedulers.connect_timeout_ms", s.ConnectTimeoutMS, 1, dayMS),
		checkRange("schedulers.keepalive_ms", s.KeepaliveMS, 1, dayMS),
		checkRange("schedulers.max_retry_after_ms", s.MaxRetryAfterMS, 0, dayMS),
		checkRange("schedulers.step_ms", s.StepMS, 0.1, dayMS),
		checkOneOf("schedulers.log", s.Log, "debug", "info", "warn", "error"),
		checkRange("clients.count", float64(c.Count), 1, 100_000), checkRange("clients.retries", float64(c.Retries), 0, 100),
		checkRange("clients.wait_ms", c.WaitMS, 0, dayMS), checkRange("clients.honour", c.HonourRetryAfter, 0, 1),
		checkRange("clients.leave", c.DisconnectChance, 0, 1), checkRange("clients.trickle", c.TrickleChance, 0, 1),
		checkRange("clients.stall", c.StallChance, 0, 1), checkRange("clients.ask_again", c.DuplicateChance, 0, 1),
		checkRange("clients.pipeline", c.Pipeline, 0, 1), checkRange("clients.at_once", c.ConcurrentChance, 0, 1),
		checkOneOf("clients.backoff", c.Backoff, "none", "fixed", "exponential"),
		checkOneOf("arrivals.kind", e.Arrivals.Kind, "poisson", "even", "trace"),
		checkRange("arrivals.rate", e.Arrivals.Rate, 0, maxRate),
	); err != nil {
		return err
	}
	if k := e.Replication.Replicas; e.Replication.On && (!e.Members.On || k < 1 || k%2 == 0 || k > s.Count) {
		return fmt.Errorf("copies.keepers = %d must be odd and at most schedulers.count, and members.on must be set", k)
	}
	m := &e.Members
	if err := firstError(checkRange("members.pause_ms", m.PauseMS, 0, dayMS),
		checkRange("members.detect_ms", m.DetectMS, 1, dayMS),
		checkRange("members.settle_ms", m.SettleMS, 1, dayMS), checkRange("members.grace_ms", m.GraceMS, 1, dayMS),
		checkRange("members.loss", m.Loss, 0, 1),
		checkRange("members.dup", m.Dup, 0, 1), checkRange("members.reorder", m.Reorder, 0, 1),
		checkRange("members.delay_ms", m.DelayMS, 0, dayMS),
		checkRange("members.jitter_ms", m.JitterMS, 0, dayMS), checkRange("members.rate_kbps", m.RateKBps, 0, 1e9)); err != nil {
		return err
	}
	for i, r := range e.Regions {
		for _, z := range r.Zones {
			if !slices.Contains(e.Zones, z) {
				return fmt.Errorf("regions[%d].zones: zone %q does not exist", i, z)
			}
		}
		if r.Name == "" || slices.Contains(e.Zones, r.Name) || len(r.Zones) == 0 {
			return fmt.Errorf("regions[%d].name = %q must be a name that no zone has, and the region needs zones", i, r.Name)
		}
	}
	for i, f := range e.Sizes {
		if err := checkRange(fmt.Sprintf("sizes[%d]", i), f, 0.001, 10); err != nil {
			return err
		}
		if e.Arrivals.Kind == "trace" {
			return errors.New("sizes: must be empty with arrivals.kind = \"trace\"")
		}
	}
	if m.Hollow != 0 && (!m.On || m.Hollow < 0 || m.Hollow+s.Count > maxMembers) {
		return fmt.Errorf("members.hollow = %d needs members.on, and at most %d members including the schedulers", m.Hollow, maxMembers)
	}
	if len(e.Zones) == 0 {
		return errors.New("zones: must not be empty")
	}
	if l := e.Discovery.DelayMS; len(l) != 2 || l[0] < 0 || l[1] < l[0] || l[1] > dayMS {
		return fmt.Errorf("discovery.late_ms = %v must be a minimum and a maximum from 0 to 86400000", l)
	}
	if len(s.Shares) > 0 && len(s.Shares) != s.Count {
		return fmt.Errorf("schedulers.shares: %d values for %d schedulers", len(s.Shares), s.Count)
	}
	return firstError(e.normalizeWorkers(), e.normalizeCategories(), e.checkLinks(), e.normalizeFaults(), e.checkArrivals())
}

func setDefault[T int | float64](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

func (e *Experiment) normalizeWorkers() error {
	total := 0
	for i := range e.Workers {
		w := &e.Workers[i]
		at := fmt.Sprintf("workers[%d].", i)
		setDefault(&w.Cores, 4)
		setDefault(&w.Speed, 1)
		setDefault(&w.Slots, w.Cores)
		setDefault(&w.Queue, int(7*w.Cores))
		setDefault(&w.CellSize, 3)
		setDefault(&w.ReportEveryMS, 50)
		setDefault(&w.Connections, 3000)
		if w.Kind == "" {
			w.Kind = fmt.Sprintf("kind%d", i)
		}
		if err := firstError(checkRange(at+"count", float64(w.Count), 1, maxWorkers), checkRange(at+"cores", w.Cores, 0.1, 1024),
			checkRange(at+"speed", w.Speed, 0.001, 1000), checkRange(at+"speed_spread", w.SpeedSpread, 0, 0.95),
			checkRange(at+"slots", w.Slots, 1, 4096), checkRange(at+"queue", float64(w.Queue), 0, 1e6),
			checkRange(at+"cell_size", float64(w.CellSize), 1, 1e6), checkRange(at+"report_every_ms", w.ReportEveryMS, 0, dayMS),
			checkRange(at+"progress_ms", w.ProgressMS, 0, dayMS), checkRange(at+"conn_work_ms", w.ConnWorkMS, 0, 1000),
			checkRange(at+"probe_work_ms", w.ProbeWorkMS, 0, 1000), checkRange(at+"error_rate", w.ErrorRate, 0, 1),
			checkRange(at+"connections", float64(w.Connections), 1, 1e6), checkRange(at+"memory", w.Memory, 0, 1e9)); err != nil {
			return err
		}
		total += w.Count
	}
	if total == 0 || total > maxWorkers {
		return fmt.Errorf("workers: %d workers in total, must be from 1 to %d", total, maxWorkers)
	}
	return nil
}

func (e *Experiment) normalizeCategories() error {
	shares := 0.0
	seen := map[string]bool{}
	for i := range e.Categories {
		c := &e.Categories[i]
		at := fmt.Sprintf("categories[%d].", i)
		setDefault(&c.Benefit, 1)
		setDefault(&c.Share, 1)
		setDefault(&c.WorkMS, 50)
		setDefault(&c.TTLMS, 5000)
		setDefault(&c.TargetMS, 300)
		setDefault(&c.Stretch, 2)
		setDefault(&c.CV, 1)
		// Ops with far more work than this can't finish within a TTL that suits the others.
		setDefault(&c.MaxWorkFactor, 8)
		if c.Dist == "" {
			c.Dist = "exponential"
		}
		if c.Effect == "" {
			c.Effect = ledger.Redeliverable
		}
		if c.Effect == ledger.Deduplicated {
			setDefault(&c.WindowMS, 7500)
			if c.Scope == "" {
				c.Scope = "zone"
			}
		}
		if len(c.Slots) == 0 {
			c.Slots = []float64{1}
		}
		if err := firstError(checkOneOf(at+"effect", c.Effect, ledger.Redeliverable, ledger.Deduplicated, ledger.AtMostOnce),
			checkOneOf(at+"dist", c.Dist, "fixed", "exponential", "lognormal", "pareto"),
			checkRange(at+"window_ms", c.WindowMS, 0, dayMS), checkRange(at+"benefit", c.Benefit, 0, 1e6),
			checkRange(at+"late_benefit", c.LateBenefit, 0, 1), checkRange(at+"share", c.Share, 0, 1e6),
			checkRange(at+"work_ms", c.WorkMS, 0.01, dayMS), checkRange(at+"cv", c.CV, 0.01, 20),
			checkRange(at+"heaviest", c.MaxWorkFactor, 1, 1000),
			checkRange(at+"target_ms", c.TargetMS, 1, dayMS), checkRange(at+"stretch", c.Stretch, 0, 1000),
			checkRange(at+"ttl_ms", c.TTLMS, 20, dayMS), checkRange(at+"body_bytes", float64(c.BodyBytes), 0, 64<<10),
			checkRange(at+"hint_spread", c.HintSpread, 0, 100), checkRange(at+"memory", c.Memory, 0, 1e9)); err != nil {
			return err
		}
		if c.Effect == ledger.Deduplicated {
			if err := checkOneOf(at+"scope", c.Scope, "all", "zone", "cell"); err != nil {
				return err
			}
		} else if c.Scope != "" {
			return fmt.Errorf("%sscope is only allowed with effect = %q", at, ledger.Deduplicated)
		}
		if c.Name == "" || seen[c.Name] {
			return fmt.Errorf("%sname = %q must not be empty or used twice", at, c.Name)
		}
		if len(c.Slots) > 3 {
			return fmt.Errorf("%sslots: must have at most 3 values, the weights of 1, 2 and 4 slots", at)
		}
		seen[c.Name] = true
		shares += c.Share
	}
	if len(e.Categories) == 0 || shares <= 0 {
		return errors.New("categories: at least one must have a share above 0")
	}
	return nil
}

func (e *Experiment) checkLinks() error {
	for i, l := range e.Links {
		at := fmt.Sprintf("links[%d].", i)
		if err := firstError(checkOneOf(at+"between", l.Between, "clients", "workers", "discovery"),
			checkRange(at+"delay_ms", l.DelayMS, 0, dayMS), checkRange(at+"jitter_ms", l.JitterMS, 0, dayMS),
			checkRange(at+"rate_kbps", l.RateKBps, 0, 1e9), checkRange(at+"stall", l.Stall, 0, 1),
			checkRange(at+"stall_ms", l.StallMS, 0, dayMS), checkRange(at+"reset_before", l.ResetBefore, 0, 1),
			checkRange(at+"reset_after", l.ResetAfter, 0, 1), checkRange(at+"mute", l.Mute, 0, 1),
			e.checkZone(at+"from", l.From), e.checkZone(at+"to", l.To)); err != nil {
			return err
		}
	}
	return nil
}

// checkZone checks that a value is empty or names a zone or region.
func (e *Experiment) checkZone(name, z string) error {
	if z == "" || slices.Contains(e.Zones, z) || slices.ContainsFunc(e.Regions, func(r Region) bool { return r.Name == z }) {
		return nil
	}
	return fmt.Errorf("%s = %q is not a zone or region", name, z)
}

func (e *Experiment) normalizeFaults() error {
	for i := range e.Faults {
		f := &e.Faults[i]
		at := fmt.Sprintf("faults[%d].", i)
		k, ok := faultKinds[f.Kind]
		if !ok {
			return fmt.Errorf("%skind = %q must be one of %s", at, f.Kind, strings.Join(FaultKinds(), ", "))
		}
		if len(f.Indices) == 0 && f.Fraction == 0 && f.Zone == "" {
			f.Fraction = 1
		}
		if err := firstError(checkRange(at+"at_s", f.StartS, 0, maxSeconds), checkRange(at+"for_s", f.DurationS, 0, maxSeconds),
			checkRange(at+"part", f.Fraction, 0, 1), checkRange(at+"every_s", f.EveryS, 0, maxSeconds),
			e.checkZone(at+"zone", f.Zone)); err != nil {
			return err
		}
		if k.size {
			if err := checkRange(at+"size", f.Magnitude, k.min, k.max); err != nil {
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
				return fmt.Errorf("%sindices: %d must be from 0 to %d", at, n, limit-1)
			}
		}
		for _, n := range f.To {
			if n < 0 || n >= e.Schedulers.Count {
				return fmt.Errorf("%sto: %d must be from 0 to %d", at, n, e.Schedulers.Count-1)
			}
		}
		if f.Direction == "" {
			f.Direction = "both"
		}
		if err := checkOneOf(at+"way", f.Direction, "both", "out", "in"); err != nil {
			return err
		}
		if !e.Members.On && (strings.HasPrefix(f.Kind, "mesh-") || f.Kind == "scheduler-takeover" ||
			f.Kind == "takeover-hups" || f.Kind == "scheduler-twin" || f.Kind == "scheduler-stranger") {
			return fmt.Errorf("%skind = %q needs members.on", at, f.Kind)
		}
		if f.Kind == "settings-change" && (!e.Members.On || f.EveryS <= 0) {
			return fmt.Errorf("%skind = %q needs members.on and every_s", at, f.Kind)
		}
		if f.Kind == "keepers-change" && (!e.Replication.ConsensusMembership || len(f.Indices)%2 == 0) {
			return fmt.Errorf("%skind = %q needs copies.agreed and an odd number of indices", at, f.Kind)
		}
		if f.Kind == "region-cut" && !slices.ContainsFunc(e.Regions, func(r Region) bool { return r.Name == f.Zone }) {
			return fmt.Errorf("%szone = %q must be a region", at, f.Zone)
		}
		if f.Kind == "cut" && f.Zone == "" {
			return fmt.Errorf("%szone must be set", at)
		}
	}
	c := &e.Chaos
	for _, k := range c.Kinds {
		if _, ok := faultKinds[k]; !ok {
			return fmt.Errorf("chaos.kinds: %q must be one of %s", k, strings.Join(FaultKinds(), ", "))
		}
	}
	if len(c.Kinds) == 0 {
		return nil
	}
	for _, row := range []struct {
		name      string
		v         *[]float64
		byDefault []float64
	}{{"for_s", &c.DurationS, []float64{1, 4}}, {"part", &c.Fraction, []float64{0.1, 0.4}},
		{"size", &c.Magnitude, []float64{2, 8}}} {
		if len(*row.v) == 0 {
			*row.v = row.byDefault
		}
		if v := *row.v; len(v) != 2 || v[0] < 0 || v[1] < v[0] {
			return fmt.Errorf("chaos.%s = %v must be a minimum and a maximum from 0 on", row.name, v)
		}
	}
	return checkRange("chaos.every_s", c.EveryS, 0.1, maxSeconds)
}

func (e *Experiment) checkArrivals() error {
	last := -1.0
	for i, s := range e.Arrivals.Steps {
		if len(s) != 2 || s[0] <= last || s[1] < 0 || s[1] > 1000 {
			return fmt.Errorf("arrivals.steps[%d] = %v must be [at_s, factor], in order of time, with a factor from 0 to 1000", i, s)
		}
		last = s[0]
	}
	if e.Arrivals.Kind == "trace" && e.Arrivals.Trace == "" {
		return errors.New("arrivals.trace: a file must be set")
	}
	if e.Arrivals.Kind != "trace" && e.Arrivals.Rate <= 0 {
		return errors.New("arrivals.rate: must be above 0")
	}
	for i, x := range e.Expectations {
		if x.Figure == "" || x.Min == nil && x.Max == nil {
			return fmt.Errorf("expect[%d]: figure and least or most must be set", i)
		}
	}
	return nil
}

// WorkerCount returns the total number of workers.
func (e *Experiment) WorkerCount() (n int) {
	for _, w := range e.Workers {
		n += w.Count
	}
	return n
}

// Scaled returns a copy of the experiment whose worker counts and arrival rate are multiplied by a factor.
// Each group has at least one worker.
func (e *Experiment) Scaled(factor float64) (*Experiment, error) {
	s := *e
	s.Sizes, s.Workers, s.Faults = nil, slices.Clone(e.Workers), slices.Clone(e.Faults)
	s.Name = fmt.Sprintf("%s-%g", e.Name, factor)
	s.Arrivals.Rate *= factor
	for i := range s.Workers {
		s.Workers[i].Count = max(int(math.Round(float64(e.Workers[i].Count)*factor)), 1)
	}
	if err := s.normalize(); err != nil { // a fault may name a worker that no longer exists
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	return &s, nil
}

// FromMilliseconds converts milliseconds to ledger time, rounded down.
func FromMilliseconds(ms float64) ledger.Time { return ledger.Time(math.Floor(ms*10 + 1e-6)) }

// FromSeconds converts seconds to ledger time, rounded down.
func FromSeconds(s float64) ledger.Time { return FromMilliseconds(1000 * s) }

// LedgerRules returns the rules in the form that the ledger and the audit use.
func (e *Experiment) LedgerRules() *ledger.Rules {
	r := &ledger.Rules{Slack: FromMilliseconds(e.Rules.SlackMS), DrainGrace: FromMilliseconds(e.Rules.DrainGraceMS), OverloadFactor: e.Rules.OverloadFactor,
		OverloadWindow: FromMilliseconds(e.Rules.TipAfterMS), ColdFrom: e.Rules.ColdFrom, WarmAfter: FromMilliseconds(e.Rules.WarmAfterMS),
		Categories: map[string]ledger.Category{}}
	longest, shares := 0.0, 0.0
	for _, c := range e.Categories {
		slots, weights := 0.0, 0.0
		for k, weight := range c.Slots { // weights of 1, 2 and 4 slots
			slots, weights = slots+weight*float64(int(1)<<k), weights+weight
		}
		r.MeanWork, shares = r.MeanWork+c.Share*c.WorkMS*slots/weights, shares+c.Share
		r.Categories[c.Name] = ledger.Category{Effect: c.Effect, Scope: c.Scope, Window: FromMilliseconds(c.WindowMS)}
		longest = max(longest, c.TTLMS)
	}
	r.MeanWork /= shares
	r.KillAfter = FromMilliseconds(min(longest, 3000) + 700)
	return r
}

// LongestTTL returns the longest TTL of all categories.
func (e *Experiment) LongestTTL() time.Duration {
	longest := 0.0
	for _, c := range e.Categories {
		longest = max(longest, c.TTLMS)
	}
	return time.Duration(longest * float64(time.Millisecond))
}
