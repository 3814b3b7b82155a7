package mesh

import (
	"bytes"
	"fmt"
	"path/filepath"
	"reflect"
	"testing"

	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/operatorstate"
	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/testsupport/filled"
	"woaddyke/internal/testsupport/golden"
)

const goldenFolder = "testdata/golden"

// goldenAddress returns an allowed address of a member.
func goldenAddress(number int) string { return fmt.Sprintf("127.0.0.1:%d", 7000+number) }

// goldenMessage returns a membership message with every field set.
func goldenMessage(t *testing.T, kind membership.Kind) membership.Message {
	t.Helper()
	message := filled.Numbered[membership.Message](t)
	message.Kind = kind
	message.From.Addr = goldenAddress(0)
	for i := range message.Records {
		message.Records[i].Addr = goldenAddress(i + 1)
	}
	return message
}

// requireGoldenDatagram fails the test unless the message encodes to the contents of the file and the file
// decodes to the message.
func requireGoldenDatagram(t *testing.T, path string, message membership.Message) {
	t.Helper()
	text, err := encode(message)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, path, text)
	got, err := decode(golden.Read(t, path), testConfig(t).isAllowed)
	if err != nil || !reflect.DeepEqual(got, message) {
		t.Fatalf("got %+v, %v\nwant %+v", got, err, message)
	}
}

// The datagram of each kind of membership message keeps its bytes and decodes to the message.
func TestGoldenDatagrams(t *testing.T) {
	for name, kind := range map[string]membership.Kind{
		"ping":    membership.Ping,
		"ack":     membership.Ack,
		"through": membership.IndirectPing,
		"gossip":  membership.Gossip,
		"ask":     membership.RecordQuery,
		"tell":    membership.RecordReply,
		"duel":    membership.NameConflict,
		"word":    membership.UserMessage,
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(goldenFolder, "datagram_"+name+".bin")
			message := goldenMessage(t, kind)
			requireGoldenDatagram(t, path, message)
		})
	}
}

// The frame of each kind of message that is sent on a stream keeps its bytes and decodes to the message.
func TestGoldenStreamMessages(t *testing.T) {
	for name, kind := range map[string]membership.Kind{
		"digests": membership.Digests,
		"differs": membership.DigestDiff,
		"rest":    membership.DigestDiffReply,
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(goldenFolder, "stream_"+name+".bin")
			message := goldenMessage(t, kind)
			text, err := encode(message)
			if err != nil {
				t.Fatal(err)
			}
			var frame bytes.Buffer
			if err := writeFrame(&frame, text); err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, path, frame.Bytes())
			rest := bytes.NewReader(golden.Read(t, path))
			text, err = readFrame(rest, maxFrameBytesWithoutRecords)
			if err != nil || rest.Len() != 0 {
				t.Fatalf("%d bytes are left after the frame, %v", rest.Len(), err)
			}
			got, err := decode(text, testConfig(t).isAllowed)
			if err != nil || !reflect.DeepEqual(got, message) {
				t.Fatalf("got %+v, %v\nwant %+v", got, err, message)
			}
		})
	}
}

// The state that a process hands over to its successor keeps its bytes and decodes to the same value.
func TestGoldenHandover(t *testing.T) {
	path := filepath.Join(goldenFolder, "legacy.cbor")
	handover := filled.Numbered[membership.HandoverState](t)
	text, err := encodeHandover(handover)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, path, text)
	got, err := decodeHandover(golden.Read(t, path))
	if err != nil || !reflect.DeepEqual(got, handover) {
		t.Fatalf("got %+v, %v\nwant %+v", got, err, handover)
	}
}

// requireGoldenService fails the test unless a service message encodes to the contents of its file and the
// file decodes to the message. The sender of the message has every field set.
func requireGoldenService(t *testing.T, name string, message serviceMessage) {
	t.Helper()
	path := filepath.Join(goldenFolder, "other_"+name+".bin")
	message.Cluster = "cluster"
	message.From = recordToWire(filled.Numbered[membership.MemberRecord](t))
	text, err := encodeService(message)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, path, text)
	got, err := decodeService(golden.Read(t, path))
	if err != nil || !reflect.DeepEqual(got, message) {
		t.Fatalf("got %+v, %v\nwant %+v", got, err, message)
	}
}

// Each kind of replication message keeps its bytes and decodes to the same value.
func TestGoldenReplicationMessages(t *testing.T) {
	for name, kind := range map[string]replication.Kind{
		"grab":       replication.ClaimRequested,
		"granted":    replication.ClaimGranted,
		"refused":    replication.ClaimRefused,
		"tell":       replication.OutcomeReported,
		"known":      replication.OutcomeKnown,
		"register":   replication.Register,
		"registered": replication.Registered,
		"pull":       replication.Pull,
		"piece":      replication.DigestPage,
		"in_force":   replication.SetInForce,
		"fetch":      replication.Fetch,
		"fetched":    replication.Fetched,
		"ended":      replication.ProcessEndReported,
	} {
		t.Run(name, func(t *testing.T) {
			message := filled.Numbered[replication.Message](t)
			message.Kind = kind
			requireGoldenService(t, "copies_"+name, serviceMessage{Replication: &message})
		})
	}
}

// The numbers of the refusal reasons and of the stages of a claim keep their bytes in a message.
func TestGoldenReasonsAndStages(t *testing.T) {
	reasons := map[string]replication.RefusalReason{
		"taken":    replication.AlreadyClaimed,
		"learning": replication.NoVote,
		"epoch":    replication.WrongSet,
		"full":     replication.CapacityReached,
		"stale":    replication.ClaimReleased,
	}
	for name, reason := range reasons {
		t.Run(name, func(t *testing.T) {
			message := replication.Message{Kind: replication.ClaimRefused, Reason: reason}
			requireGoldenService(t, "reason_"+name, serviceMessage{Replication: &message})
		})
	}
	stages := map[string]replication.Stage{
		"claimed":  replication.Claimed,
		"released": replication.Released,
		"given_up": replication.Abandoned,
		"ended":    replication.Ended,
	}
	for name, stage := range stages {
		t.Run(name, func(t *testing.T) {
			record := replication.Record{Key: "key", Outcomes: []replication.Outcome{{Stage: stage}}}
			message := replication.Message{Kind: replication.OutcomeReported, Record: record}
			requireGoldenService(t, "stage_"+name, serviceMessage{Replication: &message})
		})
	}
}

// Each kind of replica set message keeps its bytes and decodes to the same value.
func TestGoldenReplicaSetMessages(t *testing.T) {
	for name, kind := range map[string]replicaset.Kind{
		"seat_asked": replicaset.VoterQuery,
		"seat_said":  replicaset.VoterReply,
		"founded":    replicaset.GroupCreated,
		"joined":     replicaset.GroupAcknowledged,
		"round":      replicaset.RaftMessage,
		"reseat":     replicaset.VoterIDChanged,
		"asked":      replicaset.ChangeRequested,
		"answered":   replicaset.ChangeAnswered,
	} {
		t.Run(name, func(t *testing.T) {
			message := filled.Numbered[replicaset.Message](t)
			message.Kind = kind
			requireGoldenService(t, "keepers_"+name, serviceMessage{ReplicaSet: &message})
		})
	}
}

// The message with drain records is encoded to the same bytes as in earlier builds, including the names of
// its fields, and decodes to the same value.
func TestGoldenDrains(t *testing.T) {
	requireGoldenService(t, "workers", serviceMessage{Drains: filled.Numbered[[]drainstate.DrainRecord](t)})
}

// The message with the operator state of a scheduler keeps its bytes and decodes to the same value.
func TestGoldenOperatorState(t *testing.T) {
	state := filled.Numbered[operatorstate.State](t)
	requireGoldenService(t, "staff", serviceMessage{OperatorState: &state})
}

// The number of each state of a member keeps its bytes in a datagram.
func TestGoldenMemberStates(t *testing.T) {
	for name, state := range map[string]membership.State{
		"joining":    membership.Joining,
		"here":       membership.Alive,
		"doubted":    membership.Suspect,
		"gone":       membership.Dead,
		"left":       membership.Left,
		"superseded": membership.Replaced,
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(goldenFolder, "state_"+name+".bin")
			from := membership.MemberRecord{Addr: goldenAddress(0), State: state}
			message := membership.Message{Kind: membership.Gossip, From: from}
			requireGoldenDatagram(t, path, message)
		})
	}
}

// Each boolean field of a message keeps its own key. Each message sets only one boolean field. If all were
// set, the test would not notice that two fields have exchanged their keys.
func TestGoldenFlags(t *testing.T) {
	withOutcome := func(outcome replication.Outcome) *replication.Message {
		record := replication.Record{Key: "key", Outcomes: []replication.Outcome{outcome}}
		return &replication.Message{Kind: replication.OutcomeReported, Record: record}
	}
	for name, message := range map[string]serviceMessage{
		"voting": {Replication: &replication.Message{Kind: replication.DigestPage, Voting: true}},
		"ready":  {Replication: &replication.Message{Kind: replication.DigestPage, Ready: true}},
		"more":   {Replication: &replication.Message{Kind: replication.DigestPage, More: true}},
		"held":   {Replication: withOutcome(replication.Outcome{ResultRetained: true})},
		"voted":  {Replication: withOutcome(replication.Outcome{Voted: true})},
		"done":   {ReplicaSet: &replicaset.Message{Kind: replicaset.ChangeAnswered, OK: true}},
		"again":  {ReplicaSet: &replicaset.Message{Kind: replicaset.ChangeAnswered, Retryable: true}},
	} {
		t.Run(name, func(t *testing.T) { requireGoldenService(t, "flag_"+name, message) })
	}
}
