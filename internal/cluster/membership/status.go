package membership

// MemberView is another member in this process's view.
type MemberView struct {
	Name   string `json:"name"`
	Addr   string `json:"address"`
	Number int    `json:"number"`
	State  State  `json:"state"`
	Incarnation
	Refutations uint64 `json:"turn"`
	ReportedBy  string `json:"by"`        // the member that reported the state
	Since       Time   `json:"-"`         // when the state began in this process's view
	RTT         Time   `json:"-"`         // round-trip time; 0 if not known
	Reachable   bool   `json:"reachable"` // the member answers this process directly
	Private     bool   `json:"private"`   // State was found while this process was isolated; not reported
}

// LocalStatus is the status of a process itself.
type LocalStatus struct {
	Name  string `json:"name"`
	Addr  string `json:"address"`
	State State  `json:"state"`
	Incarnation
	Refutations uint64            `json:"turn"`
	Live        int               `json:"live"` // other members that are alive or suspect
	Isolated    bool              `json:"deaf"` // no message has arrived since a failed probe was sent
	CatchingUp  bool              `json:"asks"` // this process was paused, and does not know yet what it missed
	Loss        float64           `json:"loss"` // fraction of direct pings of live members that were lost
	Lateness    Time              `json:"-"`    // of the latest late tick
	MaxLateness Time              `json:"-"`
	Counts      map[string]uint64 `json:"counts"`
}

func (n *Node) viewOf(m *member) MemberView {
	view := MemberView{
		Name:        m.record.Name,
		Addr:        m.record.Addr,
		Number:      m.record.Number,
		State:       m.state,
		Incarnation: m.record.Incarnation,
		Refutations: m.record.Refutations,
		ReportedBy:  m.record.ReportedBy,
		Since:       m.changedAt,
		RTT:         m.rtt.mean,
		Reachable:   m.reachable(),
		Private:     m.private,
	}
	suspectedHere := m.state == Suspect && m.suspicion.foundLocally && m.record.State < Suspect
	if m.private || suspectedHere {
		view.ReportedBy = n.self.Name
	}
	return view
}

// View returns all other members, in order of their names.
func (n *Node) View() []MemberView {
	view := make([]MemberView, 0, len(n.members.byName))
	for _, name := range n.members.sortedNames() {
		view = append(view, n.viewOf(n.members.byName[name]))
	}
	return view
}

// Self returns this process's own record.
func (n *Node) Self() MemberRecord { return n.self }

// CatchingUp reports whether this process was paused for long, and does not know yet what it missed.
func (n *Node) CatchingUp() bool { return n.phase == catchingUp }

// Status returns the status of this process itself.
func (n *Node) Status() LocalStatus {
	counts := make(map[string]uint64, len(n.counters))
	for name, count := range n.counters {
		counts[string(name)] = count
	}
	return LocalStatus{
		Name:        n.self.Name,
		Addr:        n.self.Addr,
		State:       n.self.State,
		Incarnation: n.self.Incarnation,
		Refutations: n.self.Refutations,
		Live:        len(n.members.live),
		Isolated:    n.detector.isolated,
		CatchingUp:  n.CatchingUp(),
		Loss:        n.detector.loss,
		Lateness:    n.detector.health.lateness,
		MaxLateness: n.detector.health.maxLateness,
		Counts:      counts,
	}
}
