// Package audit judges a ledger by the four rules. It takes events and returns breaches; it reads nothing, knows
// nothing of how the events came about and believes no scheduler: what counts is what clients, workers and
// discovery wrote down.
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

// Rule names what was broken.
type Rule string

// The four rules, and what stands beside them: a result that no worker made, a push that no client asked for,
// and a process that ended by itself.
const (
	Lost    Rule = "no op lost"
	Twice   Rule = "no effect twice"
	Drain   Rule = "drains kept"
	Cold    Rule = "cold worker not pushed over"
	Forged  Rule = "nothing made up"
	Crashed Rule = "no crash"
	Told    Rule = "no more time told than is left"
)

// Breach is one broken rule and the lines of the ledger that prove it, counted from 1.
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

// Judgement is what a ledger proves.
type Judgement struct {
	Ops      int      `json:"ops"`     // tries that a scheduler had taken
	Answers  int      `json:"answers"` // final answers to them
	Excused  int      `json:"excused"` // unanswered: their client had left, or their scheduler was killed or stopped
	Unread   int      `json:"unread"`  // closed before anything was done for them, on a new connection
	Open     int      `json:"open"`    // unanswered when the ledger ends, their time not up
	Breaches []Breach `json:"breaches"`
	Whole    bool     `json:"whole"` // the ledger has its last line
}

// What the terms allow beside the slack.
const (
	afterLeaving = ledger.Time(100 * time.Millisecond / ledger.Tenth) // from a client's leaving to the first byte of a push for it
	moreTold     = ledger.Time(150 * time.Millisecond / ledger.Tenth) // that a worker is told beyond what its client has left
)

// push is one push of an op as its worker saw it.
type push struct {
	line      int
	at, from  ledger.Time
	until     ledger.Time // as its worker was told, 0 for not
	worker    string
	scheduler int
	zone      string
	cell      int
	said      string
	saidAt    ledger.Time
	saidLine  int
	ran       int // its line, 0 for not
	over      bool
	overAt    ledger.Time
}

// mayHaveRun tells what a scheduler has to assume of a push at a moment.
func (p *push) mayHaveRun(at ledger.Time) bool {
	unrun := p.said == ledger.Returned || p.said == ledger.TurnedAway
	return !unrun || p.saidAt > at
}

func (p *push) end(at ledger.Time) {
	if !p.over {
		p.over, p.overAt = true, at
	}
}

type op struct {
	id, category   string
	scheduler      int
	until          ledger.Time
	dueLine        int
	sent, sentLine int // how often; the last one's line
	sentAt         ledger.Time
	answers        []int
	last           ledger.Kind
	lastLine       int
	reused         bool
	readCuts       []int // requests that were read and have no answer, wherever it was sent again
	left           bool
	leftAt         ledger.Time
	pushes         []*push
	shared         bool // its id is that of further tries, at other schedulers
}

// by tells whether a push is of this try: those of other schedulers may be of others under its id.
func (o *op) by(p *push) bool { return !o.shared || p.scheduler == o.scheduler }

// spell is a time in which a scheduler did not run, by our own hand; to below 0 has no end.
type spell struct{ from, to ledger.Time }

type scheduler struct {
	off    []spell
	termAt ledger.Time
	term   bool
	killed bool
	stop   bool
	told   map[string]told // by worker
}

type told struct {
	state string
	at    ledger.Time
	line  int
}

type worker struct {
	zone   string
	cell   int
	boot   ledger.Time
	cold   bool
	cores  float64
	work   []load
	fallen bool
	pushes []*push // that have come to this process
}

type load struct {
	at   ledger.Time
	work float64
	line int
	told bool // its scheduler had been told of the worker's start
}

type judge struct {
	rules      ledger.Rules
	events     []ledger.Event
	ops        map[string]*op
	order      []*op
	pushes     map[int]*push
	schedulers map[int]*scheduler
	workers    map[string]*worker
	readCuts   []int // requests of no op that were read and have no answer
	j          Judgement
}

// ErrNoRules says that a ledger does not begin with its rules.
var ErrNoRules = errors.New("the ledger does not begin with a line of rules")

// Judge judges a ledger's events.
func Judge(events []ledger.Event) (Judgement, error) {
	if len(events) == 0 || events[0].Kind != ledger.World || events[0].Rules == nil {
		return Judgement{}, ErrNoRules
	}
	j := &judge{rules: *events[0].Rules, events: events, ops: map[string]*op{}, pushes: map[int]*push{},
		schedulers: map[int]*scheduler{}, workers: map[string]*worker{}}
	for i := range events {
		j.take(i+1, &events[i])
	}
	last := events[len(events)-1]
	j.j.Whole = last.Kind == ledger.Finished
	for _, o := range j.order {
		j.judgeAnswers(o, last.At)
		j.judgePushes(o)
	}
	j.judgeReadCuts("", j.readCuts)
	slices.SortStableFunc(j.j.Breaches, func(a, b Breach) int { return a.Lines[len(a.Lines)-1] - b.Lines[len(b.Lines)-1] })
	return j.j, nil
}

func (j *judge) breach(rule Rule, op string, lines []int, format string, args ...any) {
	slices.Sort(lines)
	j.j.Breaches = append(j.j.Breaches, Breach{rule, op, fmt.Sprintf(format, args...), slices.Compact(lines)})
}

func (j *judge) scheduler(n int) *scheduler {
	s := j.schedulers[n]
	if s == nil {
		s = &scheduler{told: map[string]told{}}
		j.schedulers[n] = s
	}
	return s
}

func (j *judge) take(line int, e *ledger.Event) {
	switch e.Kind {
	case ledger.Due:
		o := &op{id: e.Op, category: e.Category, scheduler: e.Scheduler, until: e.Until, dueLine: line, shared: e.State == "shared"}
		if j.ops[e.Op] != nil {
			j.breach(Forged, e.Op, []int{j.ops[e.Op].dueLine, line}, "one id was given to two tries")
			return
		}
		j.ops[e.Op], j.order = o, append(j.order, o)
	case ledger.Sent, ledger.Answer, ledger.Cut, ledger.Refused, ledger.Left, ledger.Stray:
		j.client(line, e)
	case ledger.Reached, ledger.Ran, ledger.Dropped, ledger.Said, ledger.Closed, ledger.Strange:
		j.push(line, e)
	case ledger.Boot, ledger.Fell, ledger.Gone:
		j.worker(line, e)
	case ledger.Told:
		j.tell(line, e)
	case ledger.Up, ledger.Term, ledger.Stopped, ledger.Resumed, ledger.Killed, ledger.Exited:
		j.process(line, e)
	}
}

func (j *judge) client(line int, e *ledger.Event) {
	o := j.ops[e.Op]
	if o == nil {
		switch {
		case e.Kind == ledger.Stray:
			j.breach(Lost, e.Op, []int{line}, "a client was sent what it had not asked for")
		case e.Kind == ledger.Cut && e.Text == ledger.ReadUnanswered:
			j.readCuts = append(j.readCuts, line)
		}
		return
	}
	switch e.Kind {
	case ledger.Sent:
		o.sent, o.sentLine, o.sentAt = o.sent+1, line, e.At
		if e.Until > 0 {
			o.until = e.Until
		}
	case ledger.Answer:
		o.answers = append(o.answers, line)
	case ledger.Left:
		o.left, o.leftAt = true, e.At
	case ledger.Cut:
		o.reused = e.State == "reused"
		if e.Text == ledger.ReadUnanswered {
			o.readCuts = append(o.readCuts, line)
		}
	case ledger.Stray:
		j.breach(Lost, e.Op, []int{o.dueLine, line}, "its client was sent more than one answer")
		return
	}
	o.last, o.lastLine = e.Kind, line
}

func (j *judge) push(line int, e *ledger.Event) {
	if e.Kind == ledger.Strange {
		j.breach(Forged, e.Op, []int{line}, "worker %s was sent a push that no client asked for: %s", e.Worker, e.Text)
		return
	}
	if e.Kind == ledger.Reached {
		w := j.workers[e.Worker]
		if w == nil {
			w = &worker{}
			j.workers[e.Worker] = w
		}
		p := &push{line: line, at: e.At, from: e.From, until: e.Until, worker: e.Worker, scheduler: e.Scheduler,
			zone: w.zone, cell: w.cell}
		j.pushes[e.Push], w.pushes = p, append(w.pushes, p)
		if o := j.ops[e.Op]; o != nil {
			o.pushes = append(o.pushes, p)
		} else {
			j.breach(Forged, e.Op, []int{line}, "worker %s was sent an op that no client has", e.Worker)
		}
		j.drained(line, e, p)
		j.offered(line, e, w)
		return
	}
	p := j.pushes[e.Push]
	if p == nil {
		return
	}
	switch e.Kind {
	case ledger.Ran:
		p.ran = line
	case ledger.Said:
		p.said, p.saidAt, p.saidLine = e.Verdict, e.At, line
		p.end(e.At)
	case ledger.Closed:
		p.end(min(e.From, e.At)) // what lies on the link is told of later than it happened
	}
}

// drained judges a push by what its scheduler had been told of the worker.
func (j *judge) drained(line int, e *ledger.Event, p *push) {
	t, ok := j.scheduler(e.Scheduler).told[e.Worker]
	if !ok || t.state == "ready" {
		return
	}
	if late := p.from - t.at; late > j.rules.DrainGrace+j.rules.Slack {
		j.breach(Drain, e.Op, []int{t.line, line}, "scheduler %d pushed to %s %s after it was told that it is %s",
			e.Scheduler, e.Worker, spanText(late), t.state)
	}
}

// offered judges what all schedulers together send to a cold worker. It falls under more than it bears, whoever sent that;
// the rule is broken where over two thirds of it came from schedulers that had been told of its start.
func (j *judge) offered(line int, e *ledger.Event, w *worker) {
	if !w.cold || j.rules.TipAfter == 0 || e.At-w.boot >= j.rules.WarmAfter {
		return
	}
	t, ok := j.scheduler(e.Scheduler).told[e.Worker]
	w.work = append(w.work, load{e.At, e.Usual, line, ok && t.at >= w.boot})
	w.work = slices.DeleteFunc(w.work, func(l load) bool { return l.at <= e.At-j.rules.TipAfter })
	sum, told, lines := 0.0, 0.0, []int{}
	for _, l := range w.work {
		if sum, lines = sum+l.work, append(lines, l.line); l.told {
			told += l.work
		}
	}
	bears := j.rules.Bears(w.cores, e.At-w.boot)
	if sum <= bears || w.fallen {
		return
	}
	if w.fallen = true; 3*told > 2*sum {
		j.breach(Cold, "", lines, "%s fell under %.0f ms of work in %s, of which it bears %.0f; %.0f ms came from schedulers told of its start",
			e.Worker, sum, spanText(j.rules.TipAfter), bears, told)
	}
}

func (j *judge) worker(line int, e *ledger.Event) {
	w := j.workers[e.Worker]
	if w == nil {
		w = &worker{}
		j.workers[e.Worker] = w
	}
	switch e.Kind {
	case ledger.Boot:
		*w = worker{zone: e.Zone, cell: e.Cell, boot: e.At, cold: e.Cold, cores: e.Cores, pushes: w.pushes}
	case ledger.Fell: // offered has judged what it fell under; one that fell under less is at fault itself
		if !w.fallen {
			w.fallen = true
			j.breach(Cold, "", []int{line}, "%s fell over under what it bears", e.Worker)
		}
	case ledger.Gone:
		for _, p := range w.pushes { // not all of the ledger: thousands of workers end
			p.end(e.At)
		}
		w.pushes = nil
	}
}

func (j *judge) tell(line int, e *ledger.Event) {
	s := j.scheduler(e.Scheduler)
	t := told{e.State, e.At, line}
	if before, ok := s.told[e.Worker]; ok && before.state != "ready" && e.State != "ready" {
		t = before // the first word of it counts
	}
	s.told[e.Worker] = t
}

func (j *judge) process(line int, e *ledger.Event) {
	s := j.scheduler(e.Scheduler)
	switch e.Kind {
	case ledger.Up:
		if n := len(s.off); n > 0 && s.off[n-1].to < 0 {
			s.off[n-1].to = e.At
		}
		s.term, s.killed = false, false
	case ledger.Term:
		if !s.term {
			s.term, s.termAt = true, e.At
		}
	case ledger.Stopped:
		s.stop, s.off = true, append(s.off, spell{e.At, -1})
	case ledger.Resumed:
		if n := len(s.off); s.stop && n > 0 {
			s.off[n-1].to = e.At
		}
		s.stop = false
		for w, t := range s.told { // nobody can act on what he was told in his sleep
			if n := len(s.off); n > 0 && t.at >= s.off[n-1].from {
				s.told[w] = told{t.state, e.At, t.line}
			}
		}
	case ledger.Killed:
		// One that had its time after SIGTERM is owed nothing: what it left unanswered is lost.
		if !s.term || e.At-s.termAt <= j.rules.KillAfter {
			s.off = append(s.off, spell{e.At, -1})
		}
		s.killed, s.stop = true, false
		s.told = map[string]told{}
	case ledger.Exited:
		if !s.term && !s.killed {
			j.breach(Crashed, "", []int{line}, "scheduler %d ended by itself: %s", e.Scheduler, e.Text)
			s.off = append(s.off, spell{e.At, -1})
		}
		s.told = map[string]told{}
	}
}

// excused tells whether an op's scheduler did not run at some moment of its time.
func (j *judge) excused(o *op) bool {
	return !j.ranThroughout(o.scheduler, o.sentAt-j.rules.Slack, o.until+j.rules.Slack)
}

func (j *judge) judgeAnswers(o *op, last ledger.Time) {
	if o.sent == 0 || o.last == ledger.Refused {
		return // no scheduler has taken it
	}
	j.j.Ops++
	if !o.left {
		j.judgeReadCuts(o.id, o.readCuts)
	}
	lines := append([]int{o.dueLine}, o.answers...)
	switch {
	case len(o.answers) > 1:
		j.j.Answers++
		j.breach(Lost, o.id, lines, "it has %d answers", len(o.answers))
	case len(o.answers) == 1:
		j.j.Answers++
		a := j.events[o.answers[0]-1]
		if a.At > o.until+j.rules.Slack && !j.excused(o) && !o.left {
			j.breach(Lost, o.id, lines, "it was answered %s after its TTL", spanText(a.At-o.until))
		}
		j.judgeAnswer(o, o.answers[0], a)
	case o.left || j.excused(o):
		j.j.Excused++
	case o.last == ledger.Cut && !o.reused && len(o.pushes) == 0:
		j.j.Unread++
	case o.last == ledger.Cut:
		j.breach(Lost, o.id, []int{o.sentLine, o.lastLine}, "its connection ended without an answer")
	case last <= o.until+j.rules.Slack:
		j.j.Open++
	default:
		j.breach(Lost, o.id, []int{o.sentLine}, "it has no answer")
	}
}

// judgeReadCuts finds requests that a scheduler read and closed with no answer, though their client went elsewhere with them.
func (j *judge) judgeReadCuts(op string, cuts []int) {
	for _, line := range cuts {
		e := j.events[line-1]
		if j.ranThroughout(e.Scheduler, e.At-j.rules.Slack, e.At+j.rules.Slack) {
			j.breach(Lost, op, []int{line}, "scheduler %d read a request, and ended its connection with no answer", e.Scheduler)
		}
	}
}

// ranThroughout tells whether a scheduler was neither killed nor stopped between two moments.
func (j *judge) ranThroughout(scheduler int, from, to ledger.Time) bool {
	for _, x := range j.scheduler(scheduler).off {
		if x.from <= to && (x.to < 0 || x.to >= from) {
			return false
		}
	}
	return true
}

func (j *judge) judgeAnswer(o *op, line int, a ledger.Event) {
	for _, p := range o.pushes {
		if o.by(p) && p.from > a.At+j.rules.Slack {
			j.breach(Lost, o.id, []int{line, p.line}, "it was pushed to %s after its answer", p.worker)
		}
	}
	switch a.Verdict {
	case ledger.Acked:
		for _, p := range o.pushes {
			if p.said == ledger.Done && j.events[p.saidLine-1].Text == a.Text {
				return
			}
		}
		j.breach(Forged, o.id, []int{o.dueLine, line}, "it was acked with a result that no worker gave for it")
	case ledger.Nacked:
		c := j.rules.Categories[o.category]
		if c.Effect == ledger.Redeliverable {
			return
		}
		for _, p := range o.pushes {
			// What a worker began after the client was told counts as well: the push was out.
			if o.by(p) && p.from <= a.At && p.mayHaveRun(a.At) &&
				!(c.Effect == ledger.Deduplicated && c.Scope == "all" && a.At <= p.from+c.Window+j.rules.Slack) {
				j.breach(Twice, o.id, []int{p.line, line}, "it was nacked though its push to %s may have run", p.worker)
				return
			}
		}
	}
}

func (j *judge) judgePushes(o *op) {
	c := j.rules.Categories[o.category]
	// They count in the order in which they were sent: a link that was cut brings them in any.
	slices.SortStableFunc(o.pushes, func(a, b *push) int { return cmp.Compare(a.from, b.from) })
	var ran *push // the first that may have run
	runs := []int{}
	for k, p := range o.pushes {
		if p.from > o.until+j.rules.Slack {
			j.breach(Lost, o.id, []int{o.dueLine, p.line}, "it was pushed to %s %s after its TTL", p.worker,
				spanText(p.from-o.until))
		}
		if o.left && o.by(p) && p.from > o.leftAt+afterLeaving+j.rules.Slack {
			j.breach(Lost, o.id, []int{o.lastLine, p.line}, "it was pushed to %s %s after its client had left", p.worker, spanText(p.from-o.leftAt))
		}
		if o.by(p) && p.until > o.until+moreTold+j.rules.Slack {
			j.breach(Told, o.id, []int{o.dueLine, p.line}, "%s was told %s more than its client had", p.worker, spanText(p.until-o.until))
		}
		for _, q := range o.pushes[:k] {
			if !q.over || q.overAt > p.from+j.rules.Slack {
				j.breach(Twice, o.id, []int{q.line, p.line}, "it was pushed to %s while its push to %s was out", p.worker, q.worker)
			}
		}
		if ran != nil {
			j.judgeFurther(o, c, ran, p)
		}
		next := ledger.Time(math.MaxInt64)
		if k+1 < len(o.pushes) {
			next = o.pushes[k+1].from
		}
		if ran == nil && p.mayHaveRun(next) {
			ran = p
		}
		if p.ran > 0 {
			runs = append(runs, p.ran)
		}
	}
	// Of repeats that workers drop, the pushes tell: one that waits in a queue beyond the window is not the scheduler's.
	if len(runs) > 1 && c.Effect == ledger.AtMostOnce {
		j.breach(Twice, o.id, runs, "it has run %d times", len(runs))
	}
}

// judgeFurther judges a push that follows one that may have run.
func (j *judge) judgeFurther(o *op, c ledger.Category, ran, p *push) {
	lines := []int{ran.line, p.line}
	switch {
	case c.Effect == ledger.Redeliverable:
	case c.Effect != ledger.Deduplicated:
		j.breach(Twice, o.id, lines, "it was pushed to %s though its push to %s may have run", p.worker, ran.worker)
	case c.Scope == "zone" && p.zone != ran.zone || c.Scope == "cell" && (p.cell != ran.cell || p.zone != ran.zone):
		j.breach(Twice, o.id, lines, "it was pushed to %s, which does not drop repeats of what %s has had", p.worker, ran.worker)
	case p.from > ran.from+c.Window+j.rules.Slack:
		j.breach(Twice, o.id, lines, "it was pushed to %s %s after %s, longer than a repeat is known", p.worker,
			spanText(p.from-ran.from), ran.worker)
	}
}

func spanText(t ledger.Time) string { return fmt.Sprintf("%.1f ms", float64(t)/10) }
