// Package scheduler runs the event loop of a dispatcher: it feeds ops, load reports, endpoint lists and
// timers to the reducer, and carries out the effects that the reducer returns. It knows nothing of the
// protocol that clients speak: a frontend submits ops, and implements Client for whoever waits for them.
package scheduler

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
	"woaddyke/internal/lifecycle/clock"
	"woaddyke/internal/observe/invariant"
	"woaddyke/internal/observe/metrics"
	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/workers/workerconn"
)

const (
	// MaxTTL is the longest time that a client may wait for an op. A frontend cuts longer ones to it.
	MaxTTL = 24 * time.Hour

	inboxSize = 256 // messages that wait for the loop

	// learnedTimeout bounds the wait for what the reducer has learned: a successor starts without it
	// after that.
	learnedTimeout = 2 * time.Second

	// maxDispatchDelay is added to the connect timeout for the time from a decision to the first byte of its
	// attempt: the process may be held up and come late to a connection that is up.
	maxDispatchDelay = 300 * time.Millisecond
)

var (
	// ErrStopped says that the loop takes nothing more.
	ErrStopped = errors.New("the scheduler has ended")

	// ErrBusy says that the loop did not answer a query in time.
	ErrBusy = errors.New("the scheduler's loop is busy")
)

// Message is what the loop takes: an Input, a Submit or a Query.
type Message interface{ message() }

// Input is an event for the reducer.
type Input struct{ Event reducer.Input }

// Submit hands an admitted op to the loop, with the terms on which it was admitted.
type Submit struct {
	Op           reducer.OpArrived
	Client       Client
	Deadline     time.Time           // the moment at which the client gives up
	Rule         config.CategoryRule // of the op's category, at its arrival
	MaxAttempts  int                 // at its arrival
	ClaimGranted bool                // the replicas granted the claim to run it

	// Reply gets the one final answer. It must have space for it: the loop doesn't wait.
	Reply chan<- reducer.Respond
}

// Query reads the loop's state between two steps. The loop waits for it, and the state is valid only
// during the call.
type Query func(State)

func (Input) message()  {}
func (Submit) message() {}
func (Query) message()  {}

// State is what a Query may read.
type State struct {
	Reducer   *reducer.Reducer
	Submitted uint64 // ops taken since the start
	Pending   int    // of them, those without an answer
}

// Client is the side of an op that waits for its answer. The loop and the goroutines that write to
// workers call it.
type Client interface {
	// Disconnected tells whether the frontend has noticed that the client is gone. It makes no system call.
	Disconnected() bool

	// CheckConnected looks at the client's connection itself. It is called before each write to a worker.
	CheckConnected() bool

	// Request returns the request as it goes to a worker that has so much time left.
	Request(left time.Duration) []byte

	// MayHaveRun reports that the last attempt may have run in a group of workers. The loop calls it once or
	// more for such an attempt, before it answers the op.
	MayHaveRun(group reducer.Group)
}

// Policy is what the invariant checks compare attempts with: the settings in force. It may be called from any
// goroutine.
type Policy interface {
	Rule(category string) config.CategoryRule
	MaxAttempts() int
	ClaimRequired(category string) bool // before an op of the category may run
}

// Options are what a loop is made from.
type Options struct {
	Reducer *reducer.Reducer
	Workers *workerconn.Pool
	Policy  Policy
	Checker *invariant.Checker
	Metrics *metrics.Recorder
	Clock   clock.Clock
	Log     zerolog.Logger

	ProbeRequest   []byte        // a load probe as it goes to a worker
	ConnectTimeout time.Duration // of a dial to a worker
	DrainGrace     time.Duration // for which a worker may still get attempts after its drain was announced

	SendToPeer func(peer int, text string) // sends a message to another scheduler; it may be lost
	OnStep     func(now time.Time)         // called at each step, and at least once a second

	PublishWorkerCounts bool // sets the counts of workers in Metrics
	LogDivergence       bool // logs how often shadow settings decided otherwise
}

// Loop feeds the reducer and carries out its effects. Run's goroutine alone uses the fields of the second
// group.
type Loop struct {
	opts           Options
	inbox          chan Message
	done           chan struct{} // closed once Run takes nothing more
	endpointsReady chan struct{} // closed with the first endpoint list that is not cached
	unapplied      atomic.Int64  // endpoint lists sent and not applied

	submitted    uint64
	listReceived bool // listed is closed
	pending      map[uint64]*pendingOp
	inFlight     map[uint64]*workerconn.Exchange // by op
	timer        *time.Timer
	checks       *checks
}

// New returns a loop that Run starts. Messages may be sent before that, up to the size of the inbox.
func New(o Options) *Loop {
	return &Loop{
		opts:           o,
		inbox:          make(chan Message, inboxSize),
		done:           make(chan struct{}),
		endpointsReady: make(chan struct{}),
		pending:        map[uint64]*pendingOp{},
		inFlight:       map[uint64]*workerconn.Exchange{},
		timer:          time.NewTimer(0),
		checks:         newChecks(o.Checker, o.Policy, o.DrainGrace),
	}
}

// Send hands an event to the reducer. It waits for space in the inbox, but not for a loop that has ended.
func (l *Loop) Send(event reducer.Input) {
	if _, list := event.(reducer.EndpointsChanged); list {
		l.unapplied.Add(1)
	}
	select {
	case l.inbox <- Input{event}:
	case <-l.done:
	}
}

// Submit hands an op to the loop. It gives up when the context ends, which is that of the op's client: an
// op whose client is gone by then is never taken.
func (l *Loop) Submit(ctx context.Context, s Submit) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case l.inbox <- s:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return ErrStopped
	}
}

// Inbox is for senders that must not wait. Endpoint lists and ops go by Send and Submit.
func (l *Loop) Inbox() chan<- Message { return l.inbox }

// Done is closed once the loop takes nothing more.
func (l *Loop) Done() <-chan struct{} { return l.done }

// EndpointsReady is closed once discovery has sent an endpoint list.
func (l *Loop) EndpointsReady() <-chan struct{} { return l.endpointsReady }

// HasUnappliedLists tells whether an endpoint list has been sent that the reducer hasn't got yet.
func (l *Loop) HasUnappliedLists() bool { return l.unapplied.Load() > 0 }

// Learned returns what the reducer has learned, or ErrBusy.
func (l *Loop) Learned() (reducer.LearnedState, error) {
	learned := make(chan reducer.LearnedState, 1)
	timeout := time.After(learnedTimeout)
	select {
	case l.inbox <- Query(func(s State) { learned <- s.Reducer.Learned() }):
	case <-timeout:
		return reducer.LearnedState{}, ErrBusy
	}
	select {
	case x := <-learned:
		return x, nil
	case <-timeout:
		return reducer.LearnedState{}, ErrBusy
	}
}
