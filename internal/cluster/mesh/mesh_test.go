package mesh

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replication"
)

func testConfig(t *testing.T) *Config {
	t.Helper()
	config := Defaults()
	config.Cluster, config.Listen = "c", "127.0.0.1:0"
	if err := config.Validate(); err != nil {
		t.Fatal(err)
	}
	return config
}

// testRecord is the record of an alive member.
func testRecord(name, addr string) membership.MemberRecord {
	return membership.MemberRecord{
		Name:        name,
		Addr:        addr,
		Incarnation: membership.Incarnation{Generation: 1, Nonce: 1},
		State:       membership.Alive,
		ReportedBy:  name,
	}
}

func drawMessage(t *rapid.T) membership.Message {
	record := membership.MemberRecord{
		Name:   rapid.String().Draw(t, "name"),
		Addr:   "127.0.0.1:7",
		Number: rapid.IntRange(-1, 9).Draw(t, "number"),
		Incarnation: membership.Incarnation{
			Generation: rapid.Uint64().Draw(t, "generation"),
			Nonce:      rapid.Uint64().Draw(t, "nonce"),
		},
		State:      membership.Alive,
		ReportedBy: "b",
	}
	return membership.Message{
		Kind:             membership.Ping,
		Cluster:          "c",
		From:             record,
		Seq:              rapid.Uint64().Draw(t, "seq"),
		Records:          []membership.MemberRecord{record, record},
		Digests:          rapid.SliceOfN(rapid.Uint64(), 1, 5).Draw(t, "digests"),
		Buckets:          []int{1},
		Text:             "t",
		SenderCatchingUp: true,
	}
}

// A message decodes to the value that was encoded. A message that is truncated or has a changed byte is
// rejected, and random bytes do not make the decoder panic.
func TestMessagesDecodeAsEncoded(t *testing.T) {
	allowed := testConfig(t).isAllowed
	rapid.Check(t, func(t *rapid.T) {
		message := drawMessage(t)
		text, err := encode(message)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := decode(text, allowed); err != nil || !reflect.DeepEqual(got, message) {
			t.Fatalf("got %+v, error %v", got, err)
		}
		at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
		if _, err := decode(text[:at], allowed); err == nil {
			t.Fatal("a truncated message was decoded")
		}
		text[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		if _, err := decode(text, allowed); err == nil {
			t.Fatal("a message with a changed byte was decoded")
		}
		decode(rapid.SliceOf(rapid.Byte()).Draw(t, "noise"), allowed)
	})
}

// A service message decodes to the value that was encoded, for any sender.
func TestServiceMessagesDecodeAsEncoded(t *testing.T) {
	outcome := replication.Outcome{
		Claim:          replication.Claim{Scheduler: "n", Nonce: 9},
		Stage:          replication.Ended,
		HTTPStatus:     502,
		Result:         []byte("r"),
		ResultRetained: true,
	}
	record := replication.Record{Key: "k\x00i", Fingerprint: 3, Outcomes: []replication.Outcome{outcome}}
	sent := replication.Message{
		Kind:    replication.DigestPage,
		SetID:   7,
		Records: []replication.Record{record},
		Voters:  []replication.Voter{{Name: "n"}},
	}
	rapid.Check(t, func(t *rapid.T) {
		from := recordToWire(drawMessage(t).From)
		text, err := encodeService(serviceMessage{Cluster: "c", From: from, Replication: &sent})
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeService(text)
		if err != nil || got.From != from || !reflect.DeepEqual(*got.Replication, sent) {
			t.Fatalf("got %+v, error %v", got, err)
		}
	})
}

// A message with a record whose address is outside the networks is rejected, because a member would send
// messages to this address.
func TestAddressesOutsideNetworksAreRejected(t *testing.T) {
	message := membership.Message{
		Kind:    membership.Ping,
		Cluster: "c",
		From:    membership.MemberRecord{Name: "a", Addr: "127.0.0.1:7"},
		Records: []membership.MemberRecord{{Name: "b", Addr: "10.1.2.3:7"}},
	}
	text, err := encode(message)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decode(text, testConfig(t).isAllowed); err != errOutsideNetworks {
		t.Errorf("%v", err)
	}
	if testConfig(t).isAllowed(netip.MustParseAddr("10.1.2.3")) {
		t.Error("10.1.2.3 lies inside 127.0.0.0/8")
	}
}

// startMesh starts a member on a free port of the loopback address.
func startMesh(t *testing.T, name string, number int, host Host, seeds ...string) *Mesh {
	t.Helper()
	config := testConfig(t)
	config.Seeds = seeds
	m, err := Start(config, Identity{name, number, 1}, host, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m
}

// awaitAlive waits until the first other member in the view is alive.
func awaitAlive(t *testing.T, m *Mesh) {
	t.Helper()
	until := time.Now().Add(20 * time.Second)
	for ; time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		members := m.Status().Members
		if len(members) > 0 && members[0].State == membership.Alive {
			return
		}
	}
	t.Fatal("no other member became alive within 20 s")
}

// duplicateFiles duplicates the sockets into files, as a successor receives them.
func duplicateFiles(t *testing.T, conns []syscall.Conn) (files []*os.File) {
	t.Helper()
	for _, conn := range conns {
		f, err := conn.(interface{ File() (*os.File, error) }).File()
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, f)
	}
	return files
}

// A successor has the incarnation of its predecessor, and a process of another name can't take over. The
// clock advances meanwhile. A mesh that is closed leaves no goroutine running.
func TestASuccessorKeepsTheIncarnationOfItsPredecessor(t *testing.T) {
	defer goleak.VerifyNone(t)
	before := Now()
	a := startMesh(t, "a", 0, Host{})
	b := startMesh(t, "b", 1, Host{}, a.sockets.addr().String())
	awaitAlive(t, a)
	state, conns, err := b.HandOver() // b is the predecessor
	if err != nil || len(conns) != 2 {
		t.Fatalf("%d sockets, %v", len(conns), err)
	}
	files := duplicateFiles(t, conns)
	successor, err := Restore(b.config, Identity{"b", 1, 1}, Host{}, zerolog.Nop(), state, files)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		f.Close()
	}
	if got, want := successor.Status().Self.Incarnation, b.Status().Self.Incarnation; got != want {
		t.Errorf("the successor has incarnation %+v, the predecessor %+v", got, want)
	}
	if _, err := Restore(b.config, Identity{"z", 1, 1}, Host{}, zerolog.Nop(), state, files); err == nil {
		t.Error("a process of another name took over")
	}
	successor.Close()
	b.Resume()
	b.Close()
	a.Close()
	if after := Now(); after <= before {
		t.Errorf("the clock went from %d to %d", before, after)
	}
}

// The host is notified when the incarnation of its process grows. This happens if the process chose an
// incarnation before it learned of a higher one under its name. Guards against a replica that stays
// registered with the lower incarnation and gets no answers.
func TestTheHostIsNotifiedWhenTheIncarnationGrows(t *testing.T) {
	generations := make(chan uint64, 9)
	serving := func(_ bool, incarnation membership.Incarnation) { generations <- incarnation.Generation }
	a := startMesh(t, "a", 0, Host{ServingChanged: serving})
	await := func(want uint64) {
		t.Helper()
		for timeout := time.After(20 * time.Second); ; {
			select {
			case got := <-generations:
				if got == want {
					return
				}
			case <-timeout:
				t.Fatalf("never notified of generation %d", want)
			}
		}
	}
	await(1)
	b, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	addr := b.LocalAddr().String()
	previous := testRecord("a", addr)
	previous.Generation, previous.State, previous.ReportedBy = 5, membership.Dead, "b"
	text, err := encode(membership.Message{
		Kind:    membership.Gossip,
		Cluster: "c",
		Seq:     1,
		From:    testRecord("b", addr),
		Records: []membership.MemberRecord{previous},
	})
	if err != nil {
		t.Fatal(err)
	}
	b.WriteToUDP(text, a.sockets.addr())
	await(6)
}

// The drain records that are sent together fit a datagram, even if all workers have the longest allowed name.
// A worker with a longer name does not prevent the records of the other workers from being sent.
func TestLongestDrainRecordsFitADatagram(t *testing.T) {
	const recordCount = 100
	from := longestRecord()
	core := drainstate.New(1)
	endpoints := longNamedEndpoints(recordCount)
	core.Step(1, drainstate.EndpointsChanged{Revision: 1 << 60, Snapshot: true, Endpoints: endpoints})
	sent := 0
	for _, effect := range core.Step(2, drainstate.PeersChanged{Names: []string{"b"}}) {
		send, ok := effect.(drainstate.SendRecords)
		if !ok {
			continue
		}
		message := serviceMessage{From: recordToWire(from), Drains: send.Records}
		message.Cluster = strings.Repeat("c", 255)
		text, err := encodeService(message)
		if err != nil || len(text) > maxServiceBytes {
			t.Errorf("%d records take %d bytes of %d, %v", len(send.Records), len(text), maxServiceBytes, err)
			continue
		}
		sent += len(send.Records)
	}
	if sent < recordCount {
		t.Errorf("%d of %d records are sent", sent, recordCount)
	}
}

// longestRecord returns a member record whose fields have their longest encodings.
func longestRecord() membership.MemberRecord {
	return membership.MemberRecord{
		Name:        strings.Repeat("n", 255),
		Addr:        "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535",
		Number:      1 << 20,
		Incarnation: membership.Incarnation{Generation: 1 << 60, Nonce: 1 << 63},
		Refutations: 1 << 60,
		State:       membership.Alive,
		ReportedBy:  strings.Repeat("b", 255),
		Age:         1 << 60,
	}
}

// longNamedEndpoints returns count workers with names of the longest allowed length, and one with a name that
// is too long.
func longNamedEndpoints(count int) []drainstate.Endpoint {
	endpoints := []drainstate.Endpoint{{Worker: strings.Repeat("w", 9000), BootID: 1 << 60}}
	for i := range count {
		endpoints = append(endpoints, drainstate.Endpoint{Worker: fmt.Sprintf("%0255d", i), BootID: 1 << 60})
	}
	return endpoints
}
