package store

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"

	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/lifecycle/boottime"
)

// row is a record as it is stored.
type row struct {
	Record    replication.Record `cbor:"1,keyasint"`
	FirstSeen int64              `cbor:"3,keyasint"` // ms on the file's clock; may be negative
}

// age is the record's age in whole seconds.
func (r *row) age(now boottime.Reading) uint64 {
	return uint64(max(now.SinceBoot.Milliseconds()-r.FirstSeen, 0) / 1000)
}

func newRow(record replication.Record, now boottime.Reading) row {
	return row{record, now.SinceBoot.Milliseconds() - 1000*int64(record.Age)}
}

// clock is the clock of a file's moments: that of one boot of the machine. When the file is opened after
// another boot, all rows are moved to the new clock. How long the machine was down is unknown, so their ages
// go on from the last one that is proven.
type clock struct {
	BootID string `cbor:"1,keyasint"`
	Latest int64  `cbor:"2,keyasint"` // ms: when rows were last written
}

func clockAt(now boottime.Reading) clock { return clock{now.BootID, now.SinceBoot.Milliseconds()} }

// reading is the clock's latest moment.
func (c clock) reading() boottime.Reading {
	return boottime.Reading{BootID: c.BootID, SinceBoot: time.Duration(c.Latest) * time.Millisecond}
}

// readClock reads the file's clock; false for a file of a version that used the wall clock.
func readClock(meta *bbolt.Bucket) (c clock, known bool, err error) {
	text := meta.Get(clockKey)
	if text == nil {
		return clock{}, false, nil
	}
	return c, true, cbor.Unmarshal(text, &c)
}

func (c clock) write(meta *bbolt.Bucket) error {
	text, err := cbor.Marshal(c)
	if err != nil {
		return err
	}
	return meta.Put(clockKey, text)
}

// rebase moves the moments of all rows to the clock of now, where that is another one.
func rebase(tx *bbolt.Tx, now boottime.Reading) error {
	meta := tx.Bucket(metaBucket)
	before, known, err := readClock(meta)
	if err != nil {
		return err
	}
	if _, sameBoot := now.After(before.reading()); !known || !sameBoot {
		ageOf := func(r row) int64 {
			if !known {
				return 0 // a moment of the wall clock proves nothing
			}
			return max(before.Latest-r.FirstSeen, 0)
		}
		err = rebaseRows(tx.Bucket(recordsBucket), clockAt(now).Latest, ageOf)
	}
	return errors.Join(err, clockAt(now).write(meta))
}

// rebaseRows has the rows keep their ages, in ms, at a moment of another clock.
func rebaseRows(records *bbolt.Bucket, now int64, ageOf func(row) int64) error {
	rebased := map[string][]byte{} // a bucket must not change while it is read
	err := records.ForEach(func(key, text []byte) error {
		var r row
		if err := cbor.Unmarshal(text, &r); err != nil {
			return err
		}
		r.FirstSeen = now - ageOf(r)
		var err error
		rebased[string(key)], err = cbor.Marshal(r)
		return err
	})
	for key, text := range rebased {
		err = errors.Join(err, records.Put([]byte(key), text))
	}
	return err
}
