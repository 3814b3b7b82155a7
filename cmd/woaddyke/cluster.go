package main

import (
	"net/http"
	"strconv"
	"strings"
	"syscall"

	"woaddyke/internal/cluster/drainstate"
	"woaddyke/internal/cluster/membership"
	"woaddyke/internal/cluster/mesh"
	"woaddyke/internal/cluster/replica"
	"woaddyke/internal/lifecycle/hotrestart"
	"woaddyke/internal/lifecycle/hotrestart/transfer"
	"woaddyke/internal/observe/console"
	"woaddyke/internal/observe/metrics"
	"woaddyke/internal/scheduler/reducer"
)

// joinCluster makes this process a member, on the sockets of the one before where it gave some.
func (p *process) joinCluster(legacy *transfer.Handover, state hotrestart.State) (err error) {
	t := p.features.Members
	if t == nil {
		return nil
	}
	who := mesh.Identity{Name: p.bootstrap.Name, Number: p.bootstrap.Number(), Seed: p.bootstrap.SeedValue}
	host := mesh.Host{Stopped: func(superseded bool) {
		if superseded && t.WhenReplaced == "end" {
			p.log.Error().Msg("another process has this one's name: it ends")
			p.stop()
		}
	}}
	p.operatorBoard = newOperatorBoard()
	host.OperatorState = p.operatorBoard.receive
	host.MemberChanged = p.memberEnded
	if t.CarryPeerMessages {
		host.UserMessage = func(number int, text string) { p.server.PeerInput(reducer.PeerMessage{Sender: number, Text: text}) }
		host.MemberChanged = func(c membership.MemberChanged) {
			p.memberEnded(c)
			p.peerChanged(c)
		}
	}
	if t.ShareDrains {
		host.Drains = func(_ string, words []drainstate.DrainRecord) { p.server.PeerDrains(words) }
	}
	if err := p.createReplica(state.Successions, &host); err != nil {
		return err
	}
	if legacy != nil && len(state.Membership) > 0 && len(legacy.Files) > 2 {
		files := legacy.Files[len(legacy.Files)-2:]
		if p.mesh, err = mesh.Restore(t, who, host, p.log, state.Membership, files); err == nil {
			p.attachMesh()
			return nil
		}
		p.log.Warn().Err(err).Msg("not a member in the place of the process before")
	}
	if p.mesh, err = mesh.Start(t, who, host, p.log); err == nil {
		p.attachMesh()
	}
	return err
}

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

// memberCounts counts the other schedulers for the figures.
func (p *process) memberCounts() *metrics.MemberCounts {
	x := &metrics.MemberCounts{}
	for _, m := range p.mesh.Status().Members {
		switch m.State {
		case membership.Alive:
			x.Alive++
		case membership.Suspect:
			x.Suspect++
		case membership.Dead:
			x.Dead++
		case membership.Left:
			x.Left++
		}
		if m.Reachable {
			x.Reachable++
		}
	}
	return x
}

// createReplica has the fates of ops stand at keepers, where the operator's file says so.
func (p *process) createReplica(heirs uint64, host *mesh.Host) (err error) {
	t := p.features.Copies
	if t == nil {
		return nil
	}
	if p.replica, err = replica.New(t, p.bootstrap.Name, p.bootstrap.SeedValue, heirs, mesh.Now(), p.log); err != nil {
		return err
	}
	if host.Replication, host.Serving = p.replica.Receive, p.replica.Serving; t.DynamicReplicas {
		host.ReplicaSet = p.replica.ReceiveReplicaSet
	}
	changed := host.MemberChanged
	host.MemberChanged = func(c membership.MemberChanged) {
		p.replica.SetPeerDead(c.Name, c.State.Ended())
		if changed != nil {
			changed(c)
		}
	}
	return nil
}

// requiresClaim tells whether ops of a category are asked for at the keepers.
func (p *process) requiresClaim(category string) bool {
	effect := p.server.CategoryEffect(category)
	return effect == "at-most-once" || effect == "deduplicated" && p.features.Copies.Deduplicated
}

// peerChanged has the front take notice of who came and who is gone.
func (p *process) peerChanged(c membership.MemberChanged) {
	if c.Number < 0 {
		return
	}
	switch {
	case c.State.Ended():
		p.server.PeerInput(reducer.PeerLost{Peer: c.Number})
	case c.State == membership.Alive && (c.New || c.Before.Ended()):
		if c.New {
			p.server.PeerInput(reducer.PeerLost{Peer: c.Number}) // another process: what the one before had out is its own no more
		}
		p.server.PeerInput(reducer.PeerJoined{Peer: c.Number})
	}
}

// handOverMembership adds what makes the heir the same member.
func (p *process) handOverMembership(state *hotrestart.State) []syscall.Conn {
	if p.mesh == nil {
		return nil
	}
	text, sockets, err := p.mesh.HandOver()
	if err != nil {
		p.log.Warn().Err(err).Msg("membership is not handed over")
		return nil
	}
	if state.Membership = text; p.replica != nil {
		state.Successions = p.replica.Successions()
		p.replica.HandOver()
	}
	return sockets
}

// leaveCluster tells the others that this process ends, unless its heir goes on in its place.
func (p *process) leaveCluster() {
	if p.mesh != nil && !p.server.HasSuccessor() {
		p.mesh.Leave()
	}
}

// recordsPage is some of the records of copies.
type recordsPage struct {
	Rows []replica.RecordRow `json:"rows"`
	Next string              `json:"next"` // the key to go on after; empty where there are no more
}

// records answers with one id's records, or with some of all.
func (p *process) records(r *http.Request) any {
	q := r.URL.Query()
	if id := q.Get("id"); id != "" {
		return recordsPage{Rows: p.replica.Lookup(q.Get("category"), id)}
	}
	var x recordsPage
	x.Rows, x.Next = p.replica.Page(q.Get("after"))
	return x
}

// changeResult is what became of what staff asked for.
type changeResult struct {
	Done  bool   `json:"done"`
	Again bool   `json:"again"` // it may come about if it is asked for again
	Text  string `json:"text"`
}

// changeReplicas has other keepers agreed: those named, from the set that the caller saw on.
func (p *process) changeReplicas(r *http.Request) any {
	q := r.URL.Query()
	turn, err := strconv.ParseUint(q.Get("turn"), 10, 64)
	if err != nil {
		return changeResult{Text: "turn: the number that /api/copies shows is wanted"}
	}
	t := p.replica.ChangeReplicas(turn, strings.Split(q.Get("keepers"), ","))
	return changeResult{t.OK, t.Retryable, t.Message}
}

// consoleCalls are the console's for what is switched on.
func (p *process) consoleCalls() (calls []console.Call) {
	if p.mesh != nil {
		calls = append(calls, console.Call{Path: "/api/members", Answer: func(*http.Request) any { return p.mesh.Status() }},
			console.Call{Path: "/api/staff", Answer: func(*http.Request) any { return p.operatorBoard.status() }})
	}
	if p.replica != nil {
		calls = append(calls, console.Call{Path: "/api/copies", Answer: func(*http.Request) any { return p.replica.Status() }},
			console.Call{Path: "/api/copies/records", Answer: p.records},
			console.Call{Path: "/api/copies/keepers", Answer: p.changeReplicas, Changes: true})
	}
	return calls
}
