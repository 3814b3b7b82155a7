// Package scheduler runs the event loop of a dispatcher: it feeds ops, load reports, endpoint lists and
// timers to the reducer, and carries out the effects that the reducer returns. It does not depend on the
// client protocol: a frontend submits ops and implements Client for the side that waits for the answer.
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
	// MaxTTL is the longest time that a client may wait for an op. A frontend reduces longer times to MaxTTL.
	MaxTTL = 24 * time.Hour

	inboxSize = 256 // messages queued for the loop

	// learnedTimeout bounds the wait for the reducer's learned state; after it, a successor starts without
	// that state.
	learnedTimeout = 2 * time.Second

	// maxDispatchDelay is added to the connect timeout to bound the time from a decision to the first byte of
	// its attempt: a stalled process may write late to a connection that is already up.
	maxDispatchDelay = 300 * time.Millisecond
)

var (
	// ErrStopped is returned once the loop accepts no more messages.
	ErrStopped = errors.New("the scheduler has ended")

	// ErrBusy is returned when the loop does not answer a query in time.
	ErrBusy = errors.New("the scheduler's loop is busy")
)

// Message is sent to the loop: an Input, a Submit, a Query or siblingChanged.
type Message interface{ message() }

// Input is an event for the reducer.
type Input struct{ Event reducer.Input }

// Submit passes an admitted op to the loop, with the settings under which it was admitted.
type Submit struct {
	Op           reducer.OpArrived
	Client       Client
	Deadline     time.Time           // when the client stops waiting
	Rule         config.CategoryRule // rule of the op's category when the op arrived
	MaxAttempts  int                 // limit on attempts when the op arrived
	ClaimGranted bool                // the replicas have granted the claim to run the op

	// Reply receives the one final answer. It must be buffered: the loop sends without waiting.
	Reply chan<- reducer.Respond
}

// Query reads the loop's state between two steps. The loop waits until the call returns, and the state is
// valid only during the call.
type Query func(State)

func (Input) message()  {}
func (Submit) message() {}
func (Query) message()  {}

// State is the part of the loop's state that a Query reads.
type State struct {
	Reducer   *reducer.Reducer
	Submitted uint64 // ops accepted since the start
	Pending   int    // accepted ops without an answer
}

// Client is the side that waits for an op's answer. The loop and the goroutines that write to workers call
// its methods.
type Client interface {
	// Disconnected reports whether the frontend has noticed that the client disconnected. It makes no system
	// call.
	Disconnected() bool

	// CheckConnected checks the client's connection itself and reports whether the client is still connected.
	// It is called before each write to a worker.
	CheckConnected() bool

	// Request returns the encoded request for a worker, with the time left until the client's deadline.
	Request(left time.Duration) []byte

	// MayHaveRun records that the last attempt may have run in a worker group. The loop calls it at least
	// once for each such attempt, before it answers the op.
	MayHaveRun(group reducer.Group)
}

// Policy returns the settings in force, with which the invariant checks compare attempts. Its methods may be
// called from any goroutine.
type Policy interface {
	Rule(category string) config.CategoryRule
	MaxAttempts() int
	ClaimRequired(category string) bool // whether an op of the category needs a claim before it runs
}

// Options configures a Loop.
type Options struct {
	Reducer *reducer.Reducer
	Workers *workerconn.Pool
	Policy  Policy
	Checker *invariant.Checker
	Metrics *metrics.Recorder
	Clock   clock.Clock
	Log     zerolog.Logger

	ProbeRequest   []byte        // an encoded load probe
	ConnectTimeout time.Duration // of a dial to a worker
	DrainGrace     time.Duration // how long a worker still gets attempts after its drain was announced

	SendToPeer func(peer int, text string) // sends a message to another scheduler; it may be lost
	OnStep     func(now time.Time)         // called at each step, and at least once a second

	PublishWorkerCounts bool // sets the worker counts in Metrics
	LogDivergence       bool // logs how often shadow settings would have decided differently
}

// Loop feeds the reducer and carries out its effects. Only Run's goroutine uses the fields of the second
// group.
type Loop struct {
	opts           Options
	inbox          chan Message
	done           chan struct{} // closed once Run receives no more messages
	endpointsReady chan struct{} // closed when the first endpoint list arrives that is not cached
	unappliedLists atomic.Int64  // endpoint lists that were sent and are not applied yet

	submitted    uint64
	listReceived bool // endpointsReady has been closed
	pending      map[uint64]*pendingOp
	inFlight     map[uint64]*workerconn.Exchange // by op
	timer        *time.Timer
	checks       *checks
	siblings     []Sibling // processes that admit ops beside this one
}

// New returns a loop that Run starts. Up to inboxSize messages may be sent before Run.
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

// Send passes an event to the reducer. It waits for space in the inbox, unless the loop has ended.
func (l *Loop) Send(event reducer.Input) {
	if _, list := event.(reducer.EndpointsChanged); list {
		l.unappliedLists.Add(1)
	}
	select {
	case l.inbox <- Input{event}:
	case <-l.done:
	}
}

// Submit passes an op to the loop. ctx is the context of the op's client. If ctx ends before there is space
// in the inbox, Submit returns the error of ctx: an op whose client has disconnected by then is never
// accepted. If the loop ends first, Submit returns ErrStopped.
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

// Inbox returns the loop's inbox, for senders that must not block. Endpoint lists and ops must be sent with
// Send and Submit instead.
func (l *Loop) Inbox() chan<- Message { return l.inbox }

// Done is closed once the loop receives no more messages.
func (l *Loop) Done() <-chan struct{} { return l.done }

// EndpointsReady is closed once discovery has sent an endpoint list.
func (l *Loop) EndpointsReady() <-chan struct{} { return l.endpointsReady }

// HasUnappliedLists reports whether an endpoint list was sent that the reducer has not applied yet.
func (l *Loop) HasUnappliedLists() bool { return l.unappliedLists.Load() > 0 }

// HandOver returns the reducer's learned state, or ErrBusy if the loop does not answer within learnedTimeout.
// From that state on, the loop announces its ops to the successor, if that is not nil.
func (l *Loop) HandOver(successor Sibling) (reducer.LearnedState, error) {
	learned := make(chan reducer.LearnedState, 1)
	timeout := time.After(learnedTimeout)
	handOver := Query(func(s State) {
		if successor != nil {
			l.addSibling(successor)
		}
		learned <- s.Reducer.Learned()
	})
	select {
	case l.inbox <- handOver:
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
