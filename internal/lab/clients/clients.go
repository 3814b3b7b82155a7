// Package clients holds the emulated clients: open-loop arrivals by the script, each op sent at the moment at
// which it is due whatever became of those before, retries, and clients that leave, trickle, stall or ask again.
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

// Server is a scheduler as clients know it.
type Server interface{ Up() bool }

// Crowd is all clients.
type Crowd struct {
	plan    *experiment.Experiment
	script  *workload.Script
	book    *ledger.Book
	desk    *requests.Desk
	servers []Server
	addrs   []string
	weather []*links.Weather
	tries   sync.WaitGroup
	open    atomic.Int64
	bodies  [][]byte

	mu    sync.Mutex
	pools map[place]*pool
}

// place is one client's connections to one scheduler.
type place struct{ client, scheduler int }

// pipelining is the client, as of connections, of all tries that may be sent behind another one: a relay for many.
const pipelining = -1

// New makes the clients of an experiment.
func New(e *experiment.Experiment, s *workload.Script, book *ledger.Book, desk *requests.Desk, servers []Server, addrs []string) *Crowd {
	c := &Crowd{plan: e, script: s, book: book, desk: desk, servers: servers, addrs: addrs, pools: map[place]*pool{}}
	for i := range addrs {
		sky := fleet.Sky(e, "clients", "", e.Zones[i%len(e.Zones)])
		c.weather = append(c.weather, links.New(sky, e.Seed*31+uint64(i)))
	}
	for _, cat := range e.Categories {
		c.bodies = append(c.bodies, []byte(strings.Repeat("x", cat.BodyBytes)))
	}
	return c
}

// pool is a client's connections to a scheduler.
func (c *Crowd) pool(client, scheduler int) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := place{client, scheduler}
	p := c.pools[at]
	if p == nil {
		p = &pool{addr: c.addrs[scheduler], book: c.book, weather: c.weather[scheduler]}
		c.pools[at] = p
	}
	return p
}

// Open tells how many tries have no end yet.
func (c *Crowd) Open() int64 { return c.open.Load() }

// Run sends all ops of the script, each when it is due after the start, and returns when the last was sent or the
// context has ended.
func (c *Crowd) Run(ctx context.Context, start time.Time) {
	// The runtime's own timers wake up to a whole millisecond late; a thread that sleeps by itself does not.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i := range c.script.Wishes {
		w := &c.script.Wishes[i]
		due := start.Add(time.Duration(w.Due) * ledger.Tenth)
		for wait := time.Until(due); wait > 0 && ctx.Err() == nil; wait = time.Until(due) {
			nap := syscall.NsecToTimespec(int64(min(wait, longestNap)))
			syscall.Nanosleep(&nap, nil)
		}
		if ctx.Err() != nil {
			return
		}
		c.tries.Add(1)
		go func() {
			defer c.tries.Done()
			c.wish(ctx, i, w, due)
		}()
	}
}

// Wait waits until all tries have ended, and closes their connections.
func (c *Crowd) Wait() {
	c.tries.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.close()
	}
}

// try is one op.
type try struct {
	id, effect string
	number     int
	category   *experiment.Category
	wish       *workload.Wish
	body       []byte
	until      time.Time
	leaveAt    time.Duration
	shared     bool // its id is that of all tries of its wish
	repeat     bool // it is not the first of them
	keptOnly   bool // it goes by a connection that is open, or not at all
}

// note writes an event of a try. In the ledger a wish whose tries share an id is one op, at the scheduler of its first try.
func (c *Crowd) note(t *try, e ledger.Event) {
	if t.repeat {
		if e.Kind == ledger.Sent {
			return
		}
		if e.Kind != ledger.Answer {
			e.State = string(e.Kind)
		}
		e.Kind = ledger.Echo
	}
	c.book.Add(e)
}

// outcome is what a client knows of a try.
type outcome struct {
	kind  ledger.Kind // Answer, Cut, Refused or Left
	which string
	pause time.Duration
}

const longestNap = 20 * time.Millisecond // before a look at whether to stop

const (
	leastTry  = 50 * time.Millisecond // with less left a client asks no more
	leastTold = time.Millisecond      // that a head tells as the time left
	waitOver  = 1500 * time.Millisecond
)

// wish sees one wish through, try after try.
func (c *Crowd) wish(ctx context.Context, n int, w *workload.Wish, due time.Time) {
	cat := &c.plan.Categories[w.Category]
	until := due.Add(time.Duration(cat.TTLMS * float64(time.Millisecond)))
	r := rand.New(rand.NewPCG(w.Seed, 0x77697368))
	effect := fmt.Sprintf("e%x-%d", c.plan.Seed, n)
	if w.AsksAgain {
		c.tries.Add(1)
		wait := time.Duration(1+r.IntN(200)) * time.Millisecond
		go func() {
			defer c.tries.Done()
			select {
			case <-time.After(time.Until(due.Add(wait))):
			case <-ctx.Done():
				return
			}
			c.once(ctx, &try{id: effect + "-again", effect: effect, number: 100, category: cat, wish: w, body: c.bodies[w.Category],
				until: until}, due.Add(wait), w.Scheduler)
		}()
	}
	at := w.Scheduler
	if c.plan.Clients.SameID && cat.Effect == ledger.AtMostOnce {
		c.insist(ctx, effect, w, due, until, r)
		return
	}
	for k := 0; ; k++ {
		t := &try{id: fmt.Sprintf("%s-%d", effect, k), effect: effect, number: k, category: cat, wish: w,
			body: c.bodies[w.Category], until: until}
		if k == 0 && w.LeaveAt > 0 {
			t.leaveAt = time.Duration(w.LeaveAt) * ledger.Tenth
		}
		at, t.keptOnly = c.serving(at, w.Client)
		end := c.once(ctx, t, due, at)
		if !c.again(t, end) || k >= c.plan.Clients.Retries || ctx.Err() != nil {
			return
		}
		var ok bool
		if due, ok = c.rest(ctx, c.wait(r, w, k, end), until); !ok {
			return
		}
		at = r.IntN(len(c.addrs)) // the front deals it out anew
	}
}

// rest waits before a client's next try and tells when that is due; false where it would come too late, or the run ends.
func (c *Crowd) rest(ctx context.Context, wait time.Duration, until time.Time) (due time.Time, ok bool) {
	if due = time.Now().Add(wait); until.Sub(due) < leastTry {
		return due, false
	}
	select {
	case <-time.After(wait):
		return due, true
	case <-ctx.Done():
		return due, false
	}
}

// insist asks for an op under one id until it has a final answer: first at one scheduler, then at others, now and then at two at once.
func (c *Crowd) insist(ctx context.Context, effect string, w *workload.Wish, due, until time.Time, r *rand.Rand) {
	cat := &c.plan.Categories[w.Category]
	first := c.up(w.Scheduler)
	ask := func(k int, due time.Time, at int) outcome {
		return c.once(ctx, &try{id: effect + "-0", effect: effect, number: k, category: cat, wish: w, body: c.bodies[w.Category], until: until,
			shared: true, repeat: k > 0}, due, at)
	}
	elsewhere := func() (int, bool) {
		at := c.up((first + 1 + r.IntN(len(c.addrs)-1)) % len(c.addrs))
		return at, at != first
	}
	if at, ok := elsewhere(); ok && r.Float64() < c.plan.Clients.AtOnce {
		c.tries.Add(1)
		go func() {
			defer c.tries.Done()
			select {
			case <-time.After(time.Millisecond): // its first try's Due stands in the ledger by then
				ask(100, due, at)
			case <-ctx.Done():
			}
		}()
	}
	end := ask(0, due, first)
	for k := 1; k <= c.plan.Clients.Retries; k++ {
		if end.kind == ledger.Left || end.kind == ledger.Answer && end.which != ledger.Nacked || ctx.Err() != nil {
			return
		}
		due, ok := c.rest(ctx, c.wait(r, w, k-1, end), until)
		if !ok {
			return
		}
		at, ok := elsewhere()
		if !ok {
			return
		}
		end = ask(k, due, at)
	}
}

// up is a scheduler that is known to serve: the one given, or the next one.
func (c *Crowd) up(at int) int {
	for i := range c.servers {
		if k := (at + i) % len(c.servers); c.servers[k].Up() {
			return k
		}
	}
	return at
}

// ender is a scheduler that may be about to end: it takes no new clients, and those with open connections go on.
type ender interface{ Ending() bool }

// serving is a scheduler that a client may send to: the one given, or the next one. Of one that is about to end only open connections
// are used.
func (c *Crowd) serving(at, client int) (scheduler int, keptOnly bool) {
	for i := range c.servers {
		k := (at + i) % len(c.servers)
		if c.servers[k].Up() {
			return k, false
		}
		if s, ok := c.servers[k].(ender); ok && s.Ending() && (c.pool(client, k).open() || c.pool(pipelining, k).open()) {
			return k, true
		}
	}
	return at, false
}

// again tells whether a client asks once more. A dead letter promises nothing, so only what may run twice is.
func (c *Crowd) again(t *try, o outcome) bool {
	switch o.kind {
	case ledger.Refused:
		return true
	case ledger.Answer:
		return o.which == ledger.Nacked || o.which == ledger.Dead && t.category.Effect == ledger.Redeliverable
	case ledger.Cut:
		return t.category.Effect == ledger.Redeliverable
	}
	return false
}

func (c *Crowd) wait(r *rand.Rand, w *workload.Wish, k int, o outcome) time.Duration {
	wait := time.Duration(c.plan.Clients.WaitMS * float64(time.Millisecond))
	switch c.plan.Clients.Backoff {
	case "none":
		wait = 0
	case "exponential":
		wait = time.Duration(float64(wait<<min(k, 8)) * (0.5 + r.Float64()))
	}
	if w.Honours {
		wait = max(wait, o.pause)
	}
	return wait
}

// once sends one op and sees what becomes of it. An op on a kept connection that ends unread is sent once more.
func (c *Crowd) once(ctx context.Context, t *try, due time.Time, at int) outcome {
	c.open.Add(1)
	defer c.open.Add(-1)
	cat := t.category
	job := workermodel.Job{Op: t.id, Effect: t.effect, Work: t.wish.Work, Usual: cat.WorkMS, Slots: t.wish.Slots, Memory: cat.Memory, Dedup: cat.Effect == ledger.Deduplicated,
		Window: experiment.MS(cat.WindowMS), Scope: cat.Scope}
	key := ""
	if cat.Effect != ledger.Redeliverable {
		key = t.effect
	}
	target := "/api?sid=" + t.effect
	c.desk.Put(t.id, requests.Ask{Job: job, Target: target, Key: key, Body: requests.Sum(t.body)})
	if t.repeat {
		c.book.Add(ledger.Event{Kind: ledger.Repeat, Op: t.id, Scheduler: at + 1, Try: t.number, Client: t.wish.Client + 1})
	} else {
		c.due(t, due, at)
	}
	for round := 0; ; round++ {
		o, reused := c.exchange(ctx, t, due, at, target, key, round > 0)
		if o.kind != ledger.Cut || !reused || round > 0 || o.which != "" {
			return o
		}
	}
}

// due writes down that a try is due, which is an op of its own.
func (c *Crowd) due(t *try, due time.Time, at int) {
	state := ""
	if t.shared {
		state = "shared"
	}
	cat := t.category
	c.book.Add(ledger.Event{Kind: ledger.Due, Op: t.id, Effect: t.effect, State: state, Category: cat.Name, Scheduler: at + 1, Try: t.number, Client: t.wish.Client + 1,
		From: c.book.Moment(due), Until: c.book.Moment(t.until), Work: t.wish.Work * t.wish.Slots, Slots: t.wish.Slots})
}

// head is a request's head.
func (t *try) head(target, key string, left time.Duration) []byte {
	b := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left-Ms: %d\r\nX-Client: c%d\r\n",
		target, t.id, t.category.Name, max(left, leastTold).Milliseconds(), t.wish.Client)
	if key != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", key)
	}
	if t.number > 0 && !t.shared {
		b = append(b, "X-Repeat: 1\r\n"...)
	}
	if t.wish.Hint > 0 {
		b = fmt.Appendf(b, "X-Weight-Hint: %d\r\n", int64(t.wish.Hint*1000))
	}
	if t.wish.Slots > 1 || t.category.Memory > 0 {
		b = fmt.Appendf(b, "X-Facts: slots=%g,memory=%g\r\n", t.wish.Slots, t.category.Memory)
	}
	return fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(t.body))
}

func (c *Crowd) exchange(ctx context.Context, t *try, due time.Time, at int, target, key string, fresh bool) (outcome, bool) {
	pipelines := t.pipelines(c.plan.Clients.Pipeline)
	p := c.pool(t.wish.Client, at)
	if pipelines {
		p = c.pool(pipelining, at)
	}
	if fresh {
		p = &pool{addr: p.addr, weather: p.weather, book: p.book}
	}
	if t.keptOnly && (fresh || !p.open()) {
		c.note(t, ledger.Event{Kind: ledger.Refused, Op: t.id, Scheduler: at + 1, Text: "it is about to end"})
		return outcome{kind: ledger.Refused}, false
	}
	w, waits, reused, behind, err := p.connection(t, pipelines && !fresh)
	if err != nil {
		c.note(t, ledger.Event{Kind: ledger.Refused, Op: t.id, Scheduler: at + 1, Text: err.Error()})
		return outcome{kind: ledger.Refused}, false
	}
	began := time.Now()
	if least := began.Add(leastTold); t.until.Before(least) { // it is sent again, and no head tells less
		t.until = least
	}
	err = c.write(w, t, append(t.head(target, key, time.Until(t.until)), t.body...))
	w.order.Unlock()
	if err != nil {
		select { // it may have been answered before it was whole
		case r := <-waits:
			if r.err == nil {
				return c.close(w, t, at, r), reused
			}
		case <-time.After(10 * time.Millisecond):
		}
		w.Close()
		c.note(t, ledger.Event{Kind: ledger.Cut, Op: t.id, Scheduler: at + 1, State: reusedText(reused), Text: err.Error()})
		return outcome{kind: ledger.Cut}, reused
	}
	// Its time counts from its last byte, whatever time the bytes before took.
	now := time.Now()
	t.until = t.until.Add(now.Sub(began))
	text := ""
	if behind {
		text = ledger.Behind
	}
	c.note(t, ledger.Event{Kind: ledger.Sent, Op: t.id, Scheduler: at + 1, Until: c.book.Moment(t.until), Text: text,
		Late: max(c.book.Moment(began)-c.book.Moment(due), 0)})
	leave := make(<-chan time.Time)
	if t.leaveAt > 0 {
		leave = time.After(t.leaveAt)
	}
	// A client gives up at its TTL. The lab waits on, so that an answer that comes after it is seen.
	late := time.NewTimer(time.Until(t.until) + waitOver)
	defer late.Stop()
	select {
	case r := <-waits:
		if r.err != nil {
			text := r.err.Error()
			if r.read {
				text = ledger.ReadUnanswered
			}
			w.Close()
			c.note(t, ledger.Event{Kind: ledger.Cut, Op: t.id, Scheduler: at + 1, State: reusedText(reused && !r.some), Text: text})
			return outcome{kind: ledger.Cut}, reused && !r.some
		}
		if r.header.Get("Connection") != "close" {
			p.put(w)
		}
		return c.close(nil, t, at, r), reused
	case <-leave:
		c.note(t, ledger.Event{Kind: ledger.Left, Op: t.id})
		w.Close()
		return outcome{kind: ledger.Left}, reused
	case <-ctx.Done():
		c.note(t, ledger.Event{Kind: ledger.Left, Op: t.id})
		w.Close()
		return outcome{kind: ledger.Left}, reused
	case <-late.C:
		w.Close()
		return outcome{kind: ledger.Cut, which: "late"}, reused
	}
}

// connection is one for a try's request, which may be behind another's. Its order is held.
func (p *pool) connection(t *try, mayBeBehind bool) (w *wire, waits chan reply, reused, behind bool, err error) {
	if mayBeBehind {
		if w, waits, ok := p.behind(t.id, t.until); ok {
			return w, waits, true, true, nil
		}
	}
	w, waits, reused, err = p.get(t.id, t.until, t.leaveAt > 0)
	return w, waits, reused, false, err
}

// pipelines draws whether a try is sent behind another one. One that is written slowly, or whose client may leave, is not: it would take
// the others' time, or connection, along.
func (t *try) pipelines(chance float64) bool {
	if chance == 0 || t.leaveAt > 0 || t.wish.Trickles || t.wish.Stalls {
		return false
	}
	r := rand.New(rand.NewPCG(t.wish.Seed, 0x70697065+uint64(t.number)))
	return r.Float64() < chance
}

func reusedText(reused bool) string {
	if reused {
		return "reused"
	}
	return ""
}

// close notes a whole answer; a connection given is closed.
func (c *Crowd) close(w *wire, t *try, at int, r reply) outcome {
	if w != nil {
		w.Close()
	}
	o := outcome{kind: ledger.Answer, which: ledger.Dead}
	text := ""
	switch {
	case r.status == http.StatusOK:
		o.which, text = ledger.Acked, string(r.body)
	case r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests:
		o.which = ledger.Nacked
		if s, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
			o.pause = time.Duration(s * float64(time.Second))
		}
	case r.status/100 == 4:
		o.which = ledger.Bad
	}
	c.note(t, ledger.Event{Kind: ledger.Answer, Op: t.id, Scheduler: at + 1, Verdict: o.which, Status: r.status, Text: text})
	return o
}

const trickle = 2 * time.Millisecond // between bytes

// write sends a request as its client does: at once, byte by byte or with a halt in the middle.
func (c *Crowd) write(w *wire, t *try, text []byte) error {
	switch {
	case t.wish.Trickles:
		for i := range text {
			if _, err := w.Write(text[i : i+1]); err != nil {
				return err
			}
			time.Sleep(trickle)
		}
		return nil
	case t.wish.Stalls:
		half := len(text) - len(t.body)/2 - 1
		if _, err := w.Write(text[:half]); err != nil {
			return err
		}
		time.Sleep(700 * time.Millisecond)
		text = text[half:]
	}
	if _, err := w.Write(text); err != nil {
		return err
	}
	return nil
}
