package discovery

import (
	"bufio"
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"woaddyke/internal/scheduler/reducer"
)

// simulatedScheduler is one of many schedulers, simulated only by its backoffs and timeouts.
type simulatedScheduler struct {
	random     *rand.Rand
	history    callHistory
	backoff    time.Duration
	nextCallAt time.Duration // from the start of the simulation
}

type callQueue []*simulatedScheduler

func (c callQueue) Len() int           { return len(c) }
func (c callQueue) Less(i, j int) bool { return c[i].nextCallAt < c[j].nextCallAt }
func (c callQueue) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *callQueue) Push(x any)        { *c = append(*c, x.(*simulatedScheduler)) }
func (c *callQueue) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// recovery is a simulation: the watches of all schedulers end at time 0, and discovery is unreachable until
// upAt. From then on it serves callRate calls per second and rejects the others immediately.
type recovery struct {
	schedulers int
	grace      time.Duration
	upAt       time.Duration
	whileDown  behavior // of calls before upAt
	callRate   float64
	seed       uint64 // from which the seed of each scheduler is derived
}

type recoveryResult struct {
	servedAfter   []time.Duration // times after upAt at which schedulers are served, sorted
	callsBySecond map[int]int     // number of calls by second after upAt
	rejected      int             // calls rejected after upAt
}

func (r recovery) simulate() (out recoveryResult) {
	s := TimeoutsFor(false, r.schedulers, r.grace)
	var all callQueue
	for i := range r.schedulers {
		c := &simulatedScheduler{random: rand.New(rand.NewPCG(r.seed<<32+uint64(i), 0))}
		c.backoff = s.nextBackoff(c.history, c.random.Float64())
		c.nextCallAt = c.backoff
		all = append(all, c)
	}
	heap.Init(&all)
	out.callsBySecond = map[int]int{}
	callDuration := time.Duration(float64(time.Second) / r.callRate)
	var busyUntil time.Duration // when all accepted calls are served
	for len(all) > 0 {
		c := all[0]
		now := c.nextCallAt
		out.callsBySecond[int(math.Floor((now-r.upAt).Seconds()))]++
		busyUntil = max(busyUntil, now)
		if now >= r.upAt && busyUntil-now <= maxQueueTime {
			busyUntil += callDuration
			out.servedAfter = append(out.servedAfter, busyUntil-r.upAt)
			heap.Pop(&all)
			continue
		}
		c.history.addFailure(now >= r.upAt || r.whileDown == reject503)
		c.history.backoff, c.history.duration = c.backoff, 0
		if now >= r.upAt {
			out.rejected++
		} else if r.whileDown == hang {
			c.history.duration = s.Response
		}
		c.backoff = s.nextBackoff(c.history, c.random.Float64())
		c.nextCallAt += c.history.duration + c.backoff
		heap.Fix(&all, 0)
	}
	slices.Sort(out.servedAfter)
	return out
}

const maxQueueTime = 500 * time.Millisecond // the simulated service rejects a call that would wait longer

// callRates returns the mean calls per second in the last ten seconds before discovery's return, and the
// maximum in any second after it.
func (o recoveryResult) callRates() (meanBefore float64, maxAfter int) {
	for s, n := range o.callsBySecond {
		if s >= 0 {
			maxAfter = max(maxAfter, n)
		} else if s >= -10 {
			meanBefore += float64(n) / 10
		}
	}
	return meanBefore, maxAfter
}

// Thousands of schedulers call a discovery service that has just returned and rejects the calls beyond its
// call rate. They all have its list within 6 s of its return if that rate per second is a third of their
// number plus ten. At half the rate needed for one call of each scheduler per period, the service still
// serves them as fast as it can. While it is down, each scheduler calls once per period.
func TestAllSchedulersHaveTheListWithinSixSecondsAtABoundedCallRate(t *testing.T) {
	for _, schedulers := range []int{1, 20, 80, 300, 1000, 6300} {
		for _, grace := range []time.Duration{250 * time.Millisecond, 2500 * time.Millisecond, 10 * time.Second} {
			for name, r := range map[string]recovery{
				"ends":           {},
				"refused 8 s":    {upAt: 8 * time.Second, whileDown: refuseDial},
				"503 for 8 s":    {upAt: 8 * time.Second, whileDown: reject503},
				"503 for 20 s":   {upAt: 20 * time.Second, whileDown: reject503},
				"hangs for 8 s":  {upAt: 8 * time.Second, whileDown: hang},
				"hangs for 20 s": {upAt: 20 * time.Second, whileDown: hang},
				"503 for 2 min":  {upAt: 2 * time.Minute, whileDown: reject503},
			} {
				for r.seed = range uint64(3) {
					period := TimeoutsFor(false, schedulers, grace).MaxBackoffRejected
					r.schedulers, r.grace, r.callRate = schedulers, grace, float64(schedulers)/3+10
					out := r.simulate()
					meanBefore, maxAfter := out.callRates()
					last := out.servedAfter[schedulers-1]
					if r.seed == 0 {
						t.Logf("%d schedulers, grace %v, %s, %.0f calls per second: %.0f per second before the return, at most %d per second after it, %d rejected, all served %.1f s after it",
							schedulers, grace, name, r.callRate, meanBefore, maxAfter, out.rejected, last.Seconds())
					}
					if last > changeDeadline-applyTime {
						t.Errorf("%d schedulers, grace %v, %s, seed %d: the last is served %v after the return", schedulers, grace, name, r.seed, last)
					}
					if needed := float64(schedulers) / period.Seconds(); r.upAt >= 20*time.Second && r.whileDown == reject503 && meanBefore > 1.2*needed+3 {
						t.Errorf("%d schedulers, grace %v, %s, seed %d: %.0f calls per second, but only %.0f are needed", schedulers, grace, name, r.seed, meanBefore, needed)
					}
					r.callRate = float64(schedulers) / period.Seconds() / 2
					limit := time.Duration(float64(schedulers)/r.callRate*float64(time.Second)) + 2*period
					if last := r.simulate().servedAfter[schedulers-1]; last > limit {
						t.Errorf("%d schedulers, grace %v, %s, seed %d: at %.0f calls per second the last is served %v after the return", schedulers, grace, name, r.seed, r.callRate, last)
					}
					if schedulers > 1000 {
						break
					}
				}
			}
		}
	}
}

// Logs the size of a call and of the list that discovery sends. The request must stay small, whatever the
// size of the list.
func TestACallIsSmall(t *testing.T) {
	for _, entries := range []int{0, 1, 100, 6300} {
		list := EndpointList{Rev: 1_000_000_042, All: true, Targets: []target{}}
		for i := range entries {
			list.Targets = append(list.Targets, target{UID: fmt.Sprintf("s-%08x", uint32(i)*2654435761), Endpoint: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
				AZ: string(rune('a' + i%14)), PodGroup: i % 97, Model: "m2", State: "SERVING", BootMS: 1796181000000 + int64(i)})
		}
		text, err := json.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		requests := make(chan string, 1)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			reader := bufio.NewReader(c)
			head := ""
			for !strings.HasSuffix(head, "\r\n\r\n") {
				line, err := reader.ReadString('\n')
				if head += line; err != nil {
					break
				}
			}
			requests <- head
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n0\r\n\r\n", len(text)+1, text)
		}()
		startedAt, duration, received := time.Now(), time.Duration(0), 0
		client := NewClient(l.Addr().String(), EndpointList{Rev: 999_999_999}, singleSchedulerTimeouts, 7, newEmptyStartTimes(), func(in reducer.Input) {
			duration, received = time.Since(startedAt), len(in.(reducer.EndpointsChanged).Endpoints)
		}, zerolog.Nop())
		client.watch(context.Background())
		l.Close()
		if head := <-requests; len(head) > 200 {
			t.Errorf("a call takes %d bytes: %q", len(head), head)
		} else {
			t.Logf("a call of %d bytes, a list of %d entries of %d bytes, received %.1f ms after the call started", len(head), entries, len(text), float64(duration)/1e6)
		}
		if received != entries {
			t.Errorf("received %d entries, want %d", received, entries)
		}
	}
}
