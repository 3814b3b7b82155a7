package simulation

import "math"

// maxCheckedHosts is the greatest number of hosts for which reachability is recorded, because the work
// grows with the square of that number. In larger clusters, reports of deaths are not checked for being
// false.
const maxCheckedHosts = 64

const longAgo = math.MinInt32

// reachability records for each pair of hosts when they last could not reach each other both ways,
// directly or through one other host.
type reachability struct {
	unreachableAt [][]Time
}

// addHost adds a host that every other host could always reach.
func (r *reachability) addHost() {
	for i := range r.unreachableAt {
		r.unreachableAt[i] = append(r.unreachableAt[i], longAgo)
	}
	row := make([]Time, len(r.unreachableAt)+1)
	for i := range row {
		row[i] = longAgo
	}
	r.unreachableAt = append(r.unreachableAt, row)
}

func (r *reachability) mark(i, j int, now Time) {
	r.unreachableAt[i][j] = now
	r.unreachableAt[j][i] = now
}

// markUnreachable records that no other host could reach a host until now.
func (r *reachability) markUnreachable(index int, now Time) {
	for other := range r.unreachableAt {
		r.mark(index, other, now)
	}
}

func (c *Cluster) checksReachability() bool { return len(c.hosts) <= maxCheckedHosts }

// responsive reports whether the process of a host counts as answering. A pause up to MaxPause is
// ignored, because members must not report a death after such a pause.
func (c *Cluster) responsive(index int) bool {
	h := c.hosts[index]
	pausedTooLong := h.paused && c.Now()-h.pausedAt > c.MaxPause
	return h.running && !h.stopped && !pausedTooLong
}

// mutuallyReachable reports whether two hosts can reach each other both ways, directly or through one
// other host.
func (c *Cluster) mutuallyReachable(i, j int) bool {
	if !c.responsive(i) || !c.responsive(j) {
		return false
	}
	if c.network.openBothWays(i, j) {
		return true
	}
	for k := range c.hosts {
		connects := c.network.openBothWays(i, k) && c.network.openBothWays(k, j)
		if k != i && k != j && connects && c.responsive(k) {
			return true
		}
	}
	return false
}

// recordReachability records which pairs of hosts can't reach each other now. It must be called before
// and after each change of a link or of a process's state.
func (c *Cluster) recordReachability() {
	if !c.checksReachability() {
		return
	}
	for i := range c.hosts {
		for j := range i {
			if !c.mutuallyReachable(i, j) {
				c.reachability.mark(i, j, c.Now())
			}
		}
	}
}
