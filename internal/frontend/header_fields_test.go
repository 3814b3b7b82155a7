package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A request with more than 100 header or trailer fields must be rejected before net/http stores them, at the cost of
// no other request. A request with 3,000 fields of five bytes took over half a megabyte of memory.
func TestARequestWithTooManyFieldsIsRejected(t *testing.T) {
	addr, _, _ := startScheduler(t, func(w http.ResponseWriter, r *http.Request) {
		writeDone(w, r.Header.Get(idHeader))
	})
	const maxFields, opFields = 100, 5
	ids := 0
	op := func(further int, ending string) string {
		ids++
		id := fmt.Sprint("op-", ids)
		head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: look\r\n%s: 9000\r\n", idHeader, id, categoryHeader, timeLeftHeader)
		return head + numberedFields(further) + ending
	}
	for _, x := range []struct {
		name    string
		further int
		ending  string
		status  int
	}{
		{"as many fields as allowed", maxFields - opFields, "Content-Length: 0\r\n\r\n", http.StatusOK},
		{"a field more", maxFields - opFields + 1, "Content-Length: 0\r\n\r\n", http.StatusBadRequest},
		{"thousands of fields", 2800, "Content-Length: 0\r\n\r\n", http.StatusBadRequest},
		{"a head that never ends", 150, "", http.StatusBadRequest},
		{"a trailer within the limit", 0, "Transfer-Encoding: chunked\r\n\r\n0\r\n" + numberedFields(90) + "\r\n", http.StatusOK},
		{"a trailer beyond the limit", 0, "Transfer-Encoding: chunked\r\n\r\n0\r\n" + numberedFields(110) + "\r\n", http.StatusBadRequest},
	} {
		for _, pieceBytes := range []int{1 << 20, 7} {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(10 * time.Second))
			text := op(3, "Content-Length: 0\r\n\r\n") + op(x.further, x.ending)
			go func() { // the scheduler may close the connection before it has read all
				for text != "" {
					n := min(pieceBytes, len(text))
					io.WriteString(c, text[:n])
					text = text[n:]
				}
			}()
			answers := bufio.NewReader(c)
			for k, want := range []int{http.StatusOK, x.status} {
				response, err := http.ReadResponse(answers, nil)
				if err != nil || response.StatusCode != want {
					t.Fatalf("%s in pieces of %d bytes, answer %d: %v, %v, want %d", x.name, pieceBytes, k, response, err, want)
				}
				io.Copy(io.Discard, response.Body)
			}
			if x.status == http.StatusOK {
				continue
			}
			if _, err := answers.ReadByte(); err != io.EOF {
				t.Errorf("%s: the connection is still open: %v", x.name, err)
			}
		}
	}
}

// numberedFields returns header fields with distinct names.
func numberedFields(fields int) string {
	var b strings.Builder
	for n := range fields {
		fmt.Fprintf(&b, "n%d:\r\n", n)
	}
	return b.String()
}
