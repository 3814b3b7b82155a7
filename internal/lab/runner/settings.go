package runner

import (
	"fmt"
	"time"

	"woaddyke/internal/lab/report"
	"woaddyke/internal/lab/workload"
)

const (
	forceEvery = 10 * time.Millisecond
	forceTime  = 15 * time.Second // within which a change has to be in force
)

// settingsOf is the hash of the settings that a scheduler runs by, as its staff see it.
func (r *run) settingsOf(n int) (string, error) {
	var shown struct{ Settings string }
	err := r.schedulers[n].Ask("/api/staff", &shown)
	return shown.Settings, err
}

// changeSettings has schedulers take a change of their settings, all at once as staff's hand would, and finds out when it is in force at
// each. One that does not run at that moment, or ends meanwhile, is left out: it reads the new sheet when it starts.
func (r *run) changeSettings(t workload.Turn) {
	began := time.Now()
	took := make(chan time.Duration, len(t.Targets))
	asked := 0
	for _, n := range t.Targets {
		before, err := r.settingsOf(n)
		if err != nil || !r.schedulers[n].Up() {
			continue
		}
		asked++
		r.beside(func() error {
			pid := r.schedulers[n].PID()
			if err := r.schedulers[n].Change(int(t.Size)); err != nil {
				took <- -1
				return fmt.Errorf("settings: %w", err)
			}
			from := time.Now()
			for time.Since(from) < forceTime && r.schedulers[n].PID() == pid {
				if now, err := r.settingsOf(n); err == nil && now != before {
					took <- time.Since(from)
					return nil
				}
				time.Sleep(forceEvery)
			}
			if r.schedulers[n].PID() != pid {
				took <- -1
				return nil
			}
			took <- forceTime
			return nil
		})
	}
	r.beside(func() error {
		f := report.InForce{At: r.book.Moment(began)}
		for range asked {
			switch d := <-took; {
			case d >= forceTime:
				f.Missing++
			case d >= 0:
				f.Took = append(f.Took, d)
			}
		}
		r.mu.Lock()
		r.forced = append(r.forced, f)
		r.mu.Unlock()
		return nil
	})
}
