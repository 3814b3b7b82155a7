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

// A worker that a neighbour's word had bound is let go of in the instant in which the own discovery tells
// that it drains: the word of its going back into service came to the loop behind that of its drain, and
// it was given new work until the next list.
func TestADrainIsNotOvertakenByALettingGo(t *testing.T) {
	const heldUp = 100 * time.Millisecond
	f, err := New(testBootstrap(t, `{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":"127.0.0.1:9","state":"SERVING"}]}`), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	f.ShareDrains(noPeers{}, 7)
	f.endpoints.peerDrains.excluded["w"] = true
	freed := make(chan bool, 1)
	told := make(chan reducer.Input, 9)
	f.endpoints.peerDrains.send = func(in reducer.Input) { // the process is held up between what it found and its telling
		freed <- true
		time.Sleep(heldUp)
		told <- in
	}
	go f.endpoints.peerDrains.run(t.Context())
	<-freed
	f.endpoints.changed(reducer.EndpointsChanged{Revision: 2, Endpoints: []reducer.Endpoint{{Worker: "w", Addr: "127.0.0.1:9"}}})
	var last reducer.Endpoint
	for k := range 2 {
		select {
		case in := <-told:
			last = in.(reducer.EndpointsChanged).Endpoints[0]
		case <-time.After(10 * time.Second):
			t.Fatalf("%d lists came", k)
		}
	}
	if last.Ready {
		t.Error("the last that the loop is told of it is that it serves")
	}
}
