package front

import (
	"context"
	"net/http"
	"time"

	"woaddyke/internal/copies"
	"woaddyke/internal/ops"
)

// Fates guards ops that must not run twice over all schedulers together.
type Fates interface {
	// Ask waits for whether an op may be pushed, at most so long.
	Ask(ctx context.Context, category, id string, request []byte, within time.Duration) copies.Decided
	// End says what became of one that may.
	End(ticket uint64, unsent bool, status int, answer []byte)
}

const comeBack = 200 * time.Millisecond // to an op that another scheduler holds, or that no majority could be asked for

// Guard has ops of some categories asked for before they are taken. It is called before Serve.
func (f *Front) Guard(by Fates, needs func(category string) bool) { f.fates, f.guarded = by, needs }

// guard asks for an op. It returns the ticket to end it with, or the answer in place of taking it.
func (f *Front) guard(r *http.Request, h *held) (ticket uint64, no *http.Response) {
	left := time.Duration(int64(h.TTL)*int64(time.Second/10_000) - f.loop.clock.nanos(time.Now()))
	request := append(append([]byte(h.target), 0), h.request.Body...)
	d := f.fates.Ask(r.Context(), h.Category, h.ID, request, left)
	f.log.Debug().Str("id", h.ID).Stringer("outcome", d.Outcome).Stringer("why", d.Why).Msg("asked for")
	switch d.Outcome {
	case copies.Mine:
		return d.Ticket, nil
	case copies.Again:
		return 0, plain(r, int(d.Fate.Verdict), d.Fate.Result, 0)
	case copies.Ran:
		if d.Fate.Verdict == http.StatusOK {
			return 0, plain(r, http.StatusConflict, []byte("an op with this id was acked; its answer is not held\n"), 0)
		}
		return 0, plain(r, http.StatusBadGateway, []byte("dead-lettered: an op with this id may have run\n"), 0)
	case copies.Runs:
		return 0, plain(r, http.StatusServiceUnavailable, []byte("nacked: another scheduler holds an op with this id\n"), comeBack)
	case copies.Unknown:
		return 0, plain(r, http.StatusBadGateway, []byte("dead-lettered: an op with this id may have run, and its scheduler is gone\n"), 0)
	case copies.Other:
		return 0, plain(r, http.StatusUnprocessableEntity, []byte("another request came under this id\n"), 0)
	}
	return 0, plain(r, http.StatusServiceUnavailable, []byte("nacked: no majority of keepers answered\n"), comeBack)
}

// settle has the keepers know what became of an op that was asked for.
func (f *Front) settle(ticket uint64, a ops.Answer) {
	switch a.Verdict {
	case ops.Acked:
		f.fates.End(ticket, false, http.StatusOK, a.Result)
	case ops.Nacked, ops.UnknownCategory, ops.TakenID:
		f.fates.End(ticket, true, 0, nil)
	default:
		f.fates.End(ticket, false, http.StatusBadGateway, []byte("dead-lettered\n"))
	}
}
