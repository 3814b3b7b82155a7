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

// Verdict is the result of a soak.
type Verdict struct {
	Seed                       uint64
	Processes, Requests        int
	Faults, Kinds, FailedCalls int
	Pipelined                  int // requests that were pipelined behind another request on their connection
	Violations, Lost           int
	Duplicates, Unanswered     int
	RecoveryTime               time.Duration // from the last fault until every scheduler acked an op
	Findings                   []Finding
	Void                       string
}

// Finding is a violation that a soak found.
type Finding struct {
	Text string
	Op   string // op whose timeline is printed; empty for none
}

// Passed reports whether nothing was found.
func (v *Verdict) Passed() bool { return v.Violations+v.Lost+v.Duplicates+v.Unanswered == 0 }

// SummaryLine returns the last line that a soak prints.
func (v *Verdict) SummaryLine() string {
	return fmt.Sprintf("soak: seed=%d processes=%d requests=%d faults=%d kinds=%d violations=%d lost=%d duplicates=%d unanswered=%d recovered_ms=%d",
		v.Seed, v.Processes, v.Requests, v.Faults, v.Kinds, v.Violations, v.Lost, v.Duplicates, v.Unanswered, v.RecoveryTime.Milliseconds())
}

// After the run, a scheduler may have this many more files and goroutines than the highest number of any
// scheduler before the first op.
const (
	extraFiles      = 96 // includes idle connections to workers and members
	extraGoroutines = 160
)

// schedulerState is the state that a scheduler reports, and the number of its descriptors.
type schedulerState struct {
	InFlight   int               `json:"in_flight"`
	Goroutines int               `json:"goroutines"`
	Violations map[string]uint64 `json:"violations"`
	files      int
}

// Run runs an experiment with shims, writes its files to a folder and checks it.
func Run(ctx context.Context, e *experiment.Experiment, shims *Shims, folder string) (*Verdict, error) {
	v := &Verdict{Seed: e.Seed, Processes: e.Schedulers.Count, Faults: len(e.Faults), Kinds: len(FaultKinds(e))}
	before, after := map[int]schedulerState{}, map[int]schedulerState{}
	r, err := runner.Run(ctx, e, runner.Options{OutputDir: folder, Launch: shims.Make, Injector: shims, SkipResults: true, Inspect: func(ended bool, all []*schedulers.Scheduler) {
		into := before
		if ended {
			into = after
		}
		for n, s := range all {
			recordState(into, n, s)
		}
	}})
	v.FailedCalls = shims.Failed()
	events, readErr := ledger.ReadFile(filepath.Join(folder, "ledger.jsonl"))
	if readErr != nil && !errors.Is(readErr, ledger.ErrTruncated) {
		return nil, errors.Join(err, readErr)
	}
	if errors.Is(err, syscall.EADDRINUSE) {
		v.Void = fmt.Sprintf("the lab lost one of its own ports to another program: %v", err)
		return v, nil
	}
	if err != nil { // a scheduler that does not start, end or answer is a violation, not an error of the lab
		v.Violations++
		v.addFinding("", "not played to its end: %v", err)
		return v, v.readLogs(folder)
	}
	for _, e := range events {
		if e.Kind == ledger.Sent && e.Text == ledger.Behind {
			v.Pipelined++
		}
	}
	v.Void = r.Void
	v.countBreaches(r)
	v.checkAtRest(before, after)
	v.checkRecovery(e, events)
	return v, v.readLogs(folder)
}

// recordState records the present state of scheduler n.
func recordState(into map[int]schedulerState, n int, s *schedulers.Scheduler) {
	var state schedulerState
	if s.GetAPI("/api/telemetry", &state) != nil {
		return
	}
	if u, ok := s.Usage(); ok {
		state.files = u.Files
	}
	into[n] = state
}

func (v *Verdict) addFinding(op, format string, args ...any) {
	v.Findings = append(v.Findings, Finding{fmt.Sprintf(format, args...), op})
}

// countBreaches counts the breaches that the audit found.
func (v *Verdict) countBreaches(r *report.Results) {
	v.Requests = r.Audit.Ops
	v.Unanswered = r.Audit.Open
	for _, b := range r.Audit.Breaches {
		v.addFinding(b.Op, "%s", b)
		switch b.Rule {
		case audit.LostOp:
			v.Lost++
		case audit.DuplicateEffect:
			v.Duplicates++
		default:
			v.Violations++
		}
	}
	if n := int(r.Figures["doubled"]); n > 0 {
		v.Duplicates += n
		v.addFinding("", "%d at-most-once ops ran twice at two schedulers", n)
	}
}

// checkAtRest compares the schedulers' state at the end with their state before the first op.
func (v *Verdict) checkAtRest(before, after map[int]schedulerState) {
	files, goroutines := 0, 0
	for _, state := range before {
		files, goroutines = max(files, state.files), max(goroutines, state.Goroutines)
	}
	addViolation := func(n int, format string, args ...any) {
		v.Violations++
		v.addFinding("", "scheduler %d at rest: %s", n+1, fmt.Sprintf(format, args...))
	}
	for n := range v.Processes {
		state, ok := after[n]
		switch {
		case !ok:
			addViolation(n, "its second address does not answer")
		case state.InFlight > 0:
			addViolation(n, "%d ops in flight", state.InFlight)
		case state.files > files+extraFiles:
			addViolation(n, "%d descriptors, %d at most before", state.files, files)
		case state.Goroutines > goroutines+extraGoroutines:
			addViolation(n, "%d goroutines, %d at most before", state.Goroutines, goroutines)
		}
	}
}

// checkRecovery checks that each scheduler acked an op after the last fault, and sets the longest recovery
// time.
func (v *Verdict) checkRecovery(e *experiment.Experiment, events []ledger.Event) {
	lastFault := ledger.Time(0)
	for _, ev := range events {
		if ev.Kind == ledger.Fault {
			lastFault = ev.At
		}
	}
	firstAck := make([]ledger.Time, e.Schedulers.Count+1)
	for _, ev := range events {
		if ev.Kind == ledger.Answer && ev.Verdict == ledger.Acked && ev.At > lastFault && ev.Scheduler > 0 && firstAck[ev.Scheduler] == 0 {
			firstAck[ev.Scheduler] = ev.At
		}
	}
	for n := 1; n < len(firstAck); n++ {
		if firstAck[n] == 0 {
			v.Violations++
			v.addFinding("", "scheduler %d has served nothing since the last trouble", n)
			continue
		}
		v.RecoveryTime = max(v.RecoveryTime, time.Duration(firstAck[n]-lastFault)*ledger.Tenth)
	}
}

// readLogs counts the violated invariants and panics in the schedulers' logs.
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

// violationMessages are the messages that this build and earlier builds log for a violated invariant.
var violationMessages = []string{"invariant violated", "a rule is broken"}

func (v *Verdict) readLog(name string, from io.Reader) error {
	lines := bufio.NewReader(from)
	for {
		text, err := lines.ReadBytes('\n')
		if bytes.HasPrefix(text, []byte("panic:")) || bytes.HasPrefix(text, []byte("fatal error:")) {
			v.Violations++
			v.addFinding("", "%s: %s", name, bytes.TrimSpace(text))
		}
		var line struct{ Message, Rule, Why, ID string }
		if json.Unmarshal(text, &line) == nil && slices.Contains(violationMessages, line.Message) {
			v.Violations++
			v.addFinding(line.ID, "%s: %s: %s", name, line.Rule, strings.TrimSpace(string(text)))
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// maxFindings is the maximum number of findings that are printed.
const maxFindings = 12

// PrintFindings prints the findings, each with the timeline of its op.
func (v *Verdict) PrintFindings(out io.Writer, folder string) error {
	if v.Passed() {
		return nil
	}
	events, err := ledger.ReadFile(filepath.Join(folder, "ledger.jsonl"))
	if err != nil {
		return err
	}
	for k, f := range v.Findings {
		if k == maxFindings {
			fmt.Fprintf(out, "and %d more\n", len(v.Findings)-k)
			return nil
		}
		fmt.Fprintln(out, "found:", f.Text)
		if f.Op != "" {
			timeline(out, events, f.Op)
		}
	}
	return nil
}

// timelineMargin is the time before and after an op's events for which faults are shown.
const timelineMargin = ledger.Time(time.Second / ledger.Tenth)

// timeline prints all events of an op, and the faults and signals around them.
func timeline(out io.Writer, events []ledger.Event, op string) {
	first, last := ledger.Time(-1), ledger.Time(0)
	for _, e := range events {
		if e.Op == op {
			if first < 0 {
				first = e.At
			}
			last = e.At
		}
	}
	if first < 0 {
		return
	}
	for k, e := range events {
		ofProcess := e.Op == "" && e.Scheduler > 0 && e.Worker == "" && e.Kind != ledger.MemberView && e.Kind != ledger.LinkChanged
		near := e.At >= first-timelineMargin && e.At <= last+timelineMargin && (e.Kind == ledger.Fault || ofProcess)
		if e.Op != op && !near {
			continue
		}
		text, err := json.Marshal(e)
		if err == nil {
			fmt.Fprintf(out, "  %6d %s\n", k+1, text)
		}
	}
}
