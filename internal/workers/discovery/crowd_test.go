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

// caller is a scheduler of a crowd, by its spans alone.
type caller struct {
	chance *rand.Rand
	b      callHistory
	wait   time.Duration
	at     time.Duration // of its next call
}

type callers []*caller

func (c callers) Len() int           { return len(c) }
func (c callers) Less(i, j int) bool { return c[i].at < c[j].at }
func (c callers) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *callers) Push(x any)        { *c = append(*c, x.(*caller)) }
func (c *callers) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// returns is a play: the watches of all schedulers end at 0, discovery can't be reached until it is
// back, and from then on takes so many calls a second and turns the others away at once.
type returns struct {
	schedulers int
	grace      time.Duration
	back       time.Duration
	down       way // what becomes of calls until then
	rate       float64
	seed       uint64 // of the first, the others' follow
}

type returned struct {
	told  []time.Duration // after the return, in order
	calls map[int]int     // by second after the return
	away  int             // calls turned away after the return
}

func (r returns) play() (out returned) {
	s := TimeoutsFor(false, r.schedulers, r.grace)
	var all callers
	for i := range r.schedulers {
		c := &caller{chance: rand.New(rand.NewPCG(r.seed<<32+uint64(i), 0))}
		c.wait = s.nextBackoff(c.b, c.chance.Float64())
		c.at = c.wait
		all = append(all, c)
	}
	heap.Init(&all)
	out.calls = map[int]int{}
	each := time.Duration(float64(time.Second) / r.rate)
	var busy time.Duration // until then it has work
	for len(all) > 0 {
		c := all[0]
		now := c.at
		out.calls[int(math.Floor((now-r.back).Seconds()))]++
		busy = max(busy, now)
		if now >= r.back && busy-now <= room {
			busy += each
			out.told = append(out.told, busy-r.back)
			heap.Pop(&all)
			continue
		}
		c.b.addFailure(now >= r.back || r.down == turned)
		c.b.backoff, c.b.duration = c.wait, 0
		if now >= r.back {
			out.away++
		} else if r.down == hangs {
			c.b.duration = s.Response
		}
		c.wait = s.nextBackoff(c.b, c.chance.Float64())
		c.at += c.b.duration + c.wait
		heap.Fix(&all, 0)
	}
	slices.Sort(out.told)
	return out
}

const room = 500 * time.Millisecond // of calls that the stand-in lets wait

// rates says how many calls there are in a second of the last ten while discovery is down, and the most
// in one from then on.
func (o returned) rates() (down float64, most int) {
	for s, n := range o.calls {
		if s >= 0 {
			most = max(most, n)
		} else if s >= -10 {
			down += float64(n) / 10
		}
	}
	return down, most
}

// Thousands come back at once to a discovery that turns calls away. They all have its list within 6 s
// of its return where it takes a third of their number a second and ten; at half the rate that one call
// of each in a period needs, it serves them as fast as it can all the same. While it is down, each
// calls once in a period.
func TestACrowdHasItsListsWithinSixSecondsAtABoundedRate(t *testing.T) {
	for _, schedulers := range []int{1, 20, 80, 300, 1000, 6300} {
		for _, grace := range []time.Duration{250 * time.Millisecond, 2500 * time.Millisecond, 10 * time.Second} {
			for name, r := range map[string]returns{
				"ends":           {},
				"refused 8 s":    {back: 8 * time.Second, down: refused},
				"503 for 8 s":    {back: 8 * time.Second, down: turned},
				"503 for 20 s":   {back: 20 * time.Second, down: turned},
				"hangs for 8 s":  {back: 8 * time.Second, down: hangs},
				"hangs for 20 s": {back: 20 * time.Second, down: hangs},
				"503 for 2 min":  {back: 2 * time.Minute, down: turned},
			} {
				for r.seed = range uint64(3) {
					period := TimeoutsFor(false, schedulers, grace).MaxBackoffRejected
					r.schedulers, r.grace, r.rate = schedulers, grace, float64(schedulers)/3+10
					out := r.play()
					down, most := out.rates()
					last := out.told[schedulers-1]
					if r.seed == 0 {
						t.Logf("%d schedulers, grace %v, %s, %.0f calls a second: %.0f a second before the return, %d in the busiest second after it, %d turned away, all told %.1f s after it",
							schedulers, grace, name, r.rate, down, most, out.away, last.Seconds())
					}
					if last > changeDeadline-applyTime {
						t.Errorf("%d schedulers, grace %v, %s, seed %d: the last is told %v after the return", schedulers, grace, name, r.seed, last)
					}
					if need := float64(schedulers) / period.Seconds(); r.back >= 20*time.Second && r.down == turned && down > 1.2*need+3 {
						t.Errorf("%d schedulers, grace %v, %s, seed %d: %.0f calls a second, where %.0f would do", schedulers, grace, name, r.seed, down, need)
					}
					r.rate = float64(schedulers) / period.Seconds() / 2
					all := time.Duration(float64(schedulers)/r.rate*float64(time.Second)) + 2*period
					if last := r.play().told[schedulers-1]; last > all {
						t.Errorf("%d schedulers, grace %v, %s, seed %d: at %.0f calls a second the last is told %v after the return", schedulers, grace, name, r.seed, r.rate, last)
					}
					if schedulers > 1000 {
						break
					}
				}
			}
		}
	}
}

// What goes over the wire for a call: its head, and a list as discovery words it. The figures are
// logged; that a call stays small, whatever it asks, is the verdict.
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
		asked := make(chan string, 1)
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
			head := bufio.NewReader(c)
			all := ""
			for !strings.HasSuffix(all, "\r\n\r\n") {
				line, err := head.ReadString('\n')
				if all += line; err != nil {
					break
				}
			}
			asked <- all
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n0\r\n\r\n", len(text)+1, text)
		}()
		began, took, told := time.Now(), time.Duration(0), 0
		r := NewClient(l.Addr().String(), EndpointList{Rev: 999_999_999}, lone, 7, unknown(), func(in reducer.Input) { took, told = time.Since(began), len(in.(reducer.EndpointsChanged).Endpoints) }, zerolog.Nop())
		r.watch(context.Background())
		l.Close()
		if head := <-asked; len(head) > 200 {
			t.Errorf("a call takes %d bytes: %q", len(head), head)
		} else {
			t.Logf("a call of %d bytes, a list of %d entries of %d bytes, told %.1f ms after the call began", len(head), entries, len(text), float64(took)/1e6)
		}
		if told != entries {
			t.Errorf("told of %d entries of %d", told, entries)
		}
	}
}
