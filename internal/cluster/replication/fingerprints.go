package replication

import (
	"encoding/binary"
	"slices"
)

// A key is chosen by clients, so two requests may come under one key. Each claim therefore has the fingerprint
// of the request that made it. Record.Fingerprint is that of the request that holds the key: the one that has
// ended, or else the one whose claims are unresolved. A claim that was released says nothing about the key.
//
// Encoded, an outcome has the fingerprint of its record. The exception is an unresolved claim of a request
// that does not hold the key, of which a minority of the replicas knows until it is released. Its fingerprint
// follows the process in the Result field, which is unused until the claim has ended. Older builds treat such
// a claim as one that does not state its process.
const (
	fingerprintBytes           = 8
	processAndFingerprintBytes = processBytes + fingerprintBytes
)

// keyHolder is the request that holds a key.
type keyHolder struct {
	held        bool   // there is such a request
	ended       bool   // the request has ended
	contended   bool   // claims of several requests are unresolved, of which at most one has a majority
	fingerprint uint64 // of the request, unless contended
}

// isRequest reports whether no request other than that with the given fingerprint holds the key.
func (h *keyHolder) isRequest(fingerprint uint64) bool {
	return !h.held || !h.contended && h.fingerprint == fingerprint
}

// holder returns the request that holds the key, apart from the claim except.
func (r *Record) holder(except Claim) (h keyHolder) {
	if end, ended := r.endedOutcome(); ended {
		return keyHolder{held: true, ended: true, fingerprint: end.fingerprint}
	}
	for _, o := range r.Outcomes {
		if !o.unresolved() || o.Claim == except {
			continue
		}
		h.contended = h.contended || h.held && o.fingerprint != h.fingerprint
		h.held, h.fingerprint = true, o.fingerprint
	}
	return h
}

// updateFingerprint sets the fingerprint of the record after its outcomes have changed. If claims of several
// requests are unresolved, or all claims are released, it chooses the same one at all replicas.
func (r *Record) updateFingerprint() {
	if end, ended := r.endedOutcome(); ended {
		r.Fingerprint = end.fingerprint
		return
	}
	var unresolved, released uint64
	for _, o := range r.Outcomes {
		if o.unresolved() {
			unresolved = max(unresolved, o.fingerprint)
		} else {
			released = max(released, o.fingerprint)
		}
	}
	r.Fingerprint = released
	if unresolved > 0 {
		r.Fingerprint = unresolved
	}
}

// fingerprintOf returns the fingerprint with which an outcome enters the digest of the record.
func (r *Record) fingerprintOf(o *Outcome) uint64 {
	if o.unresolved() {
		return o.fingerprint
	}
	return r.Fingerprint
}

// endedByTwoRequests reports whether claims of several requests have ended.
func (r *Record) endedByTwoRequests() bool {
	return slices.ContainsFunc(r.Outcomes, func(o Outcome) bool {
		return o.Stage == Ended && o.fingerprint != r.Fingerprint
	})
}

// encodeFingerprints adds the fingerprints that differ from that of the record to the outcomes. The outcomes
// must be a copy.
func (r *Record) encodeFingerprints() {
	for i := range r.Outcomes {
		o := &r.Outcomes[i]
		if !o.unresolved() || o.fingerprint == r.Fingerprint {
			continue
		}
		result := make([]byte, processBytes, processAndFingerprintBytes)
		copy(result, o.Result)
		o.Result = binary.BigEndian.AppendUint64(result, o.fingerprint)
	}
}

// decodeFingerprints returns a copy of a received record with the fingerprint of each outcome.
func (r Record) decodeFingerprints() Record {
	outcomes := make([]Outcome, len(r.Outcomes))
	for i := range outcomes {
		outcomes[i] = r.decodedOutcome(i)
	}
	r.Outcomes = outcomes
	return r
}

// decodedOutcome returns an outcome of a received record with its fingerprint.
func (r *Record) decodedOutcome(i int) Outcome {
	o := r.Outcomes[i]
	o.fingerprint = r.Fingerprint
	if !o.unresolved() || o.ResultRetained || len(o.Result) != processAndFingerprintBytes {
		return o
	}
	o.fingerprint = binary.BigEndian.Uint64(o.Result[processBytes:])
	o.Result = o.Result[:processBytes:processBytes]
	if !slices.ContainsFunc(o.Result, func(b byte) bool { return b != 0 }) {
		o.Result = nil
	}
	return o
}
