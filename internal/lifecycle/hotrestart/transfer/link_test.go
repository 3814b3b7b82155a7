package transfer

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// connPair returns the two ends of a Unix connection.
func connPair(t *testing.T) (a, b *retryConn) {
	t.Helper()
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	var ends [2]*retryConn
	for i, fd := range descriptors {
		file := os.NewFile(uintptr(fd), "pair")
		conn, err := net.FileConn(file)
		file.Close()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		ends[i] = &retryConn{conn.(*net.UnixConn)}
	}
	return ends[0], ends[1]
}

// linkPair returns a predecessor's link, which is not open, and its successor's. The successor reads only when
// it is asked to if passive is true.
func linkPair(t *testing.T, passive bool) (predecessor, successor *Link) {
	t.Helper()
	a, b := connPair(t)
	predecessor, err := newLink(a, false)
	if err == nil {
		successor, err = newLink(b, true)
	}
	if err != nil {
		t.Fatal(err)
	}
	go predecessor.run()
	if !passive {
		go successor.run()
	}
	return predecessor, successor
}

// announcedBy returns what a link's other process has announced.
func announcedBy(t *testing.T, l *Link) []Announcement {
	t.Helper()
	announced, err := l.Announced()
	if err != nil {
		t.Error(err)
	}
	return announced
}

func hasKey(announced []Announcement, key string) bool {
	return slices.ContainsFunc(announced, func(a Announcement) bool { return a.Key == key })
}

// Two processes announce the same key at the same time, and then read. At least one must get the announcement of
// the other. Otherwise both would run the op.
func TestOneOfTwoProcessesLearnsOfTheSameKey(t *testing.T) {
	predecessor, successor := linkPair(t, false)
	if err := predecessor.start(); err != nil || !successor.AwaitStart() {
		t.Fatalf("the link does not start: %v", err)
	}
	for n := range 3000 {
		key := fmt.Sprint("key-", n)
		var learned [2]bool
		var both sync.WaitGroup
		for i, link := range []*Link{predecessor, successor} {
			both.Go(func() {
				if err := link.Announce(Announcement{Key: key, TTL: time.Second}); err != nil {
					t.Errorf("%s: %v", key, err)
				}
				learned[i] = hasKey(announcedBy(t, link), key)
			})
		}
		both.Wait()
		if !learned[0] && !learned[1] {
			t.Fatalf("neither process knows that the other one has %s", key)
		}
		announcedBy(t, predecessor) // what one of them has not read in its round
		announcedBy(t, successor)
	}
}

// Ops that the predecessor admits while it hands over must be known to the successor before it admits its
// first op.
func TestAnnouncementsOfTheHandoverArriveBeforeTheStart(t *testing.T) {
	predecessor, successor := linkPair(t, false)
	const count = 20_000
	for n := range count {
		if err := predecessor.Announce(Announcement{Key: fmt.Sprint(n), TTL: time.Second}); err != nil {
			t.Fatal(err)
		}
	}
	done := make(chan error, 1)
	go func() { done <- predecessor.start() }()
	if !successor.AwaitStart() {
		t.Fatal("the link does not start")
	}
	announced := announcedBy(t, successor)
	if err := <-done; err != nil || len(announced) != count {
		t.Fatalf("%d of %d announcements have arrived, %v", len(announced), count, err)
	}
	if last := announced[count-1]; last.Key != fmt.Sprint(count-1) || last.TTL != time.Second {
		t.Errorf("the last one is %+v", last)
	}
}

// While the other process is stopped, announcements wait in the socket. If it is full, an op must not be
// admitted, and nothing that was announced may be lost or garbled.
func TestAnUnreadLinkRefusesAnnouncements(t *testing.T) {
	predecessor, successor := linkPair(t, true)
	if err := predecessor.start(); err != nil {
		t.Fatal(err)
	}
	var accepted []string
	var err error
	for n := 0; err == nil && n < 1_000_000; n++ {
		key := fmt.Sprint("key-", n)
		if err = predecessor.Announce(Announcement{Key: key, TTL: time.Second}); err == nil {
			accepted = append(accepted, key)
		}
	}
	if !errors.Is(err, ErrLinkFull) {
		t.Fatalf("%v after %d announcements", err, len(accepted))
	}
	t.Logf("%d announcements fit", len(accepted))
	announced := announcedBy(t, successor)
	if err := predecessor.Announce(Announcement{Key: "after", TTL: time.Second}); err != nil {
		t.Errorf("after the other process has read: %v", err)
	}
	announced = append(announced, announcedBy(t, successor)...)
	for _, key := range append(accepted, "after") {
		if !hasKey(announced[:1], key) {
			t.Fatalf("%s is announced, but %+v arrived in its place", key, announced[0])
		}
		announced = announced[1:]
	}
}

// A process that ends must not prevent the other from admitting ops. What it announced before must arrive.
func TestALinkEndsWithTheOtherProcess(t *testing.T) {
	predecessor, successor := linkPair(t, false)
	if err := predecessor.start(); err != nil {
		t.Fatal(err)
	}
	if err := predecessor.Announce(Announcement{Key: "last"}); err != nil {
		t.Fatal(err)
	}
	predecessor.conn.Close()
	select {
	case <-successor.ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the end of the other process is not seen")
	}
	if !hasKey(announcedBy(t, successor), "last") {
		t.Error("the last announcement is lost")
	}
	for range 2 {
		if err := successor.Announce(Announcement{Key: "alone"}); err != nil {
			t.Errorf("a process that is alone: %v", err)
		}
	}
}

// Announcements arrive in any pieces.
func TestAnnouncementsAreDecodedFromPieces(t *testing.T) {
	_, link := linkPair(t, true)
	want := []Announcement{
		{Key: "a", TTL: time.Millisecond},
		{Key: string(make([]byte, 255)), TTL: time.Hour},
		{Key: "rounded up", TTL: 2 * time.Millisecond},
	}
	var text []byte
	for _, a := range want {
		if a.Key == "rounded up" {
			a.TTL -= time.Microsecond
		}
		text = a.append(text)
	}
	for _, b := range text {
		link.decode([]byte{b})
	}
	if !slices.Equal(link.arrived, want) {
		t.Errorf("decoded %+v", link.arrived)
	}
}
