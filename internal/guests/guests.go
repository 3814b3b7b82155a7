package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"woaddyke/internal/conns"
)

// clients are the connections from clients. They share the descriptors with those to workers: too many of
// them would leave ops that can't be pushed. Those that were never served give way first, so that a flood
// takes its room from itself.
type clients struct {
	net.Listener
	most, full int // from the first on others give way to a newcomer; at the second it is closed unread

	mu     sync.Mutex
	guests map[net.Conn]*guest
}

type guest struct {
	since  time.Time // as it is now
	state  http.ConnState
	served bool // a worker's result was sent on it
}

func newClients(most, full int) *clients {
	return &clients{most: most, full: full, guests: map[net.Conn]*guest{}}
}

// Accept takes connections while there is room. What is closed here costs no goroutine and no buffer; the
// server's own loop would take hundreds before the first of them gives way.
func (c *clients) Accept() (net.Conn, error) {
	for {
		nc, err := c.Listener.Accept()
		if err != nil || c.admit(nc) {
			return nc, err
		}
		nc.Close()
	}
}

func (c *clients) admit(nc net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.guests) >= c.most {
		if old := c.oldest(); old != nil {
			c.part(old)
			continue
		}
		if len(c.guests) >= c.full {
			return false
		}
		break
	}
	c.guests[nc] = &guest{since: time.Now(), state: http.StateNew}
	return true
}

// oldest is the connection that gives way: that which has waited longest among those never served, else among
// all that wait for a request. One whose request has come but is not read yet is none of them.
func (c *clients) oldest() net.Conn {
	for {
		var old net.Conn
		var o *guest
		for nc, g := range c.guests {
			waits := g.state == http.StateIdle || g.state == http.StateNew
			if waits && (o == nil || !g.served && o.served || g.served == o.served && g.since.Before(o.since)) {
				old, o = nc, g
			}
		}
		if old == nil {
			return nil
		}
		if n, _ := conns.Peek(old); n == 0 {
			return old
		}
		o.state = http.StateActive
	}
}

// part ends the wait of a connection. One between requests is not closed but told that its wait is over: a
// request read a moment ago would be lost with it.
func (c *clients) part(nc net.Conn) {
	g := c.guests[nc]
	delete(c.guests, nc)
	if g.state == http.StateNew {
		nc.Close()
		return
	}
	nc.SetReadDeadline(time.Unix(1, 0))
}

// track is told of each change by the server.
func (c *clients) track(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.guests[nc]
	switch {
	case g == nil || state == http.StateNew:
	case state == http.StateClosed || state == http.StateHijacked:
		delete(c.guests, nc)
	default:
		g.state, g.since = state, time.Now()
	}
}

type guestKey struct{}

func withGuest(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, guestKey{}, nc)
}

// served marks the connection of a request whose client has proved to be one of ours.
func (c *clients) served(ctx context.Context) {
	nc, _ := ctx.Value(guestKey{}).(net.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.guests[nc]; g != nil {
		g.served = true
	}
}
