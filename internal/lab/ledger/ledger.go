// Package ledger holds what happened in an experiment: one append-only file of JSON lines on one clock, and the
// kinds of events in it. It is written by those that were there (clients, workers, discovery, the hand that
// starts and kills schedulers) and never by a scheduler, so that it can be held against one.
package ledger

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"sync"
	"time"
)

// Time is a moment on the experiment's clock, in tenths of a millisecond since its start.
type Time int64

// Tenth is the unit of Time.
const Tenth = 100 * time.Microsecond

// Span is a duration in the ledger's unit, rounded down.
func Span(d time.Duration) Time { return Time(d / Tenth) }

// Behind is the text of a request that was sent behind another one whose answer its client still awaited.
const Behind = "behind"

// ReadUnanswered is the text of a cut whose request had been read: the kernel of the other side had acknowledged all of it, and ended the
// connection in order. One that is closed over unread bytes is reset.
const ReadUnanswered = "read, and closed with no answer"

// Kind says what an event is.
type Kind string

// The kinds, and who writes them. Op is a try's own id; Effect is the same for all tries of one client's wish.
const (
	World    Kind = "world"    // first line: Rules and Seed
	Due      Kind = "due"      // client: a try is due; Category, Effect, Until (its TTL), Scheduler, Try
	Sent     Kind = "sent"     // client: the last byte of the request is written; Late where it was not on time
	Answer   Kind = "answer"   // client: the whole answer is there; Verdict, Text
	Cut      Kind = "cut"      // client: the connection ended without a whole answer
	Refused  Kind = "refused"  // client: no connection came up
	Left     Kind = "left"     // client: it has closed its connection on purpose
	Stray    Kind = "stray"    // client: bytes that belong to no request
	Reached  Kind = "reached"  // worker: a push's last byte is here; Worker, Scheduler, Push, From (its first byte), Until (as it is told how long its answer is waited for)
	Strange  Kind = "strange"  // worker: a push that no client sent in this form
	Ran      Kind = "ran"      // worker: the job's effect begins
	Dropped  Kind = "dropped"  // worker: a repeat that its group remembers, so it has no effect
	Said     Kind = "said"     // worker: the last line is handed to the connection; Verdict, Text
	Closed   Kind = "closed"   // worker: the push's connection was ended from the other side, at From
	Probed   Kind = "probed"   // worker: a load report was asked for
	Dialed   Kind = "dialed"   // worker: a new connection
	Boot     Kind = "boot"     // worker: it has started; Cores, Zone, Cell, Cold
	Fell     Kind = "fell"     // worker: pushed over while it was cold
	Gone     Kind = "gone"     // worker: its process has ended
	Told     Kind = "told"     // discovery: a scheduler has been told of a worker's State
	Up       Kind = "up"       // schedulers: it answers health checks
	Term     Kind = "term"     // schedulers: SIGTERM
	Hup      Kind = "hup"      // schedulers: SIGHUP
	Stopped  Kind = "stopped"  // schedulers: SIGSTOP
	Resumed  Kind = "resumed"  // schedulers: SIGCONT
	Killed   Kind = "killed"   // schedulers: SIGKILL, before it is sent
	Exited   Kind = "exited"   // schedulers: the process has ended; Text says how
	Way      Kind = "way"      // links between schedulers: that from Scheduler to To is open or cut; State
	Held     Kind = "held"     // a scheduler's own log: it holds the one with Name in State, at From
	Repeat   Kind = "repeat"   // client: it asks again under the same id, at Scheduler; Try
	Echo     Kind = "echo"     // client: the end of that; Verdict and Text, or Cut, Refused or Left in State
	Fault    Kind = "fault"    // a fault begins or ends; Text
	Finished Kind = "finished" // last line: the experiment is over
)

// Rules are the figures that the audit judges by. Spans are in the ledger's unit.
type Rules struct {
	Slack          Time                `json:"slack"` // on each time limit, since sockets take time
	DrainGrace     Time                `json:"drain_grace"`
	OverloadFactor float64             `json:"overload_factor"`
	TipAfter       Time                `json:"tip_after"`
	ColdFrom       float64             `json:"cold_from"`
	WarmAfter      Time                `json:"warm_after"`
	KillAfter      Time                `json:"kill_after"` // after SIGTERM a scheduler has at least so long
	MeanWork       float64             `json:"mean_work"`  // of all ops in the mean, core time on the yardstick, ms
	Categories     map[string]Category `json:"categories"`
}

// Warmth is the share of its capacity that a worker has so long after its start.
func (r *Rules) Warmth(age Time) float64 {
	if r.WarmAfter <= 0 || age >= r.WarmAfter {
		return 1
	}
	return r.ColdFrom + (1-r.ColdFrom)*float64(max(age, 0))/float64(r.WarmAfter)
}

// Bears is how much work a cold worker may be sent in TipAfter before it falls, ms: the stated multiple of what it can do by
// then and, counted in ops of mean work, twice the root of that and two, which are chance. Cores is cores times speed.
func (r *Rules) Bears(cores float64, age Time) float64 {
	budget := r.OverloadFactor * cores * r.Warmth(age) * float64(r.TipAfter) / 10
	return budget + 2*math.Sqrt(budget*r.MeanWork) + 2*r.MeanWork
}

// Effects of categories.
const (
	Redeliverable = "redeliverable"
	Deduplicated  = "deduplicated"
	AtMostOnce    = "at-most-once"
)

// Category is what the rules need to know of one.
type Category struct {
	Effect string `json:"effect"`
	Scope  string `json:"scope,omitempty"` // all, zone or cell
	Window Time   `json:"window,omitempty"`
}

// Verdicts of clients' answers, and of workers' last words.
const (
	Acked       = "acked"
	Nacked      = "nacked"
	Dead        = "dead-lettered"
	Bad         = "bad-request" // it was no op
	Done        = "done"
	Failed      = "failed"
	Returned    = "returned"
	TurnedAway  = "turned-away"
	Lost        = "lost"
	ServerError = "server-error"
)

// Event is one line. What a kind does not need is left out.
type Event struct {
	At        Time    `json:"at"`
	Kind      Kind    `json:"kind"`
	Op        string  `json:"op,omitempty"`
	Effect    string  `json:"effect,omitempty"`
	Category  string  `json:"category,omitempty"`
	Scheduler int     `json:"scheduler,omitempty"` // from 1
	Client    int     `json:"client,omitempty"`    // from 1
	To        int     `json:"to,omitempty"`        // another scheduler, from 1
	Worker    string  `json:"worker,omitempty"`
	Push      int     `json:"push,omitempty"` // numbers all pushes of an experiment, from 1
	Try       int     `json:"try,omitempty"`
	Until     Time    `json:"until,omitempty"`
	From      Time    `json:"from,omitempty"`
	Late      Time    `json:"late,omitempty"`
	Work      float64 `json:"work,omitempty"` // core time on the yardstick, ms
	Slots     float64 `json:"slots,omitempty"`
	Usual     float64 `json:"usual,omitempty"` // the same of an ordinary op of its category
	Cores     float64 `json:"cores,omitempty"` // cores times speed
	Zone      string  `json:"zone,omitempty"`
	Cell      int     `json:"cell,omitempty"`
	Cold      bool    `json:"cold,omitempty"`
	State     string  `json:"state,omitempty"` // ready, draining or gone
	Verdict   string  `json:"verdict,omitempty"`
	Status    int     `json:"status,omitempty"`
	Text      string  `json:"text,omitempty"`
	Seed      uint64  `json:"seed,omitempty"`
	Name      string  `json:"name,omitempty"`
	Rules     *Rules  `json:"rules,omitempty"`
}

// Book is a ledger that is being written. Lines stand in the order in which their moments were taken.
type Book struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	out    *bufio.Writer
	events []Event
	err    error
}

// Create starts a ledger; with no path it is kept in memory only.
func Create(path string, start time.Time) (*Book, error) {
	b := &Book{start: start}
	if path == "" {
		return b, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	b.file, b.out = f, bufio.NewWriterSize(f, 64<<10)
	return b, nil
}

// Now is the moment on the ledger's clock.
func (b *Book) Now() Time { return b.Moment(time.Now()) }

// Moment is a time of the process on the ledger's clock.
func (b *Book) Moment(t time.Time) Time { return Span(t.Sub(b.start)) }

// Wall is a moment of the ledger as a time of the process.
func (b *Book) Wall(t Time) time.Time { return b.start.Add(time.Duration(t) * Tenth) }

// Clock is a moment of the wall clock on the ledger's clock: only for what others' logs say.
func (b *Book) Clock(t time.Time) Time { return Span(t.Sub(b.start.Round(0))) }

// Add writes an event with the moment at which it is added.
func (b *Book) Add(e Event) Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.At = b.Now()
	b.events = append(b.events, e)
	if b.out != nil && b.err == nil {
		line, err := json.Marshal(e)
		if err == nil {
			_, err = b.out.Write(append(line, '\n'))
		}
		b.err = err
	}
	return e.At
}

// Events are all that was added so far; the slice must not be changed.
func (b *Book) Events() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.events[:len(b.events):len(b.events)]
}

// Close writes the rest and says whether all of it was written.
func (b *Book) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.file == nil {
		return nil
	}
	err := errors.Join(b.err, b.out.Flush(), b.file.Close())
	b.file, b.out = nil, nil
	if err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

// longestLine bounds what a line of a ledger may hold.
const longestLine = 1 << 20

// ErrTorn says that the last line of a ledger is not whole: its writer was cut off.
var ErrTorn = errors.New("the last line is not whole")

// Read reads a ledger. One that was cut off in its last line is returned up to there, with ErrTorn; any other
// fault is an error that names the line.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	in := bufio.NewReaderSize(r, longestLine)
	for n := 1; ; n++ {
		line, err := in.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(line)) == 0:
			return events, nil
		case errors.Is(err, io.EOF):
			var e Event
			if json.Unmarshal(line, &e) == nil && e.Kind != "" {
				return append(events, e), nil
			}
			return events, ErrTorn
		case err != nil:
			return nil, fmt.Errorf("ledger: line %d: %w", n, err)
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, fmt.Errorf("ledger: line %d: %w", n, err)
		}
		if e.Kind == "" {
			return nil, fmt.Errorf("ledger: line %d: no kind", n)
		}
		events = append(events, e)
	}
}

// ReadFile reads a ledger from a file.
func ReadFile(path string) ([]Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	defer f.Close()
	return Read(f)
}
