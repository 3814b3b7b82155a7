package store

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"

	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/lifecycle/boottime"
)

// row is a record as it is stored in the file.
type row struct {
	Record    replication.Record `cbor:"1,keyasint"`
	FirstSeen int64              `cbor:"3,keyasint"` // ms since boot, on the file's clock; may be negative
}

// age returns the record's age in whole seconds.
func (r *row) age(now boottime.Reading) uint64 {
	return uint64(max(now.SinceBoot.Milliseconds()-r.FirstSeen, 0) / 1000)
}

func newRow(record replication.Record, now boottime.Reading) row {
	return row{record, now.SinceBoot.Milliseconds() - 1000*int64(record.Age)}
}

// clock is the clock to which the times in a file refer. It counts the time since one boot of the machine.
// When the file is loaded in another boot, all rows are converted to the clock of that boot. How long the
// machine was down is unknown, so the ages of the rows continue from their last known values.
type clock struct {
	BootID string `cbor:"1,keyasint"`
	Latest int64  `cbor:"2,keyasint"` // ms since boot when the file was last loaded or rows were last written
}

func clockAt(now boottime.Reading) clock { return clock{now.BootID, now.SinceBoot.Milliseconds()} }

// reading returns the latest time on the clock.
func (c clock) reading() boottime.Reading {
	return boottime.Reading{BootID: c.BootID, SinceBoot: time.Duration(c.Latest) * time.Millisecond}
}

// readClock reads the file's clock. known is false for a new file and for a file of a version that
// used the wall clock.
func readClock(meta *bbolt.Bucket) (c clock, known bool, err error) {
	data := meta.Get(clockKey)
	if data == nil {
		return clock{}, false, nil
	}
	return c, true, cbor.Unmarshal(data, &c)
}

func (c clock) write(meta *bbolt.Bucket) error {
	data, err := cbor.Marshal(c)
	if err != nil {
		return err
	}
	return meta.Put(clockKey, data)
}

// rebase converts all rows to the clock of now, unless the file's clock is of the same boot and not ahead of
// now. It also writes the clock of now to the file.
func rebase(tx *bbolt.Tx, now boottime.Reading) error {
	meta := tx.Bucket(metaBucket)
	before, known, err := readClock(meta)
	if err != nil {
		return err
	}
	if _, sameBoot := now.After(before.reading()); !known || !sameBoot {
		ageOf := func(r row) int64 {
			if !known {
				return 0 // no age can be derived from a wall-clock time
			}
			return max(before.Latest-r.FirstSeen, 0)
		}
		err = rebaseRows(tx.Bucket(recordsBucket), clockAt(now).Latest, ageOf)
	}
	return errors.Join(err, clockAt(now).write(meta))
}

// rebaseRows converts all rows to another clock. now is the time on that clock in ms, and ageOf returns the
// age of a row in ms.
func rebaseRows(records *bbolt.Bucket, now int64, ageOf func(row) int64) error {
	rebased := map[string][]byte{} // a bucket must not change during ForEach
	err := records.ForEach(func(key, data []byte) error {
		var r row
		if err := cbor.Unmarshal(data, &r); err != nil {
			return err
		}
		r.FirstSeen = now - ageOf(r)
		var err error
		rebased[string(key)], err = cbor.Marshal(r)
		return err
	})
	for key, data := range rebased {
		err = errors.Join(err, records.Put([]byte(key), data))
	}
	return err
}
