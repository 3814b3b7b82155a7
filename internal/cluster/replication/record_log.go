package replication

import "slices"

// recordLog contains the records in the order of their latest changes. Positions in that order start at 1,
// and an incarnation never reuses a position.
type recordLog struct {
	maxRecords int
	maxBytes   int

	byKey    map[string]*Record
	byDigest map[uint64]*Record
	bytes    int    // estimated size of all records
	digest   uint64 // of all records; updated with each change, since computing it when read would delay ops

	changes       []*Record // by position; nil if the record has changed again or was removed
	firstPosition uint64    // position of changes[0]
	position      uint64    // position of the latest change

	bySecond     map[Time][]*Record // by the second in which the records were first seen
	oldestSecond Time
}

func newRecordLog(maxRecords, maxBytes int, now Time) recordLog {
	return recordLog{
		maxRecords:    maxRecords,
		maxBytes:      maxBytes,
		byKey:         map[string]*Record{},
		byDigest:      map[uint64]*Record{},
		firstPosition: 1,
		bySecond:      map[Time][]*Record{},
		oldestSecond:  secondOf(now),
	}
}

// full reports whether no record may be added.
func (l *recordLog) full() bool {
	return len(l.byKey) >= l.maxRecords || l.bytes >= l.maxBytes
}

// fits reports whether a new record may be added.
func (l *recordLog) fits(r *Record) bool {
	return len(l.byKey) < l.maxRecords && l.bytes+r.size() <= l.maxBytes
}

// add adds a record without outcomes. The caller adds the outcomes and calls update.
func (l *recordLog) add(key string, fingerprint uint64, firstSeen Time) *Record {
	r := &Record{Key: key, Fingerprint: fingerprint, firstSeen: firstSeen}
	l.byKey[key] = r
	second := secondOf(firstSeen)
	l.bySecond[second] = append(l.bySecond[second], r)
	l.oldestSecond = min(l.oldestSecond, second)
	return r
}

// update updates the size and the digests of the log after a record has changed.
func (l *recordLog) update(r *Record, sizeBefore int) {
	l.bytes += r.size() - sizeBefore
	l.updateDigest(r)
}

func (l *recordLog) updateDigest(r *Record) {
	l.removeDigest(r)
	r.digestSum = r.digest()
	l.digest ^= r.digestSum
	l.byDigest[r.digestSum] = r
}

func (l *recordLog) removeDigest(r *Record) {
	l.digest ^= r.digestSum
	delete(l.byDigest, r.digestSum)
}

// appendChange moves a record to the end of the order of changes.
func (l *recordLog) appendChange(r *Record) {
	if r.position > 0 {
		l.changes[r.position-l.firstPosition] = nil
	}
	l.position++
	r.position = l.position
	l.changes = append(l.changes, r)
	holes := 0
	for holes < len(l.changes) && l.changes[holes] == nil {
		holes++
	}
	l.changes = l.changes[holes:]
	l.firstPosition += uint64(holes)
}

// changedAfter returns the digests of up to limit records that changed after a position, the last position
// that was examined, and whether there are later positions.
func (l *recordLog) changedAfter(position uint64, limit int) (digests []uint64, last uint64, more bool) {
	at := max(position+1, l.firstPosition)
	end := l.firstPosition + uint64(len(l.changes))
	for ; at < end && len(digests) < limit; at++ {
		if r := l.changes[at-l.firstPosition]; r != nil {
			digests = append(digests, r.digestSum)
		}
	}
	return digests, at - 1, at < end
}

// missing returns the digests of records that are not in the log. It modifies the argument.
func (l *recordLog) missing(digests []uint64) []uint64 {
	return slices.DeleteFunc(digests, func(digest uint64) bool { return l.byDigest[digest] != nil })
}

// expire removes the records whose retention has ended. It returns their keys, ordered by the second in which
// the records were first seen. Ages are exchanged in whole seconds. A more precise order would require
// sorting all records of a second.
func (l *recordLog) expire(now, retention Time) (keys []string) {
	for ; (l.oldestSecond+1)*second+retention <= now; l.oldestSecond++ {
		for _, r := range l.bySecond[l.oldestSecond] {
			l.remove(r)
			keys = append(keys, r.Key)
		}
		delete(l.bySecond, l.oldestSecond)
	}
	return keys
}

func (l *recordLog) remove(r *Record) {
	l.bytes -= r.size()
	l.removeDigest(r)
	delete(l.byKey, r.Key)
	l.changes[r.position-l.firstPosition] = nil
}

// page returns up to limit records after a key, sorted by key. It sorts only the keys that it returns, since
// ops wait during the call.
func (l *recordLog) page(after string, limit int) (page []Record) {
	keys := make([]string, 0, limit+1)
	for key := range l.byKey {
		if key <= after || len(keys) == limit && key > keys[limit-1] {
			continue
		}
		i, _ := slices.BinarySearch(keys, key)
		keys = slices.Insert(keys, i, key)
		keys = keys[:min(len(keys), limit)]
	}
	for _, key := range keys {
		page = append(page, *l.byKey[key])
	}
	return page
}

// secondOf returns a time in whole seconds, rounded down.
func secondOf(t Time) Time {
	if t < 0 {
		t -= second - 1
	}
	return t / second
}
