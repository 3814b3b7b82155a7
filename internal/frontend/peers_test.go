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

// lockedBuffer is a log writer for concurrent use.
type lockedBuffer struct {
	sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.Lock()
	defer b.Unlock()
	return b.Buffer.Write(p)
}

// listenUDP opens the socket of a simulated peer.
func listenUDP(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// runScheduler starts a scheduler with four emulated workers and a changed configuration, sends n ops, stops
// the scheduler and returns its log.
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
	bootstrap := testBootstrap(t, known)
	bootstrap.Settings = config.Flatten(map[string]any{"bounds": map[string]any{"maxPushes": 3.0}, "instances": 2.0, "myNumber": 0.0,
		"categories": []any{category("look", "retryable", 3e9, 2e9)}})
	change(bootstrap, bootstrap.Settings)
	var out lockedBuffer
	server, err := New(bootstrap, zerolog.New(&out))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, l, 200*time.Millisecond) }()
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
	out.Lock() // the process ends right after Serve, so everything must be logged by then
	defer out.Unlock()
	return out.String()
}

// Shadow settings show operators what new settings would change before they are put in force: the divergent
// decisions of real ops must be counted by kind.
func TestShadowSettingsCountDivergentDecisionsByKind(t *testing.T) {
	logWithShadow := func(changed map[string]any) string {
		return runScheduler(t, func(bootstrap *config.Bootstrap, settings map[string]any) {
			bootstrap.AffinityFact, bootstrap.ShadowSettings = "routeKey", map[string]any{}
			for k, v := range settings {
				bootstrap.ShadowSettings[k] = v
			}
			for k, v := range changed {
				bootstrap.ShadowSettings[k] = v
			}
		}, 20)
	}
	if log := logWithShadow(nil); !strings.Contains(log, `"asked":0,"chosen":0,"spoken":0,"ops":20`) {
		t.Errorf("equal shadow settings diverge: %s", log)
	}
	log := logWithShadow(map[string]any{"keys": true, "prices.connection": 0.05, "bounds.peerMessages": true})
	if !strings.Contains(log, `"ops":20`) || strings.Contains(log, `"asked":0`) || strings.Contains(log, `"spoken":0`) {
		t.Errorf("divergent decisions were not counted: %s", log)
	}
}

// The start and the end of each push must be reported to the other schedulers.
func TestPushesAreReportedToPeers(t *testing.T) {
	peer, peerAddr := listenUDP(t)
	runScheduler(t, func(bootstrap *config.Bootstrap, settings map[string]any) {
		settings["prices.connection"], settings["bounds.peerMessages"] = 0.05, true
		bootstrap.Peers = &config.Peers{ListenAddr: netip.MustParseAddrPort("127.0.0.1:0"),
			ByNumber: map[int]netip.AddrPort{1: peerAddr}}
	}, 1)
	tags := map[string]int{}
	for i := range 4 {
		tags[config.WorkerTag(fmt.Sprint("w", i))] = i
	}
	peer.SetReadDeadline(time.Now().Add(2 * time.Second))
	var buffer [maxPeerMessage]byte
	for _, want := range []int{1, 0} { // in flight, then ended
		n, _, err := peer.ReadFromUDP(buffer[:])
		if err != nil {
			t.Fatal(err)
		}
		if _, inFlight, ok := config.DecodePeerReport(string(buffer[:n]), tags); !ok || inFlight != want {
			t.Errorf("peer report %q, want one of %d pushes in flight", buffer[:n], want)
		}
	}
}

func TestMessagesFromUnknownAddressesAreDropped(t *testing.T) {
	peer, peerAddr := listenUDP(t)
	unknown, _ := listenUDP(t)
	transport, err := newPeerTransport(&config.Peers{ListenAddr: netip.MustParseAddrPort("127.0.0.1:0"),
		ByNumber: map[int]netip.AddrPort{7: peerAddr}}, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer transport.conn.Close()
	received := make(chan reducer.Input, 9)
	go transport.receive(func(in reducer.Input) { received <- in })
	to := transport.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	unknown.WriteToUDPAddrPort([]byte("abc9"), to)
	peer.WriteToUDPAddrPort([]byte("abc1"), to)
	if got := <-received; got != (reducer.PeerMessage{Sender: 7, Text: "abc1"}) {
		t.Errorf("received %+v", got)
	}
}

// If another process uses the peer address, Serve must return an error that says so, and must not wait
// for its own loop, which has not started.
func TestServeFailsIfThePeerAddressIsInUse(t *testing.T) {
	_, usedAddr := listenUDP(t)
	bootstrap := &config.Bootstrap{Discovery: "127.0.0.1:1", Limits: config.Limits{Cores: 1, MemoryMB: 64, Descriptors: 256},
		Settings: map[string]any{}, Peers: &config.Peers{ListenAddr: usedAddr}}
	server, err := New(bootstrap, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(context.Background(), nil, time.Second) }()
	select {
	case err := <-ended:
		if err == nil || !strings.Contains(err.Error(), "peers") {
			t.Errorf("Serve returned %v, want an error about peers", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("Serve did not return within 5 s")
	}
}
