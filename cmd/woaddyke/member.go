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

// join makes this process a member, on the sockets of the one before where it gave some.
func (p *process) join(legacy *transfer.Handover, state hotrestart.State) (err error) {
	t := p.offers.Members
	if t == nil {
		return nil
	}
	who := mesh.Identity{Name: p.sheet.Name, Number: p.sheet.Number(), Seed: p.sheet.SeedValue}
	host := mesh.Host{Stopped: func(superseded bool) {
		if superseded && t.WhenReplaced == "end" {
			p.log.Error().Msg("another process has this one's name: it ends")
			p.stop()
		}
	}}
	p.board = newBoard()
	host.OperatorState = p.board.heard
	host.MemberChanged = p.ended
	if t.CarryPeerMessages {
		host.UserMessage = func(number int, text string) { p.front.PeerInput(reducer.PeerMessage{Sender: number, Text: text}) }
		host.MemberChanged = func(c membership.MemberChanged) {
			p.ended(c)
			p.changed(c)
		}
	}
	if t.ShareDrains {
		host.Drains = func(_ string, words []drainstate.DrainRecord) { p.front.PeerDrains(words) }
	}
	if err := p.keep(state.Successions, &host); err != nil {
		return err
	}
	if legacy != nil && len(state.Membership) > 0 && len(legacy.Files) > 2 {
		files := legacy.Files[len(legacy.Files)-2:]
		if p.mesh, err = mesh.Restore(t, who, host, p.log, state.Membership, files); err == nil {
			p.speak()
			return nil
		}
		p.log.Warn().Err(err).Msg("not a member in the place of the process before")
	}
	if p.mesh, err = mesh.Start(t, who, host, p.log); err == nil {
		p.speak()
	}
	return err
}

func (p *process) speak() {
	go p.tellStaff()
	p.front.SetMemberCounts(p.others)
	if p.offers.Members.CarryPeerMessages {
		p.front.SetPeerSender(p.mesh.SendUserMessage)
	}
	if p.offers.Members.ShareDrains {
		p.front.ShareDrains(p.mesh, p.sheet.SeedValue)
	}
	if p.fates != nil {
		p.fates.Start(p.mesh)
		p.front.RequireClaims(p.fates, p.guards)
	}
}

// others counts the other schedulers for the figures.
func (p *process) others() *metrics.MemberCounts {
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

// keep has the fates of ops stand at keepers, where the operator's file says so.
func (p *process) keep(heirs uint64, host *mesh.Host) (err error) {
	t := p.offers.Copies
	if t == nil {
		return nil
	}
	if p.fates, err = replica.New(t, p.sheet.Name, p.sheet.SeedValue, heirs, mesh.Now(), p.log); err != nil {
		return err
	}
	if host.Replication, host.Serving = p.fates.Receive, p.fates.Serving; t.DynamicReplicas {
		host.ReplicaSet = p.fates.ReceiveReplicaSet
	}
	changed := host.MemberChanged
	host.MemberChanged = func(c membership.MemberChanged) {
		p.fates.SetPeerDead(c.Name, c.State.Ended())
		if changed != nil {
			changed(c)
		}
	}
	return nil
}

// guards tells whether ops of a category are asked for at the keepers.
func (p *process) guards(category string) bool {
	effect := p.front.CategoryEffect(category)
	return effect == "at-most-once" || effect == "deduplicated" && p.offers.Copies.Deduplicated
}

// changed has the front take notice of who came and who is gone.
func (p *process) changed(c membership.MemberChanged) {
	if c.Number < 0 {
		return
	}
	switch {
	case c.State.Ended():
		p.front.PeerInput(reducer.PeerLost{Peer: c.Number})
	case c.State == membership.Alive && (c.New || c.Before.Ended()):
		if c.New {
			p.front.PeerInput(reducer.PeerLost{Peer: c.Number}) // another process: what the one before had out is its own no more
		}
		p.front.PeerInput(reducer.PeerJoined{Peer: c.Number})
	}
}

// giveMember adds what makes the heir the same member.
func (p *process) giveMember(state *hotrestart.State) []syscall.Conn {
	if p.mesh == nil {
		return nil
	}
	text, sockets, err := p.mesh.HandOver()
	if err != nil {
		p.log.Warn().Err(err).Msg("membership is not handed over")
		return nil
	}
	if state.Membership = text; p.fates != nil {
		state.Successions = p.fates.Successions()
		p.fates.HandOver()
	}
	return sockets
}

// leave tells the others that this process ends, unless its heir goes on in its place.
func (p *process) leave() {
	if p.mesh != nil && !p.front.HasSuccessor() {
		p.mesh.Leave()
	}
}

// page is some of the records of copies.
type page struct {
	Rows []replica.RecordRow `json:"rows"`
	Next string              `json:"next"` // the key to go on after; empty where there are no more
}

// records answers with one id's records, or with some of all.
func (p *process) records(r *http.Request) any {
	q := r.URL.Query()
	if id := q.Get("id"); id != "" {
		return page{Rows: p.fates.Lookup(q.Get("category"), id)}
	}
	var x page
	x.Rows, x.Next = p.fates.Page(q.Get("after"))
	return x
}

// outcome is what became of what staff asked for.
type outcome struct {
	Done  bool   `json:"done"`
	Again bool   `json:"again"` // it may come about if it is asked for again
	Text  string `json:"text"`
}

// changeKeepers has other keepers agreed: those named, from the set that the caller saw on.
func (p *process) changeKeepers(r *http.Request) any {
	q := r.URL.Query()
	turn, err := strconv.ParseUint(q.Get("turn"), 10, 64)
	if err != nil {
		return outcome{Text: "turn: the number that /api/copies shows is wanted"}
	}
	t := p.fates.ChangeReplicas(turn, strings.Split(q.Get("keepers"), ","))
	return outcome{t.OK, t.Retryable, t.Message}
}

// calls are the console's for what is switched on.
func (p *process) calls() (calls []console.Call) {
	if p.mesh != nil {
		calls = append(calls, console.Call{Path: "/api/members", Answer: func(*http.Request) any { return p.mesh.Status() }},
			console.Call{Path: "/api/staff", Answer: func(*http.Request) any { return p.board.shown() }})
	}
	if p.fates != nil {
		calls = append(calls, console.Call{Path: "/api/copies", Answer: func(*http.Request) any { return p.fates.Status() }},
			console.Call{Path: "/api/copies/records", Answer: p.records},
			console.Call{Path: "/api/copies/keepers", Answer: p.changeKeepers, Changes: true})
	}
	return calls
}
