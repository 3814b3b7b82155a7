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

// changes is the state of set changes: the requests of operators at this process, and the change that this
// process carries out as the leader.
type changes struct {
	requests   map[uint64]*pendingRequest
	active     *activeChange
	lastChange Time   // when the set last changed, or this process last tried to change it
	readyEpoch uint64 // epoch for which a majority of the new replicas is ready
}

// pendingRequest is a change that operators requested at this process.
type pendingRequest struct {
	ChangeRequest
	deadline, nextRetry Time
}

// activeChange is a change that the leader carries out. It is proposed to the raft group once.
type activeChange struct {
	requestedBy string // member where operators requested the change; empty: the leader started it itself
	requestID   uint64 // 0: the leader started the change itself
	replicas    []string
	voterIDs    map[string]uint64 // voter IDs of new replicas, by name
	deadline    Time
	nextRetry   Time
	proposed    bool
}

func (s *changes) addRequest(in ChangeRequest, now, deadline Time) {
	s.requests[in.RequestID] = &pendingRequest{ChangeRequest: in, deadline: deadline, nextRetry: now}
}

// nextDue returns the time of the next retry or deadline, but at most limit.
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

// Reasons why a change cannot start or finish. Operators read the texts. errBehind means that the raft log of
// the leader ends before the latest known set.
var (
	errNotLeader  = errors.New("not the one that leads")
	errBehind     = errors.New("behind what others know")
	errBusy       = errors.New("another change is under way")
	errNoMajority = errors.New(
		"no majority of the keepers has agreed in time; look again: it may come to stand yet")
)

// staleEpochError rejects a change that was requested for another epoch than the current one.
type staleEpochError struct{ present, requested uint64 }

func (e *staleEpochError) Error() string {
	return fmt.Sprintf("the keepers have changed meanwhile: turn %d, not %d", e.present, e.requested)
}

// beginChange starts a change, or returns the reason why the change cannot start.
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

// isActive reports whether a change belongs to the same request as the active change.
func (c *Core) isActive(change *activeChange) bool {
	active := c.changes.active
	return active != nil && active.requestID == change.requestID && active.requestedBy == change.requestedBy
}

// endChange ends the active change with an error or, if err is nil, with a text for success.
func (c *Core) endChange(err error, text string) {
	change := c.changes.active
	c.changes.active = nil
	c.answerChange(change, err, text)
}

// answerChange sends the result of a change to the member that forwarded the request, or to the operators at
// this process. It also logs the result.
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

// handleChangeRequested starts a change that another member forwarded. If the change cannot start, the leader
// answers with the reason.
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

// handleChangeAnswered passes the leader's answer to the operators who requested the change at this process.
func (c *Core) handleChangeAnswered(in MessageReceived) {
	if c.changes.requests[in.RequestID] != nil && slices.Contains(c.set.Members(), in.From) {
		delete(c.changes.requests, in.RequestID)
		c.emit(ChangeResult{in.RequestID, in.OK, in.Retryable, in.Text})
	}
}

// retryRequests forwards pending requests to the leader again, and ends requests whose deadline has passed.
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

// forwardRequest starts the change if this process is the leader. Otherwise it sends the request to all
// replicas, because any of them may be the leader.
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

// advanceChange does the next step of the active change. It also proposes to end a joint set once the new
// replicas are ready.
func (c *Core) advanceChange() error {
	if !c.IsLeader() {
		c.changes.active = nil // the next leader does not know the change: the requester retries
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
		silent := strings.Join(c.replicasWithoutVoterID(change), ", ")
		c.endChange(errors.New("nothing is heard of "+silent), "")
	case !change.proposed && c.now >= change.nextRetry:
		change.nextRetry = c.now + retryInterval
		return c.proposeChange(change)
	}
	return nil
}

// leaveJoint proposes to drop the old part of the set once a majority of the new part is ready. It repeats
// the proposal after retryInterval, because a proposal can be lost.
func (c *Core) leaveJoint() error {
	epoch := c.raft.epoch
	ready := c.set.Joint() && epoch == c.set.Epoch && c.changes.readyEpoch == epoch
	if !ready || c.now < c.changes.lastChange+retryInterval {
		return nil
	}
	c.changes.lastChange = c.now
	return c.propose(raftpb.ConfChangeV2{})
}

// voterIDOf returns the voter ID that a change gives to a replica, or else its current voter ID; 0: unknown.
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

// replicasWithoutVoterID returns the replicas of a change whose voter IDs are unknown.
func (c *Core) replicasWithoutVoterID(change *activeChange) (names []string) {
	for _, name := range change.replicas {
		if c.voterIDOf(name, change) == 0 {
			names = append(names, name)
		}
	}
	return names
}

// addChangeVoter records the voter ID of a new replica. It ends the change if the replica cannot become a
// voter.
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

// proposeChange proposes a change once all new replicas have reported their voter IDs. A replica that does
// not answer must not become a voter.
func (c *Core) proposeChange(change *activeChange) error {
	voterIDs := map[uint64]bool{}
	for _, name := range change.replicas {
		if id := c.voterIDOf(name, change); id != 0 {
			voterIDs[id] = true
			continue
		}
		if name == c.config.Name {
			change.voterIDs[name] = c.state.VoterID
		}
		c.send(name, Message{Kind: VoterQuery})
	}
	if len(voterIDs) < len(change.replicas) {
		return nil
	}
	proposal, err := c.proposal(change, voterIDs)
	if err != nil {
		return err
	}
	change.proposed = true
	return c.propose(proposal)
}

// proposal encodes a change as a raft configuration change. voterIDs are all voters after the change. The
// context of the proposal contains the voters that are added.
func (c *Core) proposal(change *activeChange, voterIDs map[uint64]bool) (raftpb.ConfChangeV2, error) {
	proposal := raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionJointExplicit}
	var added []Voter
	for _, name := range change.replicas {
		id := c.voterIDOf(name, change)
		if !slices.Contains(c.raft.conf.Voters, id) {
			added = append(added, Voter{id, name})
			proposal.Changes = append(proposal.Changes, singleChange(raftpb.ConfChangeAddNode, id))
		}
	}
	for _, id := range c.raft.conf.Voters {
		if !voterIDs[id] {
			proposal.Changes = append(proposal.Changes, singleChange(raftpb.ConfChangeRemoveNode, id))
		}
	}
	names, err := cbor.Marshal(added)
	proposal.Context = names
	return proposal, err
}

func singleChange(kind raftpb.ConfChangeType, id uint64) raftpb.ConfChangeSingle {
	return raftpb.ConfChangeSingle{Type: kind, NodeID: id}
}

// answerAgreedChange ends the active change with success once the group has agreed to it.
func (c *Core) answerAgreedChange() {
	change := c.changes.active
	if change != nil && c.set.Joint() && slices.Equal(change.replicas, c.set.New) {
		const text = "agreed in turn %d; the new keepers take over what the old ones know"
		c.endChange(nil, fmt.Sprintf(text, c.set.Epoch))
	}
}
