package mesh

import (
	"net"
	"os"
	"testing"

	"github.com/rs/zerolog"
)

// A start that fails must leave its sockets to the next one: both are bound to the configured address.
func TestAStartThatFailsClosesItsSockets(t *testing.T) {
	config := table(t)
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

// What was handed over and is no member's is closed: it would go on being sent what nobody reads.
func TestSocketsThatAreNoMembersAreClosed(t *testing.T) {
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
		t.Fatal("they are taken for a member's")
	}
	if after := descriptors(); after > before {
		t.Errorf("%d descriptors, %d before", after, before)
	}
	udp.Close()
	unix.Close()
}
