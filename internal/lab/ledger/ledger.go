// Package ledger records the events of an experiment in an append-only file of JSON lines with one clock.
// Clients, workers, discovery and the code that starts and kills schedulers write the file. Schedulers do not
// write it, so that it is evidence against them.
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

// Behind is the text of a Sent event whose request is pipelined: its client still awaits the answer to an
// earlier request on the connection.
const Behind = "behind"

// ReadUnanswered is the text of a Cut event whose request the scheduler had read. The lab infers this from
// the kernel on the scheduler's side: it acknowledged the complete request and closed the connection in
// order. A close with unread bytes resets the connection instead.
const ReadUnanswered = "read, and closed with no answer"

// Kind is the kind of an event.
type Kind string

// The kinds, each with the part of the lab that writes it and the fields that it sets. Op is the ID of an
// attempt. Effect is the same for all attempts of a client's request.
const (
	Header           Kind = "world"    // first line; Rules, Seed
	Due              Kind = "due"      // client: an attempt is due; Category, Effect, Until (its TTL), Scheduler, Try
	Sent             Kind = "sent"     // client: the request's last byte is written; Late: how late the write began
	Answer           Kind = "answer"   // client: it received the complete answer; Verdict, Text
	Cut              Kind = "cut"      // client: the connection ended without a complete answer
	Refused          Kind = "refused"  // client: it could not connect
	Left             Kind = "left"     // client: it disconnected on purpose
	Stray            Kind = "stray"    // client: it received bytes that belong to no request
	Reached          Kind = "reached"  // worker: it received a push; Worker, Scheduler, Push, From (first byte), Until (deadline)
	UnknownPush      Kind = "strange"  // worker: it received a push that matches no client's request
	Ran              Kind = "ran"      // worker: the job's effect began
	Dropped          Kind = "dropped"  // worker: it dropped a repeat that its worker group remembers
	WorkerReplied    Kind = "said"     // worker: it wrote the reply's last line to the connection; Verdict, Text
	Closed           Kind = "closed"   // worker: the scheduler closed the push's connection, at From
	Probed           Kind = "probed"   // worker: it received a load probe
	Dialed           Kind = "dialed"   // worker: it accepted a connection
	Boot             Kind = "boot"     // worker: it started; Cores, Zone, Cell, Cold
	WorkerOverloaded Kind = "fell"     // worker: it failed under overload while it was cold
	Gone             Kind = "gone"     // worker: its process ended
	WorkerStateSent  Kind = "told"     // discovery: it sent a worker's State to a scheduler
	Up               Kind = "up"       // schedulers: the scheduler answers health checks
	Term             Kind = "term"     // schedulers: SIGTERM
	Hup              Kind = "hup"      // schedulers: SIGHUP
	Stopped          Kind = "stopped"  // schedulers: SIGSTOP
	Resumed          Kind = "resumed"  // schedulers: SIGCONT
	Killed           Kind = "killed"   // schedulers: SIGKILL is about to be sent
	Exited           Kind = "exited"   // schedulers: the process ended; Text says how
	LinkChanged      Kind = "way"      // links: the link from Scheduler to To is open or cut; State
	MemberView       Kind = "held"     // log of a scheduler: since From, it sees the member Name in State
	Repeat           Kind = "repeat"   // client: it repeats a request with the same ID, at Scheduler; Try
	RepeatAnswer     Kind = "echo"     // client: the repeat ended; Verdict and Text, or State cut, refused or left
	Fault            Kind = "fault"    // a fault began or ended; Text
	Finished         Kind = "finished" // last line: the experiment ended
)

// Rules are the parameters of the audit. Durations are in ledger ticks.
type Rules struct {
	Slack          Time                `json:"slack"` // added to each limit, for socket delays
	DrainGrace     Time                `json:"drain_grace"`
	OverloadFactor float64             `json:"overload_factor"`
	OverloadWindow Time                `json:"tip_after"`
	ColdFrom       float64             `json:"cold_from"`
	WarmAfter      Time                `json:"warm_after"`
	KillAfter      Time                `json:"kill_after"` // the least time from SIGTERM to SIGKILL
	MeanWork       float64             `json:"mean_work"`  // mean over all ops, ms of core time at speed 1
	Categories     map[string]Category `json:"categories"`
}

// CapacityShare returns the share of its capacity that a worker of this age has.
func (r *Rules) CapacityShare(age Time) float64 {
	if r.WarmAfter <= 0 || age >= r.WarmAfter {
		return 1
	}
	return r.ColdFrom + (1-r.ColdFrom)*float64(max(age, 0))/float64(r.WarmAfter)
}

// ColdWorkLimit returns how much work, in ms, a cold worker accepts in OverloadWindow before it fails. It is OverloadFactor
// times the work that the worker can do in that time, plus an allowance for random variation. If the product
// is n ops of mean work, the allowance is two plus twice the square root of n such ops. The parameter cores
// is the number of cores times the worker's speed.
func (r *Rules) ColdWorkLimit(cores float64, age Time) float64 {
	budget := r.OverloadFactor * cores * r.CapacityShare(age) * float64(r.OverloadWindow) / 10
	return budget + 2*math.Sqrt(budget*r.MeanWork) + 2*r.MeanWork
}

// Effects of categories.
const (
	Redeliverable = "redeliverable"
	Deduplicated  = "deduplicated"
	AtMostOnce    = "at-most-once"
)

// Category holds the properties of a category that the rules depend on.
type Category struct {
	Effect string `json:"effect"`
	Scope  string `json:"scope,omitempty"` // all, zone or cell
	Window Time   `json:"window,omitempty"`
}

// Verdicts of answers to clients, and of workers' replies.
const (
	Acked       = "acked"
	Nacked      = "nacked"
	Dead        = "dead-lettered"
	Bad         = "bad-request" // the request is not a valid op
	Done        = "done"
	Failed      = "failed"
	Returned    = "returned"
	TurnedAway  = "turned-away"
	Lost        = "lost"
	ServerError = "server-error"
)

// Event is a line of the ledger. Fields that its kind does not use are omitted.
type Event struct {
	At          Time    `json:"at"`
	Kind        Kind    `json:"kind"`
	Op          string  `json:"op,omitempty"`
	Effect      string  `json:"effect,omitempty"`
	Category    string  `json:"category,omitempty"`
	Scheduler   int     `json:"scheduler,omitempty"` // from 1
	Client      int     `json:"client,omitempty"`    // from 1
	To          int     `json:"to,omitempty"`        // another scheduler, from 1
	Worker      string  `json:"worker,omitempty"`
	Push        int     `json:"push,omitempty"` // number of the push in the experiment, from 1
	Try         int     `json:"try,omitempty"`
	Until       Time    `json:"until,omitempty"`
	From        Time    `json:"from,omitempty"`
	Late        Time    `json:"late,omitempty"`
	Work        float64 `json:"work,omitempty"` // ms of core time at speed 1
	Slots       float64 `json:"slots,omitempty"`
	TypicalWork float64 `json:"usual,omitempty"` // Work of a typical op of the category
	Cores       float64 `json:"cores,omitempty"` // number of cores times the speed of one core
	Zone        string  `json:"zone,omitempty"`
	Cell        int     `json:"cell,omitempty"`
	Cold        bool    `json:"cold,omitempty"`
	State       string  `json:"state,omitempty"` // ready, draining or gone
	Verdict     string  `json:"verdict,omitempty"`
	Status      int     `json:"status,omitempty"`
	Text        string  `json:"text,omitempty"`
	Seed        uint64  `json:"seed,omitempty"`
	Name        string  `json:"name,omitempty"`
	Rules       *Rules  `json:"rules,omitempty"`
}

// Writer writes a ledger. Its lines are in the order of their times.
type Writer struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	out    *bufio.Writer
	events []Event
	err    error
}

// Create starts a ledger. If the path is empty, the ledger is in memory only.
func Create(path string, start time.Time) (*Writer, error) {
	b := &Writer{start: start}
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

// Now returns the present time on the ledger's clock.
func (b *Writer) Now() Time { return b.FromTime(time.Now()) }

// FromTime converts a time of this process to the ledger's clock.
func (b *Writer) FromTime(t time.Time) Time { return Span(t.Sub(b.start)) }

// ToTime converts a time on the ledger's clock to a time of this process.
func (b *Writer) ToTime(t Time) time.Time { return b.start.Add(time.Duration(t) * Tenth) }

// FromWallClock converts a wall-clock time, such as a time in the log of another process, to the ledger's clock.
func (b *Writer) FromWallClock(t time.Time) Time { return Span(t.Sub(b.start.Round(0))) }

// Add writes an event with the present time, which it returns.
func (b *Writer) Add(e Event) Time {
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

// Events returns all events added so far. The caller must not change the slice.
func (b *Writer) Events() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.events[:len(b.events):len(b.events)]
}

// Close flushes and closes the file. It returns the first error of any write.
func (b *Writer) Close() error {
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

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// ErrTruncated means that the last line of a ledger is incomplete because its writer was interrupted.
var ErrTruncated = errors.New("the last line is incomplete")

// Read reads a ledger. If the last line is incomplete, it returns the lines before it and ErrTorn. Any other
// error names the line.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	in := bufio.NewReaderSize(r, maxLineBytes)
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
			return events, ErrTruncated
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
