package frontend

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/scheduler/reducer"
)

// noPeers is a cluster of one.
type noPeers struct{}

func (noPeers) Names() []string                             { return nil }
func (noPeers) SendDrains(string, []drainstate.DrainRecord) {}
func (noPeers) Now() membership.Time                        { return 1 }

// The drain record of a peer expires, and its worker is readmitted, at the moment at which this scheduler's
// discovery reports that the worker drains. The drain must reach the loop last. Formerly the readmission
// reached it after the drain, and the worker got new attempts until the next list.
func TestAReadmissionDoesNotOverrideALaterDrain(t *testing.T) {
	const sendDelay = 100 * time.Millisecond
	server, err := New(testBootstrap(t, `{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":"127.0.0.1:9","state":"SERVING"}]}`), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	server.ShareDrains(noPeers{}, 7)
	server.endpoints.peerDrains.excluded["w"] = true
	sending := make(chan bool, 1)
	sent := make(chan reducer.Input, 9)
	server.endpoints.peerDrains.send = func(in reducer.Input) { // delays each list
		sending <- true
		time.Sleep(sendDelay)
		sent <- in
	}
	go server.endpoints.peerDrains.run(t.Context())
	<-sending
	server.endpoints.receive(reducer.EndpointsChanged{Revision: 2, Endpoints: []reducer.Endpoint{{Worker: "w", Addr: "127.0.0.1:9"}}})
	var last reducer.Endpoint
	for k := range 2 {
		select {
		case in := <-sent:
			last = in.(reducer.EndpointsChanged).Endpoints[0]
		case <-time.After(10 * time.Second):
			t.Fatalf("the loop got %d lists, want 2", k)
		}
	}
	if last.Ready {
		t.Error("the last list that the loop got has the worker as ready")
	}
}
