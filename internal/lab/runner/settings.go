package runner

import (
	"fmt"
	"time"

	"woaddyke/internal/lab/report"
	"woaddyke/internal/lab/workload"
)

const (
	settingsPollInterval = 10 * time.Millisecond
	settingsTimeout      = 15 * time.Second // for a change to be in force
)

// settingsHash returns the hash of the settings that a scheduler uses, from its console.
func (r *run) settingsHash(n int) (string, error) {
	var status struct{ Settings string }
	err := r.schedulers[n].GetAPI("/api/staff", &status)
	return status.Settings, err
}

// changeSettings changes the settings of the targets at the same time, as an operator would, and measures
// when the change is in force at each of them. A scheduler that isn't running, or exits meanwhile, doesn't
// count: it reads the new configuration when it starts.
func (r *run) changeSettings(t workload.FaultEvent) {
	begin := time.Now()
	took := make(chan time.Duration, len(t.Targets))
	pending := 0
	for _, n := range t.Targets {
		before, err := r.settingsHash(n)
		if err != nil || !r.schedulers[n].Up() {
			continue
		}
		pending++
		r.inBackground(func() error {
			pid := r.schedulers[n].PID()
			if err := r.schedulers[n].ChangeSettings(int(t.Magnitude)); err != nil {
				took <- -1 // not counted
				return fmt.Errorf("change of settings: %w", err)
			}
			sent := time.Now()
			for time.Since(sent) < settingsTimeout && r.schedulers[n].PID() == pid {
				if now, err := r.settingsHash(n); err == nil && now != before {
					took <- time.Since(sent)
					return nil
				}
				time.Sleep(settingsPollInterval)
			}
			if r.schedulers[n].PID() != pid {
				took <- -1 // not counted
				return nil
			}
			took <- settingsTimeout
			return nil
		})
	}
	r.inBackground(func() error {
		change := report.SettingsChange{At: r.ledger.FromTime(begin)}
		for range pending {
			switch d := <-took; {
			case d >= settingsTimeout:
				change.Missing++
			case d >= 0:
				change.Took = append(change.Took, d)
			}
		}
		r.mu.Lock()
		r.settingsChanges = append(r.settingsChanges, change)
		r.mu.Unlock()
		return nil
	})
}
