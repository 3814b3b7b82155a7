package replica

import (
	"fmt"
	"strings"

	"woaddyke/internal/base/opkey"
	"woaddyke/internal/cluster/replication"
)

// recordsPerPage is the number of records in a full page.
const recordsPerPage = 500

// Status is the state that the console shows to operators.
type Status struct {
	replication.Status
	Agreement string `json:"agreement"`   // role in the agreement on changes; empty if disabled
	Lost      uint64 `json:"inputs_lost"` // inputs dropped because the queue was full
}

// Status returns the current state, or a zero Status once the loop has ended.
func (r *Replica) Status() (s Status) {
	r.callInLoop(func() {
		s = Status{Status: r.core.Status(), Lost: r.queue.dropped.Load()}
		if r.replicaSet != nil {
			s.Agreement = r.replicaSet.Status()
		}
	})
	return s
}

// RecordRow is a claim of an op, as operators see it.
type RecordRow struct {
	Category       string `json:"category"`
	ID             string `json:"id"`
	Scheduler      string `json:"by"`
	Claim          string `json:"claim"`
	Stage          string `json:"stage"`
	Status         int    `json:"status,omitempty"`
	ResultRetained bool   `json:"held,omitempty"`
	Group          string `json:"where,omitempty"` // worker group in which the op may have run
}

// Page returns the rows of up to recordsPerPage records, in the order of their keys. The page starts
// behind the key after. The result next is the parameter after of the next page. It is empty if the page is
// not full.
func (r *Replica) Page(after string) (rows []RecordRow, next string) {
	r.callInLoop(func() {
		page := r.core.Page(after, recordsPerPage)
		for _, record := range page {
			rows = append(rows, recordRows(record)...)
		}
		if len(page) == recordsPerPage {
			next = page[len(page)-1].Key
		}
	})
	return rows, next
}

// Lookup returns the rows of an id.
func (r *Replica) Lookup(category, id string) (rows []RecordRow) {
	r.callInLoop(func() {
		if record, known := r.core.Lookup(recordKey(category, id)); known {
			rows = recordRows(record)
		}
	})
	return rows
}

// keySeparator separates the category from the key of the id in the key of a record.
const keySeparator = "\x00"

func recordKey(category, id string) string { return category + keySeparator + opkey.FromID(id) }

func recordRows(record replication.Record) (rows []RecordRow) {
	category, id, _ := strings.Cut(record.Key, keySeparator)
	for _, o := range record.Outcomes {
		rows = append(rows, RecordRow{
			Category:       category,
			ID:             id,
			Scheduler:      o.Scheduler,
			Claim:          fmt.Sprintf("%016x", o.Nonce),
			Stage:          o.Stage.String(),
			Status:         int(o.HTTPStatus),
			ResultRetained: o.ResultRetained,
			Group:          o.Group,
		})
	}
	return rows
}
