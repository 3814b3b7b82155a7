package replication

import (
	"encoding/binary"
	"slices"
)

const (
	processBytes = 16 // size of an encoded process
	// maxEndedProcesses is the maximum number of ended processes that are remembered for each scheduler name.
	maxEndedProcesses = 16
)

// encodeProcess returns a process as a claim states it: generation and nonce, in big-endian byte order.
func encodeProcess(p Incarnation) []byte {
	if p == (Incarnation{}) {
		return nil
	}
	encoded := binary.BigEndian.AppendUint64(make([]byte, 0, processBytes), p.Generation)
	return binary.BigEndian.AppendUint64(encoded, p.Nonce)
}

// process returns the process that made the claim. It is zero if the claim does not state its process, as in
// claims of older builds.
//
// The process is encoded in the Result field, which is unused until the claim has ended. Older builds reject
// a message with an unknown field, but store and relay the Result field.
func (o *Outcome) process() Incarnation {
	if o.Stage != Claimed || o.ResultRetained || len(o.Result) != processBytes {
		return Incarnation{}
	}
	return Incarnation{
		Generation: binary.BigEndian.Uint64(o.Result),
		Nonce:      binary.BigEndian.Uint64(o.Result[processBytes/2:]),
	}
}

// schedulerProcesses records the known processes of one scheduler name.
type schedulerProcesses struct {
	newest Incarnation // the newest process that the members know
	ended  []Incarnation
}

// learn records the incarnation that the members know for the name, if it is newer than the recorded one.
func (p *schedulerProcesses) learn(newest Incarnation) {
	if newest.compare(p.newest) > 0 {
		p.newest = newest
	}
}

// markEnded records that a process has ended.
func (p *schedulerProcesses) markEnded(process Incarnation) {
	if process == (Incarnation{}) || slices.Contains(p.ended, process) {
		return
	}
	p.ended = append(p.ended, process)
	if excess := len(p.ended) - maxEndedProcesses; excess > 0 {
		p.ended = slices.Delete(p.ended, 0, excess)
	}
}

// hasEnded reports whether a process no longer runs. A predecessor and its successor in a hot restart have
// the same nonce, and the predecessor may still run, so its end must be reported. An earlier process with
// another nonce has ended or was replaced.
func (p *schedulerProcesses) hasEnded(process Incarnation) bool {
	if process == (Incarnation{}) {
		return false
	}
	if slices.Contains(p.ended, process) {
		return true
	}
	return process.Nonce != p.newest.Nonce && process.compare(p.newest) < 0
}

// claimerEnded reports whether the process that made a claim can no longer push or answer the op. A scheduler that
// was told to end leaves the members at once, but answers its ops first.
func (v *memberView) claimerEnded(o *Outcome, now Time) bool {
	until, leaves := v.holdsOpsUntil[o.Scheduler]
	if v.dead[o.Scheduler] || leaves && now >= until {
		return true
	}
	known := v.processes[o.Scheduler]
	return known != nil && known.hasEnded(o.process())
}

// processesOf returns the entry for the processes of a scheduler name, and adds one if there is none. It
// returns nil if the table is full.
func (v *memberView) processesOf(name string) *schedulerProcesses {
	known := v.processes[name]
	if known == nil {
		if len(v.processes) >= maxAliveMembers {
			return nil
		}
		known = &schedulerProcesses{}
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

// gossipEndedProcesses periodically reports the ended processes again to a random member, in case that member
// missed a report.
func (c *Core) gossipEndedProcesses() {
	own := c.members.processes[c.config.Name]
	if own == nil || len(own.ended) == 0 || c.now < c.members.nextProcessGossip || len(c.members.alive) == 0 {
		return
	}
	c.members.nextProcessGossip = c.now + gossipInterval
	c.reportEndedProcesses(c.members.alive[c.random.IntN(len(c.members.alive))])
}
