package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"woaddyke/internal/lab/cluster"
)

// benchProcess is a process with many workers, all of which are one listener at many addresses.
type benchProcess struct {
	cmd             *exec.Cmd
	listen, console string
	configPath      string // of the configuration file
	ready           time.Duration
	listBytes       int
	probes, pushes  *atomic.Int64
	release         chan bool // closed to end the jobs with the body "hold"
}

// workerHandler answers probes and pushes.
func (h *benchProcess) workerHandler() http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			h.probes.Add(1)
			io.WriteString(w, `{"pending":0,"busy_reqs":0,"x0":4,"x1":8}`)
			return
		}
		h.pushes.Add(1)
		text, _ := io.ReadAll(r.Body)
		id := r.Header.Get("X-Correlation-Id")
		for _, state := range []string{"started", "done"} {
			fmt.Fprintf(w, `{"id":%q,"from":"w","state":%q,"result":"x"}`+"\n", id, state)
			if w.(http.Flusher).Flush(); string(text) == "hold" && state == "started" {
				<-h.release
			}
		}
	}
}

// loopbackList returns an endpoint list of workers with the same port and different addresses of
// 127.0.0.0/8.
func loopbackList(port, workers int) string {
	type target struct {
		UID      string `json:"uid"`
		Endpoint string `json:"endpoint"`
		AZ       string `json:"az"`
		PodGroup int    `json:"pod_group"`
		Model    string `json:"model"`
		State    string `json:"state"`
		BootMS   int64  `json:"boot_ms"`
	}
	list := struct {
		Rev     int      `json:"rev"`
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	}{Rev: 1, All: true}
	for i := range workers {
		list.Targets = append(list.Targets, target{fmt.Sprintf("worker-%05d", i), fmt.Sprintf("127.%d.%d.%d:%d", 20+i%14, i/250, 1+i%250, port),
			fmt.Sprintf("zone-%02d", i%14), i / 60, fmt.Sprintf("kind-%d", i%5), "SERVING", 1_700_000_000_000})
	}
	text, _ := json.Marshal(list)
	return string(text)
}

// startBenchProcess starts a process and waits until it is ready.
func startBenchProcess(b *testing.B, workers int) *benchProcess {
	h := &benchProcess{probes: &atomic.Int64{}, pushes: &atomic.Int64{}, release: make(chan bool)}
	l, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		b.Fatal(err)
	}
	worker := &httptest.Server{Listener: l, Config: &http.Server{Handler: h.workerHandler()}}
	worker.Start()
	b.Cleanup(worker.Close)
	list := loopbackList(l.Addr().(*net.TCPAddr).Port, workers)
	h.listBytes = len(list)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, list)
		for r.Context().Err() == nil {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
			case <-time.After(2 * time.Second):
				fmt.Fprintln(w)
			}
		}
	}))
	b.Cleanup(func() {
		discovery.CloseClientConnections()
		discovery.Close()
	})
	free := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		return l.Addr().String()
	}
	h.listen, h.console, h.configPath = free(), free(), filepath.Join(b.TempDir(), "sheet.json")
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		b.Fatal(err)
	}
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		b.Fatal(err)
	}
	document["listen"], document["console"], document["discovery"] = h.listen, h.console, discovery.Listener.Addr().String()
	document["limits"] = map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 8000}
	h.writeConfig(b, document)
	h.cmd = testCommand("serve", "--config", h.configPath)
	h.cmd.Env = append(h.cmd.Env, "TMPDIR="+b.TempDir())
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	began := time.Now()
	if err := h.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		h.cmd.Process.Kill()
		h.cmd.Wait()
	})
	for !h.get("/api/ready") {
		if time.Since(began) > 20*time.Second {
			b.Fatal("it is not ready")
		}
		time.Sleep(time.Millisecond)
	}
	h.ready = time.Since(began)
	return h
}

func (h *benchProcess) writeConfig(b *testing.B, document map[string]any) {
	text, err := json.Marshal(document)
	if err != nil {
		b.Fatal(err)
	}
	if err := os.WriteFile(h.configPath+".new", text, 0o600); err != nil {
		b.Fatal(err)
	}
	if err := os.Rename(h.configPath+".new", h.configPath); err != nil {
		b.Fatal(err)
	}
}

// consoleClient opens a new connection for each request, as tools of operators do.
var consoleClient = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (h *benchProcess) get(path string) bool {
	resp, err := consoleClient.Get("http://" + h.console + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// memoryKB returns a row of /proc/PID/status in KB, such as VmRSS.
func (h *benchProcess) memoryKB(b *testing.B, row string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	_, rest, _ := bytes.Cut(text, []byte(row+":"))
	kb, err := strconv.ParseFloat(strings.Fields(string(rest))[0], 64)
	if err != nil {
		b.Fatal(err)
	}
	return kb
}

// cpuTime returns the processor time of the process.
func (h *benchProcess) cpuTime(b *testing.B) time.Duration { return cpuTime(b, h.cmd) }

func cpuTime(b *testing.B, cmd *exec.Cmd) (total time.Duration) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	for _, t := range tasks {
		text, err := os.ReadFile(t)
		if err != nil {
			continue // a thread that has ended
		}
		ns, err := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		if err != nil {
			b.Fatal(err)
		}
		total += time.Duration(ns)
	}
	return total
}

var opClient = http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}

// post sends an op, which must be served.
func (h *benchProcess) post(b *testing.B, n int, body string) {
	r, _ := http.NewRequest(http.MethodPost, "http://"+h.listen+"/api", strings.NewReader(body))
	r.Header = http.Header{"X-Correlation-Id": {fmt.Sprint("op", n)}, "X-Service-Class": {"preview"}, "X-Time-Left-Ms": {"15000"}}
	resp, err := opClient.Do(r)
	if err != nil {
		b.Error(err)
		return
	}
	io.Copy(io.Discard, resp.Body)
	if resp.Body.Close(); resp.StatusCode != http.StatusOK {
		b.Error(resp.Status)
	}
}

// BenchmarkPeak measures the processor time and memory of a process with 6,300 workers at peak load. The
// rate is that of one scheduler if 6,300, 1,000 or 300 schedulers divide the peak load equally, and three
// times the rate for 300.
func BenchmarkPeak(b *testing.B) {
	for _, schedulers := range []int{6_300, 1_000, 300, 100} {
		b.Run(fmt.Sprintf("schedulers=%d", schedulers), func(b *testing.B) {
			for range b.N {
				h := startBenchProcess(b, 6_300)
				time.Sleep(time.Second)
				const span = 15 * time.Second
				every := time.Duration(float64(time.Second) * float64(schedulers) / 1_300)
				before, began, done := h.cpuTime(b), time.Now(), sync.WaitGroup{}
				n := 0
				for at := began; time.Since(began) < span; at = at.Add(every) {
					time.Sleep(time.Until(at))
					number := n
					done.Go(func() { h.post(b, number, "hello") })
					n++
				}
				done.Wait()
				b.ReportMetric(100*float64(h.cpuTime(b)-before)/float64(time.Since(began)), "%core")
				b.ReportMetric(float64(n)/span.Seconds(), "ops/s")
				b.ReportMetric(float64(h.probes.Load())/float64(n), "probes/op")
				b.ReportMetric(h.memoryKB(b, "VmHWM"), "peak-KB")
			}
		})
	}
}

// BenchmarkOpenOps measures the memory of each op in flight at a worker, including its two connections.
func BenchmarkOpenOps(b *testing.B) {
	for _, open := range []int{100, 500, 1_000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			for range b.N {
				h := startBenchProcess(b, 6_300)
				for n := range 100 { // so that the heap has its usual size
					h.post(b, n, "hello")
				}
				kb, done := h.memoryKB(b, "VmRSS"), sync.WaitGroup{}
				for n := range open {
					done.Go(func() { h.post(b, 1_000+n, "hold") })
				}
				for until := time.Now().Add(5 * time.Second); h.pushes.Load() < int64(100+open); time.Sleep(time.Millisecond) {
					if time.Now().After(until) {
						b.Fatalf("%d of %d are open", h.pushes.Load()-100, open)
					}
				}
				b.ReportMetric((h.memoryKB(b, "VmRSS")-kb)/float64(open), "KB/open-op")
				close(h.release)
				done.Wait()
			}
		})
	}
}

// BenchmarkProcess measures a process by its number of workers: its start, its idle load and memory, each
// op in sequence, each idle client, and each console request.
func BenchmarkProcess(b *testing.B) {
	for _, workers := range []int{100, 400, 1_600, 6_300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				h := startBenchProcess(b, workers)
				b.ReportMetric(float64(h.ready.Milliseconds()), "ready-ms")
				b.ReportMetric(float64(h.listBytes)/float64(workers), "list-B/worker")
				b.ReportMetric(float64(h.cpuTime(b).Milliseconds()), "start-cpu-ms")
				time.Sleep(2 * time.Second)
				before, from := h.cpuTime(b), time.Now()
				time.Sleep(5 * time.Second)
				b.ReportMetric(100*float64(h.cpuTime(b)-before)/float64(time.Since(from)), "idle-%core")
				b.ReportMetric(h.memoryKB(b, "VmRSS"), "idle-KB")

				const calls = 100
				before = h.cpuTime(b)
				for range calls {
					if !h.get("/api/telemetry") {
						b.Fatal("the console does not answer")
					}
				}
				b.ReportMetric(float64((h.cpuTime(b)-before).Microseconds())/calls, "us/call")

				const ops = 400
				probes, pushes := h.probes.Load(), h.pushes.Load()
				before = h.cpuTime(b)
				for n := range ops {
					h.post(b, n, "hello")
				}
				b.ReportMetric(float64((h.cpuTime(b)-before).Microseconds())/ops, "us/op")
				b.ReportMetric(float64(h.probes.Load()-probes)/ops, "probes/op")
				b.ReportMetric(float64(h.pushes.Load()-pushes)/ops, "pushes/op")
				b.ReportMetric(h.memoryKB(b, "VmHWM"), "peak-KB")

				const clients = 2000
				kb := h.memoryKB(b, "VmRSS")
				var open []net.Conn
				for range clients {
					c, err := net.Dial("tcp", h.listen)
					if err != nil {
						b.Fatal(err)
					}
					open = append(open, c)
					fmt.Fprint(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") // a silent connection is soon closed
					if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric((h.memoryKB(b, "VmRSS")-kb)/clients, "KB/client")
				for _, c := range open {
					c.Close()
				}
			}
		})
	}
}

// BenchmarkReread measures a reload that changes one category's latency objective, and how many reloads
// succeed before one fails.
func BenchmarkReread(b *testing.B) {
	for _, x := range []struct{ categories, reloads int }{{3, 400}, {256, 10}} {
		b.Run(fmt.Sprintf("categories=%d", x.categories), func(b *testing.B) {
			for range b.N {
				h := startBenchProcess(b, 100)
				var document map[string]any
				text, err := os.ReadFile(h.configPath)
				if err == nil {
					err = json.Unmarshal(text, &document)
				}
				if err != nil {
					b.Fatal(err)
				}
				settings := document["settings"].(map[string]any)
				categories := settings["categories"].([]any)
				first := categories[0].(map[string]any)
				for len(categories) < x.categories {
					more := maps.Clone(first)
					more["name"] = fmt.Sprint("category-", len(categories))
					categories = append(categories, more)
				}
				settings["categories"] = categories
				applied, rejected := h.reload(b, document, 0, 0) // adds the categories, and does not count
				if applied != 1 {
					b.Fatal("the first reload failed")
				}
				before := h.cpuTime(b)
				for n := range x.reloads {
					first["targetLatencyNs"] = 3e8 + float64(n+1)*1e5
					applied, rejected = h.reload(b, document, applied, rejected)
				}
				b.ReportMetric(float64((h.cpuTime(b)-before).Microseconds())/float64(x.reloads), "us/change+looks")
				b.ReportMetric(float64(applied-1), "taken")
				b.ReportMetric(float64(rejected), "turned-down")
				b.ReportMetric(h.memoryKB(b, "VmRSS"), "KB")
			}
		})
	}
}

// reload makes the process reload a document, and returns the counts of successful and failed reloads
// afterwards.
func (h *benchProcess) reload(b *testing.B, document map[string]any, applied, rejected int) (nowApplied, nowRejected int) {
	h.writeConfig(b, document)
	h.cmd.Process.Signal(syscall.SIGHUP)
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		var x struct {
			OK     int `json:"reloads_ok"`
			Failed int `json:"reloads_failed"`
		}
		resp, err := consoleClient.Get("http://" + h.console + "/api/telemetry")
		if err != nil {
			continue
		}
		json.NewDecoder(resp.Body).Decode(&x)
		resp.Body.Close()
		if x.OK+x.Failed > applied+rejected {
			return x.OK, x.Failed
		}
	}
	b.Fatal("the process does not reload the file")
	return 0, 0
}

// BenchmarkMembership measures the processor time of an idle process as one of n members, and as one of
// three replicas.
func BenchmarkMembership(b *testing.B) {
	for _, n := range []int{2, 6, 12} {
		for _, keepers := range []bool{false, true} {
			if keepers && n < 6 {
				continue
			}
			b.Run(fmt.Sprintf("members=%d/keepers=%v", n, keepers), func(b *testing.B) {
				for range b.N {
					lines := ""
					if keepers {
						lines = "[copies]\nkeepers = [\"n1\", \"n2\", \"n3\"]\n"
					}
					c := cluster.New(b, n, lines, noEndpoints, testCommand)
					for _, p := range c.Nodes {
						c.Start(p)
					}
					c.AwaitConverged(c.Nodes...)
					time.Sleep(2 * time.Second)
					meanCPU := func(places []*cluster.Node) (total time.Duration) {
						for _, p := range places {
							cmd, _ := p.Process()
							total += cpuTime(b, cmd)
						}
						return total / time.Duration(len(places))
					}
					measured := c.Nodes // all members, or the replicas
					if keepers {
						measured = measured[:3]
					}
					before, from := meanCPU(measured), time.Now()
					time.Sleep(10 * time.Second)
					b.ReportMetric(100*float64(meanCPU(measured)-before)/float64(time.Since(from)), "%core")
					for _, p := range c.Nodes {
						p.Kill()
					}
				}
			})
		}
	}
}
