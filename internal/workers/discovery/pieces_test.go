package discovery

import (
	"context"
	"fmt"
	"reflect"
	"testing"

	"github.com/rs/zerolog"

	"woaddyke/internal/scheduler/reducer"
	"woaddyke/internal/testsupport/fragmentpeer"
)

// Half a line of a list told of workers that were not there, and a list in pieces of none.
func TestListsInPiecesSayTheSame(t *testing.T) {
	lines := []string{`{"rev":41,"all":true,"targets":[{"uid":"w","endpoint":"a:1","state":"SERVING"}]}`, "",
		`{"rev":43,"all":false,"targets":[{"uid":"w","endpoint":"a:1","state":"DRAINING"}]}`}
	whole := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	var ends []int // where each line that tells something is whole
	for _, l := range lines {
		whole += fmt.Sprintf("%x\r\n%s", len(l)+1, l)
		if l != "" {
			ends = append(ends, len(whole))
		}
		whole += "\n\r\n"
	}
	whole += "0\r\n\r\n"
	var way fragmentpeer.Way
	addr := fragmentpeer.Answer(t, func() fragmentpeer.Way { return way })
	watch := func() (told []reducer.Input, rev int64) {
		r := NewClient(addr, EndpointList{Rev: 40}, lone, 7, unknown(), func(in reducer.Input) { told = append(told, in) }, zerolog.Nop())
		if _, err := r.watch(context.Background()); err == nil {
			t.Errorf("%s: a watch that ends is broken", way.Name)
		}
		return told, r.revision
	}
	way = fragmentpeer.Whole(whole)[0]
	want, _ := watch()
	if len(want) != 2 {
		t.Fatalf("told %v", want)
	}
	for _, way = range fragmentpeer.Whole(whole) {
		if got, rev := watch(); !reflect.DeepEqual(got, want) || rev != 43 {
			t.Errorf("%s: told %v, version %d", way.Name, got, rev)
		}
	}
	for _, way = range fragmentpeer.Cuts(whole) {
		n, version := 0, int64(40)
		for k, end := range ends {
			if len(way.Text()) >= end {
				n, version = k+1, []int64{41, 43}[k]
			}
		}
		if got, rev := watch(); len(got) != n || rev != version || n > 0 && !reflect.DeepEqual(got, want[:n]) {
			t.Errorf("%s: told %v, version %d", way.Name, got, rev)
		}
	}
}
