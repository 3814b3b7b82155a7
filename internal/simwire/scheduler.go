package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"woaddyke/dispatch"
	"woaddyke/internal/config"
	"woaddyke/internal/workers/loadreport"
)

// maxIndex limits zone numbers and kinds of machines: the dispatcher keeps state for each number up to the
// highest number in use.
const maxIndex = 1 << 12

// scheduler is a dispatcher and the mapping between the names in the protocol and the indices of the
// dispatcher.
type scheduler struct {
	dispatcher    *dispatch.Dispatcher
	reportFormat  loadreport.Format
	workerNames   []string
	workersByName map[string]int
	workersByTag  map[string]int // by the tags that peer messages carry
	opsByName     map[string]int
	opNames       []string // by index; empty if the index is free
	attempts      []int    // number of attempts of each op
	freeOps       []int
}

// inputs maps each kind of item that changes the state of a scheduler to its handler.
var inputs = map[string]func(s *scheduler, it *item) error{
	"Topology":   (*scheduler).updateEndpoints,
	"WorkItem":   (*scheduler).admitOp,
	"Settled":    (*scheduler).endAttempt,
	"UpdateOf":   (*scheduler).updateProgress,
	"Dropped":    (*scheduler).disconnectClient,
	"Message":    (*scheduler).readPeerMessage,
	"StatusBack": (*scheduler).endProbe,
}

// newScheduler starts a scheduler from a PowerOn item.
func newScheduler(wallNs int64, it *item) (*scheduler, error) {
	if it.Settings == nil {
		return nil, errors.New("no setup")
	}
	seed, err := parseSeed(it.Seed)
	if err != nil {
		return nil, fmt.Errorf("prng: %w", err)
	}
	flat := config.Flatten(it.Settings)
	flat["keys"] = true // always enabled: the simulator sends an affinity key only if the workers keep state
	s := &scheduler{
		dispatcher:    dispatch.New(seed, config.DecisionSettings(flat)),
		reportFormat:  config.ReportFormatOf(flat),
		workersByName: map[string]int{},
		workersByTag:  map[string]int{},
		opsByName:     map[string]int{},
	}
	s.dispatcher.AdvanceClock(config.RoundUp(wallNs))
	return s, nil
}

// parseSeed parses a seed, which may be negative.
func parseSeed(n json.Number) (uint64, error) {
	seed, err := strconv.ParseUint(n.String(), 10, 64)
	if err == nil {
		return seed, nil
	}
	signed, signedErr := strconv.ParseInt(n.String(), 10, 64)
	if signedErr != nil {
		return 0, err
	}
	return uint64(signed), nil
}

func (s *scheduler) updateEndpoints(it *item) error {
	if it.Scope != scopeChanges && it.Scope != scopeRefused {
		s.dispatcher.BeginSnapshot()
	}
	for _, r := range it.Records {
		if err := r.validate(); err != nil {
			return err
		}
		s.dispatcher.UpsertWorker(s.workerIndex(r.Worker), dispatch.WorkerEntry{
			Zone:         r.Zone,
			Group:        r.WorkerGroup,
			Ready:        r.Availability == available,
			StartedAt:    config.RoundUp(r.StartedNs),
			IdentityHash: config.IdentityHash(r.Worker),
			MachineKind:  r.MachineKind,
		})
	}
	s.dispatcher.EndUpdate()
	return nil
}

func (r *workerRecord) validate() error {
	if r.Worker == "" {
		return errors.New("record without worker")
	}
	if r.Zone < 0 || r.Zone > maxIndex {
		return fmt.Errorf("locality %d of %s: must be 0 to %d", r.Zone, r.Worker, maxIndex)
	}
	if r.MachineKind < 0 || r.MachineKind > maxIndex {
		return fmt.Errorf("classOfHost %d of %s: must be 0 to %d", r.MachineKind, r.Worker, maxIndex)
	}
	return nil
}

// workerIndex returns the index of a worker, and assigns an index to a new name.
func (s *scheduler) workerIndex(name string) int {
	i, ok := s.workersByName[name]
	if !ok {
		i = len(s.workerNames)
		s.workersByName[name] = i
		s.workersByTag[config.WorkerTag(name)] = i
		s.workerNames = append(s.workerNames, name)
	}
	return i
}

func (s *scheduler) admitOp(it *item) error {
	if it.Op == "" {
		return errors.New("no req")
	}
	if _, pending := s.opsByName[it.Op]; pending {
		return fmt.Errorf("req %s is already pending", it.Op)
	}
	spec := dispatch.OpSpec{Category: it.Category, TTL: config.RoundDown(it.TTLNs), Slots: max(it.Slots, 1),
		Memory: it.Memory, Work: config.RoundUp(it.WorkNs)}
	if it.AffinityKey != "" {
		spec.AffinityKey = config.IdentityHash(it.AffinityKey)
	}
	if !s.dispatcher.AddOp(s.addOpName(it.Op), spec) {
		return fmt.Errorf("lane %d is not in the settings", it.Category)
	}
	return nil
}

// addOpName assigns an index to a new op.
func (s *scheduler) addOpName(name string) int {
	i := len(s.opNames)
	if n := len(s.freeOps); n > 0 {
		i, s.freeOps = s.freeOps[n-1], s.freeOps[:n-1]
		s.opNames[i], s.attempts[i] = name, 0
	} else {
		s.opNames, s.attempts = append(s.opNames, name), append(s.attempts, 0)
	}
	s.opsByName[name] = i
	return i
}

// forgetOp frees the index of an op. Later items about the op are ignored.
func (s *scheduler) forgetOp(i int) {
	delete(s.opsByName, s.opNames[i])
	s.opNames[i] = ""
	s.freeOps = append(s.freeOps, i)
}

func (s *scheduler) endAttempt(it *item) error {
	op, pending := s.opsByName[it.Op]
	if !pending {
		return nil
	}
	s.dispatcher.AttemptEnded(op, it.Attempt, parseOutcome(it.OutcomeCode), it.Finished)
	if worker, known := s.workersByName[it.Worker]; known && len(it.LoadReport) > 0 {
		s.answerProbe(worker, it)
	}
	return nil
}

func (s *scheduler) updateProgress(it *item) error {
	if op, pending := s.opsByName[it.Op]; pending {
		progress := dispatch.Progress{Started: it.Topic == startTopic, Acknowledged: it.Done < 0}
		s.dispatcher.AttemptProgress(op, it.Attempt, progress)
	}
	return nil
}

func (s *scheduler) disconnectClient(it *item) error {
	if op, pending := s.opsByName[it.Op]; pending {
		s.dispatcher.ClientDisconnected(op)
	}
	return nil
}

func (s *scheduler) readPeerMessage(it *item) error {
	if worker, inFlight, ok := config.DecodePeerReport(it.Text, s.workersByTag); ok {
		s.dispatcher.PeerReport(it.Sender, worker, inFlight)
	}
	return nil
}

func (s *scheduler) endProbe(it *item) error {
	worker, known := s.workersByName[it.Worker]
	if !known {
		return fmt.Errorf("worker %q is in no endpoint list", it.Worker)
	}
	if it.OutcomeCode == succeeded {
		s.answerProbe(worker, it)
	} else {
		s.dispatcher.ProbeFailed(worker, config.RoundDown(it.ElapsedNs), parseOutcome(it.OutcomeCode))
	}
	return nil
}

func (s *scheduler) answerProbe(worker int, it *item) {
	load := s.reportFormat.FromRow(it.LoadReport)
	s.dispatcher.ProbeAnswered(worker, config.RoundDown(it.ElapsedNs), load)
}
