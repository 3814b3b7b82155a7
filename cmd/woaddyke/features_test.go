package main

import (
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"woaddyke/internal/config"
)

// The example in deploy/ must be a valid features file that states the defaults.
func TestTheExampleFeaturesFileIsValid(t *testing.T) {
	bootstrap := &config.Bootstrap{Name: "n1", Limits: config.Limits{Descriptors: 1024}, Settings: map[string]any{}}
	o, err := readFeatures("../../deploy/operator.toml", bootstrap)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	var bare []string // the keys without a default
	for _, row := range strings.Split(string(text), "\n") {
		key, _, _ := strings.Cut(row, " = ")
		if strings.HasPrefix(row, "[") || key == "cluster" || key == "listen" || key == "seeds" || key == "keepers" {
			bare = append(bare, row)
		}
	}
	path := filepath.Join(t.TempDir(), "bare.toml")
	os.WriteFile(path, []byte(strings.Join(bare, "\n")), 0o600)
	b, err := readFeatures(path, bootstrap)
	if err != nil {
		t.Fatal(err)
	}
	x, y := *o.Members, *b.Members
	if x.ProbeInterval != y.ProbeInterval || x.ProbeTimeout != y.ProbeTimeout || x.MinSuspicion != y.MinSuspicion || x.MaxSuspicion != y.MaxSuspicion || x.PushPullInterval != y.PushPullInterval ||
		x.JoinInterval != y.JoinInterval || x.DeadRetention != y.DeadRetention || x.MaxMembers != y.MaxMembers || x.WhenReplaced != y.WhenReplaced || x.CarryPeerMessages != y.CarryPeerMessages || x.ShareDrains != y.ShareDrains {
		t.Errorf("the example states %+v, the defaults are %+v", x, y)
	}
	k, l := *o.Copies, *b.Copies
	k.Replicas, l.Replicas = nil, nil
	if !reflect.DeepEqual(k, l) {
		t.Errorf("the example states %+v, the defaults are %+v", k, l)
	}
	for _, bad := range []string{"[copies]\nkeepers=[\"a\"]\n", "[members]\ncluster=\"a\"\nlisten=\"127.0.0.1:1\"\n[copies]\nkeepers=[\"a\",\"b\"]\n",
		"[members]\ncluster=\"a\"\nlisten=\"127.0.0.1:1\"\n[copies]\nkeepers=[\"a\"]\nresult_bytes=99999\n",
		"[members]\ncluster=\"a\"\n", "[members]\ncluster=\"a\"\nlisten=\"10.0.0.1:1\"\n",
		"[members]\ncluster=\"a\"\nlisten=\"127.0.0.1:1\"\nsuperseded=\"fight\"\n", "[members]\ncluster=\"a\"\nlisten=\"127.0.0.1:1\"\nwords=true\n",
		"[members]\ncluster=\"a\"\nlisten=\"127.0.0.1:1\"\nmost=1\n", "[members]\ncluster=\"a\"\nlisten=\"127.0.0.1:1\"\nseeds=[\"x\"]\n",
		copiesPreamble + "keepers=[\"a\",\"b\"]\n", copiesPreamble + "keepers=[\"a\"]\nagreed=true\nreplace_after=\"20s\"\n",
		copiesPreamble + "keepers=[\"a\"]\nspares=[\"b\"]\n", copiesPreamble + "keepers=[\"a\"]\njoin=\"2h\"\n", copiesPreamble + "keepers=[\"a\"]\ncatch_up=1\n",
		copiesPreamble + "keepers=[\"" + bootstrap.Name + "\"]\nagreed=true\n"} {
		os.WriteFile(path, []byte(bad), 0o600)
		if _, err := readFeatures(path, bootstrap); err == nil || strings.Count(err.Error(), "\n") > 0 || !strings.Contains(err.Error(), "bare.toml:") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

const copiesPreamble = "[members]\ncluster=\"a\"\nlisten=\"127.0.0.1:1\"\n[copies]\n"

// Without a features file membership must cost nothing: the simulator and the platform run without it.
func TestNoMeshRunsWithoutAFeaturesFile(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	runs := func(o featureTables) (mesh bool) {
		p := newProcess(t, "127.0.0.1:0")
		p.features, p.bootstrap.Name, p.log, p.stop = o, "n1", zerolog.Nop(), func() {}
		at, err := p.openServer()
		if err != nil {
			t.Fatal(err)
		}
		stop, ended := p.serve(at)
		<-p.server.Ready()
		stack := make([]byte, 1<<20)
		mesh = strings.Contains(string(stack[:runtime.Stack(stack, true)]), "woaddyke/internal/cluster/mesh")
		if stop(); p.mesh != nil { // its sockets and timers must be closed
			p.operatorBoard.close()
			p.mesh.Close()
			mesh = true
		}
		<-ended
		return mesh
	}
	o, err := readFeatures("", &config.Bootstrap{})
	if err != nil || o.Members != nil {
		t.Fatalf("%+v, %v", o, err)
	}
	if runs(*o) {
		t.Error("the mesh runs without a features file")
	}
	path := filepath.Join(t.TempDir(), "on.toml")
	os.WriteFile(path, []byte("[members]\ncluster=\"a\"\nlisten=\"127.0.0.1:0\"\n"), 0o600)
	if o, err = readFeatures(path, &config.Bootstrap{Name: "n1", Limits: config.Limits{Descriptors: 1024}, Settings: map[string]any{}}); err != nil {
		t.Fatal(err)
	}
	if !runs(*o) {
		t.Error("the test does not detect a running mesh")
	}
}

// The streams of a member and its file of records need descriptors in addition to the connections. With the
// minimum number of descriptors of a scheduler they once used those of the watch and of operators.
func TestAMemberNeedsMoreDescriptors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "on.toml")
	if err := os.WriteFile(path, []byte("[members]\ncluster = \"c\"\nlisten = \"127.0.0.1:7\"\n[copies]\nkeepers = [\"a\", \"b\", \"c\"]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, sockets := range []int{64, 99, 100} {
		_, err := readFeatures(path, &config.Bootstrap{Name: "n1", Limits: config.Limits{Descriptors: sockets}, Settings: map[string]any{}})
		if enough := sockets == 100; (err == nil) != enough || !enough && !strings.Contains(err.Error(), "100 at least") {
			t.Errorf("%d: %v", sockets, err)
		}
	}
}
