package frontend

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"woaddyke/dispatch"
	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/config"
	"woaddyke/internal/scheduler/reducer"
)

// ClaimRegistry guards ops that must not run twice over all schedulers together.
type ClaimRegistry interface {
	// Claim waits for whether an op may be pushed, at most so long.
	Claim(ctx context.Context, category, id string, request []byte, within, window time.Duration) replication.ClaimDecided
	// MayHaveRun says that it may have run, in a group that drops repeats.
	MayHaveRun(ticket uint64, where string)
	// Finish says what became of one that may.
	Finish(ticket uint64, unsent bool, status int, answer []byte)
	// Abandon says that it is pushed no more, may have run, and may be repeated in its group.
	Abandon(ticket uint64)
}

const comeBack = 200 * time.Millisecond // to an op that another scheduler holds, or that no majority could be asked for

// RequireClaims has ops of some categories asked for before they are taken. It is called before Serve.
func (f *Server) RequireClaims(by ClaimRegistry, needs func(category string) bool) {
	f.fates, f.guarded = by, needs
}

// claim asks for an op. It sets the ticket to end it with, or returns the answer in place of taking it.
func (f *Server) claim(r *http.Request, h *held) (no *http.Response) {
	left := time.Duration(int64(h.TTL)*int64(time.Second/10_000) - f.clock.Now())
	rule := f.inForce.Load().rule(h.Category)
	request := append(append([]byte(h.target), 0), h.request.Body...)
	d := f.fates.Claim(r.Context(), h.Category, h.ID, request, left, rule.Window)
	f.log.Debug().Str("id", h.ID).Stringer("outcome", d.Result).Stringer("why", d.Reason).Msg("asked for")
	switch d.Result {
	case replication.Granted:
		h.ticket, h.scope, h.fates = d.RequestID, rule.Scope, f.fates
		if d.Outcome.Group != "" {
			at := config.RoundDown(f.clock.Now()) - dispatch.Time(d.Outcome.Age)
			h.PriorAttempt, h.placed = &reducer.PriorAttempt{Group: groupOf(d.Outcome.Group), StartedAt: at}, true
		}
		return nil
	case replication.AlreadyAnswered:
		return plain(r, int(d.Outcome.Verdict), d.Outcome.Result, 0)
	case replication.AlreadyEnded:
		if d.Outcome.Verdict == http.StatusOK {
			return plain(r, http.StatusConflict, []byte("an op with this id was acked; its answer is not held\n"), 0)
		}
		return plain(r, http.StatusBadGateway, []byte("dead-lettered: an op with this id may have run\n"), 0)
	case replication.InProgress:
		return plain(r, http.StatusServiceUnavailable, []byte("nacked: another scheduler holds an op with this id\n"), comeBack)
	case replication.OutcomeUnknown:
		return plain(r, http.StatusBadGateway, []byte("dead-lettered: an op with this id may have run, and its scheduler is gone\n"), 0)
	case replication.FingerprintMismatch:
		return plain(r, http.StatusUnprocessableEntity, []byte("another request came under this id\n"), 0)
	}
	return plain(r, http.StatusServiceUnavailable, []byte("nacked: no majority of keepers answered\n"), comeBack)
}

// whereOf names the group of a push, by what its category's repeats are dropped by.
func whereOf(scope string, g reducer.Group) string {
	switch scope {
	case "zone":
		return "zone " + strconv.Quote(g.Zone)
	case "cell":
		return fmt.Sprintf("cell %d", g.WorkerGroup)
	}
	return "all"
}

// groupOf is the group that whereOf named; what it says nothing of is nowhere here.
func groupOf(where string) reducer.Group {
	g := reducer.Group{WorkerGroup: -1}
	kind, name, _ := strings.Cut(where, " ")
	switch kind {
	case "zone":
		g.Zone, _ = strconv.Unquote(name)
	case "cell":
		if n, err := strconv.Atoi(name); err == nil {
			g.WorkerGroup = n
		}
	}
	return g
}

// MayHaveRun has the replicas know where an op may have run, the first time that it may. Only the loop calls it, before
// it answers the op.
func (h *held) MayHaveRun(group reducer.Group) {
	if h.ticket == 0 || h.scope == "" || h.placed {
		return
	}
	h.placed = true
	h.fates.MayHaveRun(h.ticket, whereOf(h.scope, group))
}

// settle has the keepers know what became of an op that was asked for.
func (f *Server) settle(h *held, a reducer.Respond) {
	switch a.Verdict {
	case reducer.Acked:
		f.fates.Finish(h.ticket, false, http.StatusOK, a.Result)
	case reducer.Nacked:
		if h.placed { // it may have run: its group drops a repeat, for a while, and nobody else does
			f.fates.Abandon(h.ticket)
			return
		}
		f.fates.Finish(h.ticket, true, 0, nil)
	case reducer.UnknownCategory, reducer.DuplicateID:
		f.fates.Finish(h.ticket, true, 0, nil)
	default:
		f.fates.Finish(h.ticket, false, http.StatusBadGateway, []byte("dead-lettered\n"))
	}
}
