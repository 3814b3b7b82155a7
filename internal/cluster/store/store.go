// Package store keeps a keeper's records on a disk that lasts: one file, held by one process at a time, in an embedded store whose
// transactions are whole or not there. It decides nothing.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"

	"woaddyke/internal/cluster/replicaset"
	"woaddyke/internal/cluster/replication"
	"woaddyke/internal/lifecycle/boottime"
)

const (
	lockTime = 2 * time.Second // for the process before to let go of the file
	version  = 3
)

// Forms of before that are read still.
const (
	catchesUp   = 1 // its records are dropped
	byWallClock = 2 // the ages of its records are unknown
)

// Descriptors is how many an open store holds.
const Descriptors = 1

var (
	recordsName = []byte("records")
	metaName    = []byte("meta")
	lifeKey     = []byte("life")
	epochKey    = []byte("epoch")
	versionKey  = []byte("version")
	agreedKey   = []byte("agreed")
	seenName    = []byte("seen")
	clockKey    = []byte("clock")
)

// row is a record as it stands on the disk.
type row struct {
	Record replication.Record `cbor:"1,keyasint"`
	First  int64              `cbor:"3,keyasint"` // ms on the file's clock at which it was first heard of; of a moment before that it is negative
}

// clock is what the moments of rows are told by: the clock of one start of the machine. When the file is opened after another start,
// all rows are moved to the new clock. How long the machine was down is not known, so their ages go on from the last one that is proven.
type clock struct {
	Boot   string `cbor:"1,keyasint"`
	Latest int64  `cbor:"2,keyasint"` // ms: rows were last written then
}

func clockAt(now boottime.Reading) clock { return clock{now.BootID, now.SinceBoot.Milliseconds()} }

// readClock is the file's clock; none for a file of a form that told moments by the wall clock.
func readClock(meta *bbolt.Bucket) (c clock, ok bool, err error) {
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

// goBy has the moments of all rows told by the clock of now.
func goBy(tx *bbolt.Tx, now boottime.Reading) error {
	meta, records := tx.Bucket(metaName), tx.Bucket(recordsName)
	before, known, err := readClock(meta)
	if err != nil {
		return err
	}
	next := clockAt(now)
	if _, same := now.After(boottime.Reading{BootID: before.Boot, SinceBoot: time.Duration(before.Latest) * time.Millisecond}); known && same {
		return next.write(meta)
	}
	moved := map[string][]byte{}
	err = records.ForEach(func(key, text []byte) error {
		var r row
		if err := cbor.Unmarshal(text, &r); err != nil {
			return err
		}
		age := int64(0) // a moment of the wall clock proves nothing
		if known {
			age = max(before.Latest-r.First, 0)
		}
		r.First = next.Latest - age
		moved[string(key)], err = cbor.Marshal(r)
		return err
	})
	for key, text := range moved {
		err = errors.Join(err, records.Put([]byte(key), text))
	}
	return errors.Join(err, next.write(meta))
}

// Store is one file.
type Store struct {
	db *bbolt.DB
}

// Open opens or makes the file. With sync off a crash of the machine, not of the process, may lose the last records: a keeper that comes
// back from one must not be believed.
func Open(path string, sync bool) (*Store, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTime, NoSync: !sync, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, fmt.Errorf("copies: %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaName)
		if err != nil {
			return err
		}
		if v := meta.Get(versionKey); v != nil && v[0] == catchesUp { // its keeper catches up as one without memory
			err = errors.Join(tx.DeleteBucket(recordsName), meta.Delete(lifeKey))
		} else if v != nil && v[0] != version && v[0] != byWallClock {
			return fmt.Errorf("its form is %d, this build reads %d", v[0], version)
		}
		if err != nil {
			return err
		}
		_, err = tx.CreateBucketIfNotExists(recordsName)
		_, err2 := tx.CreateBucketIfNotExists(seenName)
		return errors.Join(err, err2, meta.Put(versionKey, []byte{version}))
	})
	if err != nil {
		return nil, fmt.Errorf("copies: %s: %w", path, errors.Join(err, db.Close()))
	}
	return &Store{db}, nil
}

// Load reads all records, and as which life, of which set of keepers, they were kept; false for a file that is new, or whose keeper had
// not caught up. From here on the file goes by the clock of now.
func (s *Store) Load(now boottime.Reading) (records []replication.Record, life replication.Incarnation, epoch uint64, ok bool, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		if err := goBy(tx, now); err != nil {
			return err
		}
		meta := tx.Bucket(metaName)
		l := meta.Get(lifeKey)
		if len(l) != 16 {
			return nil
		}
		life = replication.Incarnation{Generation: binary.BigEndian.Uint64(l), Nonce: binary.BigEndian.Uint64(l[8:])}
		ok = life != replication.Incarnation{}
		if e := meta.Get(epochKey); len(e) == 8 {
			epoch = binary.BigEndian.Uint64(e)
		}
		return tx.Bucket(recordsName).ForEach(func(_, v []byte) error {
			var x row
			if err := cbor.Unmarshal(v, &x); err != nil {
				return err
			}
			for i := range x.Record.Outcomes {
				x.Record.Outcomes[i].Age = 0 // how long ago an op ran is not known over a start: a window that is counted too long runs it twice
			}
			x.Record.Age = uint64(max(now.SinceBoot.Milliseconds()-x.First, 0) / 1000)
			records = append(records, x.Record)
			return nil
		})
	})
	if err != nil {
		err = fmt.Errorf("copies: %w", err)
	}
	return records, life, epoch, ok, err
}

// Cursors reads up to where each other keeper's changes are in the file.
func (s *Store) Cursors() (all []replication.ReplicationCursor, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(seenName).ForEach(func(_, v []byte) error {
			var x replication.ReplicationCursor
			err := cbor.Unmarshal(v, &x)
			all = append(all, x)
			return err
		})
	})
	if err != nil {
		err = fmt.Errorf("copies: %w", err)
	}
	return all, err
}

// SaveCursors notes that they are there up to a position.
func (s *Store) SaveCursors(all []replication.ReplicationCursor) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		for _, x := range all {
			v, err := cbor.Marshal(x)
			if err != nil {
				return err
			}
			if err := tx.Bucket(seenName).Put([]byte(x.Replica), v); err != nil {
				return err
			}
		}
		return nil
	})
}

// SetIncarnation notes as which life the file is whole from now on; a zero one: it is not.
func (s *Store) SetIncarnation(life replication.Incarnation, epoch uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaName)
		l := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, life.Generation), life.Nonce)
		return errors.Join(meta.Put(lifeKey, l), meta.Put(epochKey, binary.BigEndian.AppendUint64(nil, epoch)))
	})
}

// Agreement reads what lasts of the agreement on who keeps copies; false for a file that has none.
func (s *Store) Agreement() (state replicaset.State, ok bool, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		text := tx.Bucket(metaName).Get(agreedKey)
		if ok = text != nil; !ok {
			return nil
		}
		return cbor.Unmarshal(text, &state)
	})
	if err != nil {
		err = fmt.Errorf("copies: the agreement: %w", err)
	}
	return state, ok, err
}

// SaveAgreement puts the agreement's state down. It is on the disk when this returns without an error, with sync off as well: a vote that is
// forgotten may be given twice.
func (s *Store) SaveAgreement(state replicaset.State) error {
	text, err := cbor.Marshal(state)
	if err == nil {
		err = s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaName).Put(agreedKey, text) })
	}
	if err != nil || !s.db.NoSync {
		return err
	}
	return s.db.Sync()
}

// Write puts records in and takes others out, all in one step; when it returns without an error they last. It is called after Load, on
// the same start of the machine.
func (s *Store) Write(now boottime.Reading, put []replication.Record, drop []string) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := clockAt(now).write(tx.Bucket(metaName)); err != nil {
			return err
		}
		b := tx.Bucket(recordsName)
		for _, r := range put {
			v, err := cbor.Marshal(row{r, now.SinceBoot.Milliseconds() - 1000*int64(r.Age)})
			if err != nil {
				return err
			}
			if err := b.Put([]byte(r.Key), v); err != nil {
				return err
			}
		}
		for _, key := range drop {
			if err := b.Delete([]byte(key)); err != nil {
				return err
			}
		}
		return nil
	})
}

// Close lets go of the file.
func (s *Store) Close() error { return s.db.Close() }
