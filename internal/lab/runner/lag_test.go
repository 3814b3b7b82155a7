package runner

import (
	"context"
	"net"
	"testing"
	"time"
)

// A read that is late while timers are on time must count as lag. Otherwise the audit would blame a scheduler
// for a duplicate push that only the lab's delay caused.
func TestALateReadCountsAsLag(t *testing.T) {
	client, worker := net.Pipe()
	sent := make(chan struct{})
	go func() {
		defer client.Close()
		stamp := time.Since(baseTime) - time.Hour // as if the read were an hour late
		client.Write(encodeTimestamp(stamp))
		close(sent)
	}()
	recorded := make(chan time.Duration, 1)
	receiveTimestamp(worker, func(delay time.Duration) { recorded <- delay })
	<-sent
	select {
	case delay := <-recorded:
		if delay < time.Hour || delay > time.Hour+time.Minute {
			t.Errorf("delay %v, want 1 h to 1 h 1 min", delay)
		}
	default:
		t.Error("no delay was recorded")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if lag, err := measureLag(ctx); err != nil || lag <= 0 || lag > 20*time.Second {
		t.Errorf("lag %v, %v; want a positive lag up to 20 s", lag, err)
	}
}
