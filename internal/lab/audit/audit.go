// Package audit checks a ledger against the rules for schedulers and returns the breaches. It does no input
// or output. Its evidence is what clients, workers and discovery recorded; it uses no statement of a
// scheduler.
package audit

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"woaddyke/internal/lab/ledger"
)

// Rule is the name of a rule.
type Rule string

// LostOp, DuplicateEffect, PushAfterDrain and ColdOverload are the four main rules. Fabricated covers results that no worker returned, and
// pushes that no client requested. Crashed covers processes that ended without a signal. ExcessDeadline
// covers pushes that announce more time to the worker than the client has left.
const (
	LostOp          Rule = "no op lost"
	DuplicateEffect Rule = "no effect twice"
	PushAfterDrain  Rule = "drains kept"
	ColdOverload    Rule = "cold worker not pushed over"
	Fabricated      Rule = "nothing made up"
	Crashed         Rule = "no crash"
	ExcessDeadline  Rule = "no more time told than is left"
)

// Breach is a broken rule with the ledger lines that prove it, counted from 1.
type Breach struct {
	Rule  Rule   `json:"rule"`
	Op    string `json:"op,omitempty"`
	Why   string `json:"why"`
	Lines []int  `json:"lines"`
}

func (b Breach) String() string {
	if b.Op == "" {
		return fmt.Sprintf("%s: %s (lines %v)", b.Rule, b.Why, b.Lines)
	}
	return fmt.Sprintf("%s: op %s: %s (lines %v)", b.Rule, b.Op, b.Why, b.Lines)
}

// Judgement is the result of an audit.
type Judgement struct {
	Ops      int      `json:"ops"`     // attempts that a scheduler accepted
	Answers  int      `json:"answers"` // attempts with a final answer
	Excused  int      `json:"excused"` // unanswered: client disconnected, or scheduler killed or suspended
	Unread   int      `json:"unread"`  // closed without a push, on a new connection
	Open     int      `json:"open"`    // unanswered at the end of the ledger, before their TTL
	Breaches []Breach `json:"breaches"`
	Complete bool     `json:"whole"` // the ledger has its final line
}

// Further allowances, added to Rules.Slack: from a client's disconnection to the first byte of a push that is
// still accepted, and from the client's deadline to the deadline that a push announces.
const (
	pushAfterDisconnectAllowance = ledger.Time(100 * time.Millisecond / ledger.Tenth) // to the first byte
	excessDeadlineAllowance      = ledger.Time(150 * time.Millisecond / ledger.Tenth) // after the client's deadline
)

// push is a push of an op as its worker recorded it.
type push struct {
	line            int
	at, firstByteAt ledger.Time
	announcedUntil  ledger.Time // the deadline that the push announced, 0 for none
	worker          string
	scheduler       int
	zone            string
	cell            int
	verdict         string
	verdictAt       ledger.Time
	verdictLine     int
	ranLine         int // line of the ledger, 0 where the job did not run
	ended           bool
	endedAt         ledger.Time
}

// mayHaveRun reports whether the scheduler has to assume that the job ran, given what the worker replied up
// to the time at.
func (p *push) mayHaveRun(at ledger.Time) bool {
	neverRan := p.verdict == ledger.Returned || p.verdict == ledger.TurnedAway
	return !neverRan || p.verdictAt > at
}

func (p *push) end(at ledger.Time) {
	if !p.ended {
		p.ended, p.endedAt = true, at
	}
}

type op struct {
	id, category        string
	scheduler           int
	expiresAt           ledger.Time
	dueLine             int
	sentCount, sentLine int // number of times the op was sent, and the line of the last Sent event
	sentAt              ledger.Time
	answers             []int
	lastKind            ledger.Kind
	lastLine            int
	connectionReused    bool
	readCuts            []int // lines of requests read and not answered; the client may have resent the op
	disconnected        bool
	disconnectedAt      ledger.Time
	pushes              []*push
	idShared            bool // attempts at other schedulers have the same ID
}

// owns reports whether a push belongs to this attempt. Where the ID is shared, pushes of other schedulers may
// belong to other attempts.
func (o *op) owns(p *push) bool { return !o.idShared || p.scheduler == o.scheduler }

// downtime is a span in which the lab had killed or suspended a scheduler. A value of to below 0
// means that the downtime has not ended.
type downtime struct{ from, to ledger.Time }

type scheduler struct {
	downtimes    []downtime
	termAt       ledger.Time
	terminating  bool
	killed       bool
	suspended    bool
	workerStates map[string]workerState // by worker name
}

type workerState struct {
	state string
	at    ledger.Time
	line  int
}

type worker struct {
	zone         string
	cell         int
	boot         ledger.Time
	cold         bool
	cores        float64
	recentPushes []coldPush
	overloaded   bool
	pushes       []*push // received by the present process
}

type coldPush struct {
	at         ledger.Time
	work       float64
	line       int
	startKnown bool // discovery had announced the worker's start to the scheduler
}

type auditor struct {
	rules      ledger.Rules
	events     []ledger.Event
	ops        map[string]*op
	order      []*op
	pushes     map[int]*push
	schedulers map[int]*scheduler
	workers    map[string]*worker
	readCuts   []int // lines of requests without an op that were read and not answered
	result     Judgement
}

// ErrNoRules means that a ledger does not begin with its rules.
var ErrNoRules = errors.New("the ledger does not begin with a line of rules")

// Judge checks the events of a ledger.
func Judge(events []ledger.Event) (Judgement, error) {
	if len(events) == 0 || events[0].Kind != ledger.Header || events[0].Rules == nil {
		return Judgement{}, ErrNoRules
	}
	j := &auditor{rules: *events[0].Rules, events: events, ops: map[string]*op{}, pushes: map[int]*push{},
		schedulers: map[int]*scheduler{}, workers: map[string]*worker{}}
	for i := range events {
		j.apply(i+1, &events[i])
	}
	last := events[len(events)-1]
	j.result.Complete = last.Kind == ledger.Finished
	for _, o := range j.order {
		j.checkAnswers(o, last.At)
		j.checkPushes(o)
	}
	j.checkReadCuts("", j.readCuts)
	slices.SortStableFunc(j.result.Breaches, func(a, b Breach) int { return a.Lines[len(a.Lines)-1] - b.Lines[len(b.Lines)-1] })
	return j.result, nil
}

func (j *auditor) breach(rule Rule, op string, lines []int, format string, args ...any) {
	slices.Sort(lines)
	j.result.Breaches = append(j.result.Breaches, Breach{rule, op, fmt.Sprintf(format, args...), slices.Compact(lines)})
}

func (j *auditor) scheduler(n int) *scheduler {
	s := j.schedulers[n]
	if s == nil {
		s = &scheduler{workerStates: map[string]workerState{}}
		j.schedulers[n] = s
	}
	return s
}

func (j *auditor) apply(line int, e *ledger.Event) {
	switch e.Kind {
	case ledger.Due:
		o := &op{id: e.Op, category: e.Category, scheduler: e.Scheduler, expiresAt: e.Until, dueLine: line, idShared: e.State == "shared"}
		if j.ops[e.Op] != nil {
			j.breach(Fabricated, e.Op, []int{j.ops[e.Op].dueLine, line}, "one id was given to two tries")
			return
		}
		j.ops[e.Op], j.order = o, append(j.order, o)
	case ledger.Sent, ledger.Answer, ledger.Cut, ledger.Refused, ledger.Left, ledger.Stray:
		j.applyClientEvent(line, e)
	case ledger.Reached, ledger.Ran, ledger.Dropped, ledger.WorkerReplied, ledger.Closed, ledger.UnknownPush:
		j.applyPushEvent(line, e)
	case ledger.Boot, ledger.WorkerOverloaded, ledger.Gone:
		j.applyWorkerEvent(line, e)
	case ledger.WorkerStateSent:
		j.applyWorkerState(line, e)
	case ledger.Up, ledger.Term, ledger.Stopped, ledger.Resumed, ledger.Killed, ledger.Exited:
		j.applyProcessEvent(line, e)
	}
}

func (j *auditor) applyClientEvent(line int, e *ledger.Event) {
	o := j.ops[e.Op]
	if o == nil {
		switch {
		case e.Kind == ledger.Stray:
			j.breach(LostOp, e.Op, []int{line}, "a client was sent what it had not asked for")
		case e.Kind == ledger.Cut && e.Text == ledger.ReadUnanswered:
			j.readCuts = append(j.readCuts, line)
		}
		return
	}
	switch e.Kind {
	case ledger.Sent:
		o.sentCount, o.sentLine, o.sentAt = o.sentCount+1, line, e.At
		if e.Until > 0 {
			o.expiresAt = e.Until
		}
	case ledger.Answer:
		o.answers = append(o.answers, line)
	case ledger.Left:
		o.disconnected, o.disconnectedAt = true, e.At
	case ledger.Cut:
		o.connectionReused = e.State == "reused"
		if e.Text == ledger.ReadUnanswered {
			o.readCuts = append(o.readCuts, line)
		}
	case ledger.Stray:
		j.breach(LostOp, e.Op, []int{o.dueLine, line}, "its client was sent more than one answer")
		return
	}
	o.lastKind, o.lastLine = e.Kind, line
}

func (j *auditor) applyPushEvent(line int, e *ledger.Event) {
	if e.Kind == ledger.UnknownPush {
		j.breach(Fabricated, e.Op, []int{line}, "worker %s was sent a push that no client asked for: %s", e.Worker, e.Text)
		return
	}
	if e.Kind == ledger.Reached {
		w := j.workers[e.Worker]
		if w == nil {
			w = &worker{}
			j.workers[e.Worker] = w
		}
		p := &push{line: line, at: e.At, firstByteAt: e.From, announcedUntil: e.Until, worker: e.Worker, scheduler: e.Scheduler,
			zone: w.zone, cell: w.cell}
		j.pushes[e.Push], w.pushes = p, append(w.pushes, p)
		if o := j.ops[e.Op]; o != nil {
			o.pushes = append(o.pushes, p)
		} else {
			j.breach(Fabricated, e.Op, []int{line}, "worker %s was sent an op that no client has", e.Worker)
		}
		j.checkDrain(line, e, p)
		j.checkColdLoad(line, e, w)
		return
	}
	p := j.pushes[e.Push]
	if p == nil {
		return
	}
	switch e.Kind {
	case ledger.Ran:
		p.ranLine = line
	case ledger.WorkerReplied:
		p.verdict, p.verdictAt, p.verdictLine = e.Verdict, e.At, line
		p.end(e.At)
	case ledger.Closed:
		p.end(min(e.From, e.At)) // the close takes time on the link, so e.At is later than e.From
	}
}

// checkDrain checks a push against the worker state that discovery had sent to its scheduler.
func (j *auditor) checkDrain(line int, e *ledger.Event, p *push) {
	t, ok := j.scheduler(e.Scheduler).workerStates[e.Worker]
	if !ok || t.state == "ready" {
		return
	}
	if late := p.firstByteAt - t.at; late > j.rules.DrainGrace+j.rules.Slack {
		j.breach(PushAfterDrain, e.Op, []int{t.line, line}, "scheduler %d pushed to %s %s after it was told that it is %s",
			e.Scheduler, e.Worker, formatMS(late), t.state)
	}
}

// checkColdLoad checks the work that all schedulers together push to a cold worker. The worker fails when
// this work exceeds its limit, whichever scheduler sent it. The rule is broken if over two thirds of the work
// came from schedulers to which discovery had announced the worker's start.
func (j *auditor) checkColdLoad(line int, e *ledger.Event, w *worker) {
	if !w.cold || j.rules.OverloadWindow == 0 || e.At-w.boot >= j.rules.WarmAfter {
		return
	}
	t, ok := j.scheduler(e.Scheduler).workerStates[e.Worker]
	w.recentPushes = append(w.recentPushes, coldPush{e.At, e.TypicalWork, line, ok && t.at >= w.boot})
	w.recentPushes = slices.DeleteFunc(w.recentPushes, func(l coldPush) bool { return l.at <= e.At-j.rules.OverloadWindow })
	sum, informed, lines := 0.0, 0.0, []int{}
	for _, l := range w.recentPushes {
		if sum, lines = sum+l.work, append(lines, l.line); l.startKnown {
			informed += l.work
		}
	}
	limit := j.rules.ColdWorkLimit(w.cores, e.At-w.boot)
	if sum <= limit || w.overloaded {
		return
	}
	if w.overloaded = true; 3*informed > 2*sum {
		j.breach(ColdOverload, "", lines, "%s fell under %.0f ms of work in %s, of which it bears %.0f; %.0f ms came from schedulers told of its start",
			e.Worker, sum, formatMS(j.rules.OverloadWindow), limit, informed)
	}
}

func (j *auditor) applyWorkerEvent(line int, e *ledger.Event) {
	w := j.workers[e.Worker]
	if w == nil {
		w = &worker{}
		j.workers[e.Worker] = w
	}
	switch e.Kind {
	case ledger.Boot:
		*w = worker{zone: e.Zone, cell: e.Cell, boot: e.At, cold: e.Cold, cores: e.Cores, pushes: w.pushes}
	case ledger.WorkerOverloaded:
		// checkColdLoad has already reported a worker that failed above its limit. A worker that failed
		// below its limit is at fault itself.
		if !w.overloaded {
			w.overloaded = true
			j.breach(ColdOverload, "", []int{line}, "%s fell over under what it bears", e.Worker)
		}
	case ledger.Gone:
		for _, p := range w.pushes { // scanning the whole ledger would be too slow: thousands of workers end
			p.end(e.At)
		}
		w.pushes = nil
	}
}

func (j *auditor) applyWorkerState(line int, e *ledger.Event) {
	s := j.scheduler(e.Scheduler)
	next := workerState{e.State, e.At, line}
	if before, ok := s.workerStates[e.Worker]; ok && before.state != "ready" && e.State != "ready" {
		next = before // the grace runs from the first announcement that the worker is not ready
	}
	s.workerStates[e.Worker] = next
}

func (j *auditor) applyProcessEvent(line int, e *ledger.Event) {
	s := j.scheduler(e.Scheduler)
	switch e.Kind {
	case ledger.Up:
		if n := len(s.downtimes); n > 0 && s.downtimes[n-1].to < 0 {
			s.downtimes[n-1].to = e.At
		}
		s.terminating, s.killed = false, false
	case ledger.Term:
		if !s.terminating {
			s.terminating, s.termAt = true, e.At
		}
	case ledger.Stopped:
		s.suspended, s.downtimes = true, append(s.downtimes, downtime{e.At, -1})
	case ledger.Resumed:
		if n := len(s.downtimes); s.suspended && n > 0 {
			s.downtimes[n-1].to = e.At
		}
		s.suspended = false
		for w, t := range s.workerStates { // a suspended scheduler can't act on a state before it resumes
			if n := len(s.downtimes); n > 0 && t.at >= s.downtimes[n-1].from {
				s.workerStates[w] = workerState{t.state, e.At, t.line}
			}
		}
	case ledger.Killed:
		// A scheduler that is killed later than KillAfter after SIGTERM is not excused: ops that it left
		// unanswered are lost.
		if !s.terminating || e.At-s.termAt <= j.rules.KillAfter {
			s.downtimes = append(s.downtimes, downtime{e.At, -1})
		}
		s.killed, s.suspended = true, false
		s.workerStates = map[string]workerState{}
	case ledger.Exited:
		if !s.terminating && !s.killed {
			j.breach(Crashed, "", []int{line}, "scheduler %d ended by itself: %s", e.Scheduler, e.Text)
			s.downtimes = append(s.downtimes, downtime{e.At, -1})
		}
		s.workerStates = map[string]workerState{}
	}
}

// schedulerInterrupted reports whether an op's scheduler was killed or suspended between the op's arrival and
// TTL.
func (j *auditor) schedulerInterrupted(o *op) bool {
	return !j.ranThroughout(o.scheduler, o.sentAt-j.rules.Slack, o.expiresAt+j.rules.Slack)
}

func (j *auditor) checkAnswers(o *op, last ledger.Time) {
	if o.sentCount == 0 || o.lastKind == ledger.Refused {
		return // no scheduler accepted the op
	}
	j.result.Ops++
	if !o.disconnected {
		j.checkReadCuts(o.id, o.readCuts)
	}
	lines := append([]int{o.dueLine}, o.answers...)
	switch {
	case len(o.answers) > 1:
		j.result.Answers++
		j.breach(LostOp, o.id, lines, "it has %d answers", len(o.answers))
	case len(o.answers) == 1:
		j.result.Answers++
		a := j.events[o.answers[0]-1]
		if a.At > o.expiresAt+j.rules.Slack && !j.schedulerInterrupted(o) && !o.disconnected {
			j.breach(LostOp, o.id, lines, "it was answered %s after its TTL", formatMS(a.At-o.expiresAt))
		}
		j.checkAnswer(o, o.answers[0], a)
	case o.disconnected || j.schedulerInterrupted(o):
		j.result.Excused++
	case o.lastKind == ledger.Cut && !o.connectionReused && len(o.pushes) == 0:
		j.result.Unread++
	case o.lastKind == ledger.Cut:
		j.breach(LostOp, o.id, []int{o.sentLine, o.lastLine}, "its connection ended without an answer")
	case last <= o.expiresAt+j.rules.Slack:
		j.result.Open++
	default:
		j.breach(LostOp, o.id, []int{o.sentLine}, "it has no answer")
	}
}

// checkReadCuts reports requests whose connection a scheduler closed after it had read them and without an
// answer. It also reports them if the client then got an answer from another scheduler.
func (j *auditor) checkReadCuts(op string, cuts []int) {
	for _, line := range cuts {
		e := j.events[line-1]
		if j.ranThroughout(e.Scheduler, e.At-j.rules.Slack, e.At+j.rules.Slack) {
			j.breach(LostOp, op, []int{line}, "scheduler %d read a request, and ended its connection with no answer", e.Scheduler)
		}
	}
}

// ranThroughout reports whether a scheduler was neither killed nor suspended between two moments.
func (j *auditor) ranThroughout(scheduler int, from, to ledger.Time) bool {
	for _, d := range j.scheduler(scheduler).downtimes {
		if d.from <= to && (d.to < 0 || d.to >= from) {
			return false
		}
	}
	return true
}

func (j *auditor) checkAnswer(o *op, line int, a ledger.Event) {
	for _, p := range o.pushes {
		if o.owns(p) && p.firstByteAt > a.At+j.rules.Slack {
			j.breach(LostOp, o.id, []int{line, p.line}, "it was pushed to %s after its answer", p.worker)
		}
	}
	switch a.Verdict {
	case ledger.Acked:
		for _, p := range o.pushes {
			if p.verdict == ledger.Done && j.events[p.verdictLine-1].Text == a.Text {
				return
			}
		}
		j.breach(Fabricated, o.id, []int{o.dueLine, line}, "it was acked with a result that no worker gave for it")
	case ledger.Nacked:
		c := j.rules.Categories[o.category]
		if c.Effect == ledger.Redeliverable {
			return
		}
		for _, p := range o.pushes {
			// A job that began after the nack counts as well: the push was in flight at the nack.
			if o.owns(p) && p.firstByteAt <= a.At && p.mayHaveRun(a.At) &&
				!(c.Effect == ledger.Deduplicated && c.Scope == "all" && a.At <= p.firstByteAt+c.Window+j.rules.Slack) {
				j.breach(DuplicateEffect, o.id, []int{p.line, line}, "it was nacked though its push to %s may have run", p.worker)
				return
			}
		}
	}
}

func (j *auditor) checkPushes(o *op) {
	c := j.rules.Categories[o.category]
	// Pushes are checked in the order in which they were sent: a link that was cut can deliver them in
	// another order.
	slices.SortStableFunc(o.pushes, func(a, b *push) int { return cmp.Compare(a.firstByteAt, b.firstByteAt) })
	var ran *push // the first push that may have run
	runs := []int{}
	for k, p := range o.pushes {
		if p.firstByteAt > o.expiresAt+j.rules.Slack {
			j.breach(LostOp, o.id, []int{o.dueLine, p.line}, "it was pushed to %s %s after its TTL", p.worker,
				formatMS(p.firstByteAt-o.expiresAt))
		}
		if o.disconnected && o.owns(p) && p.firstByteAt > o.disconnectedAt+pushAfterDisconnectAllowance+j.rules.Slack {
			j.breach(LostOp, o.id, []int{o.lastLine, p.line}, "it was pushed to %s %s after its client had left", p.worker, formatMS(p.firstByteAt-o.disconnectedAt))
		}
		if o.owns(p) && p.announcedUntil > o.expiresAt+excessDeadlineAllowance+j.rules.Slack {
			j.breach(ExcessDeadline, o.id, []int{o.dueLine, p.line}, "%s was told %s more than its client had", p.worker, formatMS(p.announcedUntil-o.expiresAt))
		}
		for _, q := range o.pushes[:k] {
			if !q.ended || q.endedAt > p.firstByteAt+j.rules.Slack {
				j.breach(DuplicateEffect, o.id, []int{q.line, p.line}, "it was pushed to %s while its push to %s was out", p.worker, q.worker)
			}
		}
		if ran != nil {
			j.checkRepeatedPush(o, c, ran, p)
		}
		next := ledger.Time(math.MaxInt64)
		if k+1 < len(o.pushes) {
			next = o.pushes[k+1].firstByteAt
		}
		if ran == nil && p.mayHaveRun(next) {
			ran = p
		}
		if p.ranLine > 0 {
			runs = append(runs, p.ranLine)
		}
	}
	// Deduplicated ops are checked by their pushes alone: a repeat may wait in a worker's queue until the
	// window is over, which is not the scheduler's fault.
	if len(runs) > 1 && c.Effect == ledger.AtMostOnce {
		j.breach(DuplicateEffect, o.id, runs, "it has run %d times", len(runs))
	}
}

// checkRepeatedPush checks a push that follows another push that may have run.
func (j *auditor) checkRepeatedPush(o *op, c ledger.Category, ran, p *push) {
	lines := []int{ran.line, p.line}
	switch {
	case c.Effect == ledger.Redeliverable:
	case c.Effect != ledger.Deduplicated:
		j.breach(DuplicateEffect, o.id, lines, "it was pushed to %s though its push to %s may have run", p.worker, ran.worker)
	case c.Scope == "zone" && p.zone != ran.zone || c.Scope == "cell" && (p.cell != ran.cell || p.zone != ran.zone):
		j.breach(DuplicateEffect, o.id, lines, "it was pushed to %s, which does not drop repeats of what %s has had", p.worker, ran.worker)
	case p.firstByteAt > ran.firstByteAt+c.Window+j.rules.Slack:
		j.breach(DuplicateEffect, o.id, lines, "it was pushed to %s %s after %s, longer than a repeat is known", p.worker,
			formatMS(p.firstByteAt-ran.firstByteAt), ran.worker)
	}
}

func formatMS(d ledger.Time) string { return fmt.Sprintf("%.1f ms", float64(d)/10) }
