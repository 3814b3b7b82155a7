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

// recordingTransport records each datagram and drops those on a link that is blocked.
type recordingTransport struct {
	memberlist.NodeAwareTransport
	name    string
	record  func(from, to string, size int)
	blocked func(from, to string) bool
}

func (r *recordingTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return r.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (r *recordingTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	r.record(r.name, a.Addr, len(b))
	if r.blocked(r.name, a.Addr) {
		return time.Now(), nil
	}
	// Two members that write to each other would block forever, as the channel of the mock is unbuffered.
	go r.NodeAwareTransport.WriteToAddress(append([]byte(nil), b...), a)
	return time.Now(), nil
}

func (r *recordingTransport) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	if r.blocked(r.name, a.Addr) {
		time.Sleep(d)
		return nil, fmt.Errorf("link blocked")
	}
	return r.NodeAwareTransport.DialAddressTimeout(a, d)
}

// runCluster runs five members in virtual time for a duration. It returns a hash of all datagrams, and how
// many members each member sees.
func runCluster(t *testing.T, duration, partitionStart, partitionEnd time.Duration) (hash uint64, seen string) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		h := fnv.New64a()
		start := time.Now()
		var network memberlist.MockNetwork
		side := map[string]int{}
		stopped := false
		var transports []*memberlist.MockTransport
		var members []*memberlist.Memberlist
		for i := range 5 {
			name := fmt.Sprint("m", i)
			tr := network.NewTransport(name)
			transports = append(transports, tr)
			c := memberlist.DefaultLANConfig()
			c.Name, c.Logger = name, log.New(io.Discard, "", 0)
			c.Transport = &recordingTransport{tr, name, func(from, to string, size int) {
				mu.Lock()
				defer mu.Unlock()
				fmt.Fprintln(h, time.Since(start), from, to, size)
			}, func(from, to string) bool {
				mu.Lock()
				defer mu.Unlock()
				at := time.Since(start)
				return stopped || at > partitionStart && at < partitionEnd && side[from] != side[to]
			}}
			m, err := memberlist.Create(c)
			if err != nil {
				t.Fatal(err)
			}
			n := m.LocalNode()
			mu.Lock()
			side[name], side[n.Address()] = i/3, i/3
			mu.Unlock()
			if members = append(members, m); i > 0 {
				if _, err := m.Join([]string{members[0].LocalNode().Address()}); err != nil {
					t.Log(err)
				}
			}
		}
		time.Sleep(duration)
		var counts []string
		for _, m := range members {
			counts = append(counts, fmt.Sprint(m.NumMembers()))
		}
		mu.Lock()
		stopped = true
		mu.Unlock()
		// Lets datagrams in flight arrive: a write to the channel of the mock blocks forever if nothing reads
		// it.
		time.Sleep(10 * time.Second)
		for _, m := range members {
			m.Shutdown()
		}
		// Reads what is still sent to members that have ended. Otherwise the goroutines that write it would
		// block forever.
		for _, tr := range transports {
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

// Shows whether runs of a cluster are reproducible.
func TestRunsOfAClusterAreReproducible(t *testing.T) {
	var hashes []string
	for range 3 {
		h, seen := runCluster(t, 20*time.Second, 0, 0)
		hashes = append(hashes, fmt.Sprintf("%016x (%s)", h, seen))
	}
	t.Log("three runs without random choices of the test: ", hashes)
}

// Shows how many members each member sees after a network partition of 60 s.
func TestMembersRejoinAfterAPartition(t *testing.T) {
	for _, after := range []time.Duration{30 * time.Second, 5 * time.Minute, 20 * time.Minute} {
		_, seen := runCluster(t, 70*time.Second+after, 10*time.Second, 70*time.Second)
		t.Logf("members seen by each, %v after a partition of 60 s between 3 and 2 members: %s", after, seen)
	}
}
