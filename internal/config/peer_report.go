package config

import (
	"hash/fnv"
	"strings"
)

// A peer report has four characters of peerReportDigits: three for the worker and one for the number of
// attempts in flight. It is short because each byte of a message between schedulers has a cost.
const (
	peerReportDigits = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_"
	digitBits        = 6
	digitMask        = 1<<digitBits - 1
	workerTagLength  = 3
	peerReportLength = workerTagLength + 1

	// MaxPeerReportCount is the highest count that a peer report can hold. Higher counts are sent as this
	// count.
	MaxPeerReportCount = digitMask
)

// IdentityHash returns the hash of a name. It is the same at every scheduler and never 0.
func IdentityHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name)) // never fails
	return max(h.Sum64(), 1)
}

// WorkerTag returns the part of a peer report that identifies a worker. It encodes bits 6 to 23 of the
// hash of the worker's name; the lowest six bits are not used.
func WorkerTag(worker string) string {
	h := IdentityHash(worker)
	var tag [workerTagLength]byte
	for i := range tag {
		h >>= digitBits
		tag[i] = peerReportDigits[h&digitMask]
	}
	return string(tag[:])
}

// EncodePeerReport returns the peer report with the number of attempts in flight at a worker.
func EncodePeerReport(worker string, attempts int) string {
	return WorkerTag(worker) + peerReportDigits[min(attempts, MaxPeerReportCount):][:1]
}

// DecodePeerReport decodes a peer report. tags maps the tags of workers to their numbers. worker is the
// number for the report's tag. ok is false if the text is malformed or tags does not have the report's tag.
func DecodePeerReport(text string, tags map[string]int) (worker, attempts int, ok bool) {
	if len(text) != peerReportLength {
		return 0, 0, false
	}
	worker, ok = tags[text[:workerTagLength]]
	attempts = strings.IndexByte(peerReportDigits, text[workerTagLength])
	return worker, attempts, ok && attempts >= 0
}
