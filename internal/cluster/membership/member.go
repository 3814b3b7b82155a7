package membership

// member is what this process knows of another member.
type member struct {
	record    MemberRecord // the greatest that anybody has reported
	state     State        // what this process holds it to be; see applyDeath for how it lags behind record
	changedAt Time         // when state changed last
	endedAt   Time         // when it was first held to have ended, by this process or by another
	index     int          // in memberTable.live or memberTable.dead; notListed for a new one
	private   bool         // state was found while this process was isolated, and is not reported to others

	suspicion       suspicion // while state is Suspect
	rtt             rttEstimate
	unansweredPings int  // direct pings in a row without an answer
	correctedAt     Time // when it was last sent what is reported of it
	replay          replayWindow
}

const notListed = -1

// reachable tells whether the member answers this process directly.
func (m *member) reachable() bool {
	return !m.state.Ended() && m.unansweredPings < maxUnansweredPings
}

// rttEstimate is a smoothed round-trip time and its mean deviation, as in RFC 6298.
type rttEstimate struct {
	mean      Time // 0: not measured
	deviation Time
}

// add takes a measured round trip into the estimate.
func (r *rttEstimate) add(measured Time) {
	if r.mean == 0 {
		r.mean = measured
		r.deviation = measured / 2
		return
	}
	difference := max(measured-r.mean, r.mean-measured)
	r.deviation += (difference - r.deviation) / 4
	r.mean += (measured - r.mean) / 8
}

// timeout returns for how long to wait for an answer, within the bounds that the timeout of a whole probe
// gives.
func (r *rttEstimate) timeout(probeTimeout Time) Time {
	longest := probeTimeout / 2
	if r.mean == 0 {
		return longest
	}
	return min(max(r.mean+4*r.deviation, probeTimeout/8), longest)
}
