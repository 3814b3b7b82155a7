// Package baseline implements simple schedulers for comparison. They run textbook policies over the
// platform's protocol in the lab's process, learn nothing and handle few failures. They obey the rules
// unless they are configured to break one, which tests the audit.
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

// Policies are the names of the policies. In this order they choose a random worker, the next worker in turn
// (round robin), the worker with the fewest pushes in flight from this scheduler, and of two random workers
// the worker that reports fewer jobs.
var Policies = []string{"random", "turns", "fewest", "probes"}

// Violations are the rules that a scheduler breaks on purpose.
type Violations struct {
	Answers int  // number of answers to a request, if more than one
	Copies  int  // number of pushes of an op in flight, if more than one
	Drains  bool // it pushes to draining workers
	Retries bool // it retries pushes that may have run, in every category
	Cold    bool // it pushes to cold workers as to warm ones
}

// Maker returns a maker of schedulers with a policy.
func Maker(policy string, violations Violations) (schedulers.Launcher, error) {
	if !slices.Contains(Policies, policy) {
		return nil, fmt.Errorf("no baseline %q; there are %s", policy, strings.Join(Policies, ", "))
	}
	return func(_ int, path, _ string) (schedulers.Process, error) {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		s := &scheduler{policy: policy, violations: violations, workers: map[string]*worker{}, ended: make(chan error, 1)}
		if err := s.loadConfig(text); err != nil {
			return nil, fmt.Errorf("baseline: %w", err)
		}
		l, err := net.Listen("tcp", s.sheet.Listen)
		if err != nil {
			return nil, fmt.Errorf("baseline: %w", err)
		}
		s.ctx, s.cancel = context.WithCancel(context.Background())
		s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
		go s.server.Serve(l)
		go s.followLists()
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

type endpointList struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

type worker struct {
	target
	inFlight int
	idle     []net.Conn
}

type scheduler struct {
	policy     string
	violations Violations
	sheet      schedulers.BootstrapConfig
	settings   settings
	rev        int64
	ctx        context.Context
	cancel     context.CancelFunc
	server     *http.Server
	ended      chan error
	endOnce    sync.Once

	mu       sync.Mutex
	rand     *rand.Rand
	nextTurn int
	workers  map[string]*worker
}

func (s *scheduler) loadConfig(text []byte) error {
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
	var known endpointList
	if err := json.Unmarshal(s.sheet.Endpoints, &known); err != nil {
		return err
	}
	s.applyList(known)
	return nil
}

// PID returns 0: the scheduler has no process.
func (s *scheduler) PID() int { return 0 }

// Wait waits until the scheduler has ended.
func (s *scheduler) Wait() error { return <-s.ended }

// Signal ends the scheduler on SIGKILL or SIGTERM. It ignores other signals.
func (s *scheduler) Signal(sig syscall.Signal) error {
	switch sig {
	case syscall.SIGKILL:
		s.endOnce.Do(func() {
			s.cancel()
			s.server.Close()
			s.ended <- errors.New("signal: killed")
		})
	case syscall.SIGTERM:
		go s.endOnce.Do(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			s.server.Shutdown(ctx)
			s.cancel()
			s.ended <- nil
		})
	}
	return nil
}

func (s *scheduler) applyList(l endpointList) {
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

// followLists watches discovery's endpoint list, and reconnects when the stream ends.
func (s *scheduler) followLists() {
	for s.ctx.Err() == nil {
		s.followStream()
		select {
		case <-s.ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (s *scheduler) followStream() {
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
		var l endpointList
		if text := bytes.TrimSpace(lines.Bytes()); len(text) > 0 && json.Unmarshal(text, &l) == nil {
			s.applyList(l)
		}
	}
}

// candidates returns the workers that may be pushed to and were not tried before. It leaves out cold workers,
// which obeys the rule on cold workers at the cost of their capacity.
func (s *scheduler) candidates(tried map[string]bool) (workers []*worker) {
	warmBoot := time.Now().Add(-time.Duration(s.settings.Safety.WarmAfter)).UnixMilli()
	for _, w := range s.workers {
		usable := w.State == "SERVING" || s.violations.Drains
		if usable && !tried[w.UID] && (w.BootMS < warmBoot || s.violations.Cold) {
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, b *worker) int { return strings.Compare(a.UID, b.UID) })
	return workers
}

// pick chooses a worker by the policy. It returns an idle connection to the worker if there is one.
func (s *scheduler) pick(tried map[string]bool) (*worker, net.Conn) {
	s.mu.Lock()
	workers := s.candidates(tried)
	if len(workers) == 0 {
		s.mu.Unlock()
		return nil, nil
	}
	w := workers[s.rand.IntN(len(workers))]
	switch s.policy {
	case "turns":
		s.nextTurn++
		w = workers[s.nextTurn%len(workers)]
	case "fewest":
		w = slices.MinFunc(workers, func(a, b *worker) int { return a.inFlight - b.inFlight })
	case "probes":
		other := workers[s.rand.IntN(len(workers))]
		s.mu.Unlock()
		jobs, otherJobs := s.probeJobs(w.Endpoint), s.probeJobs(other.Endpoint)
		s.mu.Lock()
		if otherJobs < jobs {
			w = other
		}
		if w.State != "SERVING" {
			s.mu.Unlock()
			return s.pick(tried)
		}
	}
	defer s.mu.Unlock()
	w.inFlight++
	var c net.Conn
	if n := len(w.idle); n > 0 {
		c, w.idle = w.idle[n-1], w.idle[:n-1]
	}
	return w, c
}

// probeJobs asks a worker for its number of jobs. It returns a very high number if the probe fails.
func (s *scheduler) probeJobs(addr string) int {
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

// pushOutcome is the outcome of a push as the scheduler knows it.
type pushOutcome int

const (
	served pushOutcome = iota
	neverRan
	mayHaveRun
)

const answerMargin = 20 * time.Millisecond

// ServeHTTP serves an op, or a health check by GET.
func (s *scheduler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	leftMS, numErr := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
	if err != nil || numErr != nil {
		http.Error(w, "no op", http.StatusBadRequest)
		return
	}
	until := time.Now().Add(time.Duration(leftMS)*time.Millisecond - answerMargin)
	effect := "fragile"
	for _, c := range s.settings.Categories {
		if c.Name == r.Header.Get("X-Service-Class") {
			effect = c.Effect
		}
	}
	status, text := s.serve(r, body, effect, until)
	if s.violations.Answers > 1 {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		for range s.violations.Answers {
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
		for range s.violations.Copies - 1 {
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
		if ran && effect != "retryable" && !s.violations.Retries {
			return http.StatusBadGateway, "dead-lettered\n"
		}
	}
	if ran && effect != "retryable" {
		return http.StatusBadGateway, "dead-lettered\n"
	}
	return http.StatusServiceUnavailable, "nacked\n"
}

// push sends an op to a worker and waits for the outcome.
func (s *scheduler) push(w *worker, c net.Conn, r *http.Request, body []byte, until time.Time) (string, pushOutcome) {
	reusable := false
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if w.inFlight--; reusable {
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
			reusable = true
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
			reusable = err == nil
			return l.Result, served
		case "returned":
			return "", neverRan
		case "failed", "lost":
			return "", mayHaveRun
		}
	}
	return "", mayHaveRun
}
