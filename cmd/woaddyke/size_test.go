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

// hosted is a process of the program among so many workers, which are one listener at as many addresses.
type hosted struct {
	cmd             *exec.Cmd
	listen, console string
	sheet           string // the file's path
	ready           time.Duration
	listBytes       int
	probes, pushes  *atomic.Int64
	held            chan bool // closed: the worker ends the jobs that it was asked to hold
}

// work answers probes and pushes.
func (h *hosted) work() http.HandlerFunc {
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
				<-h.held
			}
		}
	}
}

// beside is a list of so many workers, all of them at one port of 127.0.0.0/8.
func beside(port, workers int) string {
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

// host starts a process and waits until it is ready.
func host(b *testing.B, workers int) *hosted {
	h := &hosted{probes: &atomic.Int64{}, pushes: &atomic.Int64{}, held: make(chan bool)}
	l, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		b.Fatal(err)
	}
	worker := &httptest.Server{Listener: l, Config: &http.Server{Handler: h.work()}}
	worker.Start()
	b.Cleanup(worker.Close)
	list := beside(l.Addr().(*net.TCPAddr).Port, workers)
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
	h.listen, h.console, h.sheet = free(), free(), filepath.Join(b.TempDir(), "sheet.json")
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		b.Fatal(err)
	}
	var sheet map[string]any
	if err := json.Unmarshal(text, &sheet); err != nil {
		b.Fatal(err)
	}
	sheet["listen"], sheet["console"], sheet["discovery"] = h.listen, h.console, discovery.Listener.Addr().String()
	sheet["limits"] = map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 8000}
	h.write(b, sheet)
	h.cmd = thisProgram("serve", "--config", h.sheet)
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
	for !h.call("/api/ready") {
		if time.Since(began) > 20*time.Second {
			b.Fatal("it is not ready")
		}
		time.Sleep(time.Millisecond)
	}
	h.ready = time.Since(began)
	return h
}

func (h *hosted) write(b *testing.B, sheet map[string]any) {
	text, err := json.Marshal(sheet)
	if err != nil {
		b.Fatal(err)
	}
	if err := os.WriteFile(h.sheet+".new", text, 0o600); err != nil {
		b.Fatal(err)
	}
	if err := os.Rename(h.sheet+".new", h.sheet); err != nil {
		b.Fatal(err)
	}
}

// caller is a client of the second address that opens a connection for each call, as callers do.
var caller = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (h *hosted) call(path string) bool {
	resp, err := caller.Get("http://" + h.console + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// resident is the process's memory, in KB, as the system has it.
func (h *hosted) resident(b *testing.B, row string) float64 {
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

// spent is the processor time that the process has had.
func (h *hosted) spent(b *testing.B) time.Duration { return spent(b, h.cmd) }

func spent(b *testing.B, cmd *exec.Cmd) (total time.Duration) {
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

var submitter = http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}

// op has an op served.
func (h *hosted) op(b *testing.B, n int, body string) {
	r, _ := http.NewRequest(http.MethodPost, "http://"+h.listen+"/api", strings.NewReader(body))
	r.Header = http.Header{"X-Correlation-Id": {fmt.Sprint("op", n)}, "X-Service-Class": {"preview"}, "X-Time-Left-Ms": {"15000"}}
	resp, err := submitter.Do(r)
	if err != nil {
		b.Error(err)
		return
	}
	io.Copy(io.Discard, resp.Body)
	if resp.Body.Close(); resp.StatusCode != http.StatusOK {
		b.Error(resp.Status)
	}
}

// BenchmarkPeak is what a real process among 6,300 workers takes at the rates that one of 6,300, 1,000 and 300 schedulers has at the
// peak, and at three times the last.
func BenchmarkPeak(b *testing.B) {
	for _, schedulers := range []int{6_300, 1_000, 300, 100} {
		b.Run(fmt.Sprintf("schedulers=%d", schedulers), func(b *testing.B) {
			for range b.N {
				h := host(b, 6_300)
				time.Sleep(time.Second)
				const span = 15 * time.Second
				every := time.Duration(float64(time.Second) * float64(schedulers) / 1_300)
				before, began, done := h.spent(b), time.Now(), sync.WaitGroup{}
				n := 0
				for at := began; time.Since(began) < span; at = at.Add(every) {
					time.Sleep(time.Until(at))
					number := n
					done.Go(func() { h.op(b, number, "hello") })
					n++
				}
				done.Wait()
				b.ReportMetric(100*float64(h.spent(b)-before)/float64(time.Since(began)), "%core")
				b.ReportMetric(float64(n)/span.Seconds(), "ops/s")
				b.ReportMetric(float64(h.probes.Load())/float64(n), "probes/op")
				b.ReportMetric(h.resident(b, "VmHWM"), "peak-KB")
			}
		})
	}
}

// BenchmarkOpenOps is what a process keeps for each op that runs at a worker, with both its connections.
func BenchmarkOpenOps(b *testing.B) {
	for _, open := range []int{100, 500, 1_000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			for range b.N {
				h := host(b, 6_300)
				for n := range 100 { // so that its heap is that of one that works
					h.op(b, n, "hello")
				}
				kb, done := h.resident(b, "VmRSS"), sync.WaitGroup{}
				for n := range open {
					done.Go(func() { h.op(b, 1_000+n, "hold") })
				}
				for until := time.Now().Add(5 * time.Second); h.pushes.Load() < int64(100+open); time.Sleep(time.Millisecond) {
					if time.Now().After(until) {
						b.Fatalf("%d of %d are open", h.pushes.Load()-100, open)
					}
				}
				b.ReportMetric((h.resident(b, "VmRSS")-kb)/float64(open), "KB/open-op")
				close(h.held)
				done.Wait()
			}
		})
	}
}

// BenchmarkProcess is what a whole process takes among so many workers: until it is ready, idle, for each op one by one, for each
// idle client, for each call of staff.
func BenchmarkProcess(b *testing.B) {
	for _, workers := range []int{100, 400, 1_600, 6_300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				h := host(b, workers)
				b.ReportMetric(float64(h.ready.Milliseconds()), "ready-ms")
				b.ReportMetric(float64(h.listBytes)/float64(workers), "list-B/worker")
				b.ReportMetric(float64(h.spent(b).Milliseconds()), "start-cpu-ms")
				time.Sleep(2 * time.Second)
				before, from := h.spent(b), time.Now()
				time.Sleep(5 * time.Second)
				b.ReportMetric(100*float64(h.spent(b)-before)/float64(time.Since(from)), "idle-%core")
				b.ReportMetric(h.resident(b, "VmRSS"), "idle-KB")

				const calls = 100
				before = h.spent(b)
				for range calls {
					if !h.call("/api/telemetry") {
						b.Fatal("staff have no answer")
					}
				}
				b.ReportMetric(float64((h.spent(b)-before).Microseconds())/calls, "us/call")

				const ops = 400
				probes, pushes := h.probes.Load(), h.pushes.Load()
				before = h.spent(b)
				for n := range ops {
					h.op(b, n, "hello")
				}
				b.ReportMetric(float64((h.spent(b)-before).Microseconds())/ops, "us/op")
				b.ReportMetric(float64(h.probes.Load()-probes)/ops, "probes/op")
				b.ReportMetric(float64(h.pushes.Load()-pushes)/ops, "pushes/op")
				b.ReportMetric(h.resident(b, "VmHWM"), "peak-KB")

				const clients = 2000
				kb := h.resident(b, "VmRSS")
				var open []net.Conn
				for range clients {
					c, err := net.Dial("tcp", h.listen)
					if err != nil {
						b.Fatal(err)
					}
					open = append(open, c)
					fmt.Fprint(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") // one that has said nothing is soon closed
					if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric((h.resident(b, "VmRSS")-kb)/clients, "KB/client")
				for _, c := range open {
					c.Close()
				}
			}
		})
	}
}

// BenchmarkReread is a change of one category's target latency by SIGHUP, and how many such changes are taken before one is turned down.
func BenchmarkReread(b *testing.B) {
	for _, x := range []struct{ categories, most int }{{3, 400}, {256, 10}} {
		b.Run(fmt.Sprintf("categories=%d", x.categories), func(b *testing.B) {
			for range b.N {
				h := host(b, 100)
				var sheet map[string]any
				text, err := os.ReadFile(h.sheet)
				if err == nil {
					err = json.Unmarshal(text, &sheet)
				}
				if err != nil {
					b.Fatal(err)
				}
				settings := sheet["settings"].(map[string]any)
				categories := settings["categories"].([]any)
				first := categories[0].(map[string]any)
				for len(categories) < x.categories {
					more := maps.Clone(first)
					more["name"] = fmt.Sprint("category-", len(categories))
					categories = append(categories, more)
				}
				settings["categories"] = categories
				taken, turned := h.change(b, sheet, 0, 0) // that there are so many categories is none of the changes
				if taken != 1 {
					b.Fatal("the first file is turned down")
				}
				before := h.spent(b)
				for n := range x.most {
					first["targetLatencyNs"] = 3e8 + float64(n+1)*1e5
					taken, turned = h.change(b, sheet, taken, turned)
				}
				b.ReportMetric(float64((h.spent(b)-before).Microseconds())/float64(x.most), "us/change+looks")
				b.ReportMetric(float64(taken-1), "taken")
				b.ReportMetric(float64(turned), "turned-down")
				b.ReportMetric(h.resident(b, "VmRSS"), "KB")
			}
		})
	}
}

// change has the process read a file, and returns how many it has taken and turned down by then.
func (h *hosted) change(b *testing.B, sheet map[string]any, taken, turned int) (nowTaken, nowTurned int) {
	h.write(b, sheet)
	h.cmd.Process.Signal(syscall.SIGHUP)
	for wait := time.Now().Add(5 * time.Second); time.Now().Before(wait); time.Sleep(2 * time.Millisecond) {
		var x struct {
			OK     int `json:"reloads_ok"`
			Failed int `json:"reloads_failed"`
		}
		resp, err := caller.Get("http://" + h.console + "/api/telemetry")
		if err != nil {
			continue
		}
		json.NewDecoder(resp.Body).Decode(&x)
		resp.Body.Close()
		if x.OK+x.Failed > taken+turned {
			return x.OK, x.Failed
		}
	}
	b.Fatal("nobody reads it")
	return 0, 0
}

// BenchmarkMembership is what a process takes as one of so many members, and as one of three keepers, while nothing happens.
func BenchmarkMembership(b *testing.B) {
	for _, n := range []int{2, 6, 12} {
		for _, keepers := range []bool{false, true} {
			if keepers && n < 6 {
				continue
			}
			b.Run(fmt.Sprintf("members=%d/keepers=%v", n, keepers), func(b *testing.B) {
				for range b.N {
					offer := ""
					if keepers {
						offer = "[copies]\nkeepers = [\"n1\", \"n2\", \"n3\"]\n"
					}
					c := cluster.New(b, n, offer, noWorkers, thisProgram)
					for _, p := range c.Places {
						c.Start(p)
					}
					c.AwaitWhole(c.Places...)
					time.Sleep(2 * time.Second)
					sum := func(places []*cluster.Place) (total time.Duration) {
						for _, p := range places {
							cmd, _ := p.Running()
							total += spent(b, cmd)
						}
						return total / time.Duration(len(places))
					}
					some := c.Places // all of them, or those that keep
					if keepers {
						some = some[:3]
					}
					before, from := sum(some), time.Now()
					time.Sleep(10 * time.Second)
					b.ReportMetric(100*float64(sum(some)-before)/float64(time.Since(from)), "%core")
					for _, p := range c.Places {
						p.Kill()
					}
				}
			})
		}
	}
}
