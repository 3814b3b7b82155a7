package replicaset

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
)

// retryInterval is the time between two attempts at one step of a change.
const retryInterval = 200 * ms

// changes is the state of changes of the set: those that operators requested here, and the one that this
// process carries out as the leader.
type changes struct {
	requests   map[uint64]*pendingRequest
	active     *activeChange
	lastChange Time   // of the set
	readyEpoch uint64 // the epoch whose new replicas are ready, a majority of them
}

// pendingRequest is a change that operators requested here.
type pendingRequest struct {
	ChangeRequest
	deadline, nextRetry Time
}

// activeChange is a change that the leader carries out.
type activeChange struct {
	requestedBy string // the member that forwarded it; empty for one of the leader's own
	requestID   uint64 // 0 for one of the leader's own
	replicas    []string
	voterIDs    map[string]uint64 // of replicas that are new
	deadline    Time
	nextRetry   Time
	proposed    bool
}

func (s *changes) add(in ChangeRequest, now, deadline Time) {
	s.requests[in.RequestID] = &pendingRequest{ChangeRequest: in, deadline: deadline, nextRetry: now}
}

// nextDue is when the next retry or deadline is due, at a limit at the latest.
func (s *changes) nextDue(limit Time) Time {
	at := limit
	for _, request := range s.requests {
		at = min(at, request.nextRetry, request.deadline)
	}
	if s.active != nil {
		at = min(at, s.active.nextRetry, s.active.deadline)
	}
	return at
}

// Why a change is not begun, or not finished. Operators read the texts.
var (
	errNotLeader  = errors.New("not the one that leads")
	errBehind     = errors.New("behind what others know")
	errBusy       = errors.New("another change is under way")
	errNoMajority = errors.New(
		"no majority of the keepers has agreed in time; look again: it may come to stand yet")
)

// staleEpochError is a change from another epoch than the present one.
type staleEpochError struct{ present, requested uint64 }

func (e *staleEpochError) Error() string {
	return fmt.Sprintf("the keepers have changed meanwhile: turn %d, not %d", e.present, e.requested)
}

// beginChange begins a change, or returns why not.
func (c *Core) beginChange(change *activeChange, epoch uint64) error {
	change.replicas = slices.Sorted(slices.Values(change.replicas))
	isRequest := change.requestID != 0
	switch {
	case !c.IsLeader():
		return errNotLeader
	case c.raft.epoch != c.set.Epoch:
		return errBehind
	case isRequest && c.isActive(change):
		return nil
	}
	if err := ValidateNames(change.replicas); err != nil {
		return err
	}
	switch {
	case isRequest && slices.Equal(change.replicas, c.set.New):
		c.answerChange(change, nil, fmt.Sprintf("these are the keepers, by turn %d", c.set.Epoch))
		return nil
	case c.changes.active != nil || c.set.Joint():
		return errBusy
	case isRequest && epoch != c.set.Epoch:
		return &staleEpochError{c.set.Epoch, epoch}
	}
	change.deadline = c.now + c.config.ChangeTimeout*2/3
	change.nextRetry = c.now
	c.changes.active = change
	return nil
}

// isActive reports whether a request is the one that is being carried out.
func (c *Core) isActive(change *activeChange) bool {
	active := c.changes.active
	return active != nil && active.requestID == change.requestID && active.requestedBy == change.requestedBy
}

// endChange ends the active change: with an error, or a text for success.
func (c *Core) endChange(err error, text string) {
	change := c.changes.active
	c.changes.active = nil
	c.answerChange(change, err, text)
}

// answerChange answers the member that forwarded a change, and the operators where it was requested here.
func (c *Core) answerChange(change *activeChange, err error, text string) {
	if err != nil {
		text = err.Error()
	}
	if id := change.requestID; id != 0 {
		retryable := errors.Is(err, errNoMajority)
		c.send(change.requestedBy, Message{
			Kind:      ChangeAnswered,
			RequestID: id,
			OK:        err == nil,
			Retryable: retryable,
			Text:      text,
		})
		if c.changes.requests[id] != nil && change.requestedBy == c.config.Name {
			delete(c.changes.requests, id)
			c.emit(ChangeResult{id, err == nil, retryable, text})
		}
	}
	c.emit(Event{
		Description: "replica set change: " + text,
		Subject:     strings.Join(change.replicas, ", "),
	})
}

// handleChangeRequested begins a change that another member forwarded, or answers why not.
func (c *Core) handleChangeRequested(in MessageReceived) {
	err := c.beginChange(&activeChange{
		requestedBy: in.From,
		requestID:   in.RequestID,
		replicas:    in.Replicas,
		voterIDs:    map[string]uint64{},
	}, in.Epoch)
	if err != nil && c.IsLeader() {
		c.send(in.From, Message{
			Kind:      ChangeAnswered,
			RequestID: in.RequestID,
			Retryable: errors.Is(err, errBusy),
			Text:      err.Error(),
		})
	}
}

// handleChangeAnswered takes the leader's answer to a change that was requested here.
func (c *Core) handleChangeAnswered(in MessageReceived) {
	if c.changes.requests[in.RequestID] != nil && slices.Contains(c.set.Members(), in.From) {
		delete(c.changes.requests, in.RequestID)
		c.emit(ChangeResult{in.RequestID, in.OK, in.Retryable, in.Text})
	}
}

// retryRequests forwards the changes that were requested here to the leader, wherever that is.
func (c *Core) retryRequests() {
	for _, id := range sortedKeys(c.changes.requests) {
		request := c.changes.requests[id]
		switch {
		case c.now >= request.deadline:
			delete(c.changes.requests, id)
			c.emit(ChangeResult{id, false, true, errNoMajority.Error()})
		case c.now >= request.nextRetry:
			request.nextRetry = c.now + retryInterval
			c.forwardRequest(request)
		}
	}
}

// forwardRequest begins a change as the leader, and sends it to all other replicas elsewhere.
func (c *Core) forwardRequest(request *pendingRequest) {
	id := request.RequestID
	if !c.IsLeader() {
		for _, name := range c.set.Members() {
			c.send(name, Message{
				Kind:      ChangeRequested,
				RequestID: id,
				Epoch:     request.Epoch,
				Replicas:  request.Replicas,
			})
		}
		return
	}
	err := c.beginChange(&activeChange{
		requestedBy: c.config.Name,
		requestID:   id,
		replicas:    request.Replicas,
		voterIDs:    map[string]uint64{},
	}, request.Epoch)
	if err != nil {
		delete(c.changes.requests, id)
		c.emit(ChangeResult{id, false, errors.Is(err, errBusy), err.Error()})
	}
}

// advanceChange does the next step of the active change, and leaves the joint set once its new replicas are
// ready.
func (c *Core) advanceChange() error {
	if !c.IsLeader() {
		c.changes.active = nil // the next leader does not know of it: the requester retries
		return nil
	}
	if err := c.leaveJoint(); err != nil {
		return err
	}
	change := c.changes.active
	switch {
	case change == nil:
	case c.now >= change.deadline && change.proposed:
		c.endChange(errNoMajority, "")
	case c.now >= change.deadline:
		silent := strings.Join(c.silentReplicas(change), ", ")
		c.endChange(errors.New("nothing is heard of "+silent), "")
	case !change.proposed && c.now >= change.nextRetry:
		change.nextRetry = c.now + retryInterval
		return c.proposeChange(change)
	}
	return nil
}

// leaveJoint proposes to drop the old part of the set once a majority of the new one is ready; again after a
// while, where the proposal was lost.
func (c *Core) leaveJoint() error {
	epoch := c.raft.epoch
	ready := c.set.Joint() && epoch == c.set.Epoch && c.changes.readyEpoch == epoch
	if !ready || c.now < c.changes.lastChange+retryInterval {
		return nil
	}
	c.changes.lastChange = c.now
	return c.propose(raftpb.ConfChangeV2{})
}

// voterIDOf is the voter ID that a replica has, or is to have; 0: unknown.
func (c *Core) voterIDOf(name string, change *activeChange) uint64 {
	if id := change.voterIDs[name]; id != 0 {
		return id
	}
	for _, id := range c.raft.conf.Voters {
		if c.raft.names[id] == name {
			return id
		}
	}
	return 0
}

// silentReplicas are the replicas of a change whose voter IDs are unknown.
func (c *Core) silentReplicas(change *activeChange) (names []string) {
	for _, name := range change.replicas {
		if c.voterIDOf(name, change) == 0 {
			names = append(names, name)
		}
	}
	return names
}

// addChangeVoter takes the voter ID of a new replica, and ends the change where that cannot be one.
func (c *Core) addChangeVoter(in MessageReceived) {
	change := c.changes.active
	if change == nil || change.proposed || !slices.Contains(change.replicas, in.From) {
		return
	}
	switch {
	case in.VoterID == 0:
		c.endChange(errors.New(in.From+" has no file for what must last"), "")
	case in.GroupID != 0 && in.GroupID != c.state.GroupID:
		c.endChange(errors.New(in.From+" belongs to another agreement"), "")
	default:
		change.voterIDs[in.From] = in.VoterID
	}
}

// proposeChange proposes a change once all new replicas have reported their voter IDs: one that is silent
// must not become a voter.
func (c *Core) proposeChange(change *activeChange) error {
	kept := map[uint64]bool{}
	for _, name := range change.replicas {
		if id := c.voterIDOf(name, change); id != 0 {
			kept[id] = true
			continue
		}
		if name == c.config.Name {
			change.voterIDs[name] = c.state.VoterID
		}
		c.send(name, Message{Kind: VoterQuery})
	}
	if len(kept) < len(change.replicas) {
		return nil
	}
	proposal, err := c.proposal(change, kept)
	if err != nil {
		return err
	}
	change.proposed = true
	return c.propose(proposal)
}

// proposal is a change to some voters as raft takes it, with the names of those that are new.
func (c *Core) proposal(change *activeChange, kept map[uint64]bool) (raftpb.ConfChangeV2, error) {
	proposal := raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionJointExplicit}
	var added []Voter
	for _, name := range change.replicas {
		id := c.voterIDOf(name, change)
		if !slices.Contains(c.raft.conf.Voters, id) {
			added = append(added, Voter{id, name})
			proposal.Changes = append(proposal.Changes, single(raftpb.ConfChangeAddNode, id))
		}
	}
	for _, id := range c.raft.conf.Voters {
		if !kept[id] {
			proposal.Changes = append(proposal.Changes, single(raftpb.ConfChangeRemoveNode, id))
		}
	}
	names, err := cbor.Marshal(added)
	proposal.Context = names
	return proposal, err
}

func single(kind raftpb.ConfChangeType, id uint64) raftpb.ConfChangeSingle {
	return raftpb.ConfChangeSingle{Type: kind, NodeID: id}
}

// answerAgreedChange answers the active change once it is agreed.
func (c *Core) answerAgreedChange() {
	change := c.changes.active
	if change != nil && c.set.Joint() && slices.Equal(change.replicas, c.set.New) {
		const text = "agreed in turn %d; the new keepers take over what the old ones know"
		c.endChange(nil, fmt.Sprintf(text, c.set.Epoch))
	}
}
