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
	// Claim requests the right to run an op, and waits for the decision for at most the time within.
	// Workers drop duplicates of the op for the time window, which is 0 if they drop none.
	Claim(
		ctx context.Context, category, id string, request []byte, within, window time.Duration,
	) replication.ClaimDecided
	// MayHaveRun reports that the op may have run in a group of workers that drops its duplicates.
	MayHaveRun(claimID uint64, group string)
	// Finish reports the outcome of the op.
	Finish(claimID uint64, neverRan bool, status int, answer []byte)
	// Abandon reports that the op may have run and gets no further attempt. Its client may retry it, in
	// the group that was reported.
	Abandon(claimID uint64)
}

// claimRetryAfter is the Retry-After for an op that another scheduler is running, or for whose claim no
// majority of replicas answered.
const claimRetryAfter = 200 * time.Millisecond

// claimGate decides which ops need a claim.
type claimGate struct {
	registry   ClaimRegistry // nil unless RequireClaims was called
	isRequired func(category string) bool
	suspended  func() bool // reports whether a successor has the cluster's messages
}

func (g *claimGate) required(category string) bool {
	return g.isRequired != nil && g.isRequired(category)
}

// RequireClaims lets ops of the categories that isRequired selects run only with a claim. Call it before
// Serve.
func (s *Server) RequireClaims(registry ClaimRegistry, isRequired func(category string) bool) {
	s.transport.claims = claimGate{registry, isRequired, s.HasSuccessor}
}

// grantedClaim is an op's claim. The zero value stands for an op that needs none.
type grantedClaim struct {
	registry      ClaimRegistry
	id            uint64
	scope         string // in which workers drop the op's duplicates (zone, cell, all); empty for none
	groupReported bool   // the registry knows the group in which the op may have run
}

func (c *grantedClaim) granted() bool { return c.id != 0 }

// claim requests an op's claim. If it is not granted, claim returns the response to the client.
func (t *opTransport) claim(r *http.Request, op *pendingOp) (denied *http.Response) {
	if t.claims.suspended() {
		text := []byte("nacked: another process of this scheduler claims its ops\n")
		return textResponse(r, http.StatusServiceUnavailable, text, claimRetryAfter)
	}
	timeLeft := time.Duration(op.TTL)*config.Tenth - time.Duration(t.clock.Now())
	rule := t.settings.Load().rule(op.Category)
	request := append(append([]byte(op.requestTarget), 0), op.request.Body...)
	decided := t.claims.registry.Claim(r.Context(), op.Category, op.ID, request, timeLeft, rule.Window)
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

// deniedResponse returns the response to an op whose claim was not granted.
func deniedResponse(r *http.Request, decided replication.ClaimDecided) *http.Response {
	final := func(status int, text string) *http.Response { return textResponse(r, status, []byte(text), 0) }
	nack := func(text string) *http.Response {
		return textResponse(r, http.StatusServiceUnavailable, []byte(text), claimRetryAfter)
	}
	switch decided.Result {
	case replication.AlreadyAnswered:
		return textResponse(r, int(decided.Outcome.HTTPStatus), decided.Outcome.Result, 0)
	case replication.AlreadyEnded:
		if decided.Outcome.HTTPStatus == http.StatusOK {
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

// MayHaveRun reports to the registry the group in which an op may have run, unless the registry
// knows one already. Only the loop calls it, before it answers the op.
func (op *pendingOp) MayHaveRun(group reducer.Group) {
	if !op.claim.granted() || op.claim.scope == "" || op.claim.groupReported {
		return
	}
	op.claim.groupReported = true
	op.claim.registry.MayHaveRun(op.claim.id, groupName(op.claim.scope, group))
}

// runState tells whether an op may have run. Its value is the argument neverRan of ClaimRegistry.Finish.
type runState bool

const (
	neverRan   runState = true
	mayHaveRun runState = false
)

// finishClaim reports the outcome of an op that has a claim.
func (op *pendingOp) finishClaim(state runState, status int, answer []byte) {
	if op.claim.granted() {
		op.claim.registry.Finish(op.claim.id, bool(state), status, answer)
	}
}

// reportOutcome reports the outcome of an op that has a claim. The answer determines the outcome.
func (op *pendingOp) reportOutcome(answer reducer.Respond) {
	switch answer.Verdict {
	case reducer.Acked:
		op.finishClaim(mayHaveRun, http.StatusOK, answer.Result)
	case reducer.Nacked:
		if op.claim.granted() && op.claim.groupReported {
			// The op may have run: only its group drops a duplicate, and only for a limited time.
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

// groupName encodes the group of workers that drop the duplicates of an attempt. The scope selects the field
// of g that defines the group.
func groupName(scope string, g reducer.Group) string {
	switch scope {
	case "zone":
		return "zone " + strconv.Quote(g.Zone)
	case "cell":
		return fmt.Sprintf("cell %d", g.WorkerGroup)
	}
	return "all"
}

// parseGroup is the inverse of groupName. A field that is not in the name gets a value that matches no
// worker.
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
