package runner

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"

	"woaddyke/internal/lab/links"
)

const (
	lagEvery  = 5 * time.Millisecond
	pathEvery = 10 * time.Millisecond
)

// watch finds out by how much the lab is late at most, until the context ends: what it writes down later than it was counts against
// others. It looks at timers, and at the whole way on which a worker learns of a push: a connection that is taken, its reader that starts,
// the bytes that it reads. On a busy machine each of these waits for its turn, and the sum is later than any timer.
func watch(ctx context.Context) (lag time.Duration, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fmt.Errorf("the lab's watch on itself: %w", err)
	}
	defer l.Close()
	var mu sync.Mutex
	late := func(by time.Duration) {
		mu.Lock()
		lag = max(lag, by)
		mu.Unlock()
	}
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() { arrive(c, late) })
		}
	})
	all.Go(func() {
		for ctx.Err() == nil {
			send(l.Addr().String())
			time.Sleep(pathEvery)
		}
		l.Close()
	})
	for ctx.Err() == nil {
		from := time.Now()
		time.Sleep(lagEvery)
		late(time.Since(from) - lagEvery)
	}
	return lag, nil
}

const stampSize = 8

// send dials as a scheduler does and sends the moment at which it did.
func send(to string) {
	c, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer c.Close()
	c.Write(stampOf(time.Since(began)))
}

var began = time.Now()

func stampOf(at time.Duration) []byte { return binary.BigEndian.AppendUint64(nil, uint64(at)) }

// arrive reads such a moment as a worker reads a push.
func arrive(c net.Conn, late func(time.Duration)) {
	x := links.Through(c, links.New(links.Sky{}, 0))
	defer x.Close()
	room := make([]byte, stampSize)
	if n, err := x.Read(room); err == nil && n == len(room) {
		late(x.Mouth().Sub(began) - time.Duration(binary.BigEndian.Uint64(room)))
	}
}
