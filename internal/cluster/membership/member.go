package membership

// member holds what this process knows of another member.
type member struct {
	record    MemberRecord // the greatest record that was reported
	state     State        // in this process's view; it may lag behind record, see applyDeath
	changedAt Time         // when state last changed
	endedAt   Time         // when this process or another one first found that the member had ended
	index     int          // in memberTable.live or memberTable.dead; notListed for a new one
	private   bool         // state was found while this process was isolated, and is not reported to others

	suspicion       suspicion // while state is Suspect
	rtt             rttEstimate
	unansweredPings int  // direct pings in a row without an answer
	correctedAt     Time // when sendCorrection last sent a correction to the member
	replay          replayWindow
}

const notListed = -1

// reachable reports whether the member answers this process directly.
func (m *member) reachable() bool {
	return !m.state.Ended() && m.unansweredPings < maxUnansweredPings
}

// rttEstimate is a smoothed round-trip time and its mean deviation, as in RFC 6298.
type rttEstimate struct {
	mean      Time // 0 if not measured yet
	deviation Time
}

// add updates the estimate with a measured round trip.
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

// timeout returns how long to wait for a direct ack: from an eighth to a half of the probe timeout.
func (r *rttEstimate) timeout(probeTimeout Time) Time {
	longest := probeTimeout / 2
	if r.mean == 0 {
		return longest
	}
	return min(max(r.mean+4*r.deviation, probeTimeout/8), longest)
}
