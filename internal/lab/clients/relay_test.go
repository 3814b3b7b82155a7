package clients

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against an audit that wrongly decides whether a scheduler read a request. The decision depends on how
// the kernel ends a connection: without a reset if everything was read, and with a reset if bytes were unread
// or arrived after the close.
func TestACloseAfterReadingAllIsDistinguishedFromAReset(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, c := range map[string]struct {
		reads int // how many of the two requests the server reads
		late  bool
		want  bool
	}{"all read": {2, false, true}, "one unread": {1, false, false}, "one after the end": {2, true, false}} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			closed := make(chan bool)
			go func() {
				defer close(closed)
				server, err := listener.Accept()
				if err != nil {
					return
				}
				defer server.Close()
				in := bufio.NewReaderSize(server, 16) // a small buffer, so that most bytes stay in the kernel
				for range c.reads {
					if _, err := http.ReadRequest(in); err != nil {
						t.Error(err)
					}
				}
			}()
			client, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			fmt.Fprint(client, request+request)
			<-closed
			if c.late {
				fmt.Fprint(client, request)
			}
			client.SetReadDeadline(time.Now().Add(10 * time.Second))
			client.Read(make([]byte, 1))
			if got := closedAfterReadingAll(client); got != c.want {
				t.Errorf("closedAfterReadingAll: %v, want %v", got, c.want)
			}
		})
	}
}
