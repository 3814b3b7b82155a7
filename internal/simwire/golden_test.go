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

// readConversation returns the recorded input of three schedulers in a small simulation of five workers in
// three zones. The simulator answered the decisions of an earlier build. The input has workers that drain,
// disappear, restart or stop answering, attempts with every outcome, reports, messages between schedulers
// with losses, clients that disconnect, a burst, and a scheduler that ends and restarts.
func readConversation(t *testing.T) []byte {
	t.Helper()
	in, err := os.ReadFile(conversation)
	if err != nil {
		t.Fatal(err)
	}
	return in
}

// The recorded conversation must get the same replies, byte for byte: a changed decision changes the file.
func TestRepliesToARecordedConversationAreStable(t *testing.T) {
	var out bytes.Buffer
	if err := Serve(bytes.NewReader(readConversation(t)), &out); err != nil {
		t.Fatal(err)
	}
	if want, err := os.ReadFile(replies); err == nil && os.Getenv("UPDATE_GOLDEN") != "1" {
		reportFirstDifference(t, out.Bytes(), want)
	}
	golden.Compare(t, replies, out.Bytes())
}

// reportFirstDifference ends the test at the first reply that differs, because the comparison of the files
// does not show where they differ.
func reportFirstDifference(t *testing.T, got, want []byte) {
	t.Helper()
	gotReplies, wantReplies := bytes.SplitAfter(got, []byte("\n")), bytes.SplitAfter(want, []byte("\n"))
	for i := range min(len(gotReplies), len(wantReplies)) {
		if !bytes.Equal(gotReplies[i], wantReplies[i]) {
			t.Fatalf("reply %d differs\n got: %s\nwant: %s", i+1, gotReplies[i], wantReplies[i])
		}
	}
}

// The recorded conversation must contain every kind of input and every kind of decision, because the
// comparison of the replies guards only the kinds that occur in it.
func TestTheConversationCoversEveryInputAndDecision(t *testing.T) {
	inputs, outcomes, scopes := map[string]int{}, map[int]int{}, map[string]int{}
	for line := range bytes.Lines(readConversation(t)) {
		var b struct {
			Groups []struct{ Items []item }
		}
		if err := json.Unmarshal(line, &b); err != nil {
			t.Fatal(err)
		}
		for _, group := range b.Groups {
			for _, input := range group.Items {
				inputs[input.M]++
				switch input.M {
				case "Settled":
					outcomes[input.OutcomeCode]++
				case "Topology":
					scopes[input.Scope]++
				}
			}
		}
	}
	for name, minCount := range map[string]int{"PowerOn": 4, "Topology": 20, "WorkItem": 100, "Settled": 100, "UpdateOf": 100, "Dropped": 5,
		"Message": 100, "StatusBack": 100, "TickDue": 100, "Exit": 4, "LaterKind": 1} {
		if inputs[name] < minCount {
			t.Errorf("input %s occurs %d times, want at least %d", name, inputs[name], minCount)
		}
	}
	for _, code := range []int{10, 20, 30, 40, 50, 60, 70, 80, 99} {
		if outcomes[code] == 0 {
			t.Errorf("no push ends with %d", code)
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
	for verb, minCount := range map[string]int{"Send": 100, "Retract": 3, "Test": 100, "WritePeer": 100, "Decline": 20, "Surrender": 5, "WakeAt": 100} {
		if n := bytes.Count(out, []byte(`{"m":"`+verb+`"`)); n < minCount {
			t.Errorf("decision %s occurs %d times, want at least %d", verb, n, minCount)
		}
	}
}
