// Package baseline holds plain schedulers to compare with: textbook policies over the platform's protocol, in the
// lab's own process, with nothing learned and little done about failure. They keep the rules, unless they are told
// to break one: the judge is proved on such.
package baseline

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"woaddyke/internal/lab/schedulers"
)

// Policies are the names of the policies: a random worker; each in turn; the one with the fewest own pushes out;
// the better of two random ones by a probe's count of jobs.
var Policies = []string{"random", "turns", "fewest", "probes"}

// Wrongs are rules that a scheduler breaks on purpose.
type Wrongs struct {
	Answers int  // how often it answers, if more than once
	Copies  int  // how many pushes of an op it has out, if more than one
	Drains  bool // it goes on pushing to workers that drain
	Retries bool // it pushes again what may have run, whatever its category
	Cold    bool // no worker is cold to it
}

// Maker starts schedulers of a policy.
func Maker(policy string, wrong Wrongs) (schedulers.Maker, error) {
	if !slices.Contains(Policies, policy) {
		return nil, fmt.Errorf("no baseline %q; there are %s", policy, strings.Join(Policies, ", "))
	}
	return func(_ int, path, _ string) (schedulers.Running, error) {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		s := &scheduler{policy: policy, wrong: wrong, workers: map[string]*worker{}, ended: make(chan error, 1)}
		if err := s.read(text); err != nil {
			return nil, fmt.Errorf("baseline: %w", err)
		}
		l, err := net.Listen("tcp", s.sheet.Listen)
		if err != nil {
			return nil, fmt.Errorf("baseline: %w", err)
		}
		s.ctx, s.cancel = context.WithCancel(context.Background())
		s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
		go s.server.Serve(l)
		go s.watch()
		return s, nil
	}, nil
}

type category struct {
	Name   string  `json:"name"`
	Effect string  `json:"effect"`
	TTL    float64 `json:"ttlNs"`
}

type settings struct {
	Bounds struct {
		MaxPushes int     `json:"maxPushes"`
		Dial      float64 `json:"connectTimeoutNs"`
	} `json:"bounds"`
	Categories []category `json:"categories"`
	Safety     struct {
		WarmAfter float64 `json:"warmAfterNs"`
	} `json:"safety"`
}

type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	State    string `json:"state"`
	BootMS   int64  `json:"boot_ms"`
}

type list struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

type worker struct {
	target
	out  int
	idle []net.Conn
}

type scheduler struct {
	policy   string
	wrong    Wrongs
	sheet    schedulers.Sheet
	settings settings
	rev      int64
	ctx      context.Context
	cancel   context.CancelFunc
	server   *http.Server
	ended    chan error
	once     sync.Once

	mu      sync.Mutex
	rand    *rand.Rand
	turn    int
	workers map[string]*worker
}

func (s *scheduler) read(text []byte) error {
	if err := json.Unmarshal(text, &s.sheet); err != nil {
		return err
	}
	b, err := json.Marshal(s.sheet.Settings)
	if err == nil {
		err = json.Unmarshal(b, &s.settings)
	}
	if err != nil {
		return err
	}
	seed, err := strconv.ParseUint(s.sheet.Seed, 16, 64)
	if err != nil {
		return err
	}
	s.rand = rand.New(rand.NewPCG(seed, 0))
	var known list
	if err := json.Unmarshal(s.sheet.Known, &known); err != nil {
		return err
	}
	s.take(known)
	return nil
}

// PID says that it has no process of its own.
func (s *scheduler) PID() int { return 0 }

// Wait waits for its end.
func (s *scheduler) Wait() error { return <-s.ended }

// Signal acts on the signals that end a process; the others are nothing to it.
func (s *scheduler) Signal(sig syscall.Signal) error {
	switch sig {
	case syscall.SIGKILL:
		s.once.Do(func() {
			s.cancel()
			s.server.Close()
			s.ended <- errors.New("signal: killed")
		})
	case syscall.SIGTERM:
		go s.once.Do(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			s.server.Shutdown(ctx)
			s.cancel()
			s.ended <- nil
		})
	}
	return nil
}

func (s *scheduler) take(l list) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rev = l.Rev; l.All {
		for _, w := range s.workers {
			w.State = "DELETED"
		}
	}
	for _, t := range l.Targets {
		w := s.workers[t.UID]
		if w == nil {
			w = &worker{}
			s.workers[t.UID] = w
		}
		if w.Endpoint != t.Endpoint || w.BootMS != t.BootMS {
			w.idle = nil
		}
		w.target = t
	}
}

// watch follows discovery's list, and calls again when a watch ends.
func (s *scheduler) watch() {
	for s.ctx.Err() == nil {
		s.follow()
		select {
		case <-s.ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (s *scheduler) follow() {
	s.mu.Lock()
	url := fmt.Sprintf("http://%s/v1/servers?stream=1&index=%d", s.sheet.Discovery, s.rev)
	s.mu.Unlock()
	r, err := http.NewRequestWithContext(s.ctx, http.MethodGet, url, nil)
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 8<<20)
	for lines.Scan() {
		var l list
		if text := bytes.TrimSpace(lines.Bytes()); len(text) > 0 && json.Unmarshal(text, &l) == nil {
			s.take(l)
		}
	}
}

// ready are the workers that may be pushed to, but for those that were tried. Cold ones are left alone: that keeps
// the rule, and costs what they could do.
func (s *scheduler) ready(not map[string]bool) (may []*worker) {
	warm := time.Now().Add(-time.Duration(s.settings.Safety.WarmAfter)).UnixMilli()
	for _, w := range s.workers {
		sound := w.State == "SERVING" || s.wrong.Drains
		if sound && !not[w.UID] && (w.BootMS < warm || s.wrong.Cold) {
			may = append(may, w)
		}
	}
	slices.SortFunc(may, func(a, b *worker) int { return strings.Compare(a.UID, b.UID) })
	return may
}

// pick is the policy.
func (s *scheduler) pick(not map[string]bool) (*worker, net.Conn) {
	s.mu.Lock()
	may := s.ready(not)
	if len(may) == 0 {
		s.mu.Unlock()
		return nil, nil
	}
	w := may[s.rand.IntN(len(may))]
	switch s.policy {
	case "turns":
		s.turn++
		w = may[s.turn%len(may)]
	case "fewest":
		w = slices.MinFunc(may, func(a, b *worker) int { return a.out - b.out })
	case "probes":
		other := may[s.rand.IntN(len(may))]
		s.mu.Unlock()
		x, y := s.jobs(w.Endpoint), s.jobs(other.Endpoint)
		s.mu.Lock()
		if y < x {
			w = other
		}
		if w.State != "SERVING" {
			s.mu.Unlock()
			return s.pick(not)
		}
	}
	defer s.mu.Unlock()
	w.out++
	var c net.Conn
	if n := len(w.idle); n > 0 {
		c, w.idle = w.idle[n-1], w.idle[:n-1]
	}
	return w, c
}

// jobs asks a worker how many jobs it has.
func (s *scheduler) jobs(addr string) int {
	client := http.Client{Timeout: time.Duration(s.settings.Bounds.Dial)}
	resp, err := client.Get("http://" + addr + "/load")
	if err != nil {
		return 1 << 30
	}
	defer resp.Body.Close()
	var load struct {
		Jobs int `json:"busy_reqs"`
	}
	if json.NewDecoder(resp.Body).Decode(&load) != nil || resp.StatusCode != http.StatusOK {
		return 1 << 30
	}
	return load.Jobs
}

// ending is what is known of a push.
type ending int

const (
	served ending = iota
	neverRan
	mayHaveRun
)

const wayBack = 20 * time.Millisecond

// ServeHTTP takes an op and answers it.
func (s *scheduler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	left, numErr := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
	if err != nil || numErr != nil {
		http.Error(w, "no op", http.StatusBadRequest)
		return
	}
	until := time.Now().Add(time.Duration(left)*time.Millisecond - wayBack)
	effect := "fragile"
	for _, c := range s.settings.Categories {
		if c.Name == r.Header.Get("X-Service-Class") {
			effect = c.Effect
		}
	}
	status, text := s.serve(r, body, effect, until)
	if s.wrong.Answers > 1 {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		for range s.wrong.Answers {
			fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(text), text)
		}
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	io.WriteString(w, text)
}

func (s *scheduler) serve(r *http.Request, body []byte, effect string, until time.Time) (int, string) {
	tried := map[string]bool{}
	ran := false
	for push := 0; push < s.settings.Bounds.MaxPushes && time.Now().Before(until); push++ {
		for range s.wrong.Copies - 1 {
			if w, c := s.pick(tried); w != nil {
				go s.push(w, c, r, body, until)
			}
		}
		w, c := s.pick(tried)
		if w == nil {
			break
		}
		tried[w.UID] = true
		text, end := s.push(w, c, r, body, until)
		if end == served {
			return http.StatusOK, text
		}
		ran = ran || end == mayHaveRun
		if ran && effect != "retryable" && !s.wrong.Retries {
			return http.StatusBadGateway, "dead-lettered\n"
		}
	}
	if ran && effect != "retryable" {
		return http.StatusBadGateway, "dead-lettered\n"
	}
	return http.StatusServiceUnavailable, "nacked\n"
}

// push sends an op to a worker and waits for its end.
func (s *scheduler) push(w *worker, c net.Conn, r *http.Request, body []byte, until time.Time) (string, ending) {
	keep := false
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if w.out--; keep {
			w.idle = append(w.idle, c)
		} else if c != nil {
			c.Close()
		}
	}()
	if c == nil {
		var err error
		if c, err = net.DialTimeout("tcp", w.Endpoint, time.Duration(s.settings.Bounds.Dial)); err != nil {
			return "", neverRan
		}
	}
	c.SetDeadline(until)
	b := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: worker\r\nX-Correlation-Id: %s\r\n", r.RequestURI, r.Header.Get("X-Correlation-Id"))
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", key)
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if n, err := c.Write(b); err != nil && n < len(b) {
		return "", neverRan
	}
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return "", mayHaveRun
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if resp.Header.Get("X-Unprocessed") == "1" {
			keep = true
			return "", neverRan
		}
		return "", mayHaveRun
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var l struct{ State, Result string }
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			return "", mayHaveRun
		}
		switch l.State {
		case "done":
			_, err := io.Copy(io.Discard, resp.Body)
			keep = err == nil
			return l.Result, served
		case "returned":
			return "", neverRan
		case "failed", "lost":
			return "", mayHaveRun
		}
	}
	return "", mayHaveRun
}
