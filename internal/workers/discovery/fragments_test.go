package discovery

import (
	"context"
	"fmt"
	"reflect"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/testsupport/fragmentpeer"
)

// Guards against partial lines that report nonexistent workers, and against fragmented lists that are lost.
func TestFragmentedListsAreReadCorrectly(t *testing.T) {
	lines := []string{`{"rev":41,"all":true,"targets":[{"uid":"w","endpoint":"a:1","state":"SERVING"}]}`, "",
		`{"rev":43,"all":false,"targets":[{"uid":"w","endpoint":"a:1","state":"DRAINING"}]}`}
	response := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	var ends []int // offsets at which each object is complete
	for _, l := range lines {
		response += fmt.Sprintf("%x\r\n%s", len(l)+1, l)
		if l != "" {
			ends = append(ends, len(response))
		}
		response += "\n\r\n"
	}
	response += "0\r\n\r\n"
	var way fragmentpeer.Script
	var current atomic.Pointer[fragmentpeer.Script] // any connection to the server reads it
	addr := fragmentpeer.ServeScripts(t, func() fragmentpeer.Script { return *current.Load() })
	watch := func() (received []reducer.Input, rev int64) {
		script := way
		current.Store(&script)
		client := NewClient(addr, EndpointList{Rev: 40}, singleSchedulerTimeouts, 7, newEmptyStartTimes(), func(in reducer.Input) { received = append(received, in) }, zerolog.Nop())
		if _, err := client.watch(context.Background()); err == nil {
			t.Errorf("%s: no error from a watch that ended", way.Name)
		}
		return received, client.revision
	}
	way = fragmentpeer.CompleteScripts(response)[0]
	want, _ := watch()
	if len(want) != 2 {
		t.Fatalf("received %v", want)
	}
	for _, way = range fragmentpeer.CompleteScripts(response) {
		if got, rev := watch(); !reflect.DeepEqual(got, want) || rev != 43 {
			t.Errorf("%s: received %v, revision %d", way.Name, got, rev)
		}
	}
	for _, way = range fragmentpeer.TruncatedScripts(response) {
		n, revision := 0, int64(40)
		for k, end := range ends {
			if len(way.Text()) >= end {
				n, revision = k+1, []int64{41, 43}[k]
			}
		}
		if got, rev := watch(); len(got) != n || rev != revision || n > 0 && !reflect.DeepEqual(got, want[:n]) {
			t.Errorf("%s: received %v, revision %d", way.Name, got, rev)
		}
	}
}
