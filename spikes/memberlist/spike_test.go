package spike

import (
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"net"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"
)

// wire is a transport of ours: it notes each datagram and loses those that a cut takes.
type wire struct {
	memberlist.NodeAwareTransport
	name string
	note func(from, to string, size int)
	cut  func(from, to string) bool
}

func (w *wire) WriteTo(b []byte, addr string) (time.Time, error) {
	return w.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (w *wire) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	w.note(w.name, a.Addr, len(b))
	if w.cut(w.name, a.Addr) {
		return time.Now(), nil
	}
	go w.NodeAwareTransport.WriteToAddress(append([]byte(nil), b...), a) // a mock's channel has no room: two that write at once wait for good
	return time.Now(), nil
}

func (w *wire) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	if w.cut(w.name, a.Addr) {
		time.Sleep(d)
		return nil, fmt.Errorf("cut")
	}
	return w.NodeAwareTransport.DialAddressTimeout(a, d)
}

// play runs five members for the time given, in virtual time, and tells a hash of all that was sent and how many each sees.
func play(t *testing.T, last, cutFrom, cutUntil time.Duration) (hash uint64, seen string) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		h := fnv.New64a()
		start := time.Now()
		var network memberlist.MockNetwork
		side := map[string]int{}
		over := false
		var wires []*memberlist.MockTransport
		var all []*memberlist.Memberlist
		for i := range 5 {
			name := fmt.Sprint("m", i)
			tr := network.NewTransport(name)
			wires = append(wires, tr)
			c := memberlist.DefaultLANConfig()
			c.Name, c.Logger = name, log.New(io.Discard, "", 0)
			c.Transport = &wire{tr, name, func(from, to string, size int) {
				mu.Lock()
				defer mu.Unlock()
				fmt.Fprintln(h, time.Since(start), from, to, size)
			}, func(from, to string) bool {
				mu.Lock()
				defer mu.Unlock()
				at := time.Since(start)
				return over || at > cutFrom && at < cutUntil && side[from] != side[to]
			}}
			m, err := memberlist.Create(c)
			if err != nil {
				t.Fatal(err)
			}
			n := m.LocalNode()
			mu.Lock()
			side[name], side[n.Address()] = i/3, i/3
			mu.Unlock()
			if all = append(all, m); i > 0 {
				if _, err := m.Join([]string{all[0].LocalNode().Address()}); err != nil {
					t.Log(err)
				}
			}
		}
		time.Sleep(last)
		var counts []string
		for _, m := range all {
			counts = append(counts, fmt.Sprint(m.NumMembers()))
		}
		mu.Lock()
		over = true
		mu.Unlock()
		time.Sleep(10 * time.Second) // what is on its way arrives: a mock's packet that nobody reads waits for good
		for _, m := range all {
			m.Shutdown()
		}
		for _, tr := range wires { // what is still on its way to one that has ended must not wait for good
			for more := true; more; {
				select {
				case <-tr.PacketCh():
				case c := <-tr.StreamCh():
					c.Close()
				case <-time.After(10 * time.Second):
					more = false
				}
			}
		}
		sort.Strings(counts)
		seen = strings.Join(counts, " ")
		mu.Lock()
		hash = h.Sum64()
		mu.Unlock()
	})
	return hash, seen
}

func TestOneSeedPlaysACluster(t *testing.T) {
	var hashes []string
	for range 3 {
		h, seen := play(t, 20*time.Second, 0, 0)
		hashes = append(hashes, fmt.Sprintf("%016x (%s)", h, seen))
	}
	t.Log("three plays, nothing drawn by us: ", hashes)
}

func TestACutOfAMinuteEnds(t *testing.T) {
	for _, after := range []time.Duration{30 * time.Second, 5 * time.Minute, 20 * time.Minute} {
		_, seen := play(t, 70*time.Second+after, 10*time.Second, 70*time.Second)
		t.Logf("members seen by each, %v after a cut of 60 s between 3 and 2: %s", after, seen)
	}
}
