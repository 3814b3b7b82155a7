package replica

import (
	"fmt"
	"strings"

	"woaddyke/internal/base/opkey"
	"woaddyke/internal/cluster/replication"
)

// recordsPerPage is how many records operators read at once.
const recordsPerPage = 500

// Status is the state that operators see.
type Status struct {
	replication.Status
	Agreement string `json:"agreement"`   // the role in changes of the replica set; empty without
	Lost      uint64 `json:"inputs_lost"` // since the queue was full
}

// Status returns the present state; a zero one where the loop has ended.
func (r *Replica) Status() (s Status) {
	r.call(func() {
		s = Status{Status: r.core.Status(), Lost: r.queue.dropped.Load()}
		if r.replicaSet != nil {
			s.Agreement = r.replicaSet.Status()
		}
	})
	return s
}

// RecordRow is one claim of an op, for operators.
type RecordRow struct {
	Category       string `json:"category"`
	ID             string `json:"id"`
	Scheduler      string `json:"by"`
	Claim          string `json:"claim"`
	Stage          string `json:"stage"`
	Status         int    `json:"status,omitempty"`
	ResultRetained bool   `json:"held,omitempty"`
	Group          string `json:"where,omitempty"` // the worker group in which it may have run
}

// Page returns some of the records in the order of their keys, after a key, and the key to go on after;
// empty where there are no more.
func (r *Replica) Page(after string) (rows []RecordRow, next string) {
	r.call(func() {
		page := r.core.Page(after, recordsPerPage)
		for _, record := range page {
			rows = append(rows, rowsOf(record)...)
		}
		if len(page) == recordsPerPage {
			next = page[len(page)-1].Key
		}
	})
	return rows, next
}

// Lookup returns the rows of one id.
func (r *Replica) Lookup(category, id string) (rows []RecordRow) {
	r.call(func() {
		if record, known := r.core.Lookup(keyOf(category, id)); known {
			rows = rowsOf(record)
		}
	})
	return rows
}

// keySeparator stands between the category and the key of the id in a record's key.
const keySeparator = "\x00"

func keyOf(category, id string) string { return category + keySeparator + opkey.FromID(id) }

func rowsOf(record replication.Record) (rows []RecordRow) {
	category, id, _ := strings.Cut(record.Key, keySeparator)
	for _, o := range record.Outcomes {
		rows = append(rows, RecordRow{
			Category:       category,
			ID:             id,
			Scheduler:      o.Scheduler,
			Claim:          fmt.Sprintf("%016x", o.Nonce),
			Stage:          o.Stage.String(),
			Status:         int(o.Verdict),
			ResultRetained: o.ResultRetained,
			Group:          o.Group,
		})
	}
	return rows
}
