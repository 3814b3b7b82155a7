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

// Process is a started scheduler.
type Process interface {
	Signal(syscall.Signal) error
	Wait() error // returns after the scheduler has exited
	PID() int    // 0 for a scheduler inside the lab's own process
}

// Launcher starts the n-th scheduler, counted from 0, with the paths of its bootstrap configuration and its log.
type Launcher func(n int, config, log string) (Process, error)

// process is a scheduler that runs as a child process.
type process struct{ cmd *exec.Cmd }

func (p process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }
func (p process) Wait() error                   { return p.cmd.Wait() }
func (p process) PID() int                      { return p.cmd.Process.Pid }

// ProgramLauncher returns a Launcher that starts the executable at path.
func ProgramLauncher(path string, args ...string) Launcher {
	return func(n int, config, log string) (Process, error) {
		out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		defer out.Close()
		cmd := Command(path, config, out, args...)
		if err := cmd.Start(); err != nil {
			return nil, fmt.Errorf("scheduler: %w", err)
		}
		return WrapProcess(cmd), nil
	}
}

// Command returns the command for a scheduler's process. It isn't started yet.
func Command(path, config string, log *os.File, args ...string) *exec.Cmd {
	args = append([]string{"serve", "--config", config}, args...)
	if operator := operatorConfigPath(config); operator != "" {
		args = append(args, "--operator", operator)
	}
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The process must not outlive the lab. In a separate process group it doesn't get the lab's Ctrl-C.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return cmd
}

// WrapProcess wraps a command that the caller has started.
func WrapProcess(cmd *exec.Cmd) Process { return process{cmd} }

// operatorConfigPath returns the path of the operator's file next to a bootstrap configuration, or "" if
// there is none.
func operatorConfigPath(config string) string {
	path := strings.TrimSuffix(config, ".json") + ".operator.toml"
	if _, err := os.Stat(path); err != nil {
		return ""
	}
	return path
}

// EndpointSource gives the address of a scheduler's discovery emulator and the current endpoint list.
type EndpointSource interface {
	Addr() string
	Snapshot() json.RawMessage
}

// Scheduler runs a scheduler at one listen address, through restarts and takeovers.
type Scheduler struct {
	index      int
	experiment *experiment.Experiment
	ledger     *ledger.Writer
	launcher   Launcher
	endpoints  EndpointSource
	dir        string
	Listen     string

	mu              sync.Mutex
	running         Process
	exited          chan struct{}
	starts          uint64
	firstEndpoints  json.RawMessage // endpoint list of the first start, for restarts with a stale list
	ready           bool
	terminating     bool      // SIGTERM was sent, the process still runs
	newClientsUntil time.Time // until then new clients use a terminating scheduler
	label           string    // base name of its files; differs from name for an extra scheduler
	name            string
	console         string
	readyTimes      []time.Duration
	settingsChange  int    // number of the settings change in its configuration, 0 for none
	operatorConfig  string // text of the operator's file, empty for none
}

// Label returns the base name of the scheduler's files.
func (s *Scheduler) Label() string { return s.label }

// SetOperatorConfig sets the text of the operator's file. Call it before Start. The scheduler then also has a
// console.
func (s *Scheduler) SetOperatorConfig(text string) { s.operatorConfig = text }

// New reserves a listen address for the n-th scheduler, counted from 0.
func New(n int, e *experiment.Experiment, events *ledger.Writer, m Launcher, endpoints EndpointSource, dir string,
) (*Scheduler, error) {
	// Each scheduler has a separate IP address, so that no other connection of this machine can take its port
	// while the scheduler is down.
	base, err := faultproxy.ClaimBase()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", faultproxy.BindAddr(base+n).String()+":0")
	if err != nil {
		return nil, fmt.Errorf("scheduler %d: %w", n+1, err)
	}
	defer l.Close()
	name := fmt.Sprintf("n%d", n+1)
	return &Scheduler{index: n, experiment: e, ledger: events, launcher: m, endpoints: endpoints, dir: dir,
		Listen: l.Addr().String(), label: name, name: name}, nil
}

// NewExtra returns an extra scheduler with a separate address. It has no clients, and its events don't appear
// in the run's ledger.
func NewExtra(n int, name, label string, e *experiment.Experiment, m Launcher, endpoints EndpointSource, dir string,
) (*Scheduler, error) {
	unused, err := ledger.Create("", time.Now())
	if err != nil {
		return nil, err
	}
	s, err := New(n, e, unused, m, endpoints, dir)
	if err == nil {
		s.name, s.label = name, label
	}
	return s, err
}

func (s *Scheduler) filePath(suffix string) string { return filepath.Join(s.dir, s.label+suffix) }

const startTimeout = 20 * time.Second

// Start starts the scheduler and waits until it answers health checks. If stale is set, it gets the endpoint
// list of its first start.
func (s *Scheduler) Start(stale bool) error {
	s.mu.Lock()
	endpoints := s.endpoints.Snapshot()
	if s.firstEndpoints == nil {
		s.firstEndpoints = endpoints
	}
	if stale {
		endpoints = s.firstEndpoints
	}
	s.starts++
	r, exited, err := s.launch(endpoints)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	s.watchExit(r, exited)
	return s.awaitReady(exited)
}

// launch writes a new bootstrap configuration and starts a process with it. The caller holds the lock.
func (s *Scheduler) launch(endpoints json.RawMessage) (Process, chan struct{}, error) {
	if s.operatorConfig != "" {
		// No other program binds this IP address, so the port is still free when the process starts.
		l, err := net.Listen("tcp", strings.Split(s.Listen, ":")[0]+":0")
		if err != nil {
			return nil, nil, err
		}
		s.console = l.Addr().String()
		l.Close()
		if err := os.WriteFile(s.filePath(".operator.toml"), []byte(s.operatorConfig), 0o644); err != nil {
			return nil, nil, err
		}
	}
	if err := s.writeConfig(s.filePath(".json"), endpoints); err != nil {
		return nil, nil, err
	}
	r, err := s.launcher(s.index, s.filePath(".json"), s.filePath(".log"))
	if err != nil {
		return nil, nil, err
	}
	exited := make(chan struct{})
	s.running, s.exited = r, exited
	return r, exited, nil
}

// hupInterval is the time between two SIGHUPs of a series during a takeover.
const hupInterval = 25 * time.Millisecond

// repeatHup sends SIGHUP to a process every hupInterval until a channel is closed.
func (s *Scheduler) repeatHup(to Process, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(hupInterval):
		}
		s.ledger.Add(ledger.Event{Kind: ledger.Hup, Scheduler: s.index + 1})
		to.Signal(syscall.SIGHUP)
	}
}

// Takeover replaces the running process by a second one, as a hot restart does. It then sends SIGTERM to the
// predecessor, and SIGKILL if that process is still running after the timeout. If hups is set, the
// predecessor gets SIGHUPs meanwhile. The ledger treats both processes as one scheduler: it gets an exit
// event for the predecessor only if that process fails.
func (s *Scheduler) Takeover(timeout time.Duration, hups bool) error {
	s.mu.Lock()
	predecessor, predecessorExited := s.running, s.exited
	if predecessor == nil {
		s.mu.Unlock()
		return nil
	}
	s.starts++
	r, exited, err := s.launch(s.endpoints.Snapshot())
	s.mu.Unlock()
	if err != nil {
		return err
	}
	s.watchExit(r, exited)
	if hups {
		go s.repeatHup(predecessor, predecessorExited)
	}
	for limit := time.Now().Add(startTimeout); s.GetAPI("/api/ready", nil) != nil; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			return fmt.Errorf("scheduler %d: the successor process is not ready after %v", s.index+1, startTimeout)
		}
	}
	if err := predecessor.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-predecessorExited:
	case <-time.After(timeout):
		predecessor.Signal(syscall.SIGKILL)
		<-predecessorExited
	}
	return nil
}

// watchExit records the exit of a process in the ledger and closes the channel.
func (s *Scheduler) watchExit(r Process, exited chan struct{}) {
	go func() {
		err := r.Wait()
		text := "exit status 0"
		if err != nil {
			text = err.Error()
		}
		s.mu.Lock()
		current := s.running == r
		if current {
			s.running, s.ready, s.terminating = nil, false, false
		}
		if current || err != nil { // no event for a predecessor that exits without an error
			s.ledger.Add(ledger.Event{Kind: ledger.Exited, Scheduler: s.index + 1, Text: text})
		}
		close(exited)
		s.mu.Unlock()
	}()
}

// writeConfig replaces the bootstrap configuration atomically, since a scheduler may read it at any moment.
func (s *Scheduler) writeConfig(path string, endpoints json.RawMessage) error {
	config := NewBootstrapConfig(s.experiment, s.index, s.starts, s.Listen, s.endpoints.Addr(), endpoints)
	config.Name, config.Console = s.name, s.console
	config.ChangeSettings(s.settingsChange)
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// ReadyTimes returns the duration of each start, from the start of the process to its first passed health
// check.
func (s *Scheduler) ReadyTimes() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.readyTimes)
}

func (s *Scheduler) awaitReady(exited chan struct{}) error {
	started := time.Now()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for limit := time.Now().Add(startTimeout); time.Now().Before(limit); {
		select {
		case <-exited:
			return fmt.Errorf("scheduler %d exited before it was ready; see %s", s.index+1, s.filePath(".log"))
		case <-time.After(5 * time.Millisecond):
		}
		resp, err := client.Get("http://" + s.Listen + "/healthz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			s.mu.Lock()
			s.ready, s.readyTimes = true, append(s.readyTimes, time.Since(started))
			s.ledger.Add(ledger.Event{Kind: ledger.Up, Scheduler: s.index + 1})
			s.mu.Unlock()
			return nil
		}
	}
	return fmt.Errorf("scheduler %d is not ready after %v", s.index+1, startTimeout)
}

// GetAPI sends a GET request to the scheduler's console and decodes the JSON response into a value. Into may be
// nil if only the status matters.
func (s *Scheduler) GetAPI(path string, into any) error {
	s.mu.Lock()
	console := s.console
	s.mu.Unlock()
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + console + path)
	if err != nil {
		return fmt.Errorf("scheduler %d: %w", s.index+1, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("scheduler %d: %s: %s", s.index+1, path, resp.Status)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// Post sends a POST request to the scheduler's console and ignores the response. The caller observes the
// effect by other calls.
func (s *Scheduler) Post(path string) {
	s.mu.Lock()
	console := s.console
	s.mu.Unlock()
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Post("http://"+console+path, "text/plain", nil); err == nil {
		resp.Body.Close()
	}
}

// PID returns the id of the running process, or 0 if none runs.
func (s *Scheduler) PID() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return 0
	}
	return s.running.PID()
}

// Up reports whether new clients use the scheduler: it is ready, or it is terminating, clients.go_on is set
// and the time for new clients isn't over.
func (s *Scheduler) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready || s.terminating && time.Now().Before(s.newClientsUntil)
}

// Ending reports whether the scheduler is terminating while clients go on using their open connections
// (clients.go_on).
func (s *Scheduler) Ending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.terminating
}

// Bounds of the time for which new clients use a terminating scheduler. The time depends on the scheduler's
// index.
const (
	minNewClientTime = 200 * time.Millisecond
	maxNewClientTime = 400 * time.Millisecond
)

// markTerminating records that SIGTERM is sent. The caller holds the lock.
func (s *Scheduler) markTerminating() {
	s.ready = false
	if s.terminating || !s.experiment.Clients.UseWhileTerminating {
		return
	}
	spread := time.Duration(s.index) * 70 * time.Millisecond % (maxNewClientTime - minNewClientTime)
	s.terminating, s.newClientsUntil = true, time.Now().Add(minNewClientTime+spread)
}

// signalEvents maps signals to the kinds of their ledger events.
var signalEvents = map[syscall.Signal]ledger.Kind{syscall.SIGKILL: ledger.Killed, syscall.SIGTERM: ledger.Term,
	syscall.SIGHUP: ledger.Hup, syscall.SIGSTOP: ledger.Stopped, syscall.SIGCONT: ledger.Resumed}

// ChangeSettings applies a numbered settings change: it writes a new bootstrap configuration and sends
// SIGHUP.
func (s *Scheduler) ChangeSettings(number int) error {
	s.mu.Lock()
	s.settingsChange = number
	s.mu.Unlock()
	return s.Signal(syscall.SIGHUP)
}

// Signal records a signal in the ledger and then sends it.
func (s *Scheduler) Signal(sig syscall.Signal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		return nil
	}
	if sig == syscall.SIGHUP { // the process then reads the configuration with the current discovery address
		if err := s.writeConfig(s.filePath(".json"), s.endpoints.Snapshot()); err != nil {
			return err
		}
	}
	s.ledger.Add(ledger.Event{Kind: signalEvents[sig], Scheduler: s.index + 1})
	switch sig {
	case syscall.SIGKILL:
		s.ready, s.terminating = false, false
	case syscall.SIGTERM:
		s.markTerminating()
	}
	if err := s.running.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("scheduler %d: %w", s.index+1, err)
	}
	return nil
}

// Terminate sends SIGTERM, and SIGKILL if the process still runs after the timeout.
func (s *Scheduler) Terminate(timeout time.Duration) error {
	s.mu.Lock()
	exited, running := s.exited, s.running
	s.mu.Unlock()
	if running == nil {
		return nil
	}
	if err := s.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return s.awaitExit(exited, timeout)
}

// awaitExit waits until the process has exited, and kills it after the timeout.
func (s *Scheduler) awaitExit(exited <-chan struct{}, timeout time.Duration) error {
	select {
	case <-exited:
		return nil
	case <-time.After(timeout):
	}
	err := s.Signal(syscall.SIGKILL)
	<-exited
	return err
}

// termInterval is the time between two SIGTERMs of a series.
const termInterval = 150 * time.Millisecond

// TerminateRepeatedly sends SIGTERM every termInterval until the process exits, and SIGKILL after the
// timeout.
func (s *Scheduler) TerminateRepeatedly(timeout time.Duration) error {
	s.mu.Lock()
	exited, running := s.exited, s.running
	s.mu.Unlock()
	if running == nil {
		return nil
	}
	for started := time.Now(); time.Since(started) < timeout; {
		if err := s.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		select {
		case <-exited:
			return nil
		case <-time.After(termInterval):
		}
	}
	return s.awaitExit(exited, 0)
}

// Console returns the address of the scheduler's console, or "" if it has none.
func (s *Scheduler) Console() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.console
}

// Kill sends SIGKILL and waits until the process has exited.
func (s *Scheduler) Kill() {
	s.mu.Lock()
	exited := s.exited
	s.mu.Unlock()
	if s.Signal(syscall.SIGKILL) == nil && exited != nil {
		<-exited
	}
}

// Usage holds the resource usage of a scheduler at one moment.
type Usage struct {
	At        ledger.Time `json:"at"`
	Scheduler int         `json:"scheduler"`
	CPU       float64     `json:"cpu_s"`    // seconds of CPU time since the start of the process
	Resident  int64       `json:"resident"` // bytes
	Files     int         `json:"files"`    // open descriptors
}

// Usage reads the current resource usage. It returns false if no separate process runs.
func (s *Scheduler) Usage() (Usage, bool) {
	s.mu.Lock()
	r := s.running
	s.mu.Unlock()
	if r == nil || r.PID() == 0 {
		return Usage{}, false
	}
	return ProcessUsage(r.PID(), s.ledger.Now(), s.index+1)
}

// ProcessUsage reads the resource usage of a process from /proc. It returns false if that fails.
func ProcessUsage(pid int, now ledger.Time, scheduler int) (Usage, bool) {
	proc := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(proc + "stat")
	if err != nil {
		return Usage{}, false
	}
	// The process name may contain spaces and brackets. The fields after the last closing bracket are
	// separated by spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 22 {
		return Usage{}, false
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	u := Usage{At: now, Scheduler: scheduler, CPU: (user + system) / 100, Resident: pages * int64(os.Getpagesize())}
	if files, err := os.ReadDir(proc + "fd"); err == nil {
		u.Files = len(files)
	}
	return u, true
}
