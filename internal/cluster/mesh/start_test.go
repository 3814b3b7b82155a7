package mesh

import (
	"net"
	"os"
	"testing"

	"github.com/rs/zerolog"
)

// A start that fails closes its sockets, so that the next start can bind to the same configured address.
func TestAStartThatFailsClosesItsSockets(t *testing.T) {
	config := testConfig(t)
	free, err := listen(config.Listen)
	if err != nil {
		t.Fatal(err)
	}
	config.Listen = free.addr().String()
	free.close()
	if m, err := Start(config, Identity{}, Host{}, zerolog.Nop()); err == nil {
		m.Close()
		t.Fatal("a member without a name has started")
	}
	m, err := Start(config, Identity{Name: "a", Number: -1}, Host{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	m.Close()
}

// Handed over files that are not a UDP socket and a TCP listener are closed. If a socket stayed open, it
// would keep receiving data that nobody reads.
func TestHandedOverFilesOfTheWrongTypeAreClosed(t *testing.T) {
	first, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	second, err := net.Listen("unix", t.TempDir()+"/s")
	if err != nil {
		t.Fatal(err)
	}
	udp, err := first.(*net.UDPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	unix, err := second.(*net.UnixListener).File()
	if err != nil {
		t.Fatal(err)
	}
	first.Close()
	second.Close()
	descriptors := func() int {
		entries, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return len(entries)
	}
	before := descriptors()
	if _, err := socketsFrom([]*os.File{udp, unix}); err == nil {
		t.Fatal("a Unix socket was accepted as the stream listener")
	}
	if after := descriptors(); after > before {
		t.Errorf("%d open descriptors, %d before", after, before)
	}
	udp.Close()
	unix.Close()
}
