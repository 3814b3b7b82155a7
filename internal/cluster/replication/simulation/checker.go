package simulation

import (
	"fmt"
	"strconv"

	"woaddyke/internal/cluster/replication"
)

// The steps of a history.
const (
	stepDecided  = "asked" // a claim was decided
	stepReleased = "released"
	stepEnded    = "ended"
)

// HistoryEntry is one step of the history: the decision on a claim, or the release or end of an op.
type HistoryEntry struct {
	At          Time
	Scheduler   string
	Key         string
	Claim       int // request ID of the claim
	Step        string
	Result      replication.ClaimResult // set for a decided claim
	RequestedAt Time                    // set for a decided claim
}

// checker records which claim of each op may have run, and detects decisions that violate a guarantee.
type checker struct {
	History     []HistoryEntry
	Violations  []string
	DedupWindow Time // time for which a worker group drops repeats of ops whose key starts with d; 0: none
	Granted     int
	BoundClaims int // number of granted claims that are bound to a worker group

	opsEndManually bool                       // only the test ends granted ops
	claims         map[uint64]*claim          // by request ID
	holders        map[string]string          // by key: the claim that may have run or has ended
	firstRuns      map[string]firstRun        // by key
	boundByKey     map[string]map[string]bool // by key: the bound claims
}

func newChecker() checker {
	return checker{
		claims:     map[uint64]*claim{},
		holders:    map[string]string{},
		firstRuns:  map[string]firstRun{},
		boundByKey: map[string]map[string]bool{},
	}
}

// claim is a claim that a scheduler has requested.
type claim struct {
	key         string
	fingerprint uint64
	scheduler   *node
	core        *replication.Core
	requestedAt Time
	grantedAt   Time // 0: not granted
}

// processRunning reports whether the process that requested the claim still runs.
func (cl *claim) processRunning() bool { return cl.scheduler.running && cl.scheduler.core == cl.core }

// moveClaims assigns the claims of a process to another node when the process moves to that node.
func (c *Cluster) moveClaims(from, to *node) {
	for _, cl := range c.claims {
		if cl.scheduler == from && cl.core == to.core {
			cl.scheduler = to
		}
	}
}

// firstRun is the worker group and the time of the first run of an op.
type firstRun struct {
	group string
	at    Time
}

func (k *checker) deduplicated(key string) bool { return k.DedupWindow > 0 && key[0] == 'd' }

// ownerFingerprint is the fingerprint of the requests that Claim makes.
const ownerFingerprint = 1

// Claim makes a scheduler claim an op.
func (c *Cluster) Claim(i int, key string) { c.ClaimAs(i, key, ownerFingerprint) }

// ClaimAs makes a scheduler claim an op for a request with the given fingerprint.
func (c *Cluster) ClaimAs(i int, key string, fingerprint uint64) {
	n := c.nodes[i]
	if !n.running || n.core == nil {
		return
	}
	c.lastRequest++
	id := c.lastRequest
	in := replication.ClaimRequest{RequestID: id, Key: key, Fingerprint: fingerprint, Timeout: 5 * Second}
	if key[0] == 'd' {
		in.DedupWindow = c.DedupWindow
	}
	c.claims[id] = &claim{key: key, fingerprint: fingerprint, scheduler: n, core: n.core, requestedAt: c.Now()}
	c.step(n, n.core, in)
}

func (c *Cluster) addViolation(format string, values ...any) {
	at := fmt.Sprintf("at %.3f s: ", float64(c.Now())/float64(Second))
	c.Violations = append(c.Violations, at+fmt.Sprintf(format, values...))
}

func (c *Cluster) addHistoryEntry(cl *claim, id uint64, step string) *HistoryEntry {
	c.History = append(c.History, HistoryEntry{
		At:        c.Now(),
		Scheduler: cl.scheduler.name,
		Key:       cl.key,
		Claim:     int(id),
		Step:      step,
	})
	return &c.History[len(c.History)-1]
}

// checkDecision checks a decision. At most one claim of an op may be used, except for bound claims.
func (c *Cluster) checkDecision(d replication.ClaimDecided) {
	cl := c.claims[d.RequestID]
	entry := c.addHistoryEntry(cl, d.RequestID, stepDecided)
	entry.Result, entry.RequestedAt = d.Result, cl.requestedAt
	switch d.Result {
	case replication.Granted:
		c.Granted++
		cl.grantedAt = c.Now()
		c.checkGrant(cl, d)
	case replication.AlreadyAnswered:
		c.checkAnswer(cl, d)
	case replication.FingerprintMismatch:
		c.checkMismatch(cl)
	}
}

// checkMismatch checks that a request is not rejected as another one while its own key is held by its first
// request.
func (c *Cluster) checkMismatch(cl *claim) {
	holder := c.claimNamed(c.holders[cl.key])
	if holder != nil && holder.fingerprint == cl.fingerprint && holder.grantedAt < cl.requestedAt {
		const format = "%s belongs to the request of claim %s, and its repeat is rejected as another request"
		c.addViolation(format, cl.key, c.holders[cl.key])
	}
}

// claimNamed returns the claim with a name, or nil if there is none.
func (c *Cluster) claimNamed(name string) *claim {
	id, err := strconv.ParseUint(name, 10, 64)
	if err != nil {
		return nil
	}
	return c.claims[id]
}

func (c *Cluster) checkGrant(cl *claim, d replication.ClaimDecided) {
	name := fmt.Sprint(d.RequestID)
	switch {
	case d.Outcome.Group != "":
		c.checkBound(cl, name, d)
		return
	case c.deduplicated(cl.key):
		c.startRun(cl, name, d.RequestID)
		return
	}
	if holder := c.holders[cl.key]; holder != "" {
		const format = "%s is granted to claim %s of %s, but claim %s may have run"
		c.addViolation(format, cl.key, name, cl.scheduler.name, holder)
	}
	c.holders[cl.key] = name
	c.endOrRelease(cl, name, d.RequestID)
}

// checkAnswer checks that an answer is the result of the claim that ran the op, or of a bound claim of the
// op. The worker group drops the push of a bound claim as a repeat.
func (c *Cluster) checkAnswer(cl *claim, d replication.ClaimDecided) {
	result := string(d.Outcome.Result)
	if source := c.claimNamed(result); source == nil || source.fingerprint != cl.fingerprint {
		c.addViolation("%s of claim %s is answered to another request", cl.key, result)
	}
	if c.boundByKey[cl.key][result] {
		return
	}
	if holder := c.holders[cl.key]; result != holder {
		const format = "%s is answered with the result of claim %s, but claim %s may have run"
		c.addViolation(format, cl.key, result, holder)
	}
}

// endOrRelease ends or releases an op after a while. One in five ops never ends.
func (c *Cluster) endOrRelease(cl *claim, name string, id uint64) {
	drawn := c.Rand.IntN(10)
	if drawn < 2 || c.opsEndManually {
		return
	}
	c.At(c.Now()+Time(c.Rand.IntN(5000)), func() {
		if !cl.processRunning() {
			return
		}
		ended := replication.OpEnded{RequestID: id, HTTPStatus: 200, Result: []byte(name), ResultRetained: true}
		step := stepEnded
		if drawn < 5 {
			ended.NeverRan, step = true, stepReleased
			if c.holders[cl.key] == name {
				c.holders[cl.key] = "" // the scheduler no longer pushes the op
			}
		}
		c.addHistoryEntry(cl, id, step)
		c.step(cl.scheduler, cl.core, ended)
	})
}

// startRun starts a run of a deduplicated op in one of two worker groups after a while.
func (c *Cluster) startRun(cl *claim, name string, id uint64) {
	c.holders[cl.key] = name
	group := []string{"zone east", "zone west"}[c.Rand.IntN(2)]
	c.At(c.Now()+Time(c.Rand.IntN(300)), func() {
		if !cl.processRunning() || cl.scheduler.paused {
			return
		}
		c.firstRuns[cl.key] = firstRun{group, c.Now()}
		c.step(cl.scheduler, cl.core, replication.MayHaveRun{RequestID: id, Group: group})
		c.endLater(cl, name, id)
	})
}

// endLater ends or abandons a deduplicated op after a while. One in three ops never ends.
func (c *Cluster) endLater(cl *claim, name string, id uint64) {
	if c.Rand.IntN(3) == 0 {
		return
	}
	c.At(c.Now()+Time(c.Rand.IntN(60_000)), func() {
		ended := replication.OpEnded{RequestID: id, HTTPStatus: 200, Result: []byte(name), ResultRetained: true}
		if c.Rand.IntN(3) == 0 { // the op was nacked: repeating it in its group is safe
			ended = replication.OpEnded{RequestID: id, Abandoned: true}
		}
		c.step(cl.scheduler, cl.core, ended)
	})
}

// checkBound checks a granted claim that is bound to a worker group. The op must have run first in that
// group, the deduplication window must not have ended, and the age in the decision must not be too low.
func (c *Cluster) checkBound(cl *claim, name string, d replication.ClaimDecided) {
	c.BoundClaims++
	first, ran := c.firstRuns[cl.key]
	switch {
	case !ran || first.group != d.Outcome.Group:
		const format = "%s is granted to claim %s of %s in %s, but ran in %q"
		c.addViolation(format, cl.key, name, cl.scheduler.name, d.Outcome.Group, first.group)
	case c.Now()-first.at >= c.DedupWindow:
		c.addViolation("%s is granted to claim %s of %s after the window", cl.key, name, cl.scheduler.name)
	case c.Now()-Time(d.Outcome.Age) > first.at:
		c.addViolation("the age of %s in the decision is too low", cl.key)
	}
	if c.boundByKey[cl.key] == nil {
		c.boundByKey[cl.key] = map[string]bool{}
	}
	c.boundByKey[cl.key][name] = true
	c.endLater(cl, name, d.RequestID)
}
