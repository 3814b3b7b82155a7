package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// SIGHUP must not end the process, and the watch must move to the new address of discovery. SIGHUP once
// ended the process with all its ops, and the list was still read from the former address.
func TestSIGHUPMovesTheWatchAndServesOn(t *testing.T) {
	calls := make(chan string, 9)
	discovery := func(name string) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls <- name
			fmt.Fprintln(w, `{"rev":7,"all":true,"targets":[]}`)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		return l.Addr().String()
	}
	path := filepath.Join(t.TempDir(), "sheet")
	writeConfig := func(discovery string) {
		text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"seed":"1","settings":{"discovery":"pushed",`+
			`"categories":[{"ttlNs":3e8}]}}`, discovery)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	requireWatch := func(want string) {
		t.Helper()
		select {
		case got := <-calls:
			if got != want {
				t.Fatalf("%s was called, not %s", got, want)
			}
		case <-time.After(1500 * time.Millisecond):
			t.Fatalf("%s was not called", want)
		}
	}
	writeConfig(discovery("first"))
	c := command()
	c.SetArgs([]string{"serve", "--config", path, "--log", "fatal"})
	ended := make(chan error, 1)
	go func() { ended <- c.Execute() }()
	requireWatch("first")
	os.WriteFile(path, []byte("{"), 0o600)
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond) // an invalid file must change nothing
	writeConfig(discovery("second"))
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	requireWatch("second")
	if len(ended) > 0 {
		t.Fatal(<-ended)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
