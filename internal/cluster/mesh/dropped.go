package mesh

import (
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// dropCause is why a message or a stream was dropped. The console shows the causes as JSON keys.
type dropCause string

const (
	errTooLong        dropCause = "too long"
	errVersion        dropCause = "wrong version"
	errGarbled        dropCause = "garbled"
	errOutside        dropCause = "outside the networks"
	errWrongCluster   dropCause = "wrong cluster"
	errNotEnabled     dropCause = "switched off here"             // a service that is not enabled
	errUnknownSender  dropCause = "not the process that is known" // under the sender's name
	errQueueFull      dropCause = "no room"                       // in the queue of the loop
	errTooManyStreams dropCause = "too many streams"              // that others opened
	errTooManyOpened  dropCause = "no room to open a stream"
)

func (c dropCause) Error() string { return string(c) }

// dropCounter counts what is dropped by its cause, and logs that at most once in dropLogInterval.
type dropCounter struct {
	log      zerolog.Logger
	mu       sync.Mutex
	counts   map[dropCause]uint64
	loggedAt time.Time
}

func newDropCounter(log zerolog.Logger) *dropCounter {
	return &dropCounter{log: log, counts: map[dropCause]uint64{}}
}

// add counts an error that is a dropCause or wraps one.
func (d *dropCounter) add(err error) {
	cause := errGarbled
	errors.As(err, &cause)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[cause]++
	now := time.Now()
	if now.Sub(d.loggedAt) >= dropLogInterval {
		d.loggedAt = now
		d.log.Warn().
			Str("cause", cause.Error()).
			Interface("totals", d.counts).
			Msg("messages of other schedulers dropped")
	}
}

// byCause returns the counts as the console shows them.
func (d *dropCounter) byCause() map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make(map[string]uint64, len(d.counts))
	for cause, count := range d.counts {
		counts[cause.Error()] = count
	}
	return counts
}
