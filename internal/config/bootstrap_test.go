package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// readText reads a bootstrap configuration from a file with this text.
func readText(t testing.TB, text string) (*Bootstrap, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return ReadBootstrap(path)
}

// requireError checks that an error contains a text, or that there is no error if the text is empty.
func requireError(t *testing.T, err error, want string) {
	t.Helper()
	if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
		t.Errorf("error %v, want %q", err, want)
	}
}

// An incomplete or invalid file is rejected with the reason. Otherwise the scheduler would start and break
// rules later.
func TestABrokenConfigurationIsRejectedWithItsReason(t *testing.T) {
	const complete = `{"listen":"a:1","discovery":"a:2","seed":"ff","settings":{"categories":[{"ttlNs":5}]}}`
	replaced := func(old, with string) string { return strings.Replace(complete, old, with, 1) }
	for name, c := range map[string]struct{ text, want string }{
		"complete":        {complete, ""},
		"empty":           {"", "unexpected end"},
		"a list":          {"[]", "cannot unmarshal"},
		"seed":            {`{"seed":"x"}`, `seed: must be a hexadecimal number of at most 64 bits, got "x"`},
		"no listen":       {replaced("a:1", ""), "listen: is missing"},
		"no discovery":    {replaced("a:2", ""), "discovery: is missing"},
		"no category":     {replaced("ttlNs", "ttl_us"), "settings.categories.0.ttlNs: is missing"},
		"few descriptors": {replaced(`{"l`, `{"limits":{"sockets":3},"l`), "limits.sockets: must be at least 64, got 3"},
		"little memory":   {replaced(`{"l`, `{"limits":{"memory_mb":31},"l`), "limits.memory_mb: must be at least 32, got 31"},
		"no processor":    {replaced(`{"l`, `{"limits":{"cores":0},"l`), "limits.cores: must be above 0, got 0"},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := readText(t, c.text)
			requireError(t, err, c.want)
			if c.want == "" && s.SeedValue != 255 {
				t.Errorf("seed %d, want 255", s.SeedValue)
			}
		})
	}
	if _, err := ReadBootstrap(""); !errors.Is(err, ErrNoPath) {
		t.Errorf("no path: %v", err)
	}
	if _, err := ReadBootstrap(filepath.Join(t.TempDir(), "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no file: %v", err)
	}
}

// All invalid keys are reported in one error, so that they can be corrected together.
func TestAllInvalidKeysAreReportedTogether(t *testing.T) {
	_, err := readText(t, `{"seed":"ff","limits":{"sockets":3,"memory_mb":1}}`)
	for _, key := range []string{"listen", "discovery", "settings.categories.0.ttlNs", "limits.sockets", "limits.memory_mb"} {
		requireError(t, err, key+": ")
	}
}

// Speeds are learned by kind of machine, unless the file turns this off. Where many schedulers share a fleet,
// each sends too few ops to a worker to learn that worker's speed. Without speeds by kind of machine, slow
// workers would get as much work as fast workers. The simulator's wire format has always distinguished the
// kinds.
func TestMachineKindsAreOnByDefault(t *testing.T) {
	for option, want := range map[string]bool{"": true, `"kinds":true,`: true, `"kinds":false,`: false} {
		text := `{` + option + `"listen":"a:1","discovery":"a:2","seed":"ff","settings":{"categories":[{"ttlNs":5}]}}`
		if s, err := readText(t, text); err != nil || s.Settings[KeyMachineKinds] != want {
			t.Errorf("%s: %v, %v", option, s, err)
		}
	}
}

// readDeployment reads a configuration with further settings and options.
func readDeployment(t *testing.T, settings, options string) (*Bootstrap, error) {
	t.Helper()
	return readText(t, `{"listen":"a:1","discovery":"a:2","seed":"ff",`+options+
		`"settings":{`+settings+`"categories":[{"ttlNs":5}]}}`)
}

// threeSchedulers are settings that allow peer reports.
const threeSchedulers = `"instances":3,"myNumber":1,"bounds":{"peerMessages":true},`

// An invalid option must be rejected at the start, before the first op. An option that is only partly in
// force is worse than none.
func TestInvalidOptionsAreRejectedWithTheirKey(t *testing.T) {
	for name, c := range map[string]struct{ settings, options, want string }{
		"none": {"", "", ""},
		"number": {`"instances":3,"myNumber":3,`, "",
			"settings.myNumber: must be below the number of schedulers, 3, got 3"},
		"fraction of a scheduler": {`"instances":2.5,`, "",
			"settings.instances: must be a whole number from 1 to 4096, got 2.5"},
		"too many schedulers": {`"instances":1e9,`, "",
			"settings.instances: must be a number from 1 to 4096, got 1e+09"},
		"price": {`"prices":{"connection":-1},`, "",
			"settings.prices.connection: must be a number from 0 to 1000, got -1"},
		"price in words": {`"prices":{"connection":"much"},`, "",
			`settings.prices.connection: must be a number from 0 to 1000, got "much"`},
		"messages": {`"bounds":{"peerMessages":1},`, "",
			"settings.bounds.peerMessages: must be true or false, got 1"},
		"keys":          {"", `"keys":{"fact":"routeKey"},`, ""},
		"empty fact":    {"", `"keys":{"fact":""},`, `keys.fact: must be a fact that names an affinity key, neither empty nor "slots" nor "memory", got ""`},
		"reserved fact": {"", `"keys":{"fact":"slots"},`, `keys.fact: must be a fact that names an affinity key, neither empty nor "slots" nor "memory", got "slots"`},
		"unknown key":   {"", `"keys":{"fcat":"routeKey"},`, `keys: json: unknown field "fcat"`},
		"peers":         {threeSchedulers, `"peers":{"listen":"127.0.0.1:0","others":{"0":"127.0.0.1:7"}},`, ""},
		"peers without messages": {"", `"peers":{"listen":"127.0.0.1:0"},`,
			"peers: the settings do not allow messages"},
		"listen": {threeSchedulers, `"peers":{"listen":"here"},`,
			`peers.listen: must be an IP address with a port, got "here"`},
		"other's number": {threeSchedulers, `"peers":{"listen":"127.0.0.1:0","others":{"3":"127.0.0.1:7"}},`,
			"peers.others.3: must be the number of a scheduler below 3"},
		"other's address": {threeSchedulers, `"peers":{"listen":"127.0.0.1:0","others":{"2":"there"}},`,
			`peers.others.2: must be an IP address with a port, got "there"`},
		"shadow": {"", `"watch":{"settings":{"prices":{"connection":0.05}},"keys":{"fact":"routeKey"}},`, ""},
		"shadow price": {"", `"watch":{"settings":{"prices":{"connection":-5}}},`,
			"watch.settings.prices.connection: must be a number from 0 to 1000, got -5"},
		"shadow fact": {"", `"watch":{"keys":{"fact":"memory"}},`,
			`watch.keys.fact: must be a fact that names an affinity key, neither empty nor "slots" nor "memory", got "memory"`},
		"two facts": {"", `"keys":{"fact":"a"},"watch":{"keys":{"fact":"b"}},`,
			`watch.keys.fact: must be "a", from which keys are read already, got "b"`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := readDeployment(t, c.settings, c.options)
			requireError(t, err, c.want)
			var configErr *ConfigError
			if c.want != "" && !errors.As(err, &configErr) {
				t.Errorf("error %v does not wrap a *ConfigError", err)
			}
		})
	}
}

// Without peers, peer reports must be off: decisions would treat missing reports as idle workers.
func TestOptionsAreOffByDefault(t *testing.T) {
	s, err := readDeployment(t, threeSchedulers, "")
	if err != nil || s.Settings[KeyPeerMessages] != false || s.Settings[KeyAffinity] != false {
		t.Errorf("%v, %v: peer reports and affinity keys must be off by default", s, err)
	}
}

func TestPeerAddressesAreParsed(t *testing.T) {
	s, err := readDeployment(t, threeSchedulers, `"peers":{"listen":"127.0.0.1:9","others":{"0":"127.0.0.1:7"}},`)
	if err != nil {
		t.Fatal(err)
	}
	if s.Peers.ListenAddr.String() != "127.0.0.1:9" || s.Peers.ByNumber[0].String() != "127.0.0.1:7" {
		t.Errorf("%+v: the addresses must be those of the file", s.Peers)
	}
}

// The shadow settings must not change the decisions that are in force.
func TestShadowSettingsDoNotChangeTheSettingsInForce(t *testing.T) {
	s, err := readDeployment(t, threeSchedulers,
		`"watch":{"keys":{"fact":"k"},"settings":{"prices":{"connection":0.05}}},`)
	if err != nil {
		t.Fatal(err)
	}
	if s.ShadowSettings[KeyConnectionPrice] != 0.05 || s.Settings[KeyConnectionPrice] != nil {
		t.Errorf("prices %v, shadow %v", s.Settings[KeyConnectionPrice], s.ShadowSettings[KeyConnectionPrice])
	}
	if s.ShadowSettings[KeyAffinity] != true || s.Settings[KeyAffinity] != false || s.AffinityFact != "k" {
		t.Errorf("keys %v, shadow %v, fact %q", s.Settings[KeyAffinity], s.ShadowSettings[KeyAffinity], s.AffinityFact)
	}
}

// Peer reports over the mesh are turned on only if the settings allow peer reports and the bootstrap
// configuration has no addresses of peers.
func TestPeerReportsOverTheMeshNeedTheSettingAndNoAddresses(t *testing.T) {
	peers := `"peers":{"listen":"127.0.0.1:0","others":{"0":"127.0.0.1:7"}},`
	for name, c := range map[string]struct {
		settings, options string
		want              error
	}{
		"allowed":     {threeSchedulers, "", nil},
		"not allowed": {"", "", ErrPeerMessagesDisabled},
		"addresses":   {threeSchedulers, peers, ErrPeersConfigured},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := readDeployment(t, c.settings, c.options)
			if err != nil {
				t.Fatal(err)
			}
			if err := s.AllowPeerMessages(); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			if c.want == nil && s.Settings[KeyPeerMessages] != true {
				t.Error("peer reports are off, want on")
			}
		})
	}
}
