package mesh

import (
	"maps"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"

	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/operatorstate"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
)

// meshWithView returns a mesh without sockets and loop whose view has one other member.
func meshWithView(t *testing.T, host Host, self, other membership.MemberRecord) *Mesh {
	t.Helper()
	m := &Mesh{config: testConfig(t), host: host, dropped: newDropCounter(zerolog.Nop())}
	view := membership.MemberView{
		Name:        other.Name,
		Addr:        other.Addr,
		State:       other.State,
		Incarnation: other.Incarnation,
	}
	m.known.Store(&knownMembers{self: self, byName: map[string]membership.MemberView{other.Name: view}})
	return m
}

// A service receives a message only if the service is enabled and the sender is the process that is known
// under its name. All other messages are dropped and counted by cause.
func TestServiceMessagesOfOtherSendersAreDropped(t *testing.T) {
	inside, outside := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("10.1.2.3")
	encoded := func(change func(*serviceMessage)) []byte {
		message := serviceMessage{
			Cluster:       "c",
			From:          recordToWire(testRecord("b", "127.0.0.1:7")),
			OperatorState: &operatorstate.State{SettingsHash: 1},
		}
		change(&message)
		text, err := encodeService(message)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	unchanged := func(*serviceMessage) {}
	otherVersion := encoded(unchanged)
	otherVersion[2]++
	for _, c := range []struct {
		name string
		text []byte
		from netip.Addr
		want dropCause // empty if the message is delivered
	}{
		{"from a known member", encoded(unchanged), inside, ""},
		{"from another network", encoded(unchanged), outside, errOutsideNetworks},
		{"too long", make([]byte, maxServiceBytes+1), inside, errTooLong},
		{"of another version", otherVersion, inside, errWrongVersion},
		{"cut off after 20 bytes", encoded(unchanged)[:20], inside, errMalformed},
		{"of another cluster", encoded(func(m *serviceMessage) { m.Cluster = "d" }), inside, errWrongCluster},
		{"of an unknown member", encoded(func(m *serviceMessage) { m.From.Name = "x" }), inside, errUnknownSender},
		{"of a later process", encoded(func(m *serviceMessage) { m.From.Incarnation++ }), inside, errUnknownSender},
		{"of another process", encoded(func(m *serviceMessage) { m.From.Nonce++ }), inside, errUnknownSender},
		{"of a disabled service", encoded(func(m *serviceMessage) {
			m.Drains = []drainstate.DrainRecord{{Worker: "w"}}
		}), inside, errServiceDisabled},
	} {
		delivered := 0
		host := Host{OperatorState: func(from string, incarnation uint64, state operatorstate.State) {
			if from != "b" || incarnation != 1 || state.SettingsHash != 1 {
				t.Errorf("%s: from %s, incarnation %d, %+v", c.name, from, incarnation, state)
			}
			delivered++
		}}
		m := meshWithView(t, host, testRecord("a", "127.0.0.1:6"), testRecord("b", "127.0.0.1:7"))
		m.receiveService(c.text, c.from)
		want := map[string]uint64{}
		if c.want != "" {
			want[c.want.Error()] = 1
		}
		if got := m.dropped.byCause(); !maps.Equal(got, want) || (delivered == 1) != (c.want == "") {
			t.Errorf("%s: delivered %d times, dropped %v, want %v", c.name, delivered, got, want)
		}
	}
}

// Each service receives its own messages. While this process is not a member, no service receives messages.
func TestServiceMessagesReachTheirServiceOnlyWhileAMember(t *testing.T) {
	for _, state := range []membership.State{membership.Alive, membership.Replaced} {
		got := map[string]int{}
		host := Host{
			Drains:        func(string, []drainstate.DrainRecord) { got["drains"]++ },
			Replication:   func(string, replication.Message) { got["replication"]++ },
			ReplicaSet:    func(string, replicaset.Message) { got["replica set"]++ },
			OperatorState: func(string, uint64, operatorstate.State) { got["operator state"]++ },
		}
		self, sender := testRecord("a", "127.0.0.1:6"), testRecord("b", "127.0.0.1:7")
		self.State = state
		m := meshWithView(t, host, self, sender)
		for _, message := range []serviceMessage{
			{Drains: []drainstate.DrainRecord{{Worker: "w"}}},
			{Replication: &replication.Message{Kind: replication.Pull}},
			{ReplicaSet: &replicaset.Message{Kind: replicaset.VoterQuery}},
			{OperatorState: &operatorstate.State{}},
		} {
			message.Cluster, message.From = "c", recordToWire(sender)
			text, err := encodeService(message)
			if err != nil {
				t.Fatal(err)
			}
			m.receiveService(text, netip.MustParseAddr("127.0.0.1"))
		}
		want := map[string]int{}
		if state == membership.Alive {
			want = map[string]int{"drains": 1, "replication": 1, "replica set": 1, "operator state": 1}
		}
		if !maps.Equal(got, want) || len(m.dropped.byCause()) > 0 {
			t.Errorf("%v: delivered %v, want %v; dropped %v", state, got, want, m.dropped.byCause())
		}
	}
}
