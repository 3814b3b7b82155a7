package config

import (
	"hash/fnv"
	"strings"
)

// A peer report is four characters of peerReportDigits: three that stand for the worker, one for a count
// of attempts. It is short, since each byte of a message between schedulers is paid for.
const (
	peerReportDigits = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_"
	digitBits        = 6
	digitMask        = 1<<digitBits - 1
	workerTagLength  = 3
	peerReportLength = workerTagLength + 1

	// MaxPeerReportCount is the highest count that a peer report can hold; higher ones are sent as this
	// one.
	MaxPeerReportCount = digitMask
)

// IdentityHash hashes a name to the same number at every scheduler. It is never 0.
func IdentityHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name)) // never fails
	return max(h.Sum64(), 1)
}

// WorkerTag is the part of a peer report that stands for a worker. It leaves out the lowest six bits of
// the hash.
func WorkerTag(worker string) string {
	h := IdentityHash(worker)
	var tag [workerTagLength]byte
	for i := range tag {
		h >>= digitBits
		tag[i] = peerReportDigits[h&digitMask]
	}
	return string(tag[:])
}

// EncodePeerReport is the message that this scheduler has so many attempts in flight at a worker.
func EncodePeerReport(worker string, attempts int) string {
	return WorkerTag(worker) + peerReportDigits[min(attempts, MaxPeerReportCount):][:1]
}

// DecodePeerReport reads a peer report. Its worker is the index that tags has for the tag. ok is false
// for a text of another form and for a worker without a tag.
func DecodePeerReport(text string, tags map[string]int) (worker, attempts int, ok bool) {
	if len(text) != peerReportLength {
		return 0, 0, false
	}
	worker, ok = tags[text[:workerTagLength]]
	attempts = strings.IndexByte(peerReportDigits, text[workerTagLength])
	return worker, attempts, ok && attempts >= 0
}
