package main

import (
	"syscall"
	"time"

	"woaddyke/internal/console"
	"woaddyke/internal/handover"
	"woaddyke/internal/handover/pass"
	"woaddyke/internal/members"
	"woaddyke/internal/mesh"
	"woaddyke/internal/ops"
)

const leaveTime = 400 * time.Millisecond // for telling the others that this process ends

// join makes this process a member, on the sockets of the one before where it gave some.
func (p *process) join(legacy *pass.Legacy, state handover.State) (err error) {
	t := p.offers.Members
	if t == nil {
		return nil
	}
	who := mesh.Name{Name: p.sheet.Name, Number: p.sheet.Number(), Chance: p.sheet.Chance}
	host := mesh.Host{Ended: func(superseded bool) {
		if superseded && t.Superseded == "end" {
			p.log.Error().Msg("another process has this one's name: it ends")
			p.stop()
		}
	}}
	if t.Words {
		host.Spoken = func(number int, text string) { p.front.Others(ops.Told{By: number, Text: text}) }
		host.Changed = p.changed
	}
	if legacy != nil && len(state.Members) > 0 && len(legacy.Files) > 2 {
		files := legacy.Files[len(legacy.Files)-2:]
		if p.mesh, err = mesh.Inherit(t, who, host, p.log, state.Members, files); err == nil {
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
	if p.offers.Members.Words {
		p.front.Speak(p.mesh.Say)
	}
}

// changed has the front take notice of who came and who is gone.
func (p *process) changed(c members.Changed) {
	if c.Number < 0 {
		return
	}
	switch {
	case c.State.Ended():
		p.front.Others(ops.Fell{By: c.Number})
	case c.State == members.Here && (c.New || c.Before.Ended()):
		if c.New {
			p.front.Others(ops.Fell{By: c.Number}) // another process: what the one before had out is its own no more
		}
		p.front.Others(ops.Came{Number: c.Number})
	}
}

// giveMember adds what makes the heir the same member.
func (p *process) giveMember(state *handover.State) []syscall.Conn {
	if p.mesh == nil {
		return nil
	}
	text, sockets, err := p.mesh.Give()
	if err != nil {
		p.log.Warn().Err(err).Msg("membership is not handed over")
		return nil
	}
	state.Members = text
	return sockets
}

// leave tells the others that this process ends, unless its heir goes on in its place.
func (p *process) leave() {
	if p.mesh != nil && !p.front.Replaced() {
		p.mesh.Leave()
	}
}

// calls are the console's for what is switched on.
func (p *process) calls() (calls []console.Call) {
	if p.mesh != nil {
		calls = append(calls, console.Call{Path: "/api/members", Answer: func() any { return p.mesh.Shown() }})
	}
	return calls
}
