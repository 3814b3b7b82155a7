package mesh

import (
	"fmt"

	"woaddyke/internal/cluster/membership"
)

// Status is the view as the console shows it.
type Status struct {
	Self    membership.LocalStatus `json:"self"`
	LateMS  float64                `json:"late_ms"`       // by how much the latest late timer was late
	WorstMS float64                `json:"worst_late_ms"` // the most that any was
	Dropped map[string]uint64      `json:"dropped"`       // messages and streams, by cause
	Members []MemberStatus         `json:"members"`
	Digest  string                 `json:"digest"` // equal for equal views
}

// MemberStatus is one other member in it.
type MemberStatus struct {
	membership.MemberView
	ForS  float64 `json:"for_s"` // how long it has been in its state, as seen here
	RTTms float64 `json:"rtt_ms"`
}

// knownMembers is the view for callers that do not wait for the loop.
type knownMembers struct {
	self   membership.MemberRecord
	byName map[string]membership.MemberView
}

func milliseconds(t membership.Time) float64 { return float64(t) / 10 }

// updateSnapshot stores the present view for Status and for services. The loop calls it.
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

// Status returns the view as it was a moment ago. It does not wait.
func (m *Mesh) Status() *Status { return m.status.Load() }
