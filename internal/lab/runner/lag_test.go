package runner

import (
	"context"
	"net"
	"testing"
	"time"
)

// A lab that is late at reading and not at its timers would call its own lateness a scheduler's second push.
func TestWhatIsReadLateIsNoticed(t *testing.T) {
	near, far := net.Pipe()
	sent := make(chan struct{})
	go func() {
		defer near.Close()
		stamp := time.Since(began) - time.Hour // as if it had lain there for an hour
		near.Write(stampOf(stamp))
		close(sent)
	}()
	got := make(chan time.Duration, 1)
	arrive(far, func(by time.Duration) { got <- by })
	<-sent
	select {
	case by := <-got:
		if by < time.Hour || by > time.Hour+time.Minute {
			t.Errorf("late by %v", by)
		}
	default:
		t.Error("nothing was noticed")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if lag, err := watch(ctx); err != nil || lag <= 0 || lag > 20*time.Second {
		t.Errorf("%v, %v", lag, err)
	}
}
