package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"woaddyke/internal/lab/audit"
	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/ledger"
	"woaddyke/internal/lab/report"
	"woaddyke/internal/lab/runner"
	"woaddyke/internal/lab/schedulers"
)

// Verdict is what a soak has found.
type Verdict struct {
	Seed                   uint64
	Processes, Requests    int
	Faults, Kinds, Calls   int
	Behind                 int // requests that were sent behind another one on its connection
	Violations, Lost       int
	Duplicates, Unanswered int
	Recovered              time.Duration // from the end of the last trouble until every scheduler has served
	Found                  []Finding
	Void                   string
}

// Finding is one thing that must not be.
type Finding struct {
	What string
	Op   string // whose timeline tells of it; empty for none
}

// Held tells whether nothing was found.
func (v *Verdict) Held() bool { return v.Violations+v.Lost+v.Duplicates+v.Unanswered == 0 }

// Line is the last line of a soak.
func (v *Verdict) Line() string {
	return fmt.Sprintf("soak: seed=%d processes=%d requests=%d faults=%d kinds=%d violations=%d lost=%d duplicates=%d unanswered=%d recovered_ms=%d",
		v.Seed, v.Processes, v.Requests, v.Faults, v.Kinds, v.Violations, v.Lost, v.Duplicates, v.Unanswered, v.Recovered.Milliseconds())
}

// Bounds at rest, beside what a scheduler held before the first op.
const (
	moreFiles      = 96 // idle connections to workers and to members among them
	moreGoroutines = 160
)

// held is what a scheduler shows of itself.
type held struct {
	InFlight   int               `json:"in_flight"`
	Goroutines int               `json:"goroutines"`
	Violations map[string]uint64 `json:"violations"`
	files      int
}

// Play plays an experiment with shims, in a folder, and judges it.
func Play(ctx context.Context, e *experiment.Experiment, shims *Shims, folder string) (*Verdict, error) {
	v := &Verdict{Seed: e.Seed, Processes: e.Schedulers.Count, Faults: len(e.Faults), Kinds: len(Names(e))}
	before, after := map[int]held{}, map[int]held{}
	r, err := runner.Run(ctx, e, runner.Stage{Out: folder, Make: shims.Make, Shims: shims, Quiet: true, Look: func(ended bool, all []*schedulers.Scheduler) {
		into := before
		if ended {
			into = after
		}
		for n, s := range all {
			look(into, n, s)
		}
	}})
	v.Calls = shims.Failed()
	events, unread := ledger.ReadFile(filepath.Join(folder, "ledger.jsonl"))
	if unread != nil && !errors.Is(unread, ledger.ErrTorn) {
		return nil, errors.Join(err, unread)
	}
	if errors.Is(err, syscall.EADDRINUSE) {
		v.Void = fmt.Sprintf("the lab lost one of its own ports to another program: %v", err)
		return v, nil
	}
	if err != nil { // a scheduler that does not start, end or answer is what a soak looks for
		v.Violations++
		v.find("", "not played to its end: %v", err)
		return v, v.readLogs(folder)
	}
	for _, e := range events {
		if e.Kind == ledger.Sent && e.Text == ledger.Behind {
			v.Behind++
		}
	}
	v.Void = r.Void
	v.judge(r)
	v.rest(before, after)
	v.recovered(e, events)
	return v, v.readLogs(folder)
}

// look notes what a scheduler holds now.
func look(into map[int]held, n int, s *schedulers.Scheduler) {
	var h held
	if s.Ask("/api/telemetry", &h) != nil {
		return
	}
	if u, ok := s.Use(); ok {
		h.files = u.Files
	}
	into[n] = h
}

func (v *Verdict) find(op, format string, args ...any) {
	v.Found = append(v.Found, Finding{fmt.Sprintf(format, args...), op})
}

// judge counts what the audit found.
func (v *Verdict) judge(r *report.Results) {
	v.Requests = r.Audit.Ops
	v.Unanswered = r.Audit.Open
	for _, b := range r.Audit.Breaches {
		v.find(b.Op, "%s", b)
		switch b.Rule {
		case audit.Lost:
			v.Lost++
		case audit.Twice:
			v.Duplicates++
		default:
			v.Violations++
		}
	}
	if n := int(r.Figures["doubled"]); n > 0 {
		v.Duplicates += n
		v.find("", "%d at-most-once ops ran twice at two schedulers", n)
	}
}

// rest holds what schedulers hold when all is over against what they held before.
func (v *Verdict) rest(before, after map[int]held) {
	files, goroutines := 0, 0
	for _, h := range before {
		files, goroutines = max(files, h.files), max(goroutines, h.Goroutines)
	}
	broken := func(n int, format string, args ...any) {
		v.Violations++
		v.find("", "scheduler %d at rest: %s", n+1, fmt.Sprintf(format, args...))
	}
	for n := range v.Processes {
		h, ok := after[n]
		switch {
		case !ok:
			broken(n, "its second address does not answer")
		case h.InFlight > 0:
			broken(n, "%d ops in flight", h.InFlight)
		case h.files > files+moreFiles:
			broken(n, "%d descriptors, %d at most before", h.files, files)
		case h.Goroutines > goroutines+moreGoroutines:
			broken(n, "%d goroutines, %d at most before", h.Goroutines, goroutines)
		}
	}
}

// recovered finds out when each scheduler served again after the last trouble.
func (v *Verdict) recovered(e *experiment.Experiment, events []ledger.Event) {
	last := ledger.Time(0)
	for _, ev := range events {
		if ev.Kind == ledger.Fault {
			last = ev.At
		}
	}
	first := make([]ledger.Time, e.Schedulers.Count+1)
	for _, ev := range events {
		if ev.Kind == ledger.Answer && ev.Verdict == ledger.Acked && ev.At > last && ev.Scheduler > 0 && first[ev.Scheduler] == 0 {
			first[ev.Scheduler] = ev.At
		}
	}
	for n := 1; n < len(first); n++ {
		if first[n] == 0 {
			v.Violations++
			v.find("", "scheduler %d has served nothing since the last trouble", n)
			continue
		}
		v.Recovered = max(v.Recovered, time.Duration(first[n]-last)*ledger.Tenth)
	}
}

// readLogs counts what the programs' own guards have seen.
func (v *Verdict) readLogs(folder string) error {
	logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return err
	}
	slices.Sort(logs)
	for _, path := range logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		err = v.readLog(filepath.Base(path), f)
		f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// violationMessages are the log messages for a violated invariant, of this build and of earlier ones.
var violationMessages = []string{"invariant violated", "a rule is broken"}

func (v *Verdict) readLog(name string, from io.Reader) error {
	lines := bufio.NewReader(from)
	for {
		text, err := lines.ReadBytes('\n')
		if bytes.HasPrefix(text, []byte("panic:")) || bytes.HasPrefix(text, []byte("fatal error:")) {
			v.Violations++
			v.find("", "%s: %s", name, bytes.TrimSpace(text))
		}
		var line struct{ Message, Rule, Why, ID string }
		if json.Unmarshal(text, &line) == nil && slices.Contains(violationMessages, line.Message) {
			v.Violations++
			v.find(line.ID, "%s: %s: %s", name, line.Rule, strings.TrimSpace(string(text)))
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// mostFound bounds what is printed.
const mostFound = 12

// Tell prints what was found, with the timeline of each op that it is about.
func (v *Verdict) Tell(out io.Writer, folder string) error {
	if v.Held() {
		return nil
	}
	events, err := ledger.ReadFile(filepath.Join(folder, "ledger.jsonl"))
	if err != nil {
		return err
	}
	for k, f := range v.Found {
		if k == mostFound {
			fmt.Fprintf(out, "and %d more\n", len(v.Found)-k)
			return nil
		}
		fmt.Fprintln(out, "found:", f.What)
		if f.Op != "" {
			timeline(out, events, f.Op)
		}
	}
	return nil
}

// around is how long before and after an op's own events troubles are shown.
const around = ledger.Time(time.Second / ledger.Tenth)

// timeline prints all events of an op, and the troubles and signals around them.
func timeline(out io.Writer, events []ledger.Event, op string) {
	from, to := ledger.Time(-1), ledger.Time(0)
	for _, e := range events {
		if e.Op == op {
			if from < 0 {
				from = e.At
			}
			to = e.At
		}
	}
	if from < 0 {
		return
	}
	for k, e := range events {
		ofProcess := e.Op == "" && e.Scheduler > 0 && e.Worker == "" && e.Kind != ledger.Held && e.Kind != ledger.Way
		near := e.At >= from-around && e.At <= to+around && (e.Kind == ledger.Fault || ofProcess)
		if e.Op != op && !near {
			continue
		}
		text, err := json.Marshal(e)
		if err == nil {
			fmt.Fprintf(out, "  %6d %s\n", k+1, text)
		}
	}
}
