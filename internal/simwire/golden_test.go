package simwire

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"woaddyke/internal/testsupport/golden"
)

const (
	conversation = "testdata/conversation.jsonl"
	replies      = "testdata/replies.golden"
)

// recorded is what three schedulers read of a small bench of five workers in three zones. The bench answered what an earlier build
// decided: workers that drain, go, restart or fall silent, pushes that end in each way, reports, words between schedulers of which some
// were lost, clients that leave, a burst, a scheduler that ends and comes back.
func recorded(t *testing.T) []byte {
	t.Helper()
	in, err := os.ReadFile(conversation)
	if err != nil {
		t.Fatal(err)
	}
	return in
}

// The same conversation gets the same replies, to the byte: a decision that has changed changes the file.
func TestTheRepliesToARecordedConversationStay(t *testing.T) {
	var out bytes.Buffer
	if err := Serve(bytes.NewReader(recorded(t)), &out); err != nil {
		t.Fatal(err)
	}
	if want, err := os.ReadFile(replies); err == nil && os.Getenv("UPDATE_GOLDEN") != "1" {
		reportFirstDifference(t, out.Bytes(), want)
	}
	golden.Compare(t, replies, out.Bytes())
}

// reportFirstDifference ends the test at the first reply that differs: of the whole file one would not see where.
func reportFirstDifference(t *testing.T, got, want []byte) {
	t.Helper()
	gotReplies, wantReplies := bytes.SplitAfter(got, []byte("\n")), bytes.SplitAfter(want, []byte("\n"))
	for i := range min(len(gotReplies), len(wantReplies)) {
		if !bytes.Equal(gotReplies[i], wantReplies[i]) {
			t.Fatalf("reply %d differs\n got: %s\nwant: %s", i+1, gotReplies[i], wantReplies[i])
		}
	}
}

// The conversation guards only what it reaches: every kind of input and every kind of decision.
func TestTheRecordedConversationReachesMost(t *testing.T) {
	inputs, outcomes, scopes := map[string]int{}, map[int]int{}, map[string]int{}
	for line := range bytes.Lines(recorded(t)) {
		var b struct {
			Groups []struct{ Items []item }
		}
		if err := json.Unmarshal(line, &b); err != nil {
			t.Fatal(err)
		}
		for _, group := range b.Groups {
			for _, one := range group.Items {
				inputs[one.M]++
				switch one.M {
				case "Settled":
					outcomes[one.How]++
				case "Topology":
					scopes[one.Scope]++
				}
			}
		}
	}
	for name, least := range map[string]int{"PowerOn": 4, "Topology": 20, "WorkItem": 100, "Settled": 100, "UpdateOf": 100, "Dropped": 5,
		"Message": 100, "StatusBack": 100, "TickDue": 100, "Exit": 4, "LaterKind": 1} {
		if inputs[name] < least {
			t.Errorf("input %s comes %d times, want %d", name, inputs[name], least)
		}
	}
	for _, how := range []int{10, 20, 30, 40, 50, 60, 70, 80, 99} {
		if outcomes[how] == 0 {
			t.Errorf("no push ends with %d", how)
		}
	}
	for _, scope := range []string{"remembered", "all", "changes", "refused"} {
		if scopes[scope] == 0 {
			t.Errorf("no list of scope %s", scope)
		}
	}
	out, err := os.ReadFile(replies)
	if err != nil {
		t.Fatal(err)
	}
	for verb, least := range map[string]int{"Send": 100, "Retract": 3, "Test": 100, "WritePeer": 100, "Decline": 20, "Surrender": 5, "WakeAt": 100} {
		if n := bytes.Count(out, []byte(`{"m":"`+verb+`"`)); n < least {
			t.Errorf("%s is decided %d times, want %d", verb, n, least)
		}
	}
}
