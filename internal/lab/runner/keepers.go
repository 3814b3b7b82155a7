package runner

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"woaddyke/internal/lab/workload"
)

const (
	changeEvery = 100 * time.Millisecond
	changeTime  = 10 * time.Second // for a change of keepers whose trouble states no span
)

// changeKeepers has staff ask for other keepers, at whichever scheduler answers, until they stand or the span is over. A change that
// does not come about is no fault of the rig: an experiment says how many it expects.
func (r *run) changeKeepers(t workload.Turn, span time.Duration) error {
	if span == 0 {
		span = changeTime
	}
	var names []string
	for _, n := range t.Targets {
		names = append(names, fmt.Sprintf("n%d", n+1))
	}
	slices.Sort(names) // as the program shows them
	began := time.Now()
	for k := 0; time.Since(began) < span; k++ {
		s := r.schedulers[(k+t.Fault)%len(r.schedulers)]
		if len(t.To) > 0 {
			s = r.schedulers[t.To[k%len(t.To)]]
		}
		var c shownCopies
		if !s.Up() || s.Ask("/api/copies", &c) != nil {
			time.Sleep(changeEvery)
			continue
		}
		if len(c.Before) == 0 && slices.Equal(c.Keepers, names) {
			r.mu.Lock()
			r.changed = append(r.changed, time.Since(began))
			r.mu.Unlock()
			return nil
		}
		if len(c.Before) == 0 {
			q := url.Values{"turn": {fmt.Sprint(c.Turn)}, "keepers": {strings.Join(names, ",")}}
			s.Post("/api/copies/keepers?" + q.Encode())
		}
		time.Sleep(changeEvery)
	}
	return nil
}

// shownCopies is what a scheduler shows of its copies, in the program's published form.
type shownCopies struct {
	Turn    uint64            `json:"turn"`
	Keepers []string          `json:"keepers"`
	Before  []string          `json:"before"`
	Keeper  bool              `json:"keeper"`
	Voting  bool              `json:"voting"`
	Digest  string            `json:"digest"`
	Counts  map[string]uint64 `json:"counts"`
}

const restTime = 5 * time.Second // for keepers that have changed at the last moment, once all troubles are over

// atRest asks all keepers for their copies, once those that are here have had the time to look at one another.
func (r *run) atRest() error {
	if !r.plan.Copies.On {
		return nil
	}
	for limit := time.Now().Add(restTime); ; time.Sleep(changeEvery) {
		digests, turns, unsure, late := []string(nil), map[uint64]bool{}, 0, false
		for _, s := range r.schedulers {
			var c shownCopies
			if err := s.Ask("/api/copies", &c); err != nil {
				return err
			}
			if c.Keeper {
				digests = append(digests, c.Digest)
			}
			turns[c.Turn], late = true, late || len(c.Before) > 0
			unsure += int(c.Counts["unsure"])
		}
		r.digests, r.unsure, r.sets = digests, unsure, len(turns)
		if !late && len(turns) == 1 || time.Now().After(limit) {
			return nil
		}
	}
}

// waitForVotes waits until all keepers have their votes: a cluster that starts has no memory, and holds off. Where keepers change, all
// have to know the agreement's first set.
func (r *run) waitForVotes() error {
	if !r.plan.Copies.On {
		return nil
	}
	for limit := time.Now().Add(votesTime); ; time.Sleep(50 * time.Millisecond) {
		missing := 0
		for _, s := range r.schedulers {
			var c shownCopies
			if s.Ask("/api/copies", &c) != nil || c.Keeper != c.Voting || r.plan.Copies.Agreed && c.Turn == 0 {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("%d schedulers have no vote, or do not know the keepers, after %v", missing, votesTime)
		}
	}
}
