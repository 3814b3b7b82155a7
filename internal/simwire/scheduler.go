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

// maxIndex bounds the numbers of zones and kinds of machines: the dispatcher keeps state for each number
// up to the highest.
const maxIndex = 1 << 12

// scheduler is a dispatcher, and the names of what it knows by numbers.
type scheduler struct {
	dispatcher    *dispatch.Dispatcher
	report        loadreport.Format
	workerNames   []string
	workersByName map[string]int
	workersByTag  map[string]int // by the tags that peer messages carry
	opsByName     map[string]int
	opNames       []string // by index; empty when the index is free
	attempts      []int    // of each op
	freeOps       []int
}

// inputs are the kinds of items that change what a scheduler knows.
var inputs = map[string]func(s *scheduler, it *item) error{
	"Topology":   (*scheduler).updateEndpoints,
	"WorkItem":   (*scheduler).admitOp,
	"Settled":    (*scheduler).endAttempt,
	"UpdateOf":   (*scheduler).progressAttempt,
	"Dropped":    (*scheduler).disconnectClient,
	"Message":    (*scheduler).readPeerMessage,
	"StatusBack": (*scheduler).endProbe,
}

// powerOn starts a scheduler.
func powerOn(wallNs int64, it *item) (*scheduler, error) {
	if it.Settings == nil {
		return nil, errors.New("no setup")
	}
	seed, err := parseSeed(it.Seed)
	if err != nil {
		return nil, fmt.Errorf("prng: %w", err)
	}
	flat := config.Flatten(it.Settings)
	flat["keys"] = true // ops carry them only where workers keep something
	s := &scheduler{
		dispatcher:    dispatch.New(seed, config.DecisionSettings(flat)),
		report:        config.ReportFormatOf(flat),
		workersByName: map[string]int{},
		workersByTag:  map[string]int{},
		opsByName:     map[string]int{},
	}
	s.dispatcher.AdvanceClock(config.RoundUp(wallNs))
	return s, nil
}

// parseSeed reads a seed, which may be negative.
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

func (r *record) validate() error {
	if r.Worker == "" {
		return errors.New("record without worker")
	}
	if r.Zone < 0 || r.Zone > maxIndex {
		return fmt.Errorf("locality %d of %s", r.Zone, r.Worker)
	}
	if r.MachineKind < 0 || r.MachineKind > maxIndex {
		return fmt.Errorf("classOfHost %d of %s", r.MachineKind, r.Worker)
	}
	return nil
}

// workerIndex is the index of a worker, a new one for a name that is new.
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
	if _, twice := s.opsByName[it.Op]; twice {
		return fmt.Errorf("req %s came twice", it.Op)
	}
	spec := dispatch.OpSpec{Category: it.Category, TTL: config.RoundDown(it.TTLNs), Slots: max(it.Slots, 1),
		Memory: it.Memory, Work: config.RoundUp(it.WorkNs)}
	if it.AffinityKey != "" {
		spec.AffinityKey = config.IdentityHash(it.AffinityKey)
	}
	if !s.dispatcher.AddOp(s.addOpName(it.Op), spec) {
		return fmt.Errorf("lane %d is in no settings", it.Category)
	}
	return nil
}

// addOpName gives a new op its index.
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

// forgetOp frees an op's index. Late items about it say nothing new and are passed over.
func (s *scheduler) forgetOp(i int) {
	delete(s.opsByName, s.opNames[i])
	s.opNames[i] = ""
	s.freeOps = append(s.freeOps, i)
}

func (s *scheduler) endAttempt(it *item) error {
	op, open := s.opsByName[it.Op]
	if !open {
		return nil
	}
	s.dispatcher.AttemptEnded(op, it.Attempt, outcomeOf(it.How), it.Finished)
	if worker, known := s.workersByName[it.Worker]; known && len(it.LoadReport) > 0 {
		s.answerProbe(worker, it)
	}
	return nil
}

func (s *scheduler) progressAttempt(it *item) error {
	if op, open := s.opsByName[it.Op]; open {
		progress := dispatch.Progress{Started: it.Topic == startTopic, Acknowledged: it.Done < 0}
		s.dispatcher.AttemptProgress(op, it.Attempt, progress)
	}
	return nil
}

func (s *scheduler) disconnectClient(it *item) error {
	if op, open := s.opsByName[it.Op]; open {
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
		return fmt.Errorf("worker %q was in no list", it.Worker)
	}
	if it.How == succeeded {
		s.answerProbe(worker, it)
	} else {
		s.dispatcher.ProbeFailed(worker, config.RoundDown(it.ElapsedNs), outcomeOf(it.How))
	}
	return nil
}

func (s *scheduler) answerProbe(worker int, it *item) {
	load := s.report.FromRow(it.LoadReport)
	s.dispatcher.ProbeAnswered(worker, config.RoundDown(it.ElapsedNs), load)
}
