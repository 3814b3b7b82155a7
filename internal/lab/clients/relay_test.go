package clients

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// What the audit calls read rests on how the kernel ends a connection: in order where all was read, with a reset where something lay unread, or
// came after the end.
func TestARequestThatWasReadIsToldFromOneThatWasNot(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, c := range map[string]struct {
		reads int // of two requests
		late  bool
		want  bool
	}{"all read": {2, false, true}, "one unread": {1, false, false}, "one after the end": {2, true, false}} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			ended := make(chan bool)
			go func() {
				defer close(ended)
				s, err := l.Accept()
				if err != nil {
					return
				}
				defer s.Close()
				in := bufio.NewReaderSize(s, 16) // it takes little from the kernel at a time
				for range c.reads {
					if _, err := http.ReadRequest(in); err != nil {
						t.Error(err)
					}
				}
			}()
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			fmt.Fprint(client, request+request)
			<-ended
			if c.late {
				fmt.Fprint(client, request)
			}
			client.SetReadDeadline(time.Now().Add(10 * time.Second))
			client.Read(make([]byte, 1))
			if got := closedOverRead(client); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
