package mesh

import (
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// dropCause is the reason for which a message or a stream was dropped. The console uses it as a JSON key.
type dropCause string

const (
	errTooLong         dropCause = "too long"
	errWrongVersion    dropCause = "wrong version"
	errMalformed       dropCause = "garbled"
	errOutsideNetworks dropCause = "outside the networks"
	errWrongCluster    dropCause = "wrong cluster"
	errServiceDisabled dropCause = "switched off here"             // the host has no callback for the service
	errUnknownSender   dropCause = "not the process that is known" // sender's name or incarnation is unknown
	errQueueFull       dropCause = "no room"                       // the input queue of the loop is full
	errTooManyAccepted dropCause = "too many streams"              // maxAcceptedStreams is reached
	errTooManyOpened   dropCause = "no room to open a stream"      // maxOpenedStreams is reached
)

func (c dropCause) Error() string { return string(c) }

// dropCounter counts dropped messages and streams by cause. It logs at most one line per dropLogInterval.
type dropCounter struct {
	log      zerolog.Logger
	mu       sync.Mutex
	counts   map[dropCause]uint64
	loggedAt time.Time
}

func newDropCounter(log zerolog.Logger) *dropCounter {
	return &dropCounter{log: log, counts: map[dropCause]uint64{}}
}

// add counts a dropped message or stream. The error is a dropCause or wraps one. Any other error
// counts as errMalformed.
func (d *dropCounter) add(err error) {
	cause := errMalformed
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

// byCause returns the counts, keyed by the text of the cause.
func (d *dropCounter) byCause() map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make(map[string]uint64, len(d.counts))
	for cause, count := range d.counts {
		counts[cause.Error()] = count
	}
	return counts
}
