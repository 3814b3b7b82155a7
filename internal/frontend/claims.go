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

// ClaimRegistry grants the right to run an op to one scheduler of the cluster.
type ClaimRegistry interface {
	// Claim waits for whether this scheduler may run an op, at most for the time given.
	Claim(
		ctx context.Context, category, id string, request []byte, within, window time.Duration,
	) replication.ClaimDecided
	// MayHaveRun reports that the op may have run in a group of workers that drops its repeats.
	MayHaveRun(claimID uint64, group string)
	// Finish reports the outcome of the op.
	Finish(claimID uint64, neverRan bool, status int, answer []byte)
	// Abandon reports that the op has no further attempt, may have run, and may be repeated in its group.
	Abandon(claimID uint64)
}

// claimRetryAfter is for an op that another scheduler is running, or for which no majority of replicas
// answered.
const claimRetryAfter = 200 * time.Millisecond

// claimGate knows which ops need a claim.
type claimGate struct {
	registry   ClaimRegistry // nil: this scheduler alone knows its ops
	isRequired func(category string) bool
}

func (g *claimGate) required(category string) bool {
	return g.isRequired != nil && g.isRequired(category)
}

// RequireClaims lets ops of some categories run only with a claim. It is called before Serve.
func (s *Server) RequireClaims(registry ClaimRegistry, isRequired func(category string) bool) {
	s.transport.claims = claimGate{registry, isRequired}
}

// grantedClaim is an op's claim. The zero value is that of an op that needs none.
type grantedClaim struct {
	registry      ClaimRegistry
	id            uint64
	scope         string // of the worker group that drops the op's repeats; empty for none
	groupReported bool   // the replicas know in which group it may have run
}

func (c *grantedClaim) granted() bool { return c.id != 0 }

// claim asks for an op's claim. It returns the answer to the client where the claim is not granted.
func (t *opTransport) claim(r *http.Request, op *pendingOp) (denied *http.Response) {
	left := time.Duration(op.TTL)*config.Tenth - time.Duration(t.clock.Now())
	rule := t.settings.Load().rule(op.Category)
	request := append(append([]byte(op.requestTarget), 0), op.request.Body...)
	decided := t.claims.registry.Claim(r.Context(), op.Category, op.ID, request, left, rule.Window)
	t.log.Debug().Str("id", op.ID).Stringer("result", decided.Result).Stringer("reason", decided.Reason).
		Msg("claim decided")
	if decided.Result != replication.Granted {
		return deniedResponse(r, decided)
	}
	op.claim = grantedClaim{registry: t.claims.registry, id: decided.RequestID, scope: rule.Scope}
	if group := decided.Outcome.Group; group != "" {
		startedAt := config.RoundDown(t.clock.Now()) - dispatch.Time(decided.Outcome.Age)
		op.PriorAttempt = &reducer.PriorAttempt{Group: parseGroup(group), StartedAt: startedAt}
		op.claim.groupReported = true
	}
	return nil
}

// deniedResponse is the answer to an op whose claim was not granted.
func deniedResponse(r *http.Request, decided replication.ClaimDecided) *http.Response {
	final := func(status int, text string) *http.Response { return textResponse(r, status, []byte(text), 0) }
	nack := func(text string) *http.Response {
		return textResponse(r, http.StatusServiceUnavailable, []byte(text), claimRetryAfter)
	}
	switch decided.Result {
	case replication.AlreadyAnswered:
		return textResponse(r, int(decided.Outcome.Verdict), decided.Outcome.Result, 0)
	case replication.AlreadyEnded:
		if decided.Outcome.Verdict == http.StatusOK {
			return final(http.StatusConflict, "an op with this id was acked; its answer is not held\n")
		}
		return final(http.StatusBadGateway, "dead-lettered: an op with this id may have run\n")
	case replication.InProgress:
		return nack("nacked: another scheduler holds an op with this id\n")
	case replication.OutcomeUnknown:
		return final(http.StatusBadGateway,
			"dead-lettered: an op with this id may have run, and its scheduler is gone\n")
	case replication.FingerprintMismatch:
		return final(http.StatusUnprocessableEntity, "another request came under this id\n")
	}
	return nack("nacked: no majority of keepers answered\n")
}

// MayHaveRun has the replicas know in which group an op may have run, the first time that it may. Only
// the loop calls it, before it answers the op.
func (op *pendingOp) MayHaveRun(group reducer.Group) {
	if !op.claim.granted() || op.claim.scope == "" || op.claim.groupReported {
		return
	}
	op.claim.groupReported = true
	op.claim.registry.MayHaveRun(op.claim.id, groupName(op.claim.scope, group))
}

// runState is what is known of an op that got no answer from a worker.
type runState bool

const (
	neverRan   runState = true
	mayHaveRun runState = false
)

// finishClaim reports the outcome of an op that has a claim.
func (op *pendingOp) finishClaim(ran runState, status int, answer []byte) {
	if op.claim.granted() {
		op.claim.registry.Finish(op.claim.id, bool(ran), status, answer)
	}
}

// reportOutcome reports the answer to an op that has a claim.
func (op *pendingOp) reportOutcome(answer reducer.Respond) {
	switch answer.Verdict {
	case reducer.Acked:
		op.finishClaim(mayHaveRun, http.StatusOK, answer.Result)
	case reducer.Nacked:
		if op.claim.granted() && op.claim.groupReported {
			// It may have run: its group alone drops a repeat, and for a while.
			op.claim.registry.Abandon(op.claim.id)
			return
		}
		op.finishClaim(neverRan, 0, nil)
	case reducer.UnknownCategory, reducer.DuplicateID:
		op.finishClaim(neverRan, 0, nil)
	default:
		op.finishClaim(mayHaveRun, http.StatusBadGateway, []byte("dead-lettered\n"))
	}
}

// groupName names the group of an attempt by the scope within which its repeats are dropped.
func groupName(scope string, g reducer.Group) string {
	switch scope {
	case "zone":
		return "zone " + strconv.Quote(g.Zone)
	case "cell":
		return fmt.Sprintf("cell %d", g.WorkerGroup)
	}
	return "all"
}

// parseGroup is the inverse of groupName. What the name doesn't say matches no worker.
func parseGroup(name string) reducer.Group {
	g := reducer.Group{WorkerGroup: -1}
	kind, value, _ := strings.Cut(name, " ")
	switch kind {
	case "zone":
		g.Zone, _ = strconv.Unquote(value)
	case "cell":
		if n, err := strconv.Atoi(value); err == nil {
			g.WorkerGroup = n
		}
	}
	return g
}
