package simulation

import "math"

// maxCheckedPlaces is up to how many places reachability is recorded: the work grows with the square of
// them. Larger clusters are checked for the detection of deaths alone.
const maxCheckedPlaces = 64

const longAgo = math.MinInt32

// reachability is, for each pair of places, when they last could not reach each other both ways, directly
// or through one other.
type reachability struct {
	unreachableAt [][]Time
}

// grow adds a place.
func (r *reachability) grow() {
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

// markUnreachable records that nobody could count on a place until now.
func (r *reachability) markUnreachable(place int, now Time) {
	for other := range r.unreachableAt {
		r.mark(place, other, now)
	}
}

func (c *Cluster) checksReachability() bool { return len(c.processes) <= maxCheckedPlaces }

// responsive tells whether a process answers, by what members promise: a pause up to MaxPause counts as
// none.
func (c *Cluster) responsive(index int) bool {
	p := c.processes[index]
	pausedTooLong := p.paused && c.Now()-p.pausedAt > c.MaxPause
	return p.running && !p.stopped && !pausedTooLong
}

// mutuallyReachable tells whether two places can reach each other both ways, directly or through one other.
func (c *Cluster) mutuallyReachable(i, j int) bool {
	if !c.responsive(i) || !c.responsive(j) {
		return false
	}
	if c.network.openBothWays(i, j) {
		return true
	}
	for k := range c.processes {
		connects := c.network.openBothWays(i, k) && c.network.openBothWays(k, j)
		if k != i && k != j && connects && c.responsive(k) {
			return true
		}
	}
	return false
}

// recordReachability records which pairs can't reach each other now. It must be called before and after
// each change of what is true.
func (c *Cluster) recordReachability() {
	if !c.checksReachability() {
		return
	}
	for i := range c.processes {
		for j := range i {
			if !c.mutuallyReachable(i, j) {
				c.truth.mark(i, j, c.Now())
			}
		}
	}
}
