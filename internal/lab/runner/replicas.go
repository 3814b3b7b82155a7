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
	pollInterval         = 100 * time.Millisecond
	replicaChangeTimeout = 10 * time.Second // for a change of the replica set without for_s
)

// changeReplicas requests another replica set at the console of a scheduler that answers, as an operator
// would. It repeats the request until the set is in force or the timeout is over. A change that doesn't
// succeed is no error here: the experiment bounds the number of changes that it expects.
func (r *run) changeReplicas(t workload.FaultEvent, timeout time.Duration) error {
	if timeout == 0 {
		timeout = replicaChangeTimeout
	}
	var names []string
	for _, n := range t.Targets {
		names = append(names, fmt.Sprintf("n%d", n+1))
	}
	slices.Sort(names) // the console lists them in this order
	begin := time.Now()
	for k := 0; time.Since(begin) < timeout; k++ {
		s := r.schedulers[(k+t.FaultID)%len(r.schedulers)]
		if len(t.To) > 0 {
			s = r.schedulers[t.To[k%len(t.To)]]
		}
		var c copiesStatus
		if !s.Up() || s.GetAPI("/api/copies", &c) != nil {
			time.Sleep(pollInterval)
			continue
		}
		if len(c.Previous) == 0 && slices.Equal(c.Replicas, names) {
			r.mu.Lock()
			r.replicaChanges = append(r.replicaChanges, time.Since(begin))
			r.mu.Unlock()
			return nil
		}
		if len(c.Previous) == 0 {
			q := url.Values{"turn": {fmt.Sprint(c.Epoch)}, "keepers": {strings.Join(names, ",")}}
			s.Post("/api/copies/keepers?" + q.Encode())
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// copiesStatus is the part of the response of /api/copies that the lab uses.
type copiesStatus struct {
	Epoch     uint64            `json:"turn"`
	Replicas  []string          `json:"keepers"`
	Previous  []string          `json:"before"`
	IsReplica bool              `json:"keeper"`
	IsVoter   bool              `json:"voting"`
	Digest    string            `json:"digest"`
	Counts    map[string]uint64 `json:"counts"`
}

// replicaSettleTimeout is the time after the last fault for a change of the replica set to finish.
const replicaSettleTimeout = 5 * time.Second

// awaitReplicaSet waits until all schedulers use one replica set and no change is in progress, for at most
// replicaSettleTimeout. It then records the digests of the replicas and other counts for the results.
func (r *run) awaitReplicaSet() error {
	if !r.experiment.Replication.On {
		return nil
	}
	for limit := time.Now().Add(replicaSettleTimeout); ; time.Sleep(pollInterval) {
		digests, epochs, withoutMajority, changing := []string(nil), map[uint64]bool{}, 0, false
		for _, s := range r.schedulers {
			var c copiesStatus
			if err := s.GetAPI("/api/copies", &c); err != nil {
				return err
			}
			if c.IsReplica {
				digests = append(digests, c.Digest)
			}
			epochs[c.Epoch], changing = true, changing || len(c.Previous) > 0
			withoutMajority += int(c.Counts["unsure"])
		}
		r.digests, r.withoutMajority, r.replicaSets = digests, withoutMajority, len(epochs)
		if !changing && len(epochs) == 1 || time.Now().After(limit) {
			return nil
		}
	}
}

// awaitVoters waits until all replicas are voters. A cluster that has just started has no records, so its
// replicas don't vote for a while. If the replica set can change, all schedulers must also know the first
// set.
func (r *run) awaitVoters() error {
	if !r.experiment.Replication.On {
		return nil
	}
	for limit := time.Now().Add(votersTimeout); ; time.Sleep(50 * time.Millisecond) {
		missing := 0
		for _, s := range r.schedulers {
			var c copiesStatus
			if s.GetAPI("/api/copies", &c) != nil || c.IsReplica != c.IsVoter || r.experiment.Replication.ConsensusMembership && c.Epoch == 0 {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("%d schedulers aren't voters or don't know the replica set after %v", missing, votersTimeout)
		}
	}
}
