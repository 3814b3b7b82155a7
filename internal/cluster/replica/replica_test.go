package replica

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// isolatedTransport drops all messages. Its clock started long before the test.
type isolatedTransport struct{ start time.Time }

func (isolatedTransport) SendReplication(string, replication.Message) {}
func (isolatedTransport) SendReplicaSet(string, replicaset.Message)   {}

func (a isolatedTransport) Now() membership.Time {
	return clockOffset + membership.TimeOf(time.Since(a.start))
}

const clockOffset membership.Time = 40 * 24 * 3600 * 10_000 // 40 days, longer than the retention

// The only replica of a set has its records after a restart, even if the machine was started longer ago than
// the retention. Guards against ages that are counted from the start of the clock. The records would then
// expire at the first tick.
func TestRecordsOfASingleReplicaSurviveARestart(t *testing.T) {
	defer goleak.VerifyNone(t)
	config := Defaults()
	config.Replicas, config.Path = []string{"a"}, filepath.Join(t.TempDir(), "copies.db")
	config.AmnesiaHoldOff, config.Sync = 0, false
	if err := config.Validate(0); err != nil {
		t.Fatal(err)
	}
	restartAndClaim := func(id string, finish bool) replication.ClaimResult {
		t.Helper()
		transport := isolatedTransport{time.Now()}
		r, err := New(config, "a", 1, 0, transport.Now(), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		r.Start(transport)
		r.SetMembership(true, membership.Incarnation{Generation: uint64(time.Now().UnixNano() >> 16)})
		r.await(t, "the replica votes", func() bool { return r.Status().Voting })
		d := r.Claim(context.Background(), "pay", id, []byte("x"), time.Second, 0)
		if finish && d.Result == replication.Granted {
			r.Finish(d.RequestID, false, 200, []byte("done"))
			r.await(t, "the op has ended", func() bool {
				rows := r.Lookup("pay", id)
				return len(rows) > 0 && rows[0].Stage == "ended"
			})
		}
		return d.Result
	}
	for _, c := range []struct {
		id     string
		finish bool
		want   replication.ClaimResult
	}{
		{"a", true, replication.Granted},
		{"a", false, replication.AlreadyAnswered},
		{"b", false, replication.Granted},
		{"b", false, replication.OutcomeUnknown}, // the process that claimed b has ended, without an outcome of b
		{"a", false, replication.AlreadyAnswered},
	} {
		if got := restartAndClaim(c.id, c.finish); got != c.want {
			t.Errorf("%s: got %v, want %v", c.id, got, c.want)
		}
	}
}

// recordingTransport passes the sent replication messages to the channel sent.
type recordingTransport struct {
	isolatedTransport
	sent chan replication.Message
}

func (r recordingTransport) SendReplication(_ string, message replication.Message) { r.sent <- message }

// A replica registers with the generation and the nonce that the members know. Guards against a registration
// with a random nonce. Two replicas that lost their records may meet each other before a member that knows
// their previous processes. One of them then has the generation of its previous process again, and only the
// nonces order the two processes. With a smaller random nonce, the registration would be treated as a message
// of the previous process, and the replica would never vote.
func TestAReplicaRegistersWithTheNonceThatMembersKnow(t *testing.T) {
	config := Defaults()
	config.Replicas = []string{"a", "b", "c"}
	transport := recordingTransport{isolatedTransport{time.Now()}, make(chan replication.Message, 99)}
	r, err := New(config, "a", 1, 2, transport.Now(), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	r.Start(transport)
	r.SetMembership(true, membership.Incarnation{Generation: 1, Nonce: 7})
	for timeout := time.After(20 * time.Second); ; {
		select {
		case message := <-transport.sent:
			if message.Kind == replication.Register {
				if (message.Incarnation != replication.Incarnation{Generation: 1<<16 + 2, Nonce: 7}) {
					t.Errorf("registered as %v", message.Incarnation)
				}
				return
			}
		case <-timeout:
			t.Fatal("the replica did not register within 20 s")
		}
	}
}
