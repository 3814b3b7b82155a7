package frontend

import (
	"testing"

	"github.com/rs/zerolog"

	"woaddyke/internal/scheduler"
	"woaddyke/internal/scheduler/reducer"
)

// A peer message that arrives while the loop's inbox is full is lost, as a datagram may be, and is counted.
func TestALostLoadReportIsCounted(t *testing.T) {
	server, err := New(testBootstrap(t, `{"rev":1,"all":true,"targets":[]}`), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	for range cap(server.loop.Inbox()) - len(server.loop.Inbox()) { // the loop does not run
		server.loop.Inbox() <- scheduler.Query(func(scheduler.State) {})
	}
	const reports = 3
	for range reports {
		server.ReceivePeerInput(reducer.PeerMessage{Sender: 1, Text: "x"})
	}
	if got := server.peers.lost.Load(); got != reports {
		t.Errorf("%d lost reports counted, want %d", got, reports)
	}
}
