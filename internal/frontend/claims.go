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

const claimRetryAfter = 200 * time.Millisecond // to an op that another scheduler holds, or that no majority could be asked for

// RequireClaims has ops of some categories asked for before they are taken. It is called before Serve.
func (f *Server) RequireClaims(by ClaimRegistry, needs func(category string) bool) {
	f.claims, f.claimRequired = by, needs
}

// claim asks for an op. It sets the ticket to end it with, or returns the answer in place of taking it.
func (f *Server) claim(r *http.Request, h *pendingOp) (no *http.Response) {
	left := time.Duration(int64(h.TTL)*int64(time.Second/10_000) - f.clock.Now())
	rule := f.inForce.Load().rule(h.Category)
	request := append(append([]byte(h.requestTarget), 0), h.request.Body...)
	d := f.claims.Claim(r.Context(), h.Category, h.ID, request, left, rule.Window)
	f.log.Debug().Str("id", h.ID).Stringer("outcome", d.Result).Stringer("why", d.Reason).Msg("asked for")
	switch d.Result {
	case replication.Granted:
		h.claimID, h.claimScope, h.claims = d.RequestID, rule.Scope, f.claims
		if d.Outcome.Group != "" {
			at := config.RoundDown(f.clock.Now()) - dispatch.Time(d.Outcome.Age)
			h.PriorAttempt, h.groupReported = &reducer.PriorAttempt{Group: parseGroup(d.Outcome.Group), StartedAt: at}, true
		}
		return nil
	case replication.AlreadyAnswered:
		return textResponse(r, int(d.Outcome.Verdict), d.Outcome.Result, 0)
	case replication.AlreadyEnded:
		if d.Outcome.Verdict == http.StatusOK {
			return textResponse(r, http.StatusConflict, []byte("an op with this id was acked; its answer is not held\n"), 0)
		}
		return textResponse(r, http.StatusBadGateway, []byte("dead-lettered: an op with this id may have run\n"), 0)
	case replication.InProgress:
		return textResponse(r, http.StatusServiceUnavailable, []byte("nacked: another scheduler holds an op with this id\n"), claimRetryAfter)
	case replication.OutcomeUnknown:
		return textResponse(r, http.StatusBadGateway, []byte("dead-lettered: an op with this id may have run, and its scheduler is gone\n"), 0)
	case replication.FingerprintMismatch:
		return textResponse(r, http.StatusUnprocessableEntity, []byte("another request came under this id\n"), 0)
	}
	return textResponse(r, http.StatusServiceUnavailable, []byte("nacked: no majority of keepers answered\n"), claimRetryAfter)
}

// groupName names the group of a push, by what its category's repeats are dropped by.
func groupName(scope string, g reducer.Group) string {
	switch scope {
	case "zone":
		return "zone " + strconv.Quote(g.Zone)
	case "cell":
		return fmt.Sprintf("cell %d", g.WorkerGroup)
	}
	return "all"
}

// parseGroup is the group that whereOf named; what it says nothing of is nowhere here.
func parseGroup(where string) reducer.Group {
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
func (h *pendingOp) MayHaveRun(group reducer.Group) {
	if h.claimID == 0 || h.claimScope == "" || h.groupReported {
		return
	}
	h.groupReported = true
	h.claims.MayHaveRun(h.claimID, groupName(h.claimScope, group))
}

// reportOutcome has the keepers know what became of an op that was asked for.
func (f *Server) reportOutcome(h *pendingOp, a reducer.Respond) {
	switch a.Verdict {
	case reducer.Acked:
		f.claims.Finish(h.claimID, false, http.StatusOK, a.Result)
	case reducer.Nacked:
		if h.groupReported { // it may have run: its group drops a repeat, for a while, and nobody else does
			f.claims.Abandon(h.claimID)
			return
		}
		f.claims.Finish(h.claimID, true, 0, nil)
	case reducer.UnknownCategory, reducer.DuplicateID:
		f.claims.Finish(h.claimID, true, 0, nil)
	default:
		f.claims.Finish(h.claimID, false, http.StatusBadGateway, []byte("dead-lettered\n"))
	}
}
