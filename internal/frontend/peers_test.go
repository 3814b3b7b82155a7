package frontend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
	"woaddyke/internal/scheduler/reducer"
)

type safeBuffer struct {
	sync.Mutex
	bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.Lock()
	defer b.Unlock()
	return b.Buffer.Write(p)
}

// listenUDP opens a stand-in's socket.
func listenUDP(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// runScheduler starts a scheduler beside four stand-in workers with the given parts of a new shape, sends
// ops and stops it.
func runScheduler(t *testing.T, change func(*config.Bootstrap, map[string]any), n int) (log string) {
	t.Helper()
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get(idHeader)
		fmt.Fprintf(w, "{\"id\":%q,\"state\":\"started\"}\n{\"id\":%q,\"state\":\"done\",\"result\":\"ok\"}\n", id, id)
	}))
	t.Cleanup(worker.Close)
	var targets []string
	for i := range 4 {
		targets = append(targets, fmt.Sprintf(`{"uid":"w%d","endpoint":%q,"model":"m%d","state":"SERVING"}`, i,
			worker.Listener.Addr(), i%2))
	}
	known := `{"rev":1,"all":true,"targets":[` + strings.Join(targets, ",") + `]}`
	sheet := testBootstrap(t, known)
	sheet.Settings = config.Flatten(map[string]any{"bounds": map[string]any{"maxPushes": 3.0}, "instances": 2.0, "myNumber": 0.0,
		"categories": []any{category("look", "retryable", 3e9, 2e9)}})
	change(sheet, sheet.Settings)
	var out safeBuffer
	f, err := New(sheet, zerolog.New(&out))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(ctx, l, 200*time.Millisecond) }()
	for i := range n {
		r, _ := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/", strings.NewReader("x"))
		r.Header = http.Header{idHeader: {fmt.Sprint("op-", i)}, categoryHeader: {"look"}, timeLeftHeader: {"2500"},
			factsHeader: {fmt.Sprintf("slots=1,routeKey=k%d", i%3)}}
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			t.Fatalf("op %d: status %d", i, answer.StatusCode)
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	out.Lock() // the process ends right after Serve: what is not logged by then never is
	defer out.Unlock()
	return out.String()
}

// Operators want to see what the new settings would change before they switch: the counts must come from
// real ops.
func TestAWatchOnSocketsCountsByKind(t *testing.T) {
	watch := func(other map[string]any) string {
		return runScheduler(t, func(s *config.Bootstrap, site map[string]any) {
			s.AffinityFact, s.ShadowSettings = "routeKey", map[string]any{}
			for k, v := range site {
				s.ShadowSettings[k] = v
			}
			for k, v := range other {
				s.ShadowSettings[k] = v
			}
		}, 20)
	}
	if log := watch(nil); !strings.Contains(log, `"asked":0,"chosen":0,"spoken":0,"ops":20`) {
		t.Errorf("the same settings decide otherwise: %s", log)
	}
	log := watch(map[string]any{"keys": true, "prices.connection": 0.05, "bounds.peerMessages": true})
	if !strings.Contains(log, `"ops":20`) || strings.Contains(log, `"asked":0`) || strings.Contains(log, `"spoken":0`) {
		t.Errorf("counted nothing: %s", log)
	}
}

// Each push is told to the scheduler that meets the worker too; one that is not configured is not heard.
func TestPushesAreToldToTheOthers(t *testing.T) {
	other, at := listenUDP(t)
	runScheduler(t, func(s *config.Bootstrap, site map[string]any) {
		site["prices.connection"], site["bounds.peerMessages"] = 0.05, true
		s.Peers = &config.Peers{ListenAddr: netip.MustParseAddrPort("127.0.0.1:0"),
			ByNumber: map[int]netip.AddrPort{1: at}}
	}, 1)
	tags := map[string]int{}
	for i := range 4 {
		tags[config.WorkerTag(fmt.Sprint("w", i))] = i
	}
	other.SetReadDeadline(time.Now().Add(2 * time.Second))
	var room [maxPeerMessage]byte
	for _, want := range []int{1, 0} { // out, and ended
		n, _, err := other.ReadFromUDP(room[:])
		if err != nil {
			t.Fatal(err)
		}
		if _, out, ok := config.DecodePeerReport(string(room[:n]), tags); !ok || out != want {
			t.Errorf("told %q, want one of %d pushes out", room[:n], want)
		}
	}
}

func TestOnlyConfiguredSchedulersAreHeard(t *testing.T) {
	friend, at := listenUDP(t)
	stranger, _ := listenUDP(t)
	s, err := newPeerTransport(&config.Peers{ListenAddr: netip.MustParseAddrPort("127.0.0.1:0"),
		ByNumber: map[int]netip.AddrPort{7: at}}, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.conn.Close()
	heard := make(chan reducer.Input, 9)
	go s.receive(func(in reducer.Input) { heard <- in })
	to := s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	stranger.WriteToUDPAddrPort([]byte("abc9"), to)
	friend.WriteToUDPAddrPort([]byte("abc1"), to)
	if got := <-heard; got != (reducer.PeerMessage{Sender: 7, Text: "abc1"}) {
		t.Errorf("heard %+v", got)
	}
}

// An address that another process has must end the start with a plain error, not leave it waiting for its
// own loop.
func TestAnAddressThatIsTakenEndsTheStart(t *testing.T) {
	_, at := listenUDP(t)
	sheet := &config.Bootstrap{Discovery: "127.0.0.1:1", Limits: config.Limits{Cores: 1, MemoryMB: 64, Sockets: 256},
		Settings: map[string]any{}, Peers: &config.Peers{ListenAddr: at}}
	f, err := New(sheet, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(context.Background(), nil, time.Second) }()
	select {
	case err := <-ended:
		if err == nil || !strings.Contains(err.Error(), "peers") {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("still waiting")
	}
}
