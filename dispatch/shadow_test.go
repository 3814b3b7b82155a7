package dispatch

import (
	"slices"
	"testing"
)

// Shadow settings must not change any decision. Decisions that would differ under them must be counted.
func TestShadowSettingsOnlyCountDivergence(t *testing.T) {
	run := func(changeShadow func(*Settings)) (all []Decision, counts [ShadowedReport + 1]int) {
		changeSettings := func(s *Settings) { s.Schedulers, s.ConnectionPrice, s.PeerMessages = 12, 0, false }
		d := testDispatcher(12, changeSettings)
		for i := range 12 {
			setIdentity(d, i, uint64(i+1)*0x51ed2701_9b3c1d77, i%2)
		}
		if changeShadow != nil {
			d.SetShadowSettings(testSettings(changeShadow))
		}
		d.EndUpdate()
		for k := range 60 {
			d.AdvanceClock(d.now + 100)
			d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1, AffinityKey: uint64(1 + k%5)})
			probes := pullDecisions(d)
			for _, a := range probes {
				d.AdvanceClock(d.now + 10)
				d.ProbeAnswered(a.Worker, 0, loadWithJobs(0))
			}
			pushes := pullDecisions(d)
			d.AdvanceClock(d.now + 10)
			d.AttemptEnded(0, 0, Succeeded, true)
			all = append(append(append(all, probes...), pushes...), pullDecisions(d)...)
		}
		return all, d.ShadowDivergence()
	}
	withoutShadow, _ := run(nil)
	for name, want := range map[string]struct {
		changeShadow            func(*Settings)
		pair, report, placement bool
	}{
		"equal settings":   {changeShadow: func(*Settings) {}},
		"affinity keys":    {changeShadow: func(s *Settings) { s.AffinityKeys = true }, pair: true},
		"connection price": {changeShadow: func(s *Settings) { s.ConnectionPrice = 0.05 }, pair: true},
		"connection price, peer messages": {changeShadow: func(s *Settings) {
			s.ConnectionPrice, s.PeerMessages = 0.05, true
		}, pair: true, report: true},
		"cross-zone price": {changeShadow: func(s *Settings) {
			s.CrossZonePrice = 0.05
		}, pair: true, placement: true},
	} {
		got, n := run(func(s *Settings) {
			want.changeShadow(s)
			s.Schedulers = 12
		})
		if !slices.Equal(got, withoutShadow) {
			t.Errorf("%s: the shadow settings changed decisions", name)
		}
		if (n[ShadowedPair] > 0) != want.pair || (n[ShadowedReport] > 0) != want.report ||
			want.placement && n[ShadowedPlacement] == 0 {
			t.Errorf("%s: counted %v", name, n)
		}
	}
}
