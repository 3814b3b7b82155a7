// Package clients holds the emulated clients. They generate an open-loop load: each op is sent when it is
// due, whatever the state of earlier ops. Clients retry, disconnect early, send slowly, stall, or send
// duplicates, as the workload specifies.
package clients

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/fleet"
	"woaddyke/internal/lab/ledger"
	"woaddyke/internal/lab/links"
	"woaddyke/internal/lab/requests"
	"woaddyke/internal/lab/workermodel"
	"woaddyke/internal/lab/workload"
)

// Server is a scheduler as seen by clients.
type Server interface{ Up() bool }

// LoadGenerator is the set of all emulated clients.
type LoadGenerator struct {
	experiment   *experiment.Experiment
	workload     *workload.Workload
	ledger       *ledger.Writer
	requests     *requests.Registry
	servers      []Server
	addrs        []string
	links        []*links.Link
	running      sync.WaitGroup
	openAttempts atomic.Int64
	bodies       [][]byte

	mu    sync.Mutex
	pools map[poolKey]*pool
}

// poolKey identifies the connections of one client to one scheduler.
type poolKey struct{ client, scheduler int }

// pipelineClient is the client number of the shared connections on which attempts of all clients are
// pipelined, as a proxy does.
const pipelineClient = -1

// New creates the clients of an experiment.
func New(e *experiment.Experiment, w *workload.Workload, events *ledger.Writer, registry *requests.Registry, servers []Server, addrs []string) *LoadGenerator {
	c := &LoadGenerator{experiment: e, workload: w, ledger: events, requests: registry, servers: servers, addrs: addrs, pools: map[poolKey]*pool{}}
	for i := range addrs {
		conditions := fleet.LinkConditions(e, "clients", "", e.Zones[i%len(e.Zones)])
		c.links = append(c.links, links.New(conditions, e.Seed*31+uint64(i)))
	}
	for _, cat := range e.Categories {
		c.bodies = append(c.bodies, []byte(strings.Repeat("x", cat.BodyBytes)))
	}
	return c
}

// pool returns the connections of a client to a scheduler.
func (c *LoadGenerator) pool(client, scheduler int) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := poolKey{client, scheduler}
	p := c.pools[key]
	if p == nil {
		p = &pool{addr: c.addrs[scheduler], ledger: c.ledger, link: c.links[scheduler]}
		c.pools[key] = p
	}
	return p
}

// OpenAttempts returns the number of attempts that have not ended.
func (c *LoadGenerator) OpenAttempts() int64 { return c.openAttempts.Load() }

// Run starts all requests of the workload, each when it is due after the given start. It returns when the
// last request is started or the context ends.
func (c *LoadGenerator) Run(ctx context.Context, start time.Time) {
	// Timers of the Go runtime fire up to a millisecond late. A locked thread in nanosleep does not have this
	// delay.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i := range c.workload.Requests {
		request := &c.workload.Requests[i]
		due := start.Add(time.Duration(request.ArrivalTime) * ledger.Tenth)
		for wait := time.Until(due); wait > 0 && ctx.Err() == nil; wait = time.Until(due) {
			sleep := syscall.NsecToTimespec(int64(min(wait, maxSleep)))
			syscall.Nanosleep(&sleep, nil)
		}
		if ctx.Err() != nil {
			return
		}
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			c.runRequest(ctx, i, request, due)
		}()
	}
}

// Wait waits for all attempts to end and closes the connections.
func (c *LoadGenerator) Wait() {
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.close()
	}
}

// attempt is one attempt of a client's request. It is a separate op unless its ID is shared.
// Attempt number 100 is a duplicate that is not a retry.
type attempt struct {
	id, effect string
	number     int
	category   *experiment.Category
	request    *workload.Request
	body       []byte
	deadline   time.Time
	leaveAfter time.Duration
	sharedID   bool // all attempts of the request have the same ID
	repeat     bool // not the first attempt with this ID
	reuseOnly  bool // only uses a connection that is already open
}

// record adds an event of an attempt to the ledger. A repeated attempt with the same ID belongs to the op of
// the first attempt: its Sent event is dropped, and its other events are recorded as RepeatAnswer.
func (c *LoadGenerator) record(t *attempt, e ledger.Event) {
	if t.repeat {
		if e.Kind == ledger.Sent {
			return
		}
		if e.Kind != ledger.Answer {
			e.State = string(e.Kind)
		}
		e.Kind = ledger.RepeatAnswer
	}
	c.ledger.Add(e)
}

// outcome is the result of an attempt as the client sees it. The verdict is that of an Answer, or "late" for
// a Cut without an answer in time.
type outcome struct {
	kind       ledger.Kind // Answer, Cut, Refused or Left
	verdict    string
	retryAfter time.Duration
}

const maxSleep = 20 * time.Millisecond // interval at which the context is checked while waiting

const (
	minAttemptTime = 50 * time.Millisecond // a client with less time left does not retry
	minTimeLeft    = time.Millisecond      // smallest time left that a header states
	lateAnswerWait = 1500 * time.Millisecond
)

// runRequest sends a client's request, including its retries.
func (c *LoadGenerator) runRequest(ctx context.Context, index int, request *workload.Request, due time.Time) {
	cat := &c.experiment.Categories[request.Category]
	deadline := due.Add(time.Duration(cat.TTLMS * float64(time.Millisecond)))
	r := rand.New(rand.NewPCG(request.Seed, 0x77697368))
	effect := fmt.Sprintf("e%x-%d", c.experiment.Seed, index)
	if request.SendsDuplicate {
		c.running.Add(1)
		wait := time.Duration(1+r.IntN(200)) * time.Millisecond
		go func() {
			defer c.running.Done()
			select {
			case <-time.After(time.Until(due.Add(wait))):
			case <-ctx.Done():
				return
			}
			c.sendAttempt(ctx, &attempt{id: effect + "-again", effect: effect, number: 100, category: cat, request: request, body: c.bodies[request.Category],
				deadline: deadline}, due.Add(wait), request.Scheduler)
		}()
	}
	scheduler := request.Scheduler
	if c.experiment.Clients.RetrySameID && cat.Effect == ledger.AtMostOnce {
		c.retrySameID(ctx, effect, request, due, deadline, r)
		return
	}
	for k := 0; ; k++ {
		t := &attempt{id: fmt.Sprintf("%s-%d", effect, k), effect: effect, number: k, category: cat, request: request,
			body: c.bodies[request.Category], deadline: deadline}
		if k == 0 && request.DisconnectAfter > 0 {
			t.leaveAfter = time.Duration(request.DisconnectAfter) * ledger.Tenth
		}
		scheduler, t.reuseOnly = c.chooseScheduler(scheduler, request.Client)
		result := c.sendAttempt(ctx, t, due, scheduler)
		if !c.shouldRetry(t, result) || k >= c.experiment.Clients.Retries || ctx.Err() != nil {
			return
		}
		var ok bool
		if due, ok = c.waitForRetry(ctx, c.retryDelay(r, request, k, result), deadline); !ok {
			return
		}
		scheduler = r.IntN(len(c.addrs)) // the load balancer assigns the retry to a random scheduler
	}
}

// waitForRetry waits until the next attempt is due, and returns that time. It returns false if too little
// time would be left until the deadline, or if the context ends.
func (c *LoadGenerator) waitForRetry(ctx context.Context, delay time.Duration, deadline time.Time) (due time.Time, ok bool) {
	if due = time.Now().Add(delay); deadline.Sub(due) < minAttemptTime {
		return due, false
	}
	select {
	case <-time.After(delay):
		return due, true
	case <-ctx.Done():
		return due, false
	}
}

// retrySameID sends an op under one ID until it gets a final answer: first to one scheduler, then to others.
// With the probability Clients.ConcurrentChance, another scheduler also gets the op at the same time as the first one.
func (c *LoadGenerator) retrySameID(ctx context.Context, effect string, request *workload.Request, due, deadline time.Time, r *rand.Rand) {
	cat := &c.experiment.Categories[request.Category]
	first := c.nextUp(request.Scheduler)
	send := func(k int, due time.Time, scheduler int) outcome {
		return c.sendAttempt(ctx, &attempt{id: effect + "-0", effect: effect, number: k, category: cat, request: request, body: c.bodies[request.Category], deadline: deadline,
			sharedID: true, repeat: k > 0}, due, scheduler)
	}
	otherScheduler := func() (int, bool) {
		scheduler := c.nextUp((first + 1 + r.IntN(len(c.addrs)-1)) % len(c.addrs))
		return scheduler, scheduler != first
	}
	if scheduler, ok := otherScheduler(); ok && r.Float64() < c.experiment.Clients.ConcurrentChance {
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			select {
			case <-time.After(time.Millisecond): // by then the ledger has the Due event of the first attempt
				send(100, due, scheduler)
			case <-ctx.Done():
			}
		}()
	}
	result := send(0, due, first)
	for k := 1; k <= c.experiment.Clients.Retries; k++ {
		if result.kind == ledger.Left || result.kind == ledger.Answer && result.verdict != ledger.Nacked || ctx.Err() != nil {
			return
		}
		due, ok := c.waitForRetry(ctx, c.retryDelay(r, request, k-1, result), deadline)
		if !ok {
			return
		}
		scheduler, ok := otherScheduler()
		if !ok {
			return
		}
		result = send(k, due, scheduler)
	}
}

// nextUp returns the given scheduler if it is up, otherwise the next one that is up. If no scheduler is up,
// it returns the given one.
func (c *LoadGenerator) nextUp(scheduler int) int {
	for i := range c.servers {
		if k := (scheduler + i) % len(c.servers); c.servers[k].Up() {
			return k
		}
	}
	return scheduler
}

// endingServer is a scheduler that may be shutting down. It accepts no new clients, but clients with open
// connections continue.
type endingServer interface{ Ending() bool }

// chooseScheduler returns the given scheduler if the client may send to it, otherwise the next scheduler to
// which the client may send. A scheduler that is shutting down is only used through open connections;
// reuseOnly is then set.
func (c *LoadGenerator) chooseScheduler(from, client int) (scheduler int, reuseOnly bool) {
	for i := range c.servers {
		k := (from + i) % len(c.servers)
		if c.servers[k].Up() {
			return k, false
		}
		if s, ok := c.servers[k].(endingServer); ok && s.Ending() && (c.pool(client, k).hasOpen() || c.pool(pipelineClient, k).hasOpen()) {
			return k, true
		}
	}
	return from, false
}

// shouldRetry reports whether a client retries. After a dead letter or a broken connection the op may have
// run. The client then retries only an op that may run twice.
func (c *LoadGenerator) shouldRetry(t *attempt, o outcome) bool {
	switch o.kind {
	case ledger.Refused:
		return true
	case ledger.Answer:
		return o.verdict == ledger.Nacked || o.verdict == ledger.Dead && t.category.Effect == ledger.Redeliverable
	case ledger.Cut:
		return t.category.Effect == ledger.Redeliverable
	}
	return false
}

func (c *LoadGenerator) retryDelay(r *rand.Rand, request *workload.Request, k int, o outcome) time.Duration {
	delay := time.Duration(c.experiment.Clients.WaitMS * float64(time.Millisecond))
	switch c.experiment.Clients.Backoff {
	case "none":
		delay = 0
	case "exponential":
		delay = time.Duration(float64(delay<<min(k, 8)) * (0.5 + r.Float64()))
	}
	if request.HonoursRetryAfter {
		delay = max(delay, o.retryAfter)
	}
	return delay
}

// sendAttempt sends an op and returns its outcome. If a reused connection ends without an answer, the op is
// sent once more on a new connection.
func (c *LoadGenerator) sendAttempt(ctx context.Context, t *attempt, due time.Time, scheduler int) outcome {
	c.openAttempts.Add(1)
	defer c.openAttempts.Add(-1)
	cat := t.category
	job := workermodel.Job{Op: t.id, Effect: t.effect, Work: t.request.Work, ExpectedWork: cat.WorkMS, Slots: t.request.Slots, Memory: cat.Memory, Dedup: cat.Effect == ledger.Deduplicated,
		Window: experiment.FromMilliseconds(cat.WindowMS), Scope: cat.Scope}
	key := ""
	if cat.Effect != ledger.Redeliverable {
		key = t.effect
	}
	target := "/api?sid=" + t.effect
	c.requests.Put(t.id, requests.Request{Job: job, Target: target, IdempotencyKey: key, BodyHash: requests.HashBody(t.body)})
	if t.repeat {
		c.ledger.Add(ledger.Event{Kind: ledger.Repeat, Op: t.id, Scheduler: scheduler + 1, Try: t.number, Client: t.request.Client + 1})
	} else {
		c.recordDue(t, due, scheduler)
	}
	for try := 0; ; try++ {
		o, reused := c.exchange(ctx, t, due, scheduler, target, key, try > 0)
		if o.kind != ledger.Cut || !reused || try > 0 || o.verdict != "" {
			return o
		}
	}
}

// recordDue records that an attempt is due, as a new op.
func (c *LoadGenerator) recordDue(t *attempt, due time.Time, scheduler int) {
	state := ""
	if t.sharedID {
		state = "shared"
	}
	cat := t.category
	c.ledger.Add(ledger.Event{Kind: ledger.Due, Op: t.id, Effect: t.effect, State: state, Category: cat.Name, Scheduler: scheduler + 1, Try: t.number, Client: t.request.Client + 1,
		From: c.ledger.FromTime(due), Until: c.ledger.FromTime(t.deadline), Work: t.request.Work * t.request.Slots, Slots: t.request.Slots})
}

// header returns the request line and headers.
func (t *attempt) header(target, key string, left time.Duration) []byte {
	b := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left-Ms: %d\r\nX-Client: c%d\r\n",
		target, t.id, t.category.Name, max(left, minTimeLeft).Milliseconds(), t.request.Client)
	if key != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", key)
	}
	if t.number > 0 && !t.sharedID {
		b = append(b, "X-Repeat: 1\r\n"...)
	}
	if t.request.Hint > 0 {
		b = fmt.Appendf(b, "X-Weight-Hint: %d\r\n", int64(t.request.Hint*1000))
	}
	if t.request.Slots > 1 || t.category.Memory > 0 {
		b = fmt.Appendf(b, "X-Facts: slots=%g,memory=%g\r\n", t.request.Slots, t.category.Memory)
	}
	return fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(t.body))
}

func (c *LoadGenerator) exchange(ctx context.Context, t *attempt, due time.Time, scheduler int, target, key string, freshConn bool) (outcome, bool) {
	pipeline := t.usesPipelining(c.experiment.Clients.Pipeline)
	p := c.pool(t.request.Client, scheduler)
	if pipeline {
		p = c.pool(pipelineClient, scheduler)
	}
	if freshConn {
		p = &pool{addr: p.addr, link: p.link, ledger: p.ledger}
	}
	if t.reuseOnly && (freshConn || !p.hasOpen()) {
		c.record(t, ledger.Event{Kind: ledger.Refused, Op: t.id, Scheduler: scheduler + 1, Text: "it is about to end"})
		return outcome{kind: ledger.Refused}, false
	}
	conn, replies, reused, pipelined, err := p.connection(t, pipeline && !freshConn)
	if err != nil {
		c.record(t, ledger.Event{Kind: ledger.Refused, Op: t.id, Scheduler: scheduler + 1, Text: err.Error()})
		return outcome{kind: ledger.Refused}, false
	}
	started := time.Now()
	// A header never states less than minTimeLeft, also if less is left when the op is sent a second time.
	// The deadline is moved to match the header.
	if minDeadline := started.Add(minTimeLeft); t.deadline.Before(minDeadline) {
		t.deadline = minDeadline
	}
	err = c.writeRequest(conn, t, append(t.header(target, key, time.Until(t.deadline)), t.body...))
	conn.sendMu.Unlock()
	if err != nil {
		select { // the answer can arrive before the request is completely written
		case r := <-replies:
			if r.err == nil {
				return c.recordAnswer(conn, t, scheduler, r), reused
			}
		case <-time.After(10 * time.Millisecond):
		}
		conn.Close()
		c.record(t, ledger.Event{Kind: ledger.Cut, Op: t.id, Scheduler: scheduler + 1, State: reusedState(reused), Text: err.Error()})
		return outcome{kind: ledger.Cut}, reused
	}
	// The time left counts from the last byte of the request, however long the bytes before it took.
	now := time.Now()
	t.deadline = t.deadline.Add(now.Sub(started))
	text := ""
	if pipelined {
		text = ledger.Behind
	}
	c.record(t, ledger.Event{Kind: ledger.Sent, Op: t.id, Scheduler: scheduler + 1, Until: c.ledger.FromTime(t.deadline), Text: text,
		Late: max(c.ledger.FromTime(started)-c.ledger.FromTime(due), 0)})
	leave := make(<-chan time.Time)
	if t.leaveAfter > 0 {
		leave = time.After(t.leaveAfter)
	}
	// The client gives up at its deadline. The lab waits longer, so that late answers are recorded.
	late := time.NewTimer(time.Until(t.deadline) + lateAnswerWait)
	defer late.Stop()
	select {
	case r := <-replies:
		if r.err != nil {
			text := r.err.Error()
			if r.allRead {
				text = ledger.ReadUnanswered
			}
			conn.Close()
			c.record(t, ledger.Event{Kind: ledger.Cut, Op: t.id, Scheduler: scheduler + 1, State: reusedState(reused && !r.partial), Text: text})
			return outcome{kind: ledger.Cut}, reused && !r.partial
		}
		if r.header.Get("Connection") != "close" {
			p.release(conn)
		}
		return c.recordAnswer(nil, t, scheduler, r), reused
	case <-leave:
		c.record(t, ledger.Event{Kind: ledger.Left, Op: t.id})
		conn.Close()
		return outcome{kind: ledger.Left}, reused
	case <-ctx.Done():
		c.record(t, ledger.Event{Kind: ledger.Left, Op: t.id})
		conn.Close()
		return outcome{kind: ledger.Left}, reused
	case <-late.C:
		conn.Close()
		return outcome{kind: ledger.Cut, verdict: "late"}, reused
	}
}

// connection returns a connection for an attempt, with sendMu locked. If mayPipeline is set, the connection
// may carry earlier requests that have no answer yet.
func (p *pool) connection(t *attempt, mayPipeline bool) (conn *conn, replies chan reply, reused, pipelined bool, err error) {
	if mayPipeline {
		if conn, replies, ok := p.pipelined(t.id, t.deadline); ok {
			return conn, replies, true, true, nil
		}
	}
	conn, replies, reused, err = p.acquire(t.id, t.deadline, t.leaveAfter > 0)
	return conn, replies, reused, false, err
}

// usesPipelining draws whether an attempt may be sent behind other requests. Slow attempts and attempts whose
// client may disconnect are excluded, because they would delay the other requests or close their connection.
func (t *attempt) usesPipelining(probability float64) bool {
	if probability == 0 || t.leaveAfter > 0 || t.request.Trickles || t.request.Stalls {
		return false
	}
	r := rand.New(rand.NewPCG(t.request.Seed, 0x70697065+uint64(t.number)))
	return r.Float64() < probability
}

func reusedState(reused bool) string {
	if reused {
		return "reused"
	}
	return ""
}

// recordAnswer records a complete answer. It closes the connection if one is given.
func (c *LoadGenerator) recordAnswer(conn *conn, t *attempt, scheduler int, r reply) outcome {
	if conn != nil {
		conn.Close()
	}
	o := outcome{kind: ledger.Answer, verdict: ledger.Dead}
	text := ""
	switch {
	case r.status == http.StatusOK:
		o.verdict, text = ledger.Acked, string(r.body)
	case r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests:
		o.verdict = ledger.Nacked
		if s, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
			o.retryAfter = time.Duration(s * float64(time.Second))
		}
	case r.status/100 == 4:
		o.verdict = ledger.Bad
	}
	c.record(t, ledger.Event{Kind: ledger.Answer, Op: t.id, Scheduler: scheduler + 1, Verdict: o.verdict, Status: r.status, Text: text})
	return o
}

const trickleInterval = 2 * time.Millisecond // between two bytes

// writeRequest writes a request the way its client does: in one piece, byte by byte, or with a pause in the
// middle.
func (c *LoadGenerator) writeRequest(conn *conn, t *attempt, text []byte) error {
	switch {
	case t.request.Trickles:
		for i := range text {
			if _, err := conn.Write(text[i : i+1]); err != nil {
				return err
			}
			time.Sleep(trickleInterval)
		}
		return nil
	case t.request.Stalls:
		half := len(text) - len(t.body)/2 - 1
		if _, err := conn.Write(text[:half]); err != nil {
			return err
		}
		time.Sleep(700 * time.Millisecond)
		text = text[half:]
	}
	if _, err := conn.Write(text); err != nil {
		return err
	}
	return nil
}
