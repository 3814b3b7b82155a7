package scheduler

import (
	"context"
	"errors"
	"testing"
	"time"

	"woaddyke/internal/scheduler/reducer"
)

var errSiblingBusy = errors.New("the sibling does not read")

// stubSibling is another process of the scheduler. Only the loop calls its methods.
type stubSibling struct {
	changed    chan struct{}
	announced  []string              // keys that the loop has announced
	onAnnounce []reducer.AnnouncedID // announced by the sibling at the same time as the next op of the loop
	waiting    []reducer.AnnouncedID
	err        error
	readErr    error
}

func (s *stubSibling) Changed() <-chan struct{} { return s.changed }

func (s *stubSibling) Announce(key string, _ time.Duration) error {
	if s.err != nil {
		return s.err
	}
	s.announced = append(s.announced, key)
	s.waiting, s.onAnnounce = append(s.waiting, s.onAnnounce...), nil
	return nil
}

func (s *stubSibling) Announced() (ids []reducer.AnnouncedID, err error) {
	ids, s.waiting = s.waiting, nil
	return ids, s.readErr
}

// submitBeside submits an op to a loop with siblings and returns its answer.
func submitBeside(t *testing.T, l *Loop, id string) reducer.Respond {
	t.Helper()
	s, reply := newSubmission(l, uint64(len(id)), &stubClient{})
	s.Op.ID = id
	if err := l.Submit(context.Background(), s); err != nil {
		t.Fatal(err)
	}
	select {
	case answer := <-reply:
		return answer
	case <-time.After(20 * time.Second):
		t.Fatalf("%s has no answer", id)
		return reducer.Respond{}
	}
}

// An op whose key a sibling announces at the same time must not be attempted, and its ID must stay reserved after
// the sibling has ended. An op that can't be announced must not be attempted either: the sibling may admit it.
func TestAnOpIsAttemptedOnlyIfNoSiblingHasIt(t *testing.T) {
	addr, attempts := startWorker(t)
	l := newLoop(t, addr)
	sibling := &stubSibling{changed: make(chan struct{}), onAnnounce: []reducer.AnnouncedID{{Key: "a", TTL: 600_000}}}
	l.AddSibling(sibling)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go l.Run(ctx)
	for range 2 {
		if answer := submitBeside(t, l, "a"); answer.Verdict != reducer.DuplicateID {
			t.Errorf("an ID of the sibling: %v", answer.Verdict)
		}
	}
	l.inbox <- Query(func(State) {
		if len(sibling.announced) != 1 {
			t.Errorf("announced %q: an op that is rejected anyway leaves its ID unused", sibling.announced)
		}
		sibling.err = errSiblingBusy
	})
	for _, failure := range []string{"can't be announced", "can't be compared with announcements"} {
		answer := submitBeside(t, l, "bb")
		if answer.Verdict != reducer.Nacked || answer.RetryAfter != siblingRetryAfter || attempts.Load() > 0 {
			t.Errorf("an op that %s: %+v, %d attempts", failure, answer, attempts.Load())
		}
		l.inbox <- Query(func(State) { sibling.err, sibling.readErr = nil, errSiblingBusy })
	}
	close(sibling.changed)
	for ended := false; !ended; {
		done := make(chan bool, 1)
		l.inbox <- Query(func(State) { done <- len(l.siblings) == 0 })
		ended = <-done
	}
	if answer := submitBeside(t, l, "a"); answer.Verdict != reducer.DuplicateID || attempts.Load() > 0 {
		t.Errorf("after the end of the sibling: %v, %d attempts", answer.Verdict, attempts.Load())
	}
}

// Announcements must be read also while no op arrives: a sibling can't announce more than fits the connection.
func TestAnIdleLoopReadsAnnouncements(t *testing.T) {
	l := newLoop(t, "127.0.0.1:1")
	sibling := &stubSibling{
		changed: make(chan struct{}, 1),
		waiting: []reducer.AnnouncedID{{Key: "a", TTL: 600_000}},
	}
	l.AddSibling(sibling)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go l.Run(ctx)
	sibling.changed <- struct{}{}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		read := make(chan bool, 1)
		l.inbox <- Query(func(State) { read <- len(sibling.waiting) == 0 })
		if <-read {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the announcement is not read")
		}
	}
}
