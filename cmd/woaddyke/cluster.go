package main

import (
	"syscall"
	"time"

	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/mesh"
	"woaddyke/internal/cluster/replica"
	"woaddyke/internal/lifecycle/hotrestart"
	"woaddyke/internal/lifecycle/hotrestart/transfer"
	"woaddyke/internal/observe/metrics"
	"woaddyke/internal/scheduler/reducer"
)

// endWhenReplaced is the value of members.superseded with which a process stops when another process takes
// its name.
const endWhenReplaced = "end"

// meshSockets is the number of sockets of the mesh in a handover. They come after all other sockets.
const meshSockets = 2

// joinCluster makes this process a member if the features file has a [members] table. It uses the sockets of
// the predecessor if the handover has them. handover is nil without a predecessor.
func (p *process) joinCluster(handover *transfer.Handover, state hotrestart.State) (err error) {
	table := p.features.Members
	if table == nil {
		return nil
	}
	identity := mesh.Identity{
		Name:   p.bootstrap.Name,
		Number: p.bootstrap.SchedulerNumber(),
		Seed:   p.bootstrap.SeedValue,
	}
	p.operatorBoard = newOperatorBoard()
	host := p.meshHost()
	if err := p.createReplica(state, &host); err != nil {
		return err
	}
	if handover != nil && len(state.Membership) > 0 && len(handover.Files) > meshSockets {
		files := handover.Files[len(handover.Files)-meshSockets:]
		p.mesh, err = mesh.Restore(table, identity, host, p.log, state.Membership, files)
		if err == nil {
			p.attachMesh()
			return nil
		}
		p.log.Warn().Err(err).Msg("membership not restored")
	}
	if p.mesh, err = mesh.Start(table, identity, host, p.log); err != nil {
		return err
	}
	p.attachMesh()
	return nil
}

// meshHost returns the callbacks that the mesh calls in this process.
func (p *process) meshHost() mesh.Host {
	table := p.features.Members
	host := mesh.Host{
		OperatorState: p.operatorBoard.receive,
		MemberChanged: p.forgetEnded,
		Stopped: func(replaced bool) {
			if replaced && table.WhenReplaced == endWhenReplaced {
				p.log.Error().Msg("replaced by another process of this name: stopping")
				p.stop()
			}
		},
	}
	if table.CarryPeerMessages {
		host.UserMessage = func(number int, text string) {
			p.server.ReceivePeerInput(reducer.PeerMessage{Sender: number, Text: text})
		}
		host.MemberChanged = func(c membership.MemberChanged) {
			p.forgetEnded(c)
			p.peerChanged(c)
		}
	}
	if table.ShareDrains {
		host.Drains = func(_ string, records []drainstate.DrainRecord) { p.server.ReceiveDrainRecords(records) }
	}
	return host
}

// attachMesh connects the server and the replica to the mesh.
func (p *process) attachMesh() {
	go p.shareOperatorState()
	p.server.SetMemberCounts(p.memberCounts)
	if p.features.Members.CarryPeerMessages {
		p.server.SetPeerSender(p.mesh.SendUserMessage)
	}
	if p.features.Members.ShareDrains {
		p.server.ShareDrains(p.mesh, p.bootstrap.SeedValue)
	}
	if p.replica != nil {
		p.replica.Start(p.mesh)
		p.server.RequireClaims(p.replica, p.requiresClaim)
	}
}

// memberCounts counts the other members by state.
func (p *process) memberCounts() *metrics.MemberCounts {
	counts := &metrics.MemberCounts{}
	for _, m := range p.mesh.Status().Members {
		switch m.State {
		case membership.Alive:
			counts.Alive++
		case membership.Suspect:
			counts.Suspect++
		case membership.Dead:
			counts.Dead++
		case membership.Left:
			counts.Left++
		}
		if m.Reachable {
			counts.Reachable++
		}
	}
	return counts
}

// leaveSlack is added to the longest TTL for the time in which a scheduler that was told to end may hold ops: its
// shutdown lasts no longer than that TTL and a fraction of a second, and its clock may differ.
const leaveSlack = time.Second

// createReplica creates the replica if the features file has a [copies] table, and adds the callbacks of the
// replica to host.
func (p *process) createReplica(state hotrestart.State, host *mesh.Host) (err error) {
	table := p.features.Copies
	if table == nil {
		return nil
	}
	table.SetLeaveTime(p.bootstrap.LongestTTL() + leaveSlack)
	name, seed := p.bootstrap.Name, p.bootstrap.SeedValue
	p.replica, err = replica.New(table, name, seed, state.Successions, mesh.Now(), p.log)
	if err != nil {
		return err
	}
	if err := p.replica.RestoreEndedProcesses(state.EndedProcesses); err != nil {
		return err
	}
	host.Replication = p.replica.Receive
	host.ServingChanged = p.replica.SetMembership
	if table.DynamicReplicas {
		host.ReplicaSet = p.replica.ReceiveReplicaSet
	}
	memberChanged := host.MemberChanged
	host.MemberChanged = func(c membership.MemberChanged) {
		p.setReplicaPeer(c.MemberView)
		memberChanged(c)
	}
	host.MembersRestored = func(members []membership.MemberView) {
		for _, member := range members {
			p.setReplicaPeer(member)
		}
	}
	return nil
}

// setReplicaPeer passes the incarnation of another member to the replica, and whether that member has
// ended.
func (p *process) setReplicaPeer(member membership.MemberView) {
	p.replica.SetPeerIncarnation(member.Name, member.Incarnation)
	if member.State == membership.Left {
		p.replica.SetPeerLeft(member.Name)
		return
	}
	p.replica.SetPeerDead(member.Name, member.State.Ended())
}

// requiresClaim reports whether an op of a category needs a claim before its first attempt.
func (p *process) requiresClaim(category string) bool {
	switch p.server.CategoryEffect(category) {
	case "at-most-once":
		return true
	case "deduplicated":
		return p.features.Copies.Deduplicated
	}
	return false
}

// peerChanged reports to the server that a scheduler that sends peer reports has joined or ended.
func (p *process) peerChanged(c membership.MemberChanged) {
	if c.Number < 0 {
		return
	}
	switch {
	case c.State.Ended():
		p.server.ReceivePeerInput(reducer.PeerLost{Peer: c.Number})
	case c.State == membership.Alive && (c.NewIncarnation || c.Before.Ended()):
		if c.NewIncarnation { // a new process: the reports of the former process are not valid for it
			p.server.ReceivePeerInput(reducer.PeerLost{Peer: c.Number})
		}
		p.server.ReceivePeerInput(reducer.PeerJoined{Peer: c.Number})
	}
}

// handOverMembership adds to a handover the state with which the successor continues as the same member. It
// returns the sockets of the mesh.
func (p *process) handOverMembership(state *hotrestart.State) []syscall.Conn {
	if p.mesh == nil {
		return nil
	}
	record, sockets, err := p.mesh.HandOver()
	if err != nil {
		p.log.Warn().Err(err).Msg("membership not handed over")
		return nil
	}
	state.Membership = record
	if p.replica != nil {
		state.Successions = p.replica.NextSuccessions()
		if state.EndedProcesses, err = p.replica.EndedProcesses(); err != nil {
			p.log.Warn().Err(err).Msg("ended processes not handed over")
		}
		p.replica.ReleaseStore()
	}
	return sockets
}

// leaveCluster notifies the other members that this process ends. If it has a successor, the successor
// continues as the same member and nobody is notified.
func (p *process) leaveCluster() {
	if p.mesh != nil && !p.server.HasSuccessor() {
		p.mesh.Leave()
	}
}
