package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A scheduler that starts on half a configuration breaks rules later instead of saying so now.
func TestABrokenSheetIsNamed(t *testing.T) {
	const whole = `{"listen":"a:1","discovery":"a:2","seed":"ff","settings":{"categories":[{"ttlNs":5}]}}`
	for text, want := range map[string]string{
		"": "unexpected end", "[]": "cannot unmarshal", `{"seed":"x"}`: "seed",
		strings.Replace(whole, "a:1", "", 1):                           "listen: is missing",
		strings.Replace(whole, "a:2", "", 1):                           "discovery: is missing",
		strings.Replace(whole, "ttlNs", "ttl_us", 1):                   "settings.categories.0.ttlNs: is missing",
		strings.Replace(whole, `{"l`, `{"limits":{"sockets":3},"l`, 1): "limits.sockets: must be at least 64, got 3",
		whole: "",
	} {
		path := filepath.Join(t.TempDir(), "sheet")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := ReadBootstrap(path)
		if want == "" && (err != nil || s.SeedValue != 255) ||
			want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
	}
	if _, err := ReadBootstrap(""); err == nil {
		t.Error("no file, and no error")
	}
}

// Where many schedulers share a fleet each meets a worker too seldom to learn its speed: without the
// kinds of machines slow ones were given as much as fast ones. The simulator's wire has always told them
// apart.
func TestKindsAreToldApartUnlessSaidOtherwise(t *testing.T) {
	for more, want := range map[string]bool{"": true, `"kinds":true,`: true, `"kinds":false,`: false} {
		path := filepath.Join(t.TempDir(), "sheet")
		text := `{` + more + `"listen":"a:1","discovery":"a:2","seed":"ff","settings":{"categories":[{"ttlNs":5}]}}`
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if s, err := ReadBootstrap(path); err != nil || s.Settings["kinds"] != want {
			t.Errorf("%s: %v, %v", more, s, err)
		}
	}
}

// Half a move is worse than none: each slip in what a new shape needs must be named before the first op.
func TestASlipInTheShapeIsNamed(t *testing.T) {
	sheet := func(settings, more string) (*Bootstrap, error) {
		path := filepath.Join(t.TempDir(), "sheet")
		text := `{"listen":"a:1","discovery":"a:2","seed":"ff",` + more + `"settings":{` + settings +
			`"categories":[{"ttlNs":5}]}}`
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return ReadBootstrap(path)
	}
	const all = `"instances":3,"myNumber":1,"bounds":{"peerMessages":true},`
	for _, c := range [][3]string{
		{"", "", ""},
		{`"instances":3,"myNumber":3,`, "", "myNumber"},
		{`"instances":2.5,`, "", "instances"},
		{`"instances":1e9,`, "", "instances"},
		{`"prices":{"connection":-1},`, "", "prices.connection"},
		{`"prices":{"connection":"much"},`, "", "prices.connection"},
		{`"bounds":{"peerMessages":1},`, "", "bounds.peerMessages"},
		{"", `"keys":{"fact":"routeKey"},`, ""},
		{"", `"keys":{"fact":""},`, "keys"},
		{"", `"keys":{"fact":"slots"},`, "keys"},
		{"", `"keys":{"fcat":"routeKey"},`, "fcat"},
		{all, `"peers":{"listen":"127.0.0.1:0","others":{"0":"127.0.0.1:7"}},`, ""},
		{"", `"peers":{"listen":"127.0.0.1:0"},`, "do not allow messages"},
		{all, `"peers":{"listen":"here"},`, "listen"},
		{all, `"peers":{"listen":"127.0.0.1:0","others":{"3":"127.0.0.1:7"}},`, "peers.others.3: must be the number of a scheduler below 3"},
		{all, `"peers":{"listen":"127.0.0.1:0","others":{"2":"there"}},`, "peers.others.2: must be an IP address with a port"},
		{"", `"watch":{"settings":{"prices":{"connection":0.05}},"keys":{"fact":"routeKey"}},`, ""},
		{"", `"watch":{"settings":{"prices":{"connection":-5}}},`, "watch.settings.prices.connection: must be"},
		{"", `"watch":{"keys":{"fact":"memory"}},`, "watch.keys.fact: must be"},
		{"", `"keys":{"fact":"a"},"watch":{"keys":{"fact":"b"}},`, "already"},
	} {
		if _, err := sheet(c[0], c[1]); c[2] == "" && err != nil ||
			c[2] != "" && (err == nil || !strings.Contains(err.Error(), c[2])) {
			t.Errorf("%s %s: error %v, want %q", c[0], c[1], err, c[2])
		}
	}
	// Where no others are named the module would take their silence for idle workers.
	if s, err := sheet(all, ""); err != nil || s.Settings["bounds.peerMessages"] != false || s.Settings["keys"] != false {
		t.Errorf("%v, %v: messages and keys are off by default", s, err)
	}
	named, err := sheet(all, `"peers":{"listen":"127.0.0.1:9","others":{"0":"127.0.0.1:7"}},`)
	if err != nil || named.Peers.ListenAddr.String() != "127.0.0.1:9" || named.Peers.ByNumber[0].String() != "127.0.0.1:7" {
		t.Errorf("%+v, %v: the addresses must be those of the file", named, err)
	}
	s, err := sheet(all, `"watch":{"keys":{"fact":"k"},"settings":{"prices":{"connection":0.05}}},`)
	if err != nil || s.ShadowSettings["prices.connection"] != 0.05 || s.Settings["prices.connection"] != nil ||
		s.ShadowSettings["keys"] != true || s.Settings["keys"] != false || s.AffinityFact != "k" {
		t.Errorf("%+v, %v: the watch's settings must stay apart", s, err)
	}
}
