package schedulers

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"woaddyke/internal/lab/experiment"
	"woaddyke/internal/lab/faultproxy"
	"woaddyke/internal/lab/ledger"
)

// Running is one scheduler that was started.
type Running interface {
	Signal(syscall.Signal) error
	Wait() error // returns when it has ended
	PID() int    // 0 for one in the lab's own process
}

// Maker starts a scheduler that reads a sheet from a file and writes its log to another.
type Maker func(n int, sheet, log string) (Running, error)

// process is a scheduler's process.
type process struct{ cmd *exec.Cmd }

func (p process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }
func (p process) Wait() error                   { return p.cmd.Wait() }
func (p process) PID() int                      { return p.cmd.Process.Pid }

// Program starts processes of a build by its path.
func Program(path string, args ...string) Maker {
	return func(n int, sheet, log string) (Running, error) {
		out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		defer out.Close()
		cmd := Command(path, sheet, out, args...)
		if err := cmd.Start(); err != nil {
			return nil, fmt.Errorf("scheduler: %w", err)
		}
		return Started(cmd), nil
	}
}

// Command is a scheduler's process that is not started yet.
func Command(path, sheet string, log *os.File, args ...string) *exec.Cmd {
	args = append([]string{"serve", "--config", sheet}, args...)
	if operator := operatorOf(sheet); operator != "" {
		args = append(args, "--operator", operator)
	}
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// It must not outlive the lab, nor take the lab's Ctrl-C for its own.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return cmd
}

// Started is a process that somebody has started.
func Started(cmd *exec.Cmd) Running { return process{cmd} }

// operatorOf is the operator's file beside a sheet, empty where there is none.
func operatorOf(sheet string) string {
	path := strings.TrimSuffix(sheet, ".json") + ".operator.toml"
	if _, err := os.Stat(path); err != nil {
		return ""
	}
	return path
}

// Known gives a scheduler's discovery address and the list as it is now.
type Known interface {
	Addr() string
	Known() json.RawMessage
}

// Scheduler is one place at which a scheduler runs.
type Scheduler struct {
	n      int
	plan   *experiment.Experiment
	book   *ledger.Book
	make   Maker
	known  Known
	dir    string
	Listen string

	mu      sync.Mutex
	running Running
	ended   chan struct{}
	starts  uint64
	first   json.RawMessage // the list of the first start, for one that comes back with an old one
	up      bool
	ending  bool      // told to end, and not ended
	newTill time.Time // new clients come to one that is ending
	label   string    // of its files and its name; Name stays n's own
	name    string
	console string
	readies []time.Duration
	change  int    // which of the changes of settings stands in its sheet, 0 for none
	offers  string // the operator's file, empty for none
}

// Label is the name of its files.
func (s *Scheduler) Label() string { return s.label }

// Offer sets what stands in its operator's file, before it is started; it has a second address from then on.
func (s *Scheduler) Offer(text string) { s.offers = text }

// New reserves an address for the n-th scheduler.
func New(n int, e *experiment.Experiment, book *ledger.Book, m Maker, known Known, dir string) (*Scheduler, error) {
	// Its own address, so that no connection from this machine can take its port while it is down.
	base, err := faultproxy.Own()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", faultproxy.Bound(base+n).String()+":0")
	if err != nil {
		return nil, fmt.Errorf("scheduler %d: %w", n+1, err)
	}
	defer l.Close()
	name := fmt.Sprintf("n%d", n+1)
	return &Scheduler{n: n, plan: e, book: book, make: m, known: known, dir: dir, Listen: l.Addr().String(), label: name, name: name}, nil
}

// Twin is a scheduler that takes no clients and writes nothing into the ledger, at an address of its own.
func Twin(n int, name, label string, e *experiment.Experiment, m Maker, known Known, dir string) (*Scheduler, error) {
	quiet, err := ledger.Create("", time.Now())
	if err != nil {
		return nil, err
	}
	s, err := New(n, e, quiet, m, known, dir)
	if err == nil {
		s.name, s.label = name, label
	}
	return s, err
}

func (s *Scheduler) file(end string) string { return filepath.Join(s.dir, s.label+end) }

const startTime = 20 * time.Second

// Start starts it and waits until it answers health checks. A stale one is told the list of its first start.
func (s *Scheduler) Start(stale bool) error {
	s.mu.Lock()
	known := s.known.Known()
	if s.first == nil {
		s.first = known
	}
	if stale {
		known = s.first
	}
	s.starts++
	r, ended, err := s.launch(known)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	s.await(r, ended)
	return s.ready(ended)
}

// launch starts a process by a new sheet, with the lock held.
func (s *Scheduler) launch(known json.RawMessage) (Running, chan struct{}, error) {
	if s.offers != "" {
		l, err := net.Listen("tcp", strings.Split(s.Listen, ":")[0]+":0") // nobody else binds this address
		if err != nil {
			return nil, nil, err
		}
		s.console = l.Addr().String()
		l.Close()
		if err := os.WriteFile(s.file(".operator.toml"), []byte(s.offers), 0o644); err != nil {
			return nil, nil, err
		}
	}
	if err := s.write(s.file(".json"), known); err != nil {
		return nil, nil, err
	}
	r, err := s.make(s.n, s.file(".json"), s.file(".log"))
	if err != nil {
		return nil, nil, err
	}
	ended := make(chan struct{})
	s.running, s.ended = r, ended
	return r, ended, nil
}

// hupEvery is the time between two SIGHUPs of a series beside a takeover.
const hupEvery = 25 * time.Millisecond

// hup sends SIGHUP to a process again and again until a channel is closed.
func (s *Scheduler) hup(to Running, until <-chan struct{}) {
	for {
		select {
		case <-until:
			return
		case <-time.After(hupEvery):
		}
		s.book.Add(ledger.Event{Kind: ledger.Hup, Scheduler: s.n + 1})
		to.Signal(syscall.SIGHUP)
	}
}

// Takeover has a second process take the place of the one that runs, with SIGHUPs to that one meanwhile where they are wanted. In the
// ledger both are one: only an end that nobody asked for is written down.
func (s *Scheduler) Takeover(within time.Duration, hups bool) error {
	s.mu.Lock()
	before, old := s.running, s.ended
	if before == nil {
		s.mu.Unlock()
		return nil
	}
	s.starts++
	r, ended, err := s.launch(s.known.Known())
	s.mu.Unlock()
	if err != nil {
		return err
	}
	s.await(r, ended)
	if hups {
		go s.hup(before, old)
	}
	for limit := time.Now().Add(startTime); s.Ask("/api/ready", nil) != nil; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			return fmt.Errorf("scheduler %d: the process that takes over is not ready after %v", s.n+1, startTime)
		}
	}
	if err := before.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-old:
	case <-time.After(within):
		before.Signal(syscall.SIGKILL)
		<-old
	}
	return nil
}

// await notes the end of a process.
func (s *Scheduler) await(r Running, ended chan struct{}) {
	go func() {
		err := r.Wait()
		text := "exit status 0"
		if err != nil {
			text = err.Error()
		}
		s.mu.Lock()
		own := s.running == r
		if own {
			s.running, s.up, s.ending = nil, false, false
		}
		if own || err != nil { // one that was replaced, and ended as told, goes on in its heir
			s.book.Add(ledger.Event{Kind: ledger.Exited, Scheduler: s.n + 1, Text: text})
		}
		close(ended)
		s.mu.Unlock()
	}()
}

// write replaces the sheet in one step: a scheduler may read it at any moment.
func (s *Scheduler) write(path string, known json.RawMessage) error {
	sheet := SheetOf(s.plan, s.n, s.starts, s.Listen, s.known.Addr(), known)
	sheet.Name, sheet.Console = s.name, s.console
	sheet.Change(s.change)
	text, err := json.Marshal(sheet)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Readies are what each of its starts took, from the process's start to its first answer to a health check.
func (s *Scheduler) Readies() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.readies)
}

func (s *Scheduler) ready(ended chan struct{}) error {
	began := time.Now()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for limit := time.Now().Add(startTime); time.Now().Before(limit); {
		select {
		case <-ended:
			return fmt.Errorf("scheduler %d ended before it was ready; see %s", s.n+1, s.file(".log"))
		case <-time.After(5 * time.Millisecond):
		}
		resp, err := client.Get("http://" + s.Listen + "/healthz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			s.mu.Lock()
			s.up, s.readies = true, append(s.readies, time.Since(began))
			s.book.Add(ledger.Event{Kind: ledger.Up, Scheduler: s.n + 1})
			s.mu.Unlock()
			return nil
		}
	}
	return fmt.Errorf("scheduler %d is not ready after %v", s.n+1, startTime)
}

// Ask reads a call of its second address; into may be nil for one that only says yes or no.
func (s *Scheduler) Ask(path string, into any) error {
	s.mu.Lock()
	console := s.console
	s.mu.Unlock()
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + console + path)
	if err != nil {
		return fmt.Errorf("scheduler %d: %w", s.n+1, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("scheduler %d: %s: %s", s.n+1, path, resp.Status)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// Post makes a call that changes something. What comes of that is seen elsewhere.
func (s *Scheduler) Post(path string) {
	s.mu.Lock()
	console := s.console
	s.mu.Unlock()
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Post("http://"+console+path, "text/plain", nil); err == nil {
		resp.Body.Close()
	}
}

// PID is of its process, 0 where none runs.
func (s *Scheduler) PID() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return 0
	}
	return s.running.PID()
}

// Up tells whether it is known to serve. To one that was told to end new clients come for a while, where clients go on.
func (s *Scheduler) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up || s.ending && time.Now().Before(s.newTill)
}

// Ending tells whether it was told to end, and clients go on with the connections that they have.
func (s *Scheduler) Ending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// New clients come to a scheduler that was told to end for so long, by its place.
const (
	leastNewClients = 200 * time.Millisecond
	mostNewClients  = 400 * time.Millisecond
)

// beginEnd notes that it was told to end, with the lock held.
func (s *Scheduler) beginEnd() {
	s.up = false
	if s.ending || !s.plan.Clients.GoOn {
		return
	}
	spread := time.Duration(s.n) * 70 * time.Millisecond % (mostNewClients - leastNewClients)
	s.ending, s.newTill = true, time.Now().Add(leastNewClients+spread)
}

var kinds = map[syscall.Signal]ledger.Kind{syscall.SIGKILL: ledger.Killed, syscall.SIGTERM: ledger.Term,
	syscall.SIGHUP: ledger.Hup, syscall.SIGSTOP: ledger.Stopped, syscall.SIGCONT: ledger.Resumed}

// Change has it take a numbered change of its settings: a new sheet, and a SIGHUP.
func (s *Scheduler) Change(number int) error {
	s.mu.Lock()
	s.change = number
	s.mu.Unlock()
	return s.Signal(syscall.SIGHUP)
}

// Signal sends a signal, and writes it down just before.
func (s *Scheduler) Signal(sig syscall.Signal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return nil
	}
	if sig == syscall.SIGHUP { // it comes with a sheet that tells where discovery is now
		if err := s.write(s.file(".json"), s.known.Known()); err != nil {
			return err
		}
	}
	s.book.Add(ledger.Event{Kind: kinds[sig], Scheduler: s.n + 1})
	switch sig {
	case syscall.SIGKILL:
		s.up, s.ending = false, false
	case syscall.SIGTERM:
		s.beginEnd()
	}
	if err := s.running.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("scheduler %d: %w", s.n+1, err)
	}
	return nil
}

// End ends it: with SIGTERM first, and SIGKILL if it has not ended within a time.
func (s *Scheduler) End(within time.Duration) error {
	s.mu.Lock()
	ended, running := s.ended, s.running
	s.mu.Unlock()
	if running == nil {
		return nil
	}
	if err := s.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return s.awaitEnd(ended, within)
}

// awaitEnd waits until it has ended, and kills it where that takes too long.
func (s *Scheduler) awaitEnd(ended <-chan struct{}, within time.Duration) error {
	select {
	case <-ended:
		return nil
	case <-time.After(within):
	}
	err := s.Signal(syscall.SIGKILL)
	<-ended
	return err
}

// termEvery is the time between two SIGTERMs of a series.
const termEvery = 150 * time.Millisecond

// EndBySeries is End with SIGTERM again and again.
func (s *Scheduler) EndBySeries(within time.Duration) error {
	s.mu.Lock()
	ended, running := s.ended, s.running
	s.mu.Unlock()
	if running == nil {
		return nil
	}
	for began := time.Now(); time.Since(began) < within; {
		if err := s.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		select {
		case <-ended:
			return nil
		case <-time.After(termEvery):
		}
	}
	return s.awaitEnd(ended, 0)
}

// Console is its second address, empty for none.
func (s *Scheduler) Console() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.console
}

// Kill ends it at once and waits until it has.
func (s *Scheduler) Kill() {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if s.Signal(syscall.SIGKILL) == nil && ended != nil {
		<-ended
	}
}

// Use is what a scheduler uses at a moment.
type Use struct {
	At        ledger.Time `json:"at"`
	Scheduler int         `json:"scheduler"`
	CPU       float64     `json:"cpu_s"` // since its start
	Resident  int64       `json:"resident"`
	Files     int         `json:"files"`
}

// Use reads what it uses, if it is a process that runs.
func (s *Scheduler) Use() (Use, bool) {
	s.mu.Lock()
	r := s.running
	s.mu.Unlock()
	if r == nil || r.PID() == 0 {
		return Use{}, false
	}
	return UseOf(r.PID(), s.book.Now(), s.n+1)
}

// UseOf reads what a process uses.
func UseOf(pid int, now ledger.Time, scheduler int) (Use, bool) {
	proc := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(proc + "stat")
	if err != nil {
		return Use{}, false
	}
	// The name may hold anything; what follows its last bracket is in order.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 22 {
		return Use{}, false
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	u := Use{At: now, Scheduler: scheduler, CPU: (user + system) / 100, Resident: pages * int64(os.Getpagesize())}
	if files, err := os.ReadDir(proc + "fd"); err == nil {
		u.Files = len(files)
	}
	return u, true
}
