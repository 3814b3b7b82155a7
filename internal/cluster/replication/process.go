package replication

import (
	"encoding/binary"
	"slices"
)

const (
	processBytes = 16 // of an encoded process
	// maxEndedProcesses is how many processes are remembered as ended beside the one that runs, by name.
	maxEndedProcesses = 16
)

// encodeProcess returns a process as a claim states it: generation and nonce, in big-endian order.
func encodeProcess(p Incarnation) []byte {
	if p == (Incarnation{}) {
		return nil
	}
	text := binary.BigEndian.AppendUint64(make([]byte, 0, processBytes), p.Generation)
	return binary.BigEndian.AppendUint64(text, p.Nonce)
}

// process is the process that made the claim; zero where the claim does not state it, as claims of builds
// that know no processes do not.
//
// It stands in the field of the result, which a claim without an end does not have. Those builds reject a
// message with a field that they do not know, and retain and relay this one.
func (o *Outcome) process() Incarnation {
	if o.Stage != Claimed || o.ResultRetained || len(o.Result) != processBytes {
		return Incarnation{}
	}
	return Incarnation{
		Generation: binary.BigEndian.Uint64(o.Result),
		Nonce:      binary.BigEndian.Uint64(o.Result[processBytes/2:]),
	}
}

// processes is what is known of the processes under one name.
type processes struct {
	newest Incarnation // that the members know
	ended  []Incarnation
}

// learn takes the incarnation that the members know under the name.
func (p *processes) learn(newest Incarnation) {
	if newest.compare(p.newest) > 0 {
		p.newest = newest
	}
}

// markEnded records that one process has ended.
func (p *processes) markEnded(process Incarnation) {
	if process == (Incarnation{}) || slices.Contains(p.ended, process) {
		return
	}
	p.ended = append(p.ended, process)
	if excess := len(p.ended) - maxEndedProcesses; excess > 0 {
		p.ended = slices.Delete(p.ended, 0, excess)
	}
}

// hasEnded reports whether a process runs no more. A predecessor and its successor in a hot restart share a
// nonce, and the predecessor may still run: its end has to be reported. An earlier process with another
// nonce has ended, or was replaced.
func (p *processes) hasEnded(process Incarnation) bool {
	if process == (Incarnation{}) {
		return false
	}
	if slices.Contains(p.ended, process) {
		return true
	}
	return process.Nonce != p.newest.Nonce && process.compare(p.newest) < 0
}

// claimerEnded reports whether the process that made a claim runs no more.
func (v *memberView) claimerEnded(o *Outcome) bool {
	if v.dead[o.Scheduler] {
		return true
	}
	known := v.processes[o.Scheduler]
	return known != nil && known.hasEnded(o.process())
}

// processesOf returns what is known of the processes under a name, to be changed; nil where too many names
// are known.
func (v *memberView) processesOf(name string) *processes {
	known := v.processes[name]
	if known == nil {
		if len(v.processes) >= maxAliveMembers {
			return nil
		}
		known = &processes{}
		v.processes[name] = known
	}
	return known
}

func (v *memberView) learnProcess(name string, newest Incarnation) {
	if known := v.processesOf(name); known != nil {
		known.learn(newest)
	}
}

func (v *memberView) markProcessEnded(name string, process Incarnation) {
	if known := v.processesOf(name); known != nil {
		known.markEnded(process)
	}
}

// handleProcessEnded records that another process of this scheduler has ended, and reports it to the members.
func (c *Core) handleProcessEnded(in ProcessEnded) {
	c.members.markProcessEnded(c.config.Name, in.Process)
	c.emit(Event{Description: "process of this scheduler has ended: its claims are of unknown outcome"})
	for _, name := range c.members.alive {
		c.reportEndedProcesses(name)
	}
}

// reportEndedProcesses reports to a member which other processes of this scheduler have ended.
func (c *Core) reportEndedProcesses(to string) {
	own := c.members.processes[c.config.Name]
	if own == nil || to == c.config.Name {
		return
	}
	for _, process := range own.ended {
		c.send(to, Message{Kind: ProcessEndReported, Incarnation: process})
	}
}

// gossipEndedProcesses repeats the report to a random member, for one that missed it.
func (c *Core) gossipEndedProcesses() {
	own := c.members.processes[c.config.Name]
	if own == nil || len(own.ended) == 0 || c.now < c.members.nextProcessGossip || len(c.members.alive) == 0 {
		return
	}
	c.members.nextProcessGossip = c.now + gossipInterval
	c.reportEndedProcesses(c.members.alive[c.random.IntN(len(c.members.alive))])
}
