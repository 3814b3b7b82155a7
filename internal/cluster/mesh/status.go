package mesh

import (
	"fmt"

	"woaddyke/internal/cluster/membership"
)

// Status is the view of the cluster that the console shows.
type Status struct {
	Self    membership.LocalStatus `json:"self"`
	LateMS  float64                `json:"late_ms"`       // delay of the last timer that fired late, in ms
	WorstMS float64                `json:"worst_late_ms"` // longest delay of a timer, in ms
	Dropped map[string]uint64      `json:"dropped"`       // number of dropped messages and streams by cause
	Members []MemberStatus         `json:"members"`
	Digest  string                 `json:"digest"` // hash of the view; equal for equal views
}

// MemberStatus is the state of another member in the view.
type MemberStatus struct {
	membership.MemberView
	ForS  float64 `json:"for_s"`  // seconds since this process saw the member enter its state
	RTTms float64 `json:"rtt_ms"` // round-trip time, in ms
}

// knownMembers is a copy of the view for goroutines other than the loop.
type knownMembers struct {
	self   membership.MemberRecord
	byName map[string]membership.MemberView
}

func milliseconds(t membership.Time) float64 { return float64(t) / 10 }

// updateSnapshot stores the current view for Status and for the services. Once the loop runs, only the loop
// calls it.
func (m *Mesh) updateSnapshot() {
	now := Now()
	self := m.node.Status()
	status := &Status{
		Self:    self,
		LateMS:  milliseconds(self.Lateness),
		WorstMS: milliseconds(self.MaxLateness),
		Dropped: m.dropped.byCause(),
		Members: []MemberStatus{},
		Digest:  fmt.Sprintf("%016x", m.node.Digest()),
	}
	view := m.node.View()
	known := &knownMembers{
		self:   m.node.Self(),
		byName: make(map[string]membership.MemberView, len(view)),
	}
	for _, member := range view {
		status.Members = append(status.Members, MemberStatus{
			MemberView: member,
			ForS:       milliseconds(now-member.Since) / 1000,
			RTTms:      milliseconds(member.RTT),
		})
		known.byName[member.Name] = member
	}
	m.status.Store(status)
	m.known.Store(known)
}

// Status returns the latest snapshot of the view. It does not wait.
func (m *Mesh) Status() *Status { return m.status.Load() }
