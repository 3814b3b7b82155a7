package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/scheduler/reducer"
)

// A discovery service that needs longer for each response than two fifths of the drain grace must be heard
// nevertheless: a list that comes late is worth more than none.
func TestASlowDiscoveryIsHeard(t *testing.T) {
	const grace, delay, patience = 300 * time.Millisecond, 250 * time.Millisecond, 5 * time.Second
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintln(w, `{"rev":1,"all":true,"targets":[{"uid":"w","endpoint":"127.0.0.1:1","state":"SERVING"}]}`)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	received := make(chan reducer.Input, 9)
	client := NewClient(server.Listener.Addr().String(), EndpointList{}, TimeoutsFor(true, 1, grace), 7, newEmptyStartTimes(),
		func(in reducer.Input) { received <- in }, zerolog.Nop())
	go client.Run(t.Context())
	select {
	case <-received:
	case <-time.After(patience):
		t.Errorf("no list in %v from a discovery that needs %v for each response", patience, delay)
	}
}
