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
	timerInterval    = 5 * time.Millisecond
	pushPathInterval = 10 * time.Millisecond
)

// measureLag measures the maximum delay in the lab itself until the context ends, because a delay before the
// lab records an event would be counted against the schedulers. It measures timers and the path of a push to
// a worker: accept a connection, start its reader, read the bytes. On a busy machine each of these steps
// waits for the CPU, and the sum of these waits exceeds the delay of a timer.
func measureLag(ctx context.Context) (lag time.Duration, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fmt.Errorf("measuring the lag of the lab: %w", err)
	}
	defer l.Close()
	var mu sync.Mutex
	record := func(delay time.Duration) {
		mu.Lock()
		lag = max(lag, delay)
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
			all.Go(func() { receiveTimestamp(c, record) })
		}
	})
	all.Go(func() {
		for ctx.Err() == nil {
			sendTimestamp(l.Addr().String())
			time.Sleep(pushPathInterval)
		}
		l.Close()
	})
	for ctx.Err() == nil {
		begin := time.Now()
		time.Sleep(timerInterval)
		record(time.Since(begin) - timerInterval)
	}
	return lag, nil
}

const timestampSize = 8

// sendTimestamp connects as a scheduler does and sends the current time.
func sendTimestamp(to string) {
	c, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer c.Close()
	c.Write(encodeTimestamp(time.Since(baseTime)))
}

// baseTime is the time from which timestamps count.
var baseTime = time.Now()

func encodeTimestamp(at time.Duration) []byte { return binary.BigEndian.AppendUint64(nil, uint64(at)) }

// receiveTimestamp reads a timestamp as a worker reads a push, and records its age.
func receiveTimestamp(c net.Conn, record func(time.Duration)) {
	x := links.Wrap(c, links.New(links.Conditions{}, 0))
	defer x.Close()
	buf := make([]byte, timestampSize)
	if n, err := x.Read(buf); err == nil && n == len(buf) {
		record(x.ReceivedAt().Sub(baseTime) - time.Duration(binary.BigEndian.Uint64(buf)))
	}
}
