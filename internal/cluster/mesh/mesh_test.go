package mesh

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replication"
)

func table(t *testing.T) *Config {
	t.Helper()
	x := Defaults()
	x.Cluster, x.Listen = "c", "127.0.0.1:0"
	if err := x.Validate(); err != nil {
		t.Fatal(err)
	}
	return x
}

// What another build or a bad cable sends must never be read as something else, nor end the process.
func TestMessagesDecodeAsEncoded(t *testing.T) {
	inside := table(t).allowed
	rapid.Check(t, func(t *rapid.T) {
		claim := membership.MemberRecord{Name: rapid.String().Draw(t, "name"), Addr: "127.0.0.1:7", Number: rapid.IntRange(-1, 9).Draw(t, "n"),
			Incarnation: membership.Incarnation{Generation: rapid.Uint64().Draw(t, "i"), Nonce: rapid.Uint64().Draw(t, "x")}, State: membership.Alive, ReportedBy: "b"}
		x := membership.Message{Kind: membership.Ping, Cluster: "c", From: claim, Seq: rapid.Uint64().Draw(t, "seq"), Records: []membership.MemberRecord{claim, claim},
			Digests: rapid.SliceOfN(rapid.Uint64(), 1, 5).Draw(t, "d"), Buckets: []int{1}, Text: "t", SenderCatchingUp: true}
		text, err := encode(x)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := decode(text, inside); err != nil || !reflect.DeepEqual(got, x) {
			t.Fatalf("%+v, %v", got, err)
		}
		k := rapid.IntRange(0, len(text)-1).Draw(t, "at")
		if _, err := decode(text[:k], inside); err == nil {
			t.Fatal("half a message was read")
		}
		text[k] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		if _, err := decode(text, inside); err == nil {
			t.Fatal("a garbled message was read")
		}
		decode(rapid.SliceOf(rapid.Byte()).Draw(t, "noise"), inside)
		y := replication.Message{Kind: replication.DigestPage, SetID: 7, Records: []replication.Record{{Key: "k\x00i", Fingerprint: 3, Outcomes: []replication.Outcome{
			{Claim: replication.Claim{Scheduler: "n", Nonce: 9}, Stage: replication.Ended, Verdict: 502, Result: []byte("r"), ResultRetained: true}}}}, Voters: []replication.Voter{{Name: "n"}}}
		if text, err = encodeService(serviceMessage{Cluster: "c", From: recordToWire(claim), Replication: &y}); err != nil {
			t.Fatal(err)
		}
		if w, err := decodeService(text); err != nil || !reflect.DeepEqual(*w.Replication, y) {
			t.Fatalf("%+v, %v", w.Replication, err)
		}
	})
}

// An address that a message tells may be anybody's: one outside the networks must not be taken up.
func TestAddressesOutsideNetworksAreRejected(t *testing.T) {
	x := membership.Message{Kind: membership.Ping, Cluster: "c", From: membership.MemberRecord{Name: "a", Addr: "127.0.0.1:7"},
		Records: []membership.MemberRecord{{Name: "b", Addr: "10.1.2.3:7"}}}
	text, err := encode(x)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decode(text, table(t).allowed); err != errOutside {
		t.Errorf("%v", err)
	}
	if table(t).allowed(netip.MustParseAddr("10.1.2.3")) {
		t.Error("10.1.2.3 lies inside 127.0.0.0/8")
	}
}

// The clock counts while the process stands still and can't be set back; a process that has ended leaves
// nothing running.
func TestStartHandoverAndClose(t *testing.T) {
	defer goleak.VerifyNone(t)
	before := Now()
	a, err := Start(table(t), Identity{"a", 0, 1}, Host{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	other := table(t)
	other.Seeds = []string{a.sockets.udp.LocalAddr().String()}
	b, err := Start(other, Identity{"b", 1, 1}, Host{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(20 * time.Second); len(a.Status().Members) == 0 || a.Status().Members[0].State != membership.Alive; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("they never met")
		}
	}
	text, sockets, err := b.HandOver()
	if err != nil || len(sockets) != 2 {
		t.Fatalf("%d sockets, %v", len(sockets), err)
	}
	var files []*os.File
	for _, s := range sockets {
		f, err := s.(interface{ File() (*os.File, error) }).File()
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, f)
	}
	heir, err := Restore(other, Identity{"b", 1, 1}, Host{}, zerolog.Nop(), text, files)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		f.Close()
	}
	if got := heir.Status().Self; got.Incarnation != b.Status().Self.Incarnation {
		t.Errorf("the heir is %+v, the first one %+v", got.Incarnation, b.Status().Self.Incarnation)
	}
	if _, err := Restore(other, Identity{"z", 1, 1}, Host{}, zerolog.Nop(), text, files); err == nil {
		t.Error("another's place was taken")
	}
	heir.Close()
	b.Resume()
	b.Close()
	a.Close()
	if after := Now(); after <= before {
		t.Errorf("the clock went from %d to %d", before, after)
	}
}

// A process that took its incarnation without knowing of an earlier one goes beyond it later. Its host must
// be told: as a keeper it registered under the lower one for good, and nobody took that.
func TestHostIsNotifiedOfLaterIncarnation(t *testing.T) {
	lives := make(chan uint64, 9)
	a, err := Start(table(t), Identity{"a", 0, 1}, Host{Serving: func(_ bool, l membership.Incarnation) { lives <- l.Generation }}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	await := func(want uint64) {
		t.Helper()
		for late := time.After(20 * time.Second); ; {
			select {
			case got := <-lives:
				if got == want {
					return
				}
			case <-late:
				t.Fatalf("never told that it is life %d", want)
			}
		}
	}
	await(1)
	b, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	at := b.LocalAddr().String()
	text, err := encode(membership.Message{Kind: membership.Gossip, Cluster: "c", Seq: 1, From: membership.MemberRecord{Name: "b", Addr: at,
		Incarnation: membership.Incarnation{Generation: 1, Nonce: 1}, State: membership.Alive, ReportedBy: "b"}, Records: []membership.MemberRecord{{Name: "a", Addr: at,
		Incarnation: membership.Incarnation{Generation: 5, Nonce: 1}, State: membership.Dead, ReportedBy: "b"}}})
	if err != nil {
		t.Fatal(err)
	}
	b.WriteToUDP(text, a.sockets.udp.LocalAddr().(*net.UDPAddr))
	await(6)
}

// Words of workers whose names are as long as one may be fit a message, in as many as are told at a time; a
// name that is longer costs the others nothing.
func TestLongestDrainRecordsFitADatagram(t *testing.T) {
	long := func(letter string, n int) string { return strings.Repeat(letter, n) }
	from := membership.MemberRecord{Name: long("n", 255), Addr: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535", Number: 1 << 20, Incarnation: membership.Incarnation{Generation: 1 << 60, Nonce: 1 << 63},
		Refutations: 1 << 60, State: membership.Alive, ReportedBy: long("b", 255), Age: 1 << 60}
	c := drainstate.New(1)
	told := drainstate.EndpointsChanged{Revision: 1 << 60, Snapshot: true, Endpoints: []drainstate.Endpoint{{Worker: long("w", 9000), BootID: 1 << 60}}}
	for i := range 100 {
		told.Endpoints = append(told.Endpoints, drainstate.Endpoint{Worker: fmt.Sprintf("%0255d", i), BootID: 1 << 60})
	}
	c.Step(1, told)
	words := 0
	for _, e := range c.Step(2, drainstate.PeersChanged{Names: []string{"b"}}) {
		x, ok := e.(drainstate.SendRecords)
		if !ok {
			continue
		}
		text, err := encodeService(serviceMessage{Cluster: long("c", 255), From: recordToWire(from), Drains: x.Records})
		if err != nil || len(text) > maxServiceBytes {
			t.Errorf("%d words take %d bytes of %d, %v", len(x.Records), len(text), maxServiceBytes, err)
			continue
		}
		words += len(x.Records)
	}
	if words < 100 {
		t.Errorf("%d words of 100 are told", words)
	}
}
