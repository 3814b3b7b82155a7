package dispatch

import (
	"slices"
	"testing"
)

// Shadow settings must not change one decision, and must count those that would differ.
func TestShadowSettingsOnlyCountDivergence(t *testing.T) {
	play := func(other func(*Settings)) (all []Decision, counts [ShadowedReport + 1]int) {
		shape := func(s *Settings) { s.Schedulers, s.ConnectionPrice, s.PeerMessages = 12, 0, false }
		d := fleet(12, shape)
		for i := range 12 {
			identify(d, i, uint64(i+1)*0x51ed2701_9b3c1d77, i%2)
		}
		if other != nil {
			d.SetShadowSettings(testSettings(other))
		}
		d.EndUpdate()
		for k := range 60 {
			d.AdvanceClock(d.now + 100)
			d.AddOp(0, OpSpec{TTL: d.now + 50_000, Slots: 1, AffinityKey: uint64(1 + k%5)})
			asked := decisions(d)
			for _, a := range asked {
				d.AdvanceClock(d.now + 10)
				d.ProbeAnswered(a.Worker, 0, jobs(0))
			}
			sent := decisions(d)
			d.AdvanceClock(d.now + 10)
			d.AttemptEnded(0, 0, Succeeded, true)
			all = append(append(append(all, asked...), sent...), decisions(d)...)
		}
		return all, d.ShadowDivergence()
	}
	plain, _ := play(nil)
	for name, c := range map[string]struct {
		other               func(*Settings)
		asked, told, chosen bool
	}{
		"the same":            {other: func(*Settings) {}},
		"keys":                {other: func(s *Settings) { s.AffinityKeys = true }, asked: true},
		"connections":         {other: func(s *Settings) { s.ConnectionPrice = 0.05 }, asked: true},
		"connections, peers":  {other: func(s *Settings) { s.ConnectionPrice, s.PeerMessages = 0.05, true }, asked: true, told: true},
		"crossings that cost": {other: func(s *Settings) { s.CrossZonePrice = 0.05 }, asked: true, chosen: true},
	} {
		got, n := play(func(s *Settings) {
			c.other(s)
			s.Schedulers = 12
		})
		if !slices.Equal(got, plain) {
			t.Errorf("%s: the watch changed decisions", name)
		}
		if (n[ShadowedPair] > 0) != c.asked || (n[ShadowedReport] > 0) != c.told || c.chosen && n[ShadowedPlacement] == 0 {
			t.Errorf("%s: counted %v", name, n)
		}
	}
}
