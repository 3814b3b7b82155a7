// Package roster holds discovery's list of workers: it reads the list, watches its changes and connects again
// when the watch breaks.
package roster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/ops"
	"woaddyke/internal/terms"
)

const (
	beat     = 2 * time.Second // an empty line comes this often while nothing changes
	quiet    = 9 * beat / 4    // so long without a line, and the agent is lost; it must be found out before 4 s and a grace
	longLine = 8 << 20
	// The first wait of a lone scheduler for another watch; each that fails doubles it, up to sixteen times as long. It
	// must stay short: what discovery's agent has counts as told while nobody reads it.
	firstWait = 20 * time.Millisecond
	// An agent has a line for each beat, so a call that is taken has its head by then, or is lost. One that was cut after
	// a second was what a busy discovery was about to answer, and its work was done all the same.
	settle = 5 * beat / 4
	dialed = time.Second // an agent on this machine is there at once
	// All schedulers lose their watch together, or start together. Discovery answers them in turn, and what has waited
	// too long fails though the work is done: asked by all at once, and by all again, it answered none for good. So they
	// come back at this many a second, in sum, and at half of that and less after each call that was turned away.
	callRate = 20
	// What discovery would have told a scheduler, had it asked, counts as told: it must have asked, and have its answer,
	// before a drain's grace has passed.
	inGrace = 0.8
	// The longest of the waits that double, before it is spread by half either way.
	longestWait = 16 * time.Second
)

// errTurnedAway is a call that discovery had no time for.
var errTurnedAway = errors.New("turned away")

const deleted = "DELETED" // the state, among changes only, of a worker that has left the list

// Message is a list as discovery words it.
type Message struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	AZ       string `json:"az"`
	PodGroup int    `json:"pod_group"`
	Model    string `json:"model"`
	State    string `json:"state"`
	BootMS   int64  `json:"boot_ms"`
}

// Listed is the message as the reducer takes it.
func (m *Message) Listed() ops.Listed {
	in := ops.Listed{Whole: m.All, Rev: m.Rev}
	for _, t := range m.Targets {
		if t.UID == "" {
			continue // nobody could ever be told that it has gone
		}
		in.Entries = append(in.Entries, ops.Entry{Worker: t.UID, Addr: t.Endpoint, Zone: t.AZ, Kind: t.Model, Cell: t.PodGroup,
			Ready: t.State == "SERVING", Gone: t.State == deleted, Since: terms.Up(t.BootMS * int64(time.Millisecond))})
	}
	return in
}

// Roster is discovery at the address last given, as of one version of its list.
type Roster struct {
	tell   func(ops.Input)
	client http.Client
	log    zerolog.Logger
	one    sync.Mutex    // held by the watch that is on
	chance *rand.Rand    // Keep's
	spread time.Duration // over which all schedulers come back
	moved  chan struct{} // wakes Keep

	mu   sync.Mutex
	addr string
	end  context.CancelFunc // of the watch that is on
	rev  int64              // of the list
	list map[string]target  // by uid
}

// Spread is the time over which so many schedulers that ask the same discovery come back to it, within the grace of a
// drain.
func Spread(schedulers int, grace time.Duration) time.Duration {
	all := time.Duration(schedulers) * time.Second / callRate
	return max(min(all, time.Duration(inGrace*float64(grace))), firstWait)
}

// New makes a roster that goes on from a remembered list, and draws the moments of its calls from its seed
// over a spread that it shares with the other schedulers.
func New(addr string, known Message, spread time.Duration, seed uint64, tell func(ops.Input), log zerolog.Logger) *Roster {
	known.All = true
	r := &Roster{addr: addr, tell: tell, log: log, end: func() {}, moved: make(chan struct{}, 1),
		chance: rand.New(rand.NewPCG(seed, 0)), spread: spread,
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: dialed}).DialContext}}}
	r.keep(&known)
	return r
}

// keep takes a message into the list.
func (r *Roster) keep(m *Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rev = m.Rev; m.All {
		r.list = map[string]target{}
	}
	for _, t := range m.Targets {
		if r.list[t.UID] = t; t.State == deleted {
			delete(r.list, t.UID)
		}
	}
}

// Known is the whole list as of now, in discovery's form.
func (r *Roster) Known() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := Message{Rev: r.rev, All: true, Targets: []target{}}
	for _, uid := range slices.Sorted(maps.Keys(r.list)) {
		m.Targets = append(m.Targets, r.list[uid])
	}
	return json.Marshal(m)
}

// Move goes over to another address at once, also where no watch is on: the old one may tell nothing more.
func (r *Roster) Move(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addr = addr
	r.end()
	select {
	case r.moved <- struct{}{}:
	default:
	}
}

// again is how long to wait for another watch after so many that failed. What is silent or not there may be back any
// moment, and all together ask no more than callRate; what turns calls away must be asked less and less.
func (r *Roster) again(fails int, turnedAway bool) time.Duration {
	if fails == 0 {
		return time.Duration(r.chance.Float64() * float64(r.spread))
	}
	most := max(16*firstWait, r.spread)
	if turnedAway {
		most = longestWait
	}
	return time.Duration((0.5 + r.chance.Float64()) * float64(min(r.spread<<min(fails-1, 10), most)))
}

// Keep watches until the context ends, and connects again whenever the watch breaks.
func (r *Roster) Keep(ctx context.Context) {
	wait, turnedAway := r.again(0, false), false // the remembered list serves meanwhile
	for fails := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-r.moved:
			fails, turnedAway = 0, false
		case <-time.After(wait):
		}
		r.mu.Lock()
		on := r.replace(ctx)
		r.mu.Unlock()
		heard, err := r.watch(on)
		if ctx.Err() != nil {
			return
		}
		if fails++; heard {
			fails = 0
		}
		turnedAway = !heard && (turnedAway || errors.Is(err, errTurnedAway))
		wait = r.again(fails, turnedAway)
		if !errors.Is(err, context.Canceled) { // a move is no break
			r.log.Warn().Err(err).Dur("again_in_ms", wait).Msg("watch broke")
		}
	}
}

// replace ends the watch that is on, with the lock held, and returns the context of the next one.
func (r *Roster) replace(ctx context.Context) context.Context {
	r.end()
	ctx, r.end = context.WithCancel(ctx)
	return ctx
}

// watch reads one watch until it breaks, and tells whether anything came.
func (r *Roster) watch(ctx context.Context) (heard bool, err error) {
	r.one.Lock()
	defer r.one.Unlock()
	r.mu.Lock()
	addr, rev := r.addr, r.rev
	r.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(settle, func() { cancel(errors.New("nothing came")) }) // a lost agent says nothing
	defer silence.Stop()
	url := fmt.Sprintf("http://%s/v1/servers?stream=1&index=%d", addr, rev)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, fmt.Errorf("watch: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return false, fmt.Errorf("watch: %w", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return false, fmt.Errorf("watch: status %s: %w", resp.Status, errTurnedAway)
	default:
		return false, fmt.Errorf("watch: status %s", resp.Status)
	}
	silence.Reset(quiet)
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 4096), longLine)
	for lines.Scan() {
		silence.Reset(quiet)
		line := bytes.TrimSpace(lines.Bytes())
		if heard = true; len(line) == 0 {
			continue
		}
		var m Message
		if err := json.Unmarshal(line, &m); err != nil {
			return heard, fmt.Errorf("watch: %w", err)
		}
		r.keep(&m)
		r.log.Debug().Int64("rev", m.Rev).Bool("whole", m.All).Int("entries", len(m.Targets)).Msg("list")
		for _, t := range m.Targets {
			r.log.Debug().Str("worker", t.UID).Str("state", t.State).Str("zone", t.AZ).Int64("boot_ms", t.BootMS).Msg("listed")
		}
		r.tell(m.Listed())
	}
	if err := lines.Err(); err != nil {
		return heard, fmt.Errorf("watch: %w", err)
	}
	return heard, errors.New("watch: ended")
}
